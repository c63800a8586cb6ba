"""Ways on which a stream goes on while upstreams of another version serve."""

import asyncio
import time

import pytest

from .fleet import open_fleet
from .test_kills import begin_streams, finish_streams, kill_all, list_faults, wait_for_streams
from .test_order import make_caller
from .test_out_of_step import assert_in_order, wait_until
from .test_out_of_step import begin_streams as begin_at_first

pytestmark = pytest.mark.anyio

EVENT_COUNT = 60
SETTLE_S = 2.0
# Longer than an upstream of a stream may be silent before another one is asked.
SILENCE_S = 1.5
# Streams that outlast several restarts of daemons.
SLOW_INTERVAL_S = 0.08
SLOW_EVENT_COUNT = 150
SLOW_DEADLINE_S = 20.0


async def add_upstreams(fleet, *versions, **changes):
    """Add two upstreams of each version, which serve until the end."""
    for version in versions:
        for _ in range(2):
            await fleet.add_upstream(version, **changes)
    await fleet.start_daemons()
    await asyncio.sleep(SETTLE_S)


async def test_chain_of_take_ups_stays_at_its_version_over_kills():
    """Guards against a record that is kept only by the daemon at which a stream began."""
    async with open_fleet(3) as fleet:
        await add_upstreams(fleet, 'v1', 'v2', event_interval_s=SLOW_INTERVAL_S)
        callers, tasks = begin_streams(
            fleet, event_count=SLOW_EVENT_COUNT, deadline_s=SLOW_DEADLINE_S
        )
        await wait_for_streams(callers)
        # Records are written in batches.
        await asyncio.sleep(0.5)
        for killed in (fleet.daemons[:1], fleet.daemons[1:], fleet.daemons):
            for daemon in killed:
                await daemon.kill()
            await asyncio.gather(*(daemon.start() for daemon in killed))
            await fleet.wait_ready(killed)
            await asyncio.sleep(0.8)
        streams = await finish_streams(callers, tasks)
    assert list_faults(streams) == []
    begun = {stream.events[0].document['version'] for stream in streams}
    assert begun == {'v1', 'v2'}
    assert any(len({event.tried for event in stream.events}) > 2 for stream in streams)


@pytest.mark.parametrize('store_mode', ['up', 'away'])
async def test_streams_of_two_versions_go_on_at_their_own_while_their_daemon_lives(store_mode):
    """Their callers give up on a daemon that stands still and then answers its peers."""
    async with open_fleet(3) as fleet:
        await add_upstreams(fleet, 'v1', 'v2')
        fleet.store.set_mode(store_mode)
        others = [daemon.address for daemon in fleet.daemons[1:]]
        callers, readings = await begin_at_first(fleet, 4 * others)
        for caller in callers:
            caller.max_gap_s = 0.3
        fleet.daemons[0].freeze()
        await wait_until(lambda: all(len(caller.streams[0].tries) > 1 for caller in callers))
        fleet.daemons[0].thaw()
        await asyncio.gather(*readings)
        assert_in_order(callers)
        versions = {caller.streams[0].events[0].document['version'] for caller in callers}
        assert versions == {'v1', 'v2'}
        assert [caller.streams[0].is_complete for caller in callers] == [True] * len(callers)


async def begin_stream(fleet, daemon, upstreams):
    """Begin a stream; return its caller, its task, the upstream that serves it, and the other."""
    caller = make_caller(fleet, daemon)
    reading = asyncio.create_task(caller.fetch_stream('/draft/', EVENT_COUNT))
    await wait_until(lambda: caller.streams and len(caller.streams[0].events) > 10)
    busy = next(upstream for upstream in upstreams if upstream.running)
    idle = next(upstream for upstream in upstreams if upstream is not busy)
    return caller, reading, busy, idle


async def test_silent_stream_is_not_joined_at_an_upstream_that_restarted_unseen():
    """The upstream that is asked beside the silent one runs another version than registered."""
    async with open_fleet(1) as fleet:
        upstreams = [await fleet.add_upstream('v1') for _ in range(2)]
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        fleet.daemons[0].cut_store()
        caller, reading, busy, idle = await begin_stream(fleet, fleet.daemons[0], upstreams)
        await fleet.restart_upstream(idle, 'v2')
        busy.stalled_until = time.monotonic() + SILENCE_S
        stream = await reading
        caller.close()
        assert stream.list_faults() == []
        assert stream.is_complete
        assert len(stream.tries) == 1


async def test_stream_is_not_joined_at_a_daemon_that_stood_still_while_upstreams_restarted():
    """The daemon finds the connection closed before it reads the entries of the new processes."""
    async with open_fleet(1) as fleet:
        upstreams = [await fleet.add_upstream('v1') for _ in range(2)]
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        daemon = fleet.daemons[0]
        caller, reading, busy, idle = await begin_stream(fleet, daemon, upstreams)
        daemon.freeze()
        await fleet.restart_upstream(idle, 'v2')
        await fleet.restart_upstream(busy, 'v2')
        await asyncio.sleep(SILENCE_S)
        daemon.thaw()
        stream = await reading
        caller.close()
        assert stream.list_faults() == []
        assert not stream.is_complete


@pytest.mark.parametrize('pause_s', [0.05, 0.3, 0.5])
async def test_take_up_whose_lookup_was_suspended_is_not_joined(pause_s):
    """The version of the streams is replaced while the daemon that looks it up stands still."""
    async with open_fleet(2) as fleet:
        older = await fleet.add_upstream('v1')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        first, other = fleet.daemons
        callers, readings = await begin_at_first(fleet, 4 * [other.address])
        fleet.store.delay_s = 0.4
        await first.kill()
        await wait_until(lambda: all(len(caller.streams[0].tries) > 1 for caller in callers))
        await asyncio.sleep(pause_s)
        other.freeze()
        await fleet.add_upstream('v2')
        older.crash()
        fleet.deregister(older)
        await asyncio.sleep(1)
        other.thaw()
        fleet.store.delay_s = 0.004
        await asyncio.gather(*readings)
        assert_in_order(callers)


async def test_streams_of_a_version_that_left_do_not_go_on_after_a_kill_while_the_store_is_away():
    """The store is back before the streams end, and the version is gone by then."""
    async with open_fleet(3) as fleet:
        await add_upstreams(fleet, 'v1', 'v2')
        callers, tasks = begin_streams(fleet)
        await wait_for_streams(callers)
        fleet.store.set_mode('away')
        await asyncio.sleep(0.3)
        await kill_all(fleet)
        for upstream in fleet.upstreams[:2]:
            upstream.crash()
            fleet.deregister(upstream)
        await asyncio.gather(*(daemon.start() for daemon in fleet.daemons))
        await asyncio.sleep(1)
        fleet.store.set_mode('up')
        streams = await finish_streams(callers, tasks)
    assert list_faults(streams) == []
    assert not any(
        stream.is_complete and stream.events[0].document['version'] == 'v1' for stream in streams
    )
