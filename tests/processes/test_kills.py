"""All daemons are killed at once, perhaps with a restore of the store, while streams run."""

import asyncio

import pytest

from camphorpath.edge.streams import VERSION_TABLE
from camphorpath.streams.rows import decode_version_row

from .callers import Caller, count_take_ups
from .fleet import ROUTES, make_manifest, make_route, open_fleet

pytestmark = pytest.mark.anyio

# Streams that are longer than the time from their begin to a kill.
EVENT_COUNT = 120
STREAM_COUNT = 8
DEADLINE_S = 12.0
# Daemons on a busy machine take seconds to start.
LATE_START_DEADLINE_S = 30.0
# A daemon that starts may need a second look at the versions. If they were lost, it would refuse
# take-ups for as long as streams last.
MAX_UNKNOWN_S = 3.0
SETTLE_S = 2.0
COPY_AGE_S = 1.5


def begin_streams(fleet, prefix='/draft/', event_count=EVENT_COUNT, deadline_s=DEADLINE_S):
    """Begin streams whose callers try again until their deadline."""
    callers = [
        Caller(
            fleet.rng,
            fleet.choose_address,
            deadline_s=deadline_s,
            max_tries=200,
            log=fleet.log,
        )
        for _ in range(STREAM_COUNT)
    ]
    tasks = [asyncio.create_task(caller.fetch_stream(prefix, event_count)) for caller in callers]
    return callers, tasks


async def wait_for_streams(callers):
    """Wait until each stream has events."""
    async with asyncio.timeout(5):
        for caller in callers:
            while not any(stream.events for stream in caller.streams):  # noqa: ASYNC110  no event
                await asyncio.sleep(0.02)


def has_versions(store):
    """Return whether daemons have written the versions since the last restore."""
    rows = [row for place, row in store.rows.items() if place[:2] == (VERSION_TABLE, '')]
    return any(decode_version_row(row.content).era == store.era for row in rows)


async def wait_for_versions(store):
    async with asyncio.timeout(5):
        while not has_versions(store):  # noqa: ASYNC110  the rows are polled
            await asyncio.sleep(0.02)


async def finish_streams(callers, tasks):
    streams = await asyncio.gather(*tasks)
    for caller in callers:
        caller.close()
    return streams


def list_faults(streams):
    return [fault for stream in streams for fault in stream.list_faults()]


def measure_refusals(stream, reason):
    """Return for how long the tries of a stream were refused for a reason, in seconds."""
    times = [tried.started_at for tried in stream.tries if tried.body.startswith(reason)]
    return max(times) - min(times) if times else 0


async def kill_all(fleet):
    for daemon in fleet.daemons:
        await daemon.kill()


async def test_streams_of_a_version_that_a_copy_lacks_are_not_joined_with_another():
    """The copy is older than the newer version, whose upstreams are gone."""
    async with open_fleet(3) as fleet:
        for _ in range(2):
            await fleet.add_upstream('v1')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S + COPY_AGE_S)
        newer = [await fleet.add_upstream('v2') for _ in range(2)]
        await asyncio.sleep(0.5)
        callers, tasks = begin_streams(fleet)
        await wait_for_streams(callers)
        begun = {caller.streams[0].events[0].document['version'] for caller in callers}
        assert begun == {'v1', 'v2'}
        await kill_all(fleet)
        for upstream in newer:
            upstream.crash()
            fleet.deregister(upstream)
        fleet.store.restore(COPY_AGE_S)
        await fleet.start_daemons()
        streams = await finish_streams(callers, tasks)
    assert list_faults(streams) == []
    assert count_take_ups(streams)[0] >= STREAM_COUNT


async def test_take_ups_go_on_after_a_kill_if_daemons_outlived_a_restore():
    """All daemons are killed once they have written the versions again."""
    async with open_fleet(3) as fleet:
        for _ in range(2):
            await fleet.add_upstream('v1')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S + COPY_AGE_S)
        fleet.store.restore(COPY_AGE_S)
        await wait_for_versions(fleet.store)
        callers, tasks = begin_streams(fleet, deadline_s=LATE_START_DEADLINE_S)
        await wait_for_streams(callers)
        await kill_all(fleet)
        await fleet.start_daemons()
        streams = await finish_streams(callers, tasks)
    assert list_faults(streams) == []
    for stream in streams:
        assert measure_refusals(stream, b'stream_version_unknown') <= MAX_UNKNOWN_S
    assert all(stream.is_complete for stream in streams)


async def test_streams_of_a_service_that_their_route_left_are_not_joined_with_another():
    """No daemon that is killed has seen the manifest that moves the route."""
    async with open_fleet(3) as fleet:
        await fleet.add_upstream('v1')
        await fleet.add_upstream('v2', service='other')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        callers, tasks = begin_streams(fleet)
        await wait_for_streams(callers)
        await kill_all(fleet)
        routes = (make_route('draft', '/draft/', 'other'), *ROUTES[1:])
        fleet.store.put('op', 'config', make_manifest(8, routes))
        await fleet.start_daemons()
        streams = await finish_streams(callers, tasks)
    assert list_faults(streams) == []
    assert count_take_ups(streams)[0] >= STREAM_COUNT
