"""Entries of upstreams are removed, as these leave or as the store has lost them."""

import asyncio
import signal
import time

import pytest

from .callers import Caller
from .fleet import BOUNDS, open_fleet

pytestmark = pytest.mark.anyio

SETTLE_S = 2.0
DRAIN_S = BOUNDS['drain_timeout_ms'] / 1000
# Between the removals of two entries.
PAUSE_S = 0.85
# Callers of each daemon; one upstream can serve those of two.
CALLERS = 8
SLOTS = 24
# Longer than the entries of upstreams that are not heard last.
OUTAGE_S = 4.5
# Within the two seconds in which the entries are back after an outage.
RETURN_S = 1.5


async def restart(fleet, daemon):
    daemon.send_signal(signal.SIGTERM)
    await daemon.wait()
    await daemon.start()
    await fleet.wait_ready([daemon])


async def kill(fleet, daemon):
    await daemon.kill()
    await daemon.start()
    await fleet.wait_ready([daemon])


async def freeze(_fleet, daemon):
    daemon.freeze()
    await asyncio.sleep(OUTAGE_S)
    daemon.thaw()


async def cut_store(_fleet, daemon):
    daemon.cut_store()
    await asyncio.sleep(OUTAGE_S)


async def heal_store(fleet, daemon):
    await cut_store(fleet, daemon)
    daemon.heal_store()


async def hang_up(_fleet, daemon):
    daemon.send_signal(signal.SIGHUP)


async def send_bookings(fleet, daemons, until):
    """Send bookings one after the other through each daemon; return what came of them."""

    async def send(daemon):
        caller = Caller(fleet.rng, lambda: daemon.address, log=fleet.log)
        while time.monotonic() < until:
            await caller.book('/book/x')
        caller.close()
        return caller.bookings

    sent = await asyncio.gather(*(send(daemon) for daemon in daemons for _ in range(CALLERS)))
    return [booking for bookings in sent for booking in bookings]


async def start_fleet(fleet, runs):
    for zone in 'abc':
        upstream = await fleet.add_upstream('v1', zone=zone, service='ledger', slots=SLOTS)
        upstream.on_run = lambda upstream, _request: runs.append((upstream, time.monotonic()))
    await fleet.start_daemons()
    await asyncio.sleep(SETTLE_S)


@pytest.mark.parametrize('says_so', [True, False])
@pytest.mark.parametrize('trouble', [restart, kill, freeze, cut_store, heal_store, hang_up])
async def test_upstreams_that_leave_after_a_trouble_of_one_daemon_are_not_used_again(
    trouble, says_so
):
    """Guards against daemons that take entries for lapsed, as the store seems lost to one."""
    runs = []
    async with open_fleet(3) as fleet:
        await start_fleet(fleet, runs)
        first, second, _third = fleet.upstreams
        await trouble(fleet, fleet.daemons[-1])
        until = time.monotonic() + PAUSE_S + DRAIN_S + 1
        sending = asyncio.create_task(send_bookings(fleet, fleet.daemons[:2], until))
        await asyncio.sleep(0.2)
        left = {}
        for upstream in (first, second):
            fleet.deregister(upstream)
            left[upstream.upstream_id] = time.monotonic()
            # An answer must not say so before the daemons know of the removal.
            await asyncio.sleep(0.01)
            upstream.is_leaving = says_so
            await asyncio.sleep(PAUSE_S)
        bookings = await sending
    after = [
        at - left[upstream.upstream_id]
        for upstream, at in runs
        if upstream.upstream_id in left and at > left[upstream.upstream_id]
    ]
    # Not at all, but for calls that were under way.
    assert max(after, default=0) < 0.5
    assert len(bookings) > 100
    assert {booking.status for booking in bookings} == {200}


@pytest.mark.parametrize('is_one_restarted', [True, False])
async def test_upstreams_whose_entries_the_store_has_lost_are_used_until_they_are_back(
    is_one_restarted,
):
    """Guards against refused calls after an outage of the store in which all entries lapsed."""
    runs = []
    async with open_fleet(3) as fleet:
        await start_fleet(fleet, runs)
        fleet.store.set_mode('away')
        await asyncio.sleep(OUTAGE_S)
        if is_one_restarted:
            await kill(fleet, fleet.daemons[-1])
        for upstream in fleet.upstreams:
            fleet.deregister(upstream)
        until = time.monotonic() + RETURN_S + 2
        fleet.store.set_mode('up')
        sending = asyncio.create_task(send_bookings(fleet, fleet.daemons[:2], until))
        await asyncio.sleep(RETURN_S)
        for upstream in fleet.upstreams:
            upstream.sequence += 1
            fleet.register(upstream)
        bookings = await sending
    assert len(bookings) > 100
    assert {booking.status for booking in bookings} == {200}
