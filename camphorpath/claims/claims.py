"""Acquires, ends and looks up claims on idempotency keys."""

import random
import secrets
import time

import anyio

from ..errors import Outcome, PlatformError, Refusal, TableOutcomeUnknown, TableUnavailable
from ..events import Event, EventLog
from ..platform import Check, ObjectStore, Row, Table, Write
from .background import BackgroundWriter
from .batches import InsertBatches
from .entries import ClaimEntry, ClaimStage
from .records import (
    Claim,
    ClaimKey,
    ClaimRow,
    RecordedAnswer,
    RowState,
    decode_answer,
    decode_row,
    encode_row,
)
from .retry_delays import iterate_retry_delays
from .sweep import Sweep

TOKEN_BYTES = 16
UNPROCESSABLE = 422
CONFLICT = 409
CLAIM_TIMEOUT_S = 5.0
TABLE_RETRY_AFTER_S = 2.0
IN_PROGRESS_RETRY_AFTER_S = 1.0


class Claims:
    """The claims of one daemon; a claim is inserted once and is never taken over by another."""

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        membership,
        events: EventLog,
        rng: random.Random | None = None,
    ) -> None:
        """Use `incarnation`, `live_members()` and `choose_owner()` of `membership`."""
        self._table = table
        self._objects = objects
        self._membership = membership
        self._events = events
        self._rng = rng or random.Random()
        self._entries: dict[str, ClaimEntry] = {}
        self._batches = InsertBatches(table)
        self._writer = BackgroundWriter(table, objects, events, self._rng, self._remove)
        self._sweep = Sweep(table, membership, self._rng)

    async def claim(
        self,
        key: ClaimKey,
        digest: str,
        retention_s: float,
        timeout_s: float = CLAIM_TIMEOUT_S,
    ) -> Claim:
        """Return a claim with the right to send one call, or with a recorded answer.

        The caller must end a claim without an answer by exactly one of `record`, `release` and
        `abandon`. Raises Refusal if the key belongs to a different request or to a call without
        a recorded answer, or if the table or the object store fails. After `timeout_s` or
        cancellation the key is released in the background if the row may exist.
        """
        row = ClaimRow(
            token=secrets.token_hex(TOKEN_BYTES),
            digest=digest,
            owner=self._membership.incarnation,
            expires_at=time.time() + retention_s,
        )
        row_key = key.build_row_key()
        holder = await self._acquire_in_time(row_key, row, timeout_s)
        if holder is None:
            return Claim(row_key, row.token)
        return await self._answer_repeat(row_key, digest, holder)

    def record(self, claim: Claim, answer: RecordedAnswer) -> None:
        """Record the complete answer for later requests; it is written in the background."""
        self._get_entry(claim).answer = answer
        self._end(self._get_entry(claim), ClaimStage.ANSWERED)

    def release(self, claim: Claim) -> None:
        """Free the key of a call that was certainly not sent; written in the background."""
        self._end(self._get_entry(claim), ClaimStage.RELEASED)

    def abandon(self, claim: Claim) -> None:
        """End the claim of a call that was or may have been sent, with unknown outcome."""
        self._end(self._get_entry(claim), ClaimStage.UNKNOWN)

    async def run(self) -> None:
        """Run the inserts, the background writes and the sweep until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._batches.run)
            tasks.start_soon(self._writer.run)
            tasks.start_soon(self._sweep.run)

    async def drain(self) -> None:
        """Wait until every background write is done."""
        await self._writer.drain()

    async def sweep(self) -> None:
        """Remove the expired rows now if this daemon is the sweeping one; raises PlatformError."""
        await self._sweep.sweep()

    async def _acquire_in_time(
        self, row_key: str, row: ClaimRow, timeout_s: float
    ) -> ClaimRow | ClaimEntry | None:
        with anyio.move_on_after(timeout_s):
            return await self._acquire(row_key, row)
        raise _refuse_unavailable('the table did not settle the claim in time')

    async def _acquire(self, row_key: str, row: ClaimRow) -> ClaimRow | ClaimEntry | None:
        """Return None if the claim is acquired, else the claim that holds the key.

        That is an entry of this daemon or a row of any daemon.
        """
        holder = await self._wait_for_entry(row_key)
        if holder:
            return holder
        entry = ClaimEntry(row_key, row)
        self._entries[row_key] = entry
        try:
            found = await self._insert(entry)
        except BaseException:
            self._abort_acquisition(entry)
            raise
        if found:
            self._remove(entry)
            return found
        entry.mark_acquired()
        return None

    async def _wait_for_entry(self, row_key: str) -> ClaimEntry | None:
        """Return the claim of this daemon that holds the key, once its acquisition has ended."""
        while True:
            entry = self._entries.get(row_key)
            if entry is None:
                return None
            if entry.stage is ClaimStage.CLAIMING:
                await entry.acquisition_ended.wait()
                continue
            if entry.stage is not ClaimStage.RELEASED:
                return entry
            await entry.row_finalized.wait()

    async def _insert(self, entry: ClaimEntry) -> ClaimRow | None:
        """Insert the row of the entry; return the row that holds the key instead, if any."""
        delays = iterate_retry_delays(self._rng)
        while True:
            try:
                return await self._try_insert(entry)
            except TableOutcomeUnknown:
                delay_s = next(delays)
            except TableUnavailable as error:
                if not entry.may_have_row:
                    raise _refuse_unavailable(error.message) from error
                delay_s = next(delays)
            await anyio.sleep(delay_s)

    async def _try_insert(self, entry: ClaimEntry) -> ClaimRow | None:
        # After a lost answer, read the table first: the row may exist with this token.
        found = await self._table.read(entry.row_key) if entry.may_have_row else None
        if found is None:
            found = await self._batches.insert(entry)
        while found:
            row = decode_row(found.value)
            if row.token == entry.row.token:
                return None
            if row.state is not RowState.RELEASED:
                return row
            if await self._replace(entry, found):
                return None
            found = await self._batches.insert(entry)
        return None

    async def _replace(self, entry: ClaimEntry, released: Row) -> bool:
        check = Check(entry.row_key, released.revision)
        entry.begin_attempt()
        try:
            has_effect = await self._table.commit(
                [check], [Write(entry.row_key, encode_row(entry.row))]
            )
        except TableUnavailable:
            entry.resolve_attempt(has_effect=False)
            raise
        entry.resolve_attempt(has_effect)
        return has_effect

    def _abort_acquisition(self, entry: ClaimEntry) -> None:
        if entry.may_have_row:
            self._end(entry, ClaimStage.RELEASED)
            return
        self._remove(entry)

    def _end(self, entry: ClaimEntry, stage: ClaimStage) -> None:
        entry.end(stage)
        self._writer.add(entry)

    def _remove(self, entry: ClaimEntry) -> None:
        if self._entries.get(entry.row_key) is entry:
            self._entries.pop(entry.row_key)
        entry.acquisition_ended.set()

    def _get_entry(self, claim: Claim) -> ClaimEntry:
        entry = self._entries.get(claim.row_key)
        assert entry, f'the claim on {claim.row_key} has ended'
        assert entry.row.token == claim.token, 'the claim belongs to another call'
        return entry

    async def _answer_repeat(
        self, row_key: str, digest: str, holder: ClaimRow | ClaimEntry
    ) -> Claim:
        """Return the recorded answer of `holder`, which holds the key, or raise Refusal."""
        self._events.emit(Event.CLAIM_REPEATED, key=row_key)
        row = holder.row if isinstance(holder, ClaimEntry) else holder
        if row.digest and row.digest != digest:
            problem = 'the idempotency key belongs to a different request'
            raise Refusal('key_reused', problem, status=UNPROCESSABLE)
        if isinstance(holder, ClaimEntry):
            answer, is_running = holder.answer, holder.stage is ClaimStage.RUNNING
        else:
            answer, is_running = await self._load_answer(holder), self._is_running(holder)
        if answer:
            return Claim(row_key, row.token, answer)
        if is_running:
            raise _refuse_unknown(
                'in_progress', 'the call is in progress', IN_PROGRESS_RETRY_AFTER_S
            )
        raise _refuse_unknown('outcome_not_recorded', 'the outcome of the call was not recorded')

    def _is_running(self, row: ClaimRow) -> bool:
        # The running calls of this daemon are in memory, so one of its rows without an entry
        # belongs to a call that has ended.
        if row.state is not RowState.OPEN or row.owner == self._membership.incarnation:
            return False
        return any(info.incarnation == row.owner for info in self._membership.live_members())

    async def _load_answer(self, row: ClaimRow) -> RecordedAnswer | None:
        if not row.object_name:
            return row.answer
        try:
            raw = await self._objects.get(row.object_name)
        except PlatformError as error:
            raise _refuse_unknown(
                'answer_unavailable', 'the recorded answer cannot be read now', TABLE_RETRY_AFTER_S
            ) from error
        return None if raw is None else decode_answer(raw)


def _refuse_unavailable(problem: str) -> Refusal:
    return Refusal('table_unavailable', problem, retry_after_s=TABLE_RETRY_AFTER_S)


def _refuse_unknown(reason: str, message: str, retry_after_s: float | None = None) -> Refusal:
    return Refusal(
        reason,
        message,
        outcome=Outcome.OUTCOME_UNKNOWN,
        status=CONFLICT,
        retry_after_s=retry_after_s,
    )
