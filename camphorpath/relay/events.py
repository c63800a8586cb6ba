"""Server-sent events in the body of a stream, cut at their ends."""

import re

import attrs

EVENT_END = re.compile(rb'\r?\n\r?\n')
ID_LINE = re.compile(rb'(?:\A|\n)id: ?([^\r\n]*)')


@attrs.define
class EventSplitter:
    """Collects the bytes of a stream and hands them out in whole events."""

    last_id: bytes = b''
    events: int = 0
    rest: bytes = b''

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that a chunk completes; what follows is kept."""
        pending = self.rest + chunk
        end = 0
        for found in EVENT_END.finditer(pending):
            end = found.end()
            self.events += 1
        if not end:
            self.rest = pending
            return b''
        whole = pending[:end]
        self.rest = pending[end:]
        ids = ID_LINE.findall(whole)
        if ids:
            self.last_id = ids[-1]
        return whole
