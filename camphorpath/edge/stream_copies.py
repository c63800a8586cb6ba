"""Sends the records of streams that begin here to a few other daemons, and keeps theirs.

A daemon that is suspended, cut off or gone answers no query. The messages are announcements:
daemons of older builds find no changes in them.
"""

import math
from collections.abc import Iterable, Iterator, Mapping

import attrs

from ..clocks import read_lease_clock
from ..cluster.heartbeats import HeartbeatSocket
from ..hashing import rendezvous_score
from ..schema import camphorpath_pb2 as pb
from ..streams import KnownOrigin, Origin, Source, StreamRecords
from ..streams.records import DIGEST_BYTES
from .state import MAX_ANNOUNCEMENT_BYTES, DaemonState
from .stream_queries import is_name

# Daemons that keep the records of one daemon.
COPY_COUNT = 3
# Members may change several times in a row.
CHOICE_INTERVAL_S = 0.5
# Latest records that a daemon gets when it is chosen.
MAX_RESENT_COUNT = 5000
MS_PER_S = 1000
# The encoded age is a varint of at most four bytes.
AGE_BITS = 28
MAX_AGE_MS = (1 << AGE_BITS) - 1
# The digest of a record, its age and its number, encoded.
MAX_RECORD_BYTES = DIGEST_BYTES + 4 + 6
# The tags and lengths of a group and its fields, and of the messages around it.
GROUP_FRAME_BYTES = 24


def choose_holders(name: str, zones: Mapping[str, str]) -> list[str]:
    """Return those of other daemons that keep the records of a daemon.

    `zones` holds the availability zones of the others by name. The holders of different daemons are
    independent, so that each daemon keeps the records of a few. They are in at least two zones, if
    there are as many.
    """
    ranked = sorted(zones, key=lambda other: rendezvous_score(f'streams of {name}', other))
    chosen = ranked[:COPY_COUNT]
    chosen_zones = {zones[other] for other in chosen}
    if len(chosen) == COPY_COUNT and len(chosen_zones) == 1:
        elsewhere = (other for other in ranked if zones[other] not in chosen_zones)
        chosen[-1] = next(elsewhere, chosen[-1])
    return chosen


@attrs.define
class StreamCopies:
    """The copies that other daemons keep of the records of this one."""

    records: StreamRecords
    state: DaemonState
    heartbeats: HeartbeatSocket
    # Availability zones of the live members by name, when the holders were chosen.
    _zones: dict[str, str] = attrs.field(factory=dict)
    # Hosts by the incarnations of the holders.
    _holders: dict[str, str] = attrs.field(factory=dict)
    # What was sent last, which is sent once more, as datagrams may get lost.
    _repeated: dict[bytes, KnownOrigin] = attrs.field(factory=dict)
    # Hosts that got all records last.
    _joined: frozenset[str] = frozenset()
    # When the holders may be chosen again, on the lease clock.
    _next_choice_at: float = -math.inf

    def send(self) -> None:
        """Send new records to the holders, and those of the last time once more."""
        if not self.records.has_own:
            return
        joined = self._update_holders()
        new = self.records.drain_uncopied()
        batch = {digest: known for digest, known in self._repeated.items() if digest not in new}
        batch |= new
        self._repeated = new
        settled = set(self._holders.values()) - joined - self._joined
        self._send_records(batch, settled)
        if joined or self._joined:
            recent = self.records.list_own(MAX_RESENT_COUNT)
            self._send_records(recent, joined | self._joined)
        self._joined = joined

    def handle_copies(self, heartbeat: pb.EdgeHeartbeat) -> None:
        """Keep the records of another daemon; drop odd ones."""
        if not heartbeat.news.HasField('stream_copies'):
            return
        if heartbeat.host == self.state.settings.host or not is_name(heartbeat.incarnation):
            return
        now = read_lease_clock()
        for group in heartbeat.news.stream_copies.groups:
            if not _is_valid(group):
                continue
            origin = Origin(group.service, group.software_version)
            digests = _split_digests(group.digests)
            for digest, age_ms, number in zip(digests, group.ages_ms, group.numbers, strict=True):
                recorded_at = now - age_ms / MS_PER_S
                stated = KnownOrigin(
                    origin, recorded_at, Source.PEER, heartbeat.incarnation, number
                )
                self.records.adopt(digest, stated)

    def _update_holders(self) -> frozenset[str]:
        """Choose the holders anew if the members changed; return the hosts of the new ones."""
        now = read_lease_clock()
        if now < self._next_choice_at:
            return frozenset()
        self._next_choice_at = now + CHOICE_INTERVAL_S
        live = self.state.members.list_live()
        zones = {member.heartbeat.name: member.heartbeat.zone for member in live.values()}
        if zones == self._zones and self._holders.keys() <= live.keys():
            return frozenset()
        self._zones = zones
        chosen = choose_holders(self.state.settings.name, zones)
        former = self._holders
        self._holders = {
            incarnation: member.heartbeat.host
            for incarnation, member in live.items()
            if member.heartbeat.name in chosen
        }
        return frozenset(
            host for incarnation, host in self._holders.items() if incarnation not in former
        )

    def _send_records(self, records: Mapping[bytes, KnownOrigin], hosts: Iterable[str]) -> None:
        hosts = tuple(hosts)
        if not hosts:
            return
        for announcement in self._make_announcements(records):
            self.heartbeats.send(announcement, hosts)

    def _make_announcements(
        self, records: Mapping[bytes, KnownOrigin]
    ) -> Iterator[pb.EdgeHeartbeat]:
        """Yield messages with records by digest, each of which fits in a datagram."""
        now = read_lease_clock()
        room = MAX_ANNOUNCEMENT_BYTES - self._make_announcement(()).ByteSize()
        groups: dict[Origin, pb.StreamCopyGroup] = {}
        size = 0
        for digest, known in records.items():
            group = groups.get(known.origin) or _begin_group(known.origin)
            added_bytes = MAX_RECORD_BYTES
            if not group.digests:
                added_bytes += _measure_head(group)
            if groups and size + added_bytes > room:
                yield self._make_announcement(groups.values())
                group = _begin_group(known.origin)
                groups = {}
                size = 0
                added_bytes = MAX_RECORD_BYTES + _measure_head(group)
            size += added_bytes
            groups[known.origin] = group
            group.digests += digest
            age_ms = round(max(now - known.known_since, 0) * MS_PER_S)
            group.ages_ms.append(min(age_ms, MAX_AGE_MS))
            group.numbers.append(known.number)
        if groups:
            yield self._make_announcement(groups.values())

    def _make_announcement(self, groups: Iterable[pb.StreamCopyGroup]) -> pb.EdgeHeartbeat:
        changes = pb.SharedState(stream_copies=pb.StreamCopies(groups=groups))
        return self.state.make_announcement(changes, self.state.rows.upstreams_revision)


def _begin_group(origin: Origin) -> pb.StreamCopyGroup:
    return pb.StreamCopyGroup(service=origin.service, software_version=origin.software_version)


def _measure_head(group: pb.StreamCopyGroup) -> int:
    return group.ByteSize() + GROUP_FRAME_BYTES


def _split_digests(digests: bytes) -> list[bytes]:
    return [digests[at : at + DIGEST_BYTES] for at in range(0, len(digests), DIGEST_BYTES)]


def _is_valid(group: pb.StreamCopyGroup) -> bool:
    version = group.software_version
    if not is_name(group.service) or not (version == '' or is_name(version)):
        return False
    count = len(group.ages_ms)
    return len(group.digests) == count * DIGEST_BYTES and len(group.numbers) == count
