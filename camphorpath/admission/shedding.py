"""Load shedding, with the check that no lower tier still runs."""

import math
import types

from ..events import Event
from .choice import count_uncached
from .records import RunningRequest, WaitingRequest
from .service import ServiceState
from .speed import estimate_work
from .upstream import Upstream

SHED_MESSAGES = types.MappingProxyType(
    {
        'queue_full': 'too many requests are waiting for this service',
        'deadline_unreachable': 'the request cannot be completed before its deadline',
    }
)


def shed(state: ServiceState, entry: WaitingRequest, reason: str) -> None:
    """Refuse a waiting request because of load."""
    is_confirmed = state.context.is_confirmed(state.name)
    if is_confirmed:
        _assert_may_shed(state, entry.rank)
    event = Event.SHED if is_confirmed else Event.SHED_UNCONFIRMED
    state.context.events.emit(event, entry.request_id, tier=entry.enqueue.tier, reason=reason)
    state.refuse(entry, reason, SHED_MESSAGES[reason], state.estimate_retry(entry))


def shed_excess(state: ServiceState) -> None:
    """Shed the newest requests of the lowest tier until the queue is within its limit.

    A running request of a lower tier is preempted first. Each preemption lets one request wait
    above the limit, so the queue exceeds it by at most the number of running requests.
    """
    while len(state.queue) > state.settings.max_waiting:
        entry = state.queue.find_newest_of_lowest()
        victim = _choose_victim(state, entry)
        if victim is not None:
            state.preempt(victim, entry.request_id)
            return
        shed(state, entry, 'queue_full')


def may_shed_late(state: ServiceState, rank: int) -> bool:
    """Return whether a request of this tier may be refused because it would be late.

    Only while all members have registered and no lower tier runs.
    """
    if not state.context.is_confirmed(state.name):
        return False
    return next(state.find_preemptible(rank), None) is None


def should_shed_at_start(state: ServiceState, entry: WaitingRequest, upstream: Upstream) -> bool:
    """Return whether to refuse a request, instead of starting it, since it would be late.

    Prefill is estimated at the configured rate. The learned factor of short prompts is mostly the
    time of one engine step and would refuse long prompts that can be in time.

    A service without running requests accepts every request, since a wrong speed estimate is
    corrected only by running requests.
    """
    uncached = count_uncached(entry, upstream)
    work_s = estimate_work(upstream.pool, uncached, entry.enqueue.output_tokens)
    work_s *= upstream.speed.factor
    now = state.context.clock()
    is_late = now + work_s > entry.deadline
    if entry.first_token_deadline < math.inf:
        is_late = (
            is_late or now + uncached / max(upstream.prefill_rate, 1) > entry.first_token_deadline
        )
    if not is_late or not state.running:
        return False
    return may_shed_late(state, entry.rank)


def is_deadline_unreachable(state: ServiceState, entry: WaitingRequest) -> bool:
    """Return whether a waiting request is expected to miss its deadline or first-token limit."""
    if (
        not state.running
        or state.is_suspect(entry)
        or state.is_customer_at_limit(entry.enqueue.customer)
    ):
        return False
    start_s = state.estimate_start(entry)
    if start_s is None:
        return False
    factor = min(upstream.speed.factor for upstream in state.find_usable(entry.enqueue.pool))
    now = state.context.clock()
    if now + start_s + factor * entry.work_s > entry.deadline:
        return True
    if entry.first_token_deadline == math.inf:
        return False
    return (
        now + (state.estimate_next_slot(entry) or 0) + _shortest_prefill(state, entry)
        > entry.first_token_deadline
    )


def _shortest_prefill(state: ServiceState, entry: WaitingRequest) -> float:
    usable = state.find_usable(entry.enqueue.pool)
    return min(
        count_uncached(entry, upstream) / max(upstream.prefill_rate, 1) for upstream in usable
    )


def _choose_victim(state: ServiceState, entry: WaitingRequest) -> RunningRequest | None:
    return min(
        state.find_preemptible(entry.rank),
        key=lambda running: (
            running.enqueue.pool != entry.enqueue.pool,
            -running.rank,
            running.enqueue.prompt_tokens,
        ),
        default=None,
    )


def _assert_may_shed(state: ServiceState, tier: int) -> None:
    lower = [running.request_id for running in state.find_preemptible(tier)]
    assert not lower, f'tier {tier} would be shed while lower tiers run: {lower}'
