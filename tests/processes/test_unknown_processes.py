"""Streams begin while the other daemons cannot learn which process of an upstream serves them."""

import asyncio
import contextlib
import itertools

import pytest

from .callers import Caller
from .fleet import open_fleet

pytestmark = pytest.mark.anyio

EVENT_COUNT = 60
BEGUN_COUNT = 4
STREAM_COUNT = 9
# The rows of daemons and versions are written by then.
SETTLE_S = 2.0
# Longer than a daemon needs to find out that nothing answers it.
LOST_S = 3.0


@contextlib.asynccontextmanager
async def open_settled_fleet():
    """Start three daemons and an upstream of v1 in each availability zone."""
    async with open_fleet(3) as fleet:
        for zone in 'abc':
            await fleet.add_upstream('v1', zone=zone)
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        yield fleet


def begin_streams(fleet, addresses, later_addresses):
    """Begin a stream at each address, which is taken up at later ones; return callers and tasks."""
    callers, readings = [], []
    for number, address in enumerate(addresses):
        later = itertools.islice(itertools.cycle(later_addresses), number, None)
        tried = itertools.chain([address], later)
        caller = Caller(fleet.rng, lambda tried=tried: next(tried), log=fleet.log)
        # Daemons that start refuse connections for a while.
        caller.max_tries = 30
        callers.append(caller)
        readings.append(asyncio.create_task(caller.fetch_stream('/draft/', EVENT_COUNT)))
    return callers, readings


async def wait_until_begun(callers):
    def have_begun():
        return all(
            caller.streams and len(caller.streams[0].events) >= BEGUN_COUNT for caller in callers
        )

    async with asyncio.timeout(5):
        while not have_begun():  # noqa: ASYNC110  the condition has no event
            await asyncio.sleep(0.005)


async def assert_all_go_on(callers, readings):
    """Check that each stream began with its first call, is complete and of one version."""
    await asyncio.gather(*readings)
    for caller in callers:
        caller.close()
        (stream,) = caller.streams
        assert stream.list_faults() == []
        assert stream.tries[0].status == 200
        assert stream.is_complete


@pytest.mark.parametrize('restarts', [('v2',), ('v2', 'v3'), ('v2', 'v1')])
async def test_streams_do_not_begin_at_a_process_that_only_a_daemon_without_contact_knows(restarts):
    """Guards against streams of two versions, joined by daemons that know the older one only."""
    async with open_settled_fleet() as fleet:
        alone, *others = fleet.daemons
        alone.cut_store()
        alone.cut_peers()
        for version in restarts:
            await fleet.restart_upstream(fleet.upstreams[0], version)
        await asyncio.sleep(LOST_S)
        addresses = [daemon.address for daemon in others]
        callers, readings = begin_streams(fleet, STREAM_COUNT * [alone.address], addresses)
        await wait_until_begun(callers)
        # Its streams break off, if there are any, and are taken up at daemons with contact.
        await fleet.restart_upstream(fleet.upstreams[0])
        await assert_all_go_on(callers, readings)


async def test_streams_begin_at_a_daemon_without_contact_if_all_upstreams_have_restarted():
    """Guards against refused streams where no upstream is left whose version others can learn."""
    async with open_settled_fleet() as fleet:
        alone, *others = fleet.daemons
        alone.cut_store()
        alone.cut_peers()
        for upstream in fleet.upstreams:
            await fleet.restart_upstream(upstream, 'v2')
        await asyncio.sleep(LOST_S)
        addresses = [daemon.address for daemon in others]
        callers, readings = begin_streams(fleet, STREAM_COUNT * [alone.address], addresses)
        await wait_until_begun(callers)
        await assert_all_go_on(callers, readings)


async def test_streams_of_an_outage_go_on_after_a_kill_of_all_daemons():
    """Guards against streams of a process whose version nobody could write before the kill."""
    async with open_settled_fleet() as fleet:
        fleet.store.set_mode('away')
        await fleet.restart_upstream(fleet.upstreams[0], 'v2', is_registered=False)
        await asyncio.sleep(LOST_S)
        addresses = [daemon.address for daemon in fleet.daemons]
        callers, readings = begin_streams(fleet, 3 * addresses, addresses)
        await wait_until_begun(callers)
        for daemon in fleet.daemons:
            await daemon.kill()
        fleet.register(fleet.upstreams[0])
        fleet.store.set_mode('up')
        for daemon in fleet.daemons:
            await daemon.start()
        await assert_all_go_on(callers, readings)


async def test_streams_begin_at_a_daemon_that_started_during_an_outage():
    """Guards against a daemon that serves no streams until it can write its row."""
    async with open_settled_fleet() as fleet:
        fleet.store.set_mode('away')
        started, *others = fleet.daemons
        await started.kill()
        await started.start()
        await fleet.wait_ready([started])
        addresses = [daemon.address for daemon in others]
        callers, readings = begin_streams(fleet, STREAM_COUNT * [started.address], addresses)
        await wait_until_begun(callers)
        await assert_all_go_on(callers, readings)


async def test_streams_go_on_while_daemons_are_killed_one_by_one_and_a_version_joins():
    """Guards against streams whose version only daemons knew that are killed in turn."""
    async with open_settled_fleet() as fleet:
        addresses = [daemon.address for daemon in fleet.daemons]
        callers, readings = begin_streams(fleet, 2 * addresses, addresses)
        await wait_until_begun(callers)
        for daemon in fleet.daemons:
            await daemon.kill()
            if daemon is fleet.daemons[0]:
                await fleet.restart_upstream(fleet.upstreams[0], 'v2')
            others = [address for address in addresses if address != daemon.address]
            more_callers, more_readings = begin_streams(fleet, 2 * others, addresses)
            await wait_until_begun(more_callers)
            callers += more_callers
            readings += more_readings
            await daemon.start()
            await fleet.wait_ready([daemon])
        await assert_all_go_on(callers, readings)
