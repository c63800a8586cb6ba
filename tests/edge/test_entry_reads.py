import anyio
import attrs
import pytest

from camphorpath.edge.daemon import build_edge
from camphorpath.edge.entry_reads import MAX_READ_S, READ_PAUSE_S, EntryReads
from camphorpath.edge.history_reads import MIN_INTERVAL_S, HistoryReads
from camphorpath.events import EventLog

from .test_state import SETTINGS

pytestmark = pytest.mark.anyio


@attrs.define
class Store:
    """Counts reads, which take no time or do not end."""

    is_up: bool = True
    is_hanging: bool = False
    reads: int = 0

    async def read(self):
        self.reads += 1
        await anyio.lowlevel.checkpoint()
        if self.is_hanging:
            await anyio.sleep_forever()


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def clock(monkeypatch):
    now = [1000.0]
    monkeypatch.setattr('camphorpath.edge.entry_reads.read_lease_clock', lambda: now[0])
    return now


@pytest.fixture
def reads(store):
    return EntryReads(store.read, lambda: store.is_up)


async def test_process_that_never_registers_causes_few_reads(store, reads, clock):
    """Guards against an upstream that states another incarnation than its entry for good."""
    for _ in range(100):
        await reads.look_up('i-1', 7)
    assert store.reads == 1
    # Another process has its own read.
    await reads.look_up('i-1', 8)
    assert store.reads == 2
    clock[0] += READ_PAUSE_S
    await reads.look_up('i-1', 7)
    assert store.reads == 3


async def test_upstreams_that_restart_all_the_time_share_reads():
    """Guards against as many reads as upstreams state incarnations."""
    store = Store()
    shared = HistoryReads(EventLog('test'), record_registered=lambda: None, reads=(store.read,))
    reads = EntryReads(shared.confirm, lambda: True)
    began_at = anyio.current_time()
    async with anyio.create_task_group() as group:
        for incarnation in range(200):
            group.start_soon(reads.look_up, 'i-1', incarnation)
            await anyio.sleep(0.001)
    took_s = anyio.current_time() - began_at
    assert store.reads <= took_s / MIN_INTERVAL_S + 2


async def test_first_events_do_not_wait_long_for_the_entries(store, reads):
    """Guards against streams that begin late as the store does not answer."""
    store.is_hanging = True
    with anyio.fail_after(3 * MAX_READ_S):
        await reads.look_up('i-1', 7)
    store.is_up = False
    await reads.look_up('i-1', 8)
    assert store.reads == 1


async def test_daemon_reads_the_entries_for_an_unknown_process(monkeypatch):
    """Guards against a daemon whose calls do not reach the store for it."""
    reads = []

    async def read_upstreams(follower):
        reads.append(follower)

    monkeypatch.setattr('camphorpath.edge.daemon.Follower.read_upstreams', read_upstreams)
    daemon = build_edge(attrs.evolve(SETTINGS, host='127.0.0.1', heartbeat_port=0))
    await daemon.relay.look_up_process('i-1', 7)
    assert not reads
    daemon.follower.store_up = True
    await daemon.relay.look_up_process('i-1', 7)
    assert reads == [daemon.follower]
    await daemon.close()
