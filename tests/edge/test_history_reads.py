"""Versions that are read for a take-up, whatever this daemon was told before it."""

import asyncio
import itertools
import selectors

import anyio
import attrs
import pytest

from camphorpath.clocks import read_lease_clock
from camphorpath.edge import history_reads
from camphorpath.edge.history_reads import HistoryReads
from camphorpath.errors import TableUnavailable
from camphorpath.events import Event, EventLog
from camphorpath.schema import camphorpath_pb2 as pb
from camphorpath.streams import (
    Asked,
    KnownOrigin,
    Origin,
    Source,
    VersionHistory,
)
from camphorpath.streams.lookup import OriginLookup

pytestmark = pytest.mark.anyio

READ_S = 0.05


class VirtualTimeSelector(selectors.DefaultSelector):
    """Counts the time for which the event loop would wait instead of waiting."""

    def __init__(self):
        super().__init__()
        self.waited_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            message = 'all tasks wait, and no timer is set'
            raise RuntimeError(message)
        self.waited_s += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock shows the time of all waits since its start."""

    def __init__(self):
        super().__init__(VirtualTimeSelector())

    def time(self):
        return self._selector.waited_s


@attrs.define
class Versions:
    """The versions in the store, and those that one daemon knows."""

    history: VersionHistory = attrs.field(factory=VersionHistory)
    registered: set = attrs.field(factory=lambda: {'v1'})
    stored: set = attrs.field(factory=lambda: {'v1'})
    # Versions in rows of versions.
    rows: set = attrs.field(factory=set)
    is_up: bool = True
    are_rows_up: bool = True
    delay_s: float = READ_S
    # When each read of the upstreams began.
    begun: list = attrs.field(factory=list)
    events: EventLog = attrs.field(factory=lambda: EventLog('test'))
    reads: HistoryReads = attrs.field(init=False)
    lookup: OriginLookup = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.reads = HistoryReads(
            self.events, self.record_registered, (self.read_upstreams, self.read_versions)
        )
        self.lookup = OriginLookup(
            history=self.history, confirm_history=self.reads.confirm, ask_peers=self.ask_peers
        )
        self.record_registered()

    known: KnownOrigin | None = None

    async def ask_peers(self, _digest):
        return Asked(self.known)

    def record_registered(self):
        for software_version in self.registered:
            self.history.record('llm', software_version, read_lease_clock())

    async def read_upstreams(self):
        self.begun.append(read_lease_clock())
        found = set(self.stored)
        await anyio.sleep(self.delay_s)
        if not self.is_up:
            raise TableUnavailable('away', step='read', peer='store')
        self.registered = found

    async def read_versions(self):
        found = set(self.rows)
        await anyio.sleep(self.delay_s)
        if not self.are_rows_up:
            raise TableUnavailable('away', step='read', peer='store')
        for software_version in found:
            self.history.record('llm', software_version, read_lease_clock())

    async def find(self):
        """Return the version that a stream is bound to, or None."""
        found = await self.lookup.find(b'1', ['llm'])
        return found and found.origin.software_version


@pytest.fixture
def versions():
    return Versions()


async def find_all(versions, count):
    """Return what concurrent lookups found."""
    found = []

    async def find():
        found.append(await versions.find())

    async with anyio.create_task_group() as group:
        for _ in range(count):
            group.start_soon(find)
    return found


async def test_only_version_is_confirmed_by_one_read_for_concurrent_take_ups(versions):
    """Guards against a store that is read for each take-up after a kill of a daemon."""
    assert await find_all(versions, 50) == ['v1'] * 50
    assert len(versions.begun) == 1


async def test_version_that_joined_unseen_is_not_taken_for_the_only_one(versions):
    """Guards against a view that was confirmed shortly before a version joined."""
    versions.stored = {'v1', 'v2'}
    assert await versions.find() is None


async def test_version_that_replaced_the_other_unseen_is_not_taken_for_the_only_one(versions):
    """Guards against a stream of the version whose last upstream is removed by the read."""
    versions.stored = {'v2'}
    assert await versions.find() is None


async def test_version_that_came_and_went_unseen_is_not_missed(versions):
    """Guards against a version of which only the rows of versions tell."""
    versions.rows = {'v1', 'v2'}
    assert await versions.find() is None


async def test_read_that_began_before_the_take_up_does_not_count(versions):
    """Guards against a version that joined after a shared read began and before the take-up."""
    found = []

    async def find():
        found.append(await versions.find())

    async with anyio.create_task_group() as group:
        group.start_soon(find)
        await anyio.sleep(READ_S / 2)
        versions.stored = {'v1', 'v2'}
        group.start_soon(find)
    assert found == ['v1', None]
    assert len(versions.begun) == 2


@pytest.mark.parametrize('part', ['is_up', 'are_rows_up'])
async def test_only_version_is_not_assumed_while_the_store_cannot_be_read(versions, part):
    """Guards against heartbeats, however recent, that say that nobody reaches the store.

    They may be from before a suspension or a cut, and so may the view.
    """
    setattr(versions, part, False)
    assert await find_all(versions, 20) == [None] * 20
    records = versions.events.select(pb.TimelineRequest())
    failed = [record for record in records if record.number == Event.STREAM_STORE_FAILED]
    assert len(failed) == 1
    setattr(versions, part, True)
    assert await versions.find() == 'v1'


async def test_peers_tell_the_version_while_the_store_cannot_be_read(versions):
    """Guards against take-ups that are refused though a daemon knows them."""
    versions.is_up = False
    versions.delay_s = 30
    versions.known = KnownOrigin(Origin('llm', 'v1'), read_lease_clock(), Source.PEER)
    with anyio.fail_after(1):
        assert await versions.find() == 'v1'


def test_slow_store_confirms_the_only_version(versions):
    """Guards against a slow store without which no stream of a killed daemon goes on.

    The reads take most of the time after which a call gives its lookup up. The time is virtual, so
    that only waits of the product count, and not those for a processor.
    """
    versions.delay_s = 0.4
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        assert runner.run(find_all(versions, 5)) == ['v1'] * 5
        assert runner.get_loop().time() == pytest.approx(versions.delay_s)


async def test_cancelled_take_up_does_not_end_the_read_of_others(versions, monkeypatch):
    """Guards against callers that leave while others wait for the same read."""
    monkeypatch.setattr(history_reads, 'MIN_INTERVAL_S', 3 * READ_S)
    await versions.find()
    found = []

    async def find():
        found.append(await versions.find())

    async with anyio.create_task_group() as group, anyio.create_task_group() as cancelled:
        cancelled.start_soon(find)
        await anyio.sleep(READ_S / 4)
        group.start_soon(find)
        # The read has begun.
        await anyio.sleep(2 * READ_S)
        assert len(versions.begun) == 2
        cancelled.cancel_scope.cancel()
    assert found == ['v1']


async def test_flood_of_take_ups_reads_the_store_at_a_bounded_rate(versions, monkeypatch):
    """Guards against callers that take up streams one after the other as fast as they can."""
    monkeypatch.setattr(history_reads, 'MIN_INTERVAL_S', 0.1)
    versions.delay_s = 0.001
    for _ in range(4):
        assert await versions.find() == 'v1'
    pauses = [later - earlier for earlier, later in itertools.pairwise(versions.begun)]
    assert min(pauses) > 0.09
