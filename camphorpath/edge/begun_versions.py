"""Keeps the software versions at which each daemon may have begun streams in the metadata store.

A stream that no running daemon knows, and that the store has no record of, began at a daemon that
is gone. Its version is certain if all daemons that are gone have begun streams at one version only.
Their rows tell that also if another version was registered after they were gone.
"""

import math
from collections.abc import Callable, Iterable

import anyio
import attrs
import orjson

from ..clocks import read_lease_clock
from ..errors import PlatformError, TableOutcomeUnknown, TableUnavailable
from ..events import Event, EventLog
from ..platform.revisions import FIRST_ERA, get_era
from ..platform.store import MAX_WRITE_ROWS, MetadataStore, Rows, Written
from ..streams import Origin, ResumableServices, VersionHistory
from ..streams.rows import convert_to_ms, read_seconds
from .history_reads import HistoryReads

TABLE = 'camphorpath-begun'
# All rows have the same part, so that one call reads them.
PART = 'begun'
UPDATE_INTERVAL_S = 1.0
# A row is written again after this time, as readers ignore rows of daemons that are long gone.
REFRESH_INTERVAL_S = 15.0
# A row counts for this much longer, as its daemon may have lost the store before it was gone.
MAX_REFRESH_DELAY_S = 20.0
# The first event of a stream is held up for its version to be written for no longer than this.
MAX_ANNOUNCE_S = 0.3
RETRY_DELAY_S = 1.0
# Rows that were not written for longer are removed.
ROW_RETENTION_S = 600.0


@attrs.frozen
class BegunRow:
    """The origins at which a daemon may have begun streams; times on the store's steady clock."""

    origins: frozenset[Origin]
    # When it was written, in seconds.
    written_s: float
    era: int
    # Whether it has all that were registered within the horizon, at whatever daemon they were used.
    is_complete: bool


def list_recent(history: VersionHistory, services: ResumableServices, now: float) -> list[Origin]:
    """Return the origins at which streams that may still be taken up can have begun."""
    return [
        Origin(service, software_version)
        for service in services.list_services()
        for software_version in history.list_since(service, now - services.get_horizon_s(service))
    ]


def encode_row(row: BegunRow) -> bytes:
    """Return the content of a row."""
    versions = sorted((origin.service, origin.software_version) for origin in row.origins)
    return orjson.dumps(
        {
            'versions': versions,
            'written_ms': convert_to_ms(row.written_s),
            'era': row.era,
            'is_complete': row.is_complete,
        }
    )


def decode_row(content: bytes | None) -> BegunRow:
    """Return the content of a row; raise PlatformError with the reason if it is unreadable."""
    try:
        document = orjson.loads(content or b'{}')
        origins = frozenset(Origin(service, version) for service, version in document['versions'])
        written_s = read_seconds(document['written_ms'])
        era = int(document['era'])
        is_complete = bool(document['is_complete'])
    except (KeyError, TypeError, ValueError) as error:
        raise PlatformError(f'not a row of begun versions: {error!r}', step='decode') from error
    if written_s is None:
        raise PlatformError('the time is missing', step='decode')
    return BegunRow(origins, written_s, era, is_complete)


@attrs.define(kw_only=True)
class BegunVersions:
    """Writes the row of this daemon, and reads those of daemons that are gone."""

    store: MetadataStore
    events: EventLog
    incarnation: str
    # The origins that were registered within the horizon, as far as this daemon knows.
    list_registered: Callable[[], Iterable[Origin]]
    # Returns whether this daemon knows all of them.
    is_history_complete: Callable[[], bool]
    # For how long a stream of a service may go on after its begin.
    get_horizon_s: Callable[[str], float]
    # Returns the event that is set, and replaced, when the store was restored from a copy.
    get_restored: Callable[[], anyio.Event]
    read_clock: Callable[[], float] = read_lease_clock
    # When a stream last began here at each origin.
    _begun: dict[Origin, float] = attrs.field(factory=dict)
    # The origins in the row of this daemon, as long as no restore of the store may have lost it.
    _written: frozenset[Origin] = frozenset()
    # Those in the latest row that was written, also if it may be lost since.
    _stated: frozenset[Origin] = frozenset()
    # Those of the first row that may have been written, while no write was confirmed.
    _attempted: frozenset[Origin] | None = None
    _written_at: float = -math.inf
    # Rises after a write with an unknown outcome, which may take effect after a later one.
    _row_number: int = 0
    # The store's clock minus the lease clock; None before the store has told its time.
    _store_offset_s: float | None = None
    _era: int = 0
    # When this daemon last heard from other incarnations.
    _heard: dict[str, float] = attrs.field(factory=dict)
    # When the rows that cannot be decoded were found, by key.
    _unreadable: dict[str, float] = attrs.field(factory=dict)
    # Keys of rows to remove.
    _outdated_keys: set[str] = attrs.field(factory=set)
    _write_lock: anyio.Lock = attrs.field(factory=anyio.Lock)
    # When a stream may wait for a write again after a failure.
    _next_announce_at: float = -math.inf
    _is_failing: bool = False
    # The latest rows that were read, and by key what could be decoded of them.
    _rows: Rows = attrs.field(factory=lambda: Rows([], 0))
    _decoded: dict[str, BegunRow] = attrs.field(factory=dict)
    _reads: HistoryReads = attrs.field(init=False)

    @_reads.default
    def _make_reads(self) -> HistoryReads:
        return HistoryReads(self.events, lambda: None, (self._read_rows,))

    async def follow(self) -> None:
        """Keep the row of this daemon current until cancelled."""
        restored = self.get_restored()
        while True:
            if restored.is_set():
                restored = self.get_restored()
                self._written = frozenset()
            self._expire_heard()
            if self._is_due():
                await self._try_write()
            await anyio.sleep(UPDATE_INTERVAL_S)

    def begin(self, service: str, software_version: str) -> bool:
        """Record that a stream begins here; return whether to announce its origin before.

        An empty version is unknown.
        """
        now = self.read_clock()
        origin = Origin(service, software_version)
        self._begun[origin] = now
        return origin not in self._written and now >= self._next_announce_at

    def is_stated(self, service: str, software_version: str) -> bool:
        """Return whether the daemons that come after this one count an origin as begun here.

        Its row in the store tells them so. While no row was written, as the store was away since
        the start, they take all registered versions for begun here.
        """
        origin = Origin(service, software_version)
        if self._stated:
            return origin in self._stated
        if not software_version:
            return False
        return origin in (self._attempted or self.list_registered())

    def record_member(self, incarnation: str) -> None:
        """Record that another daemon runs, which may have begun streams before it wrote its row."""
        self._heard[incarnation] = self.read_clock()

    async def try_begin(self, service: str, software_version: str) -> bool:
        """Return whether other daemons can learn that a stream begins here; write it if necessary.

        If not, the stream does not count as begun. Takes up to MAX_ANNOUNCE_S.
        """
        origin = Origin(service, software_version)
        begun_before = origin in self._begun
        if self.begin(service, software_version):
            await self.announce()
        if self.is_stated(service, software_version):
            return True
        if not begun_before:
            self._begun.pop(origin, None)
        return False

    async def announce(self) -> None:
        """Write the origins at which streams begin here; give up after MAX_ANNOUNCE_S.

        `follow` tries again, for which no stream waits.
        """
        with anyio.move_on_after(MAX_ANNOUNCE_S):
            await self._try_write()
        if self._is_due():
            self._next_announce_at = self.read_clock() + RETRY_DELAY_S

    async def list_lost(self, answered: frozenset[str]) -> frozenset[Origin] | None:
        """Return the origins at which daemons that have not answered may have begun streams.

        `answered` holds incarnations. Returns None if the store cannot be read, or if a restore may
        have lost rows.
        """
        is_read = await self._reads.confirm()
        rows, decoded = self._rows, self._decoded
        if not is_read or rows.store_time_s is None:
            return None
        known = answered | {self.incarnation}
        found: set[Origin] = set()
        # A restore of the store may have lost the rows of other daemons.
        is_complete = get_era(rows.revision) == FIRST_ERA
        for key, row in decoded.items():
            if _get_incarnation(key) in known:
                continue
            is_complete = is_complete or (row.era == get_era(rows.revision) and row.is_complete)
            silent_s = rows.store_time_s - row.written_s - REFRESH_INTERVAL_S - MAX_REFRESH_DELAY_S
            found |= {each for each in row.origins if silent_s <= self.get_horizon_s(each.service)}
        if not is_complete:
            return None
        if not self._list_unstated() <= known:
            if not self.is_history_complete():
                return None
            found.update(self.list_registered())
        return frozenset(found)

    def _list_unstated(self) -> set[str]:
        """Return the daemons of which no row tells at which versions they have begun streams."""
        now, longest_s = self.read_clock(), self._get_longest_horizon_s()
        self._expire_heard()
        unstated = self._heard.keys() - set(map(_get_incarnation, self._decoded))
        # Their daemons may have written them until then.
        limit_s = longest_s + REFRESH_INTERVAL_S + MAX_REFRESH_DELAY_S
        unstated.update(
            _get_incarnation(key) for key, at in self._unreadable.items() if now - at <= limit_s
        )
        return unstated

    def _expire_heard(self) -> None:
        """Forget the daemons that were last heard before any stream that may be taken up."""
        since = self.read_clock() - self._get_longest_horizon_s()
        self._heard = {name: at for name, at in self._heard.items() if at >= since}

    def _get_longest_horizon_s(self) -> float:
        return max((self.get_horizon_s(each.service) for each in self.list_registered()), default=0)

    async def _read_rows(self) -> None:
        """Read the rows of all daemons; raise TableUnavailable."""
        rows = await self.store.read_table(TABLE, PART)
        self._learn_times(rows.store_time_s, rows.answered_at, get_era(rows.revision))
        if rows.revision < self._rows.revision:
            # A read that began later has ended before.
            return
        self._rows = rows
        self._decoded = {}
        for row in rows.rows:
            try:
                self._decoded[row.key] = decode_row(row.value)
            except PlatformError as error:
                self._log_failure(f'row {row.key}: {error.message}')
        now = self.read_clock()
        unreadable = [row.key for row in rows.rows if row.key not in self._decoded]
        self._unreadable = {key: self._unreadable.get(key, now) for key in unreadable}
        if rows.store_time_s is not None:
            outdated_s = rows.store_time_s - ROW_RETENTION_S
            self._outdated_keys = {
                key for key, row in self._decoded.items() if row.written_s < outdated_s
            }
            self._outdated_keys.update(
                key for key, at in self._unreadable.items() if now - at > ROW_RETENTION_S
            )

    def _is_due(self) -> bool:
        origins = self._list_origins()
        if not origins:
            return False
        is_outdated = self.read_clock() - self._written_at >= REFRESH_INTERVAL_S
        return is_outdated or not origins <= self._written

    def _list_origins(self) -> frozenset[Origin]:
        """Return the origins that were registered, or at which streams began here, lately."""
        now = self.read_clock()
        for origin, begun_at in list(self._begun.items()):
            if now - begun_at > self.get_horizon_s(origin.service):
                self._begun.pop(origin)
        return frozenset((*self.list_registered(), *self._begun))

    async def _try_write(self) -> None:
        """Write the row of this daemon; log a failure."""
        async with self._write_lock:
            try:
                while self._is_due():
                    await self._write()
            except (TableUnavailable, TableOutcomeUnknown) as error:
                self._log_failure(str(error))
                return
        self._is_failing = False

    def _log_failure(self, problem: str) -> None:
        """Log a problem, unless the last call failed, too."""
        if not self._is_failing:
            self.events.emit(Event.STREAM_STORE_FAILED, task='begun', problem=problem)
        self._is_failing = True

    async def _write(self) -> None:
        """Write the row of this daemon; raise TableUnavailable or TableOutcomeUnknown."""
        if self._store_offset_s is None:
            await self._read_rows()
        now, era, origins = self.read_clock(), self._era, self._list_origins()
        row = BegunRow(origins, self._to_store_time(now), era, self.is_history_complete())
        key = f'{self.incarnation}.{self._row_number}'
        outdated = sorted(self._outdated_keys)[: MAX_WRITE_ROWS - 1]
        if self._attempted is None:
            self._attempted = origins
        # Until the answer, the write may take effect after a later one.
        self._row_number += 1
        written = await self._send(key, row, outdated)
        self._row_number -= 1
        self._outdated_keys.difference_update(outdated)
        self._stated = origins
        self._learn_times(written.store_time_s, written.answered_at, written.era or era)
        if self._era == era:
            self._written = origins
            self._written_at = now

    async def _send(self, key: str, row: BegunRow, outdated: list[str]) -> Written:
        try:
            return await self.store.write_rows(TABLE, PART, {key: encode_row(row)}, outdated)
        except TableUnavailable:
            # It had no effect.
            self._row_number -= 1
            raise

    def _learn_times(self, store_time_s: float | None, answered_at: float, era: int) -> None:
        if store_time_s is not None:
            self._store_offset_s = store_time_s - answered_at
        if era > self._era:
            self._era = era
            self._written = frozenset()

    def _to_store_time(self, at: float) -> float:
        """Return an instant of the lease clock on the store's clock, not before its zero."""
        return max(at + (self._store_offset_s or 0), 0)


def _get_incarnation(key: str) -> str:
    """Return the incarnation of the daemon that wrote a row."""
    return key.rpartition('.')[0]
