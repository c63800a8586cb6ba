"""Keeps the manifest and the entries of upstreams up to date, from the store or from a peer."""

import math
import random
from collections.abc import Callable, Iterable

import anyio
import attrs
import httpx

from ..clocks import MS_PER_S, read_lease_clock
from ..errors import HistoryCompacted, PeerError, TableUnavailable
from ..events import Event, EventLog
from ..platform.revisions import get_era
from ..platform.rollouts import is_order_key
from ..platform.store import MetadataStore, Rows
from ..platform.wire import MANIFEST_KEY, MANIFEST_TABLE, UPSTREAM_TABLE
from ..schema import camphorpath_pb2 as pb
from .shared import SharedRows
from .state_transfer import fetch_state

# Duration of one long poll of a watcher. A dead connection is noticed a second after it. A manifest
# has to be in force within 2.5 s; meanwhile the other watchers announce it.
LONG_POLL_TIMEOUT_S = 1.25
# A daemon whose state was not confirmed within this time polls the store itself. Confirmations by
# watchers are younger, including the time for their polls and for the heartbeats.
MAX_CONFIRMATION_AGE_S = 2.3
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.6
# While the store does not answer, daemons that are not watchers probe it at this interval, which
# doubles with each failure, as a whole fleet may do so. Watchers retry more often and announce.
MIN_PROBE_INTERVAL_S = 1.0
MAX_PROBE_INTERVAL_S = 3.0
# Fraction of the probe interval and of MAX_CONFIRMATION_AGE_S that is random, so that the daemons
# of a fleet do not poll at once.
JITTER_FRACTION = 0.25
# Shortest time between two attempts to catch up with peers that are ahead.
CATCH_UP_INTERVAL_S = 0.05
TABLES = (MANIFEST_TABLE, UPSTREAM_TABLE)


@attrs.frozen
class _PeerAhead:
    """A peer that holds a newer manifest or newer upstreams than this daemon."""

    manifest_revision: int
    # 0 if unknown.
    manifest_version: int
    upstreams_revision: int
    # The revision since which the peer knows all changes of upstreams; 0 if unknown.
    complete_since: int
    # Whether the peer sent an announcement, as watchers do. Watchers are well connected, and each
    # region has its own, so that they share the queries.
    has_announced: bool
    is_same_region: bool

    def sort_key(self) -> tuple[bool, bool, float]:
        """Return the key for choosing the peer to query; the lowest is queried first.

        The last part is random, so that daemons that are behind do not all query the same peer.
        """
        return not self.has_announced, not self.is_same_region, random.random()


@attrs.define(kw_only=True)
class Follower:
    """Follows the store, and fetches state from peers that are ahead."""

    store: MetadataStore
    rows: SharedRows
    events: EventLog
    peers: httpx.AsyncClient
    # Whether this daemon polls the store; the others learn of changes from their peers.
    is_watcher: Callable[[], bool]
    # Called when the store does not answer, and when it answers again.
    on_store_disruption: Callable[[], None]
    # Sends changes after the given revision of the upstreams to all other daemons.
    announce: Callable[[pb.SharedState, int], None]
    # Called with the hosts that a peer knows.
    on_hosts: Callable[[Iterable[str]], None]
    # Whether a zone is in the region of this daemon.
    is_same_region: Callable[[str], bool]
    # Called with the orders to move services in a listing or among changes, and whether it is a
    # listing; None if such orders are ignored.
    on_orders: Callable[[Rows, bool], None] | None = None
    store_up: bool = False
    # Whether the last call to the store failed; before the first answer or failure, it is unknown.
    is_store_failing: bool = False
    # Whether a manifest could not be unpacked, so that the next one must not be a delta.
    _needs_whole_manifest: bool = False
    # Peers that are ahead by control address.
    _peers_ahead: dict[str, _PeerAhead] = attrs.field(factory=dict)
    # The peer from which state is being fetched.
    _queried_peer: _PeerAhead | None = None
    # When this daemon first learned that a peer is ahead, on the lease clock; None if none is.
    _behind_since: float | None = None
    # When the store or a peer last confirmed the state held here, on the lease clock.
    _confirmed_at: float = -math.inf
    # When the store last answered this daemon, by table, on the lease clock.
    _read_at: dict[str, float] = attrs.field(factory=dict)
    _peer_is_ahead: anyio.Event = attrs.field(factory=anyio.Event)
    _polling_woken: anyio.Event = attrs.field(factory=anyio.Event)

    def record_peer(self, heartbeat: pb.EdgeHeartbeat, address: str) -> None:
        """Compare the revisions of a peer with those held here."""
        peer = _PeerAhead(
            heartbeat.manifest_revision,
            heartbeat.manifest_version,
            heartbeat.upstreams_revision,
            heartbeat.upstreams_complete_since,
            heartbeat.HasField('news'),
            self.is_same_region(heartbeat.zone),
        )
        if self._is_behind(peer):
            if self._behind_since is None:
                self._behind_since = read_lease_clock()
            self._peers_ahead[address] = peer
            self._peer_is_ahead.set()
            return
        self._peers_ahead.pop(address, None)
        if heartbeat.store_age >= 0:
            self._confirmed_at = max(self._confirmed_at, read_lease_clock() - heartbeat.store_age)

    def apply_announced_rows(self, heartbeat: pb.EdgeHeartbeat, address: str) -> None:
        """Apply the rows that a peer announces; record it as ahead if any are still missing."""
        try:
            self.rows.apply_announced_rows(heartbeat.news, heartbeat.news_after, read_lease_clock())
        except PeerError as error:
            self.events.emit(Event.BAD_PEER, problem=str(error))
        self.record_peer(heartbeat, address)

    def store_age(self) -> float:
        """Return the seconds since the state held here was confirmed; infinite if it never was."""
        return read_lease_clock() - self._confirmed_at

    def is_manifest_current(self) -> bool:
        """Return whether no peer has a newer manifest and this one was confirmed recently."""
        if any(map(self._has_newer_manifest, self._peers_ahead.values())):
            return False
        if self._queried_peer is not None and self._has_newer_manifest(self._queried_peer):
            return False
        return self.store_age() <= MAX_CONFIRMATION_AGE_S

    def mark_unconfirmed(self) -> None:
        """Treat the state held here as unconfirmed, so that the store is polled at once."""
        self._confirmed_at = -math.inf
        self._read_at.clear()
        self.wake_polling()

    def wake_polling(self) -> None:
        """Wake the polling tasks: this daemon may be a watcher now, or its state is outdated."""
        self._polling_woken.set()
        self._polling_woken = anyio.Event()

    async def follow_peers(self) -> None:
        """Fetch the state of peers that are ahead, until cancelled."""
        while True:
            await self._peer_is_ahead.wait()
            self._peer_is_ahead = anyio.Event()
            await self._catch_up()
            await anyio.sleep(CATCH_UP_INTERVAL_S)

    async def _catch_up(self) -> None:
        """Fetch state until no peer is ahead; poll the store if no peer that is ahead answers."""
        while self._discard_caught_up():
            sources = self._list_sources()
            if not sources:
                return
            address = self._choose_source(sources)
            self._queried_peer = self._peers_ahead.pop(address)
            is_fetched = await self.fetch_from(address)
            self._queried_peer = None
            if not is_fetched and not self._list_sources():
                self.mark_unconfirmed()

    def _list_sources(self) -> list[tuple[str, _PeerAhead]]:
        """Return the peers that are ahead and may be queried, with their addresses.

        A peer that has just started knows of no older removals, so it has to send a listing, and
        a whole fleet that queried it would overload its link. While the state held here is
        confirmed, another peer sends the changes soon, or this daemon polls the store.
        """
        peers = list(self._peers_ahead.items())
        if not self.store_up or self.store_age() > MAX_CONFIRMATION_AGE_S:
            return peers
        return [
            (address, peer)
            for address, peer in peers
            if peer.has_announced
            or self._has_newer_manifest(peer)
            or not self._must_send_listing(peer)
        ]

    def _choose_source(self, sources: list[tuple[str, _PeerAhead]]) -> str:
        """Return the address of the peer to query, if possible one that can send changes."""
        ranked = [
            (self._must_send_listing(peer), peer.sort_key(), address) for address, peer in sources
        ]
        return min(ranked)[-1]

    def _must_send_listing(self, peer: _PeerAhead) -> bool:
        """Return whether a peer does not know all changes that this daemon lacks."""
        held = self.rows.upstreams_revision
        return held < peer.complete_since and get_era(held) == get_era(peer.complete_since)

    def _discard_caught_up(self) -> bool:
        """Discard peers that are no longer ahead; return whether any are left."""
        for address, peer in list(self._peers_ahead.items()):
            if not self._is_behind(peer):
                self._peers_ahead.pop(address)
        if not self._peers_ahead:
            self._behind_since = None
        return bool(self._peers_ahead)

    def _apply_manifest_listing(self, rows: Rows) -> None:
        self._apply_manifest_rows(rows, is_listing=True)

    def _apply_manifest_rows(self, rows: Rows, *, is_listing: bool = False) -> None:
        if self.on_orders is not None:
            # Before the manifest: without the orders, calls would go to all versions alike.
            orders = [row for row in rows.rows if is_order_key(row.key)]
            self.on_orders(attrs.evolve(rows, rows=orders), is_listing)
        for row in rows.rows:
            if row.key == MANIFEST_KEY and row.value is not None:
                self.rows.apply_manifest(row.value, row.revision)

    def _is_behind(self, peer: _PeerAhead) -> bool:
        if self._has_newer_manifest(peer):
            return True
        return peer.upstreams_revision > self.rows.upstreams_revision

    def _has_newer_manifest(self, peer: _PeerAhead) -> bool:
        return self.rows.is_manifest_newer(peer.manifest_version, peer.manifest_revision)

    async def fetch_from(self, address: str) -> bool:
        """Fetch and apply the state of a peer; return whether that succeeded."""
        rows = self.rows
        started_at = read_lease_clock()
        base = 0 if self._needs_whole_manifest else rows.manifest.revision
        try:
            state = await fetch_state(
                self.peers, address, base, rows.upstreams_revision, rows.manifest.version
            )
            now = read_lease_clock()
            # A delta fails if its base is another manifest than the one held of that revision.
            self._needs_whole_manifest = bool(state.manifest.base)
            rows.apply_state(state, now)
        except PeerError as error:
            self.events.emit(Event.BAD_PEER, problem=str(error))
            return False
        self._needs_whole_manifest = False
        self.on_hosts(state.hosts)
        behind_since = started_at if self._behind_since is None else self._behind_since
        self.events.emit(
            Event.STATE_TAKEN,
            peer=address,
            manifest=rows.manifest.revision,
            upstreams=rows.upstreams_revision,
            listing=state.is_listing,
            received_bytes=state.ByteSize(),
            took_ms=round((now - started_at) * MS_PER_S),
            behind_ms=round((now - behind_since) * MS_PER_S),
        )
        return True

    async def watch_manifest(self) -> None:
        """Poll the store for changes of the manifest, until cancelled."""
        await self._watch(
            MANIFEST_TABLE,
            self._apply_manifest_listing,
            self._apply_manifest_rows,
            lambda: self.rows.manifest.revision,
        )

    async def watch_upstreams(self) -> None:
        """Poll the store for changes of the upstreams, until cancelled."""
        await self._watch(
            UPSTREAM_TABLE,
            self._apply_upstream_listing,
            self._apply_upstream_changes,
            lambda: self.rows.upstreams_revision,
        )

    async def read_upstreams(self) -> None:
        """Read and apply the changes of the upstreams until now; raise TableUnavailable."""
        revision = self.rows.upstreams_revision if self.rows.is_listed else None
        try:
            await self._read_upstreams_after(revision)
        except HistoryCompacted:
            await self._read_upstreams_after(None)

    async def _watch(
        self,
        table: str,
        handle_listing: Callable[[Rows], None],
        handle_changes: Callable[[Rows], None],
        get_held_revision: Callable[[], int],
    ) -> None:
        """Read a table and then its changes; read it anew if the store dropped its history."""
        revision: int | None = None
        has_listing_failed = False
        # Whether no changes were read since the last listing.
        is_listing_new = False
        failures = 0
        while True:
            if revision is not None or has_listing_failed:
                revision = await self._wait_for_turn(table, failures, revision, get_held_revision)
            try:
                rows = await self._read_and_apply(
                    table, revision, handle_listing, handle_changes, get_held_revision
                )
            except HistoryCompacted:
                if is_listing_new:
                    # The listing was too old for the feed, and the next one may be, too.
                    await anyio.sleep(random.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S))
                revision = None
                continue
            except TableUnavailable as error:
                failures += 1
                has_listing_failed = revision is None
                self._mark_store_down(error)
                await anyio.sleep(random.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S))
                continue
            self._mark_store_up(failures)
            self._record_read(table, rows.answered_at)
            failures = 0
            has_listing_failed = False
            is_listing_new = revision is None
            revision = rows.revision

    async def _read_and_apply(
        self,
        table: str,
        revision: int | None,
        handle_listing: Callable[[Rows], None],
        handle_changes: Callable[[Rows], None],
        get_held_revision: Callable[[], int],
    ) -> Rows:
        """Read a whole table, or its changes after a revision; apply and announce them."""
        if revision is None:
            rows = await self.store.read_table(table)
            self._apply_and_announce(rows, handle_listing, is_first=not get_held_revision())
            return rows
        wait_s = LONG_POLL_TIMEOUT_S if self.is_watcher() else 0
        rows = await self.store.read_changes(table, revision, wait_s)
        self._apply_and_announce(rows, handle_changes)
        return rows

    async def _read_upstreams_after(self, revision: int | None) -> None:
        """Read the changes after a revision once, or the whole table; raise TableUnavailable."""
        if revision is None:
            rows = await self.store.read_table(UPSTREAM_TABLE)
            is_first = not self.rows.is_listed
            self._apply_and_announce(rows, self._apply_upstream_listing, is_first=is_first)
            return
        rows = await self.store.read_changes(UPSTREAM_TABLE, revision, 0)
        self._apply_and_announce(rows, self._apply_upstream_changes)

    def _apply_upstream_listing(self, rows: Rows) -> None:
        self.rows.apply_listing(_make_shared_rows(rows), rows.revision, read_lease_clock())

    def _apply_upstream_changes(self, rows: Rows) -> None:
        self.rows.apply_changes(_make_shared_rows(rows), rows.revision, read_lease_clock())

    async def _wait_for_turn(
        self,
        table: str,
        failures: int,
        revision: int | None,
        get_held_revision: Callable[[], int],
    ) -> int | None:
        """Wait until the store should be read; return the revision to read on from, if any."""
        if self.is_watcher():
            return revision
        await self._wait_until_due(table, failures)
        if table == MANIFEST_TABLE and self.on_orders is not None:
            # A peer that sends a newer manifest does not send the orders written before it.
            return revision
        # Peers have sent the changes up to the held revision meanwhile.
        return None if revision is None else max(revision, get_held_revision())

    def _apply_and_announce(
        self, rows: Rows, handle_rows: Callable[[Rows], None], *, is_first: bool = False
    ) -> None:
        """Apply rows and announce what is new, except for the first rows after the start."""
        if rows.skipped_count:
            problem = f'{rows.skipped_count} rows have no key'
            self.events.emit(Event.UPSTREAM_ENTRY_INVALID, problem=problem)
        held = self.rows
        manifest, version = held.manifest.revision, held.manifest.version
        upstreams = held.upstreams_revision
        handle_rows(rows)
        changes = held.collect_since(manifest, upstreams, version)
        if not is_first and (changes.HasField('manifest') or changes.upstreams):
            self.announce(changes, upstreams)

    async def _wait_until_due(self, table: str, failures: int) -> None:
        """Wait until this daemon is a watcher, or should poll the store once.

        It polls if its state was not confirmed recently, by the store or a peer, or if the store
        did not answer last time: peers keep removed upstreams as long as any daemon reports that
        the store is unavailable.
        """
        jitter = random.uniform(1 - JITTER_FRACTION, 1)
        interval_s = min(MIN_PROBE_INTERVAL_S * 2 ** max(failures - 1, 0), MAX_PROBE_INTERVAL_S)
        probe_at = read_lease_clock() + interval_s * jitter
        while not self.is_watcher():
            if self.store_up:
                due_at = self._get_confirmed_at(table) + MAX_CONFIRMATION_AGE_S * jitter
            else:
                # One table is enough to find out whether the store is available again.
                due_at = probe_at if table == MANIFEST_TABLE else math.inf
            left_s = due_at - read_lease_clock()
            if left_s <= 0:
                return
            with anyio.move_on_after(left_s):
                await self._polling_woken.wait()

    def _get_confirmed_at(self, table: str) -> float:
        """Return when the rows held of a table were last confirmed, by the store or a peer."""
        return max(self._confirmed_at, self._read_at.get(table, -math.inf))

    def _record_read(self, table: str, answered_at: float) -> None:
        """Record when the store confirmed the rows held of a table."""
        self._read_at[table] = answered_at
        if len(self._read_at) == len(TABLES):
            self._confirmed_at = max(self._confirmed_at, min(self._read_at.values()))

    def _mark_store_down(self, error: TableUnavailable) -> None:
        self.is_store_failing = True
        self.on_store_disruption()
        if self.store_up:
            self.store_up = False
            self.events.emit(Event.STORE_LOST, problem=str(error))

    def _mark_store_up(self, failures: int) -> None:
        if failures:
            self.on_store_disruption()
        self.is_store_failing = False
        if not self.store_up:
            self.store_up = True
            self.events.emit(Event.STORE_REGAINED, failures=failures)
            self.wake_polling()


def _make_shared_rows(rows: Rows) -> list[pb.SharedRow]:
    return [
        pb.SharedRow(
            key=row.key,
            content=row.value or b'',
            revision=row.revision,
            removed=row.value is None,
        )
        for row in rows.rows
    ]
