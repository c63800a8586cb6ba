"""Writes the events of a process to the log and keeps the newest in memory."""

import collections

from loguru import logger

from ..clocks import HybridClock
from ..schema import camphorpath_pb2 as pb
from .catalogue import Event

DEFAULT_CAPACITY = 20000


class EventLog:
    """The newest events of this process, oldest first."""

    def __init__(self, incarnation: str = '', capacity: int = DEFAULT_CAPACITY) -> None:
        """Create a log that keeps at most `capacity` events in memory."""
        self.clock = HybridClock()
        self.incarnation = incarnation
        self._sequence = 0
        self._records: collections.deque[pb.EventRecord] = collections.deque(maxlen=capacity)

    def emit(
        self, event: Event, request_id: str = '', upstream: str = '', **fields: object
    ) -> None:
        """Record an event and write it to the log; `fields` are stored as text."""
        self._sequence += 1
        field_texts = {name: str(field) for name, field in fields.items()}
        self._records.append(
            pb.EventRecord(
                stamp=self.clock.stamp(),
                incarnation=self.incarnation,
                number=int(event),
                name=event.name.lower(),
                request_id=request_id,
                upstream=upstream,
                fields=field_texts,
                sequence=self._sequence,
            )
        )
        logger.bind(
            event=int(event),
            incarnation=self.incarnation,
            request_id=request_id,
            upstream=upstream,
            **field_texts,
        ).info(event.name.lower())

    def select(self, query: pb.TimelineRequest) -> list[pb.EventRecord]:
        """Return the events that match the query, oldest first; the newest `query.limit` if set."""
        found = [record for record in self._records if _matches(record, query)]
        return found[-query.limit :] if query.limit else found


def _matches(record: pb.EventRecord, query: pb.TimelineRequest) -> bool:
    if query.request_id and record.request_id != query.request_id:
        return False
    if query.upstream and record.upstream != query.upstream:
        return False
    return not query.number or record.number == query.number
