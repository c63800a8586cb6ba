"""Streams of versions that are registered late, or again after daemons may have forgotten them."""

import asyncio

import pytest

from camphorpath.edge.streams import MAX_SEEN_LAG_S
from camphorpath.hashing import rendezvous_score
from camphorpath.streams.services import HORIZON_MARGIN_S, HORIZON_TIMEOUTS

from .fleet import make_route, open_fleet
from .test_out_of_step import (
    SETTLE_S,
    assert_in_order,
    begin_at_new_version,
    begin_streams,
    cut_off,
)

pytestmark = pytest.mark.anyio

TIMEOUT_MS = 2000
# After this time a row of a version does not count any more.
FORGET_S = HORIZON_TIMEOUTS * TIMEOUT_MS / 1000 + HORIZON_MARGIN_S + MAX_SEEN_LAG_S


async def test_streams_of_a_process_that_is_registered_late_are_not_joined_at_another_daemon():
    """Guards against a version that no entry names yet and that is taken for the only known one."""
    async with open_fleet(2) as fleet:
        restarted = await fleet.add_upstream('v1')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        first, other = fleet.daemons
        await fleet.restart_upstream(restarted, 'v2', is_registered=False)
        callers, readings = await begin_streams(fleet, 4 * [other.address])
        await fleet.add_upstream('v1')
        await asyncio.sleep(0.3)
        await first.kill()
        await asyncio.gather(*readings)
        assert_in_order(callers)


async def test_streams_of_a_version_that_returned_unseen_after_its_horizon_are_not_joined():
    """Guards against a row that is known to exist but too old to tell of streams that began."""
    routes = (make_route('draft', '/draft/', 'llm', timeout_ms=TIMEOUT_MS),)
    async with open_fleet(3, routes=routes) as fleet:
        old = await fleet.add_upstream('v1')
        fleet.daemons.sort(key=lambda daemon: rendezvous_score('versions', daemon.name))
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        *others, writer = fleet.daemons
        for is_last in (False, True):
            # The daemon that writes the versions for all misses the version.
            cut_off(writer)
            new, callers, readings = await begin_at_new_version(fleet)
            fleet.deregister(new)
            if is_last:
                for daemon in others:
                    await daemon.kill()
            writer.heal_store()
            writer.heal_peers()
            await asyncio.gather(*readings)
            if is_last:
                assert_in_order(callers)
                continue
            assert [caller.streams[0].list_faults() for caller in callers] == [[]] * len(callers)
            new.crash()
            await asyncio.sleep(FORGET_S)
            fleet.upstreams[:] = [old]
