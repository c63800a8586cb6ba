"""Client of the platform's metadata store."""

import base64
import socket
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import anyio
import attrs
import httpx
import orjson

from ..buffers import BufferPool, Reservation
from ..clocks import read_lease_clock
from ..errors import HistoryCompacted, RowsChanged, TableOutcomeUnknown, TableUnavailable
from ..transports import CompleteAnswer, ContentTooLarge, fetch_complete, make_plain_transport
from .fields import MAX_NUMBER
from .revisions import FIRST_ERA, get_era, get_version, make_revision
from .wire import ERA_HEADER, ROWS_FEED, ROWS_GET, ROWS_PARTS, ROWS_WRITE

# Longer than a call to a healthy store takes (a few ms), shorter than the time within which a
# manifest must be in force.
CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
# Longer than CALL_TIMEOUT_S, so that reads from a slow store still succeed.
READ_TIMEOUT_S = 2.0
PAGE_ROW_COUNT = 500
# The store sends this many parts in an answer.
PAGE_PART_COUNT = 1000
# Longest answer. A page holds at most 1 MB of rows, before their values are encoded and the names
# of their places are added. Longer changes are read as a listing, which has pages.
MAX_ANSWER_BYTES = 4194304
# Memory that a row or a part takes besides its text.
MIN_ENTRY_BYTES = 256
# Rows that a transaction may write and remove.
MAX_WRITE_ROWS = 100
MS_PER_S = 1000
# A dead connection is closed after about this time.
DEAD_CONNECTION_TIMEOUT_S = 2
SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, DEAD_CONNECTION_TIMEOUT_S - 1),
)
# Errors after which the request was certainly not sent, as there was no connection.
NEVER_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@attrs.frozen
class StoreRow:
    """A row of a table.

    `value` is None if the row was removed, and empty if it cannot be read.
    """

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class Rows:
    """Rows of a table as of a revision of the store."""

    rows: list[StoreRow]
    revision: int
    # When the headers of the answer arrived, on the lease clock; rows may have changed since.
    answered_at: float = attrs.field(factory=read_lease_clock)
    # Rows without a valid key, which are left out.
    skipped_count: int = 0
    # The store's steady clock when it answered, in seconds; None if it stated none.
    store_time_s: float | None = None

    def to_lease_time(self, store_time_s: float | None) -> float:
        """Return an instant of the store's clock on the lease clock, at most `answered_at`.

        One that is unknown counts as that of the answer.
        """
        if store_time_s is None or self.store_time_s is None:
            return self.answered_at
        return self.answered_at - max(self.store_time_s - store_time_s, 0)


@attrs.frozen
class RowWrite:
    """A row of the empty part that a conditional transaction writes."""

    table: str
    key: str
    content: bytes
    # The revision that the row must have, 0 if it must not exist, None if it may have any.
    expected_revision: int | None = None


@attrs.frozen
class Written:
    """When a write was confirmed."""

    # On the lease clock.
    answered_at: float
    # The store's steady clock when it answered, in seconds; None if it stated none.
    store_time_s: float | None
    # The store's era when it answered; None if it stated no valid one.
    era: int | None = None
    # The revision of the written rows; None if the answer states no valid one.
    revision: int | None = None


class MetadataStore:
    """Reads and writes rows and follows the change feeds; all calls share a connection pool.

    Reads raise TableUnavailable. Writes raise TableUnavailable if they provably had no effect and
    TableOutcomeUnknown if they may have had one.
    """

    def __init__(self, url: str, transport: httpx.AsyncBaseTransport | None = None) -> None:
        """Create the HTTP client; it connects at the first call."""
        self._url = url
        # Holds the listings that are being read, whose pages may have no end.
        self._listings = BufferPool()
        self._client = httpx.AsyncClient(
            base_url=url,
            transport=transport or make_plain_transport(SOCKET_OPTIONS),
            trust_env=False,
        )

    async def read_table(self, table: str, part: str = '') -> Rows:
        """Return all rows of a part of a table; raise TableUnavailable."""
        rows: list[StoreRow] = []
        skipped_count = 0
        size = 0
        first: Rows | None = None
        start = ''
        with self._listings.open_reservation() as reservation:
            while True:
                query = {'table_name': table, 'part': part, 'max_results': str(PAGE_ROW_COUNT)}
                if start:
                    query['range_start'] = start
                found, answer = await self._get(ROWS_GET, query, READ_TIMEOUT_S)
                page = _decode_rows(found, self._url, answer)
                if any(row.key < start for row in page.rows):
                    message = 'a page of the table repeats rows of an earlier one'
                    raise TableUnavailable(message, step=ROWS_GET, peer=self._url)
                rows += page.rows
                skipped_count += page.skipped_count
                first = first or page
                if get_era(page.revision) != get_era(first.revision):
                    message = 'the store was restored while the table was read'
                    raise TableUnavailable(message, step=ROWS_GET, peer=self._url)
                if not found.get('has_more') or not page.rows:
                    # The revision is that of the first page, as its rows may have changed since.
                    return attrs.evolve(first, rows=rows, skipped_count=skipped_count)
                size += _get_size(answer, len(page.rows))
                self._reserve(reservation, size, ROWS_GET)
                # The smallest possible key after the last one of the page.
                start = f'{page.rows[-1].key}\0'

    async def read_changes(self, table: str, after: int, wait_s: float) -> Rows:
        """Return the changes of a table after a revision; wait up to `wait_s` for the first one.

        Raises HistoryCompacted if the store no longer has them, if they exceed MAX_ANSWER_BYTES or
        if it was restored since, and TableUnavailable on other failures.
        """
        query = {
            'table_name': table,
            'after_revision': str(get_version(after)),
            'wait_ms': str(round(wait_s * MS_PER_S)),
        }
        try:
            found, answer = await self._get(ROWS_FEED, query, wait_s + CALL_TIMEOUT_S)
        except TableUnavailable as error:
            if isinstance(error.__cause__, ContentTooLarge):
                raise HistoryCompacted(error.message, step=ROWS_FEED, peer=self._url) from error
            raise
        rows = _decode_rows(found, self._url, answer)
        if get_era(rows.revision) > get_era(after):
            # The version belongs to another row now, so that these are not all changes.
            raise HistoryCompacted('the store was restored', step=ROWS_FEED, peer=self._url)
        if get_era(rows.revision) < get_era(after):
            message = 'the answer is from before the store was restored'
            raise TableUnavailable(message, step=ROWS_FEED, peer=self._url)
        return rows

    async def list_parts(self, table: str) -> list[str]:
        """Return the parts of a table that have rows; raise TableUnavailable."""
        parts: list[str] = []
        size = 0
        with self._listings.open_reservation() as reservation:
            while True:
                query = {'table_name': table}
                if parts:
                    query['after_revision'] = parts[-1]
                found, answer = await self._get(ROWS_PARTS, query, READ_TIMEOUT_S)
                listed = found.get('parts')
                if not isinstance(listed, list):
                    message = 'the answer has no parts'
                    raise TableUnavailable(message, step=ROWS_PARTS, peer=self._url)
                page = [part for part in listed if isinstance(part, str)]
                if parts and any(part <= parts[-1] for part in page):
                    message = 'a page of the parts repeats parts of an earlier one'
                    raise TableUnavailable(message, step=ROWS_PARTS, peer=self._url)
                parts += page
                if not page or not found.get('has_more', len(listed) >= PAGE_PART_COUNT):
                    return parts
                size += _get_size(answer, len(page))
                self._reserve(reservation, size, ROWS_PARTS)

    async def write_row(self, table: str, key: str, content: bytes | None) -> None:
        """Write a row of the empty part, or remove it if `content` is None.

        Raises TableUnavailable or TableOutcomeUnknown.
        """
        if content is None:
            await self.write_rows(table, '', {}, (key,))
        else:
            await self.write_rows(table, '', {key: content})

    async def write_rows(
        self, table: str, part: str, writes: Mapping[str, bytes], removed: Iterable[str] = ()
    ) -> Written:
        """Write and remove rows of a part, at most MAX_WRITE_ROWS, all of them or none.

        Raises TableUnavailable or TableOutcomeUnknown.
        """
        place = {'table_name': table, 'part': part}
        body: dict[str, Any] = {
            'expected_revision': [],
            'write': [
                {**place, 'key': key, 'value': base64.b64encode(content).decode()}
                for key, content in writes.items()
            ],
            'remove': [{**place, 'key': key} for key in removed],
        }
        answer = await self._post_transaction(body)
        if answer.status != httpx.codes.OK:
            message = f'the store answered with status {answer.status}'
            raise TableUnavailable(message, step='write', peer=self._url)
        return self._decode_written(answer)

    async def commit_rows(self, writes: Sequence[RowWrite]) -> Written:
        """Write rows of the empty part, also of several tables, all of them or none.

        Raises RowsChanged if a row does not have its expected revision, TableUnavailable or
        TableOutcomeUnknown. A condition names no era: if the store was restored since the expected
        revision was read, another row may have had that version, and the outcome is unknown.
        """
        places = [{'table_name': write.table, 'part': '', 'key': write.key} for write in writes]
        expected = [write.expected_revision for write in writes]
        body: dict[str, Any] = {
            'expected_revision': [
                {**place, 'row_version': get_version(revision)}
                for place, revision in zip(places, expected, strict=True)
                if revision is not None
            ],
            'write': [
                {**place, 'value': base64.b64encode(write.content).decode()}
                for place, write in zip(places, writes, strict=True)
            ],
            'remove': [],
        }
        answer = await self._post_transaction(body)
        if answer.status == httpx.codes.PRECONDITION_FAILED:
            raise RowsChanged('a row has another revision', step='write', peer=self._url)
        if answer.status != httpx.codes.OK:
            message = f'the store answered with status {answer.status}'
            # The store answers 503 and 4xx (429) if it did nothing.
            is_refused = answer.status == httpx.codes.SERVICE_UNAVAILABLE or (
                httpx.codes.is_client_error(answer.status)
            )
            kind = TableUnavailable if is_refused else TableOutcomeUnknown
            raise kind(message, step='write', peer=self._url)
        written = self._decode_written(answer)
        newest = max(filter(None, expected), default=0)
        if newest and written.era != get_era(newest):
            message = f'the store is in era {written.era}, the expected rows were of another one'
            raise TableOutcomeUnknown(message, step='write', peer=self._url)
        return written

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _post_transaction(self, body: dict[str, Any]) -> CompleteAnswer:
        """Return the answer to a transaction; raise TableUnavailable or TableOutcomeUnknown."""
        request = self._client.build_request(
            'POST',
            ROWS_WRITE,
            content=orjson.dumps(body),
            headers={'content-type': 'application/json'},
            timeout=CALL_TIMEOUT_S,
        )
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                return await fetch_complete(self._client, request, CALL_TIMEOUT_S, MAX_ANSWER_BYTES)
        except NEVER_SENT as error:
            raise TableUnavailable(repr(error), step='write', peer=self._url) from error
        except (httpx.HTTPError, OSError, TimeoutError) as error:
            raise TableOutcomeUnknown(repr(error), step='write', peer=self._url) from error

    def _decode_written(self, answer: CompleteAnswer) -> Written:
        """Return what the answer to a successful write states."""
        try:
            found = _decode_object(answer.content, ROWS_WRITE, self._url)
        except TableUnavailable:
            # The status says that the rows are written; only the time is missing.
            return Written(answer.answered_at, None)
        era = answer.headers.get(ERA_HEADER, FIRST_ERA)
        return Written(
            answer.answered_at,
            _decode_store_time(found),
            _decode_era(answer),
            _decode_revision(era, found.get('row_version')),
        )

    def _reserve(self, reservation: Reservation, size: int, step: str) -> None:
        """Count a listing as held; raise TableUnavailable if all listings take too much."""
        if not reservation.resize(size):
            message = f'a listing is too long after {size} bytes'
            raise TableUnavailable(message, step=step, peer=self._url)

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> tuple[dict[str, Any], CompleteAnswer]:
        """Return the decoded content of an answer, and the answer itself.

        Raises HistoryCompacted or TableUnavailable.
        """
        timeout = httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S)
        request = self._client.build_request('GET', path, params=query, timeout=timeout)
        try:
            answer = await fetch_complete(self._client, request, timeout_s, MAX_ANSWER_BYTES)
        except (httpx.HTTPError, OSError, TimeoutError) as error:
            raise TableUnavailable(repr(error), step=path, peer=self._url) from error
        if answer.status == httpx.codes.GONE:
            raise HistoryCompacted(
                'the store no longer has the history after this revision', step=path, peer=self._url
            )
        if answer.status != httpx.codes.OK:
            message = f'the store answered with status {answer.status}'
            raise TableUnavailable(message, step=path, peer=self._url)
        return _decode_object(answer.content, path, self._url), answer


def _get_size(answer: CompleteAnswer, entry_count: int) -> int:
    """Return about how many bytes the entries of an answer take when they are decoded."""
    return max(len(answer.content), entry_count * MIN_ENTRY_BYTES)


def _decode_object(body: bytes, step: str, peer: str) -> dict[str, Any]:
    try:
        found = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise TableUnavailable('the answer is not valid JSON', step=step, peer=peer) from error
    if not isinstance(found, dict):
        raise TableUnavailable('the answer is not a JSON object', step=step, peer=peer)
    return found


def _decode_rows(found: dict[str, Any], peer: str, answer: CompleteAnswer) -> Rows:
    """Return the rows of an answer; raise TableUnavailable if it lacks a list, revision or era.

    Other writers may leave any row, which must not make the others unreadable.
    """
    documents = found.get('rows')
    era = answer.headers.get(ERA_HEADER, FIRST_ERA)
    revision = _decode_revision(era, found.get('row_version'))
    if not isinstance(documents, list) or revision is None:
        message = 'the answer has no rows, or no valid revision or era'
        raise TableUnavailable(message, step='read', peer=peer)
    decoded = [_decode_row(document, era, revision) for document in documents]
    rows = [row for row in decoded if row is not None]
    skipped_count = len(decoded) - len(rows)
    return Rows(rows, revision, answer.answered_at, skipped_count, _decode_store_time(found))


def _decode_store_time(found: dict[str, Any]) -> float | None:
    """Return the store's steady clock in seconds, or None if the answer states no valid one."""
    time_ms = found.get('server_time_ms')
    if isinstance(time_ms, bool) or not isinstance(time_ms, int | float):
        return None
    return time_ms / MS_PER_S if 0 <= time_ms <= MAX_NUMBER else None


def _decode_era(answer: CompleteAnswer) -> int | None:
    revision = _decode_revision(answer.headers.get(ERA_HEADER, FIRST_ERA), 0)
    return None if revision is None else get_era(revision)


def _decode_row(document: Any, era: str | int, newest: int) -> StoreRow | None:
    """Return a row, or None if it has no key; without a valid revision it gets the newest one."""
    if not isinstance(document, dict) or not isinstance(document.get('key'), str):
        return None
    revision = _decode_revision(era, document.get('row_version'))
    return StoreRow(
        key=document['key'],
        value=None if document.get('is_deleted') else _decode_value(document.get('value')),
        revision=newest if revision is None else revision,
    )


def _decode_value(text: Any) -> bytes:
    try:
        return base64.b64decode(text)
    except (TypeError, ValueError):
        # The reader of the row rejects the empty value and logs its key.
        return b''


def _decode_revision(era: Any, version: Any) -> int | None:
    """Return the revision of a version in an era; None if either is no number in range."""
    try:
        return make_revision(int(era), int(version))
    except (TypeError, ValueError, OverflowError):
        return None
