"""Reads of the entries of upstreams for processes that no entry describes yet."""

from collections.abc import Awaitable, Callable

import anyio
import attrs

from ..clocks import read_lease_clock

# The first event of a stream is held up for no longer than this.
MAX_READ_S = 0.3
# A process that no entry describes after a read causes the next one this much later.
READ_PAUSE_S = 2.0


@attrs.define
class EntryReads:
    """Brings the entries of upstreams up to date, seldom for a process that never registers."""

    # Reads the changes of the entries until now; reads are shared by those who wait for them.
    read: Callable[[], Awaitable[object]]
    # Returns whether the store answered the last call.
    is_store_up: Callable[[], bool]
    # Instants until which a process causes no read, by upstream and incarnation.
    _pauses: dict[tuple[str, int], float] = attrs.field(factory=dict)

    async def look_up(self, upstream_id: str, incarnation: int) -> None:
        """Read the entries once for a process that has answered; gives up after MAX_READ_S."""
        process = upstream_id, incarnation
        if read_lease_clock() < self._pauses.get(process, 0) or not self.is_store_up():
            return
        with anyio.move_on_after(MAX_READ_S):
            await self.read()
        now = read_lease_clock()
        self._pauses = {key: until for key, until in self._pauses.items() if now < until}
        self._pauses[process] = now + READ_PAUSE_S
