import asyncio
import contextlib
import itertools
import random

import anyio
import attrs
import pytest

from camphorpath.placement.quarantine import Quarantine

from ..relay.support import ask, make_entries, make_request, open_upstream, run
from ..relay.test_crashing_parts import Crashes, crash_on
from .fleet import open_fleet

UPSTREAM_COUNT = 6
# From the users' pages: crashes that are tolerated, and calls that may reach upstreams later.
TOLERATED_CRASHES = 5
TOLERATED_CALLS = 3
CALL_INTERVAL_S = 0.02
FIRST_PARTS = (b'10', b'11', b'12')


@attrs.define
class Traffic:
    """Sends sound and crashing calls to all daemons, and counts the answers to the sound ones."""

    daemons: list
    random: random.Random
    share: float
    path: bytes
    served: int = 0
    sent: int = 0
    numbers: itertools.count = attrs.field(factory=lambda: itertools.count(1))

    async def run(self, duration_s):
        async with anyio.create_task_group() as group:
            until = anyio.current_time() + duration_s
            while anyio.current_time() < until:
                daemon = self.random.choice([each for each in self.daemons if not each.is_stopped])
                is_sound = self.random.random() >= self.share
                group.start_soon(self._call, daemon, is_sound, next(self.numbers))
                await anyio.sleep(CALL_INTERVAL_S)

    async def _call(self, daemon, is_sound, number):
        parts = self.random.choice(FIRST_PARTS) + b':60,'
        parts += b'%x:9' % number if is_sound else b'bad:60,%x:9' % number
        request = make_request(self.path, b'%d' % number, headers=b'Parts: %b\r\n' % parts)
        status = 0
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            status, _head, _body = await ask(daemon.port, request)
        if is_sound:
            self.sent += 1
            self.served += status == 200


async def restart_upstreams(daemons, upstreams, crashes):
    """Give the upstreams a new incarnation after each crash, as if they had started again."""
    known = 0
    while True:
        await anyio.sleep(CALL_INTERVAL_S / 4)
        if crashes.count == known:
            continue
        known = crashes.count
        for daemon in daemons:
            for entry in make_entries(upstreams):
                daemon.state.view.put(attrs.evolve(entry, incarnation=known))
            daemon.state._has_upstream_changes = True
            daemon.state.reassign()


@contextlib.asynccontextmanager
async def open_crashing_fleet(seed, share, path, max_events=0):
    crashes = Crashes()
    rng = random.Random(seed)
    handle = crash_on(b'bad:', crashes, lambda: rng.randint(0, max_events))
    async with contextlib.AsyncExitStack() as stack:
        upstreams = [
            await stack.enter_async_context(open_upstream(handle)) for _ in range(UPSTREAM_COUNT)
        ]
        daemons = await stack.enter_async_context(open_fleet(*upstreams))
        async with anyio.create_task_group() as group:
            group.start_soon(restart_upstreams, daemons, upstreams, crashes)
            yield Traffic(daemons, random.Random(seed), share, path), crashes
            group.cancel_scope.cancel()


@pytest.mark.parametrize('path', [b'/once/x', b'/stream/x'])
@pytest.mark.parametrize('max_events', [0, 5])
@pytest.mark.parametrize(('seed', 'share'), [(1, 0.05), (2, 0.3), (3, 0.8)])
def test_requests_of_one_kind_crash_few_upstreams_and_sound_ones_are_served(
    seed, share, max_events, path
):
    """Guards against calls of one kind that crash upstreams one after the other."""

    async def test():
        async with open_crashing_fleet(seed, share, path, max_events) as (traffic, crashes):
            await traffic.run(1.5)
            assert crashes.count <= TOLERATED_CRASHES + TOLERATED_CALLS
            crashes_before, traffic.sent, traffic.served = crashes.count, 0, 0
            await traffic.run(1.0)
            # What crashes upstreams had been found unless too few such calls had come.
            assert crashes.count <= max(crashes_before, TOLERATED_CRASHES)
            assert traffic.served >= traffic.sent / 2

    run(test)


def test_started_and_cut_off_daemons_do_not_crash_further_upstreams():
    """Guards against daemons that were started or cut off while a part was quarantined."""

    async def test():
        async with open_crashing_fleet(4, 0.5, b'/once/x') as (traffic, crashes):
            cut_off, started = traffic.daemons[1:]
            cut_off.is_stopped = True
            await traffic.run(1.0)
            crashes_before = crashes.count
            started.state.relay.quarantine = Quarantine()
            cut_off.is_stopped = False
            # At most the interval of heartbeats.
            await anyio.sleep(0.3)
            await traffic.run(1.0)
            assert 0 < crashes.count == crashes_before <= TOLERATED_CRASHES + TOLERATED_CALLS

    run(test)
