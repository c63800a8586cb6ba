"""Pace of one upstream: how long work takes there at present, relative to usual.

Answers engines that share machines: the work of a neighbour makes an engine several times slower
and ends again within a fraction of a second, so that its measured speed tells little of the next
call. Upstreams that state no pace have the pace 1, and are chosen as if there were none.
"""

import math

import attrs

# Statements outside of these limits are faults: work neither takes no time nor ever ends.
MIN_PACE = 0.01
MAX_PACE = 100.0
# The figure changes many times a second. After this time half of it still counts, after a second
# one sixteenth; the rest is the moving average.
HALF_LIFE_S = 0.25
# Time constant of the moving average: it covers several changes, and follows a neighbour that
# begins to work for long.
AVERAGE_TIME_S = 2.0
# Half-life of the average without statements, as for `Speed`: an upstream that gets no calls
# states nothing, and has to be tried again.
AVERAGE_HALF_LIFE_S = 10.0


@attrs.frozen
class PaceStatement:
    """What an upstream stated: time that work takes relative to usual, and the instant."""

    pace: float
    stated_at: float


@attrs.define
class Pace:
    """The paces that one upstream stated; instants are on the lease clock."""

    # None before the first one.
    last: PaceStatement | None = None
    # Whether an unreadable statement was logged. Later ones are not: an upstream that states both
    # kinds in turn would add a line for every second answer.
    is_fault_logged: bool = False
    _average: float = 1.0

    @property
    def is_stated(self) -> bool:
        """Whether the upstream has ever stated a pace."""
        return self.last is not None

    def record(self, statement: PaceStatement) -> None:
        """Add a statement unless a younger one is known or its pace is out of range."""
        if not is_plausible(statement.pace):
            return
        if self.last is None:
            self._average = statement.pace
        elif statement.stated_at <= self.last.stated_at:
            return
        else:
            elapsed_s = statement.stated_at - self.last.stated_at
            weight = 1 - math.exp(-elapsed_s / AVERAGE_TIME_S)
            self._average = self.estimate_average(statement.stated_at)
            self._average += weight * (statement.pace - self._average)
        self.last = statement

    def estimate_average(self, at: float) -> float:
        """Return the moving average; it decays towards 1 without statements."""
        if self.last is None:
            return 1.0
        age_s = max(at - self.last.stated_at, 0)
        return 1 + (self._average - 1) * 0.5 ** (age_s / AVERAGE_HALF_LIFE_S)

    def estimate(self, at: float) -> float:
        """Return the expected pace at an instant: the older the statement, the more the average."""
        if self.last is None:
            return 1.0
        average = self.estimate_average(at)
        age_s = max(at - self.last.stated_at, 0)
        return average + (self.last.pace - average) * 0.5 ** (age_s / HALF_LIFE_S)

    def estimate_mean(self, at: float, seconds: float) -> float:
        """Return the expected mean pace over work that starts at an instant.

        The work takes `seconds` at the usual pace.
        """
        if self.last is None:
            return 1.0
        average = self.estimate_average(at)
        half_lives = seconds * average / HALF_LIFE_S * math.log(2)
        share = (1 - math.exp(-half_lives)) / half_lives if half_lives > 0 else 1
        return average + (self.estimate(at) - average) * share


def is_plausible(pace: float) -> bool:
    """Return whether an upstream can have this pace."""
    return math.isfinite(pace) and MIN_PACE <= pace <= MAX_PACE
