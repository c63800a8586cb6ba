"""Membership of daemons that exchange heartbeats."""

import math
import random
import uuid
from collections.abc import Callable, Collection, Iterable

import anyio
from anyio.abc import TaskGroup

from ..clocks import read_lease_clock
from ..errors import PeerError
from ..events import Event, EventLog
from ..peers import PeerClients, read_token
from ..schema import camphorpath_pb2 as pb
from .contacts import Contact, Contacts
from .hashing import choose_member

# In force until a fleet configuration is activated; equal to the defaults in the schema.
DEFAULT_TIMES = pb.Membership(beat_interval=1, dead_after=3, contact_limit=4, fence_wait=5)
# An address that is neither listed nor registered is dropped after this many times `dead_after`
# without a message.
EXPIRY_FACTOR = 20
BACKOFF_FACTOR = 1.5
INCARNATION_DIGITS = 8


def _is_not_serving() -> bool:
    return False


def _ignore_newer(info: pb.MemberInfo) -> None:
    """Do nothing; the default until ConfigVersions sets its callback."""


class Membership:
    """The members that this daemon exchanges heartbeats with.

    `version`, `prepared_version`, `registered_count` and `view_epoch` are sent with every
    heartbeat; `view_epoch` is the epoch of the registered members that this daemon read last.
    ConfigVersions sets them, and the callbacks `is_serving` and `on_newer`; the latter is called
    with each member that reports a version above `version`.
    """

    def __init__(
        self,
        settings: pb.Daemon,
        events: EventLog,
        *,
        clock: Callable[[], float] = read_lease_clock,
        peers: PeerClients | None = None,
    ) -> None:
        """Start without other members; raises UserError if the peer token is unusable."""
        self.fleet = pb.Fleet()
        self.peers = peers or PeerClients(read_token(settings.peer_token_file), events)
        self.version = 0
        self.prepared_version = 0
        self.registered_count = 0
        self.view_epoch = 0
        self.is_serving: Callable[[], bool] = _is_not_serving
        self.on_newer: Callable[[pb.MemberInfo], None] = _ignore_newer
        self._settings = settings
        self._events = events
        self._clock = clock
        self._contacts = Contacts()
        self._listed_addresses: frozenset[str] = frozenset()
        self.has_vm_list = False
        self._registered_addresses: frozenset[str] = frozenset()
        self._registered_at = -math.inf
        self._heartbeat_addresses: set[str] = set()
        self._is_stopping = False
        self._last_run_at: float | None = None
        self._resumed_at = -EXPIRY_FACTOR * DEFAULT_TIMES.dead_after
        self._send_now = anyio.Event()
        self._create_incarnation()

    @property
    def times(self) -> pb.Membership:
        """The heartbeat interval and time limits in force, in seconds."""
        return self.fleet.membership if self.fleet.HasField('membership') else DEFAULT_TIMES

    def own_info(self) -> pb.MemberInfo:
        """Return the state of this daemon as sent to the other members."""
        return pb.MemberInfo(
            incarnation=self.incarnation,
            name=self._settings.name,
            zone=self._settings.zone,
            callers_address=self._settings.callers_address,
            peers_address=self._settings.peers_address,
            stopping=self._is_stopping,
            version=self.version,
            prepared_version=self.prepared_version,
            registered=self.registered_count,
            serving=self.is_serving(),
            view_epoch=self.view_epoch,
        )

    def live_members(self) -> list[pb.MemberInfo]:
        """Return this daemon and the members heard in either direction within `dead_after`.

        Shortly after a suspension of this process only answered heartbeats count.
        """
        self._detect_suspension()
        now = self._clock()
        return [self.own_info(), *(contact.info for contact in self._list_live(now))]

    def choose_owner(self, key: str) -> pb.MemberInfo:
        """Return the live member that owns `key`; this daemon if there is no other."""
        return choose_member(key, self.live_members())

    def answered_within(self, seconds: float) -> dict[str, pb.MemberInfo]:
        """Return, by incarnation, the members whose state is at most `seconds` old.

        Only answered heartbeats count, from the instant at which they were sent.
        """
        self._detect_suspension()
        oldest = self._clock() - seconds
        return {
            contact.info.incarnation: contact.info
            for contact in self._contacts.by_address.values()
            if contact.answered_at >= oldest
        }

    def known_members(self) -> dict[str, pb.MemberInfo]:
        """Return the last state of all known members by incarnation, whatever its age."""
        return {
            contact.info.incarnation: contact.info for contact in self._contacts.by_address.values()
        }

    def seconds_since_heard(self, incarnation: str) -> float:
        """Return the seconds since the member was last heard; infinite if it never was."""
        for contact in self._contacts.by_address.values():
            if contact.info.incarnation == incarnation:
                return self._clock() - contact.heard_at
        return float('inf')

    def observe(self, info: pb.MemberInfo) -> None:
        """Record a message received from a member."""
        self._detect_suspension()
        contact = self._record(info)
        if contact is not None:
            contact.heard_at = self._clock()
            self._mark_live(contact)

    async def answer_heartbeat(self, message: pb.BeatMessage) -> pb.BeatMessage:
        """Answer a heartbeat.

        Raises PeerError if the sender claims the identity of this daemon or does not identify
        itself.
        """
        sender = message.sender
        problem = ''
        if sender.incarnation == self.incarnation:
            problem = 'the sender claims the incarnation of the receiver'
        elif sender.peers_address == self._settings.peers_address:
            problem = 'the sender claims the address of the receiver'
        elif not sender.incarnation or not sender.peers_address:
            problem = 'the sender does not identify itself'
        if problem:
            self._events.emit(Event.BAD_PEER, peer=sender.peers_address, problem=problem)
            raise PeerError(problem, step='beat', peer=sender.peers_address)
        self._events.clock.observe(message.stamp)
        self.observe(sender)
        return self._make_heartbeat()

    def apply_vm_list(self, vms: Iterable) -> None:
        """Send heartbeats to the entry VMs of the VM list from now on."""
        self.has_vm_list = True
        self._listed_addresses = frozenset(
            vm.peers_address for vm in vms if vm.role == 'entry' and vm.peers_address
        )

    def apply_registered_addresses(self, addresses: Iterable[str]) -> None:
        """Send heartbeats to the registered addresses too.

        The VM list lags behind and may be unreadable at the start.
        """
        self._registered_addresses = frozenset(addresses)

    def mark_registered(self) -> None:
        """Record that this daemon has just registered and may not know the others yet."""
        self._registered_at = self._clock()

    def is_known_to_members(self, registered: Collection[str]) -> bool:
        """Tell whether every live registered member knows of this daemon.

        If the daemon served before that, it would own services in its own view while another daemon
        owns them too, and neither would count the other's requests before it sheds. Each member has
        to answer a heartbeat sent after the registration, or after a suspension of this process;
        the wait ends after `dead_after`.
        """
        self._detect_suspension()
        since = max(self._registered_at, self._resumed_at)
        if self._clock() - since > self.times.dead_after:
            return True
        answered = {
            contact.info.incarnation
            for contact in self._contacts.by_address.values()
            if contact.answered_at >= since
        }
        return answered.issuperset(set(registered).difference((self.incarnation,)))

    def announce_stop(self) -> None:
        """Announce the planned stop at once with a heartbeat; it cannot be withdrawn."""
        self._is_stopping = True
        self._send_now.set()
        self._send_now = anyio.Event()

    def renew_incarnation(self) -> None:
        """Start a new incarnation after this daemon was fenced."""
        self._contacts.mark_replaced(self.incarnation)
        self._create_incarnation()

    async def run(self) -> None:
        """Send heartbeats to every known address until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self._detect_suspension()
                self._last_run_at = self._clock()
                self._mark_lost()
                self._start_heartbeat_tasks(group)
                await anyio.sleep(self.times.beat_interval / 2)

    def _create_incarnation(self) -> None:
        digits = uuid.uuid4().hex[:INCARNATION_DIGITS]
        self.incarnation = f'{self._settings.name}-{digits}'
        self._events.incarnation = self.incarnation

    def _make_heartbeat(self) -> pb.BeatMessage:
        return pb.BeatMessage(sender=self.own_info(), stamp=self._events.clock.stamp())

    def _detect_suspension(self) -> None:
        """Clear the times of all contacts if this process was suspended beyond `dead_after`.

        Received heartbeats may have waited in a buffer during the suspension, so they do not make a
        member live afterwards; answered heartbeats do.
        """
        now = self._clock()
        if self._last_run_at is None or now - self._last_run_at <= self.times.dead_after:
            return
        self._last_run_at = now
        self._resumed_at = now
        self._contacts.clear_times()

    def _list_live(self, now: float) -> list[Contact]:
        limit_s = self.times.dead_after
        contacts = self._contacts.by_address.values()
        if now - self._resumed_at <= limit_s:
            return [contact for contact in contacts if now - contact.answered_at <= limit_s]
        return [contact for contact in contacts if now - contact.heard_at <= limit_s]

    def _record(self, info: pb.MemberInfo) -> Contact | None:
        """Store the state of another member; returns None if it is this daemon's or outdated."""
        if info.peers_address == self._settings.peers_address:
            return None
        if info.incarnation == self.incarnation or self._contacts.is_outdated(info):
            return None
        was_stopping = any(
            member.stopping
            for incarnation, member in self.known_members().items()
            if incarnation == info.incarnation
        )
        contact, replaced = self._contacts.record(info)
        if replaced is not None and replaced.is_live:
            self._emit(Event.MEMBER_LOST, replaced, reason='replaced')
        if info.stopping and not was_stopping:
            self._emit(Event.MEMBER_STOPPING, contact)
        if info.version > self.version:
            self.on_newer(info)
        return contact

    def _mark_live(self, contact: Contact) -> None:
        if not contact.is_live:
            contact.is_live = True
            self._emit(Event.MEMBER_JOINED, contact)

    def _mark_lost(self) -> None:
        now = self._clock()
        live = {contact.info.incarnation for contact in self._list_live(now)}
        for address, contact in list(self._contacts.by_address.items()):
            if contact.is_live and contact.info.incarnation not in live:
                contact.is_live = False
                self._emit(Event.MEMBER_LOST, contact, reason='silent')
            if not self._is_heartbeat_target(address):
                self._contacts.by_address.pop(address)

    def _emit(self, event: Event, contact: Contact, **fields: object) -> None:
        info = contact.info
        self._events.emit(event, member=info.incarnation, peer=info.peers_address, **fields)

    def _is_heartbeat_target(self, address: str) -> bool:
        if address in self._listed_addresses or address in self._registered_addresses:
            return True
        contact = self._contacts.by_address.get(address)
        if contact is None:
            return False
        heard_at = max(contact.heard_at, self._resumed_at)
        return self._clock() - heard_at <= EXPIRY_FACTOR * self.times.dead_after

    def _start_heartbeat_tasks(self, group: TaskGroup) -> None:
        targets = self._listed_addresses.union(
            self._registered_addresses, self._contacts.by_address
        )
        for address in targets.difference(
            self._heartbeat_addresses, {self._settings.peers_address}
        ):
            self._heartbeat_addresses.add(address)
            group.start_soon(self._run_heartbeats, address)

    async def _run_heartbeats(self, address: str) -> None:
        try:
            await self._send_heartbeats(address)
        finally:
            self._heartbeat_addresses.discard(address)
            self.peers.reset(address)

    async def _send_heartbeats(self, address: str) -> None:
        failures = 0
        unanswered_since = self._clock()
        while self._is_heartbeat_target(address):
            sent_at = self._clock()
            try:
                reply = await self.peers.send_heartbeat(
                    address, self._make_heartbeat(), timeout_s=self.times.dead_after / 2
                )
            except PeerError:
                failures += 1
                # A connection to a VM that no longer exists reports no error; a new one does.
                if self._clock() - unanswered_since > self.times.dead_after:
                    unanswered_since = self._clock()
                    self.peers.reset(address)
                await self._sleep_unless_stopping(self._choose_backoff(failures))
                continue
            failures = 0
            unanswered_since = self._clock()
            self._record_answer(reply, sent_at)
            await self._sleep_unless_stopping(self.times.beat_interval - (self._clock() - sent_at))

    def _record_answer(self, reply: pb.BeatMessage, sent_at: float) -> None:
        self._detect_suspension()
        self._events.clock.observe(reply.stamp)
        contact = self._record(reply.sender)
        if contact is None:
            return
        contact.answered_at = max(contact.answered_at, sent_at)
        contact.heard_at = max(contact.heard_at, sent_at)
        if self._clock() - sent_at <= self.times.dead_after:
            self._mark_live(contact)

    def _choose_backoff(self, failures: int) -> float:
        """Return a random delay in seconds.

        It is at most `dead_after`, so that a member is soon found again.
        """
        base = self.times.beat_interval * BACKOFF_FACTOR ** min(failures, 10)
        return min(base, self.times.dead_after) * random.uniform(0.5, 1)

    async def _sleep_unless_stopping(self, seconds: float) -> None:
        with anyio.move_on_after(max(0, seconds)):
            await self._send_now.wait()
