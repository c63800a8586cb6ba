import base64
import functools
import itertools
import math
import time

import anyio
import anyio.lowlevel
import attrs
import httpx
import orjson
import pytest

from camphorpath.edge.streams import (
    FORGET_DELAY_S,
    MAX_REJECTED_ROWS,
    MAX_SEEN_LAG_S,
    REFRESH_INTERVAL_S,
    STREAM_TABLE,
    VERSION_RETENTION_S,
    VERSION_TABLE,
    StreamStore,
)
from camphorpath.errors import TableUnavailable
from camphorpath.events import Event, EventLog
from camphorpath.platform.store import MetadataStore
from camphorpath.platform.wire import ERA_HEADER
from camphorpath.schema import camphorpath_pb2 as pb
from camphorpath.streams import (
    Origin,
    ResumableServices,
    Source,
    StreamRecords,
    VersionHistory,
    digest_stream,
)
from camphorpath.streams.rows import (
    VersionRow,
    decode_row,
    decode_version_row,
    encode_version_row,
    make_version_key,
)

from .test_state import SETTINGS

HORIZON_S = 30
# The store's clock began this much earlier than the lease clock.
STORE_OFFSET_S = 5000
OLD, NEW = Origin('llm', 'v1'), Origin('llm', 'v2')


@attrs.define
class Clock:
    """A lease clock that only pauses advance."""

    now: float = 1000
    end: float = math.inf
    ended: anyio.Event = attrs.field(factory=anyio.Event)
    # Called after each pause.
    on_advance: object = lambda: None

    def read(self):
        return self.now

    async def sleep(self, pause_s):
        await anyio.lowlevel.checkpoint()
        if pause_s and self.now + pause_s > self.end:
            self.ended.set()
            await anyio.sleep_forever()
        self.now += pause_s
        self.on_advance()

    async def run(self, task, time_s):
        """Run a task for some seconds of this clock."""
        self.end = self.now + time_s
        self.ended = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(task)
            with anyio.fail_after(10):
                await self.ended.wait()
            group.cancel_scope.cancel()
        self.now, self.end = self.end, math.inf


@attrs.define
class FakeStore:
    """The rows of a metadata store, by table, part and key, with its HTTP interface."""

    clock: Clock
    rows: dict = attrs.field(factory=dict)
    # Status of all answers; None for connections that break after a call was read.
    status: int | None = 200
    # Whether calls that get no answer take effect.
    has_effect: bool = False
    # Whether writes get no answer.
    is_hanging: bool = False
    # Parts whose reads are refused.
    refused_parts: frozenset = frozenset()
    # None if the answers state no era.
    era: int | None = None
    # Called when a transaction came.
    on_write: object = lambda: None
    reads: list = attrs.field(factory=list)
    # Bodies of the transactions that came, and when.
    writes: list = attrs.field(factory=list)

    @property
    def calls(self):
        return len(self.reads) + len(self.writes)

    async def answer(self, request):
        await anyio.lowlevel.checkpoint()
        if request.method == 'POST':
            body = orjson.loads(request.content)
            assert 1 <= len(body['write']) + len(body['remove']) <= 100
            self.writes.append((self.clock.now, body))
            self.on_write()
            if self.is_hanging:
                await anyio.sleep_forever()
            if self.status == 200 or (self.status is None and self.has_effect):
                self.apply(body)
            return self.reply({})
        query = request.url.params
        table, part = query['table_name'], query.get('part')
        self.reads.append((request.url.path.rpartition('/')[2], part))
        if part in self.refused_parts:
            return httpx.Response(503)
        if request.url.path.endswith('rows-parts'):
            parts = sorted({place[1] for place in self.rows if place[0] == table})
            return self.reply({'parts': parts})
        rows = [
            {'key': key, 'value': base64.b64encode(self.rows[table, part, key]).decode()}
            for key in self.list_keys(table, part)
        ]
        return self.reply({'rows': rows})

    def reply(self, document):
        if self.status is None:
            raise httpx.ReadError('reset')
        times = {'row_version': 1, 'server_time_ms': (self.clock.now + STORE_OFFSET_S) * 1000}
        headers = {} if self.era is None else {ERA_HEADER: str(self.era)}
        content = orjson.dumps({**document, **times})
        return httpx.Response(self.status, headers=headers, content=content)

    def apply(self, body):
        for row in body['write']:
            content = base64.b64decode(row['value'])
            self.rows[row['table_name'], row['part'], row['key']] = content
        for row in body['remove']:
            self.rows.pop((row['table_name'], row['part'], row['key']), None)

    def list_keys(self, table, part):
        return sorted(key for name, place, key in self.rows if (name, place) == (table, part))

    def list_origins(self, part='me-1'):
        """Return the records in the rows of a part."""
        origins = {}
        for key in self.list_keys(STREAM_TABLE, part):
            origins |= decode_row(self.rows[STREAM_TABLE, part, key]).origins
        return origins

    def list_versions(self):
        """Return when each version was seen, on the lease clock."""
        rows = [
            decode_version_row(self.rows[VERSION_TABLE, '', key])
            for key in self.list_keys(VERSION_TABLE, '')
        ]
        return {
            (row.service, row.software_version): pytest.approx(row.seen_s - STORE_OFFSET_S)
            for row in rows
        }


@attrs.define
class Daemon:
    """What a daemon holds of streams, and its access to the store."""

    store: FakeStore
    incarnation: str = 'me-1'
    registered: set = attrs.field(factory=lambda: {('llm', 'v1'), ('llm', 'v2')})
    actives: int = 9
    is_writer: bool = True
    is_confirmed: bool = True
    services: ResumableServices | None = None
    restored: anyio.Event = attrs.field(factory=anyio.Event)
    records: StreamRecords = attrs.field(factory=StreamRecords)
    history: VersionHistory = attrs.field(factory=VersionHistory)
    events: EventLog = attrs.field(factory=lambda: EventLog('test'))
    streams: StreamStore = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.streams = StreamStore(
            records=self.records,
            history=self.history,
            store=MetadataStore('http://store', httpx.MockTransport(self.store.answer)),
            events=self.events,
            settings=attrs.evolve(SETTINGS, store_writes_per_s=400),
            incarnation=self.incarnation,
            count_actives=lambda: self.actives,
            is_version_writer=lambda: self.is_writer,
            list_registered=lambda: self.registered,
            is_ambiguous=lambda service: self.history.is_mixed(
                service, self.store.clock.now - HORIZON_S
            ),
            get_horizon_s=lambda _service: HORIZON_S,
            get_restored=lambda: self.restored,
            is_view_confirmed=lambda: self.is_confirmed,
            read_clock=self.store.clock.read,
            services=self.services,
        )

    def mix(self, *origins):
        """Register the versions of some origins now."""
        for origin in origins or (OLD, NEW):
            self.history.record(origin.service, origin.software_version, self.store.clock.now)

    def begin(self, number, origin=OLD):
        """Record a stream that begins here; return its digest."""
        stream_id = b'%d' % number
        self.records.record(stream_id, origin, self.store.clock.now)
        return digest_stream(stream_id)

    def restore(self):
        """Report that the store was restored from a copy."""
        self.restored.set()
        self.restored = anyio.Event()

    async def write(self, time_s=1.0):
        await self.store.clock.run(self.streams.write_records, time_s)

    async def follow(self, time_s=1.0):
        await self.store.clock.run(self.streams.follow_versions, time_s)

    def list_events(self, event):
        return [
            record for record in self.events.select(pb.TimelineRequest()) if record.number == event
        ]


@pytest.fixture
def clock(monkeypatch):
    scripted = Clock()
    monkeypatch.setattr('camphorpath.transports.read_lease_clock', scripted.read)
    monkeypatch.setattr('camphorpath.edge.streams.anyio.sleep', scripted.sleep)
    return scripted


@pytest.fixture
def store(clock):
    return FakeStore(clock)


pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(
    ('actives', 'interval_s'), [(1, 0.2), (9, 0.225), (20, 0.5), (40, 1), (2000, 1)]
)
async def test_writes_are_batched_and_their_rate_is_bounded(store, actives, interval_s):
    """Guards against records that use up the store's write calls of all daemons."""
    daemon = Daemon(store, actives=actives)
    begun = {}

    def begin_streams():
        daemon.mix()
        for _ in range(5):
            begun[daemon.begin(len(begun))] = OLD

    store.clock.on_advance = begin_streams
    await daemon.write(10)
    assert len(store.writes) <= 10 / interval_s + 1
    assert len(store.writes) >= 10 / interval_s - 2
    times = [at for at, _body in store.writes]
    gaps = [after - before for before, after in itertools.pairwise(times)]
    assert min(gaps) > interval_s - 0.001
    assert store.list_origins() == begun


async def test_row_is_rewritten_and_then_the_next_one_begins(store):
    """Guards against a row for each record, and rows that grow without end."""
    daemon = Daemon(store)
    keys = []
    for number in range(30):
        daemon.mix()
        daemon.begin(number)
        await daemon.write(0.25)
        keys.append(store.list_keys(STREAM_TABLE, 'me-1'))
    assert len(store.writes) == 30
    assert keys[0] == keys[7] == ['000000000000']
    assert keys[-1] == [f'{number:012}' for number in range(4)]
    assert len(store.list_origins()) == 30


async def test_old_rows_are_removed_with_the_next_write(store):
    """Guards against a table that grows for as long as several versions are registered."""
    daemon = Daemon(store)
    for number in range(20):
        daemon.mix()
        digest = daemon.begin(number)
        await daemon.write(9)
    kept = (16, 17, 18, 19)
    assert store.list_keys(STREAM_TABLE, 'me-1') == [f'{number:012}' for number in kept]
    assert digest in store.list_origins()
    assert len(store.writes) == 20
    assert max(len(body['remove']) for _at, body in store.writes) == 1


async def test_many_old_rows_are_removed_in_several_transactions(store):
    """Guards against a transaction that the store refuses for good as too long."""
    daemon = Daemon(store)
    for number in range(8000):
        daemon.begin(number)
    daemon.mix()
    await daemon.write(5)
    store.clock.now += 2 * HORIZON_S
    for number in range(3):
        daemon.mix()
        daemon.begin(-number)
        await daemon.write(3)
    assert len(store.list_keys(STREAM_TABLE, 'me-1')) == 3


async def test_started_daemon_finds_the_streams_of_one_that_is_gone(store):
    """Guards against a stream that goes on at another version after a kill of its daemon."""
    gone, started = Daemon(store, 'gone-1'), Daemon(store, 'new-1')
    gone.mix()
    old, new = gone.begin(1, OLD), gone.begin(2, NEW)
    await gone.write()
    for digest, origin in ((old, OLD), (new, NEW)):
        known = await started.streams.find(digest, frozenset())
        assert (known.origin, known.source) == (origin, Source.STORE)
        assert started.records.find(digest) == known
    assert await started.streams.find(digest_stream(b'other'), frozenset()) is None


async def test_parts_of_daemons_that_answered_are_not_read(store):
    """Guards against reads of the store that tell nothing new."""
    for name in ('a-1', 'b-1', 'me-1'):
        daemon = Daemon(store, name)
        daemon.mix()
        digest = daemon.begin(1)
        await daemon.write()
    store.reads.clear()
    asking = Daemon(store)
    assert await asking.streams.find(digest, frozenset(('a-1', 'b-1'))) is None
    assert store.reads == [('rows-parts', None)]
    assert await asking.streams.find(digest, frozenset(('a-1',)))
    assert store.reads == [('rows-parts', None), ('rows-get', 'b-1')]


async def test_nothing_is_written_while_one_version_is_registered(store):
    """Guards against an idle fleet that uses the store."""
    daemon = Daemon(store)
    store.clock.on_advance = lambda: daemon.mix(OLD)
    for number in range(10):
        daemon.begin(number)
        await daemon.write(5)
    daemon.mix(NEW)
    await daemon.write(5)
    assert store.writes
    calls = store.calls
    # Nothing is new any more.
    await daemon.write(60)
    assert store.calls == calls


async def test_many_records_cost_little_while_one_version_is_registered(store):
    """Guards against processor time that an idle daemon spends on records it does not write."""
    daemon = Daemon(store)
    daemon.mix(OLD)
    for number in range(10000):
        daemon.begin(number)
    begun_s = time.process_time()
    await daemon.write(20)
    # About 90 checks; each may take 5 ms.
    assert time.process_time() - begun_s < 0.45
    assert not store.calls


async def test_records_from_before_the_mix_are_written_once_it_begins(store):
    """Guards against streams that began just before another version was registered."""
    daemon = Daemon(store)
    daemon.mix(OLD)
    too_old = daemon.begin(0)
    store.clock.now += HORIZON_S - 5
    daemon.mix(OLD, Origin('other', 'v1'))
    begun = daemon.begin(1)
    daemon.begin(2, Origin('other', 'v1'))
    store.clock.now += 6
    await daemon.write()
    assert not store.calls
    daemon.mix(NEW)
    await daemon.write()
    assert store.list_origins() == {begun: OLD}
    assert too_old not in store.list_origins()


@pytest.mark.parametrize('status', [503, 429, None])
async def test_records_are_written_when_the_store_is_back(store, status):
    """Guards against records that are lost, and a flood of calls, while the store is away."""
    daemon = Daemon(store)
    daemon.mix()
    begun = {daemon.begin(0): OLD}
    await daemon.write(0.2)
    store.status = status
    writes = len(store.writes)
    for number in range(1, 11):
        daemon.mix()
        begun[daemon.begin(number)] = OLD
        await daemon.write(1)
    # Each second begins with a new task.
    assert len(store.writes) - writes <= 20
    store.status = 200
    await daemon.write(2)
    assert store.list_origins() == begun
    failures = daemon.list_events(Event.STREAM_STORE_FAILED)
    assert [record.fields['task'] for record in failures] == ['records']
    store.status = status
    daemon.begin(11)
    await daemon.write(1)
    assert len(daemon.list_events(Event.STREAM_STORE_FAILED)) == 2


async def test_rows_of_a_long_outage_are_given_up(store):
    """Guards against memory that grows, and outdated rows that are written, after an outage."""
    daemon = Daemon(store)
    daemon.mix()
    daemon.begin(-1)
    await daemon.write()
    store.status = 503
    for number in range(20):
        daemon.mix()
        daemon.begin(number)
        await daemon.write(10)
    assert len(daemon.streams._own_rows._rows) <= 5
    store.status = 200
    await daemon.write(2)
    assert len(store.list_origins()) <= 3


async def test_row_that_the_store_refused_takes_up_more_records(store):
    """Guards against a row for each write that a busy store refuses."""
    daemon = Daemon(store)
    daemon.mix()
    for number, status in enumerate((200, 429, 429, 200)):
        store.status = status
        daemon.begin(number)
        await daemon.write(0.2)
    assert len(store.list_origins()) == 4
    assert store.list_keys(STREAM_TABLE, 'me-1') == ['000000000000']


@pytest.mark.parametrize('has_effect', [True, False])
async def test_write_that_takes_effect_late_undoes_no_other(store, has_effect):
    """Guards against records that vanish when the store performs an unanswered write again."""
    daemon = Daemon(store)
    daemon.mix()
    begun = {daemon.begin(0): OLD}
    store.status, store.has_effect = None, has_effect
    daemon.streams._store_offset_s = STORE_OFFSET_S
    await daemon.write(0.2)
    late = store.writes[-1][1]
    store.status = 200
    begun[daemon.begin(1)] = OLD
    await daemon.write(0.2)
    begun[daemon.begin(2)] = OLD
    await daemon.write(0.2)
    store.apply(late)
    assert store.list_origins() == begun


async def test_write_that_a_stop_cancels_is_not_overwritten_by_a_late_effect(store):
    """Guards against a cancelled write that takes effect after the last one."""
    daemon = Daemon(store)
    daemon.mix()
    begun = {daemon.begin(0): OLD}
    store.is_hanging = True
    async with anyio.create_task_group() as group:
        group.start_soon(daemon.streams.write_records)
        while not store.writes:
            await anyio.lowlevel.checkpoint()
        group.cancel_scope.cancel()
    store.is_hanging = False
    begun[daemon.begin(1)] = OLD
    await daemon.streams.flush(1)
    store.apply(store.writes[0][1])
    assert store.list_origins() == begun


async def test_rows_that_a_restore_of_the_store_lost_are_written_again(store):
    """Guards against streams whose version nobody knows after a restore and a kill."""
    daemon = Daemon(store)
    begun = {}
    for number in range(6):
        daemon.mix()
        begun[daemon.begin(number)] = OLD
        await daemon.write(9)
    recent = dict(list(begun.items())[-3:])
    store.rows.clear()

    def restore_once():
        store.clock.on_advance = lambda: None
        daemon.restore()

    store.clock.on_advance = restore_once
    writes = len(store.writes)
    await daemon.write(2)
    assert store.list_origins() == recent
    assert len(store.writes) == writes + 1


async def test_many_rows_are_written_again_in_several_transactions(store):
    """Guards against a transaction that the store refuses as too long."""
    daemon = Daemon(store)
    daemon.mix()
    begun = {daemon.begin(number): OLD for number in range(8000)}
    await daemon.write(5)
    assert store.list_origins() == begun
    assert len(store.writes) == 2


@pytest.mark.parametrize('count', [5, MAX_REJECTED_ROWS + 9])
async def test_unreadable_rows_are_ignored_and_kept(store, count):
    """Guards against rows of other writers that hide streams, end the daemon or flood its log."""
    gone, asking = Daemon(store, 'gone-1'), Daemon(store)
    gone.mix()
    digest = gone.begin(1)
    await gone.write()
    store.rows[STREAM_TABLE, 'gone-1', '0'] = b'\7future'
    for number in range(count):
        store.rows[STREAM_TABLE, 'odd-1', f'{number}'] = b''
    for _ in range(3):
        assert await asking.streams.find(digest, frozenset())
        store.clock.now += 10 * HORIZON_S
    rejected = asking.list_events(Event.STREAM_ROW_INVALID)
    assert len(rejected) == min(count + 1, MAX_REJECTED_ROWS)
    places = {(record.fields['part'], record.fields['key']) for record in rejected}
    assert len(places) == len(rejected)
    rows = dict(store.rows)
    await asking.write()
    assert store.rows == rows


async def test_lookup_fails_if_a_part_that_may_hold_the_stream_cannot_be_read(store):
    """Guards against a stream that counts as unknown, or goes on elsewhere, in an outage."""
    first, second, asking = (Daemon(store, name) for name in ('a-1', 'b-1', 'me-1'))
    for number, daemon in enumerate((first, second)):
        daemon.mix()
        daemon.begin(number)
        await daemon.write()
    store.refused_parts = frozenset(('a-1',))
    assert await asking.streams.find(digest_stream(b'1'), frozenset())
    with pytest.raises(TableUnavailable):
        await asking.streams.find(digest_stream(b'0'), frozenset())
    assert asking.list_events(Event.STREAM_STORE_FAILED)
    store.refused_parts = frozenset()
    store.clock.now += 0.6
    assert await asking.streams.find(digest_stream(b'0'), frozenset())
    store.status = 503
    store.clock.now += 0.6
    with pytest.raises(TableUnavailable):
        await asking.streams.find(digest_stream(b'2'), frozenset())


async def write_parts(store, count):
    """Write a stream of each of some daemons that are gone; return the digests."""
    digests = []
    for number in range(count):
        daemon = Daemon(store, f'gone-{number}')
        daemon.mix()
        digests.append(daemon.begin(number))
        await daemon.write(0.1)
    store.reads.clear()
    return digests


async def test_burst_of_lookups_reads_each_part_once(store):
    """Guards against a store that refuses reads, as each take-up after a kill reads all parts."""
    digests = await write_parts(store, 20)
    asking = Daemon(store)
    found = []

    async def look_up(digest):
        found.append(await asking.streams.find(digest, frozenset()))

    for _ in range(2):
        async with anyio.create_task_group() as group:
            for digest in digests * 10:
                group.start_soon(look_up, digest)
    assert len(found) == 400
    assert all(found)
    assert len(store.reads) == len(set(store.reads)) == 21
    store.clock.now += 0.6
    await look_up(digests[0])
    assert len(store.reads) == 42


async def test_cancelled_lookup_does_not_hold_up_the_others(store):
    """Guards against take-ups that wait for good, as the caller of another one went away."""
    digests = await write_parts(store, 5)
    asking = Daemon(store)
    found = []

    async def look_up(digest):
        found.append(await asking.streams.find(digest, frozenset()))

    for steps in range(12):
        store.clock.now += 1
        async with anyio.create_task_group() as group:
            scope = anyio.CancelScope()

            async def look_up_until_cancelled(scope=scope):
                with scope:
                    await asking.streams.find(digests[0], frozenset())

            group.start_soon(look_up_until_cancelled)
            for digest in digests:
                group.start_soon(look_up, digest)
            for _ in range(steps):
                await anyio.lowlevel.checkpoint()
            scope.cancel()
            with anyio.fail_after(5):
                while len(found) < 5 * (steps + 1):
                    await anyio.lowlevel.checkpoint()
    assert all(found)


async def test_parts_of_removed_vms_are_removed(store):
    """Guards against a table that keeps the rows of each process that ever ran."""
    await write_parts(store, 3)
    asking = Daemon(store)
    asking.mix()
    own = asking.begin(9)
    await asking.write()
    store.clock.now += 2 * HORIZON_S - 5
    await write_parts(store, 1)
    await asking.streams.find(digest_stream(b'x'), frozenset())
    await asking.write()
    assert len({place[1] for place in store.rows}) == 4
    store.clock.now += 10
    writes = len(store.writes)
    await asking.streams.find(digest_stream(b'x'), frozenset())
    await asking.write(2)
    assert {place[1] for place in store.rows} == {'gone-0', 'me-1'}
    assert len(store.writes) == writes + 2
    assert own in store.list_origins()


@pytest.mark.parametrize('origins', [(OLD, NEW), (OLD,)], ids=['mixed', 'only_version'])
async def test_last_write_of_a_planned_stop(store, origins):
    """Guards against the last streams of a daemon that is stopped, also before a release."""
    daemon = Daemon(store)
    daemon.mix(*origins)
    begun = {daemon.begin(number): OLD for number in range(100)}
    await daemon.streams.flush(1)
    assert store.list_origins() == begun
    assert len(store.writes) == 1
    await daemon.streams.flush(1)
    assert len(store.writes) == 1


async def test_last_write_is_bounded(store, monkeypatch):
    """Guards against a planned stop that waits for a store that is away."""
    monkeypatch.undo()
    daemon = Daemon(store)
    daemon.mix()
    daemon.begin(0)
    store.status = 503
    began_at = anyio.current_time()
    await daemon.streams.flush(0.3)
    assert anyio.current_time() - began_at < 0.6
    assert daemon.list_events(Event.STREAM_STORE_FAILED)


def put_version(store, pair, seen_at):
    row = VersionRow(*pair, None if seen_at is None else seen_at + STORE_OFFSET_S)
    store.rows[VERSION_TABLE, '', make_version_key(*pair)] = encode_version_row(row)


async def test_versions_are_read_at_the_start_with_their_ages(store):
    """Guards against a started daemon that takes the only registered version for the stream's."""
    now = store.clock.now
    put_version(store, ('llm', 'v1'), now - 20)
    put_version(store, ('llm', 'v0'), now - 400)
    put_version(store, ('llm', 'ahead'), now + 50)
    put_version(store, ('llm', 'timeless'), None)
    store.rows[VERSION_TABLE, '', 'odd'] = b'{}'
    daemon = Daemon(store, registered={('llm', 'v2')}, is_writer=False)
    assert not daemon.streams.is_loaded
    store.status = 503
    await daemon.follow(3)
    assert not daemon.streams.is_loaded
    assert daemon.history.list_since('llm', 0) == {'v2'}
    store.status = 200
    await daemon.follow(3)
    assert daemon.streams.is_loaded
    seen = daemon.history.list_last_seen()
    assert seen.pop(('llm', 'v2')) >= now + 5
    assert seen == {
        ('llm', 'v1'): pytest.approx(now - 20 + MAX_SEEN_LAG_S),
        ('llm', 'v0'): pytest.approx(now - 400 + MAX_SEEN_LAG_S),
        ('llm', 'ahead'): pytest.approx(now + 3),
        ('llm', 'timeless'): pytest.approx(now + 3),
    }
    assert daemon.history.is_mixed('llm', store.clock.now - HORIZON_S)
    assert len(daemon.list_events(Event.STREAM_ROW_INVALID)) == 1
    assert not store.writes
    # Failed twice three times, as each call starts the task; it is read once then.
    reads = len(store.reads)
    await daemon.follow(20)
    assert len(store.reads) == reads


@pytest.mark.parametrize('served_s', [0.5, 3.9, 4.9, 5.5, 9.9, 13.9])
async def test_version_counts_as_seen_until_its_next_refresh(store, served_s):
    """Guards against a started daemon that forgets a version which served after a refresh."""
    writer = Daemon(store)
    await writer.follow(served_s)
    left_at = store.clock.now
    store.clock.now += 10
    started = Daemon(store, registered={('llm', 'v2')}, is_writer=False)
    await started.follow(0.5)
    assert left_at <= started.history.list_last_seen()['llm', 'v1'] <= left_at + MAX_SEEN_LAG_S


async def test_only_the_writer_writes_versions(store):
    """Guards against version rows that cost a write of each daemon."""
    daemon = Daemon(store, is_writer=False)
    await daemon.follow(20)
    assert not store.writes
    daemon.is_writer = True
    begun_at = store.clock.now
    await daemon.follow(0.5)
    assert store.list_versions() == {('llm', 'v1'): begun_at, ('llm', 'v2'): begun_at}
    await daemon.follow(60)
    # One write refreshes all versions.
    assert len(store.writes) <= 2 + 60 / REFRESH_INTERVAL_S
    last_seen = min(daemon.history.list_last_seen().values())
    assert min(store.clock.now - 6, last_seen) <= max(at for at, _body in store.writes)
    daemon.registered.add(('llm', 'v3'))
    writes = len(store.writes)
    await daemon.follow(1.5)
    assert ('llm', 'v3') in store.list_versions()
    assert len(store.writes) <= writes + 2


async def test_versions_are_written_when_the_store_is_back(store):
    """Guards against a version that stays unknown, as its first write failed."""
    daemon = Daemon(store)
    await daemon.follow(1)
    daemon.registered.add(('llm', 'v3'))
    for status in (429, 503, None):
        store.status = status
        await daemon.follow(3)
    assert ('llm', 'v3') not in store.list_versions()
    store.status = 200
    await daemon.follow(0.5)
    assert ('llm', 'v3') in store.list_versions()
    assert len(daemon.list_events(Event.STREAM_STORE_FAILED)) == 1


async def test_versions_that_were_not_registered_for_long_are_removed(store):
    """Guards against a table that keeps each version that ever was."""
    put_version(store, ('llm', 'v0'), store.clock.now - VERSION_RETENTION_S + 100)
    writer, other = Daemon(store), Daemon(store, is_writer=False)
    await other.follow(50)
    await writer.follow(30)
    assert ('llm', 'v0') in store.list_versions()
    await writer.follow(60)
    assert sorted(store.list_versions()) == [('llm', 'v1'), ('llm', 'v2')]
    assert sorted(writer.history.list_last_seen()) == [('llm', 'v1'), ('llm', 'v2')]
    await other.follow(VERSION_RETENTION_S)
    assert sorted(other.history.list_last_seen()) == [('llm', 'v1'), ('llm', 'v2')]


async def test_versions_are_kept_for_as_long_as_streams_may_go_on(store):
    """Guards against a version that is forgotten while streams with long timeouts run."""
    seen_at = store.clock.now - VERSION_RETENTION_S - FORGET_DELAY_S - 100
    put_version(store, ('llm', 'v0'), seen_at)
    writer, other = Daemon(store), Daemon(store, is_writer=False)
    for daemon in (writer, other):
        daemon.streams.get_horizon_s = lambda _service: 2 * VERSION_RETENTION_S
        await daemon.follow(5)
        assert ('llm', 'v0') in daemon.history.list_last_seen()
    assert ('llm', 'v0') in store.list_versions()
    store.clock.now = seen_at + 2 * VERSION_RETENTION_S + MAX_SEEN_LAG_S + 1
    await writer.follow(5)
    assert ('llm', 'v0') not in store.list_versions()


async def test_version_that_is_registered_again_during_its_removal_is_kept(store):
    """Guards against a version that counts as never registered just after it is."""
    seen_at = store.clock.now - VERSION_RETENTION_S - MAX_SEEN_LAG_S - 1
    put_version(store, ('llm', 'v1'), seen_at)
    daemon = Daemon(store, registered=set())

    def register():
        store.on_write = lambda: None
        daemon.mix(OLD)
        daemon.registered = {('llm', 'v1')}

    store.on_write = register
    await daemon.follow(0.5)
    assert len(store.writes) == 1
    assert daemon.history.list_since('llm', store.clock.now - 1) == {'v1'}
    await daemon.follow(0.5)
    assert list(store.list_versions()) == [('llm', 'v1')]


async def test_versions_that_a_restore_of_the_store_lost_are_written_again(store):
    """Guards against a started daemon that misses the version of a stream after a restore."""
    daemon = Daemon(store)
    await daemon.follow(3)
    daemon.registered = {('llm', 'v2')}
    left_at = daemon.history.list_last_seen()['llm', 'v1']
    await daemon.follow(10.5)
    store.rows.clear()
    reads = len(store.reads)

    def restore_once():
        store.clock.on_advance = lambda: None
        daemon.restore()

    store.clock.on_advance = restore_once
    await daemon.follow(2)
    versions = store.list_versions()
    assert versions['llm', 'v1'] == left_at
    assert versions['llm', 'v2'] == store.clock.now - 1
    assert len(store.reads) == reads


async def miss_version(store, daemon):
    """Let a version come and go while a daemon does not follow the upstreams."""
    writer = Daemon(store, 'writer-1')
    await writer.follow(5)
    writer.registered.add(('llm', 'v3'))
    await writer.follow(2)
    writer.registered.discard(('llm', 'v3'))
    assert ('llm', 'v3') not in daemon.history.list_last_seen()


async def test_version_that_came_and_went_during_a_cut_is_read_from_the_store(store):
    """Guards against a stream of a version that this daemon never saw, taken for another one's."""
    daemon = Daemon(store, is_writer=False)
    await daemon.follow(2)
    daemon.is_confirmed = False
    await daemon.follow(2)
    await miss_version(store, daemon)
    daemon.is_confirmed = True
    store.status = 503
    await daemon.follow(2)
    assert ('llm', 'v3') not in daemon.history.list_last_seen()
    with pytest.raises(TableUnavailable):
        await daemon.streams.read_versions()
    store.status = 200
    await daemon.follow(1)
    assert ('llm', 'v3') in daemon.history.list_last_seen()
    reads = len(store.reads)
    await daemon.follow(20)
    assert len(store.reads) == reads


async def test_version_that_came_and_went_is_read_before_a_cut_is_noticed(store):
    """Guards against a take-up that is served at once after a cut or a suspension."""
    daemon = Daemon(store, is_writer=False)
    await daemon.follow(2)
    await miss_version(store, daemon)
    await daemon.streams.read_versions()
    assert ('llm', 'v3') in daemon.history.list_last_seen()


async def test_version_is_written_before_streams_of_it_begin(store):
    """Guards against a version that is gone before the daemon that writes the versions saw it."""
    daemon = Daemon(store, is_writer=False)
    await daemon.follow(1)
    async with anyio.create_task_group() as group:
        for _ in range(5):
            group.start_soon(daemon.streams.announce_version, 'llm', 'v3')
    assert ('llm', 'v3') in store.list_versions()
    await daemon.streams.announce_version('llm', 'v3')
    assert len(store.writes) == 1
    other = Daemon(store, 'other-1', is_writer=False)
    await other.follow(1)
    await other.streams.announce_version('llm', 'v3')
    assert len(store.writes) == 1
    assert ('llm', 'v3') in other.history.list_last_seen()


async def test_version_is_written_again_after_its_row_may_be_gone(store):
    """Guards against a version that returns after its row was removed, or lost in a restore."""
    daemon = Daemon(store, is_writer=False)
    await daemon.streams.announce_version('llm', 'v3')
    store.clock.now += VERSION_RETENTION_S - 1
    await daemon.streams.announce_version('llm', 'v3')
    assert len(store.writes) == 2

    def restore():
        store.clock.on_advance = lambda: None
        store.rows.clear()
        daemon.restore()

    store.clock.on_advance = restore
    await daemon.follow(3)
    await daemon.streams.announce_version('llm', 'v3')
    assert ('llm', 'v3') in store.list_versions()


@pytest.mark.parametrize('is_hanging', [False, True])
async def test_streams_begin_while_their_version_cannot_be_written(store, monkeypatch, is_hanging):
    """Guards against new streams that wait for a store that is away, one after the other."""
    monkeypatch.setattr('camphorpath.edge.streams.MAX_ANNOUNCE_S', 0.05)
    daemon = Daemon(store, is_writer=False)
    await daemon.follow(1)
    store.status = 503
    store.is_hanging = is_hanging
    with anyio.fail_after(1):
        for _ in range(100):
            await daemon.streams.announce_version('llm', 'v3')
    assert len(store.writes) == 1
    assert len(daemon.list_events(Event.STREAM_STORE_FAILED)) == 1
    store.status = 200
    store.is_hanging = False
    # Also if no other stream of the version begins.
    await daemon.follow(2)
    assert ('llm', 'v3') in store.list_versions()
    writes = len(store.writes)
    await daemon.streams.announce_version('llm', 'v3')
    await daemon.follow(2)
    assert len(store.writes) == writes


async def test_version_that_came_and_went_during_a_suspension_is_read_from_the_store(store):
    """Guards against a version that a frozen daemon missed, as its first poll confirms the rest."""
    daemon = Daemon(store, is_writer=False)
    await daemon.follow(2)
    reads = len(store.reads)

    def suspend():
        store.clock.on_advance = lambda: None
        store.clock.now += 60
        store.clock.end += 60
        put_version(store, ('llm', 'v3'), store.clock.now - 20)

    store.clock.on_advance = suspend
    await daemon.follow(3)
    assert ('llm', 'v3') in daemon.history.list_last_seen()
    assert len(store.reads) == reads + 1


def put_version_of_era(store, pair, era, complete_since=None):
    complete_since_s = None if complete_since is None else complete_since + STORE_OFFSET_S
    row = VersionRow(*pair, store.clock.now + STORE_OFFSET_S, era, complete_since_s)
    store.rows[VERSION_TABLE, '', make_version_key(*pair)] = encode_version_row(row)


@pytest.mark.parametrize('era', [None, 1])
@pytest.mark.parametrize('has_rows', [False, True])
async def test_store_that_was_never_restored_holds_up_no_take_ups(store, era, has_rows):
    """Guards against streams that are refused after a start where no version can be lost."""
    store.era = era
    if has_rows:
        put_version(store, ('llm', 'v1'), store.clock.now)
    daemon = Daemon(store)
    await daemon.follow(0.5)
    assert daemon.streams.is_history_complete()
    assert not daemon.list_events(Event.STREAM_VERSIONS_LOST)


@pytest.mark.parametrize('row_era', ['none', None, 1, 2])
@pytest.mark.parametrize('is_writer', [True, False])
async def test_versions_that_a_copy_lacks_are_missed_until_their_streams_ended(
    store, row_era, is_writer
):
    """Guards against a started daemon that takes the versions of a copy for all."""
    store.era = 3
    if row_era != 'none':
        put_version_of_era(store, ('llm', 'v1'), row_era)
    daemon = Daemon(store, is_writer=is_writer)
    await daemon.follow(HORIZON_S - 1)
    assert not daemon.streams.is_history_complete()
    assert len(daemon.list_events(Event.STREAM_VERSIONS_LOST)) == 1
    assert len(store.reads) <= 7
    await daemon.follow(2)
    assert daemon.streams.is_history_complete()
    reads = len(store.reads)
    await daemon.follow(60)
    assert len(store.reads) == reads


async def test_second_kill_does_not_prolong_the_wait_for_lost_versions(store):
    """Guards against take-ups that are refused for as long as daemons are killed."""
    store.era = 2
    put_version_of_era(store, ('llm', 'v1'), 1)
    await Daemon(store).follow(HORIZON_S - 5)
    second = Daemon(store)
    await second.follow(3)
    assert not second.streams.is_history_complete()
    await second.follow(3)
    assert second.streams.is_history_complete()


async def test_daemons_that_remember_the_versions_end_the_wait_of_others(store):
    """Guards against take-ups that are refused after a restore that lost nothing."""
    store.era = 1
    writer = Daemon(store)
    await writer.follow(3)
    store.rows.clear()
    store.era = 2
    started = Daemon(store, registered={('llm', 'v1')}, is_writer=False)
    await started.follow(0.5)
    assert not started.streams.is_history_complete()

    def restore_once():
        store.clock.on_advance = lambda: None
        writer.restore()

    store.clock.on_advance = restore_once
    await writer.follow(3)
    await started.follow(1.5)
    assert started.streams.is_history_complete()
    assert started.history.list_since('llm', 0) == {'v1', 'v2'}
    late = Daemon(store, is_writer=False)
    await late.follow(0.5)
    assert late.streams.is_history_complete()


def suspend_over_restore(store, daemon):
    """Suspend a daemon while the store is restored from a copy that lacks v3."""
    store.clock.on_advance = lambda: None
    store.clock.now += 10
    store.clock.end += 10
    store.era += 1
    daemon.restore()


@pytest.mark.parametrize('is_writer', [True, False])
async def test_daemon_that_was_suspended_over_a_restore_does_not_take_its_versions_for_all(
    store,
    is_writer,
):
    """Guards against versions that were registered and lost while a daemon stood still."""
    store.era = 1
    other = Daemon(store, 'other-1', registered={('llm', 'v1')}, is_writer=not is_writer)
    daemon = Daemon(store, registered={('llm', 'v1')}, is_writer=is_writer)
    for member in (other, daemon):
        await member.follow(3)
    store.clock.on_advance = functools.partial(suspend_over_restore, store, daemon)
    await daemon.follow(4)
    assert not daemon.streams.is_history_complete()
    started = Daemon(store, 'started-1', registered={('llm', 'v1')}, is_writer=False)
    await started.follow(0.5)
    assert not started.streams.is_history_complete()
    # One that has seen all versions writes them.
    other.is_writer = True
    other.history.record('llm', 'v3', store.clock.now)
    await other.follow(3)
    await daemon.follow(8)
    assert daemon.streams.is_history_complete()
    assert ('llm', 'v3') in daemon.history.list_last_seen()


async def test_daemon_suspended_during_a_call_does_not_take_its_versions_for_all(
    store,
):
    """Guards against a suspension that is not seen between two updates of the versions."""
    store.era = 1
    daemon = Daemon(store, registered={('llm', 'v1')})
    await daemon.follow(3)

    def return_to_service():
        store.clock.on_advance = lambda: None
        store.status = 200

    def suspend():
        store.on_write = lambda: None
        suspend_over_restore(store, daemon)
        store.status = 503
        store.clock.on_advance = return_to_service
        daemon.streams.record_suspension(10)

    store.on_write = suspend
    await daemon.follow(8)
    assert store.status == 200
    assert store.era == 2
    assert not daemon.streams.is_history_complete()


async def test_suspension_during_a_read_of_the_versions_is_not_forgotten_with_it(
    store, monkeypatch
):
    """Guards against an answer from before a suspension that ends the doubt."""
    store.era = 1
    daemon = Daemon(store, registered={('llm', 'v1')}, is_writer=False)
    await daemon.follow(3)
    read_versions = StreamStore.read_versions

    async def suspend(streams):
        monkeypatch.setattr(StreamStore, 'read_versions', read_versions)
        await read_versions(streams)
        suspend_over_restore(store, daemon)
        daemon.streams.record_suspension(10)

    monkeypatch.setattr(StreamStore, 'read_versions', suspend)
    daemon.streams.record_suspension(3)
    await daemon.follow(3)
    assert store.era == 2
    assert not daemon.streams.is_history_complete()


async def test_suspended_daemon_takes_its_versions_for_all_if_the_store_was_not_restored(store):
    """Guards against take-ups that are refused after each freeze of a VM."""
    store.era = 2
    daemon = Daemon(store)
    put_version_of_era(store, ('llm', 'v1'), 2)
    await daemon.follow(3)

    def suspend():
        store.clock.on_advance = lambda: None
        store.clock.now += 10
        store.clock.end += 10

    store.clock.on_advance = suspend
    await daemon.follow(3)
    assert daemon.streams.is_history_complete()


async def test_refresh_that_a_restore_overtook_does_not_state_the_new_era(store):
    """Guards against rows of a writer that has not heard of the restore, taken for all rows."""
    store.era = 1
    writer = Daemon(store)
    await writer.follow(3)
    writer.registered = {('llm', 'v2')}
    store.rows.clear()
    store.era = 2
    at = len(store.writes)
    await writer.follow(REFRESH_INTERVAL_S + 0.5)
    first = [
        decode_version_row(base64.b64decode(row['value'])) for row in store.writes[at][1]['write']
    ]
    assert [row.era for row in first] == [1]
    await writer.follow(1.5)
    assert set(store.list_versions()) == {('llm', 'v1'), ('llm', 'v2')}


async def test_era_is_stated_once_all_versions_are_written(store):
    """Guards against a started daemon that reads the first of several transactions as all."""
    store.era = 1
    writer = Daemon(store, registered={('llm', f'v{number}') for number in range(150)})
    await writer.follow(3)
    store.rows.clear()
    store.era = 2
    writer.registered = {('llm', 'v0')}
    at = len(store.writes)
    await writer.follow(3 * REFRESH_INTERVAL_S)
    eras = [
        {decode_version_row(base64.b64decode(row['value'])).era for row in body['write']}
        for _at, body in store.writes[at:]
    ]
    assert eras[:3] == [{1}, {None}, {2}]
    assert len(store.list_versions()) == 150
