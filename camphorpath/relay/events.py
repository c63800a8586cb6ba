"""Splits the body of a stream into server-sent events."""

import re

import attrs

EVENT_END = re.compile(rb'\r?\n\r?\n')
MAX_END_BYTES = 4
ID_LINE = re.compile(rb'(?:\A|\n)id: ?([^\r\n]*)')
DATA_LINE = re.compile(rb'(?:\A|\n)data[:\r\n]')
# Ids that are compared as numbers.
NUMERIC_ID = re.compile(rb'[0-9]{1,18}')


class MisplacedEventError(Exception):
    """The first event of a run does not follow the event after which the stream was resumed."""


@attrs.define
class EventSplitter:
    """Buffers the bytes of a stream and returns them in whole events."""

    # Empty if the last event has no id: a resumed stream would repeat it.
    last_id: bytes = b''
    event_count: int = 0
    # Bytes after the last whole event.
    partial: bytearray = attrs.field(factory=bytearray)
    # Id after which the current run goes on; None once an event of it was checked.
    _resumed_after: bytes | None = None

    def start_run(self, resumed_after: bytes) -> None:
        """Drop the partial event of the run before; the next run goes on after an id, if any."""
        self.pop_partial()
        self._resumed_after = resumed_after or None

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that a chunk completes; buffer the bytes after them.

        Raises MisplacedEventError; then no event of the chunk is counted.
        """
        # The end of an event may be split between two chunks.
        start = max(len(self.partial) - MAX_END_BYTES + 1, 0)
        self.partial += chunk
        events = []
        end = 0
        for found in EVENT_END.finditer(self.partial, start):
            events.append(bytes(self.partial[end : found.end()]))
            end = found.end()
        ids = [found_id for found_id in map(find_id, events) if found_id is not None]
        if ids:
            self._check_place(ids[0])
            self.last_id = ids[-1]
        self.event_count += len(events)
        self.partial = self.partial[end:]
        return b''.join(events)

    def _check_place(self, first_id: bytes) -> None:
        resumed_after = self._resumed_after
        if resumed_after is not None and not _follows(first_id, resumed_after):
            raise MisplacedEventError(f'event {first_id!r} comes after event {resumed_after!r}')
        self._resumed_after = None

    def pop_partial(self) -> bytes:
        """Remove and return the bytes after the last whole event."""
        remaining = bytes(self.partial)
        self.partial = bytearray()
        return remaining


def find_id(event: bytes) -> bytes | None:
    """Return the id of an event, b'' if it has none, or None for a comment or the like."""
    ids = ID_LINE.findall(event)
    if ids:
        return ids[-1]
    return b'' if DATA_LINE.search(event) else None


def _follows(event_id: bytes, previous: bytes) -> bool:
    """Return whether an event may come after another one; ids that are numbers must rise."""
    if NUMERIC_ID.fullmatch(event_id) and NUMERIC_ID.fullmatch(previous):
        return int(event_id) > int(previous)
    return bool(event_id) and event_id != previous
