"""The configuration version in force at this daemon, and whether the daemon may serve."""

import math
import random
import time
from collections.abc import Callable

import anyio

from ..clocks import read_lease_clock
from ..errors import PeerError, PlatformError, TableUnavailable, UserError
from ..events import Event, EventLog
from ..members import Membership
from ..platform import Check, Table, VmList
from ..schema import camphorpath_pb2 as pb
from .coordinator import Coordinator
from .history import list_versions, read_version, show_version
from .quorums import is_majority
from .records import (
    CURRENT_KEY,
    EPOCH_KEY,
    MEMBERS_PREFIX,
    CurrentRecord,
    EpochRecord,
    FleetVersion,
    MemberRecord,
    decode_epoch,
    decode_record,
    get_revision,
)
from .registry import deregister, register

POLL_INTERVAL_S = 1.0
# A failed poll is retried after a random delay up to this, so that the daemons do not all query the
# table at once.
MAX_RETRY_DELAY_S = 2.0
# Contact is checked apart from the polls, since a poll of a failing table takes longer than this.
CONTACT_CHECK_INTERVAL_S = 0.5
# Leaves time for the Activate call of the coordinator before a newer version is fetched.
FETCH_DELAY_S = 0.1
MAX_READ_ATTEMPTS = 3
MAX_LEAVE_ATTEMPTS = 5
# With these refusal reasons a daemon is registered and in contact, and may take part in a change.
REASONS_WITH_CONTACT = frozenset(('', 'no_config', 'no_vm_list', 'joining'))


class ConfigVersions:
    """Registers this daemon, keeps its configuration current and decides whether it may serve.

    The daemon may serve if, within the last `contact_limit` seconds, one of these holds:

    * it confirmed its registration and the version in the table, counted from the start of the
      read;
    * a majority of the members that it last read as registered, itself included, answered its
      heartbeats, and none of them reports a newer version.
    """

    def __init__(
        self,
        *,
        table: Table,
        vm_list: VmList,
        membership: Membership,
        events: EventLog,
        parse_fleet: Callable[[str, str], pb.Fleet],
        clock: Callable[[], float] = read_lease_clock,
    ) -> None:
        """Start without a version and without a registration."""
        self.current = FleetVersion()
        self.registered: frozenset[str] = frozenset()
        self._table = table
        self._membership = membership
        self._events = events
        self._parse_fleet = parse_fleet
        self._clock = clock
        self._coordinator = Coordinator(
            table=table,
            vm_list=vm_list,
            membership=membership,
            events=events,
            clock=clock,
            prepare=self.prepare,
            activate=self.activate,
        )
        self._prepared: pb.PrepareRequest | None = None
        self._checks: list[Check] = []
        self._confirmed_at = -math.inf
        self._was_registered = False
        self._has_left = False
        self._newer_member: pb.MemberInfo | None = None
        self._poll_requested = anyio.Event()
        self._started_at = time.time()
        self._last_refusal_reason = 'not_registered'
        membership.is_serving = self._is_serving
        membership.on_newer = self._on_newer_version

    def refusal_reason(self) -> str:
        """Return '' if this daemon may accept new calls, else the reason for refusing them.

        `not_registered`: this incarnation has no registration or lost it. `config_stale`: neither
        the table nor a majority confirms that the version is the newest. `no_config`: there is no
        version yet. `no_vm_list`: the VM list was never read, so no upstream is known. `joining`:
        not every registered member knows of this daemon yet.
        """
        if self._has_left or not self.registered:
            return 'not_registered'
        if not self._has_contact():
            return 'config_stale'
        if not self.current.version:
            return 'no_config'
        if not self._membership.has_vm_list:
            return 'no_vm_list'
        return '' if self._membership.is_known_to_members(self.registered) else 'joining'

    async def prepare(self, request: pb.PrepareRequest) -> pb.PrepareReply:
        """Keep a proposed version for a later activation.

        The reply is `ready` only if the version is newer than the one in force, its text is valid
        and this daemon is registered and in contact; see REASONS_WITH_CONTACT.
        """
        reply = pb.PrepareReply(
            incarnation=self._membership.incarnation, version=self.current.version
        )
        reason = self.refusal_reason()
        if request.version <= self.current.version:
            reply.problem = f'version {self.current.version} is in force'
        elif reason in REASONS_WITH_CONTACT:
            reply.problem = self._find_text_problem(request)
            reply.invalid = bool(reply.problem)
        else:
            reply.problem = reason
        reply.ready = not reply.problem
        if reply.ready:
            self._prepared = request
            self._membership.prepared_version = request.version
            self._events.emit(
                Event.CONFIG_PREPARED, version=request.version, coordinator=request.coordinator
            )
        return reply

    async def activate(self, request: pb.ActivateRequest) -> pb.ActivateReply:
        """Activate a committed version unless one as new is in force.

        The reply carries the version in force afterwards. Raises SettingsError if the text is not a
        valid configuration for this daemon.
        """
        if request.version > self.current.version:
            self._activate(request.version, request.text, request.token)
        return pb.ActivateReply(
            incarnation=self._membership.incarnation, version=self.current.version
        )

    async def propose(self, request: pb.ProposeRequest) -> pb.ProposeReply:
        """Propose a change for the whole fleet, with this daemon as the coordinator.

        `accepted` is true only when every member that was registered at the commit runs the version
        or a newer one, has ended, or was fenced and can no longer serve: its registration is gone,
        a majority of every set of members that it may have read runs the version, and `fence_wait`
        has passed since. With `committed` but not `accepted` the version is in the history and the
        members will activate it; `unconfirmed` names those that may still serve an older one.
        Otherwise `problem` says why nothing was changed or that the outcome is unknown.
        """
        reason = self.refusal_reason()
        if reason not in REASONS_WITH_CONTACT:
            return pb.ProposeReply(problem=f'this daemon cannot coordinate a change: {reason}')
        if not request.author.strip() or not request.reason.strip():
            return pb.ProposeReply(problem='a change needs an author and a reason')
        try:
            fleet = self._parse_fleet(request.text, 'proposal')
        except UserError as error:
            return pb.ProposeReply(problem=str(error))
        return await self._coordinator.propose(request, fleet)

    async def fetch_version(self, request: pb.ShowConfigRequest) -> pb.ConfigVersion:
        """Return the version in force at this daemon, for members that cannot reach the table."""
        return pb.ConfigVersion(
            version=self.current.version, text=self.current.text, token=self.current.token
        )

    async def show_config(self, request: pb.ShowConfigRequest) -> pb.ConfigVersion:
        """Return a version, the newest for 0.

        If the table does not answer, returns the version in force here for 0 and raises
        TableUnavailable for others.
        """
        try:
            return await show_version(self._table, request.version)
        except TableUnavailable:
            if request.version or not self.current.version:
                raise
            return await self.fetch_version(request)

    async def list_versions(self, request: pb.ListVersionsRequest) -> pb.VersionList:
        """Return the newest versions, newest first and without their texts."""
        return await list_versions(self._table)

    async def leave(self) -> None:
        """Delete the registration at the end of a planned stop.

        Gives up at the first error of the table: a coordinator then fences this daemon.
        """
        self._has_left = True
        for _ in range(MAX_LEAVE_ATTEMPTS):
            try:
                if await deregister(self._table, self._membership.incarnation):
                    return
            except PlatformError:
                return

    async def run(self) -> None:
        """Register, then poll the table until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._monitor_contact)
            await self._poll_forever()

    async def _monitor_contact(self) -> None:
        while True:
            self._report_contact_change()
            await anyio.sleep(CONTACT_CHECK_INTERVAL_S)

    async def _poll_forever(self) -> None:
        while True:
            self._poll_requested = anyio.Event()
            poll_delay_s = POLL_INTERVAL_S
            try:
                await self._poll()
            except PlatformError:
                poll_delay_s = random.uniform(0, MAX_RETRY_DELAY_S)
                await self._fetch_from_peer()
            self._newer_member = None
            self._report_contact_change()
            with anyio.move_on_after(poll_delay_s):
                await self._poll_requested.wait()
                await anyio.sleep(FETCH_DELAY_S)

    async def _poll(self) -> None:
        if self._has_left:
            return
        if self.registered and await self._confirm(self._checks):
            return
        for _ in range(MAX_READ_ATTEMPTS):
            if await self._read_table():
                return
            # The rows changed while they were read.
            await anyio.sleep(random.uniform(0, POLL_INTERVAL_S / MAX_READ_ATTEMPTS))

    async def _confirm(self, checks: list[Check]) -> bool:
        """Check in one transaction that the rows are unchanged since they were read."""
        started_at = self._clock()
        incarnation = self._membership.incarnation
        if not await self._table.commit(checks, []):
            return False
        assert incarnation == self._membership.incarnation, (
            'only _read_table renews the incarnation'
        )
        self._confirmed_at = started_at
        return True

    async def _read_table(self) -> bool:
        """Read and apply the rows; returns False if they changed meanwhile or were just written."""
        own_key = MEMBERS_PREFIX + self._membership.incarnation
        own = await self._table.read(own_key)
        if self._has_left:
            return True
        if own is None:
            if self._was_registered:
                self._start_new_incarnation()
            await register(self._table, self._membership.own_info(), self._started_at)
            return False
        self._was_registered = True
        epoch = await self._table.read(EPOCH_KEY)
        current = await self._table.read(CURRENT_KEY)
        members = await self._table.scan(MEMBERS_PREFIX)
        if not await self._activate_current(decode_record(CurrentRecord, current)):
            return False
        checks = [
            Check(own_key, own.revision),
            Check(EPOCH_KEY, get_revision(epoch)),
            Check(CURRENT_KEY, get_revision(current)),
        ]
        if not await self._confirm(checks):
            return False
        self._checks = checks
        self._membership.apply_registered_addresses(
            decode_record(MemberRecord, row).peers_address for row in members
        )
        self._apply_epoch(decode_epoch(epoch))
        return True

    def _apply_epoch(self, epoch: EpochRecord) -> None:
        """Apply a set of members that is confirmed together with the current version."""
        if not self.registered:
            self._membership.mark_registered()
        self.registered = frozenset(epoch.members)
        self._membership.registered_count = len(epoch.members)
        self._membership.view_epoch = epoch.epoch

    def _start_new_incarnation(self) -> None:
        self._events.emit(Event.MEMBER_FENCED, member=self._membership.incarnation)
        self._was_registered = False
        self.registered = frozenset()
        self._checks = []
        self._confirmed_at = -math.inf
        self._prepared = None
        self._membership.registered_count = 0
        self._membership.view_epoch = 0
        self._membership.prepared_version = 0
        self._report_contact_change()
        self._membership.renew_incarnation()

    async def _activate_current(self, record: CurrentRecord) -> bool:
        """Activate the committed version; returns False if it is not in force here afterwards."""
        prepared = self._prepared
        if prepared and prepared.version <= record.version and prepared.token != record.token:
            # Another proposal was committed under this version number.
            self._discard_prepared()
        if record.version > self.current.version:
            text = await self._read_text(record)
            if text is None:
                return False
            if record.version > self.current.version:
                try:
                    self._activate(record.version, text, record.token)
                except UserError:
                    return False
        return record.version == self.current.version

    async def _read_text(self, record: CurrentRecord) -> str | None:
        prepared = self._prepared
        if prepared is not None and prepared.token == record.token:
            return prepared.text
        stored = await read_version(self._table, record.version)
        return stored.text if stored else None

    async def _fetch_from_peer(self) -> None:
        newer_member = self._newer_member
        if newer_member is None or newer_member.version <= self.current.version:
            return
        try:
            fetched = await self._membership.peers.fetch_version(
                newer_member.peers_address, pb.ShowConfigRequest()
            )
            if fetched.version > self.current.version:
                self._activate(fetched.version, fetched.text, fetched.token)
        except (PeerError, UserError):
            # The next heartbeat of the member reports its version again.
            return

    def _activate(self, version: int, text: str, token: str) -> None:
        fleet = self._parse_fleet(text, f'version {version}')
        assert version > self.current.version, 'a version must never decrease'
        self.current = FleetVersion(version, fleet, text, token)
        self._membership.version = version
        self._membership.fleet = fleet
        if self._prepared is not None and self._prepared.version <= version:
            self._discard_prepared()
        self._events.emit(Event.CONFIG_ACTIVATED, version=version, token=token)

    def _discard_prepared(self) -> None:
        self._prepared = None
        self._membership.prepared_version = 0

    def _find_text_problem(self, request: pb.PrepareRequest) -> str:
        try:
            self._parse_fleet(request.text, f'version {request.version}')
        except UserError as error:
            return str(error)
        return ''

    def _has_contact(self) -> bool:
        limit_s = self._membership.times.contact_limit
        if self._clock() - self._confirmed_at <= limit_s:
            return True
        answered = self._membership.answered_within(limit_s)
        if any(info.version > self.current.version for info in answered.values()):
            return False
        return is_majority(answered.keys() | {self._membership.incarnation}, self.registered)

    def _is_serving(self) -> bool:
        return not self.refusal_reason()

    def _on_newer_version(self, info: pb.MemberInfo) -> None:
        self._newer_member = info
        self._poll_requested.set()

    def _report_contact_change(self) -> None:
        reason = self.refusal_reason()
        if reason and not self._last_refusal_reason:
            self._events.emit(Event.CONTACT_LOST, reason=reason)
        if self._last_refusal_reason and not reason:
            self._events.emit(Event.CONTACT_RESTORED, reason=self._last_refusal_reason)
        self._last_refusal_reason = reason
