"""Writes of the final content of claim rows, retried until they succeed."""

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
from .backoff import iterate_pauses
from .entries import Entry, Stage
from .records import ClaimRow, State, decode_row, encode_answer, encode_row

# Rows above this size go to the object store, so that a batch of rows stays a small transaction.
MAX_ROW_BYTES = 32768
# A write whose answer was lost may reach the table late, but not this late.
RELEASED_ROW_S = 600.0
EVENTS = types.MappingProxyType(
    {Stage.ANSWERED: Event.CLAIM_RECORDED, Stage.RELEASED: Event.CLAIM_RELEASED}
)


class BackgroundWriter:
    """Writes one row at a time, so that an outage ends without a burst of retries."""

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        events: EventLog,
        rng: random.Random,
        on_settled: Callable[[Entry], None],
    ) -> None:
        """Start with nothing to write; `on_settled` is called when a row has its final content."""
        self._table = table
        self._objects = objects
        self._events = events
        self._rng = rng
        self._on_settled = on_settled
        self._entries: collections.deque[Entry] = collections.deque()
        self._arrived = anyio.Event()

    def add(self, entry: Entry) -> None:
        """Write the final content of the row; `settled` of the entry is set when it is done."""
        self._entries.append(entry)
        self._arrived.set()

    async def drain(self) -> None:
        """Wait until nothing is left to write."""
        while self._entries:
            await self._entries[0].settled.wait()

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self._arrived.wait()
            self._arrived = anyio.Event()
            await self._write_all()

    async def _write_all(self) -> None:
        pauses = iterate_pauses(self._rng)
        while self._entries:
            entry = self._entries[0]
            if await self._try_write(entry):
                self._entries.remove(entry)
                self._on_settled(entry)
                entry.settled.set()
                pauses = iterate_pauses(self._rng)
                continue
            # An object that cannot be stored does not keep the other rows waiting.
            self._entries.rotate(-1)
            await anyio.sleep(next(pauses))

    async def _try_write(self, entry: Entry) -> bool:
        try:
            return await self._write(entry)
        except PlatformError:
            return False

    async def _write(self, entry: Entry) -> bool:
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

    async def _replace(self, entry: Entry, found: Row | None, final_row: ClaimRow) -> bool:
        # Nobody else writes a row with this token, so the revision of a row read with the token
        # stands for the token.
        check = Check(entry.row_key, found.revision if found else 0)
        return await self._table.commit([check], [Write(entry.row_key, encode_row(final_row))])

    async def _build_final_row(self, entry: Entry) -> ClaimRow:
        if entry.final_row:
            return entry.final_row
        if entry.stage is Stage.RELEASED:
            # A deleted row would let in a late insert of this or another daemon whose answer was
            # lost, and the key would stay blocked although nothing was sent. The sweep deletes
            # the released row once no insert can be that late.
            expires_at = time.time() + RELEASED_ROW_S
            row = attrs.evolve(entry.row, state=State.RELEASED, expires_at=expires_at)
        elif entry.stage is Stage.UNKNOWN:
            row = attrs.evolve(entry.row, state=State.UNKNOWN)
        else:
            row = await self._store_answer(entry)
        entry.final_row = row
        return row

    async def _store_answer(self, entry: Entry) -> ClaimRow:
        assert entry.answer is not None, 'an answered claim has an answer'
        row = attrs.evolve(entry.row, state=State.ANSWERED, answer=entry.answer)
        if len(encode_row(row)) <= MAX_ROW_BYTES:
            return row
        name = f'answers/{entry.row.token}'
        await self._objects.put(name, encode_answer(entry.answer))
        return attrs.evolve(row, answer=None, object_name=name)

    def _report(self, entry: Entry, result: str) -> bool:
        event = EVENTS.get(entry.stage)
        if event:
            self._events.emit(event, key=entry.row_key, result=result)
        return True


def _may_replace(entry: Entry, row: ClaimRow | None, final_row: ClaimRow) -> bool:
    if row and row.token == entry.row.token:
        return True
    if final_row.state is not State.RELEASED:
        return False
    return row is None or row.state is State.RELEASED
