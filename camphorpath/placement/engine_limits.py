"""Applies what is known of the memory of engines, and explains calls that fit nowhere.

Answers calls that no engine of their service can hold: they would wait in vain until their time is
over.
"""

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
