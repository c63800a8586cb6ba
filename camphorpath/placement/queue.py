"""The order in which waiting calls get slots, and when they are turned away.

Answers bursts in which more calls arrive than the upstreams of a service can run: urgent calls go
first, calls that can still be in time go before those that are late, and a call whose wait would
be too long learns so at once. A class that is served far less often than all gets turns of its own,
and one whose calls cost a small part of what others do goes ahead of its rank: many of them are
served in the time of one call beside them. For the same reason small calls of a class go first.
"""

import math
import random

import attrs

from .records import TurnedAway, WaitingCall

# Every n-th slot goes to a class of calls that is served less than this share as often as all; the
# users ask for a quarter.
STARVED_TURN = 2
STARVED_SHARE = 0.3
# Half of the counts of arrivals and slots is forgotten after this time, in seconds.
COUNTS_HALF_LIFE_S = 5.0
# A caller waits at most this share of the time that it has left.
RETRY_SHARE = 0.3
MIN_RETRY_S = 0.1
# Refused callers return between this part of that share and the whole of it.
RETRY_SPREAD = 0.7
# Weight of a new sample of what the calls of a class cost: about the last fifty count.
COST_WEIGHT = 0.02
# A class whose calls cost this many times less than the usual ones goes one rank up, and a call
# goes before others of its class by the same measure: the next rank is worth twice as much or more
# in the deployments known.
RANK_RATIO = 2.0
# A class goes ahead of its rank only while it holds up to this share of the slots in use.
SHORT_SHARE = 0.25
# Ranks that a call goes up or down by its size: never past the calls of the next rank.
MAX_SIZE_SHIFT = 0.45
# An output token counts as so many prompt tokens, as in the deployments' value of a call.
OUTPUT_WEIGHT = 10


Rank = tuple[int, int]


@attrs.define
class _Counts:
    """Calls of one class that came, and those that got a slot; old ones count less."""

    came: float = 0
    served: float = 0
    # Calls that hold a slot.
    running: int = 0
    # Seconds of an upstream that a call takes, as a moving average; 0 before the first one ended.
    cost_s: float = 0
    # The size of a call, as a moving average.
    size: float = 0
    # Ranks by which the class goes ahead because its calls are short.
    ranks_up: float = 0

    def learn_cost(self, seconds: float) -> None:
        """Take in what a call cost."""
        weight = COST_WEIGHT if self.cost_s else 1
        self.cost_s += weight * (seconds - self.cost_s)

    def learn_size(self, size: float) -> None:
        """Take in the size of a call."""
        weight = COST_WEIGHT if self.size else 1
        self.size += weight * (size - self.size)


@attrs.define
class CallQueue:
    """The waiting calls of one service."""

    calls: list[WaitingCall] = attrs.field(factory=list)
    _turn: int = 1
    _counts: dict[Rank, _Counts] = attrs.field(factory=dict)
    # All classes together.
    _total: _Counts = attrs.field(factory=_Counts)

    def note_arrival(self, call: WaitingCall) -> None:
        """Count a call that asks for a slot, and compare it with others of its class."""
        counts = self._counts.setdefault(call.rank, _Counts())
        counts.came += 1
        size = call.prompt_tokens + OUTPUT_WEIGHT * call.output_tokens
        if size <= 0:
            return
        counts.learn_size(size)
        shift = math.log(size / counts.size, RANK_RATIO)
        call.size_shift = max(-MAX_SIZE_SHIFT, min(shift, MAX_SIZE_SHIFT))

    def note_slot(self, call: WaitingCall) -> None:
        """Count a call that got a slot."""
        for counts in (self._counts.setdefault(call.rank, _Counts()), self._total):
            counts.served += 1
            counts.running += 1

    def note_end(self, rank: Rank, cost_s: float | None) -> None:
        """Take note that a call left its slot; its cost is None if it was not answered."""
        for counts in (self._counts.setdefault(rank, _Counts()), self._total):
            counts.running -= 1
            if cost_s is not None:
                counts.learn_cost(cost_s)

    def relax(self, seconds: float) -> None:
        """Forget a part of the counts, and compare the classes; called every so many seconds."""
        kept = 0.5 ** (seconds / COUNTS_HALF_LIFE_S)
        for counts in self._counts.values():
            counts.came *= kept
            counts.served *= kept
            counts.ranks_up = self._compare_cost(counts)

    def add(self, call: WaitingCall) -> None:
        """Add a call."""
        self.calls.append(call)

    def remove(self, call: WaitingCall) -> None:
        """Remove a call if it waits."""
        if call in self.calls:
            self.calls.remove(call)

    def ordered(self, now: float, first: WaitingCall | None) -> list[WaitingCall]:
        """Return the calls in the order in which they should get slots, with `first` ahead."""
        ranked = sorted(self.calls, key=lambda call: self._sort_key(call, now))
        if first is not None:
            ranked.remove(first)
            ranked.insert(0, first)
        return ranked

    def find_starved(self) -> WaitingCall | None:
        """Return the call whose turn it is whatever its rank, or None."""
        if self._turn % STARVED_TURN:
            return None
        came = sum(counts.came for counts in self._counts.values())
        served = sum(counts.served for counts in self._counts.values())
        starved = {
            rank
            for rank, counts in self._counts.items()
            if counts.served * came < STARVED_SHARE * served * counts.came
        }
        candidates = [call for call in self.calls if call.rank in starved]
        return min(candidates, key=lambda call: call.arrived_at, default=None)

    def take(self, call: WaitingCall) -> None:
        """Remove a call that gets a slot."""
        self._turn += 1
        self.calls.remove(call)

    def count_ahead(self, call: WaitingCall, now: float) -> int:
        """Return the number of calls that go before a call."""
        key = self._sort_key(call, now)
        return sum(1 for other in self.calls if self._sort_key(other, now) < key)

    def read_place(self, rank: Rank) -> float:
        """Return the rank of the routes of a class, less what it goes ahead."""
        counts = self._counts.get(rank)
        return rank[1] - counts.ranks_up if counts else rank[1]

    def _compare_cost(self, counts: _Counts) -> float:
        """Return by how many ranks a class goes ahead because its calls are short."""
        if not counts.cost_s or counts.cost_s >= self._total.cost_s:
            return 0
        if counts.running > SHORT_SHARE * self._total.running:
            return 0
        return math.log(self._total.cost_s / counts.cost_s, RANK_RATIO)

    def _sort_key(self, call: WaitingCall, now: float) -> tuple[object, ...]:
        """Return the place of a call: rank, where a late call goes one rank down, then arrival."""
        is_late = now > call.late_from
        place = self.read_place(call.rank) + is_late + call.size_shift
        return call.rank[0], place, is_late, call.arrived_at


def turn_away(
    reason: str, wait_s: float, call: WaitingCall, now: float, waiting: int
) -> TurnedAway:
    """Return a refusal that names when the caller should come back."""
    retry_after_s = choose_return(wait_s, call.deadline - now)
    return TurnedAway(reason, retry_after_s, round(wait_s, 3), waiting)


def choose_return(wait_s: float, left_s: float) -> float:
    """Return after how many seconds a refused caller should come back.

    A caller that returns within the same burst is refused again, and its answer is late anyway: so
    it is asked to wait for a good part of what it will wait. The times are spread, so that refused
    callers do not return together, and leave the caller most of its time.
    """
    limit_s = max(left_s * RETRY_SHARE, MIN_RETRY_S)
    soonest_s = min(max(wait_s, limit_s * RETRY_SPREAD), limit_s)
    return round(random.uniform(soonest_s, limit_s), 3)
