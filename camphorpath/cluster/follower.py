"""Keeps the manifest and the entries of upstreams up to date, from the store or from a peer."""

import math
import random
from collections.abc import Callable

import anyio
import attrs
import httpx

from ..clocks import read_lease_clock
from ..errors import HistoryGone, PeerError, TableDown
from ..events import Event, EventLog
from ..platform.store import MetadataStore, Rows
from ..platform.wire import MANIFEST_KEY, MANIFEST_TABLE, UPSTREAM_TABLE
from ..schema import camphorpath_pb2 as pb
from .shared import SharedRows
from .states import fetch_state

# One change call of a watcher. A connection that has gone silent is noticed after this time; a
# manifest has to be in force within 2.5 s.
WATCH_WAIT_S = 1.5
MIN_RETRY_S = 0.1
MAX_RETRY_S = 0.6
# A daemon that lost the store and need not follow it asks again after this time, in seconds.
PROBE_PAUSE_S = 1.0
# A peer that is ahead is asked again at most this often, in seconds.
CATCH_UP_PAUSE_S = 0.05


@attrs.define(kw_only=True)
class Follower:
    """Reads of the store by this daemon, and of peers that are ahead."""

    store: MetadataStore
    rows: SharedRows
    events: EventLog
    peers: httpx.AsyncClient
    # Whether this daemon reads the store; the others are told by heartbeats.
    is_watcher: Callable[[], bool]
    on_disturbance: Callable[[], None]
    store_up: bool = False
    # Peers that are ahead: control address.
    _ahead: str = ''
    _wake: anyio.Event = attrs.field(factory=anyio.Event)
    _watch_wake: anyio.Event = attrs.field(factory=anyio.Event)

    def note_peer(self, beat: pb.EdgeHeartbeat, address: str) -> None:
        """Compare the revisions of a peer with those held here."""
        is_ahead = beat.manifest_revision > self.rows.manifest.revision
        if is_ahead or beat.upstreams_revision > self.rows.upstreams_revision:
            self._ahead = address
            self._wake.set()

    def wake_watch(self) -> None:
        """Take note that this daemon may have become a watcher."""
        self._watch_wake.set()
        self._watch_wake = anyio.Event()

    async def follow_peers(self) -> None:
        """Take the state of peers that are ahead, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            await self.take_from(self._ahead)
            await anyio.sleep(CATCH_UP_PAUSE_S)

    async def take_from(self, address: str) -> bool:
        """Take the state of one peer; return whether that worked."""
        rows = self.rows
        try:
            state = await fetch_state(
                self.peers, address, rows.manifest.revision, rows.upstreams_revision
            )
        except PeerError as error:
            self.events.emit(Event.BAD_PEER, problem=str(error))
            return False
        rows.take_state(state, read_lease_clock())
        self.events.emit(
            Event.STATE_TAKEN,
            peer=address,
            manifest=rows.manifest.revision,
            upstreams=rows.upstreams_revision,
        )
        return True

    async def watch_manifest(self) -> None:
        """Follow the manifest in the store, until cancelled."""

        def take(rows: Rows) -> None:
            for row in rows.rows:
                if row.key == MANIFEST_KEY and row.value is not None:
                    self.rows.take_manifest(row.value, row.revision)

        await self._watch(MANIFEST_TABLE, take, take)

    async def watch_upstreams(self) -> None:
        """Follow the entries of upstreams in the store, until cancelled."""

        def take_all(rows: Rows) -> None:
            self.rows.take_listing(_share(rows), rows.revision, read_lease_clock())

        def take(rows: Rows) -> None:
            for row in _share(rows):
                self.rows.take_upstream(row, read_lease_clock())

        await self._watch(UPSTREAM_TABLE, take_all, take)

    async def _watch(
        self, table: str, take_all: Callable[[Rows], None], take: Callable[[Rows], None]
    ) -> None:
        revision: int | None = None
        failures = 0
        while True:
            if revision is not None and not self.is_watcher():
                await self._wait_watcher()
                # What changed meanwhile came from peers; the feed goes on where it was left.
            try:
                if revision is None:
                    rows = await self.store.read_table(table)
                    take_all(rows)
                else:
                    rows = await self.store.read_changes(table, revision, WATCH_WAIT_S)
                    take(rows)
            except HistoryGone:
                revision = None
                continue
            except TableDown as error:
                failures += 1
                self._note_down(error)
                await anyio.sleep(random.uniform(MIN_RETRY_S, MAX_RETRY_S))
                continue
            self._note_up(failures)
            failures = 0
            revision = rows.revision

    async def _wait_watcher(self) -> None:
        """Wait until this daemon is a watcher, or should see whether the store is back.

        Peers keep vanished upstreams while any daemon reports that the store is away.
        """
        with anyio.move_on_after(math.inf if self.store_up else PROBE_PAUSE_S):
            while not self.is_watcher():
                await self._watch_wake.wait()

    def _note_down(self, error: TableDown) -> None:
        self.on_disturbance()
        if self.store_up:
            self.store_up = False
            self.events.emit(Event.STORE_LOST, problem=str(error))

    def _note_up(self, failures: int) -> None:
        if failures:
            self.on_disturbance()
        if not self.store_up:
            self.store_up = True
            self.events.emit(Event.STORE_REGAINED, failures=failures)


def _share(rows: Rows) -> list[pb.SharedRow]:
    return [
        pb.SharedRow(
            key=row.key,
            content=row.value or b'',
            revision=row.revision,
            removed=row.value is None,
        )
        for row in rows.rows
    ]
