"""Lets a call wait for the units that it takes from the quota of its customer."""

import math
import random

import anyio

from ..clocks import read_lease_clock
from ..errors import Refusal
from ..events import Event
from ..placement.quota_queue import QuotaRequest, QuotaState
from ..routing import Customer
from .acceptance import STATUS_TOO_MANY, Call
from .context import RelayContext

QUOTA_EXHAUSTED = 'quota_exhausted'
# Interval at which the next call of a customer asks for its units: a few milliseconds late beside
# latency objectives of hundreds, and one call for each customer does it.
POLL_INTERVAL_S = 0.02
# A refused caller is asked to return at least so much later.
MIN_RETRY_AFTER_S = 0.1
# Retry times are drawn up to this multiple of the expected wait, so that callers do not return
# together.
RETRY_SPREAD = 1.3


async def take_quota(context: RelayContext, call: Call) -> None:
    """Return when the call has its units; raise Refusal if it cannot be in time with them.

    Sets `holds_units` of the call, also if the wait is cancelled in that moment.
    """
    customer = call.customer
    if customer is None or customer.rate <= 0:
        return
    request = QuotaRequest(
        customer=customer,
        units=call.units,
        # Calls without a prompt are small, so holding them back would not leave room for others.
        priority=call.route.priority if call.prompt_tokens else 0,
        wait_until=call.wait_until(),
    )
    began_at = read_lease_clock()
    context.quota_queue.submit(request, began_at)
    try:
        if request.state is QuotaState.WAITING:
            _announce_wait(context, customer, began_at)
            await _wait_for_units(context, request)
    finally:
        now = read_lease_clock()
        context.quota_queue.withdraw(request, now)
        call.holds_units = request.state is QuotaState.ADMITTED
        if context.quota_queue.announce_end(customer.name):
            context.events.emit(Event.QUOTA_WAIT_ENDED, customer=customer.name)
    if not call.holds_units:
        context.metrics.quota_refusals.inc({'customer': customer.name})
        raise _make_refusal(call, customer, request)
    context.metrics.quota_waits.observe({}, now - began_at)


async def _wait_for_units(context: RelayContext, request: QuotaRequest) -> None:
    """Return when a call no longer waits, or at the end of its time."""
    changed = anyio.Event()
    request.on_change = lambda: changed.set()
    while request.state is QuotaState.WAITING:
        changed = anyio.Event()
        left_s = request.wait_until - read_lease_clock()
        if left_s <= 0:
            return
        if context.quota_queue.is_first(request):
            left_s = min(left_s, POLL_INTERVAL_S)
        with anyio.move_on_after(left_s):
            await changed.wait()
        context.quota_queue.admit_waiting(request.customer.name, read_lease_clock())


def return_units(context: RelayContext, call: Call) -> None:
    """Give the units of a call back that did not run."""
    if call.customer is None or not call.holds_units:
        return
    call.holds_units = False
    context.quota_queue.give_back(call.customer, call.units, read_lease_clock())


def _announce_wait(context: RelayContext, customer: Customer, now: float) -> None:
    if context.quota_queue.announce_wait(customer.name, now):
        context.events.emit(
            Event.QUOTA_WAIT_BEGUN,
            customer=customer.name,
            waiting=context.quota_queue.count_waiting(customer.name),
            rate=customer.rate,
            burst=customer.burst,
        )


def _make_refusal(call: Call, customer: Customer, request: QuotaRequest) -> Refusal:
    wait_s = request.expected_wait_s
    retry_after_s = None
    expected = 'it exceeds the quota as a whole'
    if math.isfinite(wait_s):
        expected = f'expected wait {wait_s:.2f} s'
        soonest_s = max(wait_s, MIN_RETRY_AFTER_S)
        retry_after_s = round(random.uniform(soonest_s, soonest_s * RETRY_SPREAD), 3)
    return Refusal(
        QUOTA_EXHAUSTED,
        f'customer {customer.name} asks for {call.units:.0f} units above its quota of '
        f'{customer.rate:.0f} a second, burst {customer.burst:.0f}: {expected}',
        status=STATUS_TOO_MANY,
        retry_after_s=retry_after_s,
    )
