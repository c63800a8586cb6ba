"""The order in which waiting calls get slots, and when they are turned away.

Answers bursts in which more calls arrive than the upstreams of a service can run: urgent calls go
first, calls that can still be in time go before those that are late, and a call whose wait would
be too long learns so at once. A class that is served far less often than all gets turns of its own.
"""

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


Rank = tuple[int, int]


@attrs.define
class _Counts:
    """Calls of one class that came, and those that got a slot; old ones count less."""

    came: float = 0
    served: float = 0


@attrs.define
class CallQueue:
    """The waiting calls of one service."""

    calls: list[WaitingCall] = attrs.field(factory=list)
    _turn: int = 1
    _counts: dict[Rank, _Counts] = attrs.field(factory=dict)

    def note_arrival(self, call: WaitingCall) -> None:
        """Count a call that asks for a slot."""
        self._counts.setdefault(call.rank, _Counts()).came += 1

    def note_slot(self, call: WaitingCall) -> None:
        """Count a call that got a slot."""
        self._counts.setdefault(call.rank, _Counts()).served += 1

    def relax(self, seconds: float) -> None:
        """Forget a part of the counts; called every so many seconds."""
        kept = 0.5 ** (seconds / COUNTS_HALF_LIFE_S)
        for counts in self._counts.values():
            counts.came *= kept
            counts.served *= kept

    def add(self, call: WaitingCall) -> None:
        """Add a call."""
        self.calls.append(call)

    def remove(self, call: WaitingCall) -> None:
        """Remove a call if it waits."""
        if call in self.calls:
            self.calls.remove(call)

    def ordered(self, now: float, first: WaitingCall | None) -> list[WaitingCall]:
        """Return the calls in the order in which they should get slots, with `first` ahead."""
        ranked = sorted(self.calls, key=lambda call: sort_key(call, now))
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
        key = sort_key(call, now)
        return sum(1 for other in self.calls if sort_key(other, now) < key)


def sort_key(call: WaitingCall, now: float) -> tuple[object, ...]:
    """Return the place of a call: rank, where a late call goes one rank down, then arrival."""
    customer_rank, route_rank = call.rank
    is_late = now > call.late_from
    return customer_rank, route_rank + is_late, is_late, call.arrived_at


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
