"""The fleet-wide budget of bytes read from the weight store; daemons reserve shares of it."""

import json
from collections.abc import Callable

import attrs

from ..errors import TableOutcomeUnknown
from ..events import Event, EventLog
from ..platform import Check, Row, Table, Write
from ..schema import camphorpath_pb2 as pb

BUDGET_KEY = 'budgets/weight-store'
# The size of a share as a fraction of the burst, unless a single load needs more or the remaining
# loads need less. Avoids a table write for each small load.
SHARE_OF_BURST = 0.125
# Unused bytes of a share expire after this time. Otherwise shares reserved long ago could be
# spent together with a full bucket.
SHARE_TTL_S = 60.0


@attrs.define(eq=False)
class WeightBudget:
    """The share of one daemon in the token bucket of the row `budgets/weight-store`.

    The row holds the bytes that were left at its last change. A daemon adds the refill since it
    first read this revision, by its own clock; the refill of the time before is lost. So clocks
    of different VMs are not compared and the rate is never exceeded.
    """

    table: Table
    events: EventLog
    clock: Callable[[], float]
    _share_left_bytes: int = 0
    _share_expires_at: float = 0
    _last_revision: int = -1
    _last_revision_read_at: float = 0
    _is_exhausted: bool = False

    async def spend(self, fleet: pb.Fleet, size: int, wanted_bytes: int) -> bool:
        """Spend `size` bytes of the share and return whether that succeeded.

        `wanted_bytes` is what this daemon still has to load; it bounds a newly reserved share.
        Raises TableUnavailable or TableOutcomeUnknown; nothing is spent then.
        """
        if not fleet.weight_store_rate or not size:
            return True
        if self.clock() >= self._share_expires_at:
            self._share_left_bytes = 0
        if self._share_left_bytes < size:
            await self._reserve_share(fleet, size, max(wanted_bytes, size))
        is_enough = self._share_left_bytes >= size
        if is_enough:
            self._share_left_bytes -= size
        elif not self._is_exhausted:
            self.events.emit(Event.WEIGHT_BUDGET_EXHAUSTED, size=size)
        self._is_exhausted = not is_enough
        return is_enough

    async def _reserve_share(self, fleet: pb.Fleet, size: int, wanted_bytes: int) -> None:
        """Replace the share by a new one if the bucket holds enough; the old one is lost."""
        row = await self.table.read(BUDGET_KEY)
        level_bytes = self._compute_level_bytes(fleet, row)
        if level_bytes < size:
            return
        default_share_bytes = int(fleet.weight_store_burst * SHARE_OF_BURST)
        share_bytes = min(level_bytes, max(size, min(wanted_bytes, default_share_bytes)))
        record = json.dumps({'level': level_bytes - share_bytes}).encode()
        checks = [Check(BUDGET_KEY, row.revision if row else 0)]
        self._share_left_bytes = 0
        try:
            is_committed = await self.table.commit(checks, [Write(BUDGET_KEY, record)])
        except TableOutcomeUnknown:
            # The share may have been reserved in the table, but it is not used. A late write
            # cannot take effect after another change of the row, and it only lowers the level.
            self._last_revision = -1
            raise
        if is_committed:
            self._share_left_bytes = share_bytes
            self._share_expires_at = self.clock() + SHARE_TTL_S

    def _compute_level_bytes(self, fleet: pb.Fleet, row: Row | None) -> int:
        if row is None:
            return fleet.weight_store_burst
        now = self.clock()
        if row.revision != self._last_revision:
            self._last_revision = row.revision
            self._last_revision_read_at = now
        refilled_bytes = int((now - self._last_revision_read_at) * fleet.weight_store_rate)
        level_bytes = int(json.loads(row.value)['level'])
        return min(level_bytes + refilled_bytes, fleet.weight_store_burst)
