"""Writes the log to standard output without blocking."""

import collections
import os
import sys

import anyio
from loguru import logger

from ..events.lines import render_line

# Lines that are queued for a slow reader; further lines are dropped and counted.
MAX_QUEUED_LINE_COUNT = 4000
# Average rate and largest burst. Above it, low-priority lines, which requests log, are dropped.
MAX_LINES_PER_S = 400
FLUSH_INTERVAL_S = 0.2
LOW_PRIORITY_LEVELS = frozenset(('INFO', 'DEBUG'))


class LogOutput:
    """A bounded queue of log lines in front of a non-blocking file descriptor."""

    def __init__(self, name: str, descriptor: int) -> None:
        """Make the descriptor non-blocking; lines carry the daemon name `name`."""
        os.set_blocking(descriptor, False)
        self.dropped_count = 0
        self._descriptor = descriptor
        self._name = name
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b''
        self._available_line_count: float = MAX_LINES_PER_S

    def write(self, message: object) -> None:
        """Queue one record of the logger, or drop it if the queue or the rate limit is full."""
        record = message.record
        is_minor = record['level'].name in LOW_PRIORITY_LEVELS
        if len(self._lines) >= MAX_QUEUED_LINE_COUNT or (
            is_minor and self._available_line_count < 1
        ):
            self.dropped_count += 1
            return
        self._available_line_count -= 1
        self._lines.append(f'{render_line(record, self._name)}\n'.encode())

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._lines.popleft()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader closed the pipe, so the error cannot be logged either.
                self.dropped_count += len(self._lines) + 1
                self._lines.clear()
                self._unwritten = b''
                return
            self._unwritten = self._unwritten[written:]

    async def run(self) -> None:
        """Flush the lines at short intervals until cancelled."""
        reported_count = 0
        while True:
            await anyio.sleep(FLUSH_INTERVAL_S)
            refilled = self._available_line_count + MAX_LINES_PER_S * FLUSH_INTERVAL_S
            self._available_line_count = min(refilled, MAX_LINES_PER_S)
            if self.dropped_count > reported_count:
                logger.warning('{} log lines were dropped', self.dropped_count - reported_count)
                reported_count = self.dropped_count
            self.flush()


def open_output(name: str, level: str) -> LogOutput:
    """Send the log of this process to standard output, one JSON object per line."""
    output = LogOutput(name, sys.stdout.fileno())
    logger.remove()
    logger.add(output.write, level=level, format='', backtrace=False, diagnose=False)
    return output
