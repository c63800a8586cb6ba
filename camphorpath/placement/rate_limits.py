"""The rates of requests that upstreams allow, as they state them in their answers."""

import math

import attrs


@attrs.define
class RateLimit:
    """The newest statement of an upstream on the rate that it takes from all daemons together."""

    # Requests per second; infinite while the upstream states no limit.
    rate: float = math.inf
    # Instant of the newest statement, on the lease clock; none counts before the first limit.
    stated_at: float = -math.inf

    @property
    def is_limited(self) -> bool:
        """Whether the upstream states a limit."""
        return math.isfinite(self.rate)

    def record(self, rate: float, stated_at: float) -> bool:
        """Apply a statement if it is the newest; return whether the rate changed.

        An infinite rate ends a limit. As answers can overtake each other, an answer without a limit
        is dated by the send of its request, and one with a limit by its arrival.
        """
        if stated_at < self.stated_at or (rate == math.inf and not self.is_limited):
            return False
        self.stated_at = stated_at
        is_changed = rate != self.rate
        self.rate = rate
        return is_changed
