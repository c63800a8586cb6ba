"""Server-sent events in the body of a stream, cut at their ends."""

import re

import attrs

EVENT_END = re.compile(rb'\r?\n\r?\n')
MAX_END_BYTES = 4
ID_LINE = re.compile(rb'(?:\A|\n)id: ?([^\r\n]*)')


@attrs.define
class EventSplitter:
    """Collects the bytes of a stream and hands them out in whole events."""

    last_id: bytes = b''
    events: int = 0
    # The bytes after the last whole event.
    rest: bytearray = attrs.field(factory=bytearray)

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that a chunk completes; what follows is kept."""
        # The end of an event may have come in two parts.
        start = max(len(self.rest) - MAX_END_BYTES + 1, 0)
        self.rest += chunk
        end = 0
        for found in EVENT_END.finditer(self.rest, start):
            end = found.end()
            self.events += 1
        if not end:
            return b''
        whole = bytes(self.rest[:end])
        self.rest = self.rest[end:]
        ids = ID_LINE.findall(whole)
        if ids:
            self.last_id = ids[-1]
        return whole

    def drop_rest(self) -> bytes:
        """Forget the bytes after the last whole event, and return them."""
        rest = bytes(self.rest)
        self.rest = bytearray()
        return rest
