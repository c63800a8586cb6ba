import anyio
import attrs
import pytest

from camphorpath.clocks import read_lease_clock
from camphorpath.cluster.members import Members
from camphorpath.cluster.quarantine import decode_row, encode_row, make_row_key
from camphorpath.edge.quarantine import QuarantineSync
from camphorpath.edge.state import MAX_ANNOUNCEMENT_BYTES, DaemonState
from camphorpath.errors import TableUnavailable
from camphorpath.placement.crashes import Crash, Pattern, QuarantinedPattern, digest_parts
from camphorpath.placement.ownership import Assignment
from camphorpath.placement.quarantine import CRASH_LIMIT, PATTERN_RETENTION_S
from camphorpath.platform.revisions import make_revision
from camphorpath.platform.store import Rows, StoreRow
from camphorpath.schema import camphorpath_pb2 as pb

from ..relay.support import make_context
from .fleet import Datagrams
from .test_state import SETTINGS

FIRST_PART = digest_parts('llm', [b'first'])
CRASHING_PART = digest_parts('llm', [b'bad'])
PATTERN = Pattern(b'', CRASHING_PART)
CRASH_COUNT = 8


@attrs.define
class StoredRows:
    """A store with one table, which can be away."""

    rows: dict = attrs.field(factory=dict)
    is_up: bool = True
    writes: int = 0

    async def write_row(self, _table, key, content):
        if not self.is_up:
            raise TableUnavailable('away', step='write', peer='store')
        self.writes += 1
        self.rows[key] = content

    async def read_table(self, _table):
        return Rows([StoreRow(key, value, 1) for key, value in self.rows.items() if value], 1)


def make_sync(name='me', store=None):
    settings = attrs.evolve(SETTINGS, name=name)
    relay = make_context(())
    state = DaemonState(
        settings=settings, incarnation=f'{name}-1', relay=relay, members=Members(settings.host)
    )
    return QuarantineSync(relay, state, Datagrams(), store or StoredRows())


def record_crashes(sync, count=CRASH_LIMIT, parts=CRASHING_PART):
    for number in range(count):
        crash = Crash(b'call-%d' % number, f'i-{number}', parts)
        sync.relay.quarantine.record_crash(crash, read_lease_clock(), is_from_peer=False)


def is_held_back(sync, parts=CRASHING_PART):
    return sync.relay.quarantine.is_quarantined(b'call-9', parts)


async def write_rows(sync):
    with anyio.move_on_after(0.05):
        await sync.write_rows()


def deliver_heartbeat(sender, receiver):
    receiver.state.apply_heartbeat(sender.state.make_heartbeat())


def deliver_announcements(sender, receiver):
    for heartbeat in sender.heartbeats.sent:
        decoded = pb.EdgeHeartbeat.FromString(heartbeat.SerializeToString())
        receiver.state.apply_announcement(decoded)
    sender.heartbeats.sent.clear()


def test_daemon_that_missed_the_crashes_learns_of_the_quarantine():
    """Guards against crashes by a daemon that started later, was cut off or lost datagrams."""
    first, second, third = make_sync('d1'), make_sync('d2'), make_sync('d3')
    record_crashes(first)
    deliver_heartbeat(first, second)
    assert is_held_back(second)
    assert not is_held_back(second, FIRST_PART)
    deliver_heartbeat(second, third)
    assert is_held_back(third)


def test_crashes_at_different_daemons_are_counted_together():
    """Guards against a part that may crash a few upstreams at each daemon."""
    daemons = [make_sync(f'd{number}') for number in range(CRASH_LIMIT)]
    for number, sync in enumerate(daemons):
        crash = Crash(b'call-%d' % number, f'i-{number}', FIRST_PART | CRASHING_PART)
        sync.relay.quarantine.record_answer(FIRST_PART, read_lease_clock())
        sync.relay.quarantine.record_crash(crash, read_lease_clock(), is_from_peer=False)
        sync.update(read_lease_clock())
        for other in daemons:
            if other is not sync:
                for heartbeat in sync.heartbeats.sent:
                    other.state.apply_announcement(heartbeat)
    assert all(is_held_back(sync) for sync in daemons)
    assert not any(is_held_back(sync, FIRST_PART) for sync in daemons)


def test_part_that_was_answered_elsewhere_is_cleared_everywhere():
    """Guards against daemons that pass a quarantine on after the part was answered."""
    holding, answering = make_sync('d1'), make_sync('d2')
    record_crashes(holding)
    answering.relay.quarantine.record_answer(CRASHING_PART, read_lease_clock())
    deliver_heartbeat(holding, answering)
    assert not is_held_back(answering)
    answering.update(read_lease_clock())
    deliver_announcements(answering, holding)
    assert not is_held_back(holding)
    deliver_heartbeat(holding, answering)
    answering.update(read_lease_clock())
    assert not answering.heartbeats.sent


@pytest.mark.parametrize('part_count', [0, 1, 8, 9, 40, 200])
def test_announced_crashes_fit_in_a_datagram(part_count):
    """Guards against announcements without their content, as it is too long."""
    sync = make_sync()
    parts = digest_parts('llm', [b'%d' % number for number in range(part_count)])
    upstreams = [f'i-{number:012d}/1796416560000' for number in range(CRASH_COUNT)]
    for number, upstream in enumerate(upstreams):
        crash = Crash(b'%012d' % number, upstream, parts, events=10**6)
        sync.relay.quarantine.record_crash(crash, read_lease_clock(), is_from_peer=False)
    sync.update(read_lease_clock())
    announced = {}
    for heartbeat in sync.heartbeats.sent:
        for crash in heartbeat.news.crashes:
            announced.setdefault(crash.upstream, set()).update(crash.parts)
    assert announced == {upstream: set(parts) for upstream in upstreams}
    assert sync.heartbeats.sent[-1].quarantined or not part_count
    assert all(sent.ByteSize() <= MAX_ANNOUNCEMENT_BYTES for sent in sync.heartbeats.sent)


def test_quarantine_outlives_a_loss_of_all_daemons():
    """Guards against crashing upstreams again after all daemons were killed at once."""

    async def test():
        store = StoredRows()
        sync = make_sync(store=store)
        record_crashes(sync)
        sync.update(read_lease_clock())
        await write_rows(sync)
        started = make_sync('d2', store)
        await started.read_rows()
        assert is_held_back(started)
        started.relay.quarantine.record_answer(CRASHING_PART, read_lease_clock())
        started.update(read_lease_clock())
        await write_rows(started)
        assert store.rows == {make_row_key(PATTERN): None}

    anyio.run(test)


def test_quarantine_is_stored_after_an_outage_of_the_store(monkeypatch):
    """Guards against a row that is never written because the store was away at the crash."""
    monkeypatch.setattr('camphorpath.edge.quarantine.RETRY_DELAY_S', 0.01)

    async def test():
        store = StoredRows(is_up=False)
        sync = make_sync(store=store)
        record_crashes(sync)
        sync.update(read_lease_clock())
        await write_rows(sync)
        assert not store.rows
        store.is_up = True
        await write_rows(sync)
        assert store.rows == {make_row_key(PATTERN): encode_row(PATTERN)}
        assert store.writes == 1

    anyio.run(test)


def test_expired_quarantine_leaves_no_row():
    """Guards against rows that stay in the store for ever."""

    async def test():
        store = StoredRows({make_row_key(PATTERN): encode_row(PATTERN)})
        sync = make_sync(store=store)
        sync.state.assignment = Assignment({'r': ('me',)})
        await sync.read_rows()
        sync.update(read_lease_clock() + PATTERN_RETENTION_S + 1)
        await write_rows(sync)
        assert store.rows == {make_row_key(PATTERN): None}

    anyio.run(test)


@pytest.mark.parametrize(
    'content', [b'', b'[]', b'{}', b'\xff', b'{"digest": "", "parts": []}', b'{"digest": 1}']
)
def test_unreadable_rows_are_skipped(content):
    """Guards against a row that keeps a daemon from starting or makes it refuse all calls."""
    assert decode_row(content) is None


def test_pattern_that_matches_all_calls_is_not_taken():
    """Guards against a message that makes a daemon refuse all calls."""
    sync = make_sync()
    heartbeat = make_sync('d2').state.make_heartbeat()
    heartbeat.quarantined.add(age=1)
    sync.state.apply_heartbeat(heartbeat)
    assert not is_held_back(sync)


def test_shared_age_survives_the_way_over_several_daemons():
    """Guards against a quarantine that daemons keep alive by passing it on."""
    first, second = make_sync('d1'), make_sync('d2')
    now = read_lease_clock()
    first.relay.quarantine.adopt(QuarantinedPattern(PATTERN, age_s=PATTERN_RETENTION_S - 1), now)
    deliver_heartbeat(first, second)
    for sync in (first, second):
        assert is_held_back(sync)
        sync.relay.quarantine.expire(now + 2)
        assert not is_held_back(sync)


def test_row_does_not_make_the_last_crash_look_later():
    """Guards against a quarantine that each start of a daemon extends."""

    async def test():
        store = StoredRows({make_row_key(PATTERN): encode_row(PATTERN)})
        running, started = make_sync('d1', store), make_sync('d2', store)
        now = read_lease_clock()
        age_s = PATTERN_RETENTION_S - 1
        running.relay.quarantine.adopt(QuarantinedPattern(PATTERN, age_s), now)
        await started.read_rows()
        deliver_heartbeat(started, running)
        deliver_heartbeat(running, started)
        for sync in (running, started):
            assert is_held_back(sync)
            sync.relay.quarantine.expire(now + 2)
            assert not is_held_back(sync)

    anyio.run(test)


def restore_store(sync, store, rows):
    """Let a store come back from a copy, and a daemon learn of it."""
    store.rows = dict(rows)
    sync.state.rows.apply_listing([], make_revision(2, 3), 0)


async def run_with_rewrites(sync, act):
    async with anyio.create_task_group() as group:
        group.start_soon(sync.rewrite_rows)
        await anyio.wait_all_tasks_blocked()
        act()
        await write_rows(sync)
        group.cancel_scope.cancel()


@pytest.mark.parametrize('is_writer', [True, False])
def test_pattern_that_a_restore_of_the_store_lost_is_written_again(is_writer):
    """Guards against calls that crash upstreams again after a start of all daemons."""
    store = StoredRows()
    writer, sync = make_sync('d1', store), make_sync(store=store)
    if is_writer:
        writer = sync
    sync.state.rows.apply_listing([], 9, 0)

    async def main():
        record_crashes(writer)
        writer.update(read_lease_clock())
        await write_rows(writer)
        assert list(store.rows) == [make_row_key(PATTERN)]
        deliver_heartbeat(writer, sync)
        sync.state.assignment = Assignment({'r': ('me',)}, {})
        await run_with_rewrites(sync, lambda: restore_store(sync, store, {}))

    anyio.run(main)
    assert store.rows == {make_row_key(PATTERN): encode_row(PATTERN)}


def test_ended_pattern_that_a_restore_of_the_store_brought_back_is_removed_again():
    """Guards against calls that are held back for good, as the store holds an old row again."""
    store = StoredRows()
    sync = make_sync(store=store)
    sync.state.rows.apply_listing([], 9, 0)

    async def main():
        record_crashes(sync)
        sync.update(read_lease_clock())
        await write_rows(sync)
        copied = dict(store.rows)
        for part in CRASHING_PART:
            sync.relay.quarantine.apply_cleared(part, read_lease_clock())
        sync._queue_row(PATTERN, None)
        await write_rows(sync)
        await run_with_rewrites(sync, lambda: restore_store(sync, store, copied))

    anyio.run(main)
    assert store.rows == {make_row_key(PATTERN): None}


def test_pattern_that_a_peer_ended_is_not_written_again_after_a_restore():
    """Guards against sound calls that are held back by a row that no daemon holds any more."""
    store = StoredRows()
    writer, ender = make_sync('d1', store), make_sync('d2', store)
    writer.state.rows.apply_listing([], 9, 0)

    async def main():
        record_crashes(writer)
        writer.update(read_lease_clock())
        await write_rows(writer)
        deliver_heartbeat(writer, ender)
        ender.relay.quarantine.record_answer(CRASHING_PART, read_lease_clock())
        ender.update(read_lease_clock())
        await write_rows(ender)
        deliver_announcements(ender, writer)
        assert not is_held_back(writer)
        assert store.rows == {make_row_key(PATTERN): None}
        await run_with_rewrites(writer, lambda: restore_store(writer, store, store.rows))

    anyio.run(main)
    assert store.rows == {make_row_key(PATTERN): None}


def test_pattern_that_a_peer_added_again_is_not_removed_after_a_restore():
    """Guards against a row that is missing after a start of all daemons."""
    store = StoredRows()
    writer, ender = make_sync('d1', store), make_sync('d2', store)
    ender.state.rows.apply_listing([], 9, 0)

    async def main():
        ender._queue_row(PATTERN, None)
        await write_rows(ender)
        record_crashes(writer)
        writer.update(read_lease_clock())
        await write_rows(writer)
        deliver_heartbeat(writer, ender)
        assert is_held_back(ender)
        await run_with_rewrites(ender, lambda: restore_store(ender, store, store.rows))

    anyio.run(main)
    assert store.rows == {make_row_key(PATTERN): encode_row(PATTERN)}
