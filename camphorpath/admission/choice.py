"""Policies that select an upstream among those with room for a request."""

import math
import random
import types
from collections.abc import Callable, Mapping, Sequence

import attrs

from .fleet import FleetView
from .records import WaitingRequest
from .upstream import Upstream

# Maximum wait for an upstream that has the request's prefix cached or is in its region.
MAX_HOLD_S = 1
# Approximate size of the event that carries one streamed token.
ANSWER_BYTES_PER_TOKEN = 200


@attrs.define
class PolicyState:
    """State of the policies of one service between selections."""

    view: FleetView
    rng: random.Random = attrs.field(factory=random.Random)
    round_robin_index: int = 0


Policy = Callable[[WaitingRequest, Sequence[Upstream], PolicyState], Upstream]


def choose_random(
    entry: WaitingRequest, upstreams: Sequence[Upstream], state: PolicyState
) -> Upstream:
    """Return a random upstream."""
    return state.rng.choice(upstreams)


def choose_round_robin(
    entry: WaitingRequest, upstreams: Sequence[Upstream], state: PolicyState
) -> Upstream:
    """Return the next upstream in round-robin order."""
    state.round_robin_index += 1
    return upstreams[state.round_robin_index % len(upstreams)]


def choose_least_load(
    entry: WaitingRequest, upstreams: Sequence[Upstream], state: PolicyState
) -> Upstream:
    """Return the upstream with the fewest requests in its last report, which may be outdated."""
    return min(upstreams, key=_get_reported_load)


def choose_cheapest(
    entry: WaitingRequest, upstreams: Sequence[Upstream], state: PolicyState
) -> Upstream:
    """Return the upstream with the lowest `estimate_cost`."""
    return min(upstreams, key=lambda upstream: estimate_cost(entry, upstream, state.view))


POLICIES: Mapping[str, Policy] = types.MappingProxyType(
    {
        'random': choose_random,
        'round_robin': choose_round_robin,
        'least_load': choose_least_load,
        'camphorpath': choose_cheapest,
    }
)


def count_uncached(entry: WaitingRequest, upstream: Upstream) -> int:
    """Return the estimated number of prompt tokens that the upstream has not cached."""
    blocks = entry.blocks
    if not blocks:
        return entry.prompt_tokens
    missing = len(blocks) - upstream.prefixes.count_leading(blocks)
    return entry.prompt_tokens * missing // len(blocks)


def estimate_cost(entry: WaitingRequest, upstream: Upstream, view: FleetView) -> float:
    """Return the estimated seconds until completion, plus the price of the bytes in seconds.

    Work in flight is shared by the slots of the upstream. Requests that this owner did not grant
    (`foreign`) count as the average of the granted ones, since their size is unknown.
    """
    speed = upstream.speed
    round_trip_s, price = view.find_route(entry.zone, upstream.vm.zone)
    in_flight_s = upstream.work_s
    if upstream.foreign:
        own = len(upstream.running)
        average_s = in_flight_s / own if own else entry.work_s
        in_flight_s += upstream.foreign * average_s
    prefill_s = count_uncached(entry, upstream) / upstream.prefill_rate
    decode_s = entry.output_tokens / upstream.decode_rate
    return (
        speed.factor * in_flight_s / upstream.slots
        + speed.prefill_factor * prefill_s
        + speed.decode_factor * decode_s
        + round_trip_s
        + price * (entry.body_bytes + ANSWER_BYTES_PER_TOKEN * entry.output_tokens)
    )


def estimate_hold(
    entry: WaitingRequest, chosen: Upstream, full: Sequence[Upstream], view: FleetView, now: float
) -> float:
    """Return the seconds to wait for a full upstream instead of `chosen`; 0 if not cheaper.

    Only upstreams that have more of the prefix cached, or to which the bytes cost less, are
    considered. The load of others is known better once they have a free slot.
    """
    uncached = count_uncached(entry, chosen) if entry.blocks else 0
    price = view.find_route(entry.zone, chosen.vm.zone)[1]
    if not uncached and not price:
        return 0
    limit = estimate_cost(entry, chosen, view)
    holds = [
        hold
        for upstream in full
        if (
            count_uncached(entry, upstream) < uncached
            or view.find_route(entry.zone, upstream.vm.zone)[1] < price
        )
        and (hold := _estimate_next_free(upstream, now)) + estimate_cost(entry, upstream, view)
        < limit
    ]
    shortest = min(holds, default=math.inf)
    # The wait must not make the first token late.
    limit_s = min(MAX_HOLD_S, entry.first_token_deadline - entry.prefill_s - now)
    return shortest if shortest <= limit_s else 0


def _estimate_next_free(upstream: Upstream, now: float) -> float:
    factor = upstream.speed.factor
    ends = (running.granted_at + factor * running.work_s for running in upstream.running.values())
    # A request that has exceeded its estimate does not tell when it ends.
    return min((end - now for end in ends if end > now), default=math.inf)


def _get_reported_load(upstream: Upstream) -> int:
    report = upstream.report
    return 0 if report is None else report.running + report.waiting
