"""Streams begin while one version serves; their daemon answers nobody when another one joins."""

import asyncio
import itertools

import pytest

from .callers import Caller
from .fleet import open_fleet

pytestmark = pytest.mark.anyio

# Streams that are longer than the time from their begin to the take-ups.
EVENT_COUNT = 120
BEGUN_COUNT = 8
STREAM_COUNT = 12
SETTLE_S = 2.0
# Longer than a change of the upstreams takes to the daemons in touch.
FOLLOW_S = 0.5
# Callers give up on a silent daemon after this time.
MAX_GAP_S = 1.5


async def begin_streams(fleet):
    """Begin streams at the first daemon, which are taken up at others; return callers and tasks."""
    callers, readings = [], []
    for address in itertools.islice(
        itertools.cycle(daemon.address for daemon in fleet.daemons[1:]), STREAM_COUNT
    ):
        tried = itertools.chain([fleet.daemons[0].address], itertools.repeat(address))
        caller = Caller(
            fleet.rng, lambda tried=tried: next(tried), max_gap_s=MAX_GAP_S, log=fleet.log
        )
        callers.append(caller)
        readings.append(asyncio.create_task(caller.fetch_stream('/draft/', EVENT_COUNT)))
    async with asyncio.timeout(5):
        for caller in callers:
            while not (caller.streams and len(caller.streams[0].events) >= BEGUN_COUNT):  # noqa: ASYNC110  it is polled
                await asyncio.sleep(0.005)
    return callers, readings


@pytest.mark.parametrize('loss', ['frozen', 'killed while cut off'])
async def test_streams_of_a_daemon_that_answers_nobody_go_on_beside_another_version(loss):
    """Guards against take-ups that are refused, as only one daemon knows the version."""
    async with open_fleet(5) as fleet:
        for _ in range(2):
            await fleet.add_upstream('v1')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        first = fleet.daemons[0]
        callers, readings = await begin_streams(fleet)
        if loss == 'frozen':
            first.freeze()
        else:
            first.cut_store()
            first.cut_peers()
        for _ in range(2):
            await fleet.add_upstream('v2')
        await asyncio.sleep(FOLLOW_S)
        if not first.is_frozen:
            await first.kill()
        await asyncio.gather(*readings)
        for caller in callers:
            caller.close()
        streams = [caller.streams[0] for caller in callers]
        assert [fault for stream in streams for fault in stream.list_faults()] == []
        assert all(len(stream.tries) > 1 for stream in streams)
        assert [stream.is_complete for stream in streams] == [True] * STREAM_COUNT
