"""How much a daemon may buffer, and how long a peer may take nothing of it."""

import attrs

# A daemon without load takes about 60 MB, and messages are copied while they are parsed.
BUFFERED_SHARE = 0.25
# Above this share of the bound, peers that read nothing are given up sooner. The rest holds the
# largest request of a caller and its copy, also in the smallest deployment (4 MiB of 50 MB).
PRESSURE_SHARE = 0.5
# Large requests that are not urgent may fill this share of the bound.
ORDINARY_SHARE = 0.8
# Share of the bound that each pool of whole messages may take.
POOL_SHARE = 0.5
# Time for which bytes of a stream may wait for a caller that takes none. The kernel of a caller
# reports what was read in steps of some 16 KB: on loopback, one that reads 10 kB/s seems to pause
# for up to 2 s, and one that reads 3 kB/s for up to 7 s.
STREAM_STALL_S = 8.0
# The same for a whole answer, which holds no slot and may be acknowledged in steps of 128 kB.
ANSWER_STALL_S = 30.0
# The same under pressure, for callers and upstreams.
PRESSURE_STALL_S = 4.0
BYTES_PER_MB = 1_000_000


@attrs.frozen
class MemoryBounds:
    """The bytes that a daemon may buffer in total, and the times after which it gives peers up."""

    buffered_bytes: float
    stream_stall_s: float = STREAM_STALL_S
    answer_stall_s: float = ANSWER_STALL_S
    pressure_stall_s: float = PRESSURE_STALL_S

    @property
    def pressure_bytes(self) -> float:
        """The buffered bytes above which readers without progress are ended sooner."""
        return self.buffered_bytes * PRESSURE_SHARE

    @property
    def ordinary_bytes(self) -> float:
        """The buffered bytes up to which large requests are admitted that are not urgent."""
        return self.buffered_bytes * ORDINARY_SHARE

    @property
    def pool_bytes(self) -> int:
        """The most bytes of whole messages of one kind."""
        return int(self.buffered_bytes * POOL_SHARE)


def make_bounds(memory_mb: float) -> MemoryBounds | None:
    """Return the bounds for a memory limit of the process; None without a limit."""
    if memory_mb <= 0:
        return None
    return MemoryBounds(memory_mb * BYTES_PER_MB * BUFFERED_SHARE)
