"""Orders to move a service to a good or a bad version, and the rules that must hold for them."""

import asyncio
import json
import random
import time

import attrs

from .fleet import BOUNDS

SERVICE = 'moved'
PATH = '/move/'
KEY = f'rollout/{SERVICE}'
FINAL_STATES = frozenset(('completed', 'reverted'))
UPSTREAM_COUNT = 4
CALLER_COUNT = 8
MAX_EVENTS = 15
# The 50th bad answer begins the time to react.
COUNTED_BAD = 50
# What a bad version adds to an answer, which usually begins after 0.03 s.
SLOW_S = 0.25
# A daemon hears of an answer, and an upstream reads a request, later on a busy machine.
SLACK_S = 0.25
POLL_S = 0.02


@attrs.define
class Order:
    """One order, and what came of it; instants are on the monotonic clock."""

    version: str
    # '', 'failing' or 'slow'.
    fault: str
    # Seconds after the order from which the version is bad.
    bad_after_s: float
    written_at: float
    duration_s: float
    upstreams: list = attrs.field(factory=list)
    # States that were written to the status row, also by a write that a restore took back.
    states: list = attrs.field(factory=list)
    # Instant and version of the requests that reached the service.
    runs: list = attrs.field(factory=list)

    def list_faults(self):
        """Return how the rules for orders are broken; empty if they hold."""
        final = sorted(FINAL_STATES.intersection(self.states))
        faults = [f'{final} were written'] if len(final) > 1 else []
        if self.fault:
            faults += [*self._check_share(), *self._check_end()]
        return [f'order to {self.describe()}: {fault}' for fault in faults]

    def describe(self):
        fault = f'{self.fault} after {self.bad_after_s:.1f} s' if self.fault else 'good'
        bad, state = len(self._list_bad_times()), (self.states or ['no state'])[-1]
        got = [version for _at, version in self.runs].count(self.version)
        return f'{self.version}, {fault}, {state}, {bad} of {got} bad, {len(self.runs)} in all'

    def _check_share(self):
        ends_at = self.written_at + self.duration_s
        versions = [version for at, version in self.runs if self.written_at <= at <= ends_at]
        got = versions.count(self.version)
        limit = BOUNDS['canary_share'] * len(versions) + BOUNDS['canary_allowance']
        if got > limit:
            yield f'it got {got} of {len(versions)} requests'

    def _check_end(self):
        times = self._list_bad_times()
        if len(times) < COUNTED_BAD:
            return
        until = times[COUNTED_BAD - 1] + BOUNDS['rollback_timeout_ms'] / 1000 + SLACK_S
        late = [at - until for at, version in self.runs if version == self.version and at > until]
        if late:
            yield f'{len(late)} requests up to {late[-1]:.1f} s too late'

    def _list_bad_times(self):
        return sorted(at for upstream in self.upstreams for at in upstream.bad_times)


async def add_upstreams(fleet, version, runs, **changes):
    """Start upstreams of the service that is moved; `runs` gets their requests."""

    def record(upstream, _request):
        runs.append((time.monotonic(), upstream.software_version))

    return [
        await fleet.add_upstream(
            version, service=SERVICE, zone='abc'[number % 3], on_run=record, **changes
        )
        for number in range(UPSTREAM_COUNT)
    ]


async def play_orders(fleet, plan, until, old, runs):
    """Write orders one after the other, each when the one before it has ended; return them."""
    rng = random.Random(f'{plan.seed}/orders')
    orders = []
    while True:
        await asyncio.sleep(rng.uniform(0.5, 2))
        duration_s = min(rng.uniform(8, 11), 0.7 * plan.duration_s)
        if fleet.now() + duration_s > until:
            return orders
        order = await _write_order(fleet, rng, f'm{len(orders) + 1}', duration_s, runs)
        orders.append(order)
        new = order.upstreams
        while not FINAL_STATES.intersection(order.states) and fleet.now() < until:  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)
        state = (order.states or [''])[-1]
        fleet.log(f'order to {order.describe()}')
        if state == 'completed':
            # Whatever they are running is lost.
            _remove(fleet, old)
            old = new
            continue
        # The new ones go on for a while: none may get a request then.
        await asyncio.sleep(max(min(order.duration_s, until - fleet.now()), 0))
        if fleet.now() + 1 < until:
            _remove(fleet, new)


async def _write_order(fleet, rng, version, duration_s, runs):
    fault = rng.choice(('', '', 'failing', 'failing', 'slow'))
    bad_after_s = rng.choice((0, rng.uniform(0, 0.4 * duration_s))) if fault else 0
    bad_share = rng.uniform(0.3, 1)
    new = await add_upstreams(
        fleet,
        version,
        runs,
        bad_share=bad_share if fault else 0.0,
        bad_from=time.monotonic() + bad_after_s,
        slow_s=SLOW_S if fault == 'slow' else 0.0,
    )
    order = Order(version, fault, bad_after_s, time.monotonic(), duration_s, new, runs=runs)
    fleet.store.on_write = lambda place, content: _record_state(order, place, content)
    content = {'service': SERVICE, 'to': version, 'duration_s': duration_s}
    fleet.store.put('op', KEY, content)
    fleet.log(f'order to {order.describe()}, for {duration_s:.1f} s, bad share {bad_share:.2f}')
    return order


def _record_state(order, place, content):
    if place != ('status', '', KEY) or content is None:
        return
    status = json.loads(content)
    if status['to'] == order.version:
        order.states.append(status['runner_state'])


def _remove(fleet, upstreams):
    for upstream in upstreams:
        upstream.is_draining = True
        upstream.crash()
        fleet.deregister(upstream)


async def call_service(fleet, caller, until):
    """Get short streams of the service that is moved."""
    while fleet.now() < until:
        await caller.fetch_stream(PATH, caller.rng.randint(3, MAX_EVENTS))
        await asyncio.sleep(caller.rng.uniform(0, 0.2))
