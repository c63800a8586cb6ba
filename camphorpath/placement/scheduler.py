"""Which call gets which slot, and which is turned away.

Holds the waiting calls and the slots of one daemon. All methods take the time, and decisions reach
the calls through `on_decision`.
"""

import math
from collections.abc import Iterable, Mapping

import attrs

from ..routing import Upstream
from .ownership import Assignment
from .queue import CallQueue, turn_away
from .records import Placed, WaitingCall
from .slots import Slots

# Added to the expected time at an upstream in another zone or region, in seconds: the round trip
# and the price of the bytes.
OTHER_ZONE_S = 0.02
OTHER_REGION_S = 0.06
# Added for an upstream that fails often.
UNRELIABLE_S = 1.0
# Expected wait for a slot where none of the service has ended yet.
USUAL_WAIT_S = 0.05
# Without any upstream a caller should come back after this time.
NO_UPSTREAM_S = 0.7
RATE_WINDOW_S = 2.0
# Share of the owned slots that is kept free for calls more urgent than the one at hand, if such
# calls came within the last URGENT_S seconds. Slots are held for long and calls are not preempted.
RESERVED_SHARE = 0.3
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
    # Upstreams that do not leave, by service.
    _groups: dict[str, list[Slots]] = attrs.field(factory=dict)

    # --- what is believed of upstreams

    def set_upstreams(self, upstreams: Iterable[Upstream], assignment: Assignment) -> None:
        """Take in the registered upstreams and their owners."""
        listed = {upstream.upstream_id: upstream for upstream in upstreams}
        for upstream_id, upstream in listed.items():
            known = self.slots.get(upstream_id)
            if known is None or known.upstream.incarnation != upstream.incarnation:
                known = Slots(upstream)
                self.slots[upstream_id] = known
            known.upstream = upstream
            known.is_owner = assignment.owners.get(upstream_id) == self.name
        for upstream_id in set(self.slots) - set(listed):
            self._drop(upstream_id)
        self._groups = {}
        for slots in self.slots.values():
            if not slots.upstream.is_leaving:
                self._groups.setdefault(slots.upstream.service, []).append(slots)

    def take_loads(self, incarnation: str, loads: Mapping[str, tuple[int, int]]) -> None:
        """Take in the calls that another daemon has at upstreams, and the slots that it lends."""
        for upstream_id in self._reported.get(incarnation, frozenset()) - loads.keys():
            left = self.slots.get(upstream_id)
            if left is not None:
                left.foreign.pop(incarnation, None)
        self._reported[incarnation] = frozenset(loads)
        for upstream_id, (in_flight, lent) in loads.items():
            slots = self.slots.get(upstream_id)
            if slots is None:
                continue
            slots.foreign[incarnation] = in_flight
            if not slots.is_owner:
                slots.lent = lent

    def forget_daemon(self, incarnation: str) -> None:
        """Drop the loads of a daemon that is gone."""
        self._reported.pop(incarnation, None)
        for slots in self.slots.values():
            slots.foreign.pop(incarnation, None)

    def report_loads(self, borrowers: int, now: float) -> dict[str, tuple[int, int]]:
        """Return this daemon's calls at each upstream and the slots that each borrower may use."""
        loads = {}
        for upstream_id, slots in self.slots.items():
            lent = 0
            service = self._services.get(slots.upstream.service)
            is_usable = not slots.upstream.is_leaving and slots.health.allows(now)
            if slots.is_owner and is_usable and not (service and service.queue.calls):
                lent = max(slots.count_free(now) - 1, 0)
                # Others may borrow at the same moment.
                lent = (lent + 1) // 2 if borrowers > 1 else lent
            if slots.running or slots.is_owner:
                loads[upstream_id] = (len(slots.running), lent)
        return loads

    # --- calls

    def submit(self, call: WaitingCall, now: float) -> None:
        """Give a call a slot, let it wait, or turn it away."""
        service = self._services.setdefault(call.service, _Service())
        service.urgent_at[call.rank[1]] = now
        call.late_from = call.objective_at - self._expect_first(call)
        chosen = None
        if not service.queue.calls or not service.queue.count_ahead(call, now):
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
        wait_s = self._estimate_wait(service, call, now)
        if now + wait_s > call.wait_until:
            call.on_decision(turn_away('queue_full', wait_s, call, now, waiting))
            return
        service.queue.add(call)

    def withdraw(self, call: WaitingCall) -> None:
        """Remove a call that waits."""
        service = self._services.get(call.service)
        if service is not None:
            service.queue.remove(call)

    def note_first_byte(self, upstream_id: str, call: WaitingCall, now: float) -> None:
        """Take note that an upstream began its answer."""
        slots = self.slots.get(upstream_id)
        running = slots.running.get(call.call_id) if slots else None
        if running is None or running.has_answered:
            return
        running.has_answered = True
        slots.speed.learn_first(now - running.sent_at, call.prompt_tokens)

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

    def count_waiting(self) -> int:
        """Return the number of waiting calls."""
        return sum(len(service.queue.calls) for service in self._services.values())

    # --- decisions

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
        for call in service.queue.ordered(now):
            is_fair = call is service.queue.find_fair()
            chosen = self._choose(call, usable, now, is_fair=is_fair)
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
        self, call: WaitingCall, usable: list[Slots], now: float, *, is_fair: bool = False
    ) -> Slots | None:
        """Return the slots at which the call should be done first.

        The last free slots are kept for the most urgent calls, unless it is the turn of this one.
        """
        if not is_fair and self._yields(call, now):
            free = sum(slots.count_free(now) for slots in usable)
            if free <= self._count_reserved(call.service):
                return None
        candidates = [slots for slots in usable if slots.upstream.upstream_id not in call.excluded]
        return min(
            candidates,
            key=lambda slots: (self._estimate_cost(call, slots), slots.upstream.upstream_id),
            default=None,
        )

    def _yields(self, call: WaitingCall, now: float) -> bool:
        """Return whether far more urgent calls of the service came lately."""
        return any(
            rank + URGENT_RANKS <= call.rank[1] and seen_at > now - URGENT_S
            for rank, seen_at in self._services[call.service].urgent_at.items()
        )

    def _count_reserved(self, service: str) -> int:
        """Return the free slots that are kept for urgent calls."""
        group = self._groups.get(service, ())
        owned = sum(slots.upstream.slots for slots in group if slots.is_owner)
        return math.floor(owned * RESERVED_SHARE)

    def _estimate_cost(self, call: WaitingCall, slots: Slots) -> float:
        cost = slots.speed.estimate(call.prompt_tokens, call.output_tokens)
        # Calls that run together slow each other.
        cost *= 1 + len(slots.running) / (4 * slots.upstream.slots)
        if slots.upstream.zone != self.zone:
            is_near = self.regions.get(slots.upstream.zone) == self.regions.get(self.zone)
            cost += OTHER_ZONE_S if is_near else OTHER_REGION_S
        if slots.health.is_unreliable:
            cost += UNRELIABLE_S
        return cost

    def _expect_first(self, call: WaitingCall) -> float:
        """Return the seconds from a send to the first byte, as a mean over the upstreams."""
        group = self._groups.get(call.service, ())
        if not group:
            return 0
        return sum(slots.speed.estimate_first(call.prompt_tokens) for slots in group) / len(group)

    def _estimate_wait(self, service: _Service, call: WaitingCall, now: float) -> float:
        ahead = service.queue.count_ahead(call, now) + 1
        recent = sum(1 for end in service.ends if end > now - RATE_WINDOW_S)
        if not recent:
            return USUAL_WAIT_S * ahead
        return ahead * RATE_WINDOW_S / recent

    def _place(self, call: WaitingCall, slots: Slots, now: float) -> None:
        slots.send(call.call_id, call.prompt_tokens, now)
        call.excluded.add(slots.upstream.upstream_id)
        call.on_decision(Placed(slots.upstream))
