"""Keeps the services of resumable routes in the metadata store.

A daemon that starts with a newer manifest learns from them at which services streams may have begun
that callers take up.
"""

from collections.abc import Callable

import attrs

from ..errors import PlatformError
from ..platform.store import MAX_WRITE_ROWS, MetadataStore, Rows, Written
from ..streams import ResumableServices, RouteTarget
from ..streams.targets import decode_target, encode_target

TARGET_PART = 'targets'
# The writer removes the row of a dropped target before the other daemons forget it.
FORGET_DELAY_S = 60.0

# The timeout in seconds that a row states, and whether it states when the target was dropped.
State = tuple[float, bool]


@attrs.define
class TargetStore:
    """Reads the targets of routes that other daemons knew, and writes those known here."""

    table: str
    services: ResumableServices
    store: MetadataStore
    # Logs an unreadable row: table, part, key and error.
    reject_row: Callable[[str, str, str, PlatformError], None]
    # What the rows state, by key, as far as it was read or written here.
    _states: dict[str, State] = attrs.field(factory=dict)
    # The store's clock minus the lease clock; None if the store never stated its time.
    _store_offset_s: float | None = None

    async def load(self) -> None:
        """Read the rows; raise TableUnavailable."""
        rows = await self.store.read_table(self.table, TARGET_PART)
        self._learn_store_time(rows)
        self._states.clear()
        for row in rows.rows:
            try:
                target = decode_target(row.value)
            except PlatformError as error:
                self.reject_row(self.table, TARGET_PART, row.key, error)
                continue
            self._states[target.key] = target.timeout_s, target.dropped_s is not None
            self.services.learn_target(self._convert_to_lease(target, rows), rows.answered_at)

    async def update(self, now: float, *, is_writer: bool) -> None:
        """Forget targets that were dropped long ago; write new and changed ones if `is_writer`.

        Raises TableUnavailable or TableOutcomeUnknown, after which it can be repeated.
        """
        targets = {target.key: target for target in self.services.list_targets()}
        # The writer may have changed these rows meanwhile.
        self._states = {
            key: state
            for key, state in self._states.items()
            if key in targets and state == self._get_state(targets[key])
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
            if self._states.get(target.key) != self._get_state(target)
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
                attrs.evolve(target, dropped_s=self._to_store_time(target.dropped_s))
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

    def _get_state(self, target: RouteTarget) -> State:
        return target.timeout_s, self._to_store_time(target.dropped_s) is not None

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

    def _convert_to_lease(self, target: RouteTarget, rows: Rows) -> RouteTarget:
        """Return a target with the lease clock's time; one that is unknown is left out."""
        if target.dropped_s is None or rows.store_time_s is None:
            return attrs.evolve(target, dropped_s=None)
        age_s = max(rows.store_time_s - target.dropped_s, 0)
        return attrs.evolve(target, dropped_s=rows.answered_at - age_s)
