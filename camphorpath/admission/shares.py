"""Weighted fair queueing among the customers of one pool and tier, by served tokens."""

import attrs

MIN_WEIGHT = 0.01


@attrs.define
class Shares:
    """Virtual time of each customer: its served tokens divided by its weight.

    Requests compete for slots only within their pool and tier. If tokens served elsewhere counted,
    a customer that begins to wait would start at the virtual time of the busiest pool or tier and
    starve. `_floor` is the highest virtual time at which a customer was granted a slot.
    """

    _served: dict[str, float] = attrs.field(factory=dict)
    _floor: float = 0

    def activate(self, customer: str) -> None:
        """Raise a customer that had no waiting requests to the virtual time of the others.

        Otherwise a customer that was idle for an hour would exclude the others until it had caught
        up on the whole hour.
        """
        self._served[customer] = max(self._served.get(customer, 0), self._floor)

    def charge(self, customer: str, tokens: float, weight: float) -> None:
        """Count tokens as served; a negative number corrects an earlier estimate."""
        self._served[customer] = self._served.get(customer, 0) + tokens / max(weight, MIN_WEIGHT)

    def virtual_time(self, customer: str) -> float:
        """Return the served tokens of one customer divided by its weight."""
        return self._served.get(customer, 0)

    def raise_floor(self, customer: str) -> None:
        """Raise the floor to the virtual time of `customer`, the least served of those waiting."""
        self._floor = max(self._floor, self.virtual_time(customer))
