"""Clocks for leases, deadlines and event ordering."""

import time

import attrs

LOGICAL_BITS = 16
MS_PER_S = 1000


def read_lease_clock() -> float:
    """Return seconds on a monotonic clock that includes time spent suspended.

    Leases are checked against this clock: CLOCK_MONOTONIC stops while a VM is suspended, and the
    holder would then treat an expired lease as still valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class HybridClock:
    """A hybrid logical clock: each timestamp is above all that were issued or observed before.

    A timestamp is an integer: milliseconds since 1970 shifted left by 16 bits, plus a counter.
    """

    _last: int = 0

    def stamp(self) -> int:
        """Return a timestamp greater than all that were issued or observed so far."""
        wall = int(time.time() * MS_PER_S) << LOGICAL_BITS
        self._last = max(wall, self._last + 1)
        return self._last

    def observe(self, stamp: int) -> None:
        """Advance the clock to a timestamp issued by another process."""
        self._last = max(self._last, stamp)
