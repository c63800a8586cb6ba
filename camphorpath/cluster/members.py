"""The other edge daemons, as known from their heartbeats."""

import collections

import attrs

from ..placement.ownership import Candidate
from ..schema import camphorpath_pb2 as pb

# Heartbeats a second that one daemon may receive at most; intervals grow with the fleet.
MAX_RECEIVED_PER_S = 100.0
MIN_INTERVAL_S = 0.25
# A daemon is taken as lost after so many intervals without a heartbeat. Datagrams get lost.
DEAD_INTERVALS = 4
MAX_ENDED = 1000


@attrs.define
class Member:
    """Another daemon, by its last heartbeat."""

    beat: pb.EdgeHeartbeat
    heard_at: float


@attrs.define
class Members:
    """The daemons that were heard, by name, and the hosts that are told."""

    own_host: str
    known: dict[str, Member] = attrs.field(factory=dict)
    hosts: set[str] = attrs.field(factory=set)
    # Incarnations that were replaced by another one of their name; late heartbeats may still come.
    _ended: collections.deque[str] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_ENDED)
    )

    @property
    def interval_s(self) -> float:
        """The seconds between heartbeats."""
        return max(MIN_INTERVAL_S, (len(self.known) + 1) / MAX_RECEIVED_PER_S)

    @property
    def dead_after_s(self) -> float:
        """The seconds of silence after which a daemon is taken as lost."""
        return DEAD_INTERVALS * self.interval_s

    def observe(self, beat: pb.EdgeHeartbeat, now: float) -> Member | None:
        """Take in a heartbeat.

        Returns the member that it replaces: another incarnation of the name, which has ended. Late
        heartbeats of the same incarnation are dropped.
        """
        known = self.known.get(beat.name)
        if known is not None and known.beat.incarnation == beat.incarnation:
            if beat.sequence <= known.beat.sequence:
                return None
            known.beat = beat
            known.heard_at = now
            return None
        if beat.incarnation in self._ended:
            return None
        if known is not None:
            self._ended.append(known.beat.incarnation)
        self.known[beat.name] = Member(beat, now)
        self.add_host(beat.host)
        return known

    def add_host(self, host: str) -> None:
        """Tell a host of this daemon from now on."""
        if host and host != self.own_host:
            self.hosts.add(host)

    def expire(self, now: float) -> list[Member]:
        """Drop and return the members that have been silent for too long."""
        limit = now - self.dead_after_s
        lost = [member for member in self.known.values() if member.heard_at < limit]
        for member in lost:
            self.known.pop(member.beat.name)
        return lost

    def shift(self, seconds: float) -> None:
        """Take note that this daemon itself stood still: nobody could be heard."""
        for member in self.known.values():
            member.heard_at += seconds

    def list_candidates(self) -> list[Candidate]:
        """Return the members that take calls."""
        return [
            Candidate(member.beat.name, member.beat.zone, member.beat.cores)
            for member in self.known.values()
            if member.beat.ready and not member.beat.stopping
        ]
