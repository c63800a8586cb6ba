"""The limit on the answers that all calls of a daemon buffer together."""

from camphorpath.buffers import GUARANTEED_BYTES, BufferPool, Reservation

MAX_BYTES = 64 * GUARANTEED_BYTES


def grow(reservation, step):
    """Grow a reservation until it is refused; return the last size that was allowed."""
    size = 0
    while reservation.resize(size + step):
        size += step
    reservation.resize(size)
    return size


def test_many_endless_answers_fit_together():
    """Guards against a limit that holds for each answer only."""
    pool = BufferPool(MAX_BYTES)
    sizes = [grow(Reservation(pool), 1000) for _ in range(100)]
    assert sum(sizes) == pool.used_bytes
    assert pool.used_bytes <= MAX_BYTES + len(sizes) * GUARANTEED_BYTES


def test_short_answer_is_allowed_beside_endless_ones():
    """Guards against endless answers that take the room of all others."""
    pool = BufferPool(MAX_BYTES)
    for _ in range(100):
        grow(Reservation(pool), 1000)
    assert Reservation(pool).resize(GUARANTEED_BYTES)


def test_long_answer_is_allowed_alone_and_after_others():
    """Guards against room that is not given back."""
    pool = BufferPool(MAX_BYTES)
    reservations = [Reservation(pool) for _ in range(100)]
    for reservation in reservations:
        grow(reservation, 1000)
    for reservation in reservations:
        reservation.resize(0)
    assert pool.used_bytes == 0
    assert Reservation(pool).resize(MAX_BYTES // 2)
