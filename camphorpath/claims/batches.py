"""Inserts claim rows in batches, with at most one transaction in flight."""

import collections

import anyio
from attrs import Factory, define

from ..errors import PlatformError, TableUnavailable
from ..platform import Row, Table, Write
from .entries import ClaimEntry
from .records import encode_row

# The published table interface accepts 128 operations in a transaction; an insert takes one, and
# half of the limit keeps the largest transaction short.
MAX_BATCH_ROWS = 64


@define(eq=False)
class _Insert:
    entry: ClaimEntry
    is_sent: bool = False
    existing_row: Row | None = None
    error: PlatformError | None = None
    done: anyio.Event = Factory(anyio.Event)


class InsertBatches:
    """Batches the inserts that are added while a transaction is in flight."""

    def __init__(self, table: Table) -> None:
        """Create an empty queue of inserts; `run` sends them."""
        self._table = table
        self._waiting: collections.deque[_Insert] = collections.deque()
        self._insert_added = anyio.Event()

    async def insert(self, entry: ClaimEntry) -> Row | None:
        """Insert the row of the entry if absent; return the existing row, or None if inserted.

        The keys of the waiting entries must differ. Raises TableUnavailable or
        TableOutcomeUnknown. An insert that is cancelled before it is sent has no effect.
        """
        insert = _Insert(entry)
        self._waiting.append(insert)
        self._insert_added.set()
        try:
            await insert.done.wait()
        finally:
            if not insert.is_sent:
                self._waiting.remove(insert)
        if insert.error:
            raise insert.error
        return insert.existing_row

    async def run(self) -> None:
        """Send the waiting inserts until cancelled."""
        while True:
            await self._insert_added.wait()
            self._insert_added = anyio.Event()
            while self._waiting:
                number = min(MAX_BATCH_ROWS, len(self._waiting))
                await self._send([self._waiting.popleft() for _ in range(number)])

    async def _send(self, batch: list[_Insert]) -> None:
        entries = [insert.entry for insert in batch]
        for insert in batch:
            insert.is_sent = True
            insert.entry.begin_attempt()
        writes = [Write(entry.row_key, encode_row(entry.row)) for entry in entries]
        try:
            rows = await self._table.insert_all(writes)
        except PlatformError as error:
            _report_failure(batch, error)
            return
        for insert, existing_row in zip(batch, rows, strict=True):
            insert.existing_row = existing_row
            insert.entry.resolve_attempt(has_effect=existing_row is None)
            insert.done.set()


def _report_failure(batch: list[_Insert], error: PlatformError) -> None:
    for insert in batch:
        if isinstance(error, TableUnavailable):
            insert.entry.resolve_attempt(has_effect=False)
        insert.error = type(error)(error.message, step=error.step, peer=error.peer)
        insert.done.set()
