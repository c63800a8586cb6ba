"""What one daemon knows of the quota of a customer."""

import math

import attrs

from ..routing import Customer

# Time constant of the demand: several heartbeats, so that shares do not follow single calls.
DEMAND_TIME_S = 1.0


@attrs.define
class Account:
    """The state of one customer at this daemon, in units."""

    customer: Customer
    # What no daemon has used or claimed; negative after the daemons together took too much.
    level: float
    filled_at: float
    # What this daemon has claimed and not used; negative after a call above the burst.
    claimed: float = 0
    # What other daemons have taken since the last claim.
    taken_by_others: float = 0
    # Units needed by the largest call that lacked units since the last claim.
    lacking: float = 0
    # Share of this daemon, and what was left in the bucket, after the last claim.
    share: float = 0
    left: float = 0
    claimed_at: float = 0
    # What this daemon took from the bucket since then.
    drawn: float = 0
    # Units per second asked of this daemon at `demand_at`, and of the others.
    demand: float = 0
    demand_at: float = 0
    others_demand: float = 0
    # Last arrival by priority.
    arrived_at: dict[int, float] = attrs.field(factory=dict)

    def decay_demand(self, now: float) -> float:
        """Return the demand in units per second at `now`."""
        self.demand *= math.exp(min(self.demand_at - now, 0) / DEMAND_TIME_S)
        self.demand_at = max(now, self.demand_at)
        return self.demand

    def apply_change(self, units: float, reach_change: float) -> None:
        """Add the parts of daemons that are heard again, or take off those of silent ones.

        `reach_change` is the part of the bucket that is for all that were heard before, divided by
        the part that is for those that are heard now.
        """
        self.level += units
        self.left = max(self.left + units, 0)
        # The share in the larger bucket is that of the same units.
        self.share *= min(reach_change, 1)
