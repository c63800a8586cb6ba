"""Writes the final content of claim rows, with retries until the write succeeds."""

import collections
import random
import time
import types
from collections.abc import Callable

import anyio
import attrs

from ..errors import PlatformError
from ..events import Event, EventLog
from ..platform import Check, ObjectStore, Row, Table, Write
from .entries import ClaimEntry, ClaimStage
from .records import ClaimRow, RowState, decode_row, encode_answer, encode_row
from .retry_delays import iterate_retry_delays

# Rows above this size go to the object store, so that a batch of rows stays a small transaction.
MAX_ROW_BYTES = 32768
# A write whose answer was lost may take effect late, but not after this time.
RELEASED_ROW_TTL_S = 600.0
STAGE_EVENTS = types.MappingProxyType(
    {ClaimStage.ANSWERED: Event.CLAIM_RECORDED, ClaimStage.RELEASED: Event.CLAIM_RELEASED}
)


class BackgroundWriter:
    """Writes one row at a time, so that the end of an outage causes no burst of retries."""

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        events: EventLog,
        rng: random.Random,
        on_finalized: Callable[[ClaimEntry], None],
    ) -> None:
        """Call `on_finalized` with each entry whose row has its final content."""
        self._table = table
        self._objects = objects
        self._events = events
        self._rng = rng
        self._on_finalized = on_finalized
        self._entries: collections.deque[ClaimEntry] = collections.deque()
        self._entry_added = anyio.Event()

    def add(self, entry: ClaimEntry) -> None:
        """Queue the entry; its `row_finalized` is set once the row has its final content."""
        self._entries.append(entry)
        self._entry_added.set()

    async def drain(self) -> None:
        """Wait until the queue is empty."""
        while self._entries:
            await self._entries[0].row_finalized.wait()

    async def run(self) -> None:
        """Write the rows of the queue until cancelled."""
        while True:
            await self._entry_added.wait()
            self._entry_added = anyio.Event()
            await self._write_all()

    async def _write_all(self) -> None:
        delays = iterate_retry_delays(self._rng)
        while self._entries:
            entry = self._entries[0]
            if await self._try_write(entry):
                self._entries.remove(entry)
                self._on_finalized(entry)
                entry.row_finalized.set()
                delays = iterate_retry_delays(self._rng)
                continue
            # Moved to the end, so that an object that cannot be stored does not block other rows.
            self._entries.rotate(-1)
            await anyio.sleep(next(delays))

    async def _try_write(self, entry: ClaimEntry) -> bool:
        try:
            return await self._write(entry)
        except PlatformError:
            return False

    async def _write(self, entry: ClaimEntry) -> bool:
        final_row = await self._build_final_row(entry)
        found = await self._table.read(entry.row_key)
        row = decode_row(found.value) if found else None
        if row == final_row:
            return self._report(entry, 'written')
        if not _may_replace(entry, row, final_row):
            return self._report(entry, 'replaced')
        if await self._replace(entry, found, final_row):
            return self._report(entry, 'written')
        return False

    async def _replace(self, entry: ClaimEntry, found: Row | None, final_row: ClaimRow) -> bool:
        # Only this daemon writes rows with this token, so checking the revision of the row that
        # was read also checks the token.
        check = Check(entry.row_key, found.revision if found else 0)
        return await self._table.commit([check], [Write(entry.row_key, encode_row(final_row))])

    async def _build_final_row(self, entry: ClaimEntry) -> ClaimRow:
        if entry.final_row:
            return entry.final_row
        if entry.stage is ClaimStage.RELEASED:
            # If the row were deleted, a late insert of this or another daemon whose answer was
            # lost could succeed, and the key would stay blocked although nothing was sent. The
            # sweep deletes the released row once no insert can take effect that late.
            expires_at = time.time() + RELEASED_ROW_TTL_S
            row = attrs.evolve(entry.row, state=RowState.RELEASED, expires_at=expires_at)
        elif entry.stage is ClaimStage.UNKNOWN:
            row = attrs.evolve(entry.row, state=RowState.UNKNOWN)
        else:
            row = await self._store_answer(entry)
        entry.final_row = row
        return row

    async def _store_answer(self, entry: ClaimEntry) -> ClaimRow:
        assert entry.answer is not None, 'an answered claim has an answer'
        row = attrs.evolve(entry.row, state=RowState.ANSWERED, answer=entry.answer)
        if len(encode_row(row)) <= MAX_ROW_BYTES:
            return row
        name = f'answers/{entry.row.token}'
        await self._objects.put(name, encode_answer(entry.answer))
        return attrs.evolve(row, answer=None, object_name=name)

    def _report(self, entry: ClaimEntry, result: str) -> bool:
        event = STAGE_EVENTS.get(entry.stage)
        if event:
            self._events.emit(event, key=entry.row_key, result=result)
        return True


def _may_replace(entry: ClaimEntry, row: ClaimRow | None, final_row: ClaimRow) -> bool:
    if row and row.token == entry.row.token:
        return True
    if final_row.state is not RowState.RELEASED:
        return False
    return row is None or row.state is RowState.RELEASED
