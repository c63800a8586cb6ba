import math

import anyio
import anyio.lowlevel
import hypothesis
import hypothesis.strategies as st
import pytest

from camphorpath.cluster.heartbeats import HeartbeatSocket
from camphorpath.cluster.members import Members
from camphorpath.schema import camphorpath_pb2 as pb

PORT = 47391


def make_beat(**fields):
    given = {'name': 'd1', 'incarnation': 'd1-1', 'host': '127.0.0.2', 'interval': 0.25}
    return pb.EdgeHeartbeat(**given | fields).SerializeToString()


async def exchange(datagrams):
    """Send datagrams and a last good heartbeat; return what was handed over before it."""
    taken = []
    done = anyio.Event()

    def handle(beat):
        taken.append(beat)
        if beat.name == 'last':
            done.set()

    receiver = HeartbeatSocket('127.0.0.1', PORT)
    sender = HeartbeatSocket('127.0.0.2', PORT)
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(receiver.receive, handle)
            for datagram in datagrams:
                sender._socket.sendto(datagram, ('127.0.0.1', PORT))
                await anyio.lowlevel.checkpoint()
            sender.send(pb.EdgeHeartbeat.FromString(make_beat(name='last')), ['127.0.0.1'])
            with anyio.fail_after(5):
                await done.wait()
            group.cancel_scope.cancel()
    finally:
        receiver.close()
        sender.close()
    return taken[:-1]


@hypothesis.settings(max_examples=30)
@hypothesis.given(st.lists(st.binary(max_size=200), max_size=20))
def test_any_bytes_are_dropped_or_are_a_heartbeat(datagrams):
    """Guards against a datagram that ends the process."""
    for beat in anyio.run(exchange, datagrams):
        assert beat.name


@pytest.mark.parametrize(
    'fields',
    [
        {'host': 'a' * 70 + '.example'},
        {'host': ''},
        {'cores': math.nan},
        {'interval': math.inf},
        {'interval': -1.0},
        {'used': {'acme': math.nan}},
        {'loads': [pb.UpstreamLoad(upstream='i-1', factor=math.inf)]},
    ],
)
def test_heartbeats_with_impossible_contents_are_dropped(fields):
    """Guards against a member that never counts as lost, or a host whose name is looked up."""
    assert not anyio.run(exchange, [make_beat(**fields)])


def test_hosts_that_are_no_addresses_are_not_told():
    """Guards against a row of the store that blocks every heartbeat with a lookup."""
    members = Members('10.0.0.1')
    for host in ('10.0.0.1', 'name.example', '', 'a' * 70, '10.0.0.2'):
        members.add_host(host)
    assert members.hosts == {'10.0.0.2'}
