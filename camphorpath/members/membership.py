"""Membership by heartbeat between the daemons."""

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
from .contacts import Contact, ContactBook
from .hashing import choose_member

# Used until a fleet configuration is activated; equal to the defaults in the schema.
DEFAULT_TIMES = pb.Membership(beat_interval=1, dead_after=3, contact_limit=4, fence_wait=5)
# An address outside the VM list is kept this many times `dead_after` after its last message.
FORGET_FACTOR = 20
BACKOFF_FACTOR = 1.5
INCARNATION_DIGITS = 8


def _is_never_serving() -> bool:
    return False


def _ignore_newer(info: pb.MemberInfo) -> None:
    """Do nothing until `Versions` sets its own callback."""


class Membership:
    """The members that this daemon is in contact with.

    `version`, `prepared_version`, `registered` and `view_epoch` are sent with every beat and are
    set by Versions, as are `is_serving` and `on_newer`; the latter is called with each member that
    reports a version above `version`.
    """

    def __init__(
        self,
        settings: pb.Daemon,
        events: EventLog,
        *,
        clock: Callable[[], float] = read_lease_clock,
        peers: PeerClients | None = None,
    ) -> None:
        """Start with no other member; raises UserError if the token of the peers is unusable."""
        self.fleet = pb.Fleet()
        self.peers = peers or PeerClients(read_token(settings.peer_token_file), events)
        self.version = 0
        self.prepared_version = 0
        self.registered = 0
        self.view_epoch = 0
        self.is_serving: Callable[[], bool] = _is_never_serving
        self.on_newer: Callable[[pb.MemberInfo], None] = _ignore_newer
        self._settings = settings
        self._events = events
        self._clock = clock
        self._book = ContactBook()
        self._candidates: frozenset[str] = frozenset()
        self.knows_vms = False
        self._registered_addresses: frozenset[str] = frozenset()
        self._view_since = -math.inf
        self._tasks: set[str] = set()
        self._stopping = False
        self._turned_at: float | None = None
        self._resumed_at = -FORGET_FACTOR * DEFAULT_TIMES.dead_after
        self._hurry = anyio.Event()
        self._take_incarnation()

    @property
    def times(self) -> pb.Membership:
        """The intervals and limits in force, in seconds."""
        return self.fleet.membership if self.fleet.HasField('membership') else DEFAULT_TIMES

    def info(self) -> pb.MemberInfo:
        """Return the state of this daemon as it is sent to the others."""
        return pb.MemberInfo(
            incarnation=self.incarnation,
            name=self._settings.name,
            zone=self._settings.zone,
            callers_address=self._settings.callers_address,
            peers_address=self._settings.peers_address,
            stopping=self._stopping,
            version=self.version,
            prepared_version=self.prepared_version,
            registered=self.registered,
            serving=self.is_serving(),
            view_epoch=self.view_epoch,
        )

    def live(self) -> list[pb.MemberInfo]:
        """Return this daemon and the members heard in either direction within `dead_after`."""
        self._notice_pause()
        now = self._clock()
        return [self.info(), *(contact.info for contact in self._list_live(now))]

    def choose_owner(self, key: str) -> pb.MemberInfo:
        """Return the live member that owns `key`; this daemon when it is alone."""
        return choose_member(key, self.live())

    def heard_within(self, seconds: float) -> dict[str, pb.MemberInfo]:
        """Return the members, by incarnation, whose state is known to be at most `seconds` old.

        Only answered beats count, from the time at which they were sent.
        """
        self._notice_pause()
        oldest = self._clock() - seconds
        return {
            contact.info.incarnation: contact.info
            for contact in self._book.contacts.values()
            if contact.answered_at >= oldest
        }

    def known(self) -> dict[str, pb.MemberInfo]:
        """Return the last state of all known members by incarnation, however old it is."""
        return {contact.info.incarnation: contact.info for contact in self._book.contacts.values()}

    def silent_for(self, incarnation: str) -> float:
        """Return the seconds since the member was last heard; infinite if it never was."""
        for contact in self._book.contacts.values():
            if contact.info.incarnation == incarnation:
                return self._clock() - contact.heard_at
        return float('inf')

    def observe(self, info: pb.MemberInfo) -> None:
        """Take note of a message that a member sent to this daemon."""
        self._notice_pause()
        contact = self._record(info)
        if contact is not None:
            contact.heard_at = self._clock()
            self._announce(contact)

    async def answer_beat(self, message: pb.BeatMessage) -> pb.BeatMessage:
        """Answer the beat of a member; raises PeerError if it claims this daemon's identity."""
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
        return self._make_beat()

    def set_candidates(self, vms: Iterable) -> None:  # noqa: WPS615 name fixed by the design
        """Beat the entry VMs of the VM list from now on."""
        self.knows_vms = True
        self._candidates = frozenset(
            vm.peers_address for vm in vms if vm.role == 'entry' and vm.peers_address
        )

    def beat_registered(self, addresses: Iterable[str]) -> None:
        """Beat these addresses too: the VM list lags, and may be unreadable at the start."""
        self._registered_addresses = frozenset(addresses)

    def begin_view(self) -> None:
        """Take note that this daemon has just registered and may not know the others yet."""
        self._view_since = self._clock()

    def is_view_complete(self, registered: Collection[str]) -> bool:
        """Tell whether every registered member that lives knows of this daemon.

        A daemon that serves before that would own the services in its own view while another one
        does, and neither would count the other's requests before it sheds. Each member has to
        answer a beat after the registration or after a pause; one that is silent for `dead_after`
        is not waited for.
        """
        self._notice_pause()
        since = max(self._view_since, self._resumed_at)
        if self._clock() - since > self.times.dead_after:
            return True
        answered = {
            contact.info.incarnation
            for contact in self._book.contacts.values()
            if contact.answered_at >= since
        }
        return answered.issuperset(set(registered).difference((self.incarnation,)))

    def begin_stop(self) -> None:
        """Announce the planned stop at once; it cannot be withdrawn."""
        self._stopping = True
        self._hurry.set()
        self._hurry = anyio.Event()

    def renew_incarnation(self) -> None:
        """Take a new incarnation after this daemon was fenced."""
        self._book.retire(self.incarnation)
        self._take_incarnation()

    async def run(self) -> None:
        """Beat every known address until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self._notice_pause()
                self._turned_at = self._clock()
                self._announce_lost()
                self._start_tasks(group)
                await anyio.sleep(self.times.beat_interval / 2)

    def _take_incarnation(self) -> None:
        digits = uuid.uuid4().hex[:INCARNATION_DIGITS]
        self.incarnation = f'{self._settings.name}-{digits}'
        self._events.incarnation = self.incarnation

    def _make_beat(self) -> pb.BeatMessage:
        return pb.BeatMessage(sender=self.info(), stamp=self._events.clock.stamp())

    def _notice_pause(self) -> None:
        """Forget when the members were heard if this process was paused beyond `dead_after`.

        Beats that waited in a buffer during the pause then do not make a member live; an answered
        beat does.
        """
        now = self._clock()
        if self._turned_at is None or now - self._turned_at <= self.times.dead_after:
            return
        self._turned_at = now
        self._resumed_at = now
        self._book.forget_times()

    def _list_live(self, now: float) -> list[Contact]:
        limit = self.times.dead_after
        contacts = self._book.contacts.values()
        if now - self._resumed_at <= limit:
            return [contact for contact in contacts if now - contact.answered_at <= limit]
        return [contact for contact in contacts if now - contact.heard_at <= limit]

    def _record(self, info: pb.MemberInfo) -> Contact | None:
        """Keep the state of another member; None if it is our own or outdated."""
        if info.peers_address == self._settings.peers_address:
            return None
        if info.incarnation == self.incarnation or self._book.is_outdated(info):
            return None
        was_stopping = any(
            member.stopping
            for incarnation, member in self.known().items()
            if incarnation == info.incarnation
        )
        contact, replaced = self._book.record(info)
        if replaced is not None and replaced.is_live:
            self._emit(Event.MEMBER_LOST, replaced, reason='replaced')
        if info.stopping and not was_stopping:
            self._emit(Event.MEMBER_STOPPING, contact)
        if info.version > self.version:
            self.on_newer(info)
        return contact

    def _announce(self, contact: Contact) -> None:
        if not contact.is_live:
            contact.is_live = True
            self._emit(Event.MEMBER_JOINED, contact)

    def _announce_lost(self) -> None:
        now = self._clock()
        live = {contact.info.incarnation for contact in self._list_live(now)}
        for address, contact in list(self._book.contacts.items()):
            if contact.is_live and contact.info.incarnation not in live:
                contact.is_live = False
                self._emit(Event.MEMBER_LOST, contact, reason='silent')
            if not self._is_wanted(address):
                self._book.contacts.pop(address)

    def _emit(self, event: Event, contact: Contact, **fields: object) -> None:
        info = contact.info
        self._events.emit(event, member=info.incarnation, peer=info.peers_address, **fields)

    def _is_wanted(self, address: str) -> bool:
        if address in self._candidates or address in self._registered_addresses:
            return True
        contact = self._book.contacts.get(address)
        if contact is None:
            return False
        heard_at = max(contact.heard_at, self._resumed_at)
        return self._clock() - heard_at <= FORGET_FACTOR * self.times.dead_after

    def _start_tasks(self, group: TaskGroup) -> None:
        wanted = self._candidates.union(self._registered_addresses, self._book.contacts)
        for address in wanted.difference(self._tasks, {self._settings.peers_address}):
            self._tasks.add(address)
            group.start_soon(self._beat_peer, address)

    async def _beat_peer(self, address: str) -> None:
        try:
            await self._beat_while_wanted(address)
        finally:
            self._tasks.discard(address)
            self.peers.reset(address)

    async def _beat_while_wanted(self, address: str) -> None:
        failures = 0
        silent_since = self._clock()
        while self._is_wanted(address):
            asked_at = self._clock()
            try:
                reply = await self.peers.beat(
                    address, self._make_beat(), timeout_s=self.times.dead_after / 2
                )
            except PeerError:
                failures += 1
                # A connection to a VM that vanished reports no error; a new one does.
                if self._clock() - silent_since > self.times.dead_after:
                    silent_since = self._clock()
                    self.peers.reset(address)
                await self._pause(self._choose_backoff(failures))
                continue
            failures = 0
            silent_since = self._clock()
            self._note_answer(reply, asked_at)
            await self._pause(self.times.beat_interval - (self._clock() - asked_at))

    def _note_answer(self, reply: pb.BeatMessage, asked_at: float) -> None:
        self._notice_pause()
        self._events.clock.observe(reply.stamp)
        contact = self._record(reply.sender)
        if contact is None:
            return
        contact.answered_at = max(contact.answered_at, asked_at)
        contact.heard_at = max(contact.heard_at, asked_at)
        if self._clock() - asked_at <= self.times.dead_after:
            self._announce(contact)

    def _choose_backoff(self, failures: int) -> float:
        """Return randomized seconds up to `dead_after`, so that a healed link is found soon."""
        base = self.times.beat_interval * BACKOFF_FACTOR ** min(failures, 10)
        return min(base, self.times.dead_after) * random.uniform(0.5, 1)

    async def _pause(self, seconds: float) -> None:
        with anyio.move_on_after(max(0, seconds)):
            await self._hurry.wait()
