"""Shares the quarantine of a daemon with its peers, and keeps its patterns in the metadata store.

Peers hear of crashes and patterns in announcements, and of patterns in each heartbeat, too, as
datagrams get lost and daemons are cut off or start later. The rows are for a start of all daemons;
they are written again if the store was restored from a copy, which may lack them.
"""

from collections.abc import Callable, Sequence

import anyio
import attrs

from ..clocks import read_lease_clock
from ..cluster.heartbeats import HeartbeatSocket
from ..cluster.quarantine import decode_row, encode_row, make_row_key
from ..errors import TableOutcomeUnknown, TableUnavailable
from ..events import Event
from ..placement.crashes import Pattern
from ..platform.store import MetadataStore
from ..relay.context import RelayContext
from ..schema import camphorpath_pb2 as pb
from .state import DaemonState

TABLE = 'camphorpath-quarantine'
RETRY_DELAY_S = 1.0
# Longer than a copy from which the store is restored is old.
ROW_RETENTION_S = 120.0
# This many digests of cleared calls and parts fit in an announcement.
MAX_ANNOUNCED_DIGESTS = 16
# The same for crashes, each with the digests of several prompt parts.
MAX_ANNOUNCED_CRASHES = 4


@attrs.define
class QuarantineSync:
    """Sends changes of the quarantine to peers and to the store."""

    relay: RelayContext
    state: DaemonState
    heartbeats: HeartbeatSocket
    store: MetadataStore
    # Rows to write by key; None to remove the row.
    _unwritten: dict[str, bytes | None] = attrs.field(factory=dict)
    # Rows that this daemon queued in the last ROW_RETENTION_S by key, and when.
    _queued: dict[str, tuple[bytes | None, float]] = attrs.field(factory=dict)
    _has_unwritten: anyio.Event = attrs.field(factory=anyio.Event)

    def update(self, now: float) -> None:
        """Expire the quarantine, announce what has changed and queue the rows to write."""
        quarantine = self.relay.quarantine
        for pattern in quarantine.expire(now):
            if self.state.is_prober(pattern):
                self._queue_row(pattern, None)
        self._announce_batches(
            [
                pb.CrashedUpstream(
                    digest=crash.digest,
                    upstream=crash.upstream,
                    parts=sorted(crash.parts),
                    events=crash.events,
                )
                for crash in quarantine.drain_crashes()
            ],
            MAX_ANNOUNCED_CRASHES,
            lambda batch: pb.SharedState(crashes=batch),
        )
        self._announce_batches(
            quarantine.drain_cleared(),
            MAX_ANNOUNCED_DIGESTS,
            lambda batch: pb.SharedState(cleared=batch),
        )
        changes = quarantine.drain_changes()
        for change in changes:
            pattern = change.pattern
            self._queue_row(pattern, encode_row(pattern) if change.is_added else None)
            self.relay.events.emit(
                Event.CALLS_QUARANTINED if change.is_added else Event.QUARANTINE_ENDED,
                call=pattern.digest.hex(),
                parts=','.join(part.hex() for part in sorted(pattern.parts)),
            )
        if any(change.is_added for change in changes):
            self._send(self.state.make_quarantine_announcement())

    async def read_rows(self) -> None:
        """Adopt the patterns in the store; raise TableUnavailable."""
        now = read_lease_clock()
        for row in (await self.store.read_table(TABLE)).rows:
            pattern = decode_row(row.value)
            if pattern is not None:
                self.relay.quarantine.adopt_stored(pattern, now)

    async def write_rows(self) -> None:
        """Write the queued rows until cancelled."""
        while True:
            if not self._unwritten:
                self._has_unwritten = anyio.Event()
                await self._has_unwritten.wait()
            key, content = next(iter(self._unwritten.items()))
            try:
                await self.store.write_row(TABLE, key, content)
            except (TableUnavailable, TableOutcomeUnknown):
                # The write is idempotent and can be repeated.
                await anyio.sleep(RETRY_DELAY_S)
                continue
            if self._unwritten.get(key) is content:
                self._unwritten.pop(key)

    async def rewrite_rows(self) -> None:
        """Queue all known rows again after each restore of the store, until cancelled."""
        while True:
            await self.state.restored.wait()
            now = read_lease_clock()
            held = {make_row_key(pattern) for pattern in self.relay.quarantine.list_patterns()}
            for key, (content, queued_at) in list(self._queued.items()):
                # A peer may have ended a pattern, or added it again, since the row was queued.
                is_current = (content is not None) == (key in held)
                if is_current and queued_at > now - ROW_RETENTION_S:
                    self._queue(key, content)
            # The daemon that wrote a row may have ended.
            for shared in self.relay.quarantine.share_patterns(now):
                if self.state.is_prober(shared.pattern):
                    self._queue_row(shared.pattern, encode_row(shared.pattern))

    def _queue_row(self, pattern: Pattern, content: bytes | None) -> None:
        now = read_lease_clock()
        for key, (_content, queued_at) in list(self._queued.items()):
            if queued_at < now - ROW_RETENTION_S:
                self._queued.pop(key)
        key = make_row_key(pattern)
        self._queued[key] = content, now
        self._queue(key, content)

    def _queue(self, key: str, content: bytes | None) -> None:
        self._unwritten.pop(key, None)
        self._unwritten[key] = content
        self._has_unwritten.set()

    def _announce_batches(
        self,
        changes: Sequence[pb.CrashedUpstream] | Sequence[bytes],
        batch_size: int,
        make_state: Callable[[Sequence[pb.CrashedUpstream] | Sequence[bytes]], pb.SharedState],
    ) -> None:
        for start in range(0, len(changes), batch_size):
            self._announce(make_state(changes[start : start + batch_size]))

    def _announce(self, changes: pb.SharedState) -> None:
        """Send changes that are not in the change feed of the store to all other daemons."""
        revision = self.state.rows.upstreams_revision
        announcement = self.state.make_announcement(changes, revision)
        self._send(announcement)

    def _send(self, announcement: pb.EdgeHeartbeat) -> None:
        self.heartbeats.send(announcement, self.state.members.hosts)
