"""Asks the other daemons for the origins of streams, and answers them, by datagram.

The messages are announcements: daemons of older builds find no changes in them.
"""

import asyncio
import math
import secrets
from collections.abc import Iterable, Iterator, Sequence

import anyio
import attrs

from ..clocks import read_lease_clock
from ..cluster.heartbeats import HeartbeatSocket
from ..platform.fields import MAX_NAME_CHARS
from ..schema import camphorpath_pb2 as pb
from ..streams import Asked, KnownOrigin, Origin, Source, StreamRecords
from ..streams.records import DIGEST_BYTES
from .state import MAX_ANNOUNCEMENT_BYTES, DaemonState

QUERY_TIMEOUT_S = 0.15
# Queries of this time are sent together.
BATCH_INTERVAL_S = 0.01
MAX_QUERY_DIGESTS = 100
# Queries per second, without repeats, that a daemon receives at most if all daemons ask.
MAX_QUERIES_PER_S = 1000.0
# Asks that may wait to be sent; further ones get no answer. Callers choose the ids of streams.
MAX_UNSENT_ASKS = 1000
# A digest in a query, with its tag and length.
DIGEST_FIELD_BYTES = DIGEST_BYTES + 2
# The tag and length of an origin in an answer.
ORIGIN_FRAME_BYTES = 3
# The lengths of the messages around the digests or origins get longer when these are added.
GROWTH_BYTES = 2
# The first number is random: a late answer to an earlier process must not match.
FIRST_NUMBER_BITS = 32


@attrs.define
class _Ask:
    """A stream whose origin is wanted, perhaps by several callers of `StreamQueries.ask`."""

    digest: bytes
    is_done: anyio.Event = attrs.field(factory=anyio.Event)
    result: Asked = attrs.field(factory=Asked)


@attrs.define
class _Answer:
    """What one host answered to a query so far."""

    incarnation: str
    origins: set[bytes] = attrs.field(factory=set)
    is_complete: bool = False


@attrs.define
class _Query:
    """The asks that were sent in one datagram, and the answers by host."""

    announcement: pb.EdgeHeartbeat
    # Asks that are not done, by digest.
    asks: dict[bytes, _Ask]
    digests: frozenset[bytes]
    hosts: set[str] = attrs.field(factory=set)
    answers: dict[str, _Answer] = attrs.field(factory=dict)
    # Digests of the streams that a daemon stated from its own record.
    vouched: set[bytes] = attrs.field(factory=set)

    def has_answer(self, host: str) -> bool:
        """Return whether a host has answered and no message of its answer is missing."""
        answer = self.answers.get(host)
        return answer is not None and answer.is_complete

    def list_answered(self) -> frozenset[str]:
        """Return the incarnations with answers of which no message is missing."""
        return frozenset(
            answer.incarnation for answer in self.answers.values() if answer.is_complete
        )


@attrs.define
class StreamQueries:
    """The queries of this daemon that are in progress, and its answers to those of others."""

    records: StreamRecords
    state: DaemonState
    heartbeats: HeartbeatSocket
    _asks: dict[bytes, _Ask] = attrs.field(factory=dict)
    _unsent: list[_Ask] = attrs.field(factory=list)
    # When the next query may be sent, on the lease clock.
    _next_send_at: float = -math.inf
    # By number.
    _queries: dict[int, _Query] = attrs.field(factory=dict)
    _last_number: int = attrs.field(factory=lambda: secrets.randbits(FIRST_NUMBER_BITS))

    async def ask(self, digest: bytes) -> Asked:
        """Return what the other daemons know of a stream.

        Takes at most QUERY_TIMEOUT_S, but longer while so many streams are asked for that queries
        have to wait.
        """
        known = self.records.find(digest)
        if not self.state.members.hosts or (known and self._is_final(known)):
            return Asked(known, frozenset())
        ask = self._asks.get(digest)
        if ask is None:
            if len(self._unsent) >= MAX_UNSENT_ASKS:
                return Asked(is_given_up=True)
            ask = _Ask(digest)
            self._asks[digest] = ask
            if not self._unsent:
                # Not a task of this caller, which may be cancelled while others wait.
                wait_s = max(self._next_send_at - read_lease_clock(), BATCH_INTERVAL_S)
                asyncio.get_running_loop().call_later(wait_s, self._send_unsent)
            self._unsent.append(ask)
        await ask.is_done.wait()
        return ask.result

    def handle_query(self, heartbeat: pb.EdgeHeartbeat) -> None:
        """Send what is known of the streams in a query to its sender; drop odd queries."""
        if not heartbeat.news.HasField('stream_query'):
            return
        query = heartbeat.news.stream_query
        # Not answered in part: its sender would take the rest as unknown here.
        if not 0 < len(query.digests) <= MAX_QUERY_DIGESTS:
            return
        if heartbeat.host == self.state.settings.host or not all(map(_is_digest, query.digests)):
            return
        now = read_lease_clock()
        found = {digest: self.records.find(digest) for digest in query.digests}
        origins = [
            _encode_origin(digest, known, now)
            for digest, known in found.items()
            if known is not None
        ]
        for announcement in self._make_answers(query.number, origins):
            self.heartbeats.send(announcement, (heartbeat.host,))

    def handle_answer(self, heartbeat: pb.EdgeHeartbeat) -> None:
        """Adopt the origins in an answer to a query in progress; drop other and odd answers."""
        if not heartbeat.news.HasField('stream_answer'):
            return
        message = heartbeat.news.stream_answer
        query = self._queries.get(message.number)
        if query is None or heartbeat.host not in query.hosts:
            return
        if not is_name(heartbeat.incarnation):
            return
        answer = query.answers.get(heartbeat.host)
        if answer is None or answer.incarnation != heartbeat.incarnation:
            answer = _Answer(heartbeat.incarnation)
            query.answers[heartbeat.host] = answer
        adopted = set(self._adopt_origins(query, heartbeat.incarnation, message.origins))
        answer.origins |= adopted
        answer.is_complete = len(answer.origins) >= message.known_count
        self._finish_known(query, adopted)
        if self._is_answered(query):
            self._finish(message.number)

    def _make_announcement(self, changes: pb.SharedState) -> pb.EdgeHeartbeat:
        return self.state.make_announcement(changes, self.state.rows.upstreams_revision)

    def _send_unsent(self) -> None:
        """Send the asks that wait in as few datagrams as possible."""
        unsent = self._unsent
        self._unsent = []
        self._next_send_at = read_lease_clock()
        while unsent:
            self._next_send_at += len(self.state.members.hosts) / MAX_QUERIES_PER_S
            self._last_number += 1
            number = self._last_number
            announcement = self._make_announcement(
                pb.SharedState(stream_query=pb.StreamQuery(number=number))
            )
            room = MAX_ANNOUNCEMENT_BYTES - GROWTH_BYTES - announcement.ByteSize()
            count = min(max(room // DIGEST_FIELD_BYTES, 1), MAX_QUERY_DIGESTS)
            batch = {ask.digest: ask for ask in unsent[:count]}
            unsent = unsent[count:]
            announcement.news.stream_query.digests.extend(batch)
            query = _Query(announcement, batch, frozenset(batch))
            self._queries[number] = query
            self._send(query)
            loop = asyncio.get_running_loop()
            loop.call_later(QUERY_TIMEOUT_S / 2 - BATCH_INTERVAL_S, self._repeat, number)
            loop.call_later(QUERY_TIMEOUT_S - BATCH_INTERVAL_S, self._finish, number)

    def _repeat(self, number: int) -> None:
        query = self._queries.get(number)
        if query is not None:
            self._send(query)

    def _send(self, query: _Query) -> None:
        """Send a query to the hosts without a complete answer."""
        hosts = [host for host in self.state.members.hosts if not query.has_answer(host)]
        query.hosts.update(hosts)
        self.heartbeats.send(query.announcement, hosts)

    def _is_final(self, known: KnownOrigin) -> bool:
        """Return whether no live daemon may have changed the record of a stream since."""
        if known.source is Source.OWN:
            return True
        return known.holder not in self.state.members.list_live()

    def _adopt_origins(
        self, query: _Query, sender: str, origins: Sequence[pb.StreamOrigin]
    ) -> Iterator[bytes]:
        """Adopt the valid origins of streams in the query; yield their digests."""
        now = read_lease_clock()
        for message in origins:
            if message.digest not in query.digests or not _is_valid(message):
                continue
            if not message.holder:
                query.vouched.add(message.digest)
            self.records.adopt(
                message.digest,
                KnownOrigin(
                    Origin(message.service, message.software_version),
                    now - message.age,
                    Source.PEER,
                    message.holder or sender,
                    message.number,
                ),
            )
            yield message.digest

    def _is_answered(self, query: _Query) -> bool:
        """Return whether all live members have answered; not if none is known to be live.

        An answer of another incarnation of a member counts, too: the one that is known has ended.
        """
        has_live = False
        for member in self.state.members.known.values():
            if member.heartbeat.stopping:
                continue
            if not query.has_answer(member.heartbeat.host):
                return False
            has_live = True
        return has_live

    def _finish(self, number: int) -> None:
        query = self._queries.pop(number, None)
        if query is not None:
            self._finish_asks(query, list(query.asks))

    def _finish_known(self, query: _Query, adopted: Iterable[bytes]) -> None:
        """Finish the asks for streams that their holders stated, or whose holders are gone."""
        finished = []
        for digest in adopted:
            known = self.records.find(digest)
            if digest not in query.asks or known is None:
                continue
            if digest in query.vouched or self._is_final(known):
                finished.append(digest)
        if finished:
            self._finish_asks(query, finished)

    def _finish_asks(self, query: _Query, digests: Iterable[bytes]) -> None:
        answered = query.list_answered()
        for digest in digests:
            self._asks.pop(digest)
            ask = query.asks.pop(digest)
            ask.result = Asked(self.records.find(digest), answered)
            ask.is_done.set()

    def _make_answers(
        self, number: int, origins: Sequence[pb.StreamOrigin]
    ) -> Iterator[pb.EdgeHeartbeat]:
        """Yield the messages of an answer, each of which fits in a datagram."""
        empty = self._make_announcement(
            pb.SharedState(stream_answer=pb.StreamAnswer(number=number, known_count=len(origins)))
        )
        room = MAX_ANNOUNCEMENT_BYTES - GROWTH_BYTES - empty.ByteSize()
        batch: list[pb.StreamOrigin] = []
        used = 0
        for origin in origins:
            size = origin.ByteSize() + ORIGIN_FRAME_BYTES
            if batch and used + size > room:
                yield _add_origins(empty, batch)
                batch = []
                used = 0
            batch.append(origin)
            used += size
        yield _add_origins(empty, batch)


def _add_origins(empty: pb.EdgeHeartbeat, origins: Sequence[pb.StreamOrigin]) -> pb.EdgeHeartbeat:
    announcement = pb.EdgeHeartbeat()
    announcement.CopyFrom(empty)
    announcement.news.stream_answer.origins.extend(origins)
    return announcement


def _encode_origin(digest: bytes, known: KnownOrigin, now: float) -> pb.StreamOrigin:
    return pb.StreamOrigin(
        digest=digest,
        service=known.origin.service,
        software_version=known.origin.software_version,
        age=max(now - known.known_since, 0),
        holder=known.holder,
        number=known.number,
    )


def _is_digest(digest: bytes) -> bool:
    return len(digest) == DIGEST_BYTES


def is_name(name: str) -> bool:
    """Return whether a text in a message may be the name of a service, version or daemon."""
    return 0 < len(name) <= MAX_NAME_CHARS and name.isprintable()


def _is_valid(message: pb.StreamOrigin) -> bool:
    optional = filter(None, (message.software_version, message.holder))
    if not is_name(message.service) or not all(map(is_name, optional)):
        return False
    return math.isfinite(message.age) and message.age >= 0
