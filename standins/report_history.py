"""Reports that lag behind the state of a stand-in."""

import time
from collections import deque
from typing import Any

import attrs


@attrs.define
class ReportHistory:
    """The reports of the last `lag_s` seconds, and the one in force before them."""

    lag_s: float
    _reports: deque[tuple[float, dict[str, Any]]] = attrs.field(factory=deque)

    def record(self, report: dict[str, Any], *, stale: bool) -> None:
        """Store the report in force from now on; with `stale` the previous one stays in force."""
        if stale and self._reports:
            return
        self._reports.append((time.time(), report))
        self._evict_before(time.time() - self.lag_s)

    def read(self, *, stale: bool) -> dict[str, Any]:
        """Return the report of `lag_s` ago with its time `as_of`; `stale` freezes both."""
        as_of = time.time() - self.lag_s
        if stale:
            as_of = self._reports[0][0]
        else:
            self._evict_before(as_of)
        return {**self._reports[0][1], 'as_of': as_of}

    def _evict_before(self, before: float) -> None:
        while len(self._reports) > 1 and self._reports[1][0] <= before:
            self._reports.popleft()
