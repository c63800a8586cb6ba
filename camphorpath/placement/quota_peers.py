"""The reports of other daemons on the quotas of customers."""

from collections.abc import Collection

import attrs

MIN_INTERVAL_S = 0.25
# Intervals after which a daemon that was not heard may be cut off, and its part is left to it.
SILENT_INTERVAL_COUNT = 1.5


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

    @property
    def is_silent(self) -> bool:
        """Whether its part of the buckets is withheld."""
        return self.silent_since is not None

    def is_heard(self, now: float) -> bool:
        """Return whether the reports of the daemon arrive."""
        silent_s = now - self.heard_at
        return self.lost_at is None and silent_s <= SILENT_INTERVAL_COUNT * self.interval_s

    def move_part(self, customer: str, units: float, fill_rate: float, now: float) -> float:
        """Withhold the part of a bucket, or give it back; return the change of the bucket.

        What is given back is the part as if the daemon had used nothing. `units` are its part of
        what is left, and `fill_rate` is that of its part, in units per second.
        """
        if self.silent_since is None:
            # Its last report holds what it claimed for an interval.
            unheard_s = max(now - self.heard_at - self.interval_s, 0)
            self.withheld[customer] = units + fill_rate * unheard_s
            return -self.withheld[customer]
        return self.withheld.get(customer, 0) + fill_rate * (now - self.silent_since)

    def record_change(self, now: float) -> None:
        """Record that the parts of all buckets were withheld, or given back."""
        if self.silent_since is None:
            self.silent_since = now
            return
        self.silent_since = None
        self.withheld.clear()


def compute_reach(peers: Collection[QuotaPeer], host_count: int, now: float) -> float:
    """Return the part of a quota that is for this daemon and those that it hears.

    The others, of `host_count` hosts at least, may be cut off and use the rest.
    """
    heard_count = sum(1 for peer in peers if peer.is_heard(now))
    return (1 + heard_count) / (1 + max(len(peers), host_count))
