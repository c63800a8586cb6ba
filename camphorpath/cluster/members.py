"""Membership of the edge daemons, as known from their heartbeats."""

import collections
import math
from collections.abc import Iterable

import attrs

from ..addresses import is_ipv4_address
from ..placement.ownership import Candidate
from ..schema import camphorpath_pb2 as pb

# Most heartbeats per second that one daemon may receive if all members are active, that is take
# calls, or if all are idle. Intervals grow with the fleet to keep to this.
MAX_ACTIVE_HEARTBEATS_PER_S = 200.0
MAX_IDLE_HEARTBEATS_PER_S = 50.0
MIN_INTERVAL_S = 0.25
# Intervals without a heartbeat after which a daemon counts as lost; single datagrams may get lost.
LOST_INTERVAL_COUNT = 4
MAX_ENDED_COUNT = 1000


@attrs.define
class Member:
    """Another daemon with its last heartbeat."""

    heartbeat: pb.EdgeHeartbeat
    # When the last heartbeat arrived, on the lease clock.
    heard_at: float

    def lost_at(self) -> float:
        """Return when, on the lease clock, the daemon counts as lost without another heartbeat."""
        return self.heard_at + LOST_INTERVAL_COUNT * max(self.heartbeat.interval, MIN_INTERVAL_S)


@attrs.define
class Members:
    """The known daemons by name, and the hosts to which heartbeats are sent."""

    own_host: str
    # The host of a daemon that stopped is kept for this time after its last heartbeat.
    stopped_retention_s: float = math.inf
    known: dict[str, Member] = attrs.field(factory=dict)
    hosts: set[str] = attrs.field(factory=set)
    # Hosts whose daemon has stopped, with the time of its last heartbeat.
    _stopped: dict[str, float] = attrs.field(factory=dict)
    # Incarnations that were replaced by a new one; late heartbeats of them may still arrive.
    _ended: collections.deque[str] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_ENDED_COUNT)
    )

    def choose_interval(self, *, is_active: bool) -> float:
        """Return the heartbeat interval of an active or idle daemon in seconds."""
        max_received_per_s = MAX_ACTIVE_HEARTBEATS_PER_S if is_active else MAX_IDLE_HEARTBEATS_PER_S
        return max(MIN_INTERVAL_S, (len(self.known) + 1) / max_received_per_s)

    def observe(self, heartbeat: pb.EdgeHeartbeat, now: float) -> Member | None:
        """Record a heartbeat.

        Returns the member that it replaces, that is an earlier incarnation of the same name.
        Heartbeats that arrive out of order or from a replaced incarnation are dropped.
        """
        known = self.known.get(heartbeat.name)
        if known is not None and known.heartbeat.incarnation == heartbeat.incarnation:
            if heartbeat.sequence <= known.heartbeat.sequence:
                return None
            known.heartbeat = heartbeat
            known.heard_at = now
            return None
        if heartbeat.incarnation in self._ended:
            return None
        if known is not None:
            self._ended.append(known.heartbeat.incarnation)
        self.known[heartbeat.name] = Member(heartbeat, now)
        self._stopped.pop(heartbeat.host, None)
        self.add_host(heartbeat.host)
        return known

    def add_host(self, host: str) -> None:
        """Send heartbeats to a host from now on, if it is an address and its daemon did not stop.

        A host whose daemon stopped is added again when a new process there sends a heartbeat: the
        reports of peers and its row in the store may be outdated.
        """
        if host != self.own_host and host not in self._stopped and is_ipv4_address(host):
            self.hosts.add(host)

    def add_hosts(self, hosts: Iterable[str]) -> None:
        """Add the hosts that a peer knows."""
        for host in hosts:
            self.add_host(host)

    def list_running_hosts(self) -> list[str]:
        """Return the hosts to pass on to peers, without stopped ones, which they would keep."""
        return [host for host in self.hosts if host not in self._stopped]

    def expire(self, now: float) -> list[Member]:
        """Remove and return the members that count as lost.

        The host of a daemon that stopped is removed later. Any other host is kept: its daemon may
        be cut off by a network partition and send retries meanwhile.
        """
        lost = [member for member in self.known.values() if member.lost_at() < now]
        for member in lost:
            self.known.pop(member.heartbeat.name)
            if member.heartbeat.stopping:
                self._stopped[member.heartbeat.host] = member.heard_at
        for host, heard_at in self._stopped.items():
            if now > heard_at + self.stopped_retention_s:
                self.hosts.discard(host)
        return lost

    def extend_deadlines(self, seconds: float) -> None:
        """Postpone the expiry of all members after this daemon was suspended for some seconds."""
        for member in self.known.values():
            member.heard_at += seconds

    def list_live(self) -> dict[str, Member]:
        """Return the members that do not stop, by incarnation."""
        return {
            member.heartbeat.incarnation: member
            for member in self.known.values()
            if not member.heartbeat.stopping
        }

    def list_candidates(self) -> list[Candidate]:
        """Return the members that are ready to take calls."""
        return [
            Candidate(member.heartbeat.name, member.heartbeat.zone, member.heartbeat.cores)
            for member in self.known.values()
            if member.heartbeat.ready and not member.heartbeat.stopping
        ]
