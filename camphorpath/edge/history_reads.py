"""Reads of the software versions that can have begun a stream that is taken up."""

import math
from collections.abc import Awaitable, Callable, Iterable

import anyio
import attrs

from ..clocks import read_lease_clock
from ..errors import TableUnavailable
from ..events import Event, EventLog

# Bounds the calls to the store; callers choose which streams they take up.
MIN_INTERVAL_S = 0.05


@attrs.define
class _Read:
    """A read that take-ups wait for."""

    ended: anyio.Event = attrs.field(factory=anyio.Event)
    # Whether it succeeded; None before its end, and if its task was cancelled.
    is_confirmed: bool | None = None


@attrs.define
class HistoryReads:
    """Reads the upstreams and the rows of versions and targets for the take-ups of a daemon."""

    events: EventLog
    # Records the versions of the upstreams that are known here as registered now.
    record_registered: Callable[[], None]
    # Called at once; each raises TableUnavailable.
    reads: Iterable[Callable[[], Awaitable[None]]]
    # The read that has not begun yet; None if no take-up waits for it.
    _next_read: _Read | None = None
    # When the next read may begin, on the lease clock.
    _next_read_at: float = -math.inf
    _is_failing: bool = False

    async def confirm(self) -> bool:
        """Read all versions that were registered until the begin of this call.

        Returns whether that succeeded. What was read earlier does not count: this daemon may have
        been suspended or cut off since.
        """
        while True:
            read = self._next_read
            if read is None:
                read = _Read()
                self._next_read = read
                await self._run(read)
            else:
                await read.ended.wait()
            if read.is_confirmed is not None:
                return read.is_confirmed

    async def _run(self, read: _Read) -> None:
        """Read once that is allowed; the reads of earlier take-ups may be in progress."""
        try:
            await anyio.sleep(max(self._next_read_at - read_lease_clock(), 0))
            self._next_read = None
            self._next_read_at = read_lease_clock() + MIN_INTERVAL_S
            read.is_confirmed = await self._read_all()
        finally:
            if self._next_read is read:
                self._next_read = None
            read.ended.set()

    async def _read_all(self) -> bool:
        """Return whether all could be read."""
        # A version whose last upstream is removed by the read still counts.
        self.record_registered()
        errors: list[TableUnavailable] = []

        async def attempt(read: Callable[[], Awaitable[None]]) -> None:
            try:
                await read()
            except TableUnavailable as error:
                errors.append(error)

        async with anyio.create_task_group() as group:
            for read in self.reads:
                group.start_soon(attempt, read)
        if errors and not self._is_failing:
            self.events.emit(Event.STREAM_STORE_FAILED, task='confirm', problem=str(errors[0]))
        self._is_failing = bool(errors)
        self.record_registered()
        return not errors
