"""The lease under which the owner of a service gives orders, with its fencing number."""

import json
import math
import secrets
from collections.abc import Callable

import attrs

from ..events import Event, EventLog
from ..platform import Check, Row, Table, Write

FENCES_PREFIX = 'fences/'
RENEW_INTERVAL_S = 2.0
# A due renewal is attempted about every second, so three may fail or be lost before the lease ends.
LEASE_DURATION_S = 6.0
TOKEN_BYTES = 16


@attrs.frozen
class FenceRecord:
    """The row of a service: the highest fencing number, its holder and the token of its term."""

    number: int = 0
    holder: str = ''
    token: str = ''


def _make_token() -> str:
    return secrets.token_hex(TOKEN_BYTES)


@attrs.define(eq=False)
class Lease:
    """The right of one daemon to give orders for a service.

    A term lasts from acquiring the lease to losing or ending it. `number` is the fencing number of
    the term, 0 outside a term.

    Every change of the row checks its revision. The holder counts LEASE_DURATION_S from before it
    sent the last write that succeeded. Another daemon counts LEASE_DURATION_S from after it first
    read a revision, and then replaces exactly this revision. So the lease of the holder ends
    first, whatever the clocks of the two VMs show, as long as they run at the same rate.
    """

    service: str
    holder: str
    table: Table
    events: EventLog
    clock: Callable[[], float]
    number: int = 0
    _token: str = attrs.field(factory=_make_token)
    _expires_at: float = -math.inf
    _renew_at: float = -math.inf
    _last_revision: int = 0
    _last_revision_read_at: float = 0

    def is_held(self) -> bool:
        """Return whether the lease is valid now, so that orders may be given."""
        return self.clock() < self._expires_at

    async def acquire_or_renew(self) -> bool:
        """Acquire the lease, or renew it if that is due; return whether it is held afterwards.

        Raises TableUnavailable or TableOutcomeUnknown. After TableOutcomeUnknown the next
        call reads the row: its token shows whether the write took effect.
        """
        if self.number and not self.is_held():
            self.end('not renewed in time')
        if not self.number or self.clock() >= self._renew_at:
            await self._write_row()
        return self.is_held()

    def end(self, reason: str) -> None:
        """End the term; the next one has another token and a higher number."""
        if self.number:
            self.events.emit(
                Event.ORDER_LEASE_LOST, service=self.service, fence=self.number, reason=reason
            )
        self.number = 0
        self._token = _make_token()
        self._expires_at = -math.inf

    async def _write_row(self) -> None:
        key = f'{FENCES_PREFIX}{self.service}'
        row = await self.table.read(key)
        stored = FenceRecord(**json.loads(row.value)) if row else FenceRecord()
        self._record_revision(row)
        if stored.token == self._token:
            record = stored
        else:
            if self.number:
                self.end(f'acquired by {stored.holder}')
            if not self._is_free(stored):
                return
            record = FenceRecord(stored.number + 1, self.holder, self._token)
        sent_at = self.clock()
        checks = [Check(key, row.revision if row else 0)]
        content = json.dumps(attrs.asdict(record)).encode()
        if await self.table.commit(checks, [Write(key, content)]):
            self._start_or_extend_term(record.number, sent_at)

    def _start_or_extend_term(self, number: int, sent_at: float) -> None:
        self._expires_at = sent_at + LEASE_DURATION_S
        self._renew_at = sent_at + RENEW_INTERVAL_S
        if self.number:
            return
        self.number = number
        self.events.emit(Event.ORDER_LEASE_TAKEN, service=self.service, fence=number)

    def _record_revision(self, row: Row | None) -> None:
        revision = row.revision if row else 0
        if revision != self._last_revision:
            self._last_revision = revision
            self._last_revision_read_at = self.clock()

    def _is_free(self, stored: FenceRecord) -> bool:
        # Only this process gives orders under its own earlier terms, and those have ended.
        if stored.holder in {'', self.holder}:
            return True
        return self.clock() - self._last_revision_read_at >= LEASE_DURATION_S
