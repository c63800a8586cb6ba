"""Timers after which the owner checks a service or request again."""

import heapq
import itertools
from collections.abc import Iterator

import anyio
import attrs


@attrs.define(eq=False)
class TimerQueue:
    """Timers (time on the lease clock, service, request id) in the order of their times."""

    _heap: list[tuple[float, int, str, str]] = attrs.field(factory=list)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)
    _changed: anyio.Event = attrs.field(factory=anyio.Event)

    def add(self, due_at: float, service: str, request_id: str) -> None:
        """Add a timer; an empty `request_id` stands for the whole service."""
        heapq.heappush(self._heap, (due_at, next(self._numbers), service, request_id))
        if self._heap[0][0] == due_at:
            self._changed.set()

    def pop_due(self, now: float) -> Iterator[tuple[str, str]]:
        """Remove and yield the service and request id of each timer that is due."""
        while self._heap and self._heap[0][0] <= now:
            _due_at, _number, service, request_id = heapq.heappop(self._heap)
            yield service, request_id

    async def wait(self, now: float) -> None:
        """Wait until the first timer is due or a new one precedes it."""
        delay = self._heap[0][0] - now if self._heap else None
        with anyio.move_on_after(None if delay is None else max(delay, 0)):
            await self._changed.wait()
        self._changed = anyio.Event()
