"""Counts what a daemon buffers, and decides which requests it refuses and which readers it ends.

Answers callers that stop reading in the middle of a stream, upstreams that read requests slowly,
and many large requests at a time: each makes a daemon buffer bytes until it exceeds its memory
limit.
"""

import collections
import contextlib
import enum
import math
from collections.abc import Iterator, Mapping

import attrs

from ..buffers import GUARANTEED_BYTES, BufferPool
from .bounds import MemoryBounds

# Interval at which a blocked send looks for progress.
LOOK_INTERVAL_S = 0.25
# Most time without progress that one look adds: the process may have been suspended in between.
MAX_LOOK_S = 0.5
# A pause may be this many times as long as the longest one that ended.
MAX_PAUSE_GROWTH = 2
# A request is buffered as its body and a copy that is sent to an upstream.
COPIES_PER_REQUEST = 2


@enum.unique
class BufferKind(enum.Enum):
    """What is buffered; the values are labels of a metric."""

    REQUEST = 'request'
    ANSWER = 'answer'
    TO_CALLER = 'to_caller'
    TO_UPSTREAM = 'to_upstream'


@enum.unique
class EndReason(enum.Enum):
    """Why a reader was given up; the values are labels of a metric."""

    STALLED = 'stalled'
    PRESSURE = 'memory_pressure'


@attrs.define(eq=False)
class SlowReader:
    """A peer for which bytes wait that its connection does not accept now."""

    kind: BufferKind
    looked_at: float
    buffered_bytes: int = 0
    # Time without progress as far as it was observed.
    idle_s: float = 0
    # The longest such time that ended with progress.
    longest_pause_s: float = 0
    end_reason: EndReason | None = None
    # Bytes that the peer has acknowledged since the first look, less those before it.
    _taken: float = -math.inf

    def record(self, buffered_bytes: int, taken: int, now: float) -> None:
        """Record how many bytes wait, and how many the peer has acknowledged in total."""
        self.buffered_bytes = buffered_bytes
        self.idle_s += min(max(now - self.looked_at, 0), MAX_LOOK_S)
        self.looked_at = now
        if taken > self._taken:
            if math.isfinite(self._taken):
                self.longest_pause_s = max(self.longest_pause_s, self.idle_s)
            self._taken = taken
            self.idle_s = 0

    def is_stalled(self, stall_s: float) -> bool:
        """Return whether the peer has taken nothing for longer than it may."""
        return self.idle_s >= max(stall_s, MAX_PAUSE_GROWTH * self.longest_pause_s)


@attrs.define
class MemoryLedger:
    """What one daemon buffers; without bounds nothing is refused or ended."""

    bounds: MemoryBounds | None = None
    requests: BufferPool = attrs.field(factory=BufferPool)
    answers: BufferPool = attrs.field(factory=BufferPool)
    # Whether more is buffered than `MemoryBounds.pressure_bytes`, by the last check.
    is_under_pressure: bool = False
    # Readers that were given up since the last check.
    ended: list[SlowReader] = attrs.field(factory=list)
    _readers: set[SlowReader] = attrs.field(factory=set)
    # Buffered bytes of `_readers`, by kind.
    _unread: collections.Counter[BufferKind] = attrs.field(factory=collections.Counter)

    def apply_bounds(self, bounds: MemoryBounds | None) -> None:
        """Set the bounds at the start of the daemon."""
        self.bounds = bounds
        if bounds is None:
            return
        for pool in (self.requests, self.answers):
            pool.max_bytes = min(pool.max_bytes, bounds.pool_bytes)

    def count_total(self) -> int:
        """Return the buffered bytes of all kinds."""
        return self.requests.used_bytes + self.answers.used_bytes + self._unread.total()

    def count_by_kind(self) -> Mapping[BufferKind, int]:
        """Return the buffered bytes of each kind."""
        return {
            BufferKind.REQUEST: self.requests.used_bytes,
            BufferKind.ANSWER: self.answers.used_bytes,
            BufferKind.TO_CALLER: self._unread[BufferKind.TO_CALLER],
            BufferKind.TO_UPSTREAM: self._unread[BufferKind.TO_UPSTREAM],
        }

    def admits(self, size: int, counted_bytes: int, *, is_urgent: bool) -> bool:
        """Return whether a request with a body of `size` bytes may be buffered.

        Of these, `counted_bytes` are buffered already.
        """
        bounds = self.bounds
        if bounds is None or size <= GUARANTEED_BYTES:
            return True
        total = self.count_total() + size * COPIES_PER_REQUEST - counted_bytes
        limit = bounds.buffered_bytes if is_urgent else bounds.ordinary_bytes
        return total <= limit

    @contextlib.contextmanager
    def open_reader(self, kind: BufferKind, now: float) -> Iterator[SlowReader]:
        """Yield a reader; what is recorded of it by `record` counts until the end."""
        reader = SlowReader(kind, now)
        self._readers.add(reader)
        try:
            yield reader
        finally:
            self._readers.discard(reader)
            self._unread[kind] -= reader.buffered_bytes

    def record(self, reader: SlowReader, buffered_bytes: int, taken: int, now: float) -> None:
        """Record how many bytes wait for a reader, and how many it has acknowledged in total."""
        self._unread[reader.kind] += buffered_bytes - reader.buffered_bytes
        reader.record(buffered_bytes, taken, now)

    def end(self, reader: SlowReader, reason: EndReason) -> None:
        """Give a reader up; its sender ends the call at its next look."""
        if reader.end_reason is None:
            reader.end_reason = reason
            self.ended.append(reader)

    def relieve(self) -> None:
        """End readers without progress while too much is buffered.

        Those with the most bytes for the longest time end first.
        """
        if self.bounds is None:
            return
        excess = self.count_total() - self.bounds.pressure_bytes
        self.is_under_pressure = excess > 0
        if excess <= 0:
            return
        # Those that are ending free their bytes at their next look.
        excess -= sum(reader.buffered_bytes for reader in self._readers if reader.end_reason)
        for reader in sorted(self._readers, key=_get_cost, reverse=True):
            if excess <= 0:
                return
            if reader.end_reason or not reader.is_stalled(self.bounds.pressure_stall_s):
                continue
            self.end(reader, EndReason.PRESSURE)
            excess -= reader.buffered_bytes

    def pop_ended(self) -> list[SlowReader]:
        """Return the readers that were given up since the last time."""
        ended = self.ended
        self.ended = []
        return ended


def _get_cost(reader: SlowReader) -> float:
    return reader.buffered_bytes * reader.idle_s
