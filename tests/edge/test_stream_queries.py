import asyncio
import math
import random

import anyio
import attrs
import hypothesis
import hypothesis.strategies as st
import pytest

from camphorpath.clocks import read_lease_clock
from camphorpath.cluster.heartbeats import HeartbeatSocket, _decode
from camphorpath.cluster.members import Members
from camphorpath.edge import daemon as daemon_module
from camphorpath.edge import stream_queries
from camphorpath.edge.state import MAX_ANNOUNCEMENT_BYTES, DaemonState
from camphorpath.edge.stream_queries import (
    MAX_QUERY_DIGESTS,
    QUERY_TIMEOUT_S,
    Asked,
    StreamQueries,
)
from camphorpath.schema import camphorpath_pb2 as pb
from camphorpath.streams import Origin, Source, StreamRecords, digest_stream

from ..processes.fleet import find_free_ports
from ..relay.support import make_context
from .test_state import SETTINGS

# Test runs side by side need ports of their own.
PORT = find_free_ports([f'127.0.0.{number}' for number in (1, 2)], 1)[0]
ORIGIN = Origin('llm-chat', 'v1.1')
STREAM = b'attempt-1'
DIGEST = digest_stream(STREAM)
# A revision of the platform's length.
REVISION = 2**47 + 12345


@attrs.define
class Network:
    """Delivers the datagrams of daemons in this process, and keeps what was sent."""

    daemons: dict = attrs.field(factory=dict)
    # Sender, host and size of each datagram.
    sent: list = attrs.field(factory=list)
    has_sent: anyio.Event = attrs.field(factory=anyio.Event)
    # Returns whether to lose a datagram, by sender, host and message.
    is_lost: object = attrs.field(default=lambda _sender, _host, _message: False)

    def deliver(self, sender, message, hosts):
        datagram = message.SerializeToString()
        for host in hosts:
            self.sent.append((sender, host, len(datagram)))
            receiver = self.daemons.get(host)
            if receiver is not None and not self.is_lost(sender, host, message):
                asyncio.get_running_loop().call_soon(receive, receiver, datagram)
        self.has_sent.set()


@attrs.define
class Sender:
    """Sends the datagrams of one daemon."""

    network: Network
    host: str

    def send(self, message, hosts):
        self.network.deliver(self.host, message, list(hosts))


def receive(queries, datagram):
    heartbeat = _decode(datagram)
    if heartbeat is not None:
        queries.state.apply_announcement(heartbeat)
        queries.handle_query(heartbeat)
        queries.handle_answer(heartbeat)


def add_daemon(network, number, incarnation=1, prefix='daemon'):
    """Add a daemon to a network; it replaces an earlier incarnation."""
    name, host = f'{prefix}-{number}', f'10.0.{number // 200}.{number % 200 + 1}'
    settings = attrs.evolve(SETTINGS, name=name, host=host)
    state = DaemonState(
        settings=settings,
        incarnation=f'{name}-{incarnation:08x}',
        relay=make_context(()),
        members=Members(host),
    )
    queries = StreamQueries(StreamRecords(), state, Sender(network, host))
    network.daemons[host] = queries
    return queries


def make_fleet(count):
    """Return a network and its daemons, which know each other."""
    network = Network()
    daemons = [add_daemon(network, number) for number in range(count)]
    for daemon in daemons:
        exchange_heartbeats(daemons, daemon)
    return network, daemons


def exchange_heartbeats(daemons, sender):
    heartbeat = sender.state.make_heartbeat()
    for receiver in daemons:
        receiver.state.apply_heartbeat(heartbeat)


def list_incarnations(daemons):
    return frozenset(daemon.state.incarnation for daemon in daemons)


@pytest.fixture
def long_timeout_s(monkeypatch):
    """Make the timeout so long that tests on a lagging machine do not reach it."""
    monkeypatch.setattr(stream_queries, 'QUERY_TIMEOUT_S', 1.5)
    return 1.5


def is_query(message):
    return message.news.HasField('stream_query')


async def ask_timed(queries, digest=DIGEST):
    """Return what was asked, and the seconds that it took."""
    began_at = read_lease_clock()
    with anyio.fail_after(5):
        asked = await queries.ask(digest)
    return asked, read_lease_clock() - began_at


async def ask_all(queries, digests):
    """Ask for many streams at once; return the results by digest."""
    results = {}

    async def ask(digest):
        results[digest] = await queries.ask(digest)

    with anyio.fail_after(5):
        async with anyio.create_task_group() as group:
            for digest in digests:
                group.start_soon(ask, digest)
    return results


def make_answer(queries, host, **fields):
    """Return an answer of a host to the only query in progress."""
    [number] = queries._queries
    answer = pb.StreamAnswer(**{'number': number} | fields)
    return pb.EdgeHeartbeat(
        name='daemon-1',
        incarnation='daemon-1-x',
        host=host,
        news=pb.SharedState(stream_answer=answer),
    )


async def start_silent_query(queries, group):
    """Ask, in a network that loses everything, until the query is sent; return the results."""
    results = []

    async def ask():
        asked, _duration = await ask_timed(queries)
        results.append(asked)

    group.start_soon(ask)
    with anyio.fail_after(5):
        await queries.heartbeats.network.has_sent.wait()
    return results


def test_origin_is_learned_from_the_daemon_that_began_the_stream(long_timeout_s):
    """Guards against a stream that goes on at another version, or not at all, at another daemon."""

    async def test():
        _network, daemons = make_fleet(5)
        recorded_at = read_lease_clock() - 30
        daemons[3].records.record(STREAM, ORIGIN, recorded_at)
        asked, duration = await ask_timed(daemons[0])
        assert asked.known.origin == ORIGIN
        assert asked.known.source is Source.PEER
        assert asked.known.known_since == pytest.approx(recorded_at, abs=0.5)
        assert daemons[0].records.find(DIGEST) == asked.known
        assert duration < long_timeout_s
        assert not daemons[0].records.drain_unwritten(lambda _service: True)
        assert not daemons[0]._queries and not daemons[0]._asks

    anyio.run(test)


def test_learned_origin_is_passed_on_with_its_age(long_timeout_s):
    """Guards against records that never expire, as each daemon counts their age anew."""

    async def test():
        network, daemons = make_fleet(3)
        recorded_at = read_lease_clock() - 30
        daemons[0].records.record(STREAM, ORIGIN, recorded_at)
        await ask_timed(daemons[1])
        network.daemons.pop(daemons[0].state.settings.host)
        asked, _duration = await ask_timed(daemons[2])
        assert asked.known.known_since == pytest.approx(recorded_at, abs=0.5)

    anyio.run(test)


def test_unknown_stream_is_answered_by_all_members(long_timeout_s):
    """Guards against a wait for the timeout, or a search in the store, though all have answered."""

    async def test():
        network, daemons = make_fleet(9)
        asked, duration = await ask_timed(daemons[0])
        assert asked == Asked(None, list_incarnations(daemons[1:]))
        assert duration < long_timeout_s
        queries = [host for sender, host, _size in network.sent if sender == '10.0.0.1']
        assert sorted(queries) == sorted(daemons[0].state.members.hosts)

    anyio.run(test)


def test_lone_daemon_does_not_wait(long_timeout_s):
    """Guards against a delay of each take-up where there is only one daemon."""

    async def test():
        network, [daemon] = make_fleet(1)
        asked, duration = await ask_timed(daemon)
        assert asked == Asked(None, frozenset())
        assert duration < long_timeout_s / 2
        assert not network.sent

    anyio.run(test)


def test_hosts_without_heartbeats_are_waited_for(long_timeout_s):
    """Guards against a daemon that has just started and waits for the first answer only."""

    async def test():
        network = Network()
        started, *others = [add_daemon(network, number) for number in range(5)]
        for other in others:
            started.state.members.add_host(other.state.settings.host)
        others[0].records.record(STREAM, ORIGIN, read_lease_clock())
        lost = []

        def lose_first(_sender, host, message):
            if lost or host != others[0].state.settings.host:
                return False
            lost.append(message)
            return True

        network.is_lost = lose_first
        asked, _duration = await ask_timed(started)
        assert asked.known.origin == ORIGIN
        assert lost

    anyio.run(test)


def test_silent_member_is_not_counted_as_answered():
    """Guards against a stream that counts as unknown though a paused daemon knows it."""

    async def test():
        network, daemons = make_fleet(4)
        silent = daemons[2]
        silent.records.record(STREAM, ORIGIN, read_lease_clock())
        network.daemons.pop(silent.state.settings.host)
        asked, duration = await ask_timed(daemons[0])
        assert asked == Asked(None, list_incarnations((daemons[1], daemons[3])))
        assert QUERY_TIMEOUT_S * 0.9 < duration
        repeated = [host for sender, host, _size in network.sent if sender == '10.0.0.1']
        assert repeated.count(silent.state.settings.host) == 2
        assert len(repeated) == 4

    anyio.run(test)


def test_stopping_member_is_not_waited_for(long_timeout_s):
    """Guards against a delay of each take-up while a daemon stops."""

    async def test():
        network, daemons = make_fleet(3)
        daemons[2].state.relay.is_stopping = True
        exchange_heartbeats(daemons, daemons[2])
        network.daemons.pop(daemons[2].state.settings.host)
        asked, duration = await ask_timed(daemons[0])
        assert asked == Asked(None, list_incarnations((daemons[1],)))
        assert duration < long_timeout_s

    anyio.run(test)


@pytest.mark.parametrize('is_query_lost', [True, False])
def test_lost_datagram_is_sent_again(is_query_lost, long_timeout_s):
    """Guards against a stream that counts as unknown, as one datagram was lost."""

    async def test():
        network, daemons = make_fleet(4)
        daemons[2].records.record(STREAM, ORIGIN, read_lease_clock())
        lost = []

        def lose_first(sender, host, message):
            between = {sender, host} == {'10.0.0.1', '10.0.0.3'}
            if lost or not between or is_query(message) is not is_query_lost:
                return False
            lost.append(message)
            return True

        network.is_lost = lose_first
        asked, duration = await ask_timed(daemons[0])
        assert asked.known.origin == ORIGIN
        assert lost
        assert duration < long_timeout_s

    anyio.run(test)


@pytest.mark.parametrize('seed', range(5))
def test_lossy_network_yields_no_wrong_answers(seed):
    """Guards against members that count as answered although the origin was lost."""
    generator = random.Random(seed)

    async def test():
        network, daemons = make_fleet(6)
        streams = [b'attempt-%d' % number for number in range(200)]
        now = read_lease_clock()
        knowing = {}
        for stream in streams:
            holder = generator.choice(daemons[1:])
            # So long that an answer needs several messages.
            holder.records.record(stream, Origin('llm', 'v' * 200), now)
            knowing[digest_stream(stream)] = holder.state.incarnation
        network.is_lost = lambda *_arguments: generator.random() < 0.6
        results = await ask_all(daemons[0], knowing)
        assert any(asked.known is None for asked in results.values())
        for digest, asked in results.items():
            assert asked.known is not None or knowing[digest] not in asked.answered

    anyio.run(test)


def test_restarted_member_answers_as_its_new_incarnation(long_timeout_s):
    """Guards against records of an ended process that are not looked for in the store."""

    async def test():
        network, daemons = make_fleet(3)
        daemons[1].records.record(STREAM, ORIGIN, read_lease_clock())
        ended = daemons[1].state.incarnation
        restarted = add_daemon(network, 1, incarnation=2)
        asked, duration = await ask_timed(daemons[0])
        assert asked == Asked(None, list_incarnations((restarted, daemons[2])))
        assert ended not in asked.answered
        assert duration < long_timeout_s

    anyio.run(test)


def test_restart_between_messages_of_an_answer():
    """Guards against origins of two incarnations that are counted as one complete answer."""

    async def test():
        network, [queries, other] = make_fleet(2)
        network.is_lost = lambda *_arguments: True
        host = other.state.settings.host
        first, second, third = (digest_stream(b'attempt-%d' % number) for number in range(3))

        async def answer():
            await network.has_sent.wait()
            for digest, incarnation in ((first, 'daemon-1-old'), (second, 'daemon-1-new')):
                origin = pb.StreamOrigin(digest=digest, service='llm')
                heartbeat = make_answer(queries, host, origins=[origin], known_count=2)
                heartbeat.incarnation = incarnation
                queries.handle_answer(heartbeat)

        async with anyio.create_task_group() as group:
            group.start_soon(answer)
            results = await ask_all(queries, (first, second, third))
        assert results[second].known.origin.service == 'llm'
        assert results[third] == Asked(None, frozenset())

    anyio.run(test)


def test_late_answers_to_an_earlier_process_do_not_match():
    """Guards against a stream that counts as unknown after a restart of the daemon that asks."""

    async def test():
        numbers = set()
        for incarnation in range(20):
            network = Network()
            queries = add_daemon(network, 0, incarnation)
            queries.state.members.add_host('10.0.0.2')
            async with anyio.create_task_group() as group:
                await start_silent_query(queries, group)
                numbers.update(queries._queries)
                group.cancel_scope.cancel()
        assert len(numbers) == 20

    anyio.run(test)


def test_burst_of_asks_is_sent_in_few_datagrams(long_timeout_s):
    """Guards against a flood of datagrams when many callers take up their streams at once."""

    async def test():
        network, daemons = make_fleet(9)
        streams = [b'attempt-%d' % number for number in range(60)]
        for number, stream in enumerate(streams):
            daemons[1 + number % 8].records.record(stream, ORIGIN, read_lease_clock())
        results = await ask_all(daemons[0], [digest_stream(stream) for stream in streams])
        assert len(results) == 60
        assert all(asked.known.origin == ORIGIN for asked in results.values())
        # One query to, and one answer from, each other daemon.
        assert len(network.sent) == 16
        queries = [size for sender, _host, size in network.sent if sender == '10.0.0.1']
        assert len(queries) == 8
        assert max(size for *_hosts, size in network.sent) <= MAX_ANNOUNCEMENT_BYTES
        assert sum(size for *_hosts, size in network.sent) <= 8 * 2 * 800

    anyio.run(test)


def test_long_queries_and_answers_are_split(long_timeout_s):
    """Guards against datagrams that are split into packets, or answers that miss some origins."""

    async def test():
        network, daemons = make_fleet(2)
        version = 'v' * 200
        streams = [b'attempt-%d' % number for number in range(250)]
        for stream in streams:
            daemons[1].records.record(stream, Origin('s' * 200, version), read_lease_clock())
        results = await ask_all(daemons[0], [digest_stream(stream) for stream in streams])
        assert all(asked.known.origin.software_version == version for asked in results.values())
        assert max(size for *_hosts, size in network.sent) <= MAX_ANNOUNCEMENT_BYTES
        queries = [size for sender, _host, size in network.sent if sender == '10.0.0.1']
        assert len(queries) == 3

    anyio.run(test)


def test_queries_of_a_daemon_with_long_names_are_split(long_timeout_s):
    """Guards against queries that are split into packets where names are long."""

    async def test():
        network = Network()
        daemons = [add_daemon(network, number, prefix='d' * 150) for number in range(2)]
        for daemon in daemons:
            exchange_heartbeats(daemons, daemon)
        digests = [digest_stream(b'attempt-%d' % number) for number in range(MAX_QUERY_DIGESTS)]
        results = await ask_all(daemons[0], digests)
        answered = list_incarnations(daemons[1:])
        assert all(asked == Asked(None, answered) for asked in results.values())
        assert len(results) == MAX_QUERY_DIGESTS
        assert max(size for *_hosts, size in network.sent) <= MAX_ANNOUNCEMENT_BYTES
        assert len(network.sent) == 4

    anyio.run(test)


def test_asks_for_the_same_stream_share_a_query(long_timeout_s):
    """Guards against a flood of datagrams by callers that all name the same stream."""

    async def test():
        network, daemons = make_fleet(2)
        results = []

        async def ask(delay_s):
            await anyio.sleep(delay_s)
            asked, _duration = await ask_timed(daemons[0])
            results.append(asked)

        network.daemons.pop('10.0.0.2')
        async with anyio.create_task_group() as group:
            for number in range(50):
                group.start_soon(ask, number / 1000)
        assert len(results) == 50
        assert len(network.sent) == 2

    anyio.run(test)


def test_cancelled_caller_does_not_hold_up_the_others(long_timeout_s):
    """Guards against callers that wait forever, as the one that asked first has left."""

    async def test():
        _network, daemons = make_fleet(2)
        daemons[1].records.record(STREAM, ORIGIN, read_lease_clock())
        async with anyio.create_task_group() as group:
            with anyio.CancelScope() as first:
                group.start_soon(ask_timed, daemons[0])
                first.cancel()
                await daemons[0].ask(DIGEST)
            asked, _duration = await ask_timed(daemons[0])
        assert asked.known.origin == ORIGIN
        assert not daemons[0]._asks

    anyio.run(test)


@pytest.mark.parametrize(
    'origin',
    [
        {'digest': b'other-st'},
        {'digest': b'short'},
        {'service': ''},
        {'service': 's' * 201},
        {'service': 'a\x00'},
        {'software_version': 'v' * 201},
        {'software_version': 'v\n1'},
        {'age': -0.1},
        {'age': math.nan},
        {'age': math.inf},
    ],
)
def test_odd_origins_are_ignored(origin):
    """Guards against odd values in the records, and members that only seem to have answered."""

    async def test():
        network, [queries, other] = make_fleet(2)
        network.is_lost = lambda *_arguments: True
        fields = {'digest': DIGEST, 'service': 'llm', 'software_version': 'v1', 'age': 1.0}
        answer = {'origins': [pb.StreamOrigin(**fields | origin)], 'known_count': 1}
        async with anyio.create_task_group() as group:
            results = await start_silent_query(queries, group)
            queries.handle_answer(make_answer(queries, other.state.settings.host, **answer))
        assert results == [Asked(None, frozenset())]
        assert queries.records.find(digest_stream(b'other-st')) is None
        assert not queries.records._learned

    anyio.run(test)


@pytest.mark.parametrize(
    'fields',
    [{'host': '10.9.9.9'}, {'incarnation': 'x' * 201}, {'incarnation': 'a\n'}],
)
def test_answers_of_others_are_ignored(fields):
    """Guards against memory that grows by answers of hosts that were not asked."""

    async def test():
        network, [queries, other] = make_fleet(2)
        network.is_lost = lambda *_arguments: True
        async with anyio.create_task_group() as group:
            results = await start_silent_query(queries, group)
            answer = make_answer(queries, other.state.settings.host)
            for name, content in fields.items():
                setattr(answer, name, content)
            queries.handle_answer(answer)
            assert not any(query.answers for query in queries._queries.values())
        assert results == [Asked(None, frozenset())]

    anyio.run(test)


@pytest.mark.parametrize(
    'digests', [[], [b'short'], [DIGEST, b'too long!'], [DIGEST] * (MAX_QUERY_DIGESTS + 1)]
)
def test_odd_queries_are_not_answered(digests):
    """Guards against an answer that covers only a part of a query."""

    async def test():
        network, [queries, _other] = make_fleet(2)
        query = pb.StreamQuery(number=1, digests=digests)
        news = pb.SharedState(stream_query=query)
        heartbeat = pb.EdgeHeartbeat(name='b', incarnation='b-1', host='10.0.0.2', news=news)
        queries.handle_query(heartbeat)
        assert not network.sent
        heartbeat.news.stream_query.ClearField('digests')
        heartbeat.news.stream_query.digests.append(DIGEST)
        queries.handle_query(heartbeat)
        assert [host for _sender, host, _size in network.sent] == ['10.0.0.2']

    anyio.run(test)


NUMBERS = st.integers(0, 2**64 - 1)
DIGESTS = st.just(DIGEST) | st.binary(max_size=12)
ORIGINS = st.builds(
    pb.StreamOrigin,
    digest=DIGESTS,
    service=st.text(max_size=250),
    software_version=st.text(max_size=250),
    age=st.floats(),
)
MESSAGES = st.builds(
    pb.SharedState,
    stream_query=st.builds(
        pb.StreamQuery, number=NUMBERS, digests=st.lists(DIGESTS, max_size=MAX_QUERY_DIGESTS + 5)
    ),
    stream_answer=st.builds(
        pb.StreamAnswer,
        number=st.none() | NUMBERS,
        origins=st.lists(ORIGINS, max_size=5),
        known_count=st.integers(0, 2**32 - 1),
    ),
)
ODD_HOSTS = st.sampled_from(('10.0.0.1', '10.0.0.2', '10.0.0.3', '255.255.255.255', '0.0.0.0'))


@hypothesis.settings(max_examples=40, deadline=None)
@hypothesis.given(st.lists(st.tuples(MESSAGES, ODD_HOSTS, st.text(max_size=250)), max_size=20))
def test_odd_messages_raise_nothing(messages):
    """Guards against a message of one daemon that ends the others or fills their memory."""

    async def test():
        network, [queries, _other] = make_fleet(2)
        network.is_lost = lambda *_arguments: True
        async with anyio.create_task_group() as group:
            results = await start_silent_query(queries, group)
            for news, host, incarnation in messages:
                if not news.stream_answer.number and queries._queries:
                    [news.stream_answer.number] = queries._queries
                heartbeat = pb.EdgeHeartbeat(
                    name='daemon-1', incarnation=incarnation, host=host, news=news
                )
                receive(queries, heartbeat.SerializeToString())
                assert len(queries._queries) <= 1
        assert len(results) == 1
        assert not queries._queries and not queries._asks and not queries._unsent
        assert set(queries.records._learned) <= {DIGEST}
        for known in queries.records._learned.values():
            assert math.isfinite(known.known_since)
        assert len(results[0].answered) <= 1

    anyio.run(test)


def test_flood_leaves_no_memory():
    """Guards against queries and answers that are kept after they were handled."""

    async def test():
        _network, [queries, other] = make_fleet(2)
        for number in range(2000):
            digest = digest_stream(b'%d' % number)
            answer = pb.StreamAnswer(
                number=number, origins=[pb.StreamOrigin(digest=digest, service='llm')]
            )
            query = pb.StreamQuery(number=number, digests=[digest])
            heartbeat = other.state.make_announcement(
                pb.SharedState(stream_query=query, stream_answer=answer), 0
            )
            queries.handle_query(heartbeat)
            queries.handle_answer(heartbeat)
        assert not queries._queries and not queries._asks and not queries.records._learned

    anyio.run(test)


def test_flood_sends_few_datagrams_in_a_large_fleet():
    """Guards against callers that take up unknown streams and so load all daemons of a fleet."""

    async def test():
        network, daemons = make_fleet(51)
        network.is_lost = lambda _sender, _host, _message: True
        began_at = read_lease_clock()
        async with anyio.create_task_group() as group:
            number = 0
            while read_lease_clock() < began_at + 1:
                for _ in range(10):
                    number += 1
                    group.start_soon(daemons[0].ask, digest_stream(b'unknown-%d' % number))
                await anyio.sleep(0.005)
            sent_count = len(network.sent)
            took_s = read_lease_clock() - began_at
            group.cancel_scope.cancel()
        print(f'{number} unknown streams, {sent_count} datagrams')
        # Each query may be repeated once; a first burst is sent at once.
        assert sent_count <= 2 * 50 + 2 * stream_queries.MAX_QUERIES_PER_S * took_s * 1.2
        await anyio.sleep(0.5)
        assert len(daemons[0]._unsent) <= stream_queries.MAX_UNSENT_ASKS
        asked, duration = await ask_timed(daemons[0])
        assert asked.known is None
        assert duration < 1

    anyio.run(test)


def test_asks_beyond_those_that_wait_are_given_up_at_once(monkeypatch):
    """Guards against a flood of unknown streams that fills the memory or delays the others."""
    monkeypatch.setattr(stream_queries, 'MAX_UNSENT_ASKS', 3)

    async def test():
        _network, daemons = make_fleet(3)
        results = await ask_all(daemons[0], [digest_stream(b'%d' % n) for n in range(5)])
        answered = [len(asked.answered) for asked in results.values()]
        assert sorted(answered) == [0, 0, 2, 2, 2]
        assert sum(asked.is_given_up for asked in results.values()) == 2
        assert not daemons[0]._asks

    anyio.run(test)


def test_queries_change_nothing_at_daemons_of_older_builds():
    """Guards against a rolling update in which older daemons misread queries and answers."""

    async def test():
        settings = attrs.evolve(SETTINGS, host='127.0.0.1', heartbeat_port=0)
        daemon = daemon_module.build_edge(settings)
        _network, [sender] = make_fleet(1)
        rows = daemon.state.rows
        rows.apply_manifest(b'{"version": 3}', REVISION)
        row = pb.SharedRow(key='i-1', content=b'{}', revision=REVISION)
        rows.apply_listing([row], REVISION, 0)
        sender.state.rows.apply_listing([row], REVISION, 0)
        sender.state.rows.apply_manifest(b'{"version": 3}', REVISION)
        held = rows.upstreams_revision, rows.complete_since, rows.manifest.revision
        answer = pb.StreamAnswer(number=1, origins=[pb.StreamOrigin(digest=DIGEST)])
        for news in (
            pb.SharedState(stream_query=pb.StreamQuery(number=1, digests=[DIGEST])),
            pb.SharedState(stream_answer=answer),
        ):
            heartbeat = sender._make_announcement(news)
            # An older build keeps the fields that it does not know apart.
            heartbeat.news.ClearField('stream_query')
            heartbeat.news.ClearField('stream_answer')
            decoded = _decode(heartbeat.SerializeToString())
            daemon_module._make_receiver(daemon)(decoded)
            assert (rows.upstreams_revision, rows.complete_since, rows.manifest.revision) == held
            assert dict(rows.upstreams) == {'i-1': row}
            assert not daemon.state.members.known
            assert not daemon.follower._peers_ahead
            # The sender never confirmed its state.
            assert daemon.follower.store_age() == math.inf
        await daemon.close()

    anyio.run(test)


def test_daemons_ask_each_other_by_udp(long_timeout_s):
    """Guards against messages that get lost between the socket and the queries."""

    async def test():
        daemons = []
        queries = []
        async with anyio.create_task_group() as group:
            for number in (1, 2):
                settings = attrs.evolve(
                    SETTINGS, name=f'd{number}', host=f'127.0.0.{number}', heartbeat_port=PORT
                )
                daemon = daemon_module.build_edge(settings)
                assert isinstance(daemon.heartbeats, HeartbeatSocket)
                asking = daemon.stream_queries
                receiver = daemon_module._make_receiver(daemon)
                group.start_soon(daemon.heartbeats.receive, receiver)
                daemons.append(daemon)
                queries.append(asking)
            daemons[0].state.apply_heartbeat(daemons[1].state.make_heartbeat())
            queries[1].records.record(STREAM, ORIGIN, read_lease_clock())
            asked, _duration = await ask_timed(queries[0])
            assert asked.known.origin == ORIGIN
            asked, _duration = await ask_timed(queries[0], digest_stream(b'unknown'))
            assert asked == Asked(None, frozenset([daemons[1].state.incarnation]))
            group.cancel_scope.cancel()
        for daemon in daemons:
            await daemon.close()

    anyio.run(test)


def make_sized_fleet_member():
    """Return a daemon with names and revisions of usual lengths."""
    network = Network()
    queries = add_daemon(network, 123)
    queries.state.rows.apply_listing([], REVISION, 0)
    queries.state.rows.manifest.revision = REVISION
    queries.state.rows.manifest.version = 300
    queries.state.read_store_age = lambda: 0.25
    return queries


@pytest.mark.parametrize('members', [9, 81, 195, 420])
@pytest.mark.parametrize('streams', [1, 60])
def test_bytes_of_a_take_up(members, streams):
    """Guards against queries that load the network in a fleet of many daemons."""
    queries = make_sized_fleet_member()
    digests = [digest_stream(b'attempt-%d' % number) for number in range(streams)]
    number = 2**31
    query = queries._make_announcement(
        pb.SharedState(stream_query=pb.StreamQuery(number=number, digests=digests))
    )
    origins = [
        pb.StreamOrigin(
            digest=digest,
            service=ORIGIN.service,
            software_version=ORIGIN.software_version,
            age=1.5,
        )
        for digest in digests
    ]
    # All others are asked, and one of them knows each stream.
    others = members - 1
    answers = [
        len(answer.SerializeToString())
        for first in range(others)
        for answer in queries._make_answers(number, origins[first::others])
    ]
    size = len(query.SerializeToString())
    total = others * size + sum(answers)
    sizes = f'query {size}, answers {min(answers)} to {max(answers)}'
    print(f'{members=} {streams=}: {sizes}, {round(total / streams)} bytes per take-up')
    assert size <= 150 + 10 * streams
    assert len(answers) == others
    assert max(answers) <= 130 + 45 * math.ceil(streams / others)
    assert total / streams <= others * 350
