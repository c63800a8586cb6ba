"""Reads that concurrent tasks share."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Generic, TypeVar

import anyio
import attrs

from ..errors import TableUnavailable

# What was read is used again for this time.
CACHE_S = 0.5

Found = TypeVar('Found')


@attrs.define
class SharedRead(Generic[Found]):
    """A read that is in progress, or has ended."""

    # On the lease clock.
    began_at: float
    # None while it is in progress, and after it failed or was abandoned.
    found: Found | None = None
    error: TableUnavailable | None = None
    ended: anyio.Event = attrs.field(factory=anyio.Event)


@attrs.define
class SharedReads(Generic[Found]):
    """Reads by key; a failed one is not repeated at once either."""

    _reads: dict[str, SharedRead[Found]] = attrs.field(factory=dict)

    async def get_all(
        self, keys: Iterable[str], fetch: Callable[[str], Awaitable[Found]], now: float
    ) -> list[Found | TableUnavailable]:
        """Return what was read for each key, or the error; read what nobody has read lately."""
        self.expire(now)
        awaited = dict.fromkeys(keys)
        outcomes: list[Found | TableUnavailable] = []
        while awaited:
            reads = await self._read_missing(list(awaited), fetch, now)
            for key, read in reads.items():
                if not read.ended.is_set():
                    await read.ended.wait()
                outcome = read.found if read.error is None else read.error
                if outcome is None:
                    # The task that read was cancelled.
                    continue
                outcomes.append(outcome)
                awaited.pop(key)
        return outcomes

    def expire(self, now: float) -> None:
        """Forget what was read too long ago."""
        for key, read in list(self._reads.items()):
            if read.ended.is_set() and now - read.began_at >= CACHE_S:
                self._reads.pop(key)

    async def _read_missing(
        self, keys: list[str], fetch: Callable[[str], Awaitable[Found]], now: float
    ) -> dict[str, SharedRead[Found]]:
        """Read the keys that no other task has read or is reading; return all reads."""
        missing = [key for key in keys if key not in self._reads]
        for key in missing:
            self._reads[key] = SharedRead(now)
        reads = {key: self._reads[key] for key in keys}
        if not missing:
            return reads
        try:
            async with anyio.create_task_group() as group:
                for key in missing:
                    group.start_soon(_fill, reads[key], key, fetch)
        finally:
            for key in missing:
                self._end(key, reads[key])
        return reads

    def _end(self, key: str, read: SharedRead[Found]) -> None:
        read.ended.set()
        if read.found is None and read.error is None and self._reads.get(key) is read:
            self._reads.pop(key)


async def _fill(
    read: SharedRead[Found], key: str, fetch: Callable[[str], Awaitable[Found]]
) -> None:
    try:
        read.found = await fetch(key)
    except TableUnavailable as error:
        # Each task that waits for this read gets the error.
        read.error = error
    read.ended.set()
