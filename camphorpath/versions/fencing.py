"""Fencing: which members may be removed, and when a removed member can no longer serve.

To fence a member without contact, its registration is deleted. It stops serving once it can neither
confirm its registration in the table nor hear a majority of the members.
"""

from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet

from attrs import frozen

from ..errors import PlatformError
from ..members import Membership
from ..platform import Check, Table, VmList, Write
from .quorums import has_lost_quorum
from .records import (
    EPOCH_KEY,
    FENCED_PREFIX,
    FencedRecord,
    FleetState,
    MemberRecord,
    make_view_key,
)
from .registry import read_state

# Old member sets are deleted in batches, which saves a transaction with most changes.
STALE_VIEW_BATCH_SIZE = 16
MAX_DELETED_VIEW_COUNT = 100


@frozen(kw_only=True)
class Fencing:
    """Decides which members a coordinator may fence; keeps no state."""

    table: Table
    vm_list: VmList
    membership: Membership

    async def find_terminated(
        self, members: Mapping[str, MemberRecord | FencedRecord], candidates: Iterable[str]
    ) -> set[str]:
        """Return the candidates whose VM is not in the VM list and that were not heard recently.

        Returns none if the list cannot be read or lacks the VM of this daemon.
        """
        try:
            vms = await self.vm_list.read()
        except PlatformError:
            return set()
        addresses = {vm.peers_address for vm in vms if vm.role == 'entry'}
        if self.membership.own_info().peers_address not in addresses:
            return set()
        limit_s = self.membership.times.dead_after
        return {
            incarnation
            for incarnation in candidates
            if members[incarnation].peers_address not in addresses
            and self.membership.seconds_since_heard(incarnation) > limit_s
        }

    async def select_fenceable(
        self,
        state: FleetState,
        missing: AbstractSet[str],
        confirmed: AbstractSet[str],
        wait_s: float,
    ) -> tuple[dict[str, FencedRecord | None], set[str]]:
        """Return the missing members that may be fenced, and those that must not be.

        The record is None for a member whose VM has ended.
        """
        if not missing:
            return {}, set()
        terminated = await self.find_terminated(state.members, missing)
        fenced: dict[str, FencedRecord | None] = dict.fromkeys(terminated)
        for incarnation in missing.difference(terminated):
            record = self._make_record(state, incarnation, wait_s)
            if has_lost_quorum(record, confirmed, state):
                fenced[incarnation] = record
        return fenced, set(missing.difference(fenced))

    async def list_running(self, state: FleetState) -> dict[str, FencedRecord]:
        """Return the fenced members whose VM has not ended."""
        if not state.fenced:
            return {}
        terminated = await self.find_terminated(state.fenced, state.fenced)
        return {
            incarnation: record
            for incarnation, record in state.fenced.items()
            if incarnation not in terminated
        }

    async def delete_unneeded_rows(self, stopped_serving: Mapping[str, FencedRecord]) -> None:
        """Delete the rows of fenced members that no longer serve, and unneeded member sets.

        After a failure the rows stay until the next change.
        """
        try:
            state = await read_state(self.table)
            writes = self._build_deletions(state, stopped_serving)
            if writes:
                await self.table.commit([Check(EPOCH_KEY, state.epoch_revision)], writes)
        except PlatformError:
            return

    def _make_record(self, state: FleetState, incarnation: str, wait_s: float) -> FencedRecord:
        member = state.members[incarnation]
        known = {
            **self.membership.known_members(),
            self.membership.incarnation: self.membership.own_info(),
        }
        info = known.get(incarnation)
        return FencedRecord(
            name=member.name,
            peers_address=member.peers_address,
            oldest=max(member.epoch, info.view_epoch if info else 0),
            newest=state.epoch.epoch,
            wait_s=wait_s,
        )

    def _build_deletions(
        self, state: FleetState, stopped_serving: Mapping[str, FencedRecord]
    ) -> list[Write]:
        writes = [
            Write(FENCED_PREFIX + incarnation, None)
            for incarnation in state.fenced
            if incarnation in stopped_serving
        ]
        needed_epochs = [
            record.oldest for key, record in state.fenced.items() if key not in stopped_serving
        ]
        needed_epochs.extend(
            self._make_record(state, incarnation, 0).oldest for incarnation in state.members
        )
        stale_epochs = sorted(
            epoch for epoch in state.views if epoch < min(needed_epochs, default=0)
        )
        if len(stale_epochs) >= STALE_VIEW_BATCH_SIZE:
            writes.extend(
                Write(make_view_key(epoch), None) for epoch in stale_epochs[:MAX_DELETED_VIEW_COUNT]
            )
        return writes
