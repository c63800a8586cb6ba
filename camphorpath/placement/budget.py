"""Retry budget: limits how many calls are sent to a second upstream.

When most calls of a service fail at once, retries would add to the load that causes the failures.
Each daemon uses only its own share, so the budget also holds while daemons cannot reach each other.
"""

import collections
import math

import attrs

# Length of the bins in which calls are counted; a small part of the window.
BIN_S = 0.5
# Part of the budget that is used, since the edges of the sliding window lag behind those of the
# window that the deployment measures.
SAFETY_FACTOR = 0.7
# Share of the allowance that is divided among the active daemons; all daemons divide the rest. In a
# network partition the active daemons of each side count only themselves, and both sides together
# still keep within the allowance.
ACTIVE_SHARE = 0.4


def share_allowance(daemons: int, actives: int, *, is_active: bool) -> float:
    """Return the share of the allowance that one daemon may use without coordination.

    `daemons` is the number of daemons that may still retry calls, whether or not they respond at
    present; `actives` is the number of those that accept calls now.
    """
    share = (1 - ACTIVE_SHARE) / max(daemons, 1)
    return share + ACTIVE_SHARE / max(actives, 1) if is_active else share


@attrs.define
class RetryBudget:
    """Calls and retries of the last window, by service."""

    # Retries per call that are allowed in the window.
    ratio: float
    window_s: float
    # Retries per window beyond the ratio, for all daemons together.
    allowance: float
    _calls: dict[str, collections.Counter] = attrs.field(factory=dict)
    _retries: dict[str, collections.Counter] = attrs.field(factory=dict)

    def record_call(self, service: str, now: float) -> None:
        """Count the first send of a call."""
        self._add(self._calls, service, now)

    def has_room(self, service: str, now: float, share: float) -> bool:
        """Return whether a call may be retried; `share` is this daemon's share of the allowance."""
        calls = self._count(self._calls, service, now)
        limit = self.ratio * SAFETY_FACTOR * calls + math.floor(
            self.allowance * SAFETY_FACTOR * share
        )
        return self._count(self._retries, service, now) + 1 <= limit

    def try_acquire(self, service: str, now: float, share: float) -> bool:
        """Return whether a call may be retried, and count the retry if so."""
        if not self.has_room(service, now, share):
            return False
        self._add(self._retries, service, now)
        return True

    def _add(self, bins: dict[str, collections.Counter], service: str, now: float) -> None:
        bins.setdefault(service, collections.Counter())[math.floor(now / BIN_S)] += 1

    def _count(self, bins: dict[str, collections.Counter], service: str, now: float) -> int:
        counter = bins.get(service)
        if counter is None:
            return 0
        oldest = math.floor((now - self.window_s) / BIN_S)
        for index in list(counter):
            if index < oldest:
                counter.pop(index)
        return counter.total()
