"""The orders that one daemon knows, with their phases and evidence.

Load pattern: a new version of a service that fails or is slow from its start, some seconds later,
under load or on one route only, while calls arrive at many daemons.
"""

import collections
import math
from collections.abc import Callable, Iterable, Mapping

import attrs

from ..placement.records import WaitingCall
from ..placement.slots import Slots
from ..routing import Upstream
from .evidence import Evidence
from .exposure import Exposure, get_division_start
from .records import Action, Advice, Bar, Phase, Rollout, RolloutBounds, RolloutOrder, Tally
from .schedule import Schedule
from .state import MOVING_WINDOW_S, WINDOW_S, Judgement, OrderState, Registered
from .verdict import find_fault, find_sudden_failures, is_good

# Services with an order at a time; further orders are ignored, as each keeps counts of all daemons.
MAX_ORDERS = 64


def _get_unknown_time_limit(_service: str) -> float:
    return math.inf


@attrs.define
class Rollouts:
    """The orders of one daemon; instants are in seconds on the lease clock."""

    bounds: RolloutBounds
    # Returns the longest time limit of the routes to a service in seconds; infinite if unknown.
    get_time_limit: Callable[[str], float] = _get_unknown_time_limit
    # Whether all other daemons that were known have stopped as planned.
    is_alone: bool = False
    _states: dict[str, OrderState] = attrs.field(factory=dict)
    _registered: dict[str, Registered] = attrs.field(factory=dict)
    _started_at: float | None = None

    def start(self, order: RolloutOrder, now: float, *, is_contact: bool = True) -> bool:
        """Begin an order unless one of the same or a newer revision is known; return whether.

        `is_contact` is false if it may have been sent long ago: then peers have to be heard first.

        A version that an earlier order named and did not complete is not trusted by a newer order
        to another version: it gets no calls then.
        """
        known = self._states.get(order.service)
        if known is None and len(self._states) >= MAX_ORDERS:
            return False
        if known is not None and known.rollout.order.revision >= order.revision:
            return False
        divides_at = get_division_start(order, now, self._note_start(now))
        barred = {} if known is None else known.list_barred(now)
        barred.pop(order.version, None)
        self._states[order.service] = OrderState(
            Rollout(order, phase_since=now),
            Evidence(order.service, order.version, order.revision),
            Exposure(order, self.bounds, now if is_contact else -math.inf, divides_at),
            barred,
        )
        return True

    def correct_time(self, order: RolloutOrder) -> None:
        """Replace a known order by the same one with another instant at which it was written."""
        state = self._states.get(order.service)
        if state is not None and state.rollout.order.revision == order.revision:
            state.rollout.order = order
            state.exposure.order = order

    def cancel(self, service: str, now: float) -> None:
        """End the order of a service, whose row was removed.

        Before COMPLETED, the service goes back to the other versions: nothing confirms the new one.
        The effect lasts until the order is forgotten, RETENTION_S after its end.
        """
        state = self._states.get(service)
        if state is not None and not state.is_cancelled:
            state.enter(Phase.REVERTED, now)
            state.is_cancelled = True

    def get(self, service: str) -> Rollout | None:
        """Return the newest order of a service with its phase and counts; None without one."""
        state = self._states.get(service)
        return None if state is None or state.is_cancelled else state.rollout

    def list_barred(self, service: str, now: float) -> dict[str, Bar]:
        """Return the versions that earlier orders of a service named and did not complete."""
        state = self._states.get(service)
        return {} if state is None else state.list_still_barred(now)

    def bar(self, service: str, barred: Mapping[str, Bar]) -> None:
        """Add versions of earlier orders of a service that this daemon may not know."""
        state = self._states.get(service)
        if state is not None:
            state.bar(barred)

    def apply_phase(
        self, service: str, revision: int, phase: Phase, now: float, *, is_contact: bool = True
    ) -> bool:
        """Apply a phase from the store or a peer; return whether it changed the phase.

        `is_contact` is false if it may have been sent long ago, so that it shows no contact.

        Phases only go forward. COMPLETED replaces REVERTED, because COMPLETED is applied after it
        was stored only, and a REVERTED that was not stored is void then.
        """
        state = self._states.get(service)
        if state is None or state.is_cancelled or state.rollout.order.revision != revision:
            return False
        if is_contact:
            state.exposure.heard_at = now
        return state.enter(phase, now)

    def share_tallies(self) -> list[Tally]:
        """Return this daemon's counts for its heartbeat."""
        tallies = []
        for state in self._states.values():
            if not state.is_cancelled:
                tallies += state.evidence.share()
        return tallies

    def count_own(self, service: str) -> tuple[int, int]:
        """Return this daemon's answers of the target version, and the bad ones among them."""
        state = self._states.get(service)
        return (0, 0) if state is None else state.evidence.count_own_target()

    def apply_tallies(self, incarnation: str, tallies: Iterable[Tally]) -> None:
        """Adopt the cumulative counts of a peer; those of an ended peer are kept.

        Call it for each heartbeat of a peer, even without tallies: a daemon that hears no peer for
        some seconds sends no new calls to a version that is not confirmed.
        """
        for state in self._states.values():
            state.was_heard = True
        for tally in tallies:
            known = self._states.get(tally.service)
            if known is not None and known.rollout.order.revision == tally.revision:
                known.evidence.apply(incarnation, tally)

    def update(self, now: float, active_count: int) -> list[Advice]:
        """Judge the orders, with so many daemons that take calls; call it several times a second.

        Applies REVERT itself before it returns it, once. Returns MOVE and COMPLETE at each update
        until the phase is applied by `apply_phase`, since only the writer applies them.
        """
        self._note_start(now)
        advices = []
        for service, state in list(self._states.items()):
            if state.is_forgotten(now):
                self._states.pop(service)
                continue
            state.update_exposure(now, active_count)
            state.exposure.is_alone = self.is_alone
            if state.is_cancelled or state.phase.is_final:
                continue
            advice = self._judge(state, now)
            if advice is None:
                continue
            if advice.action is Action.REVERT:
                state.enter(Phase.REVERTED, now)
            advices.append(advice)
        return advices

    def record_registered(self, groups: Mapping[str, list[Slots]]) -> None:
        """Replace the upstreams that are registered and not leaving, by service."""
        self._registered = {
            service: collections.Counter(slots.upstream.software_version for slots in group)
            for service, group in groups.items()
        }

    def list_candidates(self, call: WaitingCall, group: list[Slots], now: float) -> list[Slots]:
        """Return the upstreams of a group of one service at which a call may wait for a slot.

        They are those that the phase of the order allows, whether or not the cap is used up.
        """
        state = self._states.get(call.service)
        if state is None:
            return group
        return state.list_candidates(call, group, self._get_registered(state), now)

    def list_allowed(self, call: WaitingCall, group: list[Slots], now: float) -> list[Slots]:
        """Return the upstreams of a group of one service to which a call may be sent now.

        While the share of the target version is capped, a call that may use it is sent there, to
        the upstream that got the fewest, as there is no evidence otherwise.
        """
        state = self._states.get(call.service)
        if state is None:
            return group
        return state.list_allowed(call, group, self._get_registered(state), now)

    def list_uncapped(self, call: WaitingCall, group: list[Slots], now: float) -> list[Slots]:
        """Return the upstreams of a group of one service that are allowed whatever the cap."""
        state = self._states.get(call.service)
        if state is None:
            return group
        return state.list_uncapped(call, group, self._get_registered(state), now)

    def may_send(self, upstream: Upstream, now: float) -> bool:
        """Return whether a call that was placed at an upstream may still be sent there."""
        state = self._states.get(upstream.service)
        return state is None or state.may_send(upstream, self._get_registered(state), now)

    def record_placement(self, upstream: Upstream) -> None:
        """Count a call that was placed at an upstream, until `record_send` or `record_unsent`."""
        state = self._states.get(upstream.service)
        if state is not None and state.is_target(upstream):
            state.exposure.pending += 1

    def record_unsent(self, upstream: Upstream) -> None:
        """Count that a placed call was not sent."""
        state = self._states.get(upstream.service)
        if state is not None and state.is_target(upstream):
            state.exposure.end_pending()

    def record_send(self, upstream: Upstream) -> None:
        """Count a request that was sent to an upstream."""
        state = self._states.get(upstream.service)
        if state is not None:
            target_id = upstream.upstream_id if state.is_target(upstream) else None
            state.exposure.record_send(target_id)

    def record_answer(
        self, upstream: Upstream, route: str, is_bad: bool, latency_ratio: float | None
    ) -> None:
        """Count an answer, bad if it was a server error or broken.

        `latency_ratio` is the time to its first byte relative to the time that the prompt takes by
        default; None if it was not measured.
        """
        state = self._states.get(upstream.service)
        if state is not None:
            version, upstream_id = upstream.software_version, upstream.upstream_id
            state.evidence.record_answer(version, route, upstream_id, latency_ratio)
        if is_bad:
            self.record_break(upstream, route)

    def record_break(self, upstream: Upstream, route: str) -> None:
        """Count that an answer broke that was counted as good when it began."""
        state = self._states.get(upstream.service)
        if state is not None:
            state.evidence.record_bad(upstream.software_version, route, upstream.upstream_id)

    def _note_start(self, now: float) -> float:
        """Return when these orders were first used, about the start of the daemon."""
        if self._started_at is None:
            self._started_at = now
        return self._started_at

    def _get_registered(self, state: OrderState) -> Registered:
        return self._registered.get(state.rollout.order.service, {})

    def _judge(self, state: OrderState, now: float) -> Advice | None:
        """Return an advice on an order, the one of the last judgement if that still holds."""
        rollout, evidence = state.rollout, state.evidence
        answers, bad = evidence.count_target()
        rollout.answers = answers
        rollout.bad = bad
        schedule = Schedule(rollout.order, self.get_time_limit(rollout.order.service))
        upstream_count = self._get_registered(state).get(state.version, 0)
        is_over = state.phase is Phase.MOVING and now >= schedule.get_completion(
            rollout.phase_since
        )
        may_move = schedule.may_move(now)
        is_late = now >= schedule.reverts_at
        cause = state.phase, upstream_count, rollout.bad, may_move, is_over, is_late
        known = state.judgement
        if known is None or not known.is_valid(now, evidence.change_count, cause):
            advice = self._judge_evidence(
                state, now, upstream_count, may_move=may_move, is_over=is_over, is_late=is_late
            )
            known = Judgement(now, evidence.change_count, cause, advice)
            state.judgement = known
        return known.advice

    def _judge_evidence(
        self,
        state: OrderState,
        now: float,
        upstream_count: int,
        *,
        may_move: bool,
        is_over: bool,
        is_late: bool,
    ) -> Advice | None:
        rollout, sums = state.rollout, state.evidence.sums
        state.snapshot(now)
        before = state.get_sums_before(now, WINDOW_S)
        is_moving = state.phase is Phase.MOVING
        fault = find_fault(sums, before, upstream_count, is_moving=is_moving)
        if is_moving and not fault:
            latest = state.get_sums_before(now, MOVING_WINDOW_S)
            fault = find_sudden_failures(sums, latest, upstream_count)
        if fault:
            return state.advise(Action.REVERT, fault)
        summary = f'{rollout.bad} of {rollout.answers} answers were bad'
        if is_moving:
            return state.advise(Action.COMPLETE, summary) if is_over else None
        if may_move and is_good(sums, before, upstream_count):
            return state.advise(Action.MOVE, summary)
        if is_late:
            return state.advise(Action.REVERT, f'not enough evidence in time: {summary}')
        return None


def make_idle_rollouts() -> Rollouts:
    """Return rollouts for a daemon that ignores orders."""
    return Rollouts(RolloutBounds(canary_share=0, canary_allowance=0, rollback_timeout_s=math.inf))
