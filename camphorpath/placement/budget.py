"""The budget for sending a call to a second upstream.

Answers failures that hit most calls of a service at once, when repeats would add to the load that
causes them. Each daemon uses only its own part, so the budget holds without contact.
"""

import collections
import math

import attrs

# Calls are counted in bins of this length, in seconds; a small part of the window.
BIN_S = 0.5
# The window of the budget slides and its edges lag behind those of the deployment.
SAFETY = 0.7
# Part of the allowance that the daemons that take calls share; all daemons share the rest. Each
# side of a network that is cut in two counts only its own, and both together keep the allowance.
ACTIVE_PART = 0.4


def share_allowance(daemons: int, actives: int, *, is_active: bool) -> float:
    """Return the part of the allowance that one daemon may use without asking others.

    `daemons` are all that may still send repeats, heard now or not, `actives` those that take calls
    now.
    """
    share = (1 - ACTIVE_PART) / max(daemons, 1)
    return share + ACTIVE_PART / max(actives, 1) if is_active else share


@attrs.define
class RetryBudget:
    """Calls and repeats of the last window, by service."""

    ratio: float
    window_s: float
    # Repeats in a window beside the ratio, over all daemons.
    allowance: float
    _calls: dict[str, collections.Counter] = attrs.field(factory=dict)
    _repeats: dict[str, collections.Counter] = attrs.field(factory=dict)

    def note_call(self, service: str, now: float) -> None:
        """Count the first send of a call."""
        self._add(self._calls, service, now)

    def has_room(self, service: str, now: float, share: float) -> bool:
        """Return whether a call may be sent once more, with a share of the allowance."""
        calls = self._count(self._calls, service, now)
        limit = self.ratio * SAFETY * calls + math.floor(self.allowance * SAFETY * share)
        return self._count(self._repeats, service, now) + 1 <= limit

    def take(self, service: str, now: float, share: float) -> bool:
        """Return whether a call may be sent once more, and count it if so."""
        if not self.has_room(service, now, share):
            return False
        self._add(self._repeats, service, now)
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
