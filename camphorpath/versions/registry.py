"""Registration of members, and the transactions that change the set of members."""

import json
from collections.abc import Iterable

from ..platform import Check, Table, Write
from ..schema import camphorpath_pb2 as pb
from .records import (
    CURRENT_KEY,
    EPOCH_KEY,
    FENCED_PREFIX,
    MEMBERS_PREFIX,
    VIEWS_PREFIX,
    CurrentRecord,
    EpochRecord,
    FencedRecord,
    FleetState,
    MemberRecord,
    decode_epoch,
    decode_record,
    encode_record,
    get_revision,
    make_view_key,
)


async def read_state(table: Table) -> FleetState:
    """Read the state that a coordinator needs; raises TableUnavailable.

    The reads are not one snapshot. A commit that checks the revisions of `config/current` and of
    the epoch ensures that the members and fenced members belong to that epoch. The fenced members
    are read after the members, so that a member fenced between the two reads is not missed.
    """
    current = await table.read(CURRENT_KEY)
    epoch = await table.read(EPOCH_KEY)
    members = await table.scan(MEMBERS_PREFIX)
    fenced = await table.scan(FENCED_PREFIX)
    views = await table.scan(VIEWS_PREFIX)
    return FleetState(
        current=decode_record(CurrentRecord, current),
        current_revision=get_revision(current),
        epoch=decode_epoch(epoch),
        epoch_revision=get_revision(epoch),
        members={
            row.key.removeprefix(MEMBERS_PREFIX): decode_record(MemberRecord, row)
            for row in members
        },
        views={
            int(row.key.removeprefix(VIEWS_PREFIX)): frozenset(json.loads(row.value))
            for row in views
        },
        fenced={
            row.key.removeprefix(FENCED_PREFIX): decode_record(FencedRecord, row) for row in fenced
        },
    )


def build_epoch_writes(state: FleetState, members: Iterable[str]) -> list[Write]:
    """Return the writes that begin the next epoch with these members."""
    record = EpochRecord(state.epoch.epoch + 1, tuple(sorted(members)))
    view = json.dumps(record.members).encode()
    return [
        Write(EPOCH_KEY, encode_record(record)),
        Write(make_view_key(record.epoch), view),
    ]


def build_fence_writes(state: FleetState, fenced: dict[str, FencedRecord | None]) -> list[Write]:
    """Return the writes that delete registrations; a record is None if the VM has ended."""
    if not fenced:
        return []
    writes = build_epoch_writes(state, set(state.members).difference(fenced))
    for incarnation, record in fenced.items():
        writes.append(Write(MEMBERS_PREFIX + incarnation, None))
        if record is not None:
            writes.append(Write(FENCED_PREFIX + incarnation, encode_record(record)))
    return writes


async def register(table: Table, info: pb.MemberInfo, started_at: float) -> bool:
    """Register an incarnation; returns False if the set of members changed meanwhile.

    Deletes other registrations and fenced members at the same address: only one process can listen
    there, so the older ones have ended. Raises TableUnavailable or TableOutcomeUnknown.
    """
    state = await read_state(table)
    displaced = [
        incarnation
        for incarnation, member in state.members.items()
        if member.peers_address == info.peers_address
    ]
    record = MemberRecord(
        name=info.name,
        peers_address=info.peers_address,
        callers_address=info.callers_address,
        started=started_at,
        epoch=state.epoch.epoch + 1,
    )
    members = set(state.members).difference(displaced) | {info.incarnation}
    writes = [
        *build_epoch_writes(state, members),
        Write(MEMBERS_PREFIX + info.incarnation, encode_record(record)),
    ]
    writes.extend(Write(MEMBERS_PREFIX + incarnation, None) for incarnation in displaced)
    writes.extend(
        Write(FENCED_PREFIX + incarnation, None)
        for incarnation, member in state.fenced.items()
        if member.peers_address == info.peers_address
    )
    checks = [
        Check(EPOCH_KEY, state.epoch_revision),
        Check(MEMBERS_PREFIX + info.incarnation, 0),
    ]
    return await table.commit(checks, writes)


async def deregister(table: Table, incarnation: str) -> bool:
    """Delete the registration of a daemon that accepts no more calls.

    Returns False if the set of members changed meanwhile; the caller may then retry. Raises
    TableUnavailable or TableOutcomeUnknown.
    """
    state = await read_state(table)
    if incarnation not in state.members:
        return True
    writes = build_fence_writes(state, {incarnation: None})
    return await table.commit([Check(EPOCH_KEY, state.epoch_revision)], writes)
