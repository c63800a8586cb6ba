"""Selects the running requests that are preempted for a waiting request of a higher tier."""

import math
from collections.abc import Callable, Iterable, Sequence

from .records import RunningRequest, WaitingRequest
from .upstream import Upstream

Fits = Callable[[WaitingRequest, int, int], bool]


def choose_victims(
    entry: WaitingRequest,
    upstreams: Iterable[Upstream],
    claimants: Sequence[WaitingRequest],
    *,
    is_suspect: bool = False,
    is_service_at_limit: bool = False,
    now: float = math.inf,
) -> tuple[Upstream, list[RunningRequest]] | None:
    """Return an upstream and the requests to preempt there, or None if that frees no slot.

    Victims are of the lowest tier, with the least prefill discarded, and as few as possible: none
    where requests that were preempted already make room. `claimants` are waiting requests for which
    others were preempted before, whose slots are reserved for them. A crash suspect needs an empty
    upstream. At the service's limit of running requests a free slot is not enough, so there must
    be a victim.
    """
    best = None
    for upstream in upstreams:
        others_claiming = [other for other in claimants if other.claimed_upstream == upstream.name]
        victims = _choose_on(
            entry, upstream, others_claiming, _is_empty if is_suspect else upstream.fits, now
        )
        if victims is None or (is_service_at_limit and not victims):
            continue
        key = (
            -min((victim.rank for victim in victims), default=math.inf),
            sum(_estimate_discarded(victim, upstream, now) for victim in victims),
            len(victims),
        )
        if best is None or key < best[0]:
            best = key, upstream, victims
    return None if best is None else best[1:]


def _choose_on(
    entry: WaitingRequest,
    upstream: Upstream,
    others_claiming: Sequence[WaitingRequest],
    fits: Fits,
    now: float,
) -> list[RunningRequest] | None:
    if upstream.is_exclusive or upstream.reserved_for not in {'', entry.request_id}:
        return None
    candidates = [
        running
        for running in upstream.running.values()
        if running.rank > entry.rank and running.may_be_preempted
    ]
    candidates.sort(
        key=lambda running: (-running.rank, _estimate_discarded(running, upstream, now))
    )
    stopping = [running for running in upstream.running.values() if running.is_preempted]
    occupied = upstream.occupied - len(stopping) + len(others_claiming)
    tokens = upstream.tokens + sum(other.tokens for other in others_claiming)
    tokens -= sum(running.tokens for running in stopping)
    victims: list[RunningRequest] = []
    for running in candidates:
        if fits(entry, occupied, tokens):
            break
        victims.append(running)
        occupied -= 1
        tokens -= running.tokens
    return victims if fits(entry, occupied, tokens) else None


def _estimate_discarded(running: RunningRequest, upstream: Upstream, now: float) -> float:
    """Return the estimated prefill tokens processed so far, without cached ones."""
    done = (now - running.granted_at) * max(upstream.prefill_rate, 1)
    return min(running.uncached_tokens, max(done, 0))


def _is_empty(entry: WaitingRequest, occupied: int, tokens: int) -> bool:
    return not occupied
