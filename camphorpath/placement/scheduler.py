"""Assigns waiting calls to slots of upstreams, and refuses calls that cannot be served in time.

Holds the waiting calls and the slots of one daemon. Methods get the current time as an argument;
decisions are delivered through `WaitingCall.on_decision`.
"""

import math
import statistics
from collections.abc import Collection, Iterable, Mapping

import attrs

from ..rollouts.registry import Rollouts, make_idle_rollouts
from ..routing import Upstream
from .costs import choose_cheapest, estimate_cost
from .customers import CustomerShares
from .egress import Egress
from .engine_limits import awaits_report, explain_no_candidate, limit_wait
from .lending import Borrowers, PeerDemand, lend_requests, lend_slots, return_slot
from .ownership import Assignment
from .queue import CallQueue, make_refusal
from .rate_limits import RateLimit
from .records import Load, Placed, WaitingCall
from .slots import Slots
from .speed import Speed

# Expected wait per queued call while no call of the service has ended recently.
DEFAULT_WAIT_S = 0.05
SPEED_UPDATE_INTERVAL_S = 0.25
# The reason of the refusal of a call that no upstream of its service can take.
NO_UPSTREAM = 'no_upstream'
# Expected wait that such a refusal states.
NO_UPSTREAM_WAIT_S = 0.7
# The rate at which slots become free is measured over this window.
RATE_WINDOW_S = 2.0
# Rate limits of removed upstreams are kept for this time after the last statement: entries that
# lapse during an outage of the store come back.
REMOVED_LIMIT_RETENTION_S = 60.0
# Share of the owned slots that is reserved for more urgent calls if such calls arrived within the
# last URGENT_WINDOW_S seconds. Slots are held for long and calls are not preempted.
RESERVED_SHARE = 0.2
URGENT_WINDOW_S = 3.0
# Slots are reserved for calls that are at least this many ranks more urgent; the next rank is
# nearly as urgent.
URGENT_RANK_GAP = 2


@attrs.define
class _ServiceState:
    """The waiting calls of a service, and its recent arrivals and released slots."""

    queue: CallQueue = attrs.field(factory=CallQueue)
    release_times: list[float] = attrs.field(factory=list)
    refusal_times: list[float] = attrs.field(factory=list)
    # Instant of the last arrival by rank of the route.
    last_arrival_at: dict[int, float] = attrs.field(factory=dict)
    # Its factor is the median of the upstreams' factors.
    median_speed: Speed = attrs.field(factory=Speed)

    def record_refusal(self, call: WaitingCall, now: float) -> None:
        """Record that a call was refused, unless it only asked for a replacement."""
        if not call.is_replacement:
            self.refusal_times.append(now)
            call.account.new_refusals += 1

    def count_refused(self, now: float) -> int:
        """Return how many calls were refused within the last RATE_WINDOW_S seconds."""
        return sum(1 for refused_at in self.refusal_times if refused_at > now - RATE_WINDOW_S)

    def count_demand(self, now: float) -> int:
        """Return how many calls wait or were refused lately."""
        return len(self.queue.calls) + self.count_refused(now)


@attrs.define(kw_only=True)
class Scheduler:
    """The slots and queues of one daemon."""

    name: str
    zone: str
    regions: Mapping[str, str]
    slots: dict[str, Slots] = attrs.field(factory=dict)
    customers: CustomerShares = attrs.field(factory=CustomerShares)
    egress: Egress = attrs.field(init=False)
    _services: dict[str, _ServiceState] = attrs.field(factory=dict)
    # Upstreams in the last report of each other daemon, by incarnation of the daemon.
    _reported_upstreams: dict[str, frozenset[str]] = attrs.field(factory=dict)
    _demand_elsewhere: PeerDemand = attrs.field(factory=PeerDemand)
    # Names of the daemons to which callers are directed.
    _actives: list[str] = attrs.field(factory=list)
    # Those of them in other regions, if this daemon is one of them and calls leave by decision.
    _away_actives: frozenset[str] = frozenset()
    # Load reports made so far; rotates the borrowers.
    _report_count: int = 0
    # Upstreams that are not leaving, by service.
    _slots_by_service: dict[str, list[Slots]] = attrs.field(factory=dict)
    _speeds_updated_at: float = 0
    # Rate limits of removed upstreams, by id and incarnation.
    _removed_limits: dict[tuple[str, int], RateLimit] = attrs.field(factory=dict)
    # Orders to move services to other versions; without any, all upstreams may be used.
    rollouts: Rollouts = attrs.field(factory=make_idle_rollouts)

    def __attrs_post_init__(self) -> None:
        """Begin without calls that left the region."""
        self.egress = Egress(zone=self.zone, regions=self.regions)

    def set_upstreams(self, upstreams: Iterable[Upstream], assignment: Assignment) -> None:
        """Replace the registered upstreams and their owners."""
        self._actives = sorted(name for names in assignment.actives.values() for name in names)
        away = assignment.list_away(self.name)
        self._away_actives = away if self.egress.is_enabled else frozenset()
        listed = {upstream.upstream_id: upstream for upstream in upstreams}
        for upstream_id, upstream in listed.items():
            known = self.slots.get(upstream_id)
            if known is None or known.upstream.incarnation != upstream.incarnation:
                self._record_ended_calls(known)
                known = Slots(upstream)
                known.rate_limit = self._removed_limits.pop(upstream.key, known.rate_limit)
                self.slots[upstream_id] = known
            known.upstream = upstream
            owner = assignment.owners.get(upstream_id, '')
            known.assign(owner, is_owner=owner == self.name)
        for upstream_id in set(self.slots) - set(listed):
            self._remove_upstream(upstream_id)
        self._slots_by_service = {}
        for slots in self.slots.values():
            if not slots.upstream.is_leaving:
                self._slots_by_service.setdefault(slots.upstream.service, []).append(slots)
        self.rollouts.record_registered(self._slots_by_service)

    def apply_loads(
        self,
        name: str,
        incarnation: str,
        loads: Mapping[str, Load],
        waiting: Mapping[str, int],
        *,
        refused: Mapping[str, int] | None = None,
        now: float = 0,
        lent_until: float = math.inf,
    ) -> list[Slots]:
        """Apply the load report of another daemon, its waiting and refused calls by service.

        Slots that it lends may be used up to the instant `lent_until`: a daemon that was suspended
        or is partitioned from the owner must not go on using them. Returns the upstreams of which
        the rate limit began or ended with the report.
        """
        changed = []
        self._demand_elsewhere.apply(name, incarnation, waiting, refused or {})
        for upstream_id in self._reported_upstreams.get(incarnation, frozenset()) - loads.keys():
            known_slots = self.slots.get(upstream_id)
            if known_slots is not None:
                known_slots.drop_peer(incarnation)
        self._reported_upstreams[incarnation] = frozenset(loads)
        for upstream_id, load in loads.items():
            slots = self.slots.get(upstream_id)
            if slots is None:
                continue
            slots.apply_peer(incarnation, load)
            was_limited = slots.rate_limit.is_limited
            if load.rate_statement is not None:
                slots.record_rate(load.rate_statement, is_from_peer=True)
            if slots.rate_limit.is_limited != was_limited:
                changed.append(slots)
            if slots.owner == name:
                is_active = self.name in self._actives
                slots.borrow(
                    load,
                    self.name,
                    now,
                    lent_until,
                    is_active=is_active,
                    borrower_count=len(self._actives) - 1,
                )
        return changed

    def remove_daemon(self, incarnation: str) -> None:
        """Drop the reported loads of a daemon that has stopped or was lost."""
        self._reported_upstreams.pop(incarnation, None)
        self._demand_elsewhere.remove(incarnation)
        for slots in self.slots.values():
            slots.drop_peer(incarnation)

    def report_loads(self, borrower_count: int, now: float) -> dict[str, Load]:
        """Return the load report by upstream id: running calls of this daemon and slots it lends.

        While calls wait at other daemons, the slots of an upstream are lent to one of these daemons
        only, since all of them would use the same slots; the next report names another one.
        Otherwise the slots are open to all borrowers, of which there are `borrower_count`.
        """
        self._report_count += 1
        loads = {}
        for number, (upstream_id, slots) in enumerate(self.slots.items()):
            turn = number + self._report_count
            if not slots.is_owner:
                if slots.running or slots.rate_limit.should_report(now):
                    loads[upstream_id] = slots.report_use()
                continue
            loads[upstream_id] = self._report_owned(slots, turn, borrower_count, now)
        return loads

    def _report_owned(self, slots: Slots, turn: int, borrower_count: int, now: float) -> Load:
        service = slots.upstream.service
        state = self._services.setdefault(service, _ServiceState())
        lent, borrower = 0, ''
        lent_requests: dict[str, int] = {}
        if slots.rate_limit.is_limited:
            lent_requests = lend_requests(
                slots,
                self._demand_elsewhere.count(service),
                state.count_demand(now),
                (name for name in self._actives if name != self.name),
                turn,
                now,
            )
        else:
            borrowers = Borrowers(borrower_count, self._away_actives)
            demand = self._demand_elsewhere
            lent, borrower = lend_slots(slots, state.queue.calls, demand, borrowers, turn, now)
        return slots.report_owned(lent, borrower, lent_requests, peers=self._reported_upstreams)

    def count_waiting(self) -> dict[str, int]:
        """Return the number of waiting calls by service; services without any are left out."""
        return {
            name: len(service.queue.calls)
            for name, service in self._services.items()
            if service.queue.calls
        }

    def count_refused(self, now: float) -> dict[str, int]:
        """Return the number of calls refused in the last seconds by service, if there are any."""
        counts = {name: service.count_refused(now) for name, service in self._services.items()}
        return {name: count for name, count in counts.items() if count}

    def submit(self, call: WaitingCall, now: float) -> None:
        """Place a call at an upstream, queue it, or refuse it."""
        service = self._services.setdefault(call.service, _ServiceState())
        call.account = self.customers.open_account(call.customer, now)
        if not call.is_replacement:
            service.last_arrival_at[call.rank[1]] = now
            service.queue.record_arrival(call)
        call.latest_start_at = call.objective_at - service.median_speed.estimate_first_byte(
            call.prompt_tokens
        )
        if not service.queue.calls:
            usable = self._list_usable(call.service, now)
            chosen = self._choose_upstream(call, usable, now)
            if chosen is None and call.is_bound:
                extra = self._list_extra(call.service, now)
                chosen = self._choose_extra(call, usable, extra, now)
            if chosen is not None:
                self._place(call, chosen, now)
                return
        waiting = len(service.queue.calls)
        group = self._slots_by_service.get(call.service, ())
        if not self._has_candidates(call, now):
            reason = explain_no_candidate(call, group, NO_UPSTREAM)
            call.on_decision(make_refusal(reason, NO_UPSTREAM_WAIT_S, call, now, waiting))
            return
        if not call.is_bound and self._yields_to_urgent(call, now):
            # A late answer is worth little, and urgent calls would miss the slot.
            call.wait_until = min(call.wait_until, call.latest_start_at)
        service.queue.add(call)
        if waiting:
            # The calls ahead of it may have left slots free that it can use.
            self._dispatch_service(service, now)
        if call not in service.queue.calls:
            return
        wait_s = self._estimate_wait(service, call, now)
        if now + wait_s > call.wait_until and not awaits_report(call, group, now):
            service.queue.remove(call)
            service.record_refusal(call, now)
            call.on_decision(make_refusal('queue_full', wait_s, call, now, waiting))

    def list_versions(self, service: str, *, excluded: Collection[str] = ()) -> frozenset[str]:
        """Return the software versions of the upstreams of a service that are not leaving.

        Upstreams with an id in `excluded` are left out.
        """
        group = self._slots_by_service.get(service, ())
        return frozenset(
            slots.upstream.software_version
            for slots in group
            if slots.upstream.upstream_id not in excluded
        )

    def withdraw(self, call: WaitingCall) -> None:
        """Remove a call from the queue if it waits there."""
        service = self._services.get(call.service)
        if service is not None:
            service.queue.remove(call)

    def record_first_byte(
        self, upstream_id: str, call: WaitingCall, now: float, *, is_failure: bool = False
    ) -> None:
        """Record the first byte of an answer; a failure does not count as a sample of speed."""
        slots = self.slots.get(upstream_id)
        running = slots.running.get(call.call_id) if slots else None
        if running is None or running.has_first_byte:
            return
        running.has_first_byte = True
        # An extra call may have waited inside the upstream.
        if not is_failure and not running.is_extra:
            slots.record_first_byte(running, now)

    def release(self, upstream_id: str, call: WaitingCall, now: float) -> None:
        """Free the slot of a call and dispatch waiting calls."""
        slots = self.slots.get(upstream_id)
        running = slots.release(call.call_id) if slots else None
        if running is None:
            return
        slots.health.cancel_probe()
        if not running.has_first_byte and now > running.first_byte_timeout_at:
            # The caller may have left because the upstream did not respond.
            slots.health.record_failure(now)
        service = self._services.setdefault(call.service, _ServiceState())
        if slots.owner in self._away_actives and not running.is_extra:
            return_slot(slots, self._demand_elsewhere, service.count_demand(now))
        service.release_times.append(now)
        cost_s = slots.estimate_occupancy(call, now - running.sent_at, now)
        is_sample = running.has_first_byte and not running.is_extra
        service.queue.record_release(call.rank, cost_s if is_sample else None)
        self.dispatch_waiting(now)

    def dispatch_waiting(self, now: float) -> None:
        """Place waiting calls in free slots."""
        for service in self._services.values():
            if service.queue.calls:
                self._dispatch_service(service, now)

    def expire(self, now: float) -> None:
        """Update the speeds, dispatch waiting calls and refuse those that waited too long."""
        if now >= self._speeds_updated_at + SPEED_UPDATE_INTERVAL_S:
            self._update_speeds(now)
        self.dispatch_waiting(now)
        for key, limit in list(self._removed_limits.items()):
            if limit.statement.stated_at < now - REMOVED_LIMIT_RETENTION_S:
                self._removed_limits.pop(key)
        for service in self._services.values():
            service.release_times = [
                released_at
                for released_at in service.release_times
                if released_at > now - RATE_WINDOW_S
            ]
            service.refusal_times = [
                refused_at
                for refused_at in service.refusal_times
                if refused_at > now - RATE_WINDOW_S
            ]
            self._refuse_expired(service, now)

    def _refuse_expired(self, service: _ServiceState, now: float) -> None:
        """Refuse the calls that waited too long, and streams whose software version is gone."""
        for call in list(service.queue.calls):
            is_version_gone = call.is_bound and not self._has_candidates(call, now)
            if now < call.wait_until and not is_version_gone:
                continue
            service.queue.remove(call)
            service.record_refusal(call, now)
            wait_s = self._estimate_wait(service, call, now)
            waiting = len(service.queue.calls)
            reason = NO_UPSTREAM if is_version_gone else 'waited_too_long'
            call.on_decision(make_refusal(reason, wait_s, call, now, waiting))

    def _record_ended_calls(self, slots: Slots | None) -> None:
        """Record that the calls of an upstream's earlier incarnation ended with it."""
        if slots is None:
            return
        service = self._services.setdefault(slots.upstream.service, _ServiceState())
        for running in slots.running.values():
            service.queue.record_release(running.rank, None)

    def _remove_upstream(self, upstream_id: str) -> None:
        """Remove an upstream; while it has running calls it is kept as leaving."""
        slots = self.slots[upstream_id]
        if slots.running:
            slots.upstream = attrs.evolve(slots.upstream, is_leaving=True)
        else:
            self.slots.pop(upstream_id)
            if slots.rate_limit.is_limited:
                # The entry may only have lapsed.
                self._removed_limits[slots.upstream.key] = slots.rate_limit

    def _dispatch_service(self, service: _ServiceState, now: float) -> None:
        name = service.queue.calls[0].service
        usable = self._list_usable(name, now)
        extra = self._list_extra(name, now) if service.queue.has_bound_calls() else []
        if not usable and not extra:
            return
        starved_call = service.queue.find_starved()
        for call in service.queue.ordered(now, starved_call):
            chosen = self._choose_upstream(call, usable, now, is_starved=call is starved_call)
            if chosen is None and call.is_bound:
                chosen = self._choose_extra(call, usable, extra, now)
            if chosen is None:
                continue
            service.queue.pop(call)
            self._place(call, chosen, now)
            usable = [slots for slots in usable if slots.count_free(now) > 0]
            extra = [slots for slots in extra if slots is not chosen]
            if not usable and not extra:
                return

    def _has_candidates(self, call: WaitingCall, now: float) -> bool:
        group = self._slots_by_service.get(call.service, [])
        group = self.rollouts.list_candidates(call, group, now)
        return any(slots.could_run(call) for slots in group)

    def _list_usable(self, service: str, now: float) -> list[Slots]:
        """Return the upstreams that can take a call now."""
        group = self._slots_by_service.get(service, ())
        ignores_health = self._ignores_health(service, now)
        return [slots for slots in group if slots.is_usable(now, ignores_health=ignores_health)]

    def _list_extra(self, service: str, now: float) -> list[Slots]:
        """Return the upstreams without a lent slot that can take a call of a begun stream now."""
        group = self._slots_by_service.get(service, ())
        ignores_health = self._ignores_health(service, now)
        return [slots for slots in group if slots.accepts_extra(now, ignores_health=ignores_health)]

    def _ignores_health(self, service: str, now: float) -> bool:
        """Return whether more than half of the upstreams of a service are ejected.

        Ejection is then ignored: the failures do not tell good upstreams from bad ones.
        """
        group = self._slots_by_service.get(service, ())
        accepting_count = sum(1 for slots in group if slots.health.accepts_call(now))
        return accepting_count < len(group) / 2

    def _choose_upstream(
        self, call: WaitingCall, usable: list[Slots], now: float, *, is_starved: bool = False
    ) -> Slots | None:
        """Return the upstream with the lowest cost, or None if the call should wait.

        The last free slots are reserved for urgent calls, unless the class of this call is starved
        or it goes on with a stream.
        """
        if not usable:
            return None
        if not call.is_bound and not is_starved and self._yields_to_urgent(call, now):
            free = sum(slots.count_free(now) for slots in usable)
            if free <= self._count_reserved(call.service):
                return None
        candidates = self.rollouts.list_candidates(call, usable, now)
        allowed = self.egress.select(call, candidates, self._estimate_home_wait, now)
        best, best_cost = self._find_cheapest(call, allowed, now)
        if best is None:
            # The idle slots at home may all be of a version whose share is used up.
            uncapped = self.rollouts.list_uncapped(call, candidates, now)
            if len(uncapped) < len(candidates):
                allowed = self.egress.select(call, uncapped, self._estimate_home_wait, now)
                best, best_cost = self._find_cheapest(call, allowed, now)
        if best is None or self.egress.is_leaving(best.upstream):
            # A call that leaves would be late at home.
            return best
        return None if self._should_wait(call, best_cost, now) else best

    def _choose_extra(
        self, call: WaitingCall, usable: list[Slots], extra: list[Slots], now: float
    ) -> Slots | None:
        """Return the upstream that runs the rest of a begun stream without a lent slot, or None.

        An owner at which calls wait lends none, so the stream would end. A call that waits for
        a faster upstream than a usable one goes on waiting.
        """
        allowed = self.rollouts.list_allowed(call, usable, now)
        if any(slots.accepts(call) for slots in allowed):
            return None
        fitting = [slots for slots in extra if slots.accepts(call)]
        return self._find_cheapest(call, fitting, now)[0]

    def _find_cheapest(
        self, call: WaitingCall, group: list[Slots], now: float
    ) -> tuple[Slots | None, float]:
        """Return the upstream of a group at which a call costs least, and the cost in seconds."""
        return choose_cheapest(
            call,
            [
                (self._estimate_cost(call, slots, now), slots)
                for slots in self.rollouts.list_allowed(call, group, now)
                if call.may_run_at(slots.upstream)
            ],
        )

    def _should_wait(self, call: WaitingCall, cost: float, now: float) -> bool:
        """Return whether waiting for a busy upstream costs less than the best free one (`cost`)."""
        wait_s = self._estimate_wait(self._services[call.service], call, now)
        if now + wait_s >= call.latest_start_at:
            return False
        group = self._slots_by_service.get(call.service, [])
        for slots in self.rollouts.list_allowed(call, group, now):
            if not slots.is_owner or not slots.could_run(call):
                continue
            if not slots.is_available_at(now, starts_at=now + wait_s):
                continue
            if self._estimate_cost(call, slots, now + wait_s) + wait_s < cost:
                return True
        return False

    def _yields_to_urgent(self, call: WaitingCall, now: float) -> bool:
        """Return whether far more urgent calls of the service arrived recently.

        Classes of short calls count as more urgent here: they release their slot before an urgent
        call has waited for long.
        """
        service = self._services[call.service]
        effective_rank = service.queue.get_effective_rank(call.rank)
        return any(
            urgent_rank + URGENT_RANK_GAP <= effective_rank and arrived_at > now - URGENT_WINDOW_S
            for urgent_rank, arrived_at in service.last_arrival_at.items()
        )

    def _count_reserved(self, service: str) -> int:
        """Return how many slots of a service are reserved for urgent calls."""
        group = self._slots_by_service.get(service, ())
        owned = sum(slots.burst for slots in group if slots.is_owner)
        return math.floor(owned * RESERVED_SHARE)

    def _estimate_cost(self, call: WaitingCall, slots: Slots, starts_at: float) -> float:
        distance_s = self.egress.estimate_cost(call, slots.upstream)
        return distance_s + estimate_cost(call, slots, starts_at)

    def _update_speeds(self, now: float) -> None:
        """Decay the measured speeds and update the median speed of each service."""
        elapsed_s = min(now - self._speeds_updated_at, 1)
        self._speeds_updated_at = now
        queues = [service.queue.calls for service in self._services.values()]
        self.customers.update(now, [call.account for calls in queues for call in calls])
        for name, group in self._slots_by_service.items():
            for slots in group:
                slots.speed.decay(elapsed_s)
            service = self._services.setdefault(name, _ServiceState())
            service.queue.decay(elapsed_s)
            factors = [
                slots.speed.factor * slots.pace.estimate_average(now)
                for slots in group
                if slots.speed.samples
            ]
            if factors:
                service.median_speed.factor = statistics.median(factors)

    def _estimate_wait(self, service: _ServiceState, call: WaitingCall, now: float) -> float:
        """Return the expected wait for a slot in seconds, behind the calls ordered ahead."""
        ahead = service.queue.count_ahead(call, now) + 1
        recent = sum(
            1 for released_at in service.release_times if released_at > now - RATE_WINDOW_S
        )
        wait_s = ahead * RATE_WINDOW_S / recent if recent else DEFAULT_WAIT_S * ahead
        return limit_wait(self._slots_by_service.get(call.service, ()), ahead, wait_s, now)

    def _estimate_home_wait(self, call: WaitingCall, now: float) -> float:
        """Return the expected wait for a slot in the own region; infinite if it has none."""
        group = self._slots_by_service.get(call.service, [])
        # Slots that a roll-out bars, or caps, need not become free for this call.
        group = self.rollouts.list_uncapped(call, group, now)
        share = self.egress.measure_home_share(call, group)
        if not share:
            return math.inf
        return self._estimate_wait(self._services[call.service], call, now) / share

    def _place(self, call: WaitingCall, slots: Slots, now: float) -> None:
        slots.occupy(call, now)
        self.rollouts.record_placement(slots.upstream)
        self.egress.record_placement(call, slots.upstream, now)
        self._services[call.service].queue.record_placement(call)
        call.excluded.add(slots.upstream.upstream_id)
        call.on_decision(Placed(slots.upstream))
