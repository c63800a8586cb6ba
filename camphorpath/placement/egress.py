"""Decides when a waiting call leaves its region for a slot that another region lends.

Answers demand and upstreams that are unevenly distributed over regions: calls are late or refused
in one while slots are free in another. Traffic between regions is slower and costs money, so a call
that waits stays if it can be served in time at home. Home is the region of the daemon.
"""

import collections
import math
from collections.abc import Callable, Iterable, Mapping

import attrs

from ..routing import Upstream
from .records import WaitingCall
from .slots import Slots

# Time to connect to an upstream in another zone or region, until it was measured.
OTHER_ZONE_CONNECT_S = 0.02
OTHER_REGION_CONNECT_S = 0.06
# Weight of a new measurement: a lost packet makes a single one much longer.
CONNECT_EWMA_WEIGHT = 0.1
# Price of traffic between regions as waiting time, the default `region_price` of docs/operators.md.
# Bytes between the zones of a region cost about a quarter of it.
REGION_PRICE_S_PER_MB = 1.0
ZONE_PRICE_S_PER_MB = 0.25
# A connection with a window of 256 KiB carries this over the 16 ms between regions.
REGION_LINK_MB_PER_S = 16.0
# An event of four tokens has about 200 bytes.
BYTES_PER_OUTPUT_TOKEN = 50
BYTES_PER_MB = 1e6
# Waiting time that a late or refused call of the most urgent rank counts for: far more than its
# bytes. As in the deployments, a call of the next rank is worth half of it.
LATE_COST_S = 4.0
RANK_VALUE_RATIO = 0.5
# Several borrowers learn at once of slots that are lent to all; until the next report each takes at
# most this share of those of a region, or MIN_PART: the owner lends only half of its free slots to
# all. Slots that are lent to one daemon are its.
MAX_SHARE_PER_REPORT = 0.5
MIN_PART = 2
REPORT_INTERVAL_S = 0.25
# While calls leave, calls stay again only if they can be served at home this much before they would
# be late: otherwise the first ones that stay fill the queue, and the next ones leave.
RETURN_MARGIN_S = 0.1
# A service without departures for this time has ceased to leave.
RETURN_AFTER_S = 3.0


@attrs.frozen
class EgressChange:
    """Calls of a service begin or cease to leave the region."""

    service: str
    is_leaving: bool
    # Calls that left: the one that began it, or all since then.
    departures: int
    # Regions that they left for.
    regions: tuple[str, ...]


@attrs.define
class _Departures:
    """The calls of one service that left for each region, since the first one."""

    count: int = 0
    last_at: float = -math.inf
    # Instants of the last REPORT_INTERVAL_S, by region.
    recent: dict[str, list[float]] = attrs.field(factory=dict)

    def count_recent(self, region: str, now: float) -> int:
        """Return how many calls left for a region since about the last report."""
        kept = [at for at in self.recent.get(region, ()) if at > now - REPORT_INTERVAL_S]
        self.recent[region] = kept
        return len(kept)


@attrs.define(kw_only=True)
class Egress:
    """The distances from one daemon, and the calls that left its region."""

    zone: str
    regions: Mapping[str, str]
    # Otherwise a call takes any lent slot, and another zone costs the times before measurements.
    is_enabled: bool = True
    # Moving average of the seconds to connect, by zone.
    _connect_s: dict[str, float] = attrs.field(factory=dict)
    _departures: dict[str, _Departures] = attrs.field(factory=dict)
    _changes: list[EgressChange] = attrs.field(factory=list)

    def record_connect(self, upstream: Upstream, seconds: float) -> None:
        """Add the time that a connection to an upstream took to open."""
        known = self._get_connect_s(upstream.zone)
        self._connect_s[upstream.zone] = known + CONNECT_EWMA_WEIGHT * (seconds - known)

    def classify(self, upstream: Upstream) -> str:
        """Return the distance of an upstream: same_zone, same_region or other_region."""
        if upstream.zone == self.zone:
            return 'same_zone'
        return 'same_region' if self.is_home(upstream) else 'other_region'

    def is_home(self, upstream: Upstream) -> bool:
        """Return whether an upstream is in the region of the daemon."""
        return self._is_home(upstream.zone)

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether a call at an upstream leaves the region by decision."""
        return self.is_enabled and not self.is_home(upstream)

    def estimate_delay(self, call: WaitingCall, upstream: Upstream) -> float:
        """Return the seconds that the way to an upstream adds to the first byte of a call."""
        if upstream.zone == self.zone:
            return 0
        link_s = 0 if self.is_home(upstream) else _count_mb(call) / REGION_LINK_MB_PER_S
        return self._get_connect_s(upstream.zone) + link_s

    def estimate_price(self, call: WaitingCall, upstream: Upstream) -> float:
        """Return the price of the bytes of a call at an upstream, in seconds of waiting time."""
        if upstream.zone == self.zone:
            return 0
        price_s = ZONE_PRICE_S_PER_MB if self.is_home(upstream) else REGION_PRICE_S_PER_MB
        return _count_mb(call) * price_s

    def estimate_cost(self, call: WaitingCall, upstream: Upstream) -> float:
        """Return the cost in seconds of the way to an upstream: its delay and its price."""
        if self.is_enabled:
            return self.estimate_delay(call, upstream) + self.estimate_price(call, upstream)
        if upstream.zone == self.zone:
            return 0
        return OTHER_ZONE_CONNECT_S if self.is_home(upstream) else OTHER_REGION_CONNECT_S

    def select(
        self,
        call: WaitingCall,
        usable: Iterable[Slots],
        estimate_home_wait: Callable[[WaitingCall, float], float],
        now: float,
    ) -> list[Slots]:
        """Return the usable upstreams that a call may take now.

        With an idle slot at home all may be taken: their costs, which contain the distance and the
        price, tell whether a faster upstream elsewhere pays. Without one, the wait at home is
        estimated, and the call may leave if it should, for regions of which this daemon has not
        taken its part since the last report.
        """
        allowed = [slots for slots in usable if slots.accepts(call)]
        if not allowed or call.is_bound or not self.is_enabled:
            # The caller of the rest of a begun stream holds a part of the answer.
            return allowed
        home = [slots for slots in allowed if self.is_home(slots.upstream)]
        away = self._list_away(call, allowed, now)
        if home:
            return home + away
        home_wait_s = estimate_home_wait(call, now)
        if math.isinf(home_wait_s):
            # No upstream here can run the call, so that it has nothing to wait for.
            return allowed
        return [slots for slots in away if self._pays(call, slots.upstream, home_wait_s, now)]

    def measure_home_share(self, call: WaitingCall, group: Iterable[Slots]) -> float:
        """Return the share of this daemon's running calls that run in its region.

        Slots become free here in proportion to it. It is 0 if no upstream here may run the call.
        Without a running call here, one is assumed beside those elsewhere, as the calls that end
        there free no slot here.
        """
        home, total = 0, 0
        has_home = False
        for slots in group:
            if has_home and not slots.running:
                continue
            total += len(slots.running)
            if self.is_home(slots.upstream):
                home += len(slots.running)
                has_home = has_home or slots.could_run(call)
        if not has_home:
            return 0
        return home / total if home else 1 / (total + 1)

    def record_placement(self, call: WaitingCall, upstream: Upstream, now: float) -> None:
        """Count a call that was placed, if it left the region."""
        if self.is_home(upstream):
            return
        region = self._get_region(upstream.zone)
        departures = self._departures.setdefault(call.service, _Departures())
        if not departures.count:
            self._changes.append(EgressChange(call.service, True, 1, (region,)))
        departures.count += 1
        departures.last_at = now
        # Also drops the older instants: a call that leaves without a limit counts none.
        departures.count_recent(region, now)
        departures.recent[region].append(now)

    def pop_changes(self, now: float) -> list[EgressChange]:
        """Return for which services calls began or ceased to leave since the last time."""
        changes = self._changes
        self._changes = []
        for service, departures in list(self._departures.items()):
            if departures.last_at > now - RETURN_AFTER_S:
                continue
            self._departures.pop(service)
            regions = tuple(sorted(departures.recent))
            changes.append(EgressChange(service, False, departures.count, regions))
        return changes

    def _list_used_up(
        self, departures: _Departures, allowed: Iterable[Slots], now: float
    ) -> frozenset[str]:
        """Return the regions of whose lent slots no part is left until the next report.

        It is determined once for each call, as a region may lend slots of thousands of upstreams.
        """
        lent: collections.Counter[str] = collections.Counter()
        lent_to_all: collections.Counter[str] = collections.Counter()
        for slots in allowed:
            counts = lent_to_all if slots.is_lent_to_all else lent
            counts[self._get_region(slots.upstream.zone)] += slots.count_free(now)
        used_up = set()
        for region, free in lent_to_all.items():
            taken = departures.count_recent(region, now)
            part = max(math.ceil((free + taken) * MAX_SHARE_PER_REPORT), MIN_PART)
            if not lent[region] and taken >= part:
                used_up.add(region)
        return frozenset(used_up)

    def _list_away(self, call: WaitingCall, allowed: list[Slots], now: float) -> list[Slots]:
        """Return the upstreams of the other regions of which a part of the lent slots is left."""
        departures = self._departures.get(call.service)
        used_up = self._list_used_up(departures, allowed, now) if departures else frozenset()
        return [
            slots
            for slots in allowed
            if not self.is_home(slots.upstream)
            and self._get_region(slots.upstream.zone) not in used_up
        ]

    def _pays(self, call: WaitingCall, upstream: Upstream, home_wait_s: float, now: float) -> bool:
        """Return whether a call without a free slot at home should leave for an upstream."""
        departures = self._departures.get(call.service)
        is_leaving = departures is not None and departures.last_at > now - RETURN_AFTER_S
        delay_s = self.estimate_delay(call, upstream)
        price_s = self.estimate_price(call, upstream)
        return should_leave(call, home_wait_s, delay_s, price_s, now, is_leaving=is_leaving)

    def _get_connect_s(self, zone: str) -> float:
        default_s = OTHER_ZONE_CONNECT_S if self._is_home(zone) else OTHER_REGION_CONNECT_S
        return self._connect_s.get(zone, default_s)

    def _get_region(self, zone: str) -> str:
        return self.regions.get(zone, zone)

    def _is_home(self, zone: str) -> bool:
        return self._get_region(zone) == self._get_region(self.zone)


def should_leave(
    call: WaitingCall,
    home_wait_s: float,
    delay_s: float,
    price_s: float,
    now: float,
    *,
    is_leaving: bool,
) -> bool:
    """Return whether a call leaves the region for a free slot there.

    It does if it would be late or refused at home, and what it gains is worth more than its bytes.
    """
    margin_s = RETURN_MARGIN_S if is_leaving else 0
    # A call that waited here until it is late would be late there as well.
    if now + home_wait_s + delay_s + margin_s <= call.latest_start_at:
        return False
    gain_s = home_wait_s - delay_s
    is_late_there = now + delay_s > call.latest_start_at
    is_refused_here = now + home_wait_s > call.wait_until
    if is_refused_here or not is_late_there:
        gain_s += LATE_COST_S * RANK_VALUE_RATIO ** call.rank[1]
    return gain_s > price_s


def _count_mb(call: WaitingCall) -> float:
    return (call.body_bytes + call.output_tokens * BYTES_PER_OUTPUT_TOKEN) / BYTES_PER_MB
