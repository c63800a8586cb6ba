"""Applies what is known of the memory and rates of engines, and explains calls that fit nowhere.

Answers calls that no engine of their service can hold: they would wait in vain until their time is
over.
"""

import math
from collections.abc import Iterable, Mapping

from ..routing import Service, Upstream
from .records import WaitingCall
from .slots import Slots

# The reason of the refusal of a call that is larger than the memory of every engine.
EXCEEDS_ENGINE_MEMORY = 'exceeds_engine_memory'


def apply_services(group: Iterable[Slots], services: Mapping[str, Service]) -> None:
    """Set the memory that the manifest states for the engines of each service."""
    for slots in group:
        service = services.get(slots.upstream.service)
        slots.memory.configured_tokens = service.memory_tokens if service else 0


def record_report(group: Mapping[str, Slots], upstream: Upstream, tokens: float) -> None:
    """Record the memory that an upstream has reported; 0 if it reports none."""
    slots = group.get(upstream.upstream_id)
    if slots is not None and slots.upstream.incarnation == upstream.incarnation and tokens:
        slots.memory.reported_tokens = tokens


def awaits_report(call: WaitingCall, group: Iterable[Slots], now: float) -> bool:
    """Return whether the next load report of this daemon lets a call run at an owned upstream.

    A daemon at which calls wait lends no slots, so it may use all of the free memory.
    """
    return any(
        slots.is_owner
        and slots.count_free(now) > 0
        and slots.could_run(call)
        and slots.memory.awaits_report(call)
        for slots in group
    )


def explain_no_candidate(call: WaitingCall, group: Iterable[Slots], default: str) -> str:
    """Return the reason of the refusal of a call that no upstream of its service can run."""
    if any(call.may_run_at(slots.upstream) and not slots.could_run(call) for slots in group):
        return EXCEEDS_ENGINE_MEMORY
    return default


def pop_blocked(group: Iterable[Slots]) -> dict[str, float]:
    """Return the services of which a call did not fit lately, with the tokens of one such call."""
    blocked = {}
    for slots in group:
        if slots.memory.blocked_tokens:
            blocked[slots.upstream.service] = slots.memory.blocked_tokens
            slots.memory.blocked_tokens = 0
    return blocked


def limit_wait(group: Iterable[Slots], ahead: int, wait_s: float, now: float) -> float:
    """Return the expected seconds until `ahead` calls are sent, by the rates of the upstreams.

    `wait_s` is what the calls that ended lately suggest. They say too little while all upstreams
    state rates: some may have been sent before that. While slots are free, only the rates count.
    """
    rates: float = 0
    free_rates: float = 0
    free_slots = 0
    for slots in group:
        limit = slots.rate_limit
        if not limit.is_limited:
            rates = math.inf
            continue
        rates += limit.fill_rate
        if slots.is_owner and slots.count_free_slots(now) > 0:
            free_rates += limit.fill_rate * (1 - limit.lent_share)
            free_slots += slots.count_free_slots(now)
    if free_rates and ahead <= free_slots:
        return min(max(wait_s, ahead / rates), ahead / free_rates)
    return max(wait_s, ahead / rates) if rates else wait_s
