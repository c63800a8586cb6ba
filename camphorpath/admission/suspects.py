"""Crash suspects: digests of requests that were running on upstreams that crashed."""

import collections
import datetime
import json
import time
from typing import Any

import anyio
import attrs

from ..errors import PlatformError
from ..events import Event, EventLog
from ..platform import Write

MAX_SUSPECT_COUNT = 10000
MAX_WRITES_PER_COMMIT = 32
RETRY_DELAY_S = 1
# A digest expires this long after its last crash, at the next change of the owner.
RETENTION_S = datetime.timedelta(days=7).total_seconds()

SuspectKey = tuple[str, str]


@attrs.define(eq=False)
class Suspects:
    """Bounded crash counts by service and digest, copied to the table when it is available.

    A count of 1 marks a suspect, which has to run alone. At the crash limit it is refused.
    """

    table: Any
    events: EventLog
    _counts: collections.OrderedDict[SuspectKey, int] = attrs.field(factory=collections.OrderedDict)
    _pending: collections.OrderedDict[SuspectKey, int] = attrs.field(
        factory=collections.OrderedDict
    )
    _wake: anyio.Event = attrs.field(factory=anyio.Event)

    def count(self, service: str, digest: str) -> int:
        """Return the crash count of a digest; 0 if it is not a suspect."""
        return self._counts.get((service, digest), 0) if self._counts else 0

    def record(self, service: str, digest: str, crash_limit: int, *, was_alone: bool) -> int:
        """Record the crash of an upstream that ran the digest; return the new count.

        A request that ran alone is the cause and reaches the limit at once. One that ran with
        others is only suspected.
        """
        if not digest:
            return 0
        count = crash_limit if was_alone else max(self.count(service, digest), 1)
        self._set(service, digest, count)
        self.events.emit(Event.SUSPECT_RECORDED, service=service, digest=digest, count=count)
        return count

    def clear(self, service: str, digest: str) -> None:
        """Remove a digest whose request completed."""
        if self.count(service, digest):
            self._set(service, digest, 0)
            self.events.emit(Event.SUSPECT_CLEARED, service=service, digest=digest)

    async def load(self, service: str) -> None:
        """Read the counts of a service from the table, with retries until it answers."""
        prefix = f'suspects/{service}/'
        while True:
            try:
                rows = await self.table.scan(prefix)
            except PlatformError:
                await anyio.sleep(RETRY_DELAY_S)
                continue
            break
        for row in rows[-MAX_SUSPECT_COUNT:]:
            key = service, row.key.removeprefix(prefix)
            stored = json.loads(row.value)
            if time.time() - stored['time'] > RETENTION_S:
                self._pending.setdefault(key, 0)
                self._wake.set()
                continue
            # A pending change is newer than the row. Otherwise another owner may have counted a
            # crash since this daemon last owned the service.
            if key not in self._pending:
                self._counts[key] = max(int(stored['count']), self._counts.get(key, 0))
        self._evict_oldest()

    async def run(self) -> None:
        """Write changes to the table, with retries after failures."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            while self._pending:
                try:
                    await self._write_batch()
                except PlatformError:
                    await anyio.sleep(RETRY_DELAY_S)

    async def _write_batch(self) -> None:
        batch = dict(list(self._pending.items())[:MAX_WRITES_PER_COMMIT])
        writes = [
            Write(
                f'suspects/{service}/{digest}',
                json.dumps({'count': count, 'time': time.time()}).encode() if count else None,
            )
            for (service, digest), count in batch.items()
        ]
        await self.table.commit([], writes)
        for key, count in batch.items():
            # A change made during the commit remains to be written.
            if self._pending.get(key) == count:
                self._pending.pop(key)

    def _set(self, service: str, digest: str, count: int) -> None:
        key = service, digest
        self._counts.pop(key, None)
        self._pending.pop(key, None)
        if count:
            self._counts[key] = count
        self._pending[key] = count
        self._evict_oldest()
        self._wake.set()

    def _evict_oldest(self) -> None:
        while len(self._counts) > MAX_SUSPECT_COUNT:
            self._counts.popitem(last=False)
        while len(self._pending) > MAX_SUSPECT_COUNT:
            self._pending.popitem(last=False)
