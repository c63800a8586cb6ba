"""Registered upstreams, and the rules by which a removed entry counts as gone."""

import math

import attrs

from .records import Upstream

# Upstreams whose entries lapsed during an outage of the store register again within this time after
# its recovery; the platform states about two seconds. An upstream that left instead exits later.
REREGISTRATION_GRACE_S = 2.0
# Entries removed within this time of each other count as removed together.
BATCH_REMOVAL_WINDOW_S = 1.0
# Entries removed together count as lapsed if they are more than this share of their service.
MIN_LAPSE_SHARE = 0.5
# After a restore of the store, entries are compared with those of before for this time. Later ones
# were written after it.
COPY_RETENTION_S = 60.0
MAX_LEAVING_COUNT = 10000
MAX_REMOVED_COUNT = 10000


@attrs.define
class UpstreamView:
    """Registered upstreams by id.

    A removed entry counts as gone at once, unless most entries of its service lapse together while
    the store is unstable: then each is kept until its upstream has had time to register again. One
    that said that it leaves did not lapse.

    A store that was restored from a copy holds older entries again, and lacks newer ones. An older
    one is told by its incarnation and sequence, and is ignored. Those that are missing are kept as
    if they had lapsed.
    """

    _entries: dict[str, Upstream] = attrs.field(factory=dict)
    # Recently removed entries with the instant of the removal.
    _recently_removed: dict[str, tuple[Upstream, float]] = attrs.field(factory=dict)
    # Ids of lapsed entries, and the instant from which they count as gone.
    _lapse_deadlines: dict[str, float] = attrs.field(factory=dict)
    _store_unstable_until: float = 0
    # Incarnations that announced that they are leaving; their entries may show it later or never.
    # Oldest first; the values are not used.
    _leaving: dict[tuple[str, int], None] = attrs.field(factory=dict)
    # The last entries of upstreams that are no longer registered, oldest first.
    _removed: dict[str, Upstream] = attrs.field(factory=dict)
    _restored_at: float = -math.inf
    # The last entries when the store was restored, for COPY_RETENTION_S.
    _before_restore: dict[str, Upstream] = attrs.field(factory=dict)

    def all(self) -> list[Upstream]:
        """Return all upstreams, including leaving ones."""
        return list(self._entries.values())

    def mark_store_unstable(self, now: float) -> None:
        """Record that the store did not answer, or has just recovered."""
        self._store_unstable_until = now + REREGISTRATION_GRACE_S

    def mark_restored(self, now: float) -> None:
        """Record that the store came back from a copy; what it says next may be outdated."""
        self.mark_store_unstable(now)
        self._restored_at = now
        self._before_restore = {**self._before_restore, **self._removed, **self._entries}
        for upstream_id in self._lapse_deadlines:
            self._lapse_deadlines[upstream_id] = now + REREGISTRATION_GRACE_S

    def is_outdated(self, upstream: Upstream) -> bool:
        """Return whether an entry is one of before a restore of the store that was replaced."""
        known = self._before_restore.get(upstream.upstream_id)
        if known is None or not (known.incarnation and upstream.incarnation):
            return False
        if upstream.incarnation != known.incarnation:
            return upstream.incarnation < known.incarnation
        if not (known.sequence and upstream.sequence):
            return False
        if upstream.upstream_id in self._entries:
            return upstream.sequence < known.sequence
        return upstream.sequence <= known.sequence

    def put(self, upstream: Upstream) -> bool:
        """Add or replace an entry; return whether it differs from the previous one.

        Outdated entries are ignored.
        """
        if self.is_outdated(upstream):
            # Outdated or not, it is registered.
            self._lapse_deadlines.pop(upstream.upstream_id, None)
            return False
        self._recently_removed.pop(upstream.upstream_id, None)
        self._lapse_deadlines.pop(upstream.upstream_id, None)
        self._removed.pop(upstream.upstream_id, None)
        if upstream.is_leaving and upstream.incarnation:
            self._record_leaving(upstream.key)
        if upstream.key in self._leaving:
            upstream = attrs.evolve(upstream, is_leaving=True)
        is_changed = self._entries.get(upstream.upstream_id) != upstream
        self._entries[upstream.upstream_id] = upstream
        return is_changed

    def mark_leaving(self, upstream_id: str, incarnation: int) -> bool:
        """Mark an incarnation as leaving; return whether this changed its entry."""
        key = upstream_id, incarnation
        if key in self._leaving:
            return False
        self._record_leaving(key)
        upstream = self._entries.get(upstream_id)
        if upstream is None or upstream.incarnation != incarnation or upstream.is_leaving:
            return False
        self._entries[upstream_id] = attrs.evolve(upstream, is_leaving=True)
        return True

    def remove(self, upstream_id: str, now: float) -> bool:
        """Remove an entry; return whether the upstream counts as gone."""
        upstream = self._entries.get(upstream_id)
        if upstream is None:
            return False
        if now < self._restored_at + REREGISTRATION_GRACE_S and not upstream.is_leaving:
            deadline = self._restored_at + REREGISTRATION_GRACE_S
            self._lapse_deadlines.setdefault(upstream_id, deadline)
            return False
        self._record_removed(upstream_id)
        self._recently_removed[upstream_id] = (upstream, now)
        if now < self._store_unstable_until:
            self._restore_lapsed(upstream.service, now)
        return upstream_id not in self._entries

    def expire(self, now: float) -> list[str]:
        """Remove the lapsed entries that were not registered again, and return their ids."""
        expired = [upstream_id for upstream_id, due in self._lapse_deadlines.items() if now >= due]
        for upstream_id in expired:
            self._record_removed(upstream_id)
        if now > self._restored_at + COPY_RETENTION_S:
            self._before_restore.clear()
        for upstream_id, (_upstream, removed_at) in list(self._recently_removed.items()):
            if now > removed_at + BATCH_REMOVAL_WINDOW_S:
                self._recently_removed.pop(upstream_id)
        return expired

    def _record_leaving(self, key: tuple[str, int]) -> None:
        self._leaving[key] = None
        if len(self._leaving) > MAX_LEAVING_COUNT:
            self._leaving.pop(next(iter(self._leaving)))

    def _record_removed(self, upstream_id: str) -> None:
        """Remove an entry, but remember it."""
        self._lapse_deadlines.pop(upstream_id, None)
        upstream = self._entries.pop(upstream_id, None)
        if upstream is None:
            return
        self._removed[upstream_id] = upstream
        if len(self._removed) > MAX_REMOVED_COUNT:
            self._removed.pop(next(iter(self._removed)))

    def _restore_lapsed(self, service: str, now: float) -> None:
        removed_together = [
            (upstream, removed_at)
            for upstream, removed_at in self._recently_removed.values()
            if upstream.service == service
            and not (upstream.is_leaving or upstream.key in self._leaving)
            and now <= removed_at + BATCH_REMOVAL_WINDOW_S
        ]
        lapsed = [
            upstream_id
            for upstream_id in self._lapse_deadlines
            if self._entries[upstream_id].service == service
        ]
        total = len(removed_together) + sum(
            1 for upstream in self._entries.values() if upstream.service == service
        )
        if len(removed_together) + len(lapsed) <= MIN_LAPSE_SHARE * total:
            return
        for upstream, removed_at in removed_together:
            self._recently_removed.pop(upstream.upstream_id)
            self._entries[upstream.upstream_id] = upstream
            self._lapse_deadlines[upstream.upstream_id] = removed_at + REREGISTRATION_GRACE_S
