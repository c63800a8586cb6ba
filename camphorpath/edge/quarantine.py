"""Shares the quarantine of a daemon with its peers, and keeps its patterns in the metadata store.

Peers hear of crashes and patterns in announcements, and of patterns in each heartbeat, too, as
datagrams get lost and daemons are cut off or start later. The rows are for a start of all daemons;
they are written again if the store was restored from a copy, which may lack them.
"""

from collections.abc import Callable, Sequence
from typing import TypeVar

import anyio
import attrs

from ..clocks import read_lease_clock
from ..cluster.heartbeats import HeartbeatSocket
from ..cluster.quarantine import decode_row, encode_row, make_row_key
from ..errors import TableOutcomeUnknown, TableUnavailable
from ..events import Event
from ..placement.crashes import Crash, Pattern
from ..platform.store import MetadataStore
from ..relay.context import RelayContext
from ..schema import camphorpath_pb2 as pb
from .state import DaemonState

Change = TypeVar('Change')

TABLE = 'camphorpath-quarantine'
RETRY_DELAY_S = 1.0
# Longer than a copy from which the store is restored is old.
ROW_RETENTION_S = 120.0
# What fits in an announcement beside what the sender states of itself.
MAX_NEWS_BYTES = 800
# Tag and length of a repeated field.
MAX_FIELD_BYTES = 3
# Digests of prompt parts in one message; a crash with more parts is announced in several.
MAX_MESSAGE_PARTS = 48


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
        crashes = [
            message for crash in quarantine.drain_crashes() for message in _encode_crash(crash)
        ]
        for crash_batch in _split_batches(crashes, lambda message: message.ByteSize()):
            self._announce(pb.SharedState(crashes=crash_batch))
        for cleared in _split_batches(quarantine.drain_cleared(), len):
            self._announce(pb.SharedState(cleared=cleared))
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

    def _announce(self, changes: pb.SharedState) -> None:
        """Send changes that are not in the change feed of the store to all other daemons."""
        revision = self.state.rows.upstreams_revision
        announcement = self.state.make_announcement(changes, revision)
        self._send(announcement)

    def _send(self, announcement: pb.EdgeHeartbeat) -> None:
        self.heartbeats.send(announcement, self.state.members.hosts)


def _encode_crash(crash: Crash) -> list[pb.CrashedUpstream]:
    """Return the messages of a crash, each with some of its prompt parts."""
    parts = sorted(crash.parts)
    return [
        pb.CrashedUpstream(
            digest=crash.digest,
            upstream=crash.upstream,
            parts=parts[start : start + MAX_MESSAGE_PARTS],
            events=crash.events,
        )
        for start in range(0, max(len(parts), 1), MAX_MESSAGE_PARTS)
    ]


def _split_batches(
    changes: Sequence[Change], count_bytes: Callable[[Change], int]
) -> list[list[Change]]:
    """Return changes in batches that fit in an announcement."""
    batches: list[list[Change]] = []
    batch_bytes = 0
    for change in changes:
        change_bytes = count_bytes(change) + MAX_FIELD_BYTES
        if not batches or batch_bytes + change_bytes > MAX_NEWS_BYTES:
            batches.append([])
            batch_bytes = 0
        batches[-1].append(change)
        batch_bytes += change_bytes
    return batches
