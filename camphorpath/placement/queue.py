"""Order of the calls that wait for a slot, and retry times for refused calls.

Handles bursts in which more calls arrive than the upstreams of a service can run. Urgent calls go
first, the rest of a begun stream goes before new calls of its rank, since its caller holds a part
of the answer already, calls that can still be in time go before late ones, and a call whose wait
would be too long is refused at once. A class of calls (same rank) that is served far less often
than average gets slots of its own. A class whose calls are much cheaper than average is ordered
ahead of its rank, since many of them are served in the time of one other call; for the same reason
the small calls of a class go first. Calls of a class whose customer is above its share go last.
"""

import math
import random

import attrs

from .records import Refused, WaitingCall

# Every STARVED_SLOT_INTERVAL-th slot goes to a starved class: one whose share of served calls is
# below STARVED_SHARE of the average; the required minimum is a quarter.
STARVED_SLOT_INTERVAL = 2
STARVED_SHARE = 0.3
# Half-life of the counts of arrivals and served calls.
COUNTS_HALF_LIFE_S = 5.0
# A refused caller is asked to wait at most this share of its remaining time.
MAX_RETRY_SHARE = 0.3
MIN_RETRY_S = 0.1
# Retry times are drawn between this part of that limit and the whole of it.
RETRY_JITTER_FLOOR = 0.7
# Weight of a new sample of the cost or size of a class: about the last fifty count.
EWMA_WEIGHT = 0.02
# A class whose calls cost this many times less than the average moves one rank up, and a call is
# ordered within its class by the same measure: in known deployments a call of the next rank is
# worth at least twice as much.
RANK_COST_RATIO = 2.0
# A class is ordered ahead of its rank only while it holds up to this share of the slots in use.
MAX_SHORT_CLASS_SHARE = 0.25
# Limit of the shift of a call by its size: less than half a rank, so it never passes the next rank.
MAX_SIZE_SHIFT_RANKS = 0.45
# Prompt tokens that an output token counts for, as in the value of a call in the deployments.
OUTPUT_TOKEN_WEIGHT = 10


Rank = tuple[int, int]


@attrs.define
class _ClassStats:
    """Statistics of one class of calls; the counts decay over time."""

    arrivals: float = 0
    # Calls that got a slot.
    served: float = 0
    # Calls that hold a slot now.
    running: int = 0
    # Seconds of a whole upstream that a call takes, as a moving average; 0 before the first sample.
    cost_s: float = 0
    # Size of a call in weighted tokens, as a moving average.
    size: float = 0
    # Ranks by which the class is ordered ahead because its calls are cheap.
    rank_boost: float = 0

    def record_cost(self, seconds: float) -> None:
        """Add the cost of a call to the moving average."""
        weight = EWMA_WEIGHT if self.cost_s else 1
        self.cost_s += weight * (seconds - self.cost_s)

    def record_size(self, size: float) -> None:
        """Add the size of a call to the moving average."""
        weight = EWMA_WEIGHT if self.size else 1
        self.size += weight * (size - self.size)


@attrs.define
class CallQueue:
    """The waiting calls of one service."""

    calls: list[WaitingCall] = attrs.field(factory=list)
    # Number of the next slot to assign; see STARVED_SLOT_INTERVAL.
    _next_slot_number: int = 1
    _stats: dict[Rank, _ClassStats] = attrs.field(factory=dict)
    # Statistics of all classes together.
    _total: _ClassStats = attrs.field(factory=_ClassStats)

    def record_arrival(self, call: WaitingCall) -> None:
        """Count the arrival of a call, and set its shift by its size within its class."""
        stats = self._stats.setdefault(call.rank, _ClassStats())
        stats.arrivals += 1
        size = call.prompt_tokens + OUTPUT_TOKEN_WEIGHT * call.output_tokens
        if size <= 0:
            return
        stats.record_size(size)
        shift = math.log(size / stats.size, RANK_COST_RATIO)
        call.size_shift = max(-MAX_SIZE_SHIFT_RANKS, min(shift, MAX_SIZE_SHIFT_RANKS))

    def record_placement(self, call: WaitingCall) -> None:
        """Count a call that was placed in a slot."""
        for stats in (self._stats.setdefault(call.rank, _ClassStats()), self._total):
            stats.served += 1
            stats.running += 1
        call.account.record_placement(call.prompt_tokens + OUTPUT_TOKEN_WEIGHT * call.output_tokens)

    def record_release(self, rank: Rank, cost_s: float | None) -> None:
        """Count the release of a slot; `cost_s` is None if the call was not answered."""
        for stats in (self._stats.setdefault(rank, _ClassStats()), self._total):
            stats.running -= 1
            if cost_s is not None:
                stats.record_cost(cost_s)

    def decay(self, seconds: float) -> None:
        """Decay the counts by the elapsed seconds and update the rank boost of each class."""
        retained_share = 0.5 ** (seconds / COUNTS_HALF_LIFE_S)
        for stats in self._stats.values():
            stats.arrivals *= retained_share
            stats.served *= retained_share
            stats.rank_boost = self._estimate_boost(stats)

    def add(self, call: WaitingCall) -> None:
        """Append a call."""
        self.calls.append(call)

    def remove(self, call: WaitingCall) -> None:
        """Remove a call if it waits."""
        if call in self.calls:
            self.calls.remove(call)

    def ordered(self, now: float, first: WaitingCall | None) -> list[WaitingCall]:
        """Return the calls in dispatch order, with `first` at the head if given."""
        ranked = sorted(self.calls, key=lambda call: self._sort_key(call, now))
        if first is not None:
            ranked.remove(first)
            ranked.insert(0, first)
        return ranked

    def has_bound_calls(self) -> bool:
        """Return whether the rest of a begun stream waits."""
        return any(call.is_bound for call in self.calls)

    def find_starved(self) -> WaitingCall | None:
        """Return a call of the starved class with the oldest one if the next slot is reserved.

        It is the oldest one of the customers that are least above their shares.
        """
        if self._next_slot_number % STARVED_SLOT_INTERVAL:
            return None
        arrivals = sum(stats.arrivals for stats in self._stats.values())
        served = sum(stats.served for stats in self._stats.values())
        starved = {
            rank
            for rank, stats in self._stats.items()
            if stats.served * arrivals < STARVED_SHARE * served * stats.arrivals
        }
        candidates = [call for call in self.calls if call.rank in starved]
        oldest = min(candidates, key=lambda call: call.arrived_at, default=None)
        if oldest is None:
            return None
        return min(
            (call for call in candidates if call.rank == oldest.rank),
            key=lambda call: (
                0 if call.is_bound else call.account.overuse_shift,
                call.arrived_at,
            ),
        )

    def pop(self, call: WaitingCall) -> None:
        """Remove a call that is placed in a slot."""
        self._next_slot_number += 1
        self.calls.remove(call)

    def count_ahead(self, call: WaitingCall, now: float) -> int:
        """Return the number of calls that are ordered before a call."""
        key = self._sort_key(call, now)
        return sum(1 for other in self.calls if self._sort_key(other, now) < key)

    def get_effective_rank(self, rank: Rank) -> float:
        """Return the route rank of a class, reduced by its boost."""
        stats = self._stats.get(rank)
        return rank[1] - stats.rank_boost if stats else rank[1]

    def _estimate_boost(self, stats: _ClassStats) -> float:
        """Return the ranks by which a class is ordered ahead because its calls are cheap."""
        if not stats.cost_s or stats.cost_s >= self._total.cost_s:
            return 0
        if stats.running > MAX_SHORT_CLASS_SHARE * self._total.running:
            return 0
        return math.log(self._total.cost_s / stats.cost_s, RANK_COST_RATIO)

    def _sort_key(self, call: WaitingCall, now: float) -> tuple[object, ...]:
        """Return the sort key of a call; a late new call counts as one rank less urgent."""
        is_late = now > call.latest_start_at
        effective_rank = self.get_effective_rank(call.rank)
        if call.is_bound:
            effective_rank -= MAX_SIZE_SHIFT_RANKS
        else:
            effective_rank += is_late + call.account.shift(call.size_shift)
        return call.rank[0], effective_rank, not call.is_bound, is_late, call.arrived_at


def make_refusal(
    reason: str, wait_s: float, call: WaitingCall, now: float, waiting: int
) -> Refused:
    """Return a refusal with the time after which the caller should retry."""
    retry_after_s = choose_retry_after(wait_s, call.deadline - now)
    return Refused(reason, retry_after_s, round(wait_s, 3), waiting)


def choose_retry_after(wait_s: float, left_s: float) -> float:
    """Return the seconds after which a refused caller with `left_s` seconds left should retry.

    A caller that retries within the same burst is refused again, and its answer would be late
    anyway, so it is asked to wait for a good part of the limit. The times are random, so that
    refused callers do not retry together, and leave the caller most of its time.
    """
    limit_s = max(left_s * MAX_RETRY_SHARE, MIN_RETRY_S)
    soonest_s = min(max(wait_s, limit_s * RETRY_JITTER_FLOOR), limit_s)
    return round(random.uniform(soonest_s, limit_s), 3)
