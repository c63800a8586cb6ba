"""Clocks for leases, deadlines and the order of events."""

import time

import attrs

LOGICAL_BITS = 16
MS_PER_S = 1000


def read_lease_clock() -> float:
    """Return seconds on a monotonic clock that also counts time in suspension.

    Leases are checked on it: a plain monotonic clock stops while a VM is suspended, and the holder
    would then believe that an expired lease is still valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class HybridClock:
    """Stamps that never decrease and never precede a stamp that was observed.

    A stamp is an integer: milliseconds since 1970 shifted left by 16 bits, plus a counter.
    """

    _last: int = 0

    def stamp(self) -> int:
        """Return a stamp greater than all stamps issued or observed so far."""
        wall = int(time.time() * MS_PER_S) << LOGICAL_BITS
        self._last = max(wall, self._last + 1)
        return self._last

    def observe(self, stamp: int) -> None:
        """Take note of a stamp issued by another process."""
        self._last = max(self._last, stamp)
