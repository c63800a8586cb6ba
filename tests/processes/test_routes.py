"""Manifests change the routes of streams that callers take up."""

import asyncio

import pytest

from .callers import count_take_ups
from .fleet import ROUTES, make_manifest, make_route, open_fleet
from .test_kills import begin_streams, finish_streams, kill_all, list_faults, wait_for_streams

pytestmark = pytest.mark.anyio

SETTLE_S = 2.0
# Longer than daemons take to put a manifest in force.
APPLY_S = 1.0


async def test_streams_of_a_route_that_ceased_to_be_resumable_are_not_joined():
    """The upstream of the older version ends once the route cannot be resumed any more."""
    async with open_fleet(1) as fleet:
        older = await fleet.add_upstream('v1')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        callers, tasks = begin_streams(fleet)
        await wait_for_streams(callers)
        routes = (make_route('draft', '/draft/', 'llm', stream_resume=False), *ROUTES[1:])
        fleet.store.put('op', 'config', make_manifest(8, routes))
        await asyncio.sleep(APPLY_S)
        await fleet.add_upstream('v2')
        older.crash()
        fleet.deregister(older)
        streams = await finish_streams(callers, tasks)
    assert list_faults(streams) == []


async def test_streams_of_a_route_that_ceased_to_be_resumable_go_on_after_a_kill():
    """Guards against take-ups that are refused though the store may tell their version."""
    async with open_fleet(1) as fleet:
        await fleet.add_upstream('v1')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        callers, tasks = begin_streams(fleet)
        await wait_for_streams(callers)
        routes = (make_route('draft', '/draft/', 'llm', stream_resume=False), *ROUTES[1:])
        fleet.store.put('op', 'config', make_manifest(8, routes))
        await fleet.add_upstream('v2')
        await asyncio.sleep(APPLY_S)
        await kill_all(fleet)
        await fleet.start_daemons()
        streams = await finish_streams(callers, tasks)
    assert list_faults(streams) == []
    assert count_take_ups(streams)[0] >= len(streams)
    assert all(stream.is_complete for stream in streams)


async def test_streams_are_not_joined_after_a_kill_if_a_route_of_a_longer_prefix_was_added():
    """The new routes take a part of the paths of another one, which stays as it was."""
    async with open_fleet(1) as fleet:
        await fleet.add_upstream('v1')
        await fleet.add_upstream('v2', service='other')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        callers, tasks = begin_streams(fleet)
        await wait_for_streams(callers)
        keys = [caller.streams[0].key for caller in callers]
        added = [make_route(f'draft-{key}', f'/draft/{key}/', 'other') for key in keys]
        await kill_all(fleet)
        fleet.store.put('op', 'config', make_manifest(8, (*ROUTES, *added)))
        await fleet.start_daemons()
        streams = await finish_streams(callers, tasks)
    assert list_faults(streams) == []


async def test_streams_of_a_route_that_became_resumable_are_not_joined():
    """No record tells where they began, and the route leads to another service since."""
    routes = (make_route('draft', '/draft/', 'llm', stream_resume=False), *ROUTES[1:])
    async with open_fleet(1) as fleet:
        fleet.store.put('op', 'config', make_manifest(8, routes))
        await fleet.add_upstream('v1')
        await fleet.add_upstream('v2', service='other')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        callers, tasks = begin_streams(fleet)
        await wait_for_streams(callers)
        moved = (make_route('draft', '/draft/', 'other'), *ROUTES[1:])
        await kill_all(fleet)
        fleet.store.put('op', 'config', make_manifest(9, moved))
        await fleet.start_daemons()
        streams = await finish_streams(callers, tasks)
    assert list_faults(streams) == []
    assert count_take_ups(streams)[0] >= len(streams)


async def test_streams_go_on_after_a_kill_if_a_route_of_a_longer_prefix_was_added_before():
    """Guards against take-ups that are refused though the store may tell their version."""
    async with open_fleet(1) as fleet:
        await fleet.add_upstream('v1')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        callers, tasks = begin_streams(fleet)
        await wait_for_streams(callers)
        keys = [caller.streams[0].key for caller in callers]
        added = [make_route(f'draft-{key}', f'/draft/{key}/', 'llm') for key in keys]
        fleet.store.put('op', 'config', make_manifest(8, (*ROUTES, *added)))
        await asyncio.sleep(APPLY_S)
        await kill_all(fleet)
        await fleet.start_daemons()
        streams = await finish_streams(callers, tasks)
    assert list_faults(streams) == []
    assert count_take_ups(streams)[0] >= len(streams)
    assert all(stream.is_complete for stream in streams)


async def test_streams_are_not_joined_if_a_route_that_is_not_resumable_was_removed():
    """Its paths belong to a shorter prefix then, whose route is resumable all along."""
    async with open_fleet(1) as fleet:
        added = make_route('once', '/draft/once/', 'other', stream_resume=False)
        fleet.store.put('op', 'config', make_manifest(8, (*ROUTES, added)))
        await fleet.add_upstream('v1')
        older = await fleet.add_upstream('v2', service='other')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        callers, tasks = begin_streams(fleet, '/draft/once/')
        await wait_for_streams(callers)
        fleet.store.put('op', 'config', make_manifest(9))
        await asyncio.sleep(APPLY_S)
        older.crash()
        fleet.deregister(older)
        streams = await finish_streams(callers, tasks)
    assert list_faults(streams) == []
    assert count_take_ups(streams)[0] >= len(streams)
