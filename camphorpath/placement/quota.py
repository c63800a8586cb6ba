"""The quota of customers over all daemons.

Answers a customer that sends many times its usual through several daemons at once. Each customer
has a token bucket that every daemon fills alike and drains by what all daemons have admitted; the
use of the others is known with a lag of one heartbeat.

The limit holds for a sliding window: rate times window plus burst. A bucket that is filled at the
rate alone would admit less than that under lasting demand, so it is filled faster, such that no
window exceeds the limit by more than a part of the stated tolerance.
"""

import attrs

from ..routing import Customer

# The part of the tolerance that steady use may take; the rest is for the lag of heartbeats.
TOLERANCE_SHARE = 0.33
# Share of the burst that a call leaves to others, for each step of priority below the highest.
RESERVED_SHARE = 0.15
MAX_RESERVED_SHARE = 0.5


@attrs.frozen(kw_only=True)
class QuotaBounds:
    """How the use of a customer is measured."""

    # The window slides; its length in seconds.
    window_s: float
    # A window may exceed the limit by this share of it, and by so many units beside.
    overshoot: float
    allowance: float


@attrs.define
class _Bucket:
    """Units that may be admitted now; negative when daemons admitted too much together."""

    level: float
    filled_at: float


@attrs.define
class QuotaLedger:
    """What a daemon knows of the use of all customers."""

    bounds: QuotaBounds
    # Whether buckets begin full: only if nothing can have been admitted before.
    starts_full: bool
    # Units admitted by this daemon since its start, by customer.
    used: dict[str, float] = attrs.field(factory=dict)
    _buckets: dict[str, _Bucket] = attrs.field(factory=dict)
    # Units reported by other incarnations, by incarnation and customer.
    _reported: dict[str, dict[str, float]] = attrs.field(factory=dict)
    _started_at: float | None = None

    def admit(self, customer: Customer, units: float, now: float, priority: int = 0) -> float:
        """Take units from the quota and return 0, or return the seconds until they are there.

        Calls leave a part of the burst to those of a more urgent priority: 0 is the most urgent.
        """
        if customer.rate <= 0:
            return 0
        bucket = self._fill(customer, now)
        # A request above the burst would never be admitted; it may use a full bucket.
        needed = min(units, customer.burst)
        needed += customer.burst * min(RESERVED_SHARE * priority, MAX_RESERVED_SHARE)
        needed = min(needed, customer.burst)
        if bucket.level < needed:
            return (needed - bucket.level) / self._fill_rate(customer)
        bucket.level -= units
        self.used[customer.name] = self.used.get(customer.name, 0) + units
        return 0

    def give_back(self, customer: Customer, units: float) -> None:
        """Return the units of a request that did not run."""
        if customer.rate <= 0:
            return
        bucket = self._buckets.get(customer.name)
        if bucket is not None:
            bucket.level = min(bucket.level + units, customer.burst)
        self.used[customer.name] = self.used.get(customer.name, 0) - units

    def take_report(self, incarnation: str, used: dict[str, float]) -> None:
        """Take in the units that another daemon has admitted since its start."""
        known = self._reported.get(incarnation)
        self._reported[incarnation] = dict(used)
        if known is None:
            # When the first units were admitted is not known; they may be long refilled.
            return
        for name, units in used.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.level -= units - known.get(name, 0)

    def forget(self, incarnation: str) -> None:
        """Drop the reports of an incarnation that has ended."""
        self._reported.pop(incarnation, None)

    def start(self, now: float) -> None:
        """Begin to fill the buckets at `now`, also those of customers that are not known yet."""
        self._started_at = now

    def _fill(self, customer: Customer, now: float) -> _Bucket:
        if self._started_at is None:
            self._started_at = now
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            level = customer.burst if self.starts_full else 0
            bucket = _Bucket(level, self._started_at)
            self._buckets[customer.name] = bucket
        grown = bucket.level + (now - bucket.filled_at) * self._fill_rate(customer)
        # A quota that was lowered takes effect at once.
        bucket.level = min(grown, customer.burst)
        bucket.filled_at = now
        return bucket

    def _fill_rate(self, customer: Customer) -> float:
        bounds = self.bounds
        limit = customer.rate * bounds.window_s + customer.burst
        tolerance = bounds.overshoot * limit + bounds.allowance
        most = limit + TOLERANCE_SHARE * tolerance
        return max((most - customer.burst) / bounds.window_s, customer.rate)
