"""Keeps a task that is never made to wait from blocking the event loop.

A socket that always has input lets its reader run without end, and one receive may hold thousands
of small messages. No timer fires and no other task runs meanwhile.
"""

import anyio
import attrs
from anyio.lowlevel import RunVar

# Work of a task after which others run: some milliseconds on a slow VM.
MAX_TURN_BYTES = 16384
# Handling a short part of a message takes as long as relaying about this many bytes.
MIN_PART_COST_BYTES = 256

_queue: RunVar[anyio.Lock] = RunVar('queue of busy tasks')


def get_cost(part: bytes = b'') -> int:
    """Return the cost of handling a part of a message, in bytes of input that take as long."""
    return max(len(part), MIN_PART_COST_BYTES)


@attrs.define
class Turn:
    """What one task has done since it last let other tasks run."""

    _work_bytes: int = 0

    @property
    def is_over(self) -> bool:
        """Whether the task should let other tasks run now."""
        return self._work_bytes >= MAX_TURN_BYTES

    def add_work(self, work_bytes: int) -> None:
        """Count work, in bytes of input that take as long."""
        self._work_bytes += work_bytes

    def restart(self) -> None:
        """Record that the task has waited, and so let others run."""
        self._work_bytes = 0

    async def end_if_over(self) -> None:
        """Let other tasks run if the turn is over.

        Busy tasks queue up, and one of them goes on in each iteration of the event loop, so that
        their number does not delay the other tasks.
        """
        if not self.is_over:
            return
        async with _get_queue():
            self.restart()


def _get_queue() -> anyio.Lock:
    try:
        return _queue.get()
    except LookupError:
        queue = anyio.Lock()
        _queue.set(queue)
        return queue
