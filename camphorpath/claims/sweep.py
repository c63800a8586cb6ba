"""Removes expired claim rows; one daemon of the fleet does this."""

import contextlib
import random
import time
from collections.abc import Iterable

import anyio

from ..errors import PlatformError
from ..platform import Check, Row, Table, Write
from .records import ROW_KEY_PREFIX, ClaimRow, RowState, decode_row

OWNER_KEY = 'sweep'
MAX_INTERVAL_S = 60.0
PAGE_ROWS = 64
# Limits the load of the sweep: the table serves about two thousand reads per second.
PAGE_PAUSE_S = 0.05


class Sweep:
    """Reads the claim rows page by page and removes the expired ones."""

    def __init__(self, table: Table, membership, rng: random.Random) -> None:
        """Use `membership` to choose the sweeping daemon."""
        self._table = table
        self._membership = membership
        self._rng = rng

    async def run(self) -> None:
        """Sweep at random intervals while this daemon is the sweeping one, until cancelled."""
        while True:
            await anyio.sleep(self._rng.uniform(MAX_INTERVAL_S / 2, MAX_INTERVAL_S))
            # `Table` has logged the failure; the next sweep reads the same rows again.
            with contextlib.suppress(PlatformError):
                await self.sweep()

    async def sweep(self) -> None:
        """Remove all rows that have expired, if this daemon is the sweeping one.

        Raises PlatformError.
        """
        last_key = ''
        while self._is_sweeping_daemon():
            rows = await self._table.scan(ROW_KEY_PREFIX, limit=PAGE_ROWS, after=last_key)
            if not rows:
                return
            last_key = rows[-1].key
            await self._remove(self._select_expired(rows))
            await anyio.sleep(PAGE_PAUSE_S)

    def _is_sweeping_daemon(self) -> bool:
        owner = self._membership.choose_owner(OWNER_KEY)
        return owner.incarnation == self._membership.incarnation

    def _select_expired(self, rows: Iterable[Row]) -> list[Row]:
        now = time.time()
        live = {info.incarnation for info in self._membership.live_members()}
        return [row for row in rows if _is_removable(decode_row(row.value), now, live)]

    async def _remove(self, rows: list[Row]) -> None:
        if not rows:
            return
        # If a row has changed since it was read, its whole page stays until the next sweep.
        checks = [Check(row.key, row.revision) for row in rows]
        await self._table.commit(checks, [Write(row.key, None) for row in rows])


def _is_removable(row: ClaimRow, now: float, live: set[str]) -> bool:
    if row.expires_at > now:
        return False
    # The call may still be running at its home daemon, the one that accepted it, and without the
    # row a repeated call would be treated as a new one.
    return row.state is not RowState.OPEN or row.owner not in live
