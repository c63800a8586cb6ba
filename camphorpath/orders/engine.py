"""One engine as the giver of orders knows it."""

import math

import attrs

from ..upstreams import EngineState

FIRST_PAUSE_S = 2.0
MAX_PAUSE_S = 60.0
MAX_DOUBLINGS = 5


@attrs.define(eq=False)
class Engine:
    """The last report of an engine and the order whose result is not known yet.

    A report is decisive if its state is not older than `mark`, the engine's own time in the first
    report that was read after the last order or after the beginning of the term.
    """

    state: EngineState | None = None
    order: str = ''
    mark: float = math.inf
    had_changes: bool = False
    # By the label of a change: how often it was ordered, and the lease clock of the last time.
    _given: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    @property
    def is_settled(self) -> bool:
        """Whether the last report shows the result of every order given before."""
        state = self.state
        return state is not None and state.as_of >= self.mark and not state.loading

    @property
    def is_changing(self) -> bool:
        """Whether an order may be changing the engine."""
        return bool(self.order) or (self.state is not None and not self.is_settled)

    def unsettle(self) -> None:
        """Ignore reports of states before now."""
        self.mark = math.inf

    def take_state(self, state: EngineState) -> None:
        """Take in a report that was asked for after the last order had its outcome."""
        if self.state is None or state.incarnation != self.state.incarnation:
            self.unsettle()
            self._given.clear()
        self.state = state
        if math.isinf(self.mark):
            self.mark = state.now
        if self.is_settled:
            self.order = ''

    def begin_order(self, label: str, order_id: str, now: float) -> None:
        """Take note of an order before it is sent."""
        count, _ = self._given.get(label, (0, now))
        self._given[label] = count + 1, now
        self.order = order_id
        self.had_changes = True
        self.unsettle()

    def may_repeat(self, label: str, now: float) -> bool:
        """Return whether the pause after the last order for a change is over; it doubles."""
        count, given_at = self._given.get(label, (0, now))
        if not count:
            return True
        pause_s = FIRST_PAUSE_S * 2 ** min(count - 1, MAX_DOUBLINGS)
        return now - given_at >= min(pause_s, MAX_PAUSE_S)
