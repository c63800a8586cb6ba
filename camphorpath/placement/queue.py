"""The order in which waiting calls get slots, and when they are turned away.

Answers bursts in which more calls arrive than the upstreams of a service can run: urgent calls go
first, calls that can still be in time go before those that are late, and a call whose wait would
be too long learns so at once.
"""

import random
from collections.abc import Iterator

import attrs

from .records import TurnedAway, WaitingCall

# Every n-th slot goes to the call that has waited longest, whatever its rank, so that nothing
# starves under lasting overload.
FAIR_TURN = 8
# A caller waits at most this share of the time that it has left.
RETRY_SHARE = 0.3
MIN_RETRY_S = 0.1
# Refused callers return spread over this part of the wait.
RETRY_SPREAD = 0.5


@attrs.define
class CallQueue:
    """The waiting calls of one service."""

    calls: list[WaitingCall] = attrs.field(factory=list)
    _turn: int = 0

    def add(self, call: WaitingCall) -> None:
        """Add a call."""
        self.calls.append(call)

    def remove(self, call: WaitingCall) -> None:
        """Remove a call if it waits."""
        if call in self.calls:
            self.calls.remove(call)

    def ordered(self, now: float) -> Iterator[WaitingCall]:
        """Yield the calls in the order in which they should get slots."""
        self._turn += 1
        ranked = sorted(self.calls, key=lambda call: sort_key(call, now))
        if ranked and self._turn % FAIR_TURN == 0:
            oldest = min(ranked, key=lambda call: call.arrived_at)
            ranked.remove(oldest)
            ranked.insert(0, oldest)
        yield from ranked

    def count_ahead(self, call: WaitingCall, now: float) -> int:
        """Return the number of calls that go before a call."""
        key = sort_key(call, now)
        return sum(1 for other in self.calls if sort_key(other, now) < key)


def sort_key(call: WaitingCall, now: float) -> tuple[object, ...]:
    """Return the place of a call: rank, then those that are not late yet, then arrival."""
    return call.rank, now > call.objective_at, call.arrived_at


def turn_away(reason: str, wait_s: float, deadline: float, now: float) -> TurnedAway:
    """Return a refusal that names when a slot is expected.

    The time is spread so that refused callers do not return together, and leaves the caller most of
    its time.
    """
    spread = wait_s * (1 + RETRY_SPREAD * random.random())
    limit = max(deadline - now, 0) * RETRY_SHARE
    return TurnedAway(reason, round(min(max(spread, MIN_RETRY_S), max(limit, MIN_RETRY_S)), 3))
