"""All daemons are killed at once and come back, while streams of several versions run."""

import asyncio
import contextlib
import math

import anyio
import attrs
import orjson
import pytest

from camphorpath.clocks import read_lease_clock
from camphorpath.edge import daemon as daemon_module
from camphorpath.edge.begun_versions import PART as BEGUN_PART
from camphorpath.edge.begun_versions import TABLE as BEGUN_TABLE
from camphorpath.edge.begun_versions import decode_row as decode_begun_row
from camphorpath.edge.daemon import EdgeDaemon, build_edge
from camphorpath.edge.streams import STREAM_TABLE, VERSION_TABLE
from camphorpath.platform.store import MetadataStore
from camphorpath.platform.wire import ERA_HEADER
from camphorpath.relay.server import serve_calls
from camphorpath.relay.sockets import open_listener
from camphorpath.streams.rows import decode_row

from ..relay.support import (
    CUSTOMER,
    HEADER_NAMES,
    ROUTES,
    ask,
    make_entries,
    make_request,
    open_upstream,
    wait_for,
)
from ..relay.test_streams import HEAD, make_chunk
from ..routing.test_table import make_table
from .fleet import HEARTBEAT_INTERVAL_S, REGIONS, TIMER_INTERVAL_S, exchange_heartbeats
from .test_state import SETTINGS
from .test_stream_queries import Network, Sender
from .test_stream_store import FakeStore

BEGUN_EVENTS = 2
# Slots of an upstream, enough for all streams at whatever daemons they are taken up.
SLOTS_FOR_ALL = 36
LAST_EVENT = 4
# A refusal within this time did not wait for an upstream; the lookup may take 0.6 s.
AT_ONCE_S = 0.9

pytestmark = pytest.mark.anyio


class LeaseClock:
    """The lease clock, for a store that answers in real time."""

    @property
    def now(self):
        return read_lease_clock()


@attrs.define
class SharedStore(FakeStore):
    """The store of all daemons, which may come back from a copy."""

    era: int = 1

    def reply(self, document):
        response = FakeStore.reply(self, document)
        response.headers[ERA_HEADER] = str(self.era)
        return response

    def restore(self, copy):
        self.rows = dict(copy)
        self.era += 1

    def count_records(self):
        return sum(
            len(decode_row(content).origins)
            for (table, _part, _key), content in self.rows.items()
            if table == STREAM_TABLE
        )

    def count_versions(self):
        return len(self.list_keys(VERSION_TABLE, ''))


@attrs.define
class Running:
    """A daemon of the fleet, and the port for its callers."""

    edge: EdgeDaemon
    port: int
    is_stopped: bool = False
    # Connections of callers whose streams are open.
    callers: list = attrs.field(factory=list)

    @property
    def state(self):
        return self.edge.state


async def serve_stream(upstream, reader, writer):
    """Send the events after the last one of the caller; leave streams of /stream/hold open."""
    while True:
        head = await upstream.read_request(reader)
        headers = dict(
            line.lower().split(b': ', 1) for line in head.split(b'\r\n')[1:] if b': ' in line
        )
        last = int(headers.get(b'last-event-id', b'0'))
        is_held = b'/stream/hold' in head
        end = LAST_EVENT
        if is_held:
            end = last + 1 if last else BEGUN_EVENTS
        writer.write(HEAD.replace(b'Attempt: 1', b'Attempt: ' + headers[b'attempt']))
        for number in range(last + 1, end + 1):
            text = f'id: {number}\ndata: {upstream.software_version}-{number}\n\n'
            writer.write(make_chunk(text.encode()))
        if is_held:
            await writer.drain()
            await upstream.wait_closed(reader)
            return
        writer.write(b'0\r\n\r\n')
        await writer.drain()


def build_daemon(zone, store, network, entries, service):
    """Return a daemon with the wiring of the program, but for its sockets and its feeds."""
    number = list(REGIONS).index(zone) + 1
    host = f'10.0.0.{number}'
    with pytest.MonkeyPatch.context() as patch:
        transport = daemon_module.httpx.MockTransport(store.answer)
        patch.setattr(daemon_module, 'MetadataStore', lambda url: MetadataStore(url, transport))
        patch.setattr(daemon_module, 'HeartbeatSocket', lambda host, _port: Sender(network, host))
        edge = build_edge(
            attrs.evolve(
                SETTINGS,
                name=f'daemon-{zone}',
                zone=zone,
                region=REGIONS[zone],
                regions=REGIONS,
                host=host,
                callers_address=f'{host}:1',
                store_writes_per_s=400,
            )
        )
    network.daemons[host] = edge.stream_queries
    edge.relay.header_names = HEADER_NAMES
    # The scripted upstreams report no incarnation.
    edge.relay.reports = None
    routes = [attrs.evolve(route, targets=((service, 1.0),)) for route in ROUTES]
    edge.relay.apply_routing_table(make_table(*routes, customers={'secret': CUSTOMER}))
    state = edge.state
    state.read_store_age = edge.relay.read_store_age = lambda: 0
    state.rows.is_listed = True
    for entry in entries:
        state.view.put(entry)
    state._has_upstream_changes = True
    state.reassign()
    return edge


async def run_timers(daemons):
    """Send heartbeats and place waiting calls until cancelled."""
    next_at = 0
    while True:
        now = read_lease_clock()
        if now >= next_at:
            for daemon in daemons:
                daemon.state.expire()
            exchange_heartbeats(daemons)
            next_at = now + HEARTBEAT_INTERVAL_S
        for daemon in daemons:
            daemon.state.relay.scheduler.expire(now)
        await anyio.sleep(TIMER_INTERVAL_S)


@contextlib.asynccontextmanager
async def run_fleet(store, *upstreams, service='llm', **changes):
    """Run three daemons of new incarnations; at the end all are killed without a stop.

    `changes` are those of the entries of the upstreams.
    """
    network = Network()
    entries = [attrs.evolve(entry, service=service, **changes) for entry in make_entries(upstreams)]
    daemons, listeners = [], []
    async with anyio.create_task_group() as group:
        for zone in REGIONS:
            edge = build_daemon(zone, store, network, entries, service)
            listener = open_listener('127.0.0.1:0')
            listeners.append(listener)
            group.start_soon(serve_calls, edge.relay, listener, group)
            daemons.append(Running(edge, listener.getsockname()[1]))
        exchange_heartbeats(daemons)
        # The second round tells the slots that owners lend.
        exchange_heartbeats(daemons)
        group.start_soon(run_timers, daemons)
        for daemon in daemons:
            group.start_soon(daemon.edge.streams.follow_versions)
            group.start_soon(daemon.edge.streams.write_records)
            group.start_soon(daemon.edge.begun_versions.follow)
        yield daemons
        network.daemons.clear()
        group.cancel_scope.cancel()
    for daemon, listener in zip(daemons, listeners, strict=True):
        listener.close()
        daemon.edge.relay.pool.close_idle(math.inf)
        for writer in daemon.callers:
            writer.close()


async def wait_until_loaded(daemons):
    await wait_for(lambda: all(daemon.edge.streams.is_loaded for daemon in daemons), 5)


async def hold(daemon, request, event):
    """Send the request of a stream that stays open; return the version that brought an event."""
    reader, writer = await asyncio.open_connection('127.0.0.1', daemon.port)
    daemon.callers.append(writer)
    writer.write(request)
    with anyio.fail_after(5):
        head = await reader.readuntil(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 200'), head
        received = await reader.readuntil(b'-%d\n\n' % event)
    return received.rpartition(b'data: ')[2].partition(b'-')[0]


async def begin_streams(daemons, versions=(b'v1', b'v2')):
    """Begin streams at all daemons until each version has some; return the version by id."""
    begun = {}
    for number in range(12):
        stream_id = b'begun-%d' % number
        request = make_request(b'/stream/hold', attempt=stream_id)
        begun[stream_id] = await hold(daemons[number % 3], request, BEGUN_EVENTS)
        if number >= 3 and set(begun.values()) == set(versions):
            return begun
    raise AssertionError(f'no streams of all versions: {begun}')


def take_up(stream_id, attempt, path=b'/stream/x', last=BEGUN_EVENTS):
    headers = b'Last-Event-Id: %d\r\nResumes: %b\r\n' % (last, stream_id)
    return make_request(path, attempt=attempt, headers=headers)


async def read_take_up(port, request):
    """Return the status of the answer and the lines of its events."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(request)
    with anyio.fail_after(5):
        head = await reader.readuntil(b'\r\n\r\n')
        status = int(head.split()[1])
        body = await reader.readuntil(b'0\r\n\r\n') if status == 200 else b''
    writer.close()
    return status, [line for line in body.split(b'\n') if line.startswith(b'data: ')]


async def assert_goes_on(port, stream_id, version, attempt=b'again', last=BEGUN_EVENTS):
    status, events = await read_take_up(port, take_up(stream_id, attempt, last=last))
    assert status == 200
    assert events == [
        b'data: %b-%d' % (version, number) for number in range(last + 1, LAST_EVENT + 1)
    ]


def has_all_versions(store):
    """Return whether a row tells that all versions and targets are written in the current era."""
    keys = store.list_keys(VERSION_TABLE, '')
    contents = [orjson.loads(store.rows[VERSION_TABLE, '', key]) for key in keys]
    return any(content.get('era') == store.era for content in contents)


def list_complete(store):
    """Return the rows of daemons that know all versions in the current era."""
    keys = store.list_keys(BEGUN_TABLE, BEGUN_PART)
    rows = [decode_begun_row(store.rows[BEGUN_TABLE, BEGUN_PART, key]) for key in keys]
    return [row for row in rows if row.is_complete and row.era == store.era]


async def assert_refused(port, stream_id, reason=b'stream_version_unknown\n'):
    """Take a stream up; check that it is refused at once."""
    began_at = read_lease_clock()
    with anyio.fail_after(5):
        status, head, body = await ask(port, take_up(stream_id, b'refused'))
    assert (status, body) == (503, reason)
    assert read_lease_clock() - began_at < AT_ONCE_S
    if reason == b'stream_version_unknown\n':
        assert b'retry-after: 0.3' in head.lower()


def count_requests(*upstreams):
    return sum(len(upstream.requests) for upstream in upstreams)


@pytest.fixture
def store():
    return SharedStore(LeaseClock())


@pytest.fixture
async def old(anyio_backend):
    """Serve an upstream of the version v1."""
    async with open_upstream(serve_stream, 'v1') as upstream:
        yield upstream


@pytest.fixture
async def new(anyio_backend):
    """Serve an upstream of the version v2."""
    async with open_upstream(serve_stream, 'v2') as upstream:
        yield upstream


async def test_streams_of_two_versions_go_on_at_their_own_after_a_kill(store, old, new):
    """Guards against streams that are joined from two versions after a kill of all daemons."""
    async with run_fleet(store, old, new) as daemons:
        await wait_until_loaded(daemons)
        begun = await begin_streams(daemons)
        await wait_for(lambda: store.count_records() == len(begun), 5)
    async with run_fleet(store, old, new) as daemons:
        await wait_until_loaded(daemons)
        for number, (stream_id, version) in enumerate(begun.items()):
            for place, daemon in enumerate(daemons):
                attempt = b'again-%d-%d' % (number, place)
                await assert_goes_on(daemon.port, stream_id, version, attempt)


async def test_streams_of_a_version_that_left_are_refused_after_a_kill(store, old, new):
    """Guards against streams that go on at the only version that is left after a kill."""
    async with run_fleet(store, old, new) as daemons:
        await wait_until_loaded(daemons)
        begun = await begin_streams(daemons)
        await wait_for(lambda: store.count_records() == len(begun), 5)
    async with run_fleet(store, new) as daemons:
        await wait_until_loaded(daemons)
        for number, (stream_id, version) in enumerate(begun.items()):
            for place, daemon in enumerate(daemons):
                if version == b'v1':
                    requests = count_requests(old, new)
                    await assert_refused(daemon.port, stream_id, b'no_upstream\n')
                    assert count_requests(old, new) == requests
                    continue
                attempt = b'again-%d-%d' % (number, place)
                await assert_goes_on(daemon.port, stream_id, version, attempt)


@pytest.mark.parametrize('is_old_left', [False, True])
async def test_streams_without_a_record_are_refused_after_a_kill(store, old, new, is_old_left):
    """Guards against a version that is guessed for streams that began just before a kill."""
    async with run_fleet(store, old, new) as daemons:
        await wait_until_loaded(daemons)
        await wait_for(lambda: store.count_versions() == 2, 5)
        store.status = 429
        begun = await begin_streams(daemons)
    assert not store.count_records()
    store.status = 200
    requests = count_requests(old, new)
    async with run_fleet(store, *((new,) if is_old_left else (old, new))) as daemons:
        for stream_id in begun:
            for daemon in daemons:
                await assert_refused(daemon.port, stream_id)
        await wait_until_loaded(daemons)
        for stream_id in begun:
            for daemon in daemons:
                await assert_refused(daemon.port, stream_id)
    assert count_requests(old, new) == requests


async def test_streams_of_the_only_version_go_on_without_records_after_a_kill(store, old):
    """Guards against refused streams, and records, where nothing can be joined wrongly."""
    async with run_fleet(store, old) as daemons:
        await wait_until_loaded(daemons)
        begun = await begin_streams(daemons, versions=(b'v1',))
        await anyio.sleep(0.5)
    async with run_fleet(store, old) as daemons:
        await wait_until_loaded(daemons)
        for number, stream_id in enumerate(begun):
            for place, daemon in enumerate(daemons):
                attempt = b'again-%d-%d' % (number, place)
                await assert_goes_on(daemon.port, stream_id, b'v1', attempt)
        await anyio.sleep(0.5)
    assert {table for table, _part, _key in store.rows} == {VERSION_TABLE, BEGUN_TABLE}
    # One row for each daemon of both fleets, whatever the number of streams.
    assert len(store.list_keys(BEGUN_TABLE, BEGUN_PART)) == 2 * len(daemons)


@pytest.mark.parametrize('is_restored', [True, False])
async def test_streams_go_on_if_another_version_came_while_all_daemons_were_down(
    store, old, new, is_restored
):
    """Guards against refused streams of the only version that served before a loss of power."""
    async with run_fleet(store, old) as daemons:
        await wait_until_loaded(daemons)
        begun = await begin_streams(daemons, versions=(b'v1',))
        if is_restored:
            # The daemons outlive the restore, and write again what it has lost.
            store.restore({})
            for daemon in daemons:
                daemon.edge.state.restored.set()
                daemon.edge.state.restored = anyio.Event()
            await wait_for(lambda: has_all_versions(store) and len(list_complete(store)) == 3)
    async with run_fleet(store, old, new) as daemons:
        await wait_until_loaded(daemons)
        for number, stream_id in enumerate(begun):
            for place, daemon in enumerate(daemons):
                attempt = b'again-%d-%d' % (number, place)
                await assert_goes_on(daemon.port, stream_id, b'v1', attempt)


@pytest.mark.parametrize('is_restored', [True, False])
async def test_streams_are_refused_if_lost_daemons_may_have_used_several_versions(
    store, old, new, is_restored
):
    """Guards against joined streams after a loss of the rows that tell the versions in use."""
    async with run_fleet(store, old) as daemons:
        await wait_until_loaded(daemons)
        begun = await begin_streams(daemons, versions=(b'v1',))
        copy = dict(store.rows)
    async with run_fleet(store, old, new) as daemons:
        await wait_until_loaded(daemons)
        begun = await begin_streams(daemons)
    if is_restored:
        store.restore(copy)
    for place in [place for place in store.rows if place[0] == STREAM_TABLE]:
        store.rows.pop(place)
    async with run_fleet(store, old, new) as daemons:
        await wait_until_loaded(daemons)
        for stream_id in begun:
            for daemon in daemons:
                await assert_refused(daemon.port, stream_id)


async def test_streams_are_refused_until_the_store_is_back_after_a_kill(store, old, new):
    """Guards against daemons that guess a version while they cannot read the store."""
    async with run_fleet(store, old, new) as daemons:
        await wait_until_loaded(daemons)
        begun = await begin_streams(daemons)
        await wait_for(lambda: store.count_records() == len(begun), 5)
    store.status = 503
    async with run_fleet(store, new) as daemons:
        requests = count_requests(old, new)
        for stream_id in begun:
            for daemon in daemons:
                await assert_refused(daemon.port, stream_id)
        assert count_requests(old, new) == requests
        store.status = 200
        await wait_until_loaded(daemons)
        # Failed reads are shared for half a second.
        await anyio.sleep(0.6)
        for number, (stream_id, version) in enumerate(begun.items()):
            for place, daemon in enumerate(daemons):
                if version == b'v1':
                    await assert_refused(daemon.port, stream_id, b'no_upstream\n')
                    continue
                attempt = b'again-%d-%d' % (number, place)
                await assert_goes_on(daemon.port, stream_id, version, attempt)


@pytest.mark.parametrize('missing', ['records', 'version'])
@pytest.mark.parametrize('registered', ['both', 'old', 'new'])
async def test_streams_are_not_joined_after_a_kill_and_a_restore(
    store, old, new, missing, registered
):
    """Guards against a copy that lacks the records, or also a version, of the last seconds."""
    async with run_fleet(store, old) as daemons:
        await wait_until_loaded(daemons)
        await wait_for(lambda: store.count_versions() == 1, 5)
    copy = dict(store.rows)
    async with run_fleet(store, old, new) as daemons:
        await wait_until_loaded(daemons)
        await wait_for(lambda: store.count_versions() == 2, 5)
        if missing == 'records':
            copy = dict(store.rows)
        begun = await begin_streams(daemons)
        await wait_for(lambda: store.count_records() == len(begun), 5)
    store.restore(copy)
    assert not store.count_records()
    upstreams = {'both': (old, new), 'old': (old,), 'new': (new,)}[registered]
    async with run_fleet(store, *upstreams) as daemons:
        await wait_until_loaded(daemons)
        answers = [
            (version, *await read_take_up(daemon.port, take_up(stream_id, b'again')))
            for stream_id, version in begun.items()
            for daemon in daemons
        ]
    joined = [
        (version, events)
        for version, _status, events in answers
        if any(not event.startswith(b'data: %b-' % version) for event in events)
    ]
    assert not joined
    # Nothing tells the streams of the two versions apart.
    assert {status for _version, status, _events in answers} == {503}


async def test_streams_of_a_service_that_a_route_left_are_refused_after_a_kill(store, old, new):
    """Guards against streams that go on at another service after a change of routes and a kill."""
    async with run_fleet(store, old) as daemons:
        await wait_until_loaded(daemons)
        begun = await begin_streams(daemons, versions=(b'v1',))
    async with run_fleet(store, new, service='other') as daemons:
        await wait_until_loaded(daemons)
        for stream_id in begun:
            for daemon in daemons:
                await assert_refused(daemon.port, stream_id, b'no_upstream\n')
    assert not new.requests


async def test_chain_of_take_ups_stays_at_its_version_over_two_kills(store, old, new):
    """Guards against a stream that a second kill of all daemons joins from two versions."""
    async with run_fleet(store, old, new) as daemons:
        await wait_until_loaded(daemons)
        begun = await begin_streams(daemons)
        await wait_for(lambda: store.count_records() == len(begun), 5)
    # All streams may have begun at one version, and all of them are held open at once.
    async with run_fleet(store, old, new, slots=SLOTS_FOR_ALL) as daemons:
        await wait_until_loaded(daemons)
        for number, (stream_id, version) in enumerate(begun.items()):
            request = take_up(stream_id, b'second-%d' % number, b'/stream/hold')
            assert await hold(daemons[number % 3], request, BEGUN_EVENTS + 1) == version
    async with run_fleet(store, old, new) as daemons:
        await wait_until_loaded(daemons)
        for number, (stream_id, version) in enumerate(begun.items()):
            port = daemons[(number + 1) % 3].port
            attempt = b'third-%d' % number
            await assert_goes_on(port, stream_id, version, attempt, last=BEGUN_EVENTS + 1)
