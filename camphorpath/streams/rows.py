"""Rows of the metadata store that hold the origins of streams and the software versions."""

import struct
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs
import orjson

from ..errors import PlatformError
from ..hashing import digest_bytes
from .records import DIGEST_BYTES, Origin

FORMAT_VERSION = 1
# Format version and the store's time of the last record in ms; 0 if that is unknown.
HEAD = struct.Struct('>BQ')
# Before the records of each origin: bytes of its service and version, and the number of records.
GROUP = struct.Struct('>HHH')
MS_PER_S = 1000
KEY_DIGITS = 12
# A row takes up records for this time, or up to this size.
MAX_ROW_AGE_S = 2.0
MAX_ROW_BYTES = 512
# Bounds the memory while the store is away; the oldest rows are dropped first.
MAX_ROW_COUNT = 4096


@attrs.frozen
class StreamRow:
    """The content of a row."""

    origins: dict[bytes, Origin]
    # The store's steady clock in seconds at the last record; None if it is unknown.
    last_s: float | None


def encode_row(origins: Mapping[bytes, Origin], last_s: float | None) -> bytes:
    """Return the content of a row with the records of streams by digest."""
    groups: dict[Origin, list[bytes]] = {}
    for digest, origin in origins.items():
        groups.setdefault(origin, []).append(digest)
    content = [HEAD.pack(FORMAT_VERSION, round((last_s or 0) * MS_PER_S))]
    for origin, digests in groups.items():
        service = origin.service.encode()
        software_version = origin.software_version.encode()
        content.append(GROUP.pack(len(service), len(software_version), len(digests)))
        content += [service, software_version, *digests]
    return b''.join(content)


def decode_row(content: bytes | None) -> StreamRow:
    """Return the content of a row; raise PlatformError with the reason if it is unreadable."""
    try:
        return _decode_row(content or b'')
    except (struct.error, UnicodeDecodeError) as error:
        raise PlatformError(f'not a row of streams: {error}', step='decode') from error


def _decode_row(content: bytes) -> StreamRow:
    format_version, last_ms = HEAD.unpack_from(content)
    if format_version != FORMAT_VERSION:
        raise PlatformError(f'rows of format {format_version} are not known', step='decode')
    origins: dict[bytes, Origin] = {}
    start = HEAD.size
    while start < len(content):
        service_size, version_size, count = GROUP.unpack_from(content, start)
        version_start = start + GROUP.size + service_size
        digest_start = version_start + version_size
        end = digest_start + count * DIGEST_BYTES
        if end > len(content):
            raise PlatformError('the row is cut off', step='decode')
        service = content[start + GROUP.size : version_start].decode()
        origin = Origin(service, content[version_start:digest_start].decode())
        for place in range(digest_start, end, DIGEST_BYTES):
            origins[content[place : place + DIGEST_BYTES]] = origin
        start = end
    return StreamRow(origins, last_ms / MS_PER_S or None)


@attrs.frozen
class VersionRow:
    """A software version of a service, and when an upstream of it was last registered."""

    service: str
    software_version: str
    # The store's steady clock in seconds; None if it is unknown.
    seen_s: float | None
    # The store's era when the versions that its writer knew were written; None if it is unknown.
    era: int | None = None
    # Versions that were registered until then, on the store's steady clock in seconds, may be
    # missing; None if the writer knew all.
    complete_since_s: float | None = None


def make_version_key(service: str, software_version: str) -> str:
    """Return the key of the row of a software version."""
    return digest_bytes(orjson.dumps([service, software_version])).hex()


def make_announced_key(service: str, software_version: str) -> str:
    """Return the key of the row of a version that another daemon than the writer announces.

    It replaces no row that states what the writer of the versions knows.
    """
    return f'{make_version_key(service, software_version)}-announced'


def encode_version_row(row: VersionRow) -> bytes:
    """Return the content of the row of a software version."""
    return orjson.dumps(
        {
            'service': row.service,
            'version': row.software_version,
            'seen_ms': convert_to_ms(row.seen_s),
            'era': row.era,
            'complete_since_ms': convert_to_ms(row.complete_since_s),
        }
    )


def decode_version_row(content: bytes | None) -> VersionRow:
    """Return a software version; raise PlatformError with the reason if it is unreadable."""
    try:
        document = orjson.loads(content or b'{}')
        service, software_version = document['service'], document['version']
        seen_ms, era = document['seen_ms'], document.get('era')
        complete_since_ms = document.get('complete_since_ms')
    except (KeyError, TypeError, ValueError) as error:
        raise PlatformError(f'not a row of a version: {error!r}', step='decode') from error
    if not (isinstance(service, str) and isinstance(software_version, str)):
        raise PlatformError('the service or the version is not a text', step='decode')
    if isinstance(era, bool) or not isinstance(era, int | None):
        raise PlatformError('the era is not a whole number', step='decode')
    return VersionRow(
        service, software_version, read_seconds(seen_ms), era, read_seconds(complete_since_ms)
    )


def convert_to_ms(time_s: float | None) -> int | None:
    """Return a time in ms, None for None."""
    return None if time_s is None else round(time_s * MS_PER_S)


def read_seconds(time_ms: Any) -> float | None:
    """Return a time in ms in seconds, None for None; raise PlatformError if it is no number."""
    if isinstance(time_ms, bool) or not isinstance(time_ms, int | float | None):
        raise PlatformError('the time is not a number', step='decode')
    return None if time_ms is None else time_ms / MS_PER_S


@attrs.define
class OwnRow:
    """A row of this daemon; times on the lease clock."""

    key: str
    began_at: float
    last_at: float
    origins: dict[bytes, Origin] = attrs.field(factory=dict)
    services: set[str] = attrs.field(factory=set)
    size: int = HEAD.size
    # Whether it may take up more records.
    is_open: bool = True
    is_written: bool = False
    # Whether the store may hold it.
    may_exist: bool = False

    def measure(self, origin: Origin) -> int:
        """Return how many bytes a record would add."""
        if origin in self.origins.values():
            return DIGEST_BYTES
        names_size = len(origin.service.encode()) + len(origin.software_version.encode())
        return GROUP.size + names_size + DIGEST_BYTES

    def is_full(self, added_bytes: int, now: float) -> bool:
        """Return whether a record of a size has to go into the next row."""
        if not self.is_open or now - self.began_at >= MAX_ROW_AGE_S:
            return True
        return bool(self.origins) and self.size + added_bytes > MAX_ROW_BYTES


@attrs.define
class OwnRows:
    """The rows of this daemon, oldest first."""

    _rows: dict[str, OwnRow] = attrs.field(factory=dict)
    _next_number: int = 0

    def add(self, records: Mapping[bytes, Origin], now: float) -> None:
        """Add new records to the last row, or to the next ones."""
        row = next(reversed(self._rows.values()), None)
        for digest, origin in records.items():
            added_bytes = row.measure(origin) if row else 0
            if row is None or row.is_full(added_bytes, now):
                row = self._begin_row(now)
                added_bytes = row.measure(origin)
            row.size += 0 if digest in row.origins else added_bytes
            row.origins[digest] = origin
            row.services.add(origin.service)
            row.last_at = now
            row.is_written = False

    def list_unwritten(self, is_outdated: Callable[[OwnRow], bool], limit: int) -> list[OwnRow]:
        """Return the oldest rows that are not written; give up the outdated ones among them."""
        unwritten = [row for row in self._rows.values() if not row.is_written]
        for row in unwritten:
            if not is_outdated(row):
                continue
            row.is_open = False
            row.is_written = True
            if not row.may_exist:
                self._rows.pop(row.key)
        return [row for row in unwritten if not row.is_written][:limit]

    def list_outdated(self, is_outdated: Callable[[OwnRow], bool], limit: int) -> list[str]:
        """Return the keys of the oldest rows that are outdated."""
        return [row.key for row in self._rows.values() if is_outdated(row)][:limit]

    def remove(self, keys: Iterable[str]) -> None:
        """Forget rows that are removed from the store."""
        for key in keys:
            self._rows.pop(key, None)

    def mark_lost(self) -> None:
        """Write all rows again, as the store was restored from a copy."""
        for row in self._rows.values():
            row.is_written = False

    def _begin_row(self, now: float) -> OwnRow:
        row = OwnRow(f'{self._next_number:0{KEY_DIGITS}}', now, now)
        self._next_number += 1
        self._rows[row.key] = row
        while len(self._rows) > MAX_ROW_COUNT:
            self._rows.pop(next(iter(self._rows)))
        return row
