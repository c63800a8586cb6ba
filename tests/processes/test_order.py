"""Streams of callers at real daemons: whole, in order, and of one software version."""

import asyncio
import functools
import itertools

import pytest

from .callers import Caller
from .fleet import open_fleet

pytestmark = pytest.mark.anyio

EVENT_COUNT = 60
SETTLE_S = 2.0
# A stream that has not begun by then was refused in all its tries.
BEGIN_LIMIT_S = 10.0


def make_caller(fleet, daemon):
    return Caller(fleet.rng, lambda: daemon.address, log=fleet.log)


async def test_stream_is_not_joined_at_an_upstream_that_restarted_unseen_at_another_version():
    """The store is away, so that the daemon holds the entry of the process before the restart."""
    async with open_fleet(1) as fleet:
        upstreams = [await fleet.add_upstream('v1') for _ in range(2)]
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        fleet.daemons[0].cut_store()
        caller = make_caller(fleet, fleet.daemons[0])
        for _ in range(3):
            reading = asyncio.create_task(caller.fetch_stream('/draft/', EVENT_COUNT))
            async with asyncio.timeout(BEGIN_LIMIT_S):
                while not any(upstream.running for upstream in upstreams):  # noqa: ASYNC110  no event
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.5)
            busy = next(upstream for upstream in upstreams if upstream.running)
            idle = next(upstream for upstream in upstreams if upstream is not busy)
            await fleet.restart_upstream(idle, 'v2')
            await fleet.restart_upstream(busy)
            stream = await reading
            assert stream.list_faults() == []
        caller.close()


async def test_stream_of_a_process_that_has_not_registered_is_not_joined_after_a_kill():
    """The daemon at which the streams began is gone, and the other one knows of one version."""
    async with open_fleet(2) as fleet:
        restarted = await fleet.add_upstream('v1')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        await fleet.restart_upstream(restarted, 'v2', is_registered=False)
        first, second = fleet.daemons
        tried = [itertools.chain([first.address], itertools.repeat(second.address)) for _ in '1234']
        callers = [
            Caller(fleet.rng, functools.partial(next, addresses), log=fleet.log)
            for addresses in tried
        ]
        tasks = [asyncio.create_task(caller.fetch_stream('/draft/', 60)) for caller in callers]
        while not all(caller.streams and caller.streams[0].events for caller in callers):  # noqa: ASYNC110  no event
            await asyncio.sleep(0.02)
        await first.kill()
        await fleet.add_upstream('v1')
        streams = await asyncio.gather(*tasks)
        assert [fault for stream in streams for fault in stream.list_faults()] == []
        for caller in callers:
            caller.close()
