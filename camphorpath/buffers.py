"""Limits the memory of all messages together that a daemon holds until they are complete."""

import contextlib
from collections.abc import Iterator

import attrs

# A daemon may have some 300 MB, and has a few pools. What they hold is copied when it is used.
MAX_BUFFERED_BYTES = 33554432
# Each message may have this much, however much the others hold.
GUARANTEED_BYTES = 65536


@attrs.define(eq=False)
class Reservation:
    """The share of one reader in a pool.

    It may grow to as much as is left for the others, so that large messages pass while there are
    few and many endless ones do not take the room of a sound one.
    """

    _pool: 'BufferPool'
    _size: int = 0

    def resize(self, size: int) -> bool:
        """Hold `size` bytes instead of those before; return whether they are within the limit."""
        self._pool.used_bytes += size - self._size
        self._size = size
        free = self._pool.max_bytes - self._pool.used_bytes
        return size <= max(free, GUARANTEED_BYTES)


@attrs.define
class BufferPool:
    """The bytes that messages of one kind hold, and their limit."""

    max_bytes: int = MAX_BUFFERED_BYTES
    used_bytes: int = 0

    @contextlib.contextmanager
    def open_reservation(self) -> Iterator[Reservation]:
        """Yield a reservation, which holds nothing at first and at the end."""
        reservation = Reservation(self)
        try:
            yield reservation
        finally:
            reservation.resize(0)
