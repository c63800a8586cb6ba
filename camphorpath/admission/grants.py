"""Grants and preemptions: what the state of a service permits now."""

import itertools

from ..clocks import MS_PER_S
from ..events import Event
from ..schema import camphorpath_pb2 as pb
from .choice import POLICIES, count_uncached, estimate_hold
from .losses import has_open_loss
from .preemption import choose_victims
from .records import Running, Waiting
from .service import GRANT_VALID_S, ServiceState
from .shedding import is_hopeless, is_unreachable, may_shed_late, shed
from .speed import estimate_work
from .stragglers import PROBE_INTERVAL_S
from .upstream import Upstream

# How many requests at the head of the queue may be passed over or preempted for in one pass.
MAX_PASSED = 64


def dispatch(state: ServiceState) -> None:
    """Grant slots in the order of the queue, then preempt for what had to wait too long."""
    if not state.queue.entries or not state.may_grant():
        return
    for pool in state.queue.pools():
        _grant_pool(state, pool)
        _preempt_pool(state, pool)


def preempt_for(state: ServiceState, entry: Waiting, claims: list[Waiting]) -> bool:
    """Preempt lower tiers of the same pool for a request; return whether that frees a slot."""
    found = choose_victims(
        entry,
        [one for one in state.usable(entry.enqueue.pool) if not one.is_slow],
        claims,
        is_suspect=state.is_suspect(entry),
        is_at_limit=state.is_at_limit(),
        now=state.context.clock(),
    )
    if found is None:
        return False
    upstream, victims = found
    entry.claim = upstream.name
    if state.is_suspect(entry):
        _reserve(state, entry, upstream)
    for victim in victims:
        state.preempt(victim, entry.request_id)
    return True


def check_late(state: ServiceState, entry: Waiting) -> None:
    """Refuse a waiting request that would end too late, unless lower tiers can give way."""
    if not state.may_grant() or not is_unreachable(state, entry):
        return
    if entry.claim or preempt_for(state, entry, find_claims(state, entry.enqueue.pool)):
        return
    if may_shed_late(state, entry.rank):
        shed(state, entry, 'deadline_unreachable')


def find_claims(state: ServiceState, pool: str) -> list[Waiting]:
    """Return the first requests of a pool for which requests are being preempted."""
    claims = []
    for entry in itertools.islice(state.queue.ordered(pool), MAX_PASSED):
        if not entry.claim:
            continue
        upstream = state.upstreams.get(entry.claim)
        running = () if upstream is None else upstream.running.values()
        if any(one.is_preempted for one in running):
            claims.append(entry)
        else:
            entry.claim = ''
    return claims


def _grant_pool(state: ServiceState, pool: str) -> None:
    passed: set[str] = set()
    usable = state.usable(pool)
    while usable and len(passed) < MAX_PASSED and not state.is_at_limit():
        entry = state.queue.head(pool, passed, state.is_limited)
        if entry is None:
            return
        is_suspect = state.is_suspect(entry)
        upstream = (_find_empty if is_suspect else _choose)(state, entry, usable)
        if upstream is None:
            if not is_suspect and entry.hold_until <= state.context.clock():
                return
            passed.add(entry.request_id)
        elif is_hopeless(state, entry, upstream):
            shed(state, entry, 'deadline_unreachable')
        else:
            _grant(state, entry, upstream)


def _choose(state: ServiceState, entry: Waiting, usable: list[Upstream]) -> Upstream | None:
    now = state.context.clock()
    open_ones = []
    for upstream in usable:
        if not upstream.has_room(entry):
            continue
        if not upstream.is_slow:
            open_ones.append(upstream)
        elif _is_probe(entry, upstream, now):
            return upstream
    if not open_ones:
        return None
    policy = state.settings.policy
    chosen = POLICIES[policy](entry, open_ones, state.choice)
    if policy != 'camphorpath' or 0 < entry.hold_until <= now:
        return chosen
    full = [one for one in usable if not (one.is_slow or one.has_room(entry))]
    hold_s = estimate_hold(entry, chosen, full, state.context.view, now) if full else 0
    if not hold_s:
        return chosen
    if not entry.hold_until:
        entry.hold_until = now + hold_s
        state.context.wake_at(entry.hold_until, state.name, entry.request_id)
    return None


def _is_probe(entry: Waiting, upstream: Upstream, now: float) -> bool:
    # The highest tier probes only when no lower one came for another interval.
    due = upstream.probe_at if entry.rank else upstream.probe_at + PROBE_INTERVAL_S
    return now >= due and not any(one.is_probe for one in upstream.running.values())


def _find_empty(state: ServiceState, entry: Waiting, usable: list[Upstream]) -> Upstream | None:
    if has_open_loss(state, entry):
        return None
    reserved = state.reservations.get(entry.request_id)
    if reserved is not None and reserved not in usable:
        state.unreserve(entry.request_id)
    open_ones = [
        one for one in usable if not one.is_exclusive and one.reserved_for in {'', entry.request_id}
    ]
    empty = [one for one in open_ones if not one.occupied]
    if empty:
        return empty[0]
    # One upstream of a pool at a time is emptied for a suspect: its free slots are lost meanwhile.
    if open_ones and not any(one.reserved_for for one in usable):
        _reserve(state, entry, min(open_ones, key=lambda one: one.occupied))
    return None


def _reserve(state: ServiceState, entry: Waiting, upstream: Upstream) -> None:
    state.unreserve(entry.request_id)
    upstream.reserved_for = entry.request_id
    state.reservations[entry.request_id] = upstream


def _grant(state: ServiceState, entry: Waiting, upstream: Upstream) -> None:
    context, enqueue = state.context, entry.enqueue
    now = context.clock()
    is_alone = state.is_suspect(entry)
    uncached = count_uncached(entry, upstream)
    shares = state.queue.shares(enqueue.pool, entry.rank)
    shares.raise_floor(enqueue.customer)
    state.drop_waiting(entry.request_id)
    running = Running(
        enqueue,
        entry.session,
        upstream.name,
        granted_at=now,
        granted_wall=context.wall(),
        deadline=entry.deadline,
        work_s=estimate_work(upstream.pool, uncached, enqueue.output_tokens),
        uncached_tokens=uncached,
        is_alone=is_alone,
        is_probe=upstream.is_slow,
    )
    if upstream.is_slow:
        upstream.probe_at = now + PROBE_INTERVAL_S
    assert upstream.fits(entry, upstream.occupied, upstream.tokens), upstream.name
    assert not (is_alone and upstream.occupied), upstream.name
    state.add_running(running)
    upstream.prefixes.remember(entry.blocks)
    weight = context.view.weights.get(enqueue.customer, 1)
    shares.charge(enqueue.customer, max(entry.tokens, 1), weight)
    context.events.emit(
        Event.GRANTED,
        entry.request_id,
        upstream.name,
        tier=enqueue.tier,
        report_age_ms=round((now - upstream.asked_at) * MS_PER_S),
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
    highest = state.queue.find_rank(pool)
    if highest is None or not _has_lower(state, pool, highest):
        return
    entries = list(itertools.islice(state.queue.ordered(pool), MAX_PASSED))
    now, after = state.context.clock(), state.settings.preempt_after
    claims = find_claims(state, pool)
    for entry in entries:
        if _is_held(state, entry, now):
            continue
        if now < entry.arrived + after:
            if not entry.has_timer:
                entry.has_timer = True
                state.context.wake_at(entry.arrived + after, state.name, entry.request_id)
            continue
        if not preempt_for(state, entry, claims):
            return
        claims.append(entry)


def _is_held(state: ServiceState, entry: Waiting, now: float) -> bool:
    """Return whether a request needs no preemption now: it has one, or could not start."""
    if entry.claim or state.is_limited(entry.enqueue.customer) or entry.hold_until > now:
        return True
    return state.is_suspect(entry) and has_open_loss(state, entry)


def _has_lower(state: ServiceState, pool: str, rank: int) -> bool:
    # The first test is cheap and answers most calls.
    if max(state.ranks[pool], default=0) <= rank:
        return False
    return any(
        running.rank > rank and running.may_be_preempted
        for upstream in state.pools.get(pool, ())
        for running in upstream.running.values()
    )
