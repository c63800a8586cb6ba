"""Streams of a new software version are taken up at a daemon that missed its registration."""

import asyncio
import itertools

import pytest

from camphorpath.hashing import rendezvous_score

from .callers import Caller
from .fleet import open_fleet

pytestmark = pytest.mark.anyio

EVENT_COUNT = 60
BEGUN_COUNT = 8
SETTLE_S = 2.0
# Longer than a change of the upstreams takes to the daemons in touch.
FOLLOW_S = 0.2


async def wait_until(condition, limit_s=5.0):
    async with asyncio.timeout(limit_s):
        while not condition():  # noqa: ASYNC110  the condition has no event
            await asyncio.sleep(0.005)


def freeze(daemon):
    daemon.freeze()


def cut_off(daemon):
    daemon.cut_store()
    daemon.cut_peers()


def cut_peers(daemon):
    daemon.cut_peers()


def cut_store(daemon):
    daemon.cut_store()


async def begin_streams(fleet, addresses):
    """Begin a stream at the first daemon for each of some others, at which it is taken up.

    Returns the callers and their tasks.
    """
    callers, readings = [], []
    for address in addresses:
        tried = itertools.chain([fleet.daemons[0].address], itertools.repeat(address))
        caller = Caller(fleet.rng, lambda tried=tried: next(tried), log=fleet.log)
        callers.append(caller)
        readings.append(asyncio.create_task(caller.fetch_stream('/draft/', EVENT_COUNT)))

    def have_begun():
        return all(
            caller.streams and len(caller.streams[0].events) >= BEGUN_COUNT for caller in callers
        )

    await wait_until(have_begun)
    return callers, readings


async def begin_at_new_version(fleet):
    """Replace the upstream of v1 by one of v2 and begin streams there, which go on at the last VM.

    Returns the new upstream, the callers and their tasks.
    """
    old = fleet.upstreams[0]
    new = await fleet.add_upstream('v2')
    fleet.deregister(old)
    await asyncio.sleep(FOLLOW_S)
    callers, readings = await begin_streams(fleet, 4 * [fleet.daemons[-1].address])
    assert {
        event.document['version'] for caller in callers for event in caller.streams[0].events
    } == {'v2'}
    # An upstream at which a daemon that missed the release can go on.
    fleet.register(old)
    return new, callers, readings


async def kill_others(fleet):
    for daemon in fleet.daemons[:-1]:
        await daemon.kill()


def assert_in_order(callers):
    for caller in callers:
        caller.close()
        for stream in caller.streams:
            assert len(stream.tries) > 1
            assert stream.list_faults() == []


@pytest.mark.parametrize('is_new_gone', [False, True])
@pytest.mark.parametrize('lose_touch', [freeze, cut_off, cut_peers, cut_store])
async def test_streams_are_not_joined_at_a_daemon_that_missed_a_release(lose_touch, is_new_gone):
    """The daemons that know the streams are killed; the last one confirmed its view just before."""
    async with open_fleet(3) as fleet:
        await fleet.add_upstream('v1')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        late = fleet.daemons[-1]
        lose_touch(late)
        new, callers, readings = await begin_at_new_version(fleet)
        if is_new_gone:
            fleet.deregister(new)
        await kill_others(fleet)
        if late.is_frozen:
            # The take-ups wait in the socket.
            await asyncio.sleep(0.5)
            late.thaw()
        await asyncio.gather(*readings)
        assert_in_order(callers)


@pytest.mark.parametrize('lose_touch', [freeze, cut_off])
async def test_streams_of_a_version_that_joined_and_left_unseen_are_not_joined(lose_touch):
    """The daemon that writes the versions for all misses the version, too."""
    async with open_fleet(3) as fleet:
        await fleet.add_upstream('v1')
        fleet.daemons.sort(key=lambda daemon: rendezvous_score('versions', daemon.name))
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        late = fleet.daemons[-1]
        lose_touch(late)
        new, callers, readings = await begin_at_new_version(fleet)
        fleet.deregister(new)
        await kill_others(fleet)
        if late.is_frozen:
            await asyncio.sleep(0.5)
            late.thaw()
        late.heal_store()
        await asyncio.gather(*readings)
        assert_in_order(callers)


async def test_streams_are_not_joined_at_a_part_of_the_fleet_that_lost_its_peers_before_the_store():
    """The heartbeats in that part say that nobody reaches the store."""
    async with open_fleet(4) as fleet:
        await fleet.add_upstream('v1')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        part = fleet.daemons[2:]
        for daemon in part:
            daemon.cut_peers([other.name for other in fleet.daemons[:2]])
        await wait_until(lambda: all(count_lost(daemon) == 2 for daemon in part), 15)
        await asyncio.sleep(1)
        for daemon in part:
            daemon.cut_store()
        await wait_until(lambda: all(has_lost_store(daemon) for daemon in part), 15)
        await asyncio.sleep(SETTLE_S)
        _new, callers, readings = await begin_at_new_version(fleet)
        for daemon in fleet.daemons[:2]:
            await daemon.kill()
        await asyncio.gather(*readings)
        assert_in_order(callers)


def count_lost(daemon):
    return sum(document['message'] == 'member_lost' for document in daemon.read_log())


def has_lost_store(daemon):
    return any(document['message'] == 'store_lost' for document in daemon.read_log())


@pytest.mark.parametrize('store_delay_s', [0.004, 0.4])
async def test_streams_of_a_killed_daemon_go_on_while_one_version_serves(store_delay_s):
    """Guards against take-ups that are refused, or wait, where nothing can be joined wrongly."""
    async with open_fleet(3) as fleet:
        for _ in range(2):
            await fleet.add_upstream('v1')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        first, *others = fleet.daemons
        callers, readings = await begin_streams(fleet, 6 * [daemon.address for daemon in others])
        fleet.store.delay_s = store_delay_s
        await first.kill()
        await asyncio.gather(*readings)
        assert_in_order(callers)
        for caller in callers:
            assert caller.streams[0].is_complete
            assert len(caller.streams[0].tries) == 2


async def test_streams_of_a_killed_daemon_go_on_while_the_store_is_away():
    """Guards against take-ups that wait for the store though other daemons have the records."""
    async with open_fleet(3) as fleet:
        for _ in range(2):
            await fleet.add_upstream('v1')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        first, *others = fleet.daemons
        callers, readings = await begin_streams(fleet, 2 * [daemon.address for daemon in others])
        fleet.store.set_mode('away')
        await first.kill()
        await asyncio.gather(*readings)
        assert_in_order(callers)
        for caller in callers:
            assert caller.streams[0].is_complete
            assert len(caller.streams[0].tries) == 2


async def test_streams_of_a_killed_daemon_go_on_once_the_store_is_back():
    """Until then a version that only the killed daemon knew may have begun them."""
    async with open_fleet(3) as fleet:
        for _ in range(2):
            await fleet.add_upstream('v1')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        first, *others = fleet.daemons
        # No other daemon gets the records of the streams.
        first.cut_peers()
        callers, readings = await begin_streams(fleet, 2 * [daemon.address for daemon in others])
        fleet.store.set_mode('away')
        await first.kill()
        await wait_until(lambda: all(len(caller.streams[0].tries) > 2 for caller in callers))
        fleet.store.set_mode('up')
        await asyncio.gather(*readings)
        assert_in_order(callers)
        for caller in callers:
            tries = caller.streams[0].tries
            assert (tries[1].status, tries[1].end) == (503, 'refused')
            assert caller.streams[0].is_complete


async def test_streams_of_a_live_daemon_go_on_elsewhere_while_the_store_is_away():
    """Guards against take-ups that are refused though a daemon knows the version."""
    async with open_fleet(3) as fleet:
        for _ in range(2):
            await fleet.add_upstream('v1')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        fleet.store.set_mode('away')
        others = [daemon.address for daemon in fleet.daemons[1:]]
        callers, readings = await begin_streams(fleet, 2 * others)
        for caller in callers:
            caller.max_gap_s = 0.3
        # The callers give up on a daemon that stands still and then answers its peers.
        fleet.daemons[0].freeze()
        await wait_until(lambda: all(len(caller.streams[0].tries) > 1 for caller in callers))
        fleet.daemons[0].thaw()
        await asyncio.gather(*readings)
        assert_in_order(callers)
        assert [caller.streams[0].is_complete for caller in callers] == [True] * len(callers)
