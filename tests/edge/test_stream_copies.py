"""Streams are taken up while the daemon at which they began answers nobody."""

import asyncio
import collections
import itertools

import anyio
import attrs
import hypothesis
import hypothesis.strategies as st
import pytest

from camphorpath.clocks import read_lease_clock
from camphorpath.cluster.heartbeats import _decode
from camphorpath.cluster.members import Members
from camphorpath.edge import daemon as daemon_module
from camphorpath.edge import stream_queries
from camphorpath.edge.state import MAX_ANNOUNCEMENT_BYTES, DaemonState
from camphorpath.edge.stream_copies import COPY_COUNT, StreamCopies, choose_holders
from camphorpath.edge.stream_queries import QUERY_TIMEOUT_S, StreamQueries
from camphorpath.schema import camphorpath_pb2 as pb
from camphorpath.streams import Origin, OriginLookup, StreamRecords, digest_stream
from camphorpath.streams import records as records_module

from ..processes.fleet import find_free_ports
from ..relay.support import make_context
from .test_state import SETTINGS

V1, V2, UNKNOWN = Origin('llm', 'v1'), Origin('llm', 'v2'), Origin('llm', '')
# Test runs side by side need ports of their own.
PORT = find_free_ports(['127.0.0.1', '127.0.0.2'], 1)[0]
STREAM = b'attempt-1'
DIGEST = digest_stream(STREAM)
ZONES = ('a', 'b', 'c')


@attrs.define(eq=False)
class Daemon:
    """A daemon without a store; it sends and receives nothing while it is silent."""

    state: DaemonState
    fleet: list
    is_silent: bool = False
    # Hosts and sizes of the datagrams that it sent.
    sent: list = attrs.field(factory=list)
    # Returns whether to lose a message that it sends.
    is_lost: object = attrs.field(default=lambda _message: False)
    queries: StreamQueries = attrs.field(init=False)
    copies: StreamCopies = attrs.field(init=False)
    lookup: OriginLookup = attrs.field(init=False)

    def __attrs_post_init__(self):
        records = StreamRecords()
        self.queries = StreamQueries(records, self.state, self)
        self.copies = StreamCopies(records, self.state, self)
        self.lookup = OriginLookup(records=records, ask_peers=self.queries.ask)

    @property
    def records(self):
        return self.copies.records

    @property
    def host(self):
        return self.state.settings.host

    def send(self, message, hosts):
        datagram = message.SerializeToString()
        for host in hosts:
            self.sent.append((host, len(datagram)))
            for other in self.fleet:
                if other.host == host and not self.is_silent and not self.is_lost(message):
                    asyncio.get_running_loop().call_soon(other.receive, datagram)

    def receive(self, datagram):
        heartbeat = _decode(datagram)
        if heartbeat is not None and not self.is_silent:
            self.queries.handle_query(heartbeat)
            self.queries.handle_answer(heartbeat)
            self.copies.handle_copies(heartbeat)

    async def find(self, stream=STREAM):
        """Return the version of a stream that is taken up; None if it is not known."""
        with anyio.fail_after(5):
            known = await self.lookup.find(stream, ['llm'])
        return known and known.origin.software_version

    def lose(self, *others):
        """Forget members, as their heartbeats are missing."""
        for other in others:
            self.state.members.known.pop(other.state.settings.name, None)


def make_daemon(fleet, number, incarnation=1):
    name, host = f'daemon-{number}', f'10.0.{number // 200}.{number % 200 + 1}'
    settings = attrs.evolve(SETTINGS, name=name, host=host, zone=ZONES[number % len(ZONES)])
    state = DaemonState(
        settings=settings,
        incarnation=f'{name}-{incarnation:08x}',
        relay=make_context(()),
        members=Members(host),
    )
    return Daemon(state, fleet)


def make_fleet(count):
    """Return daemons that know each other."""
    fleet = []
    fleet.extend(make_daemon(fleet, number) for number in range(count))
    for sender in fleet:
        introduce(sender)
    return fleet


def introduce(sender):
    heartbeat = sender.state.make_heartbeat()
    for receiver in sender.fleet:
        receiver.state.apply_heartbeat(heartbeat)


async def begin(daemon, origin=V1, stream=STREAM):
    """Record a stream; its copies are sent twice."""
    daemon.records.record(stream, origin, read_lease_clock())
    await send_copies(daemon)


async def send_copies(daemon, count=2):
    for _ in range(count):
        daemon.copies._next_choice_at = 0
        daemon.copies.send()
        await asyncio.sleep(0)
        await asyncio.sleep(0)


def list_holders(daemon):
    """Return the other daemons with a copy of the stream."""
    return [
        other
        for other in daemon.fleet
        if other is not daemon and other.records.find(DIGEST) is not None
    ]


def list_others(daemon):
    return [other for other in daemon.fleet if other is not daemon]


@pytest.mark.parametrize('is_lost', [True, False])
@pytest.mark.parametrize('number', range(1, 7))
def test_stream_of_a_silent_daemon_is_known_at_all_others(number, is_lost):
    """Guards against take-ups that are refused, as only a frozen or cut-off daemon knows more."""

    async def test():
        fleet = make_fleet(7)
        await begin(fleet[0])
        fleet[0].is_silent = True
        if is_lost:
            fleet[number].lose(fleet[0])
        assert await fleet[number].find() == 'v1'

    anyio.run(test)


def test_stream_of_a_killed_daemon_is_known_to_its_next_process():
    """Guards against a take-up at a restarted daemon that is refused."""

    async def test():
        fleet = make_fleet(5)
        await begin(fleet[0])
        fleet[0] = make_daemon(fleet, 0, incarnation=2)
        introduce(fleet[0])
        for other in fleet[1:]:
            fleet[0].state.apply_heartbeat(other.state.make_heartbeat())
        assert await fleet[0].find() == 'v1'
        assert await fleet[3].find() == 'v1'

    anyio.run(test)


def test_stream_is_known_while_all_holders_but_one_are_silent():
    """Guards against copies in one availability zone, or at daemons that fail together."""

    async def test():
        fleet = make_fleet(8)
        await begin(fleet[0])
        holders = list_holders(fleet[0])
        assert len(holders) == COPY_COUNT
        assert len({holder.state.settings.zone for holder in holders}) > 1
        for silent in (fleet[0], *holders[1:]):
            silent.is_silent = True
        for daemon in fleet:
            if not daemon.is_silent:
                assert await daemon.find() == 'v1'

    anyio.run(test)


def test_lost_datagram_is_made_up_for():
    """Guards against a stream that nobody else knows, as one datagram was lost."""

    async def test():
        fleet = make_fleet(5)
        await begin(fleet[0], stream=b'other')
        fleet[0].records.record(STREAM, V1, read_lease_clock())
        fleet[0].is_lost = lambda _message: True
        await send_copies(fleet[0], 1)
        assert not list_holders(fleet[0])
        fleet[0].is_lost = lambda _message: False
        await send_copies(fleet[0], 1)
        assert len(list_holders(fleet[0])) == COPY_COUNT
        sent_count = len(fleet[0].sent)
        await send_copies(fleet[0], 3)
        assert len(fleet[0].sent) == sent_count

    anyio.run(test)


def test_daemon_that_replaces_a_lost_holder_gets_the_records():
    """Guards against streams that nobody knows after their holders were replaced in turn."""

    async def test():
        fleet = make_fleet(8)
        await begin(fleet[0])
        former = list_holders(fleet[0])
        for holder in former:
            holder.is_silent = True
            fleet[0].lose(holder)
        await send_copies(fleet[0])
        assert len(set(list_holders(fleet[0])) - set(former)) == COPY_COUNT
        fleet[0].is_silent = True
        for daemon in fleet:
            if not daemon.is_silent:
                assert await daemon.find() == 'v1'

    anyio.run(test)


def test_records_of_a_daemon_that_was_alone_are_sent_to_the_first_others():
    """Guards against streams that began while a daemon was cut off and that only it knows."""

    async def test():
        fleet = make_fleet(3)
        fleet[0].lose(*fleet[1:])
        await begin(fleet[0])
        assert not list_holders(fleet[0])
        for other in fleet[1:]:
            introduce(other)
        await send_copies(fleet[0], 1)
        assert list_holders(fleet[0]) == fleet[1:]

    anyio.run(test)


@pytest.mark.parametrize('revised', [UNKNOWN, V2])
def test_later_record_replaces_the_copy(revised):
    """Guards against a stream that goes on at a version which its daemon no longer states."""

    async def test():
        fleet = make_fleet(5)
        await begin(fleet[0])
        await begin(fleet[0], revised)
        fleet[0].is_silent = True
        for other in fleet[1:]:
            other.lose(fleet[0])
            assert await other.find() == revised.software_version

    anyio.run(test)


def test_late_datagram_does_not_replace_a_later_record():
    """Guards against a version that comes back with a datagram that was held up."""

    async def test():
        fleet = make_fleet(2)
        late = []
        fleet[0].is_lost = lambda message: late.append(message.SerializeToString()) or True
        await begin(fleet[0])
        fleet[0].is_lost = lambda _message: False
        await begin(fleet[0], UNKNOWN)
        for datagram in late:
            fleet[1].receive(datagram)
        assert late
        assert fleet[1].records.find(DIGEST).origin == UNKNOWN

    anyio.run(test)


def test_outdated_copy_does_not_count_while_its_holder_answers():
    """Guards against a stream that goes on at a version which its live daemon no longer states."""

    async def test():
        fleet = make_fleet(6)
        await begin(fleet[0])
        fleet[0].is_lost = lambda message: message.news.HasField('stream_copies')
        await begin(fleet[0], UNKNOWN)
        for other in fleet[1:]:
            assert await other.find() == ''

    anyio.run(test)


def test_copies_do_not_delay_a_take_up_whose_daemon_answers(monkeypatch):
    """Guards against a wait for the timeout of queries though the daemon has answered."""
    monkeypatch.setattr(stream_queries, 'QUERY_TIMEOUT_S', 2.0)

    async def test():
        fleet = make_fleet(6)
        await begin(fleet[0])
        for other in fleet[1:]:
            began_at = read_lease_clock()
            assert await other.find() == 'v1'
            assert read_lease_clock() - began_at < 1

    anyio.run(test)


def test_copy_is_taken_at_once_if_its_daemon_is_lost():
    """Guards against a wait for a daemon that is known to be gone."""

    async def test():
        fleet = make_fleet(6)
        await begin(fleet[0])
        for other in fleet[1:]:
            other.lose(fleet[0])
        fleet[0].is_silent = True
        holder = list_holders(fleet[0])[0]
        sent_count = len(holder.sent)
        began_at = read_lease_clock()
        assert await holder.find() == 'v1'
        assert read_lease_clock() - began_at < QUERY_TIMEOUT_S
        assert len(holder.sent) == sent_count

    anyio.run(test)


def test_version_is_unknown_if_two_daemons_disagree():
    """Guards against a guess between two versions that different daemons state."""

    async def test():
        fleet = make_fleet(3)
        await begin(fleet[0])
        await begin(fleet[1], V2)
        assert fleet[2].records.find(DIGEST).origin == UNKNOWN
        for daemon in fleet[:2]:
            daemon.is_silent = True
        assert await fleet[2].find() == ''

    anyio.run(test)


def test_streams_of_an_unknown_version_are_not_taken_for_known_ones():
    """Guards against a copy of an unknown version that leaves the choice of the version open."""

    async def test():
        fleet = make_fleet(4)
        await begin(fleet[0], UNKNOWN)
        fleet[0].is_silent = True
        for other in fleet[1:]:
            assert await other.find() == ''

    anyio.run(test)


def test_copies_are_split_into_datagrams_that_fit():
    """Guards against datagrams that are split into packets, or that are empty as they are long."""

    async def test():
        fleet = make_fleet(4)
        streams = [b'attempt-%d' % number for number in range(700)]
        now = read_lease_clock()
        for number, stream in enumerate(streams):
            fleet[0].records.record(stream, Origin('s' * 120, f'{number % 7:0100}'), now - 1e6)
        await send_copies(fleet[0])
        assert max(size for _host, size in fleet[0].sent) <= MAX_ANNOUNCEMENT_BYTES
        for other in fleet[1:]:
            for number, stream in enumerate(streams):
                known = other.records.find(digest_stream(stream))
                assert known.origin.software_version == f'{number % 7:0100}'

    anyio.run(test)


def test_memory_is_bounded(monkeypatch):
    """Guards against copies of others that fill the memory or displace the own records."""
    monkeypatch.setattr(records_module, 'MAX_RECORD_COUNT', 50)

    async def test():
        fleet = make_fleet(2)
        fleet[1].records.record(STREAM, V1, read_lease_clock())
        for number in range(500):
            fleet[0].records.record(b'%d' % number, V1, read_lease_clock())
            if number % 20 == 0:
                await send_copies(fleet[0], 1)
        await send_copies(fleet[0])
        assert len(fleet[1].records._learned) == 50
        assert len(fleet[0].records._own) == 50
        assert not fleet[0].records._uncopied
        assert fleet[1].records.find(DIGEST).origin == V1
        assert fleet[1].records.find(digest_stream(b'499')).origin == V1
        fleet[1].records.expire(read_lease_clock() + 1)
        assert not fleet[1].records._learned

    anyio.run(test)


def make_copies(**fields):
    group = {
        'service': 'llm',
        'software_version': 'v1',
        'digests': DIGEST,
        'ages_ms': [10],
        'numbers': [1],
    }
    return pb.SharedState(
        stream_copies=pb.StreamCopies(groups=[pb.StreamCopyGroup(**group | fields)])
    )


@pytest.mark.parametrize(
    'fields',
    [
        {'service': ''},
        {'service': 's' * 201},
        {'service': 'a\x00'},
        {'software_version': 'v\n1'},
        {'digests': DIGEST[:-1]},
        {'digests': 2 * DIGEST},
        {'ages_ms': []},
        {'ages_ms': [1, 2]},
        {'numbers': []},
        {'numbers': [1, 2]},
    ],
)
def test_odd_copies_are_ignored(fields):
    """Guards against odd values in the records, or versions of other streams."""
    [daemon] = make_fleet(1)
    heartbeat = pb.EdgeHeartbeat(
        name='b', incarnation='b-1', host='10.0.0.2', news=make_copies(**fields)
    )
    daemon.copies.handle_copies(heartbeat)
    assert not daemon.records._learned


@pytest.mark.parametrize('fields', [{'host': '10.0.0.1'}, {'incarnation': 'a\n'}])
def test_copies_of_odd_senders_are_ignored(fields):
    """Guards against a daemon that takes its own records for those of another one."""
    [daemon] = make_fleet(1)
    sender = {'name': 'b', 'incarnation': 'b-1', 'host': '10.0.0.2'}
    daemon.copies.handle_copies(pb.EdgeHeartbeat(**sender | fields, news=make_copies()))
    assert not daemon.records._learned


GROUPS = st.builds(
    pb.StreamCopyGroup,
    service=st.text(max_size=250),
    software_version=st.text(max_size=250),
    digests=st.binary(max_size=40),
    ages_ms=st.lists(st.integers(0, 2**32 - 1), max_size=4),
    numbers=st.lists(st.integers(0, 2**64 - 1), max_size=4),
)


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(st.lists(GROUPS, max_size=4), st.text(max_size=250))
def test_odd_messages_raise_nothing(groups, incarnation):
    """Guards against a message of one daemon that ends the others."""
    [daemon] = make_fleet(1)
    news = pb.SharedState(stream_copies=pb.StreamCopies(groups=groups))
    heartbeat = pb.EdgeHeartbeat(name='b', incarnation=incarnation, host='10.0.0.2', news=news)
    daemon.receive(heartbeat.SerializeToString())
    for known in daemon.records._learned.values():
        assert known.known_since <= read_lease_clock()


def test_copies_change_nothing_at_daemons_of_older_builds():
    """Guards against a rolling update in which older daemons misread copies."""

    async def test():
        settings = attrs.evolve(SETTINGS, host='127.0.0.1', heartbeat_port=0)
        daemon = daemon_module.build_edge(settings)
        [sender] = make_fleet(1)
        rows = daemon.state.rows
        rows.apply_manifest(b'{"version": 3}', 7)
        held = rows.upstreams_revision, rows.complete_since, rows.manifest.revision
        heartbeat = sender.state.make_announcement(make_copies(), 0)
        # An older build keeps the fields that it does not know apart.
        heartbeat.news.ClearField('stream_copies')
        daemon_module._make_receiver(daemon)(_decode(heartbeat.SerializeToString()))
        assert (rows.upstreams_revision, rows.complete_since, rows.manifest.revision) == held
        assert not daemon.state.members.known
        assert not daemon.follower._peers_ahead
        await daemon.close()

    anyio.run(test)


def test_daemons_keep_copies_of_each_other():
    """Guards against copies that are not sent, or get lost between the socket and the records."""

    async def test():
        daemons = []
        async with anyio.create_task_group() as group:
            for number in (1, 2):
                settings = attrs.evolve(
                    SETTINGS, name=f'd{number}', host=f'127.0.0.{number}', heartbeat_port=PORT
                )
                daemon = daemon_module.build_edge(settings)
                receiver = daemon_module._make_receiver(daemon)
                group.start_soon(daemon.heartbeats.receive, receiver)
                group.start_soon(daemon_module._run_timers, daemon)
                daemons.append(daemon)
            daemons[0].state.apply_heartbeat(daemons[1].state.make_heartbeat())
            daemons[0].relay.origins.records.record(STREAM, V1, read_lease_clock())
            with anyio.fail_after(5):
                while not daemons[1].relay.origins.records.find(DIGEST):  # noqa: ASYNC110  no event
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        for daemon in daemons:
            await daemon.close()

    anyio.run(test)


def test_timers_tell_the_versions_of_a_suspension(monkeypatch):
    """Guards against a suspension that only the members and the follower learn of."""

    async def test():
        settings = attrs.evolve(SETTINGS, host='127.0.0.1', heartbeat_port=PORT)
        daemon = daemon_module.build_edge(settings)
        instants = itertools.chain([0, 10], itertools.repeat(10))
        recorded = []
        monkeypatch.setattr(daemon_module, 'read_lease_clock', lambda: next(instants))
        monkeypatch.setattr(
            type(daemon.streams), 'record_suspension', lambda _, s: recorded.append(s)
        )
        with anyio.move_on_after(0.3):
            await daemon_module._run_timers(daemon)
        await daemon.close()
        assert recorded == [10]

    anyio.run(test)


@pytest.mark.parametrize('count', [2, 3, 4, 9, 81, 420])
def test_holders_are_spread_evenly(count):
    """Guards against a daemon of a large fleet that keeps the records of many others."""
    zones = {f'edge-{number}': ZONES[number % len(ZONES)] for number in range(count)}
    held = collections.Counter()
    for name in zones:
        others = {other: zone for other, zone in zones.items() if other != name}
        holders = choose_holders(name, others)
        assert len(set(holders)) == min(COPY_COUNT, count - 1)
        assert name not in holders
        if count > COPY_COUNT:
            assert len({zones[holder] for holder in holders}) > 1
        held.update(holders)
    print(f'{count} daemons: at most {max(held.values())} keep their records at one')
    assert max(held.values()) <= 12


@pytest.mark.parametrize('streams', [1, 2, 20, 1000])
def test_bytes_of_copies(streams):
    """Guards against copies that load the network."""

    async def test():
        fleet = make_fleet(9)
        state = fleet[0].state
        state.rows.apply_listing([], 2**47 + 12345, 0)
        state.rows.manifest.revision = 2**47 + 12345
        state.rows.manifest.version = 300
        state.read_store_age = lambda: 0.25
        await begin(fleet[0])
        fleet[0].sent.clear()
        now = read_lease_clock()
        for number in range(streams):
            fleet[0].records.record(b'%d' % number, Origin('llm-chat', 'v1.1'), now - 0.04)
        await send_copies(fleet[0], 1)
        sizes = [size for _host, size in fleet[0].sent]
        print(f'{streams} records: {len(sizes)} datagrams, {min(sizes)} to {max(sizes)} bytes')
        assert len(sizes) <= COPY_COUNT * (1 + streams // 50)
        assert sum(sizes) <= COPY_COUNT * (200 * (1 + streams // 50) + 14 * streams)

    anyio.run(test)


def test_idle_daemon_sends_no_copies():
    """Guards against daemons of a large fleet that take no calls and yet load the processor."""

    async def test():
        fleet = make_fleet(3)
        await send_copies(fleet[0], 10)
        assert not fleet[0].sent

    anyio.run(test)
