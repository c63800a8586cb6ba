import asyncio
import math
import socket

import anyio
import anyio.lowlevel
import hypothesis
import hypothesis.strategies as st
import pytest

from camphorpath.cluster.heartbeats import HeartbeatSocket
from camphorpath.cluster.members import Members
from camphorpath.schema import camphorpath_pb2 as pb

from ..processes.fleet import find_free_ports

# Test runs side by side need ports of their own.
PORT = find_free_ports(['127.0.0.1', '127.0.0.2'], 1)[0]


def make_heartbeat(**fields):
    given = {'name': 'd1', 'incarnation': 'd1-1', 'host': '127.0.0.2', 'interval': 0.25}
    return pb.EdgeHeartbeat(**given | fields).SerializeToString()


async def exchange(datagrams):
    """Send datagrams and a final valid heartbeat; return the heartbeats handled before it."""
    handled = []
    done = anyio.Event()

    def handle(heartbeat):
        handled.append(heartbeat)
        if heartbeat.name == 'last':
            done.set()

    receiver = HeartbeatSocket('127.0.0.1', PORT)
    sender = HeartbeatSocket('127.0.0.2', PORT)
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(receiver.receive, handle)
            for datagram in datagrams:
                sender._socket.sendto(datagram, ('127.0.0.1', PORT))
                await anyio.lowlevel.checkpoint()
            sender.send(pb.EdgeHeartbeat.FromString(make_heartbeat(name='last')), ['127.0.0.1'])
            with anyio.fail_after(5):
                await done.wait()
            group.cancel_scope.cancel()
    finally:
        receiver.close()
        sender.close()
    return handled[:-1]


@hypothesis.settings(max_examples=30)
@hypothesis.given(st.lists(st.binary(max_size=200), max_size=20))
def test_malformed_datagrams_are_dropped(datagrams):
    """Guards against a datagram that crashes the process."""
    for heartbeat in anyio.run(exchange, datagrams):
        assert heartbeat.name


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
        {
            'loads': [
                pb.UpstreamLoad(upstream='i-1', rate_statement=pb.RateStatement(per_s=math.nan))
            ]
        },
        {
            'loads': [
                pb.UpstreamLoad(upstream='i-1', rate_statement=pb.RateStatement(age=-math.inf))
            ]
        },
    ],
)
def test_heartbeats_with_invalid_values_are_dropped(fields):
    """Guards against a member that never counts as lost, or DNS lookups of its host."""
    assert not anyio.run(exchange, [make_heartbeat(**fields)])


def test_hosts_that_are_not_addresses_are_not_added():
    """Guards against a row of the store that delays each heartbeat by a DNS lookup."""
    members = Members('10.0.0.1')
    for host in ('10.0.0.1', 'name.example', '', 'a' * 70, '10.0.0.2'):
        members.add_host(host)
    assert members.hosts == {'10.0.0.2'}


def test_reader_is_registered_once(monkeypatch):
    """Guards against registering a reader for each datagram, which costs more than reading it."""
    added = []
    add_reader = asyncio.SelectorEventLoop.add_reader

    def count(loop, reader, callback, *args):
        if isinstance(reader, socket.socket) and reader.type is socket.SOCK_DGRAM:
            added.append(reader)
        return add_reader(loop, reader, callback, *args)

    monkeypatch.setattr(asyncio.SelectorEventLoop, 'add_reader', count)

    async def test():
        handled, arrivals = anyio.create_memory_object_stream(1)
        receiver = HeartbeatSocket('127.0.0.1', PORT)
        sender = HeartbeatSocket('127.0.0.2', PORT)
        async with anyio.create_task_group() as group, handled, arrivals:
            group.start_soon(receiver.receive, handled.send_nowait)
            for _ in range(5):
                sender.send(pb.EdgeHeartbeat.FromString(make_heartbeat()), ['127.0.0.1'])
                with anyio.fail_after(5):
                    await arrivals.receive()
            group.cancel_scope.cancel()
        receiver.close()
        sender.close()

    anyio.run(test)
    assert len(added) == 1


def test_exception_of_the_handler_ends_the_receiver():
    """Guards against a daemon that keeps running although it cannot process heartbeats."""

    def fail(heartbeat):
        raise ZeroDivisionError(heartbeat.name)

    async def test():
        receiver = HeartbeatSocket('127.0.0.1', PORT)
        receiver.send(pb.EdgeHeartbeat.FromString(make_heartbeat()), ['127.0.0.1'])
        with pytest.raises(ZeroDivisionError, match='d1'), anyio.fail_after(5):
            await receiver.receive(fail)
        receiver.close()

    anyio.run(test)
