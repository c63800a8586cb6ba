"""The orders that one daemon knows, with their phases and evidence.

Load pattern: a new version of a service that fails or is slow from its start, some seconds later,
under load or on one route only, while calls arrive at many daemons.
"""

import math
from collections.abc import Callable, Iterable

import attrs

from ..placement.records import WaitingCall
from ..placement.slots import Slots
from ..routing import Upstream
from .records import Advice, Phase, Rollout, RolloutBounds, RolloutOrder, Tally


def _get_unknown_time_limit(_service: str) -> float:
    return math.inf


@attrs.define
class Rollouts:
    """The orders of one daemon; instants are in seconds on the lease clock."""

    bounds: RolloutBounds
    # Returns the longest time limit of the routes to a service in seconds; infinite if unknown.
    get_time_limit: Callable[[str], float] = _get_unknown_time_limit
    _rollouts: dict[str, Rollout] = attrs.field(factory=dict)

    def start(self, order: RolloutOrder, now: float) -> bool:
        """Begin an order unless one of the same or a newer revision is known; return whether."""
        known = self._rollouts.get(order.service)
        if known is not None and known.order.revision >= order.revision:
            return False
        self._rollouts[order.service] = Rollout(order, phase_since=now)
        return True

    def cancel(self, service: str, now: float) -> None:
        """Forget the order of a service, whose row was removed."""
        self._rollouts.pop(service, None)

    def get(self, service: str) -> Rollout | None:
        """Return the newest order of a service with its phase and counts; None without one."""
        return self._rollouts.get(service)

    def apply_phase(self, service: str, revision: int, phase: Phase, now: float) -> bool:
        """Apply a phase from the store or a peer; return whether it changed the phase.

        Phases only go forward. COMPLETED replaces REVERTED, because COMPLETED is applied after it
        was stored only, and a REVERTED that was not stored is void then.
        """
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.order.revision != revision:
            return False
        rollout.phase = phase
        rollout.phase_since = now
        return True

    def share_tallies(self) -> list[Tally]:
        """Return this daemon's counts for its heartbeat."""
        return []

    def apply_tallies(self, incarnation: str, tallies: Iterable[Tally]) -> None:
        """Adopt the cumulative counts of a peer; those of an ended peer are kept."""

    def update(self, now: float, active_count: int) -> list[Advice]:
        """Judge the orders, with so many daemons that take calls.

        Applies REVERT itself before it returns it, once. Returns MOVE and COMPLETE at each update
        until the phase is applied by `apply_phase`, since only the writer applies them.
        """
        return []

    def list_allowed(self, call: WaitingCall, group: list[Slots]) -> list[Slots]:
        """Return the upstreams of a group of one service to which a call may be sent now."""
        return group

    def record_send(self, upstream: Upstream) -> None:
        """Count a request that was sent to an upstream."""

    def record_answer(
        self, upstream: Upstream, route: str, is_bad: bool, latency_ratio: float | None
    ) -> None:
        """Count an answer, bad if it was a server error or broken.

        `latency_ratio` is the time to its first byte relative to the time that the prompt takes by
        default; None if it was not measured.
        """
