"""Keeps the software versions that began streams in the metadata store.

A stream that was broken off may go on only at the software version that began it, and the daemon
that knows the version may be gone. Records are written only while streams of a service may have
begun at several versions.
"""

import math
from collections.abc import Callable, Iterable

import anyio
import attrs

from ..clocks import read_lease_clock
from ..errors import PlatformError, TableOutcomeUnknown, TableUnavailable
from ..events import Event, EventLog
from ..platform.revisions import FIRST_ERA, get_era
from ..platform.store import MAX_WRITE_ROWS, MetadataStore, Rows, Written
from ..streams import KnownOrigin, Origin, ResumableServices, Source, StreamRecords, VersionHistory
from ..streams.rows import (
    OwnRow,
    OwnRows,
    StreamRow,
    VersionRow,
    decode_row,
    decode_version_row,
    encode_row,
    encode_version_row,
    make_announced_key,
    make_version_key,
)
from ..streams.services import HORIZON_MARGIN_S
from .reads import SharedReads
from .settings import EdgeSettings
from .targets import TargetStore
from .version_news import ShareVersion, share_nothing

STREAM_TABLE = 'camphorpath-streams'
VERSION_TABLE = 'camphorpath-versions'
RETRY_DELAY_S = 1.0
# Share of the store's write calls that is for records of streams.
WRITE_SHARE = 0.1
MIN_WRITE_INTERVAL_S = 0.2
MAX_WRITE_INTERVAL_S = 1.0
# Parts that only have rows older than this many horizons are removed.
STALE_HORIZONS = 2
PARALLEL_READS = 8
VERSION_INTERVAL_S = 1.0
REFRESH_INTERVAL_S = 5.0
# A version may have been registered for so much longer than its row says.
MAX_SEEN_LAG_S = REFRESH_INTERVAL_S + VERSION_INTERVAL_S
# The first event of a stream is held up for its version to be written for no longer than this.
MAX_ANNOUNCE_S = 0.3
# After a longer pause between two updates, versions may have come and gone unseen.
MAX_UNSEEN_S = 2.0
# Rows of versions that were not refreshed for longer, and for the longest horizon, are removed.
VERSION_RETENTION_S = 600.0
# The row of a version may have been removed when it was last read or written longer ago than this.
MAX_KNOWN_ROW_AGE_S = VERSION_RETENTION_S / 2
# A stream may begin this much after the time that the row of its version covers, within the margin
# of the horizon.
MAX_UNCOVERED_S = HORIZON_MARGIN_S / 2
# The writer removes the row of a version before the other daemons forget it.
FORGET_DELAY_S = 60.0
# Bounds the memory.
MAX_REJECTED_ROWS = 1000

Pair = tuple[str, str]


@attrs.define
class StreamStore:
    """Writes the records of this daemon, looks up those of others, and follows the versions."""

    records: StreamRecords
    history: VersionHistory
    store: MetadataStore
    events: EventLog
    settings: EdgeSettings
    incarnation: str
    count_actives: Callable[[], int]
    # Whether this daemon writes the versions for all daemons.
    is_version_writer: Callable[[], bool]
    # The service and software version of each registered upstream, also of leaving ones.
    list_registered: Callable[[], Iterable[Pair]]
    # Whether only records tell the software version that began a recent stream of a service.
    is_ambiguous: Callable[[str], bool]
    # For how long a stream of a service may go on after its begin.
    get_horizon_s: Callable[[str], float]
    # Returns the event that is set, and replaced, when the store was restored from a copy.
    get_restored: Callable[[], anyio.Event]
    # Returns whether the store confirmed the upstreams known here lately.
    is_view_confirmed: Callable[[], bool]
    read_clock: Callable[[], float] = read_lease_clock
    # Services at which streams may have begun; None for a daemon without routes.
    services: ResumableServices | None = None
    # Called for versions that the other daemons may not learn from the upstreams.
    share_version: ShareVersion = share_nothing
    # Whether the versions were read from the store.
    is_loaded: bool = False
    # Whether versions may have come and gone unseen since.
    _has_gap: bool = False
    # Whether this daemon was suspended since the last read in a confirmed view.
    _was_suspended: bool = False
    _suspension_count: int = 0
    # The store's era when the versions here were last read or written; 0 before the first read.
    _era: int = 0
    # Versions that were registered until then, on the lease clock, may be missing: a restore of
    # the store lost them before this daemon read it. None if none can be missing.
    _complete_since: float | None = None
    _next_load_at: float = math.inf
    # The store's clock minus the lease clock; None if the store never stated its time.
    _store_offset_s: float | None = None
    _own_rows: OwnRows = attrs.field(factory=OwnRows)
    _write_lock: anyio.Lock = attrs.field(factory=anyio.Lock)
    _read_limit: anyio.Semaphore = attrs.field(factory=lambda: anyio.Semaphore(PARALLEL_READS))
    _listings: SharedReads[list[str]] = attrs.field(factory=SharedReads)
    _part_reads: SharedReads[dict[bytes, Origin]] = attrs.field(factory=SharedReads)
    # Keys of the rows to remove by part.
    _stale_parts: dict[str, list[str]] = attrs.field(factory=dict)
    # When this daemon last wrote each version.
    _versions_written: dict[Pair, float] = attrs.field(factory=dict)
    # Until when each version was registered, as its row tells that was last read or written here.
    _version_rows: dict[Pair, float] = attrs.field(factory=dict)
    # When each version was last seen as registered while its row was refreshed for all daemons.
    _followed: dict[Pair, float] = attrs.field(factory=dict)
    # When a stream last began here at each version.
    _begun: dict[Pair, float] = attrs.field(factory=dict)
    # When this daemon, or another one, last told all others of each version.
    _shared: dict[Pair, float] = attrs.field(factory=dict)
    _announce_lock: anyio.Lock = attrs.field(factory=anyio.Lock)
    # When a version may be announced again after a failure, on the lease clock.
    _next_announce_at: float = -math.inf
    # Versions that the store may have lost when it was restored.
    _versions_lost: set[Pair] = attrs.field(factory=set)
    # Tasks whose last call failed.
    _failing: set[str] = attrs.field(factory=set)
    _rejected: set[tuple[str, str, str]] = attrs.field(factory=set)
    _targets: TargetStore | None = attrs.field(init=False)

    @_targets.default
    def _make_targets(self) -> TargetStore | None:
        if self.services is None:
            return None
        return TargetStore(VERSION_TABLE, self.services, self.store, self._reject_row)

    async def write_records(self) -> None:
        """Write the records of services with several versions until cancelled."""
        restored = self.get_restored()
        while True:
            if restored.is_set():
                restored = self.get_restored()
                self._own_rows.mark_lost()
            pause_s = self._get_write_interval_s()
            try:
                await self._write_next()
            except (TableUnavailable, TableOutcomeUnknown) as error:
                # The write is idempotent and can be repeated.
                self._log_failure('records', error)
                pause_s = RETRY_DELAY_S
            await anyio.sleep(pause_s)

    async def flush(self, limit_s: float) -> None:
        """Write what is unwritten before a planned stop; give up after `limit_s` seconds.

        Records of services with one version, too, as the next daemons may find several.
        """
        self._own_rows.add(self.records.drain_unwritten(lambda _service: True), self.read_clock())
        with anyio.move_on_after(limit_s) as scope:
            await self._flush()
        if scope.cancelled_caught:
            self.events.emit(Event.STREAM_STORE_FAILED, task='flush', problem='out of time')

    async def follow_versions(self) -> None:
        """Keep the versions in the store and in the history current until cancelled."""
        restored = self.get_restored()
        while True:
            if restored.is_set():
                restored = self.get_restored()
                self._mark_lost()
            self.record_registered()
            try:
                await self._update_versions(set(self.list_registered()))
            except (TableUnavailable, TableOutcomeUnknown) as error:
                # Reads and writes can be repeated.
                self._log_failure('versions', error)
            began_at = self.read_clock()
            await anyio.sleep(VERSION_INTERVAL_S)
            paused_s = self.read_clock() - began_at
            self.record_suspension(paused_s - VERSION_INTERVAL_S)

    def record_suspension(self, paused_s: float) -> None:
        """Record that this daemon stood still for some seconds, perhaps during a call."""
        if paused_s > MAX_UNSEEN_S:
            self._has_gap = True
            self._was_suspended = True
            self._suspension_count += 1

    def is_history_complete(self) -> bool:
        """Return whether no version is missing that was registered until the last read of them."""
        return self.is_loaded and not self._may_lack_versions(self.read_clock())

    async def announce_version(self, service: str, software_version: str) -> None:
        """Write a version at which a stream begins here, unless its row tells so.

        The daemon that writes the versions for all may learn of it later, or never if it is
        registered for a short time. An empty version is unknown; it keeps others from taking the
        stream for one of the only version that they know. Gives up after MAX_ANNOUNCE_S.
        """
        pair = service, software_version
        now = self.read_clock()
        self._begun[pair] = now
        self.history.record(service, software_version, now)
        if not self._is_announce_due(pair, now):
            self._share_uncovered(pair, now)
            return
        problem = 'out of time'
        with anyio.move_on_after(MAX_ANNOUNCE_S):
            async with self._announce_lock:
                if not self._is_announce_due(pair, now):
                    self._share_uncovered(pair, now)
                    return
                try:
                    await self._announce(pair)
                except (TableUnavailable, TableOutcomeUnknown) as error:
                    problem = str(error)
                else:
                    return
        # It is repeated with the next update of the versions, for which no stream waits.
        failed_at = self.read_clock()
        is_known_to_fail = failed_at < self._next_announce_at
        self._next_announce_at = failed_at + RETRY_DELAY_S
        self._share(pair, is_written=False)
        if not is_known_to_fail:
            self.events.emit(Event.STREAM_STORE_FAILED, task='announce', problem=problem)

    def is_stated(self, service: str, software_version: str) -> bool:
        """Return whether a row or an upstream tells the other daemons of a version."""
        pair = service, software_version
        return pair in self._version_rows or pair in set(self.list_registered())

    async def _announce(self, pair: Pair) -> None:
        """Write the row of a version; raise TableUnavailable or TableOutcomeUnknown."""
        now = self.read_clock()
        content = encode_version_row(VersionRow(*pair, self._to_store_time(now)))
        writes = {make_announced_key(*pair): content}
        # Another daemon may write the same row.
        written = await self.store.write_rows(VERSION_TABLE, '', writes)
        self._learn_store_time(written)
        self._learn_era(written.era)
        self._learn_row(pair, now)
        self._share(pair, is_written=True)

    def learn_begun(self, service: str, software_version: str, *, is_written: bool) -> None:
        """Record that a stream begins at a version at another daemon."""
        pair = service, software_version
        now = self.read_clock()
        self.history.record(service, software_version, now)
        self._shared[pair] = now
        # The news may have waited in the socket while this daemon was suspended.
        if is_written and self.is_view_confirmed():
            self._learn_row(pair, now)

    def _share(self, pair: Pair, *, is_written: bool) -> None:
        """Tell the other daemons of a version that they may not learn from the upstreams."""
        now = self.read_clock()
        is_known = now - self._shared.get(pair, -math.inf) <= MAX_UNCOVERED_S
        if pair in set(self.list_registered()) or (is_known and not is_written):
            return
        self._shared[pair] = now
        self.share_version(*pair, is_written=is_written)

    def _share_uncovered(self, pair: Pair, begun_at: float) -> None:
        """Tell the other daemons of a version that cannot be written now."""
        if not self._is_covered(pair, begun_at):
            self._share(pair, is_written=False)

    def _is_announce_due(self, pair: Pair, begun_at: float) -> bool:
        if self._is_covered(pair, begun_at):
            return False
        if self.read_clock() < self._next_announce_at:
            return False
        # After a gap, its row has to be read first.
        return pair not in self._version_rows or self.is_view_confirmed()

    def _is_covered(self, pair: Pair, begun_at: float) -> bool:
        """Return whether readers count a version while a stream of it may be taken up."""
        covered_until = self._version_rows.get(pair, -math.inf)
        followed_at = self._followed.get(pair, -math.inf)
        return begun_at - max(covered_until, followed_at) <= MAX_UNCOVERED_S

    def _list_uncovered(self, now: float) -> list[Pair]:
        """Return the versions of streams that began here, where their rows do not cover it."""
        for pair, begun_at in list(self._begun.items()):
            if now - begun_at > self.get_horizon_s(pair[0]):
                self._begun.pop(pair)
        return [
            pair for pair, begun_at in self._begun.items() if not self._is_covered(pair, begun_at)
        ]

    def _learn_row(self, pair: Pair, seen_at: float) -> None:
        """Record what the row of a version says; readers add the same lag."""
        covered_until = seen_at + MAX_SEEN_LAG_S
        self._version_rows[pair] = max(covered_until, self._version_rows.get(pair, covered_until))

    def record_registered(self) -> None:
        """Record the versions of the upstreams that are known here as registered now."""
        now = self.read_clock()
        is_confirmed = self.is_view_confirmed()
        for pair in self.list_registered():
            self.history.record(*pair, now)
            row_age_s = now - self._version_rows.get(pair, -math.inf)
            if is_confirmed and row_age_s < MAX_KNOWN_ROW_AGE_S and self._is_covered(pair, now):
                self._followed[pair] = now

    async def read_targets(self) -> None:
        """Read to which services resumable routes lead or have led; raise TableUnavailable."""
        if self._targets is not None:
            await self._targets.load()

    async def read_versions(self) -> None:
        """Read the versions that the daemons have written; raise TableUnavailable."""
        if not self.is_loaded or self._complete_since is not None:
            # Before the versions, whose rows tell whether a restore lost any.
            await self.read_targets()
        rows = await self.store.read_table(VERSION_TABLE)
        self._learn_store_time(rows)
        self._learn_era(get_era(rows.revision))
        found: list[VersionRow] = []
        for row in rows.rows:
            try:
                found.append(decode_version_row(row.value))
            except PlatformError as error:
                self._reject_row(VERSION_TABLE, '', row.key, error)
        for version in found:
            row_at = rows.to_lease_time(version.seen_s)
            seen_at = min(rows.answered_at, row_at + MAX_SEEN_LAG_S)
            self.history.record(version.service, version.software_version, seen_at)
            # A version may have two rows.
            self._learn_row((version.service, version.software_version), row_at)
        if not self.is_loaded and self._targets is not None:
            # The writer writes targets before versions; a copy may lack both.
            has_versions = bool(rows.rows) or get_era(rows.revision) != FIRST_ERA
            self._targets.complete_load(rows.answered_at, has_versions=has_versions)
        self._update_completeness(found, rows)
        self.is_loaded = True

    async def find(self, digest: bytes, answered: frozenset[str]) -> KnownOrigin | None:
        """Look a stream up in the rows of the daemons that have not answered; adopt what is found.

        `answered` holds incarnations. Returns None if all rows were read and none has it; raises
        TableUnavailable if rows that may have it could not be read.
        """
        error: TableUnavailable | None = None
        for found in await self._read_others(answered):
            if isinstance(found, TableUnavailable):
                error = found
                continue
            origin = found.get(digest)
            if origin is not None:
                known = KnownOrigin(origin, self.read_clock(), Source.STORE)
                return self.records.adopt(digest, known)
        if error is None:
            return None
        self.events.emit(Event.STREAM_STORE_FAILED, task='find', problem=str(error))
        raise TableUnavailable(error.message, step=error.step, peer=error.peer) from error

    async def _read_others(
        self, answered: frozenset[str]
    ) -> list[dict[bytes, Origin] | TableUnavailable]:
        """Return the records of each part, or the error."""
        now = self.read_clock()
        listing = (await self._listings.get_all([STREAM_TABLE], self.store.list_parts, now))[0]
        if isinstance(listing, TableUnavailable):
            return [listing]
        parts = [part for part in listing if part != self.incarnation and part not in answered]
        return await self._part_reads.get_all(parts, self._fetch_part, self.read_clock())

    async def _fetch_part(self, part: str) -> dict[bytes, Origin]:
        """Return the records of a part; queue its rows for removal if all are stale."""
        async with self._read_limit:
            rows = await self.store.read_table(STREAM_TABLE, part)
        self._learn_store_time(rows)
        origins: dict[bytes, Origin] = {}
        stale_count = 0
        for row in rows.rows:
            try:
                content = decode_row(row.value)
            except PlatformError as error:
                self._reject_row(STREAM_TABLE, part, row.key, error)
                continue
            origins |= content.origins
            stale_count += self._is_stale(content, rows.store_time_s)
        if rows.rows and stale_count == len(rows.rows):
            self._stale_parts[part] = [row.key for row in rows.rows[:MAX_WRITE_ROWS]]
        return origins

    def _is_stale(self, row: StreamRow, store_time_s: float | None) -> bool:
        if row.last_s is None or store_time_s is None:
            return False
        services = {origin.service for origin in row.origins.values()}
        return store_time_s - row.last_s > STALE_HORIZONS * self._get_longest_horizon_s(services)

    async def _flush(self) -> None:
        while True:
            try:
                has_written = await self._write_batch()
            except (TableUnavailable, TableOutcomeUnknown) as error:
                # The write is idempotent and can be repeated.
                self._log_failure('flush', error)
                await anyio.sleep(self._get_write_interval_s())
                continue
            if not has_written:
                return

    async def _write_next(self) -> None:
        """Write records; without new ones remove a stale part, if there is one."""
        self._part_reads.expire(self.read_clock())
        has_written = await self._write_batch()
        if not has_written and self._stale_parts:
            part, keys = self._stale_parts.popitem()
            # If this fails, the next lookup finds the rows again.
            self._learn_store_time(await self.store.write_rows(STREAM_TABLE, part, {}, keys))
            has_written = True
        if has_written:
            self._failing.discard('records')

    async def _write_batch(self) -> bool:
        """Write new records and remove outdated rows; return whether there was anything to write.

        Raises TableUnavailable or TableOutcomeUnknown.
        """
        async with self._write_lock:
            now = self.read_clock()
            self._take_records(now)

            def is_outdated(row: OwnRow) -> bool:
                return now - row.last_at > self._get_longest_horizon_s(row.services)

            batch = self._own_rows.list_unwritten(is_outdated, MAX_WRITE_ROWS)
            if not batch:
                return False
            removed = self._own_rows.list_outdated(is_outdated, MAX_WRITE_ROWS - len(batch))
            if self._store_offset_s is None:
                self._learn_store_time(await self.store.read_table(STREAM_TABLE, self.incarnation))
            await self._send(batch, removed)
        return True

    async def _send(self, batch: list[OwnRow], removed: list[str]) -> None:
        contents = {
            row.key: encode_row(row.origins, self._to_store_time(row.last_at)) for row in batch
        }
        states = [(row, row.is_open, row.may_exist) for row in batch]
        for row in batch:
            # A write that gets no answer may take effect later and must not undo another one.
            row.is_open = False
            row.may_exist = True
        try:
            written = await self.store.write_rows(STREAM_TABLE, self.incarnation, contents, removed)
        except TableUnavailable:
            # It had no effect.
            for row, was_open, may_exist in states:
                row.is_open = was_open
                row.may_exist = may_exist
            raise
        self._learn_store_time(written)
        for row, was_open, _may_exist in states:
            row.is_open = was_open
            row.is_written = True
        self._own_rows.remove(removed)

    def _take_records(self, now: float) -> None:
        """Move the new records of services whose streams are ambiguous to the rows to write."""
        services = self.history.list_services()
        if not (services and self.records.has_unwritten):
            return
        self.records.expire(now - self._get_longest_horizon_s(services))
        # While daemons may lack some versions, only records tell that of a stream.
        may_lack = self._may_lack_versions(now)
        ambiguous = {service for service in services if may_lack or self.is_ambiguous(service)}
        if ambiguous:
            self._own_rows.add(self.records.drain_unwritten(ambiguous.__contains__), now)

    async def _update_versions(self, registered: set[Pair]) -> None:
        """Read the versions once, after gaps, and while a restore may have lost some.

        The writer of the versions also writes them.
        """
        is_confirmed = self.is_view_confirmed()
        self._has_gap = self._has_gap or not is_confirmed
        if not self.is_loaded or (self._has_gap and is_confirmed) or self._is_reload_due():
            suspension_count = self._suspension_count
            await self.read_versions()
            if suspension_count == self._suspension_count:
                self._has_gap = not is_confirmed
                self._was_suspended = self._was_suspended and not is_confirmed
        elif self.services is not None and self.services.has_unconfirmed:
            await self.read_targets()
        now = self.read_clock()
        await self._announce_uncovered(now, is_confirmed=is_confirmed)
        await self._update_targets(now)
        if self.is_version_writer():
            if self._list_late(registered, now):
                # Another daemon may have written them since.
                await self.read_versions()
            era = self._era
            await self._write_versions(registered, now)
            if self._era != era:
                # The rows that were just written state the era before the restore.
                await self._update_targets(now)
                await self._write_versions(registered, now)
        self._forget_versions(now - self._get_retention_s() - FORGET_DELAY_S)
        self._failing.discard('versions')

    async def _announce_uncovered(self, now: float, *, is_confirmed: bool) -> None:
        """Write the versions of streams that began here, where their rows do not cover it."""
        for pair in self._list_uncovered(now):
            # After a gap, its row has to be read first.
            if is_confirmed or pair not in self._version_rows:
                await self._announce(pair)

    async def _update_targets(self, now: float) -> None:
        if self._targets is None:
            return
        try:
            await self._targets.update(now, is_writer=self.is_version_writer())
        except (TableUnavailable, TableOutcomeUnknown) as error:
            # The versions are written without them; the next update tries again.
            self._log_failure('targets', error)
            return
        self._failing.discard('targets')

    def _update_completeness(self, found: list[VersionRow], rows: Rows) -> None:
        """Find out whether a restore of the store lost versions that this daemon never knew.

        Daemons that knew them write all versions again with the new era. Without such rows the
        restore may have been at any time until now.
        """
        if self.is_loaded and self._complete_since is None:
            return
        era = get_era(rows.revision)
        current = [version for version in found if version.era == era]
        if era == FIRST_ERA or any(version.complete_since_s is None for version in current):
            self._complete_since = None
            return
        known = [rows.answered_at if self._complete_since is None else self._complete_since]
        known += [rows.to_lease_time(version.complete_since_s) for version in current]
        if self._complete_since is None:
            self.events.emit(Event.STREAM_VERSIONS_LOST, era=era, rows=len(found))
        self._complete_since = min(known)
        # Another daemon may write what it knows soon, or never.
        pause_s = max(rows.answered_at - self._complete_since, VERSION_INTERVAL_S)
        self._next_load_at = rows.answered_at + pause_s

    def _may_lack_versions(self, now: float) -> bool:
        """Return whether a restore may have lost a version that began a recent stream."""
        if self._complete_since is None:
            return False
        services = self.history.list_services()
        return now - self._complete_since <= self._get_longest_horizon_s(services)

    def _is_reload_due(self) -> bool:
        now = self.read_clock()
        return now >= self._next_load_at and self._may_lack_versions(now)

    def _learn_era(self, era: int | None) -> None:
        """Write all versions again if the store was restored since the last answer."""
        if era is None or era <= self._era:
            return
        if self._era:
            self._mark_lost()
        if self._was_suspended:
            # The restore may have lost versions that were registered meanwhile.
            self.is_loaded = False
        self._era = era

    def _mark_lost(self) -> None:
        """Write all versions and targets again, as the store was restored from a copy."""
        self._versions_lost.update(self.history.list_last_seen())
        # The writer of the versions writes those again that are registered.
        self._version_rows = dict(self._followed)
        if self._targets is not None:
            self._targets.mark_lost()

    async def _write_versions(self, registered: set[Pair], now: float) -> None:
        last_seen = self.history.list_last_seen()
        retained_from = now - self._get_retention_s()
        outdated = [pair for pair, seen_at in last_seen.items() if seen_at < retained_from]
        self._versions_lost.intersection_update(last_seen)
        self._versions_lost.difference_update(outdated)
        due = [pair for pair in registered if self._is_refresh_due(pair, now)]
        due += self._versions_lost.union(self._list_late(registered, now)).difference(due)
        due = due[:MAX_WRITE_ROWS]
        # A version may have two rows.
        outdated = outdated[: (MAX_WRITE_ROWS - len(due)) // 2]
        if not due and not outdated:
            return
        writes = {}
        complete_since_s = None
        if self._complete_since is not None:
            complete_since_s = self._to_store_time(self._complete_since)
        # Rows of the era state that all others are written, those of targets too.
        has_all = (
            self.is_loaded
            and self._versions_lost.issubset(due)
            and (self._complete_since is None or complete_since_s is not None)
            and not (self._targets is not None and self._targets.list_unwritten(now))
        )
        era = self._era if has_all else None
        for pair in due:
            seen_s = self._to_store_time(last_seen.get(pair, now))
            row = VersionRow(*pair, seen_s, era, complete_since_s)
            writes[make_version_key(*pair)] = encode_version_row(row)
        removed = [make_version_key(*pair) for pair in outdated]
        removed += [make_announced_key(*pair) for pair in outdated]
        written = await self.store.write_rows(VERSION_TABLE, '', writes, removed)
        self._learn_store_time(written)
        self._versions_written.update(dict.fromkeys(due, now))
        for pair in due:
            self._learn_row(pair, last_seen.get(pair, now))
        self._versions_lost.difference_update(due)
        self._learn_era(written.era)
        # One that is registered again by now is kept.
        self.history.forget(outdated, retained_from)

    def _list_late(self, registered: set[Pair], now: float) -> list[Pair]:
        """Return the versions that left lately, and later than their rows tell.

        They left while the store was away, or before this daemon became the writer of the versions.
        """
        return [
            pair
            for pair, seen_at in self.history.list_last_seen().items()
            if pair not in registered
            and seen_at > self._version_rows.get(pair, -math.inf)
            and now - seen_at <= self.get_horizon_s(pair[0])
        ]

    def _is_refresh_due(self, pair: Pair, now: float) -> bool:
        written_at = self._versions_written.get(pair)
        return written_at is None or now - written_at >= REFRESH_INTERVAL_S

    def _forget_versions(self, before: float) -> None:
        self.history.expire(before)
        for known in (self._versions_written, self._version_rows, self._followed, self._shared):
            for pair, known_at in list(known.items()):
                if known_at < before:
                    known.pop(pair)

    def _get_write_interval_s(self) -> float:
        """Return the pause between two writes, for which all daemons share the write calls."""
        calls_per_s = WRITE_SHARE * self.settings.store_writes_per_s
        if not calls_per_s:
            return MAX_WRITE_INTERVAL_S
        interval_s = max(MIN_WRITE_INTERVAL_S, self.count_actives() / calls_per_s)
        return min(interval_s, MAX_WRITE_INTERVAL_S)

    def _get_retention_s(self) -> float:
        """Return for how long a version is kept after its last registration."""
        horizon_s = self._get_longest_horizon_s(self.history.list_services())
        return max(VERSION_RETENTION_S, horizon_s)

    def _get_longest_horizon_s(self, services: Iterable[str]) -> float:
        return max(map(self.get_horizon_s, services), default=0)

    def _learn_store_time(self, answer: Rows | Written) -> None:
        if answer.store_time_s is not None:
            self._store_offset_s = answer.store_time_s - answer.answered_at

    def _to_store_time(self, at: float) -> float | None:
        """Return an instant of the lease clock on the store's clock, not before its zero."""
        return None if self._store_offset_s is None else max(at + self._store_offset_s, 0)

    def _log_failure(self, task: str, error: PlatformError) -> None:
        if task not in self._failing:
            self._failing.add(task)
            self.events.emit(Event.STREAM_STORE_FAILED, task=task, problem=str(error))

    def _reject_row(self, table: str, part: str, key: str, error: PlatformError) -> None:
        """Log an unreadable row once; other writers may leave any row."""
        place = table, part, key
        if place in self._rejected or len(self._rejected) >= MAX_REJECTED_ROWS:
            return
        self._rejected.add(place)
        self.events.emit(
            Event.STREAM_ROW_INVALID, table=table, part=part, key=key, problem=error.message
        )
