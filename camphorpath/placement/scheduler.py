"""Which call gets which slot, and which is turned away.

Holds the waiting calls and the slots of one daemon. All methods take the time, and decisions reach
the calls through `on_decision`.
"""

import math
import statistics
from collections.abc import Iterable, Mapping

import attrs

from ..routing import Upstream
from .costs import estimate_cost
from .ownership import Assignment
from .queue import CallQueue, turn_away
from .records import Load, Placed, WaitingCall
from .slots import Slots
from .speed import Speed

# Added to the expected time at an upstream in another zone or region, in seconds: the round trip
# and the price of the bytes.
OTHER_ZONE_S = 0.02
OTHER_REGION_S = 0.06
# Expected wait for a slot where none of the service has ended yet.
USUAL_WAIT_S = 0.05
# Speeds are compared this often, in seconds.
COMPARE_S = 0.25
# Without any upstream a caller should come back after this time.
NO_UPSTREAM_S = 0.7
RATE_WINDOW_S = 2.0
# Share of the owned slots that is kept free for calls more urgent than the one at hand, if such
# calls came within the last URGENT_S seconds. Slots are held for long and calls are not preempted.
RESERVED_SHARE = 0.2
URGENT_S = 3.0
# Ranks between a call and those for which it leaves slots; the next rank is nearly as urgent.
URGENT_RANKS = 2


@attrs.define
class _Service:
    """The waiting calls of a service and the instants at which slots became free lately."""

    queue: CallQueue = attrs.field(factory=CallQueue)
    ends: list[float] = attrs.field(factory=list)
    # The last arrival of each rank of routes.
    urgent_at: dict[int, float] = attrs.field(factory=dict)
    # The median of the upstreams.
    usual: Speed = attrs.field(factory=Speed)


@attrs.define(kw_only=True)
class Scheduler:
    """The slots and queues of one daemon."""

    name: str
    zone: str
    regions: Mapping[str, str]
    slots: dict[str, Slots] = attrs.field(factory=dict)
    _services: dict[str, _Service] = attrs.field(factory=dict)
    # Upstreams in the last report of each other daemon.
    _reported: dict[str, frozenset[str]] = attrs.field(factory=dict)
    # Names and waiting calls of other daemons, by incarnation.
    _demand: dict[str, tuple[str, dict[str, int]]] = attrs.field(factory=dict)
    # Whether callers are told to come here.
    _is_active: bool = False
    # Reports that were made.
    _rounds: int = 0
    # Upstreams that do not leave, by service.
    _groups: dict[str, list[Slots]] = attrs.field(factory=dict)
    _compared_at: float = 0

    # --- what is believed of upstreams

    def set_upstreams(self, upstreams: Iterable[Upstream], assignment: Assignment) -> None:
        """Take in the registered upstreams and their owners."""
        self._is_active = assignment.is_active(self.name)
        listed = {upstream.upstream_id: upstream for upstream in upstreams}
        for upstream_id, upstream in listed.items():
            known = self.slots.get(upstream_id)
            if known is None or known.upstream.incarnation != upstream.incarnation:
                self._end_running(known)
                known = Slots(upstream)
                self.slots[upstream_id] = known
            known.upstream = upstream
            known.owner = assignment.owners.get(upstream_id, '')
            known.is_owner = known.owner == self.name
        for upstream_id in set(self.slots) - set(listed):
            self._drop(upstream_id)
        self._groups = {}
        for slots in self.slots.values():
            if not slots.upstream.is_leaving:
                self._groups.setdefault(slots.upstream.service, []).append(slots)

    def take_loads(
        self,
        name: str,
        incarnation: str,
        loads: Mapping[str, Load],
        waiting: Mapping[str, int],
        *,
        lent_until: float = math.inf,
    ) -> None:
        """Take in what another daemon tells of upstreams, and its waiting calls by service.

        What it lends may be used up to the instant `lent_until`: a daemon that stood still or is
        cut off must not go on with it.
        """
        self._demand[incarnation] = name, dict(waiting)
        for upstream_id in self._reported.get(incarnation, frozenset()) - loads.keys():
            left = self.slots.get(upstream_id)
            if left is not None:
                left.foreign.pop(incarnation, None)
        self._reported[incarnation] = frozenset(loads)
        for upstream_id, load in loads.items():
            slots = self.slots.get(upstream_id)
            if slots is None:
                continue
            slots.foreign[incarnation] = load.in_flight
            if slots.owner == name:
                # A daemon that takes no calls has only few that strayed, and is heard too seldom
                # to be chosen.
                is_meant = not self._is_active or load.borrower in {'', self.name}
                slots.lent = load.lent if is_meant else 0
                slots.lent_until = lent_until
                slots.speed.factor = load.factor or slots.speed.factor

    def forget_daemon(self, incarnation: str) -> None:
        """Drop the loads of a daemon that is gone."""
        self._reported.pop(incarnation, None)
        self._demand.pop(incarnation, None)
        for slots in self.slots.values():
            slots.foreign.pop(incarnation, None)

    def report_loads(self, borrowers: int, now: float) -> dict[str, Load]:
        """Return what to tell the others: the calls of this daemon and the slots that it lends.

        While calls wait at other daemons, the slots of an upstream are lent to one of them, and to
        another one the next time: all of them would use the same slots. Otherwise up to so many
        `borrowers` may use them.
        """
        self._rounds += 1
        loads = {}
        for number, (upstream_id, slots) in enumerate(self.slots.items()):
            if not slots.is_owner:
                if slots.running:
                    loads[upstream_id] = Load(len(slots.running))
                continue
            lent = self._count_lent(slots, now)
            borrower = ''
            names = self._list_demanders(slots.upstream.service) if lent else []
            if names:
                borrower = names[(number + self._rounds) % len(names)]
            elif borrowers > 1:
                # Several may borrow at the same moment.
                lent = (lent + 1) // 2
            loads[upstream_id] = Load(len(slots.running), lent, borrower, slots.speed.factor)
        return loads

    def count_waiting(self) -> dict[str, int]:
        """Return the number of waiting calls of each service that has any."""
        return {
            name: len(service.queue.calls)
            for name, service in self._services.items()
            if service.queue.calls
        }

    # --- calls

    def submit(self, call: WaitingCall, now: float) -> None:
        """Give a call a slot, let it wait, or turn it away."""
        service = self._services.setdefault(call.service, _Service())
        service.urgent_at[call.rank[1]] = now
        service.queue.note_arrival(call)
        call.late_from = call.objective_at - service.usual.estimate_first(call.prompt_tokens)
        if not service.queue.calls:
            chosen = self._choose(call, self._list_usable(call.service, now), now)
            if chosen is not None:
                self._place(call, chosen, now)
                return
        waiting = len(service.queue.calls)
        if not self._has_candidates(call):
            call.on_decision(turn_away('no_upstream', NO_UPSTREAM_S, call, now, waiting))
            return
        if self._yields(call, now):
            # Late it is worth little, and the slot would be missing to urgent calls.
            call.wait_until = min(call.wait_until, call.late_from)
        service.queue.add(call)
        if waiting:
            # The calls ahead may leave the free slots to it.
            self._pump_service(service, now)
        if call not in service.queue.calls:
            return
        wait_s = self._estimate_wait(service, call, now)
        if now + wait_s > call.wait_until:
            service.queue.remove(call)
            call.on_decision(turn_away('queue_full', wait_s, call, now, waiting))

    def withdraw(self, call: WaitingCall) -> None:
        """Remove a call that waits."""
        service = self._services.get(call.service)
        if service is not None:
            service.queue.remove(call)

    def note_first_byte(
        self, upstream_id: str, call: WaitingCall, now: float, *, is_failure: bool = False
    ) -> None:
        """Take note that an upstream began its answer; a failure says nothing of its speed."""
        slots = self.slots.get(upstream_id)
        running = slots.running.get(call.call_id) if slots else None
        if running is None or running.has_answered:
            return
        running.has_answered = True
        if not is_failure:
            slots.speed.learn_first(now - running.sent_at, running.tokens_before)

    def release(self, upstream_id: str, call: WaitingCall, now: float) -> None:
        """Free the slot of a call and give it to the next one."""
        slots = self.slots.get(upstream_id)
        running = slots.running.pop(call.call_id, None) if slots else None
        if running is None:
            return
        slots.health.abandon()
        if not running.has_answered and now > running.first_due:
            # Its caller may have left because of the silence.
            slots.health.fail(now)
        service = self._services.setdefault(call.service, _Service())
        service.ends.append(now)
        cost_s = slots.estimate_share(call, now - running.sent_at)
        service.queue.note_end(call.rank, cost_s if running.has_answered else None)
        if not slots.is_owner:
            slots.lent += 1
        self.pump(now)

    def pump(self, now: float) -> None:
        """Give free slots to waiting calls."""
        for service in self._services.values():
            if service.queue.calls:
                self._pump_service(service, now)

    def expire(self, now: float) -> None:
        """Turn away the calls that have waited too long, and place what can be placed."""
        if now >= self._compared_at + COMPARE_S:
            self._compare_speeds(now)
        self.pump(now)
        for service in self._services.values():
            service.ends = [end for end in service.ends if end > now - RATE_WINDOW_S]
            for call in list(service.queue.calls):
                if now < call.wait_until:
                    continue
                service.queue.remove(call)
                wait_s = self._estimate_wait(service, call, now)
                waiting = len(service.queue.calls)
                call.on_decision(turn_away('waited_too_long', wait_s, call, now, waiting))

    # --- decisions

    def _count_lent(self, slots: Slots, now: float) -> int:
        """Return the free slots that others may use; none while calls wait here."""
        service = self._services.get(slots.upstream.service)
        if service is not None and service.queue.calls:
            return 0
        if slots.upstream.is_leaving or now < slots.rests_until or not slots.health.allows(now):
            return 0
        return max(slots.count_free(now) - 1, 0)

    def _list_demanders(self, service: str) -> list[str]:
        """Return the other daemons at which calls of a service wait."""
        return sorted(name for name, waiting in self._demand.values() if waiting.get(service))

    def _end_running(self, slots: Slots | None) -> None:
        """Take note that an incarnation has ended, and its calls with it."""
        if slots is None:
            return
        service = self._services.setdefault(slots.upstream.service, _Service())
        for running in slots.running.values():
            service.queue.note_end(running.rank, None)

    def _drop(self, upstream_id: str) -> None:
        """Take note that an upstream is gone; its calls may go on."""
        slots = self.slots[upstream_id]
        if slots.running:
            slots.upstream = attrs.evolve(slots.upstream, is_leaving=True)
        else:
            self.slots.pop(upstream_id)

    def _pump_service(self, service: _Service, now: float) -> None:
        usable = self._list_usable(service.queue.calls[0].service, now)
        if not usable:
            return
        starved = service.queue.find_starved()
        for call in service.queue.ordered(now, starved):
            chosen = self._choose(call, usable, now, is_starved=call is starved)
            if chosen is None:
                continue
            service.queue.take(call)
            self._place(call, chosen, now)
            usable = [slots for slots in usable if slots.count_free(now) > 0]
            if not usable:
                return

    def _has_candidates(self, call: WaitingCall) -> bool:
        return any(
            slots.upstream.upstream_id not in call.excluded
            for slots in self._groups.get(call.service, ())
        )

    def _list_usable(self, service: str, now: float) -> list[Slots]:
        """Return the upstreams with free slots.

        Where most upstreams of the service are set aside, this says nothing, and all are used.
        """
        group = self._groups.get(service, ())
        allowed = sum(1 for slots in group if slots.health.allows(now))
        ignores_health = allowed < len(group) / 2
        return [slots for slots in group if slots.is_usable(now, ignores_health=ignores_health)]

    def _choose(
        self, call: WaitingCall, usable: list[Slots], now: float, *, is_starved: bool = False
    ) -> Slots | None:
        """Return the free slots at which the call should be done first, if it should not wait.

        The last free slots are kept for the most urgent calls, unless it is the turn of this one.
        """
        if not is_starved and self._yields(call, now):
            free = sum(slots.count_free(now) for slots in usable)
            if free <= self._count_reserved(call.service):
                return None
        best, best_cost = None, math.inf
        for slots in usable:
            if slots.upstream.upstream_id in call.excluded:
                continue
            cost = self._estimate_cost(call, slots, now)
            if cost < best_cost:
                best, best_cost = slots, cost
        if best is not None and self._should_wait(call, best_cost, now):
            return None
        return best

    def _should_wait(self, call: WaitingCall, cost: float, now: float) -> bool:
        """Return whether a slot that will be free soon is better than the best free one."""
        wait_s = self._estimate_wait(self._services[call.service], call, now)
        if now + wait_s >= call.late_from:
            return False
        for slots in self._groups.get(call.service, ()):
            if not slots.is_owner or slots.upstream.upstream_id in call.excluded:
                continue
            if not slots.is_trusted(now, starts_at=now + wait_s):
                continue
            if self._estimate_cost(call, slots, now + wait_s) + wait_s < cost:
                return True
        return False

    def _yields(self, call: WaitingCall, now: float) -> bool:
        """Return whether far more urgent calls of the service came lately.

        Short calls give their slot back before an urgent one has waited for long.
        """
        service = self._services[call.service]
        place = service.queue.read_place(call.rank)
        return any(
            urgent + URGENT_RANKS <= place and seen_at > now - URGENT_S
            for urgent, seen_at in service.urgent_at.items()
        )

    def _count_reserved(self, service: str) -> int:
        """Return the free slots that are kept for urgent calls."""
        group = self._groups.get(service, ())
        owned = sum(slots.upstream.slots for slots in group if slots.is_owner)
        return math.floor(owned * RESERVED_SHARE)

    def _estimate_cost(self, call: WaitingCall, slots: Slots, starts_at: float) -> float:
        distance_s: float = 0
        if slots.upstream.zone != self.zone:
            is_near = self.regions.get(slots.upstream.zone) == self.regions.get(self.zone)
            distance_s = OTHER_ZONE_S if is_near else OTHER_REGION_S
        return distance_s + estimate_cost(call, slots, starts_at)

    def _compare_speeds(self, now: float) -> None:
        """Forget old speeds, and find the usual one of each service."""
        elapsed_s = min(now - self._compared_at, 1)
        self._compared_at = now
        for name, group in self._groups.items():
            for slots in group:
                slots.speed.relax(elapsed_s)
            service = self._services.setdefault(name, _Service())
            service.queue.relax(elapsed_s)
            factors = [slots.speed.factor for slots in group if slots.speed.samples]
            if factors:
                service.usual.factor = statistics.median(factors)

    def _estimate_wait(self, service: _Service, call: WaitingCall, now: float) -> float:
        ahead = service.queue.count_ahead(call, now) + 1
        recent = sum(1 for end in service.ends if end > now - RATE_WINDOW_S)
        if not recent:
            return USUAL_WAIT_S * ahead
        return ahead * RATE_WINDOW_S / recent

    def _place(self, call: WaitingCall, slots: Slots, now: float) -> None:
        slots.send(call, now)
        self._services[call.service].queue.note_slot(call)
        call.excluded.add(slots.upstream.upstream_id)
        call.on_decision(Placed(slots.upstream))
