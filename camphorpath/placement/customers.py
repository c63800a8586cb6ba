"""Shares of the customers that compete for the same slots.

Handles a customer that sends several times its usual traffic while calls wait. Each daemon counts
the weighted tokens of the calls that it places, by customer; the counts decay, and daemons exchange
them. The share of a customer is the part of what all customers of its priority were served that its
weight gives it. A waiting call of a customer above its share is ordered behind those of the
customers at or below theirs, but never behind the next rank. A customer whose callers do not ask
for much more than its share, as in a load that rises for all, keeps the order of its calls.
"""

import collections
import math
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping

import attrs

from ..routing import Customer

# Half-life of the counts of served tokens. The mean of some seconds keeps the size of single calls
# from deciding, and a customer that was idle gets no more than about a second of all service first.
SERVED_HALF_LIFE_S = 5.0
# A customer counts towards the shares for this time after its last call, even if nothing of it was
# served.
ACTIVE_S = 5.0
# Below this count a customer without calls is dropped; a call without tokens counts as one.
MIN_SERVED_TOKENS = 0.5
# After this time without calls, a customer is dropped whatever its count: an eighth is left, and
# the weight of customers that take nothing puts the active ones above their shares. It exceeds the
# interval between the heartbeats of idle daemons (8.4 s with 420 daemons).
MAX_QUIET_S = 3 * SERVED_HALF_LIFE_S
# The report of a daemon that is not heard any more is dropped after this time, for the same reason.
MAX_REPORT_AGE_S = MAX_QUIET_S
# No fleet serves as many tokens to a customer in some seconds; larger counts are unusable.
MAX_SERVED_TOKENS = 1e12
# Shifts of calls of customers above their share, in ranks. Shifts by size are at most 0.45, so that
# the first call of the next rank is at 0.55.
MIN_OVERUSE_SHIFT_RANKS = 0.46
MAX_OVERUSE_SHIFT_RANKS = 0.54
# Doublings of the share at which the largest shift is reached.
MAX_OVERUSE_DOUBLINGS = 8.0
# Up to this multiple of its share a customer is not shifted, as the random sizes of its calls alone
# exceed it by some percent.
TOLERATED_OVERUSE = 1.1
# How fast a call moves behind those of customers within their share: nearly all of the way at 1.2
# times the share, so that a customer at many times its usual traffic gets little more than that.
OVERUSE_STEEPNESS = 32.0
# A customer with a quota is shifted only if its callers ask for this multiple of what those of
# the others ask for, relative to their quotas. What customers were served in some seconds exceeds
# their shares by chance as well, and calls that are reordered for that are not ordered by size.
FLOOD_FACTOR = 1.5
# Part of the shift by size that remains above the share: at most as much as one doubling of the
# overuse. Without it, the calls of customers that are equally far above their shares, because the
# others send little, are not ordered by size.
OVERUSE_SIZE_WEIGHT = 0.01
# A customer is reported as above its share from the first of these ratios on, and no longer below
# the second.
REPORTED_OVERUSE = 1.25
ENDED_OVERUSE = 1.1
# It is reported as long as calls waited within this time.
WAITING_MEMORY_S = 2.0
# Shortest time between two reports, so that many customers do not flood the log.
MIN_REPORT_INTERVAL_S = 1.0


@attrs.define(eq=False)
class Account:
    """What one customer was served by this daemon, and the shift of its waiting calls."""

    # Weighted tokens of the calls that were placed; decays.
    served_tokens: float = 0
    last_call_at: float = -math.inf
    # Tokens and refused calls that the metrics do not contain yet.
    new_tokens: float = 0
    new_refusals: int = 0
    # What the customer was served by all daemons, relative to its share.
    overuse: float = 0
    # Whether the customer was last reported as above its share.
    is_reported: bool = False
    # Ranks by which its calls are ordered later for its overuse.
    overuse_shift: float = 0
    # Factor of the shift by size.
    _size_weight: float = 1

    def record_placement(self, tokens: float) -> None:
        """Count a call that was placed in a slot."""
        counted = max(tokens, 1)
        self.served_tokens += counted
        self.new_tokens += counted

    def shift(self, size_shift: float) -> float:
        """Return the ranks by which a call with a shift by size is ordered later in its class."""
        return self._size_weight * size_shift + self.overuse_shift

    def apply_overuse(self, overuse: float) -> None:
        """Set the overuse (1: exactly the share) and the shift, which grows with its logarithm."""
        self.overuse = overuse
        doublings = min(math.log2(max(overuse / TOLERATED_OVERUSE, 1)), MAX_OVERUSE_DOUBLINGS)
        moved_share = 1 - 2 ** (-OVERUSE_STEEPNESS * doublings)
        self._size_weight = 1 - moved_share * (1 - OVERUSE_SIZE_WEIGHT)
        span = MAX_OVERUSE_SHIFT_RANKS - MIN_OVERUSE_SHIFT_RANKS
        behind = MIN_OVERUSE_SHIFT_RANKS + span * doublings / MAX_OVERUSE_DOUBLINGS
        self.overuse_shift = moved_share * behind


@attrs.frozen
class _Report:
    """Tokens served by another daemon at the time of its report, by customer."""

    served: Mapping[str, float]
    received_at: float
    is_usable: bool = True


@attrs.frozen
class ShareChange:
    """A customer begins or ceases to be above its share while calls wait."""

    customer: str
    is_above: bool
    overuse: float


@attrs.define
class CustomerShares:
    """The customers of the manifest, and what they were served by all daemons."""

    # Returns the units per second that callers of a customer with a quota ask of all daemons.
    # None if it is not known.
    read_demand: Callable[[str], float] | None = None
    # By name; empty if the manifest holds no customers.
    _customers: dict[str, Customer] = attrs.field(factory=dict)
    _weights: dict[str, float] = attrs.field(factory=dict)
    # Customers with calls at this daemon.
    _accounts: dict[str, Account] = attrs.field(factory=dict)
    # By incarnation of the daemon.
    _reports: dict[str, _Report] = attrs.field(factory=dict)
    _updated_at: float = 0
    _waited_at: float = -math.inf
    _changed_at: float = -math.inf

    def apply_customers(self, customers: Iterable[Customer]) -> None:
        """Replace the customers by those of a newer manifest."""
        self._customers = {customer.name: customer for customer in customers}
        self._weights = _compute_weights(self._customers.values())
        for name in set(self._accounts) - set(self._customers):
            # Calls that wait may still use it.
            self._accounts.pop(name).apply_overuse(0)

    def open_account(self, name: str, now: float) -> Account:
        """Return the account for a call that arrives.

        Calls without a customer of the manifest get an account of their own without any effect.
        """
        if name not in self._customers:
            return Account()
        account = self._accounts.setdefault(name, Account())
        account.last_call_at = now
        return account

    def share_served(self) -> dict[str, float]:
        """Return the report for the other daemons: decayed tokens by customer with recent calls."""
        return {name: account.served_tokens for name, account in self._accounts.items()}

    def apply_report(self, incarnation: str, served: Mapping[str, float], now: float) -> bool:
        """Replace the report of another daemon; return False if it is the first unusable one.

        An unusable report is ignored: the last one goes on to decay, as does that of a daemon that
        has ended. Customers that the manifest does not hold are left out.
        """
        known = self._reports.get(incarnation)
        if all(0 <= tokens <= MAX_SERVED_TOKENS for tokens in served.values()):
            counted = {name: served[name] for name in served if name in self._customers}
            self._reports[incarnation] = _Report(counted, now)
            return True
        last = known or _Report({}, now)
        self._reports[incarnation] = attrs.evolve(last, is_usable=False)
        return not last.is_usable

    def update(self, now: float, waiting: Iterable[Account]) -> None:
        """Decay the counts and set the shifts; `waiting` are the accounts of waiting calls."""
        for waiting_account in waiting:
            waiting_account.last_call_at = now
            self._waited_at = now
        retained = _compute_retained(self._updated_at, now)
        self._updated_at = max(now, self._updated_at)
        for name, account in list(self._accounts.items()):
            account.served_tokens *= retained
            if _is_idle(account, now):
                self._accounts.pop(name)
        for incarnation, report in list(self._reports.items()):
            if now > report.received_at + MAX_REPORT_AGE_S:
                self._reports.pop(incarnation)
        self._compare(self._sum_served(now))

    def take_change(self, now: float) -> ShareChange | None:
        """Return the next change to report, at most one in MIN_REPORT_INTERVAL_S."""
        if now < self._changed_at + MIN_REPORT_INTERVAL_S:
            return None
        has_waited = now <= self._waited_at + WAITING_MEMORY_S
        for name, account in self._accounts.items():
            limit = ENDED_OVERUSE if account.is_reported else REPORTED_OVERUSE
            is_above = has_waited and account.overuse >= limit
            if is_above == account.is_reported:
                continue
            account.is_reported = is_above
            self._changed_at = now
            return ShareChange(name, is_above, account.overuse)
        return None

    def take_counts(self) -> Iterator[tuple[str, float, int]]:
        """Yield customer, served tokens and refused calls since the last time."""
        for name, account in self._accounts.items():
            if account.new_tokens or account.new_refusals:
                yield name, account.new_tokens, account.new_refusals
                account.new_tokens = 0
                account.new_refusals = 0

    def _sum_served(self, now: float) -> dict[str, float]:
        """Return the decayed tokens by customer over all daemons, also of those served nothing."""
        total: collections.defaultdict[str, float] = collections.defaultdict(float)
        total.update(self.share_served())
        for report in self._reports.values():
            retained = _compute_retained(report.received_at, now)
            for name, tokens in report.served.items():
                total[name] += retained * tokens
        return total

    def _compare(self, served: Mapping[str, float]) -> None:
        """Compare each customer here with the customers of its priority."""
        tokens_by_priority: collections.defaultdict[int, float] = collections.defaultdict(float)
        weight_by_priority: collections.defaultdict[int, float] = collections.defaultdict(float)
        for name, tokens in served.items():
            customer = self._customers.get(name)
            if customer is None:
                continue
            tokens_by_priority[customer.priority] += tokens
            weight_by_priority[customer.priority] += self._weights[name]
        flooding = self._find_flooding(served)
        for name, account in self._accounts.items():
            priority = self._customers[name].priority
            weight_share = self._weights[name] / weight_by_priority[priority]
            share = weight_share * tokens_by_priority[priority]
            is_above = share and name in flooding
            account.apply_overuse(served[name] / share if is_above else 0)

    def _find_flooding(self, served: Mapping[str, float]) -> frozenset[str]:
        """Return the customers that ask for much more of their quotas than the others.

        The others are those of the same priority with a quota. Customers for which this is not
        known are among the returned ones.
        """
        customers = [self._customers[name] for name in served if name in self._customers]
        limited = [customer for customer in customers if customer.rate > 0]
        if self.read_demand is None or not limited:
            return frozenset(served)
        # Demand as a multiple of the rate, as rates in tokens and in requests cannot be compared.
        demands = {
            customer.name: self.read_demand(customer.name) / customer.rate for customer in limited
        }
        weight_by_priority: collections.defaultdict[int, float] = collections.defaultdict(float)
        demand_by_priority: collections.defaultdict[int, float] = collections.defaultdict(float)
        for customer in limited:
            weight = self._weights[customer.name]
            weight_by_priority[customer.priority] += weight
            demand_by_priority[customer.priority] += weight * demands[customer.name]
        usual = set()
        for customer in limited:
            weight, demand = self._weights[customer.name], demands[customer.name]
            others_weight = weight_by_priority[customer.priority] - weight
            others_demand = demand_by_priority[customer.priority] - weight * demand
            if demand * others_weight < FLOOD_FACTOR * others_demand:
                usual.add(customer.name)
        return frozenset(served) - usual


def _compute_retained(counted_at: float, now: float) -> float:
    """Return the share of a count that is left now; 1 for a count that is later than now."""
    return 0.5 ** (max(now - counted_at, 0) / SERVED_HALF_LIFE_S)


def _is_idle(account: Account, now: float) -> bool:
    """Return whether an account can be dropped: nothing of it counts or must be reported."""
    if account.is_reported or account.new_tokens or account.new_refusals:
        return False
    quiet_s = now - account.last_call_at
    limit_s = ACTIVE_S if account.served_tokens < MIN_SERVED_TOKENS else MAX_QUIET_S
    return quiet_s > limit_s


def _compute_weights(customers: Collection[Customer]) -> dict[str, float]:
    """Return the weight of each customer: the rate of its quota, or the mean of these rates.

    Rates in tokens and in requests cannot be compared. Those in requests count only if no customer
    has one in tokens.
    """
    limited = [customer for customer in customers if customer.rate > 0]
    counts_tokens = any(customer.counts_tokens for customer in limited)
    rates = {
        customer.name: min(customer.rate, MAX_SERVED_TOKENS)
        for customer in limited
        if customer.counts_tokens == counts_tokens
    }
    mean = sum(rates.values()) / len(rates) if rates else 1
    return {customer.name: rates.get(customer.name, mean) for customer in customers}
