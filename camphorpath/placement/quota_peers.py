"""The reports of other daemons on the quotas of customers."""

from collections.abc import Collection, Mapping

import attrs

MIN_INTERVAL_S = 0.25
# Intervals after which a daemon that was not heard may be cut off, and its part is left to it.
SILENT_INTERVAL_COUNT = 1.5


@attrs.frozen(kw_only=True)
class QuotaReport:
    """What a daemon tells the others; both by customer."""

    # Units used since the start of the daemon, and those that are claimed.
    used: dict[str, float]
    # Units per second that callers lately asked for.
    demand: dict[str, float] = attrs.field(factory=dict)
    # Seconds until the next report, for which the units are claimed.
    interval_s: float = MIN_INTERVAL_S


@attrs.frozen
class BucketPart:
    """The bucket of a customer, or a part of it."""

    units: float
    capacity: float
    # Units per second.
    fill_rate: float

    def cut(self, share: float) -> 'BucketPart':
        """Return a share of the bucket."""
        return BucketPart(self.units * share, self.capacity * share, self.fill_rate * share)


@attrs.define
class QuotaPeer:
    """The last report of another daemon incarnation; instants are on the lease clock."""

    # Name of the daemon; empty if unknown.
    name: str = ''
    # Units used by customer; None if the next report is the first one that counts.
    used: dict[str, float] | None = None
    # Units per second asked of the daemon, by customer.
    demand: dict[str, float] = attrs.field(factory=dict)
    interval_s: float = MIN_INTERVAL_S
    heard_at: float = float('-inf')
    # When its heartbeats ceased; None while they arrive.
    lost_at: float | None = None
    # When its part of the buckets was withheld; None while its reports arrive.
    silent_since: float | None = None
    # The units of that part then, by customer.
    withheld: dict[str, float] = attrs.field(factory=dict)
    # Whether its part was ever in the buckets here.
    was_counted: bool = False
    # What the daemon used since, by customer.
    charged: dict[str, float] = attrs.field(factory=dict)

    @property
    def is_silent(self) -> bool:
        """Whether its part of the buckets is withheld."""
        return self.silent_since is not None

    def is_heard(self, now: float) -> bool:
        """Return whether the reports of the daemon arrive."""
        silent_s = now - self.heard_at
        return self.lost_at is None and silent_s <= SILENT_INTERVAL_COUNT * self.interval_s

    def charge(self, known: Mapping[str, float] | None) -> None:
        """Charge what was used since an earlier report to what is withheld.

        Without such a report, the units may have been admitted and refilled long before.
        """
        if known is None or self.used is None:
            return
        for name, units in self.used.items():
            self.charged[name] = self.charged.get(name, 0) + units - known.get(name, 0)

    def move_part(self, customer: str, part: BucketPart, now: float) -> float:
        """Withhold the part of a bucket, or give it back; return the change of the bucket."""
        if self.silent_since is None:
            # Its last report holds what it claimed for an interval.
            unheard_s = max(now - self.heard_at - self.interval_s, 0)
            self.withheld[customer] = part.units + part.fill_rate * unheard_s
            return -self.withheld[customer]
        filled = self.withheld.get(customer, 0) + part.fill_rate * (now - self.silent_since)
        charged = self.charged.get(customer, 0)
        if filled <= charged:
            # Of a daemon that was never heard, the units may have been used before.
            return filled - charged if self.was_counted else 0
        if self.demand.get(customer, 0) <= part.fill_rate:
            return filled - charged
        # Callers ask for more than is filled: all of it may have been used lately, after a time in
        # which the part was full.
        return max(min(filled, part.capacity) - charged, 0)

    def record_change(self, now: float) -> None:
        """Record that the parts of all buckets were withheld, or given back."""
        self.was_counted = True
        if self.silent_since is None:
            self.silent_since = now
            return
        self.silent_since = None
        self.withheld.clear()
        self.charged.clear()


def compute_reach(peers: Collection[QuotaPeer], host_count: int, now: float) -> float:
    """Return the part of a quota that is for this daemon and those that it hears.

    The others, of `host_count` hosts at least, may be cut off and use the rest.
    """
    heard_count = sum(1 for peer in peers if peer.is_heard(now))
    return (1 + heard_count) / (1 + max(len(peers), host_count))
