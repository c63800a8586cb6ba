"""Upstreams that are killed in the middle of plain answers without a length."""

import asyncio

import pytest

from .callers import Caller, list_run_faults
from .fleet import open_fleet

pytestmark = pytest.mark.anyio

SETTLE_S = 2.0
KILL_COUNT = 12


async def test_booking_of_a_killed_upstream_does_not_look_complete():
    """Guards against half of a body that is passed on as a whole one."""
    async with open_fleet(1) as fleet:
        ledger = await fleet.add_upstream('v1', service='ledger')
        ledger.framings = ('close',)
        # Long halves, so that a kill falls between them.
        ledger.event_interval_s = 0.1
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        callers = [Caller(fleet.rng, fleet.choose_address, deadline_s=1.0) for _ in range(4)]
        for number in range(KILL_COUNT):
            # Calls that are alike and crash upstreams are refused.
            paths = [f'/book/{number}-{place}' for place in range(len(callers))]
            bookings = [
                asyncio.create_task(caller.book(path))
                for caller, path in zip(callers, paths, strict=True)
            ]
            await asyncio.sleep(0.15)
            ledger.crash(is_reset=False)
            await asyncio.sleep(0.1)
            await ledger.start(ledger.address)
            fleet.register(ledger)
            await asyncio.gather(*bookings)
        # Until the daemon has the entry of the last process.
        await asyncio.sleep(SETTLE_S)
        await callers[0].book('/book/last')
        for caller in callers:
            caller.close()
        assert callers[0].bookings[-1].status == 200
        assert list_run_faults(callers, fleet.upstreams) == []
