"""State that a daemon keeps about an engine to which it gives orders."""

import math

import attrs

from ..upstreams import EngineState

FIRST_REPEAT_DELAY_S = 2.0
MAX_REPEAT_DELAY_S = 60.0
MAX_DOUBLINGS = 5


@attrs.define(eq=False)
class EngineRecord:
    """The last reported state of an engine and the order whose result is not known yet.

    A reported state is decisive, i.e. it shows the results of all orders, if it is not older than
    `decisive_from`: the engine's own time in the first report that was read after the last order
    or after the start of the lease term.
    """

    state: EngineState | None = None
    pending_order_id: str = ''
    decisive_from: float = math.inf
    had_changes: bool = False
    # By label of a change: the number of orders, and the lease clock at the last one.
    _orders_by_label: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    @property
    def is_state_decisive(self) -> bool:
        """Whether the last reported state shows the result of every order given before."""
        state = self.state
        return state is not None and state.as_of >= self.decisive_from and not state.loading

    @property
    def is_changing(self) -> bool:
        """Whether an order may be changing the engine."""
        return bool(self.pending_order_id) or (
            self.state is not None and not self.is_state_decisive
        )

    def invalidate_state(self) -> None:
        """Treat states from before the next report as not decisive."""
        self.decisive_from = math.inf

    def apply_state(self, state: EngineState) -> None:
        """Apply a state that was requested after the last order was answered or had failed."""
        if self.state is None or state.incarnation != self.state.incarnation:
            self.invalidate_state()
            self._orders_by_label.clear()
        self.state = state
        if math.isinf(self.decisive_from):
            self.decisive_from = state.now
        if self.is_state_decisive:
            self.pending_order_id = ''

    def record_order(self, label: str, order_id: str, now: float) -> None:
        """Record an order that is about to be sent."""
        count, _ = self._orders_by_label.get(label, (0, now))
        self._orders_by_label[label] = count + 1, now
        self.pending_order_id = order_id
        self.had_changes = True
        self.invalidate_state()

    def may_repeat(self, label: str, now: float) -> bool:
        """Return whether a change may be ordered again; the delay doubles with each order."""
        count, last_ordered_at = self._orders_by_label.get(label, (0, now))
        if not count:
            return True
        delay_s = FIRST_REPEAT_DELAY_S * 2 ** min(count - 1, MAX_DOUBLINGS)
        return now - last_ordered_at >= min(delay_s, MAX_REPEAT_DELAY_S)
