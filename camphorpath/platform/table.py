"""Client of the transactional table."""

import random
from collections.abc import Callable, Sequence
from typing import TypeVar

import anyio
import httpx
import orjson

from ..clocks import read_lease_clock
from ..errors import PlatformError, TableOutcomeUnknown, TableUnavailable
from ..events import Event, EventLog
from ..schema import camphorpath_pb2 as pb
from .records import (
    Check,
    Json,
    Row,
    Write,
    build_insert,
    build_range,
    build_transaction,
    encode,
    read_row,
)

Answer = TypeVar('Answer')

# Connecting may take this fraction of `table_timeout`. It is below 1 so that an attempt that fails
# to connect ends as TableUnavailable before the timeout of the whole attempt.
CONNECT_FRACTION = 0.5
# After a failure of this duration, reads are spread: other daemons probably saw it too and would
# all read at once.
MIN_OUTAGE_S = 5.0
# Time over which the first reads after an outage are spread.
RECOVERY_SPREAD_S = 2.0
# Errors after which the request was certainly not sent, as there was no connection.
NEVER_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
REQUEST_ERRORS = (httpx.HTTPError, OSError, TimeoutError)
DECODE_ERRORS = (ValueError, KeyError, TypeError, AttributeError, IndexError)


class Table:
    """Runs reads and compare-and-set transactions, the latter one at a time.

    Each operation ends within `table_timeout` after it is sent. Reads raise TableUnavailable.
    Writes raise TableUnavailable if they provably had no effect and TableOutcomeUnknown if they may
    have had one; a cancelled write may also have had one.
    """

    def __init__(
        self,
        settings: pb.Platform,
        events: EventLog,
        rng: random.Random | None = None,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Create the HTTP client; it connects at the first operation."""
        self.is_up = True
        self._settings = settings
        self._events = events
        self._rng = rng or random.Random()
        self._write_lock = anyio.Lock()
        self._failed_at: float = 0
        self._spread_reads_until: float = 0
        limit_s = settings.table_timeout
        self._client = httpx.AsyncClient(
            base_url=settings.table_url,
            timeout=httpx.Timeout(
                limit_s, connect=limit_s * CONNECT_FRACTION, pool=limit_s * CONNECT_FRACTION
            ),
            transport=transport,
            trust_env=False,
        )

    async def read(self, key: str) -> Row | None:
        """Return the row, or None if it does not exist; raise TableUnavailable."""
        rows = await self._read({'key': encode(key)})
        return rows[0] if rows else None

    async def scan(self, prefix: str, limit: int = 0, after: str = '') -> list[Row]:
        """Return the rows under a prefix in key order, after the key `after`.

        A limit of 0 returns all of them. Raises TableUnavailable.
        """
        return await self._read(build_range(prefix, limit, after))

    async def commit(self, checks: Sequence[Check], writes: Sequence[Write]) -> bool:
        """Make all writes if all checks hold, else none; return whether they were made.

        Raises TableUnavailable or TableOutcomeUnknown.
        """
        body = build_transaction(checks, writes)
        return await self._write(body, lambda answer: bool(answer.get('succeeded', False)))

    async def insert_all(self, writes: Sequence[Write]) -> list[Row | None]:
        """Insert each row that does not exist yet; return the existing rows, None where inserted.

        The keys must differ. Raises TableUnavailable or TableOutcomeUnknown.
        """
        assert len({write.key for write in writes}) == len(writes), (
            'the keys of a batch must differ'
        )
        body = {
            'compare': [],
            'success': [build_insert(write) for write in writes],
            'failure': [],
        }
        return await self._write(body, lambda answer: _read_inserts(answer, len(writes)))

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _read(self, body: Json) -> list[Row]:
        await self._spread_reads()
        try:
            return await self._post('/v3/kv/range', body, _read_rows)
        except TableOutcomeUnknown as error:
            raise TableUnavailable(error.message, step=error.step, peer=error.peer) from error

    async def _write(self, body: Json, parse: Callable[[Json], Answer]) -> Answer:
        async with self._write_lock:
            return await self._post('/v3/kv/txn', body, parse)

    async def _spread_reads(self) -> None:
        """Wait for a random time during an outage or right after one."""
        now = read_lease_clock()
        in_outage = not self.is_up and now - self._failed_at >= MIN_OUTAGE_S
        if in_outage or now < self._spread_reads_until:
            await anyio.sleep(self._rng.uniform(0, RECOVERY_SPREAD_S))

    async def _post(self, path: str, body: Json, parse: Callable[[Json], Answer]) -> Answer:
        try:
            with anyio.fail_after(self._settings.table_timeout):
                response = await self._client.post(path, json=body)
        except NEVER_SENT as error:
            raise self._record_failure(
                TableUnavailable, 'no connection to the table', path
            ) from error
        except REQUEST_ERRORS as error:
            problem = f'the answer of the table was lost: {type(error).__name__}'
            raise self._record_failure(TableOutcomeUnknown, problem, path) from error
        try:
            return self._decode_response(response, path, parse)
        except DECODE_ERRORS as error:
            raise self._record_failure(
                TableOutcomeUnknown, 'the table sent an unreadable answer', path
            ) from error

    def _decode_response(
        self, response: httpx.Response, path: str, parse: Callable[[Json], Answer]
    ) -> Answer:
        if response.status_code != httpx.codes.OK:
            problem = f'the table answered with status {response.status_code}'
            kind = TableUnavailable if _states_no_effect(response) else TableOutcomeUnknown
            raise self._record_failure(kind, problem, path)
        answer = parse(orjson.loads(response.content))
        self._mark_up()
        return answer

    def _record_failure(self, kind: type[PlatformError], problem: str, path: str) -> PlatformError:
        if self.is_up:
            self.is_up = False
            self._failed_at = read_lease_clock()
            self._events.emit(Event.TABLE_DOWN, problem=problem)
        return kind(problem, step=path, peer=self._settings.table_url)

    def _mark_up(self) -> None:
        if self.is_up:
            return
        now = read_lease_clock()
        outage_s = now - self._failed_at
        if outage_s >= MIN_OUTAGE_S:
            self._spread_reads_until = now + RECOVERY_SPREAD_S
        self.is_up = True
        self._events.emit(Event.TABLE_UP, outage_s=round(outage_s, 3))


def _states_no_effect(response: httpx.Response) -> bool:
    if response.status_code != httpx.codes.SERVICE_UNAVAILABLE:
        return False
    try:
        return orjson.loads(response.content).get('applied') is False
    except (ValueError, AttributeError):
        return False


def _read_rows(answer: Json) -> list[Row]:
    return [read_row(document) for document in answer.get('kvs', ())]


def _read_inserts(answer: Json, number: int) -> list[Row | None]:
    found: list[Row | None] = []
    for response in answer['responses']:
        nested = response['response_txn']
        if nested.get('succeeded', False):
            found.append(None)
            continue
        found.append(read_row(nested['responses'][0]['response_range']['kvs'][0]))
    if len(found) != number:
        raise ValueError(f'{len(found)} results for {number} inserts')
    return found
