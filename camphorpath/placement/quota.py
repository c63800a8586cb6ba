"""Quotas of customers across all daemons.

Limits a customer that sends many times its typical load through several daemons at once, without
refusing one whose bursts move from daemon to daemon. The limit applies to a sliding window and is
rate times window plus burst.

All daemons keep the same account of each customer: a token bucket that fills at a common rate. Each
heartbeat reports the units used. A daemon that is not heard may be cut off and take calls, so that
each side of a cut keeps to its part of the bucket, by its number of daemons. What a flood uses
before the others hear of it grows with the interval of heartbeats, which grows with the fleet. As
long as the tolerance holds that much, calls are admitted from the bucket directly.

Otherwise, and until a daemon that starts has heard the others, calls are admitted from units that
the daemon claimed before. With each heartbeat it returns what is left of its last claim, claims its
share of the bucket anew and reports the sum of what it has used and claimed. So the use of a daemon
is known before it happens, also if the daemon is killed or frozen afterwards. The shares follow the
units that callers ask of each daemon. Between two heartbeats it claims no more than its share of
what was left and of what is filled since.

A bucket that is filled at the rate alone would admit less than the limit under sustained demand, so
it is filled faster and holds more than the burst, by the part of the tolerance that the lag of
heartbeats leaves.
"""

import math
from collections.abc import Iterable

import attrs

from ..routing import Customer
from .quota_accounts import DEMAND_TIME_S, Account
from .quota_peers import MIN_INTERVAL_S, BucketPart, QuotaPeer, QuotaReport, compute_reach

# Demand of a flood, as a multiple of the rate: a customer that sends eight times its typical load.
FLOOD_FACTOR = 8.0
# Part of the tolerance that sustained demand may take while calls are admitted from the bucket
# directly; the rest is for what daemons do not know of each other.
DIRECT_TOLERANCE_SHARE = 0.33
# Part of the tolerance that is left to calls larger than the burst, which overdraw the bucket.
OVERDRAFT_SHARE = 0.25
# Share of the burst that a call leaves to more urgent ones, per step of priority below the highest.
RESERVED_SHARE_PER_PRIORITY = 0.15
MAX_RESERVED_SHARE = 0.5
# The reserve is held for this time after the last more urgent call. Urgent traffic that pauses for
# longer finds the bucket refilled by at least as much in these seconds.
RESERVE_HOLD_S = 2.0
# Part of each bucket that is shared equally, so that a call finds some units at any daemon.
EQUAL_SHARE = 0.2
# Part that is claimed by all daemons together of a bucket for which none has demand: a burst at one
# daemon finds the rest at its next heartbeat.
IDLE_SHARE = 0.5
# Largest part of the equal shares of daemons that take no calls, while others do: with 420 daemons
# of which a few take calls, equal parts for all leave these with less than one call each.
IDLE_DAEMONS_SHARE = 0.25
# Reports with demand after which a daemon takes its share as one that takes calls. By then it has
# heard from those that began at the same time.
TAKING_REPORT_COUNT = 3
# Units a second below which a daemon has no demand.
MIN_DEMAND = 1e-3
# A daemon that starts or was frozen claims at most this share until it has heard from the others.
START_SHARE = 0.1
SETTLE_INTERVAL_COUNT = 3
# Intervals after which a daemon that reported nothing counts as frozen; the others count it as lost
# by then and share its part.
FROZEN_INTERVAL_COUNT = 4
# Windows for which its part is left to a daemon that is not heard, unless it has ended. No sign
# tells a daemon that is gone for good from one that is cut off for longer.
LOST_WINDOW_COUNT = 3
# Largest part of a bucket that one call has to claim; with more, it would wait for all others.
MAX_CLAIM_SHARE = 0.6


@attrs.frozen(kw_only=True)
class QuotaBounds:
    """Window and tolerance of the quotas."""

    # Length of the sliding window.
    window_s: float
    # A window may exceed the limit by this share of it plus `allowance` units.
    overshoot: float
    allowance: float


@attrs.frozen(kw_only=True)
class _Limits:
    """The limits of the bucket of one customer."""

    # What they were computed from.
    key: tuple[float, ...]
    # Units per second for the daemons that are heard, as is the capacity, in units.
    fill_rate: float
    capacity: float
    # The largest call.
    max_units: float
    # Whether calls are admitted from claims, instead of from the bucket directly.
    uses_claims: bool


@attrs.define
class QuotaLedger:
    """Usage of all customers as known to one daemon; instants are on the lease clock."""

    bounds: QuotaBounds
    # Whether the deployment starts for the first time. Otherwise the usage before the start of this
    # daemon is unknown, and its buckets start empty.
    starts_full: bool
    # Units admitted by this daemon, by customer.
    used: dict[str, float] = attrs.field(factory=dict)
    _accounts: dict[str, Account] = attrs.field(factory=dict)
    _limits: dict[str, _Limits] = attrs.field(factory=dict)
    _peers: dict[str, QuotaPeer] = attrs.field(factory=dict)
    # The peers that are heard, among which the buckets are shared.
    _sharers: list[QuotaPeer] = attrs.field(factory=list)
    # The part of the buckets that is for them and this daemon.
    _reach: float = 1
    # Other daemons that this one knows by their addresses, heard or not.
    _host_count: int = 0
    # How many of them, and of this daemon, take calls.
    _taking_count: int = 0
    # Latest reports of this daemon that stated demand, without a gap.
    _demand_report_count: int = 0
    _started_at: float | None = None
    # What is withheld for each other daemon since its first report, by customer, and since when.
    _withheld: dict[str, float] = attrs.field(factory=dict)
    _withheld_at: float = 0
    # Until then, this daemon may not have heard from all others.
    _settled_at: float = -math.inf
    _reported_at: float = -math.inf
    _interval_s: float = MIN_INTERVAL_S
    # Whether other daemons use the buckets, too.
    _is_shared: bool = False
    # Whether this daemon has heard of them since it started or was frozen.
    _is_settled: bool = True

    def admit(self, customer: Customer, units: float, now: float, priority: int = 0) -> float:
        """Take the units of a call that arrives and return 0, or the seconds until it gets them.

        The seconds are infinite for a call that is too large for the quota. Calls leave a part of
        the burst for those of a more urgent priority that came lately; 0 is the most urgent.
        """
        self.record_arrival(customer, units, now, priority)
        if self.take(customer, units, now, priority):
            return 0
        return self.estimate_wait(customer, units, now, priority)

    def record_arrival(
        self, customer: Customer, units: float, now: float, priority: int = 0
    ) -> None:
        """Count the units of a call in the demand of its customer, whether or not it gets them."""
        if customer.rate <= 0:
            return
        account = self._get_account(customer, now)
        account.decay_demand(now)
        account.demand += units / DEMAND_TIME_S
        account.arrived_at[priority] = now

    def take(self, customer: Customer, units: float, now: float, priority: int = 0) -> bool:
        """Take the units of a call; return whether there were enough."""
        if customer.rate <= 0:
            return True
        account = self._get_account(customer, now)
        self._fill(account, now)
        if units > self._get_limits(customer).max_units:
            return False
        uses_claims = self._get_limits(customer).uses_claims
        needed = self._count_needed(account, units, now, priority)
        missing = needed - self._get_available(account, now)
        if uses_claims and 0 < missing <= self._get_drawable(account, now):
            account.level -= missing
            account.claimed += missing
            account.drawn += missing
        elif missing > 0:
            account.lacking = max(account.lacking, needed)
            return False
        if uses_claims:
            account.claimed -= units
        else:
            account.level -= units
        self.used[customer.name] = self.used.get(customer.name, 0) + units
        return True

    def estimate_wait(
        self, customer: Customer, units: float, now: float, priority: int = 0, ahead: float = 0
    ) -> float:
        """Return the seconds until a call gets its units; infinite if it is too large.

        `ahead` is the sum of the units of the calls that are admitted before it.
        """
        if units > self._get_limits(customer).max_units:
            return math.inf
        account = self._get_account(customer, now)
        self._fill(account, now)
        missing = self._count_needed(account, units, now, priority) + ahead
        missing -= self._get_available(account, now)
        rate = self._get_limits(customer).fill_rate
        if not self._is_settled:
            # The others may be about to start, too, rather than be cut off.
            rate /= self._reach
        if missing <= 0 or not self._get_limits(customer).uses_claims:
            return max(missing, 0) / rate
        # The rest is claimed from the next report on, with the demand known by then.
        share = self._get_share(account, now)
        until_report_s = max(self._reported_at + self._interval_s - now, 0)
        claim_wait_s = until_report_s + max(missing / share - max(account.level, 0), 0) / rate
        if self._is_frozen(now) or not account.share:
            return claim_wait_s
        undrawn = missing - self._get_drawable(account, now)
        return min(claim_wait_s, max(undrawn, 0) / account.share / rate)

    def refund(self, customer: Customer, units: float) -> None:
        """Give the units of a request that did not run back to the quota."""
        if customer.rate <= 0:
            return
        account = self._accounts.get(customer.name)
        if account is not None and self._get_limits(account.customer).uses_claims:
            account.claimed += units
        elif account is not None:
            capacity = self._get_limits(account.customer).capacity
            account.level = min(account.level + units, capacity)
        self.used[customer.name] = self.used.get(customer.name, 0) - units

    def make_report(self, now: float, interval_s: float, host_count: int = 0) -> QuotaReport:
        """Claim units until the next report, `interval_s` later, and return the report to send.

        Of the `host_count` other daemons, some may not have been heard since the start.
        """
        self._host_count = host_count
        if self._is_frozen(now):
            self._forget_others(now)
        self._interval_s = max(interval_s, MIN_INTERVAL_S)
        if self._settled_at == math.inf:
            self._withhold_others(now)
            self._settled_at = now + SETTLE_INTERVAL_COUNT * self._interval_s
        self._reported_at = now
        self._choose_sharers(now)
        for account in self._accounts.values():
            self._claim(account, now)
        accounts = self._accounts.items()
        used = {name: self.used.get(name, 0) + account.claimed for name, account in accounts}
        demand = {name: account.demand for name, account in accounts if account.demand > MIN_DEMAND}
        self._demand_report_count = self._demand_report_count + 1 if demand else 0
        # Customers that are no longer in the manifest stay counted for peers with an older one.
        return QuotaReport(used={**self.used, **used}, demand=demand, interval_s=self._interval_s)

    def apply_report(
        self, incarnation: str, report: QuotaReport, now: float, name: str = ''
    ) -> None:
        """Apply the last report of another daemon, of which `name` is the name if it is known.

        Its incarnations that are not heard are forgotten: they have ended, and are not cut off.
        """
        peer = self._peers.get(incarnation) or self._add_peer(incarnation, name, now)
        known = peer.used
        peer.used = report.used
        peer.demand = {name: max(demand, 0) for name, demand in report.demand.items()}
        peer.interval_s = max(report.interval_s, MIN_INTERVAL_S)
        peer.heard_at = now
        peer.lost_at = None
        if peer.is_silent or known is None:
            # What it used since it was heard comes from what was withheld for it.
            peer.charge(known)
            self._update_reach(now)
            return
        for name, units in report.used.items():
            account = self._accounts.get(name)
            taken = units - known.get(name, 0)
            if account is None or not taken:
                continue
            self._fill(account, now)
            capacity = self._get_limits(account.customer).capacity
            account.level = min(account.level - taken, capacity)
            account.taken_by_others += taken

    def _add_peer(self, incarnation: str, name: str, now: float) -> QuotaPeer:
        for other, known_peer in list(self._peers.items()):
            if name and known_peer.name == name and not known_peer.is_heard(now):
                self._peers.pop(other)
        peer = QuotaPeer(name)
        if not self._is_settled:
            # Its part is withheld since the first report; what it used comes from that.
            peer = QuotaPeer(name, {}, silent_since=self._withheld_at, withheld={**self._withheld})
        self._peers[incarnation] = peer
        return peer

    def remove_daemon(self, incarnation: str, now: float, *, has_ended: bool = False) -> None:
        """Mark a daemon incarnation as lost; its part is left to it until it must have ended.

        If it is heard again within that time, what it used meanwhile counts.
        """
        peer = self._peers.get(incarnation)
        if peer is not None and has_ended:
            self._peers.pop(incarnation)
        elif peer is not None and peer.lost_at is None:
            peer.lost_at = now

    def start(self, now: float) -> None:
        """Start filling the buckets at `now`, including those of customers not seen yet.

        Until the other daemons have been heard, only small parts are claimed.
        """
        self._started_at = now
        self._settled_at = math.inf
        self._is_shared = True
        self._is_settled = False

    def get_demand(self, name: str) -> float:
        """Return the units per second that callers lately asked of all daemons for a customer.

        It is 0 for a customer that is not known or has no quota.
        """
        account = self._accounts.get(name)
        return account.demand + max(account.others_demand, 0) if account else 0

    def get_current(self, customer: Customer) -> Customer:
        """Return a customer as in the last manifest; unchanged if that does not limit it."""
        account = self._accounts.get(customer.name)
        return account.customer if account else customer

    def set_customers(self, customers: Iterable[Customer], now: float) -> None:
        """Apply the customers of a manifest; a lowered rate or burst takes effect at once."""
        limited = {customer.name: customer for customer in customers if customer.rate > 0}
        for name in self._accounts.keys() - limited.keys():
            self._accounts.pop(name)
        for customer in limited.values():
            self._fill(self._get_account(customer, now), now)

    def _get_account(self, customer: Customer, now: float) -> Account:
        if self._started_at is None:
            self._started_at = now
        account = self._accounts.get(customer.name)
        if account is None:
            level = customer.burst if self.starts_full else 0
            account = Account(customer, level * self._reach, self._started_at)
            self._accounts[customer.name] = account
        elif account.customer != customer:
            self._fill(account, now)
            account.customer = customer
        return account

    def _fill(self, account: Account, now: float) -> None:
        limits = self._get_limits(account.customer)
        filled = max(now - account.filled_at, 0) * limits.fill_rate
        account.level = min(account.level + filled, limits.capacity)
        account.filled_at = max(now, account.filled_at)

    def _claim(self, account: Account, now: float) -> None:
        """Return what is left of the last claim and claim units until the next report."""
        self._fill(account, now)
        account.decay_demand(now)
        name = account.customer.name
        capacity = self._get_limits(account.customer).capacity
        account.others_demand = sum(peer.demand.get(name, 0) for peer in self._sharers)
        # What a waiting call has saved up stays claimed.
        kept = min(max(account.claimed, 0), account.lacking)
        account.level = min(account.level + account.claimed, capacity)
        available = max(account.level, 0)
        account.claimed = 0
        if self._get_limits(account.customer).uses_claims:
            share = self._get_share(account, now)
            if not self._is_settled:
                # Of the whole bucket: the parts of those that are not heard are withheld already.
                share = min(share, START_SHARE / self._reach)
            # The others claimed their shares of the bucket at other times: the share of this daemon
            # is that of what there was before.
            pool = max(available - kept + account.taken_by_others, 0)
            account.claimed = min(kept + share * pool, available)
            account.share = share
        account.level -= account.claimed
        account.left = max(account.level, 0)
        account.claimed_at = now
        account.drawn = 0
        account.taken_by_others = 0
        account.lacking = 0

    def _get_share(self, account: Account, now: float) -> float:
        """Return the share of this daemon in the bucket of a customer."""
        own = account.decay_demand(now)
        total = own + max(account.others_demand, 0)
        return self._compute_share(account, own, total, takes_calls=self._takes_calls())

    def _takes_calls(self) -> bool:
        return self._demand_report_count >= TAKING_REPORT_COUNT

    def _compute_share(
        self, account: Account, demand: float, total: float, *, takes_calls: bool
    ) -> float:
        """Return the share of a daemon with a demand, out of the total of all daemons.

        The less the bucket is in demand, the less the shares follow single calls.
        """
        equal = self._compute_equal_share(takes_calls=takes_calls)
        if total < MIN_DEMAND:
            return IDLE_SHARE * equal
        load = min(total / self._get_limits(account.customer).fill_rate, 1)
        busy = EQUAL_SHARE * equal + (1 - EQUAL_SHARE) * demand / total
        return load * busy + (1 - load) * IDLE_SHARE * equal

    def _compute_equal_share(self, *, takes_calls: bool) -> float:
        """Return the part of a daemon in what is shared without regard to the customer's demand."""
        count = len(self._sharers) + 1
        idle_count = count - self._taking_count
        if not self._taking_count or not idle_count:
            return 1 / count
        # Not more than equal parts: of daemons that begin to take calls at the same moment, each
        # counts only itself as idle.
        idle_share = min(IDLE_DAEMONS_SHARE, idle_count / count)
        return (1 - idle_share) / self._taking_count if takes_calls else idle_share / idle_count

    def _get_available(self, account: Account, now: float) -> float:
        # What others used since the last report is not known after a long time.
        if self._is_shared and self._is_frozen(now):
            return 0
        uses_claims = self._get_limits(account.customer).uses_claims
        return account.claimed if uses_claims else account.level

    def _get_drawable(self, account: Account, now: float) -> float:
        """Return the units that may be claimed before the next report.

        It is the share of this daemon in what the others left and in what was filled since: they do
        not know of these units, but leave them by their own shares.
        """
        if self._is_frozen(now):
            return 0
        filled = (now - account.claimed_at) * self._get_limits(account.customer).fill_rate
        entitled = account.share * (account.left + filled) - account.drawn
        return min(max(entitled, 0), max(account.level, 0))

    def _count_needed(self, account: Account, units: float, now: float, priority: int) -> float:
        """Return the units that must be there for a call, with those left to more urgent ones."""
        burst = account.customer.burst
        share: float = 1
        # A request above the capacity would never be admitted, so a full bucket is enough for it.
        capacity = self._get_limits(account.customer).capacity
        needed = min(units, capacity)
        if self._get_limits(account.customer).uses_claims:
            share = self._get_share(account, now)
            needed = min(units, capacity * MAX_CLAIM_SHARE)
        urgent = [
            other
            for other, arrived_at in account.arrived_at.items()
            if other < priority and now - arrived_at < RESERVE_HOLD_S
        ]
        steps = priority - min(urgent, default=priority)
        reserve = burst * min(RESERVED_SHARE_PER_PRIORITY * steps, MAX_RESERVED_SHARE)
        return min(needed + share * reserve, max(needed, share * capacity))

    def _choose_sharers(self, now: float) -> None:
        """Choose the peers among which the buckets are shared until the next report."""
        retention_s = LOST_WINDOW_COUNT * self.bounds.window_s
        for incarnation, peer in list(self._peers.items()):
            if peer.lost_at is not None and now - peer.lost_at > retention_s:
                self._peers.pop(incarnation)
        self._sharers = [peer for peer in self._peers.values() if peer.is_heard(now)]
        self._update_reach(now)
        self._is_settled = now >= self._settled_at
        self._is_shared = bool(self._peers) or not self._is_settled
        self._taking_count = sum(1 for peer in self._sharers if peer.demand) + self._takes_calls()

    def _withhold_others(self, now: float) -> None:
        """Withhold the parts of all others before the first report, until they are heard."""
        share = 1 / (1 + max(len(self._peers), self._host_count))
        self._withheld_at = now
        for name, account in self._accounts.items():
            self._fill(account, now)
            account.level *= share
            self._withheld[name] = account.level
        self._reach = share
        for peer in self._peers.values():
            peer.silent_since = now
            peer.withheld = {**self._withheld}

    def _update_reach(self, now: float) -> None:
        """Withhold the parts of daemons that fell silent, and return those of heard ones."""
        if self._settled_at == math.inf:
            return
        started_at = now if self._started_at is None else self._started_at
        is_new = now - started_at <= LOST_WINDOW_COUNT * self.bounds.window_s
        # Some may have been cut off since before the start of this daemon.
        host_count = self._host_count if is_new else 0
        reach = compute_reach(self._peers.values(), host_count, now)
        changed = [peer for peer in self._peers.values() if peer.is_silent == peer.is_heard(now)]
        if reach == self._reach and not changed:
            return
        part = 1 / (1 + max(len(self._peers), host_count))
        for name, account in self._accounts.items():
            self._fill(account, now)
            limits = self._get_limits(account.customer)
            bucket = BucketPart(max(account.level, 0), limits.capacity, limits.fill_rate)
            bucket = bucket.cut(part / self._reach)
            change = sum(peer.move_part(name, bucket, now) for peer in changed)
            account.apply_change(change, self._reach / reach)
        for peer in changed:
            peer.record_change(now)
        self._reach = reach

    def _is_frozen(self, now: float) -> bool:
        """Return whether this daemon has reported nothing for so long that it counts as lost."""
        silent_s = now - self._reported_at
        return FROZEN_INTERVAL_COUNT * self._interval_s < silent_s < math.inf

    def _forget_others(self, now: float) -> None:
        """Start again with empty buckets: what the others used meanwhile is not known."""
        self._started_at = now
        self._settled_at = math.inf
        for peer in self._peers.values():
            peer.used = None
        for account in self._accounts.values():
            account.level = 0
            account.claimed = 0
            account.filled_at = now

    def _get_limits(self, customer: Customer) -> _Limits:
        """Return the limits of the bucket of a customer."""
        customer_limits = self._limits.get(customer.name)
        key = (
            customer.rate,
            customer.burst,
            self._is_shared,
            self._is_settled,
            self._interval_s,
            len(self._peers),
            self._reach,
        )
        if customer_limits is None or customer_limits.key != key:
            customer_limits = self._compute_limits(customer, key)
            self._limits[customer.name] = customer_limits
        return customer_limits

    def _compute_limits(self, customer: Customer, key: tuple[float, ...]) -> _Limits:
        """Divide the tolerance between the fill rate, the capacity and what is not known in time.

        With claims, the daemons use over a window at most a full bucket, the fill of the window and
        the lag (as units are used up to an interval after they were claimed), and the claims that
        others do not know of as a heartbeat is late or lost: at most another full bucket.
        """
        bounds = self.bounds
        limit = customer.rate * bounds.window_s + customer.burst
        tolerance = bounds.overshoot * limit + bounds.allowance
        overdraft = OVERDRAFT_SHARE * tolerance
        unknown = FLOOD_FACTOR * customer.rate * self._interval_s
        max_unknown = (1 - DIRECT_TOLERANCE_SHARE - OVERDRAFT_SHARE) * tolerance
        if self._is_shared and self._is_settled and unknown <= max_unknown:
            return _Limits(
                key=key,
                fill_rate=self._reach
                * (customer.rate + DIRECT_TOLERANCE_SHARE * tolerance / bounds.window_s),
                capacity=self._reach * customer.burst,
                # Each daemon may admit such a call before it hears of those of the others.
                max_units=customer.burst + overdraft / (len(self._peers) + 1),
                uses_claims=False,
            )
        lag_s: float = 0
        bucket_count = 1
        spare = tolerance - overdraft
        if self._is_shared:
            # The unknown claims share their part of the tolerance with the overdraft.
            lag_s = self._interval_s
            bucket_count = 2
            spare = tolerance - customer.burst - customer.rate * lag_s
        # Sustained demand gets the limit in each window; the rest admits larger bursts.
        window_s = bounds.window_s + lag_s
        extra_rate = min(max(spare, 0) / window_s, customer.burst / bounds.window_s)
        extra_capacity = max(spare - extra_rate * window_s, 0) / bucket_count
        return _Limits(
            key=key,
            fill_rate=self._reach * (customer.rate + extra_rate),
            capacity=self._reach * (customer.burst + extra_capacity),
            max_units=customer.burst + overdraft,
            uses_claims=self._is_shared,
        )
