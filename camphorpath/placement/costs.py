"""Cost of running a call at an upstream, in seconds.

Engines differ in speed, and the prefill of a long prompt stalls concurrent streams. A call should
run where it completes first, unless it would make running streams late.
"""

import math
from collections.abc import Iterable

from .records import WaitingCall
from .slots import Slots

# Added for an upstream that fails often.
UNRELIABLE_COST_S = 1.0
# Prefill may stall a concurrent stream for up to this share of the event gap that it allows.
MAX_STALL_SHARE = 0.25
# Added for each running stream that the prefill would make late: one at least as urgent as the
# call, and a less urgent one.
LATE_STREAM_COST_S = 1.0
LATE_LESS_URGENT_STREAM_COST_S = 0.15
# Added if the call would not complete by its deadline.
MISSED_DEADLINE_COST_S = 10.0
# A call at an upstream with all slots in use takes longer by this share.
FULL_LOAD_SLOWDOWN = 0.25
# Costs that differ by up to this share are equal within the error of the estimate: paces change
# between the statement and the call.
NEARLY_EQUAL_SHARE = 0.15


def estimate_cost(call: WaitingCall, slots: Slots, starts_at: float) -> float:
    """Return the cost in seconds of a call that starts at `starts_at`, without network distance."""
    pending_tokens = slots.count_pending_prompt_tokens() + call.prompt_tokens
    cost = slots.speed.estimate_total(pending_tokens, call.output_tokens)
    cost *= slots.pace.estimate_mean(starts_at, cost)
    cost *= 1 + FULL_LOAD_SLOWDOWN * len(slots.running) / slots.upstream.slots
    if starts_at + cost > call.deadline:
        cost += MISSED_DEADLINE_COST_S
    if slots.health.is_unreliable:
        cost += UNRELIABLE_COST_S
    stall_s = slots.speed.estimate_stall(pending_tokens) * slots.pace.estimate(starts_at)
    return cost + _estimate_stall_cost(call, slots, stall_s)


def choose_cheapest(
    call: WaitingCall, costs: Iterable[tuple[float, Slots]]
) -> tuple[Slots | None, float]:
    """Return the upstream at which a call costs least, and the lowest cost in seconds.

    Of upstreams that state their pace and cost nearly the same, it is the one with the least work
    in progress: the cheapest one by the last report would be sent the calls of all daemons. They
    are in the zone of the cheapest one, and no less reliable: the distance, the price of the bytes
    and failures are no errors of the estimate.
    """
    best, best_cost = None, math.inf
    paced = []
    for cost, slots in costs:
        if slots.pace.is_stated:
            paced.append((cost, slots))
        if cost < best_cost:
            best, best_cost = slots, cost
    if best is None or not best.pace.is_stated:
        return best, best_cost
    limit = best_cost * (1 + NEARLY_EQUAL_SHARE)
    near = [
        slots
        for cost, slots in paced
        if cost <= limit
        and slots.upstream.zone == best.upstream.zone
        and slots.health.is_unreliable <= best.health.is_unreliable
    ]
    return min(near, key=lambda slots: slots.count_work(call)), best_cost


def _estimate_stall_cost(call: WaitingCall, slots: Slots, stall_s: float) -> float:
    cost_s: float = 0
    for running in slots.running.values():
        if stall_s > MAX_STALL_SHARE * running.max_event_gap_s:
            cost_s += (
                LATE_STREAM_COST_S if running.rank <= call.rank else LATE_LESS_URGENT_STREAM_COST_S
            )
    return cost_s
