"""Reads events from the log files of daemons."""

import datetime
import pathlib
from collections.abc import Iterable, Iterator

import orjson

from ..clocks import LOGICAL_BITS, MS_PER_S
from ..errors import UserError
from ..schema import camphorpath_pb2 as pb

# Keys of a log line that do not belong to the fields of its event.
COMMON_FIELDS = frozenset(
    ('time', 'level', 'daemon', 'message', 'event', 'incarnation', 'request_id', 'upstream')
)


def read_files(
    paths: Iterable[str], query: pb.TimelineRequest
) -> tuple[list[pb.EventRecord], list[str]]:
    """Return the events that match the query, and a message for each file with invalid lines.

    The timestamps are those of the daemons that wrote the logs. A line may have a prefix before
    its JSON object, as log collectors add one. Raises UserError if a file cannot be read.
    """
    records: list[pb.EventRecord] = []
    problems: list[str] = []
    for path in paths:
        unreadable = 0
        found = []
        for line in _read_lines(path):
            record = _parse_line(line, len(found))
            if record is None:
                unreadable += 1
            elif _matches(record, query):
                found.append(record)
        if unreadable:
            problems.append(f'{path}: {unreadable} lines are not events')
        records.extend(found[-query.limit :] if query.limit else found)
    return records, problems


def _read_lines(path: str) -> Iterator[str]:
    try:
        with pathlib.Path(path).open(encoding='utf-8', errors='replace') as lines:
            yield from lines
    except OSError as error:
        raise UserError(f'{path}: cannot read the log: {error}') from error


def _parse_line(line: str, sequence: int) -> pb.EventRecord | None:
    try:
        found = orjson.loads(line[line.index('{') :])
        time_s = datetime.datetime.fromisoformat(found['time']).timestamp()
        return pb.EventRecord(
            stamp=round(time_s * MS_PER_S) << LOGICAL_BITS,
            incarnation=found['incarnation'],
            sequence=sequence,
            number=found['event'],
            name=found['message'],
            request_id=found['request_id'],
            upstream=found['upstream'],
            fields={name: str(text) for name, text in found.items() if name not in COMMON_FIELDS},
        )
    except (ValueError, KeyError, TypeError):
        # Output of a library, or a truncated line.
        return None


def _matches(record: pb.EventRecord, query: pb.TimelineRequest) -> bool:
    return (
        query.request_id in {'', record.request_id}
        and query.upstream in {'', record.upstream}
        and query.number in {0, record.number}
    )
