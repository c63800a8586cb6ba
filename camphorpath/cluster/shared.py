"""The rows of the metadata store that a daemon holds and passes on to its peers."""

from collections.abc import Callable, Iterable

import attrs

from ..platform.manifest import read_manifest_version
from ..platform.revisions import get_era, is_restored_between
from ..schema import camphorpath_pb2 as pb
from .manifests import ManifestHistory

# Removed rows are passed on for this time; a daemon that was away for longer gets a full listing.
REMOVAL_RETENTION_S = 120.0


def _do_nothing(*_arguments: object) -> None:
    """Do nothing; the default callback."""


@attrs.define
class SharedRows:
    """The newest manifest and the upstream rows; the `on_*` callbacks report each change."""

    on_manifest: Callable[[bytes, int], None]
    on_upstream: Callable[[str, bytes | None, int], None]
    manifest: ManifestHistory = attrs.field(factory=ManifestHistory)
    # Rows by key; removed rows are kept for REMOVAL_RETENTION_S.
    upstreams: dict[str, pb.SharedRow] = attrs.field(factory=dict)
    upstreams_revision: int = 0
    # All changes of upstreams after this revision are known. A listing does not tell which ones
    # were removed before it.
    complete_since: int = 0
    # Called once after each batch of upstream rows was applied.
    on_upstreams_applied: Callable[[], None] = _do_nothing
    # Called with the newest revisions of before and after a restore of the store, before any row of
    # after it is applied.
    on_restored: Callable[[int, int], None] = _do_nothing
    # Called with the version and the revision of a manifest, or with a number of upstream rows,
    # that were ignored, as newer ones are held.
    on_outdated_manifest: Callable[[int, int], None] = _do_nothing
    on_outdated_upstreams: Callable[[int], None] = _do_nothing
    # Whether all upstream rows were received at least once.
    is_listed: bool = False
    _removed_at: dict[str, float] = attrs.field(factory=dict)
    # The newest revision of any row that was received.
    _newest_revision: int = 0
    # The newest revision of a manifest that was ignored.
    _ignored_revision: int = 0

    def apply_manifest(self, content: bytes, revision: int) -> bool:
        """Apply a manifest if it is newer; return whether it was.

        The version counts more than the revision: the copy from which the store was restored may
        hold an older manifest than the one in force. A manifest whose version cannot be read is
        compared by its revision.
        """
        self._note_revision(revision)
        held = self.manifest
        version = read_manifest_version(content)
        if version is None:
            version = held.version
        if (version, revision) <= (held.version, held.revision):
            self._ignored_revision = max(self._ignored_revision, revision)
            if content != held.content:
                self.on_outdated_manifest(version, revision)
            return False
        held.update(content, revision, version)
        self.on_manifest(content, revision)
        return True

    def is_manifest_newer(self, version: int, revision: int) -> bool:
        """Return whether a manifest of a peer is newer than the one held; version 0 is unknown."""
        held = self.manifest
        if version:
            return (version, revision) > (held.version, held.revision)
        return revision > max(held.revision, self._ignored_revision)

    def apply_upstream(self, row: pb.SharedRow, now: float) -> bool:
        """Apply the row of an upstream if it is newer; return whether it was.

        The revision held does not change, as earlier changes of other rows may be missing; call
        `advance_revision` once they are complete.
        """
        is_newer = not self._is_removed_since(row) and self._put_row(row, now)
        self.on_upstreams_applied()
        return is_newer

    def apply_changes(self, rows: Iterable[pb.SharedRow], revision: int, now: float) -> None:
        """Apply all rows that have changed up to a revision."""
        self._put_rows(rows, now)
        self.advance_revision(revision)
        self.on_upstreams_applied()

    def advance_revision(self, revision: int) -> None:
        """Record that all changes of upstreams up to a revision have been applied."""
        self._note_revision(revision)
        self.upstreams_revision = max(self.upstreams_revision, revision)

    def apply_listing(
        self, rows: Iterable[pb.SharedRow], revision: int, now: float, complete_since: int = 0
    ) -> None:
        """Apply a full listing as of a revision; rows that are not in it were removed.

        It may hold removed rows, too: all after the revision `complete_since`, which is 0 if not.
        """
        self._note_revision(revision)
        rows = list(rows)
        listed = {row.key for row in rows if not row.removed}
        is_newest = revision > self.upstreams_revision
        if is_newest:
            self.complete_since = complete_since or revision
        self._put_rows(rows, now, is_newest_listing=is_newest)
        for key, known in list(self.upstreams.items()):
            if key not in listed and not known.removed and known.revision <= revision:
                self._put_row(pb.SharedRow(key=key, revision=revision, removed=True), now)
        self.advance_revision(revision)
        self.on_upstreams_applied()
        self.is_listed = True

    def collect_since(
        self, manifest_revision: int, upstreams_revision: int, manifest_version: int = 0
    ) -> pb.SharedState:
        """Return the changes that a peer with these revisions lacks; version 0 is unknown."""
        state = pb.SharedState(upstreams_revision=self.upstreams_revision)
        held = manifest_revision
        is_behind = self.manifest.revision > held
        if manifest_version and self.manifest.version:
            newest = self.manifest.version, self.manifest.revision
            is_behind = newest > (manifest_version, held)
        if is_behind:
            state.manifest.CopyFrom(self.manifest.pack(held))
        # The peer may hold rows whose removal, or loss in a restore of the store, is unknown here.
        state.is_listing = upstreams_revision < self.complete_since or is_restored_between(
            upstreams_revision, self.upstreams_revision
        )
        if state.is_listing:
            state.complete_since = self.complete_since
        for row in self.upstreams.values():
            if state.is_listing or row.revision > upstreams_revision:
                state.upstreams.append(row)
        return state

    def apply_state(self, state: pb.SharedState, now: float) -> None:
        """Apply the state of a peer; raise PeerError if the manifest cannot be decoded."""
        try:
            self._apply_packed_manifest(state.manifest)
        finally:
            if state.is_listing:
                self._apply_peer_listing(state, now)
            else:
                self.apply_changes(state.upstreams, state.upstreams_revision, now)
                self.is_listed = True

    def apply_announced_rows(self, announced: pb.SharedState, after: int, now: float) -> None:
        """Apply changes after the revision `after` that a peer announces.

        The revision held advances only if the changes up to `after` are held here too. Raises
        PeerError if the manifest cannot be decoded.
        """
        try:
            if self.manifest.can_unpack(announced.manifest):
                self._apply_packed_manifest(announced.manifest)
        finally:
            self._apply_announced_upstreams(announced, after, now)

    def expire(self, now: float) -> None:
        """Discard removed rows after REMOVAL_RETENTION_S."""
        for key, removed_at in list(self._removed_at.items()):
            if removed_at < now - REMOVAL_RETENTION_S:
                self._removed_at.pop(key)
                expired = self.upstreams.pop(key, None)
                if expired is not None:
                    self.complete_since = max(self.complete_since, expired.revision)

    def _apply_packed_manifest(self, packed: pb.PackedManifest) -> None:
        if self.is_manifest_newer(packed.version, packed.revision):
            self.apply_manifest(self.manifest.unpack(packed), packed.revision)

    def _apply_announced_upstreams(self, announced: pb.SharedState, after: int, now: float) -> None:
        if announced.is_listing:
            self._apply_peer_listing(announced, now)
            return
        # After a restore of the store, rows may be missing that only a listing tells.
        is_same_era = get_era(after) == get_era(announced.upstreams_revision)
        is_complete = self.is_listed and is_same_era and after <= self.upstreams_revision
        revision = announced.upstreams_revision if is_complete else self.upstreams_revision
        self.apply_changes(announced.upstreams, revision, now)

    def _apply_peer_listing(self, state: pb.SharedState, now: float) -> None:
        self.apply_listing(state.upstreams, state.upstreams_revision, now, state.complete_since)

    def _note_revision(self, revision: int) -> None:
        """Report a restore of the store if a revision is the first one of its era."""
        before = self._newest_revision
        self._newest_revision = max(before, revision)
        if is_restored_between(before, revision):
            self.on_restored(before, revision)

    def _put_rows(
        self, rows: Iterable[pb.SharedRow], now: float, *, is_newest_listing: bool = False
    ) -> None:
        outdated = 0
        for row in rows:
            known = self.upstreams.get(row.key)
            is_late = not is_newest_listing and self._is_removed_since(row)
            outdated += is_late or (known is not None and known.revision > row.revision)
            if not is_late:
                self._put_row(row, now)
        if outdated:
            self.on_outdated_upstreams(outdated)

    def _is_removed_since(self, row: pb.SharedRow) -> bool:
        """Return whether an upstream was removed after a row of it.

        Its removal may be no longer remembered, or an earlier one, as a listing does not tell when
        a missing upstream was removed.
        """
        known = self.upstreams.get(row.key)
        if not self.is_listed or (known is not None and (row.removed or not known.removed)):
            return False
        return row.revision <= self.upstreams_revision

    def _put_row(self, row: pb.SharedRow, now: float) -> bool:
        self._note_revision(row.revision)
        known = self.upstreams.get(row.key)
        if known is not None and known.revision >= row.revision:
            return False
        self.upstreams[row.key] = row
        if row.removed:
            self._removed_at[row.key] = now
        else:
            self._removed_at.pop(row.key, None)
        if not row.removed or (known is not None and not known.removed):
            self.on_upstream(row.key, None if row.removed else row.content, row.revision)
        return True
