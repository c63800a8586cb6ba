"""Two-phase change of the fleet configuration: prepare, commit, activate, fence."""

import random
import time
import uuid
from collections.abc import Awaitable, Callable, Iterable

import anyio
from attrs import define, field, frozen

from ..errors import CamphorpathError, PeerError, TableOutcomeUnknown, TableUnavailable, UserError
from ..events import Event, EventLog
from ..members import Membership
from ..platform import Check, Table, VmList, Write
from ..schema import camphorpath_pb2 as pb
from .fencing import STALE_VIEW_BATCH_SIZE, Fencing
from .history import describe_conflict, read_version
from .quorums import has_lost_quorum
from .records import (
    CURRENT_KEY,
    EPOCH_KEY,
    CurrentRecord,
    FencedRecord,
    FleetState,
    VersionRecord,
    encode_record,
    make_version_key,
)
from .registry import build_fence_writes, read_state

# An operator's call times out after 30 s: two fence waits of 5 s and these two must stay below it.
COMMIT_TIMEOUT_S = 5.0
ACTIVATION_TIMEOUT_S = 10.0
RETRY_INTERVAL_S = 0.25
# The change is attempted again if a member registers between the read and the commit.
MAX_COMMIT_ATTEMPTS = 5


class _ChangeRejected(CamphorpathError):
    """The change was refused before the commit; nothing was changed."""


class _TableChanged(CamphorpathError):
    """Rows of the table changed since they were read; nothing was changed."""


class _OutcomeUnknown(CamphorpathError):
    """Whether the commit took effect could not be read from the table."""


@frozen
class _Change:
    """A proposed change; `wait_s` is the longer fence wait of the old and the new version."""

    version: int
    token: str
    request: pb.ProposeRequest
    wait_s: float


@define
class _Activation:
    """Progress of the activation of a committed change.

    `waiting` holds the unfenced members that have not confirmed, `fenced` the fenced members that
    may still run, `newly_fenced` the members that this change fenced.
    """

    state: FleetState
    waiting: set[str]
    fenced: dict[str, FencedRecord]
    newly_fenced: list[str]
    committed_at: float
    confirmed: set[str] = field(factory=set)

    def list_unconfirmed(self) -> list[str]:
        """Return the members that may still serve an older version."""
        still_running = [
            incarnation
            for incarnation, record in self.fenced.items()
            if not has_lost_quorum(record, self.confirmed, self.state)
        ]
        return sorted(self.waiting.union(still_running))


class Coordinator:
    """Coordinates changes of the configuration; one object handles concurrent proposals."""

    def __init__(
        self,
        *,
        table: Table,
        vm_list: VmList,
        membership: Membership,
        events: EventLog,
        clock: Callable[[], float],
        prepare: Callable[[pb.PrepareRequest], Awaitable[pb.PrepareReply]],
        activate: Callable[[pb.ActivateRequest], Awaitable[pb.ActivateReply]],
    ) -> None:
        """Call `prepare` and `activate` for this daemon and the peer clients for the others."""
        self._table = table
        self._membership = membership
        self._events = events
        self._clock = clock
        self._prepare = prepare
        self._activate = activate
        self._fencing = Fencing(table=table, vm_list=vm_list, membership=membership)

    async def propose(self, request: pb.ProposeRequest, fleet: pb.Fleet) -> pb.ProposeReply:
        """Make a change whose text was checked; see ConfigVersions.propose for the reply."""
        times = fleet.membership
        if times.fence_wait <= times.contact_limit:
            # A fenced member may serve for `contact_limit` after its last contact.
            return pb.ProposeReply(problem='fence_wait must be longer than contact_limit')
        wait_s = max(times.fence_wait, self._membership.times.fence_wait)
        try:
            for _ in range(MAX_COMMIT_ATTEMPTS):
                reply = await self._attempt_change(request, wait_s)
                if reply is not None:
                    return reply
                await anyio.sleep(random.uniform(0, RETRY_INTERVAL_S))
        except TableUnavailable as error:
            return pb.ProposeReply(problem=f'nothing was changed: {error}')
        except (_ChangeRejected, _OutcomeUnknown) as error:
            return pb.ProposeReply(problem=error.message)
        return pb.ProposeReply(problem='nothing was changed: the members keep changing')

    async def _attempt_change(
        self, request: pb.ProposeRequest, wait_s: float
    ) -> pb.ProposeReply | None:
        """Make one attempt; returns None if the table changed before the commit."""
        state = await read_state(self._table)
        if request.base_version != state.current.version:
            return await self._make_conflict_reply(request, state)
        token = uuid.uuid4().hex
        change = _Change(state.current.version + 1, token, request, wait_s)
        try:
            confirmed = await self._collect_prepared(change, state)
            fenced = await self._select_fenced(change, state, confirmed)
            await self._commit(change, state, fenced)
        except _TableChanged:
            return None
        self._events.emit(
            Event.CONFIG_COMMITTED,
            version=change.version,
            token=token,
            author=request.author,
            reason=request.reason,
        )
        self._emit_fenced(fenced)
        return await self._activate_and_wait(change, state, fenced)

    async def _make_conflict_reply(
        self, request: pb.ProposeRequest, state: FleetState
    ) -> pb.ProposeReply:
        newest = state.current.version
        self._events.emit(Event.CONFIG_CONFLICT, base=request.base_version, version=newest)
        text = await describe_conflict(self._table, request.base_version, newest)
        return pb.ProposeReply(version=newest, problem=f'conflict: {text}')

    async def _collect_prepared(self, change: _Change, state: FleetState) -> set[str]:
        """Return the members that are ready; the others are asked again during the fence wait."""
        started_at = self._clock()
        confirmed: set[str] = set()
        while True:
            missing = set(state.members).difference(confirmed)
            replies: list[pb.PrepareReply] = []
            async with anyio.create_task_group() as group:
                for incarnation in missing:
                    group.start_soon(self._prepare_member, change, state, incarnation, replies)
            _check_prepare_replies(change, replies)
            confirmed.update(reply.incarnation for reply in replies if reply.ready)
            missing.difference_update(confirmed)
            elapsed_s = self._clock() - started_at
            if elapsed_s >= change.wait_s or not missing:
                return confirmed
            missing.difference_update(await self._fencing.find_terminated(state.members, missing))
            if all(self._is_unresponsive(incarnation, change.wait_s) for incarnation in missing):
                return confirmed
            await anyio.sleep(RETRY_INTERVAL_S)

    def _is_unresponsive(self, incarnation: str, seconds: float) -> bool:
        """Tell whether a member was heard before, but not within the last `seconds`.

        A member that was never heard does not count: other members may hear it.
        """
        return seconds <= self._membership.seconds_since_heard(incarnation) < float('inf')

    async def _prepare_member(
        self,
        change: _Change,
        state: FleetState,
        incarnation: str,
        replies: list[pb.PrepareReply],
    ) -> None:
        request = pb.PrepareRequest(
            coordinator=self._membership.incarnation,
            version=change.version,
            text=change.request.text,
            token=change.token,
        )
        try:
            if incarnation == self._membership.incarnation:
                reply = await self._prepare(request)
            else:
                address = state.members[incarnation].peers_address
                reply = await self._membership.peers.prepare(address, request)
        except PeerError:
            return
        if reply.incarnation == incarnation:
            replies.append(reply)

    async def _select_fenced(
        self, change: _Change, state: FleetState, confirmed: set[str]
    ) -> dict[str, FencedRecord | None]:
        """Return the members to fence; raises _ChangeRejected if one must not be fenced."""
        missing = set(state.members).difference(confirmed)
        if self._membership.incarnation not in confirmed:
            raise _ChangeRejected('nothing was changed: this daemon is not registered')
        fenced, refused = await self._fencing.select_fenceable(
            state, missing, confirmed, change.wait_s
        )
        if refused:
            names = ', '.join(sorted(refused))
            raise _ChangeRejected(
                f'nothing was changed: members without contact cannot be fenced, since too few '
                f'others confirm: {names}'
            )
        return fenced

    async def _commit(
        self, change: _Change, state: FleetState, fenced: dict[str, FencedRecord | None]
    ) -> None:
        """Commit the version; raises _TableChanged, _OutcomeUnknown or TableUnavailable.

        The transaction is retried while its outcome is unknown. Its checks ensure that only one
        copy takes effect, even if an earlier one arrives late.
        """
        checks = [
            Check(CURRENT_KEY, state.current_revision),
            Check(EPOCH_KEY, state.epoch_revision),
        ]
        writes = _build_version_writes(change) + build_fence_writes(state, fenced)
        started_at = self._clock()
        is_outcome_unknown = False
        while self._clock() - started_at < COMMIT_TIMEOUT_S:
            try:
                await self._commit_once(change, checks, writes, is_outcome_unknown)
                return
            except TableOutcomeUnknown:
                is_outcome_unknown = True
            except TableUnavailable:
                if not is_outcome_unknown:
                    raise
            await anyio.sleep(RETRY_INTERVAL_S)
        raise _OutcomeUnknown(
            f'outcome unknown: version {change.version} may have been committed with the token '
            f'{change.token}; look at the history when the table is back'
        )

    async def _commit_once(
        self, change: _Change, checks: list[Check], writes: list[Write], is_outcome_unknown: bool
    ) -> None:
        """Commit once; if a check fails, read whether an earlier copy took effect.

        Raises _TableChanged if the version was committed by another coordinator or not at all.
        """
        if await self._table.commit(checks, writes):
            return
        if is_outcome_unknown:
            record = await read_version(self._table, change.version)
            if record is not None and record.token == change.token:
                return
        raise _TableChanged('the rows changed')

    async def _activate_and_wait(
        self, change: _Change, state: FleetState, fenced: dict[str, FencedRecord | None]
    ) -> pb.ProposeReply:
        """Activate the version at all members and wait until no fenced member can serve."""
        still_running = {key: record for key, record in fenced.items() if record is not None}
        activation = _Activation(
            state=state,
            waiting=set(state.members).difference(fenced),
            fenced={**state.fenced, **still_running},
            newly_fenced=list(fenced),
            committed_at=self._clock(),
        )
        await self._activate_all(change, activation)
        while activation.list_unconfirmed():
            if self._clock() - activation.committed_at >= ACTIVATION_TIMEOUT_S:
                return _make_unconfirmed_reply(change, activation)
            await anyio.sleep(RETRY_INTERVAL_S)
            await self._refresh(change, activation)
            await self._activate_all(change, activation)
        if activation.fenced or activation.newly_fenced:
            # A fenced member may have read the table just before the commit, or have received an
            # answer of a member just before that member activated the version.
            waits = (record.wait_s for record in activation.fenced.values())
            await anyio.sleep(max(change.wait_s, *waits, 0))
        if activation.fenced or len(activation.state.views) > STALE_VIEW_BATCH_SIZE:
            await self._fencing.delete_unneeded_rows(activation.fenced)
        return pb.ProposeReply(
            accepted=True,
            committed=True,
            version=change.version,
            fenced=sorted(activation.newly_fenced),
        )

    async def _activate_all(self, change: _Change, activation: _Activation) -> None:
        async with anyio.create_task_group() as group:
            for incarnation in activation.waiting:
                group.start_soon(self._activate_member, change, activation, incarnation)
        activation.waiting.difference_update(activation.confirmed)

    async def _activate_member(
        self, change: _Change, activation: _Activation, incarnation: str
    ) -> None:
        request = pb.ActivateRequest(
            version=change.version, text=change.request.text, token=change.token
        )
        member = activation.state.members.get(incarnation)
        if member is None:
            return
        try:
            if incarnation == self._membership.incarnation:
                reply = await self._activate(request)
            else:
                reply = await self._membership.peers.activate(member.peers_address, request)
        except (PeerError, UserError):
            return
        if reply.incarnation == incarnation and reply.version >= change.version:
            activation.confirmed.add(incarnation)

    async def _refresh(self, change: _Change, activation: _Activation) -> None:
        """Update the registered members; fence those still unconfirmed after the fence wait."""
        try:
            state = await read_state(self._table)
        except TableUnavailable:
            return
        activation.state = state
        activation.waiting.intersection_update(state.members)
        activation.fenced = await self._fencing.list_running(state)
        if self._clock() - activation.committed_at < change.wait_s or not activation.waiting:
            return
        fenced, _ = await self._fencing.select_fenceable(
            state, activation.waiting, activation.confirmed, change.wait_s
        )
        if not fenced:
            return
        try:
            is_committed = await self._table.commit(
                [Check(EPOCH_KEY, state.epoch_revision)], build_fence_writes(state, fenced)
            )
        except (TableUnavailable, TableOutcomeUnknown):
            # The next read shows whether the members are fenced.
            return
        if is_committed:
            self._emit_fenced(fenced)
            activation.newly_fenced.extend(fenced)
            activation.waiting.difference_update(fenced)
            still_running = {key: record for key, record in fenced.items() if record is not None}
            activation.fenced = {**activation.fenced, **still_running}

    def _emit_fenced(self, fenced: Iterable[str]) -> None:
        for incarnation in fenced:
            self._events.emit(Event.MEMBER_FENCED, member=incarnation)


def _check_prepare_replies(change: _Change, replies: list[pb.PrepareReply]) -> None:
    for reply in replies:
        if reply.invalid:
            raise _ChangeRejected(f'nothing was changed: {reply.incarnation}: {reply.problem}')
        if reply.version >= change.version:
            raise _TableChanged('another version is in force')


def _build_version_writes(change: _Change) -> list[Write]:
    now = time.time()
    current = CurrentRecord(change.version, change.token, now)
    record = VersionRecord(
        text=change.request.text,
        reason=change.request.reason,
        author=change.request.author,
        time=now,
        token=change.token,
    )
    return [
        Write(CURRENT_KEY, encode_record(current)),
        Write(make_version_key(change.version), encode_record(record)),
    ]


def _make_unconfirmed_reply(change: _Change, activation: _Activation) -> pb.ProposeReply:
    names = activation.list_unconfirmed()
    return pb.ProposeReply(
        committed=True,
        version=change.version,
        fenced=sorted(activation.newly_fenced),
        unconfirmed=names,
        problem=f'version {change.version} is committed and spreads; these members may still serve '
        f'an older one: {", ".join(names)}',
    )
