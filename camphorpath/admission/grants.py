"""Grants slots to waiting requests and preempts lower tiers for them."""

import itertools

from ..clocks import MS_PER_S
from ..events import Event
from ..schema import camphorpath_pb2 as pb
from .choice import POLICIES, count_uncached, estimate_hold
from .losses import has_unresolved_loss
from .preemption import choose_victims
from .records import RunningRequest, WaitingRequest
from .service import GRANT_VALID_S, ServiceState
from .shedding import is_deadline_unreachable, may_shed_late, shed, should_shed_at_start
from .speed import estimate_work
from .stragglers import PROBE_INTERVAL_S
from .upstream import Upstream

# Maximum number of requests at the head of the queue that one pass skips or preempts for.
MAX_SCANNED_COUNT = 64


def dispatch(state: ServiceState) -> None:
    """Grant slots in queue order, then preempt for requests that have waited too long."""
    if not state.queue.entries or not state.may_grant():
        return
    for pool in state.queue.pools():
        _grant_pool(state, pool)
        _preempt_pool(state, pool)


def preempt_for(
    state: ServiceState, entry: WaitingRequest, claimants: list[WaitingRequest]
) -> bool:
    """Preempt lower tiers of the same pool for a request; return whether that frees a slot.

    `claimants` are the waiting requests for which others are being preempted already.
    """
    found = choose_victims(
        entry,
        [upstream for upstream in state.find_usable(entry.enqueue.pool) if not upstream.is_slow],
        claimants,
        is_suspect=state.is_suspect(entry),
        is_service_at_limit=state.is_service_at_limit(),
        now=state.context.clock(),
    )
    if found is None:
        return False
    upstream, victims = found
    entry.claimed_upstream = upstream.name
    if state.is_suspect(entry):
        _reserve(state, entry, upstream)
    for victim in victims:
        state.preempt(victim, entry.request_id)
    return True


def check_deadline(state: ServiceState, entry: WaitingRequest) -> None:
    """Refuse a waiting request that would be late, unless a lower tier can be preempted for it."""
    if not state.may_grant() or not is_deadline_unreachable(state, entry):
        return
    if entry.claimed_upstream or preempt_for(
        state, entry, find_claimants(state, entry.enqueue.pool)
    ):
        return
    if may_shed_late(state, entry.rank):
        shed(state, entry, 'deadline_unreachable')


def find_claimants(state: ServiceState, pool: str) -> list[WaitingRequest]:
    """Return the first waiting requests of a pool for which others are being preempted."""
    claimants = []
    for entry in itertools.islice(state.queue.ordered(pool), MAX_SCANNED_COUNT):
        if not entry.claimed_upstream:
            continue
        upstream = state.upstreams.get(entry.claimed_upstream)
        running = () if upstream is None else upstream.running.values()
        if any(request.is_preempted for request in running):
            claimants.append(entry)
        else:
            entry.claimed_upstream = ''
    return claimants


def _grant_pool(state: ServiceState, pool: str) -> None:
    skipped: set[str] = set()
    usable = state.find_usable(pool)
    while usable and len(skipped) < MAX_SCANNED_COUNT and not state.is_service_at_limit():
        entry = state.queue.find_next(pool, skipped, state.is_customer_at_limit)
        if entry is None:
            return
        is_suspect = state.is_suspect(entry)
        upstream = (_find_empty if is_suspect else _choose)(state, entry, usable)
        if upstream is None:
            if not is_suspect and entry.hold_until <= state.context.clock():
                return
            skipped.add(entry.request_id)
        elif should_shed_at_start(state, entry, upstream):
            shed(state, entry, 'deadline_unreachable')
        else:
            _grant(state, entry, upstream)


def _choose(state: ServiceState, entry: WaitingRequest, usable: list[Upstream]) -> Upstream | None:
    now = state.context.clock()
    available = []
    for upstream in usable:
        if not upstream.has_room(entry):
            continue
        if not upstream.is_slow:
            available.append(upstream)
        elif _is_probe(entry, upstream, now):
            return upstream
    if not available:
        return None
    policy = state.settings.policy
    chosen = POLICIES[policy](entry, available, state.policy_state)
    if policy != 'camphorpath' or 0 < entry.hold_until <= now:
        return chosen
    full = [upstream for upstream in usable if not (upstream.is_slow or upstream.has_room(entry))]
    hold_s = estimate_hold(entry, chosen, full, state.context.view, now) if full else 0
    if not hold_s:
        return chosen
    if not entry.hold_until:
        entry.hold_until = now + hold_s
        state.context.add_timer(entry.hold_until, state.name, entry.request_id)
    return None


def _is_probe(entry: WaitingRequest, upstream: Upstream, now: float) -> bool:
    # The highest tier probes only if no lower tier has done so for another interval.
    due = upstream.next_probe_at if entry.rank else upstream.next_probe_at + PROBE_INTERVAL_S
    return now >= due and not any(running.is_probe for running in upstream.running.values())


def _find_empty(
    state: ServiceState, entry: WaitingRequest, usable: list[Upstream]
) -> Upstream | None:
    if has_unresolved_loss(state, entry):
        return None
    reserved = state.reservations.get(entry.request_id)
    if reserved is not None and reserved not in usable:
        state.cancel_reservation(entry.request_id)
    available = [
        upstream
        for upstream in usable
        if not upstream.is_exclusive and upstream.reserved_for in {'', entry.request_id}
    ]
    empty = [upstream for upstream in available if not upstream.occupied]
    if empty:
        return empty[0]
    # Only one upstream of a pool is emptied for a suspect at a time, since its free slots remain
    # unused meanwhile.
    if available and not any(upstream.reserved_for for upstream in usable):
        _reserve(state, entry, min(available, key=lambda upstream: upstream.occupied))
    return None


def _reserve(state: ServiceState, entry: WaitingRequest, upstream: Upstream) -> None:
    state.cancel_reservation(entry.request_id)
    upstream.reserved_for = entry.request_id
    state.reservations[entry.request_id] = upstream


def _grant(state: ServiceState, entry: WaitingRequest, upstream: Upstream) -> None:
    context, enqueue = state.context, entry.enqueue
    now = context.clock()
    is_alone = state.is_suspect(entry)
    uncached = count_uncached(entry, upstream)
    shares = state.queue.shares(enqueue.pool, entry.rank)
    shares.raise_floor(enqueue.customer)
    state.remove_waiting(entry.request_id)
    running = RunningRequest(
        enqueue,
        entry.session,
        upstream.name,
        granted_at=now,
        granted_wall_at=context.wall_clock(),
        deadline=entry.deadline,
        work_s=estimate_work(upstream.pool, uncached, enqueue.output_tokens),
        uncached_tokens=uncached,
        is_alone=is_alone,
        is_probe=upstream.is_slow,
    )
    if upstream.is_slow:
        upstream.next_probe_at = now + PROBE_INTERVAL_S
    assert upstream.fits(entry, upstream.occupied, upstream.tokens), upstream.name
    assert not (is_alone and upstream.occupied), upstream.name
    state.add_running(running)
    upstream.prefixes.record(entry.blocks)
    weight = context.view.weights.get(enqueue.customer, 1)
    shares.charge(enqueue.customer, max(entry.tokens, 1), weight)
    context.events.emit(
        Event.GRANTED,
        entry.request_id,
        upstream.name,
        tier=enqueue.tier,
        report_age_ms=round((now - upstream.polled_at) * MS_PER_S),
    )
    entry.session.grant(
        pb.Granted(
            request_id=entry.request_id,
            upstream=upstream.name,
            upstream_url=upstream.url,
            zone=upstream.vm.zone,
            valid_for=GRANT_VALID_S,
        )
    )


def _preempt_pool(state: ServiceState, pool: str) -> None:
    highest = state.queue.find_highest_rank(pool)
    if highest is None or not _has_preemptible(state, pool, highest):
        return
    entries = list(itertools.islice(state.queue.ordered(pool), MAX_SCANNED_COUNT))
    now, after = state.context.clock(), state.settings.preempt_after
    claimants = find_claimants(state, pool)
    for entry in entries:
        if _skips_preemption(state, entry, now):
            continue
        if now < entry.arrived_at + after:
            if not entry.has_preempt_timer:
                entry.has_preempt_timer = True
                state.context.add_timer(entry.arrived_at + after, state.name, entry.request_id)
            continue
        if not preempt_for(state, entry, claimants):
            return
        claimants.append(entry)


def _skips_preemption(state: ServiceState, entry: WaitingRequest, now: float) -> bool:
    """Return whether nothing is to be preempted for a request now.

    That is so if others are being preempted for it already, or if it could not start anyway.
    """
    if (
        entry.claimed_upstream
        or state.is_customer_at_limit(entry.enqueue.customer)
        or entry.hold_until > now
    ):
        return True
    return state.is_suspect(entry) and has_unresolved_loss(state, entry)


def _has_preemptible(state: ServiceState, pool: str, rank: int) -> bool:
    # This cheap check decides most calls.
    if max(state.running_by_tier[pool], default=0) <= rank:
        return False
    return any(
        running.rank > rank and running.may_be_preempted
        for upstream in state.pools.get(pool, ())
        for running in upstream.running.values()
    )
