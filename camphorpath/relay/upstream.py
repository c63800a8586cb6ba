"""Pooled HTTP/1.1 connections to upstreams."""

import math
import re
from collections.abc import Callable

import attrs
import h11

from ..clocks import read_lease_clock
from ..errors import AnswerTooLarge, EndedEarly, NotSent, SentUnknown, Truncated
from ..memory.ledger import BufferKind, MemoryLedger
from ..routing import Route, Upstream
from ..turns import get_cost
from .headers import Headers, find_header
from .messages import parse_event
from .slow_readers import wait_for_upstream
from .sockets import Connection, open_connection

# The kernel resends a lost SYN after one second, in any deployment; a call is sent to another
# upstream before that.
MAX_CONNECT_TIMEOUT_S = 0.6
# Several round trips between regions, which take up to 16 ms each.
MIN_CONNECT_TIMEOUT_S = 0.1
# Idle connections are closed this long before the time that upstreams state, as they state whole
# seconds and may close a connection while a request is on its way.
KEEP_ALIVE_MARGIN_S = 1.0
# For upstreams that state no keep-alive time; servers often close after five seconds.
DEFAULT_KEEP_ALIVE_S = 4.0
# Longest idle time of a connection for a request that must not be repeated. Upstreams that state no
# time may close earlier than DEFAULT_KEEP_ALIVE_S, and then the call is lost.
MAX_RECENT_IDLE_S = 1.0
# Per upstream; bounds the file descriptors of idle connections.
MAX_IDLE_CONNECTIONS = 16
# Limits on answers to other requests and interim responses that are skipped; a faulty upstream may
# send them without end.
MAX_SKIPPED_HEADS = 16
MAX_SKIPPED_BODY_BYTES = 1024 * 1024
# An empty part of a payload would keep all of it in memory.
NOTHING_UNSENT = memoryview(b'')
# No Content, Not Modified.
STATUSES_WITHOUT_BODY = frozenset((204, 304))
# Higher numbers are no status of HTTP; h11 rejects the lower ones.
MAX_STATUS = 599
# Longer numbers count as not stated.
KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout=([0-9]{1,6})(?![0-9])')


class BodyTooLarge(h11.RemoteProtocolError):
    """The body of an answer exceeds the limit of its reader."""


@attrs.define(eq=False)
class UpstreamConnection:
    """A connection to an upstream that carries one request at a time."""

    connection: Connection
    address: str
    http: h11.Connection = attrs.field(factory=lambda: h11.Connection(h11.CLIENT))
    keep_alive_s: float = DEFAULT_KEEP_ALIVE_S
    idle_since: float = 0
    was_used: bool = False
    # Incarnation of the process at the other end by its report; None before it was asked for, 0 if
    # it is unknown.
    incarnation: int | None = None
    # Whether the body of an answer to an earlier request is being skipped.
    is_skipping: bool = False
    # Cost of the parts of the current body that were read, in bytes.
    _body_cost: int = 0
    _request: h11.Request | None = None
    _unsent: memoryview = NOTHING_UNSENT
    memory: MemoryLedger = attrs.field(factory=MemoryLedger, kw_only=True)

    def send(self, request: h11.Request, body: bytes) -> None:
        """Start to send a request; bytes that do not fit are sent by `read_event`.

        Raises NotSent if no byte was sent.
        """
        self._request = request
        payload = self.http.send(request)
        if body:
            payload += self.http.send(h11.Data(data=body)) or b''
        payload += self.http.send(h11.EndOfMessage()) or b''
        try:
            sent = self.connection.try_send(payload)
        except OSError as error:
            raise NotSent(repr(error), step='send', peer=self.address) from error
        self._unsent = memoryview(payload)[sent:] or NOTHING_UNSENT

    async def read_event(self, max_body_cost: float = math.inf) -> object:
        """Send the rest of the request, if any, and return the next event of the answer.

        A body costs its bytes, but a minimum for each part, as short parts take long to read.
        Raises BodyTooLarge above `max_body_cost` bytes, OSError, or h11.RemoteProtocolError.
        """
        while True:
            event = await parse_event(self.connection, self.http)
            if event is not h11.NEED_DATA:
                self._limit_body(event, max_body_cost)
                return event
            if self._unsent:
                await self._send_rest()
            self.http.receive_data(await self.connection.receive())

    async def _send_rest(self) -> None:
        """Send the rest of the request, until the upstream answers; raise OSError.

        Raises SentUnknown if the upstream reads nothing while too much is buffered.
        """
        ledger = self.memory
        with ledger.open_reader(BufferKind.TO_UPSTREAM, read_lease_clock()) as reader:
            while self._unsent:
                if not await wait_for_upstream(self.connection, self._unsent, ledger, reader):
                    message = f'the upstream has read nothing for {reader.idle_s:.1f} s'
                    raise SentUnknown(message, step='send', peer=self.address)
                sent = self.connection.try_send(self._unsent)
                self._unsent = self._unsent[sent:] or NOTHING_UNSENT
                if self.connection.has_input():
                    return

    @property
    def is_head_request(self) -> bool:
        """Whether the answer to the current request has no body."""
        return self._request is not None and self._request.method == b'HEAD'

    async def skip_answer(self) -> None:
        """Skip the body of an answer to an earlier request, whose head was read.

        If it is cancelled, it has to be called again. Raises OSError, or h11.RemoteProtocolError if
        the answer is incomplete or too long.
        """
        self.is_skipping = True
        event: object = None
        while not isinstance(event, h11.EndOfMessage):
            event = await self.read_event(MAX_SKIPPED_BODY_BYTES)
            if isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError(
                    'connection closed after an answer to another request'
                )
        rest, is_closed = self.http.trailing_data
        # h11 expects one answer per request, so a new state gets the remaining bytes.
        self.http = h11.Connection(h11.CLIENT)
        self.http.send(self._request)
        if rest:
            self.http.receive_data(rest)
        if is_closed:
            self.http.receive_data(b'')
        self.is_skipping = False

    def make_reusable(self) -> bool:
        """Prepare for the next request; return whether the connection can be reused."""
        is_done = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        if not is_done or self._unsent or self.http.trailing_data[0]:
            return False
        self.http.start_next_cycle()
        self.idle_since = read_lease_clock()
        self.was_used = True
        return not self.connection.has_input()

    def is_unused(self) -> bool:
        """Return whether the connection served requests and has none in progress."""
        is_idle = self.http.our_state is h11.IDLE and self.http.their_state is h11.IDLE
        return is_idle and self.was_used and not self._unsent and not self.connection.has_input()

    def _limit_body(self, event: object, max_cost: float) -> None:
        if isinstance(event, h11.Response):
            self._body_cost = 0
        if not isinstance(event, h11.Data):
            return
        self._body_cost += get_cost(event.data)
        if self._body_cost > max_cost:
            raise BodyTooLarge(f'the body of an answer exceeds {max_cost} bytes')


@attrs.define(eq=False)
class UpstreamAnswer:
    """The status and headers of an answer; its body can be read once."""

    status: int
    headers: Headers
    peer: str
    _conn: UpstreamConnection
    is_complete: bool = False

    @property
    def has_length(self) -> bool:
        """Whether the end of the body is marked; otherwise it ends with the connection."""
        if self.status in STATUSES_WITHOUT_BODY or self._conn.is_head_request:
            return True
        names = {name for name, _text in self.headers}
        return bool(names & {b'content-length', b'transfer-encoding'})

    @property
    def is_event_stream(self) -> bool:
        """Whether the headers say that the body is a stream of server-sent events."""
        media_type = find_header(self.headers, b'content-type').partition(b';')[0]
        return media_type.strip().lower() == b'text/event-stream'

    async def read_chunk(self, max_body_cost: float = math.inf) -> bytes:
        """Return the next bytes of the body, empty at its end.

        No bytes are lost if it is cancelled. Raises Truncated if the body is incomplete, or
        AnswerTooLarge if what was read of it costs more than `max_body_cost` bytes.
        """
        try:
            event = await self._conn.read_event(max_body_cost)
        except BodyTooLarge as error:
            raise AnswerTooLarge(str(error), step='receive_body', peer=self.peer) from error
        except (OSError, h11.RemoteProtocolError) as error:
            raise Truncated(repr(error), step='receive_body', peer=self.peer) from error
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self.is_complete = True
            return b''
        raise EndedEarly(
            'connection closed before the end of the answer', step='receive_body', peer=self.peer
        )

    async def read_all(self, max_cost: int, reserve: Callable[[int], None]) -> bytes:
        """Return the whole body; raise Truncated, or AnswerTooLarge above a cost of `max_cost`.

        Calls `reserve` with the size of the parts so far in bytes, and raises what it raises.
        """
        parts = bytearray()
        try:
            while not self.is_complete:
                parts += await self.read_chunk(max_cost)
                reserve(len(parts))
            return bytes(parts)
        finally:
            # The traceback of an error refers to this frame and may outlive the call.
            parts.clear()


@attrs.define
class UpstreamPool:
    """Idle connections by upstream address."""

    # Since the start of the daemon.
    opened_count: int = 0
    # What is buffered for upstreams.
    memory: MemoryLedger = attrs.field(factory=MemoryLedger)
    _idle: dict[str, list[UpstreamConnection]] = attrs.field(factory=dict)
    # Called with the seconds that it took to connect to an upstream.
    on_connected: Callable[[Upstream, float], None] = lambda upstream, seconds: None

    async def acquire(
        self, upstream: Upstream, *, is_recent: bool, connect_s: float = MAX_CONNECT_TIMEOUT_S
    ) -> UpstreamConnection:
        """Return an idle or new connection.

        With `is_recent`, an idle one is reused only if it was idle for less than MAX_RECENT_IDLE_S.
        Raises NotSent if no connection can be opened within `connect_s` seconds.
        """
        idle = self._idle.get(upstream.address, [])
        now = read_lease_clock()
        while idle:
            conn = idle.pop()
            age = now - conn.idle_since
            limit_s = min(conn.keep_alive_s, MAX_RECENT_IDLE_S) if is_recent else conn.keep_alive_s
            if age < limit_s and not conn.connection.has_input():
                return conn
            conn.connection.close()
        try:
            connection = await open_connection(upstream.host, upstream.port, connect_s)
        except (OSError, TimeoutError) as error:
            raise NotSent(repr(error), step='connect', peer=upstream.address) from error
        self.opened_count += 1
        self.on_connected(upstream, read_lease_clock() - now)
        return UpstreamConnection(connection, upstream.address, memory=self.memory)

    async def is_listening(self, upstream: Upstream) -> bool:
        """Return whether an upstream accepts connections.

        Keeps the connection that shows it for the next call. Raises NotSent if none can be opened
        within MAX_CONNECT_TIMEOUT_S seconds, which does not tell whether the process has ended.
        """
        idle = self._idle.get(upstream.address, ())
        if any(not conn.connection.has_input() for conn in idle):
            return True
        try:
            connection = await open_connection(upstream.host, upstream.port, MAX_CONNECT_TIMEOUT_S)
        except ConnectionRefusedError:
            return False
        except (OSError, TimeoutError) as error:
            raise NotSent(repr(error), step='connect', peer=upstream.address) from error
        self.opened_count += 1
        conn = UpstreamConnection(
            connection, upstream.address, idle_since=read_lease_clock(), memory=self.memory
        )
        # An upstream may answer an idle connection that times out.
        conn.was_used = True
        self._idle.setdefault(upstream.address, []).append(conn)
        return True

    def release(self, conn: UpstreamConnection, *, is_complete: bool) -> None:
        """Keep a connection for reuse, or close it.

        It is reset if its answer is incomplete.
        """
        idle = self._idle.setdefault(conn.address, [])
        is_reusable = conn.make_reusable() if is_complete else conn.is_unused()
        if len(idle) < MAX_IDLE_CONNECTIONS and is_reusable:
            idle.append(conn)
            return
        conn.connection.close(reset=not is_complete)

    def close_idle(self, now: float) -> None:
        """Close connections that were idle for longer than their keep-alive time."""
        for address, idle in list(self._idle.items()):
            kept = []
            for conn in idle:
                if now - conn.idle_since < conn.keep_alive_s:
                    kept.append(conn)
                else:
                    conn.connection.close()
            if kept:
                self._idle[address] = kept
            else:
                self._idle.pop(address)


def get_connect_timeout(route: Route) -> float:
    """Return the connect timeout in seconds.

    After it, enough of the call's time is left to be served by another upstream.
    """
    left_s = route.timeout_s - route.objective_s
    return min(max(left_s, MIN_CONNECT_TIMEOUT_S), MAX_CONNECT_TIMEOUT_S)


async def read_answer(conn: UpstreamConnection, attempt_id: bytes, name: bytes) -> UpstreamAnswer:
    """Return the answer to the request that was sent on a connection.

    Raises SentUnknown if the connection is lost or carries no valid answer to it. It may be called
    again after it was cancelled.

    An answer with another attempt id in the header `name` belongs to an earlier request and is
    skipped. An answer without one is accepted only on a new connection.
    """
    try:
        event = await _read_matching_head(conn, attempt_id, name)
    except (OSError, h11.RemoteProtocolError) as error:
        raise SentUnknown(repr(error), step='receive_head', peer=conn.address) from error
    headers = list(event.headers)
    _apply_keep_alive(conn, headers)
    return UpstreamAnswer(event.status_code, headers, conn.address, conn)


async def _read_matching_head(
    conn: UpstreamConnection, attempt_id: bytes, name: bytes
) -> h11.Response:
    if conn.is_skipping:
        await conn.skip_answer()
    for _ in range(MAX_SKIPPED_HEADS):
        event = await conn.read_event()
        if isinstance(event, h11.InformationalResponse):
            continue
        if not isinstance(event, h11.Response):
            raise h11.RemoteProtocolError('connection closed without an answer')
        if event.status_code > MAX_STATUS:
            raise h11.RemoteProtocolError(f'{event.status_code} is not a status')
        found = find_header(event.headers, name) or _infer_attempt(conn, attempt_id)
        if found == attempt_id:
            return event
        await conn.skip_answer()
    raise h11.RemoteProtocolError(
        f'no answer to the request in the first {MAX_SKIPPED_HEADS} response heads'
    )


def _infer_attempt(conn: UpstreamConnection, attempt_id: bytes) -> bytes:
    """Return the attempt id of an answer without one; raise h11.RemoteProtocolError."""
    if conn.was_used:
        # It may be a duplicate of an earlier answer.
        raise h11.RemoteProtocolError('an answer without attempt id on a reused connection')
    return attempt_id


def _apply_keep_alive(conn: UpstreamConnection, headers: Headers) -> None:
    found = KEEP_ALIVE_TIMEOUT.search(find_header(headers, b'keep-alive'))
    if found is not None:
        conn.keep_alive_s = max(int(found.group(1)) - KEEP_ALIVE_MARGIN_S, 0)
