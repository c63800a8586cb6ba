"""Keeps the services of resumable routes in the metadata store.

A daemon that starts with a newer manifest learns from them at which services streams may have begun
that callers take up.
"""

import math
from collections.abc import Callable

import attrs

from ..errors import PlatformError
from ..platform.store import MAX_WRITE_ROWS, MetadataStore, Rows, Written
from ..streams import ResumableServices, RouteTarget
from ..streams.targets import decode_target, encode_target

TARGET_PART = 'targets'
# The writer removes the row of a dropped target before the other daemons forget it.
FORGET_DELAY_S = 60.0

# Daemons put a manifest in force at slightly different times; a row is not rewritten for that.
MAX_SINCE_DIFFERENCE_S = 1.0


@attrs.frozen
class _RowState:
    """What the row of a target states."""

    timeout_s: float
    # Whether it states when the target was dropped.
    is_dropped: bool
    # On the lease clock; None if the row does not state it.
    since: float | None


@attrs.define
class TargetStore:
    """Reads the targets of routes that other daemons knew, and writes those known here."""

    table: str
    services: ResumableServices
    store: MetadataStore
    # Logs an unreadable row: table, part, key and error.
    reject_row: Callable[[str, str, str, PlatformError], None]
    # What the rows state, by key, as far as it was read or written here.
    _states: dict[str, _RowState] = attrs.field(factory=dict)
    # The store's clock minus the lease clock; None if the store never stated its time.
    _store_offset_s: float | None = None
    _has_rows: bool = False

    async def load(self) -> None:
        """Read the rows; raise TableUnavailable."""
        rows = await self.store.read_table(self.table, TARGET_PART)
        self._learn_store_time(rows)
        self._states.clear()
        self._has_rows = bool(rows.rows)
        for row in rows.rows:
            try:
                target = decode_target(row.value)
            except PlatformError as error:
                self.reject_row(self.table, TARGET_PART, row.key, error)
                continue
            known = _convert_to_lease(target, rows)
            self._states[target.key] = _RowState(
                target.timeout_s, target.dropped_s is not None, known.since_s
            )
            self.services.learn_target(known, rows.answered_at)

    def complete_load(self, now: float, *, has_versions: bool) -> None:
        """Tell the services that the rows were read, and whether daemons have run before."""
        self.services.complete_load(now, is_new=not (self._has_rows or has_versions))

    async def update(self, now: float, *, is_writer: bool) -> None:
        """Forget targets that were dropped long ago; write new and changed ones if `is_writer`.

        Raises TableUnavailable or TableOutcomeUnknown, after which it can be repeated.
        """
        targets = {target.key: target for target in self.services.list_targets()}
        # The writer may have changed these rows meanwhile.
        self._states = {
            key: state
            for key, state in self._states.items()
            if key in targets and self._is_stated(targets[key], state)
        }
        outdated = [target for target in targets.values() if self._is_outdated(target, now)]
        if is_writer:
            due = self.list_unwritten(now)[:MAX_WRITE_ROWS]
            await self._write(due, outdated[: MAX_WRITE_ROWS - len(due)])
        for target in outdated:
            if self._is_outdated(target, now - FORGET_DELAY_S):
                self.services.forget_target(target)

    def list_unwritten(self, now: float) -> list[RouteTarget]:
        """Return the targets that the store may not hold as they are known here."""
        return [
            target
            for target in self.services.list_targets()
            if not self._is_stated(target, self._states.get(target.key))
            and not self._is_outdated(target, now)
        ]

    def mark_lost(self) -> None:
        """Write all rows again, as the store was restored from a copy."""
        self._states.clear()

    async def _write(self, due: list[RouteTarget], outdated: list[RouteTarget]) -> None:
        if not due and not outdated:
            return
        writes = {
            target.key: encode_target(
                attrs.evolve(
                    target,
                    dropped_s=self._to_store_time(target.dropped_s),
                    since_s=self._to_store_time(target.since_s),
                )
            )
            for target in due
        }
        removed = [target.key for target in outdated]
        states = {target.key: self._get_state(target) for target in due}
        self._learn_store_time(
            await self.store.write_rows(self.table, TARGET_PART, writes, removed)
        )
        self._states.update(states)
        for target in outdated:
            self.services.forget_target(target)

    def _get_state(self, target: RouteTarget) -> _RowState:
        is_dropped = self._to_store_time(target.dropped_s) is not None
        since = None if self._store_offset_s is None else target.since_s
        return _RowState(target.timeout_s, is_dropped, since)

    def _is_stated(self, target: RouteTarget, state: _RowState | None) -> bool:
        """Return whether a row in a state tells what is known of a target here."""
        wanted = self._get_state(target)
        if state is None or attrs.evolve(state, since=wanted.since) != wanted:
            return False
        if wanted.since is None:
            return True
        return state.since is not None and wanted.since <= state.since + MAX_SINCE_DIFFERENCE_S

    def _is_outdated(self, target: RouteTarget, now: float) -> bool:
        if target.dropped_s is None:
            return False
        return now - target.dropped_s > self.services.get_horizon_s(target.service)

    def _learn_store_time(self, answer: Rows | Written) -> None:
        if answer.store_time_s is not None:
            self._store_offset_s = answer.store_time_s - answer.answered_at

    def _to_store_time(self, at: float | None) -> float | None:
        """Return an instant of the lease clock on the store's clock, not before its zero."""
        if at is None or self._store_offset_s is None:
            return None
        return max(at + self._store_offset_s, 0)


def _convert_to_lease(target: RouteTarget, rows: Rows) -> RouteTarget:
    """Return a target with the lease clock's times; those that are unknown are left out."""

    def convert(at: float | None) -> float | None:
        if at is None or rows.store_time_s is None:
            return None
        return rows.answered_at - max(rows.store_time_s - at, 0)

    since = -math.inf if target.since_s == 0 else convert(target.since_s)
    return attrs.evolve(target, dropped_s=convert(target.dropped_s), since_s=since)
