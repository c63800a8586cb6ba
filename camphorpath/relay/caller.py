"""HTTP/1.1 connections of callers."""

import operator
import sys
from collections.abc import Callable

import anyio
import attrs
import h11

from ..buffers import Reservation
from ..errors import CallerDisconnected, Refusal
from ..memory.ledger import MemoryLedger
from ..routing import CallerLimits
from .headers import Headers, find_header
from .messages import parse_event
from .slow_readers import send_stream, send_whole
from .sockets import Connection

STATUS_BAD_REQUEST = 400
STATUS_TIMEOUT = 408
STATUS_TOO_LARGE = 413
STATUS_HEAD_TOO_LARGE = 431
# Of a request for whose body there is no memory; the calls in progress end within seconds.
MEMORY_RETRY_AFTER_S = 0.5
# Pipelined bytes that are buffered while a request is answered; more stay unread in the socket.
MAX_READ_AHEAD_BYTES = 65536
# Time that the caller has to read the last answer on a connection and to close it.
LINGER_TIMEOUT_S = 1.0

# States of the sending side of h11 without a request that waits for the rest of its answer.
ANSWERED_STATES = frozenset((h11.IDLE, h11.DONE, h11.MUST_CLOSE, h11.CLOSED))
get_max_head_bytes = operator.attrgetter('max_head_bytes')
get_max_body_bytes = operator.attrgetter('max_body_bytes')


@attrs.frozen
class CallerRequest:
    """A complete request; header names in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    # On the clock of anyio.
    first_byte_at: float = 0

    @property
    def path(self) -> str:
        """Return the path of the target, without the query."""
        return self.target.partition(b'?')[0].decode('latin-1')

    @property
    def query(self) -> str:
        """Return the query of the target."""
        return self.target.partition(b'?')[2].decode('latin-1')

    @property
    def host(self) -> str:
        """Return the host without its port, in lower case."""
        return find_header(self.headers, b'host').partition(b':')[0].decode('latin-1').lower()


@attrs.define(eq=False)
class CallerConnection:
    """Reads requests from the connection of a caller and writes answers to it."""

    connection: Connection
    limits: CallerLimits
    http: h11.Connection = attrs.field(init=False)
    # Set after a malformed request.
    closes_after_answer: bool = False
    # Set when the daemon stops: the connection is closed after an answer that announces it, unless
    # the next request has arrived.
    is_draining: bool = False
    is_idle: bool = False
    # Returns the current limits when a request begins; None if they never change.
    read_limits: Callable[[], CallerLimits] | None = None
    # What is buffered for all callers.
    memory: MemoryLedger = attrs.field(factory=MemoryLedger)
    # Returns whether the request with this target and these headers is for a most urgent route.
    is_urgent: Callable[[bytes, Headers], bool] = lambda target, headers: False
    # The body of the current request.
    _reservation: Reservation = attrs.field(init=False)
    _is_sending: bool = False
    # Whether the answer to the current request has no body.
    _is_head_request: bool = False

    @_reservation.default
    def _make_reservation(self) -> Reservation:
        return Reservation(self.memory.requests)

    @http.default
    def _make_http(self) -> h11.Connection:
        # The limit of h11 is fixed, while `limits` may change during a connection.
        return h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)

    async def read_request(self) -> CallerRequest | None:
        """Return the next request, or None if the caller closed the connection or sent none.

        Raises Refusal for a malformed, too large or too slow request, CallerDisconnected if the
        connection is lost before its end.
        """
        self._is_head_request = False
        self._reservation.resize(0)
        if not self.http.trailing_data[0] and not await self._wait_for_first_byte():
            return None
        self.limits = self._get_current_limits()
        first_byte_at = anyio.current_time()
        try:
            with anyio.fail_after(self.limits.head_timeout_s):
                head = await self._read_event()
        except TimeoutError:
            raise _refuse('request head timed out', STATUS_TIMEOUT) from None
        if isinstance(head, h11.ConnectionClosed):
            return None
        self._is_head_request = head.method == b'HEAD'
        headers = list(head.headers)
        names = [name for name, _text in headers]
        # h11 limits only a head that arrives in several parts.
        head_bytes = sum(len(name) + len(text) for name, text in headers)
        if self._exceeds(head_bytes, get_max_head_bytes):
            raise _refuse(
                f'request head exceeds {self.limits.max_head_bytes} bytes', STATUS_HEAD_TOO_LARGE
            )
        if b'content-length' in names and b'transfer-encoding' in names:
            # Two lengths allow request smuggling: a request hidden in the body of another one.
            raise _refuse('both content-length and transfer-encoding', STATUS_BAD_REQUEST)
        body = await self._read_body(head.target, headers)
        return CallerRequest(head.method, head.target, headers, body, first_byte_at)

    async def wait_until_closed(self) -> None:
        """Return when the caller has closed its connection; buffer what it sends meanwhile."""
        read_ahead_bytes = len(self.http.trailing_data[0])
        while read_ahead_bytes < MAX_READ_AHEAD_BYTES:
            try:
                chunk = await self.connection.receive()
            except OSError:
                return
            if not chunk:
                return
            read_ahead_bytes += len(chunk)
            self.http.receive_data(chunk)
        await self.connection.wait_peer_closed()

    async def send_answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer; raise CallerDisconnected."""
        framed = [*headers, (b'content-length', str(len(body)).encode())]
        payload = self._render_head(status, framed)
        if not self._is_head_request:
            payload += self.http.send(h11.Data(data=body)) or b''
        payload += self.http.send(h11.EndOfMessage()) or b''
        await self._send(payload)

    async def start_stream(self, status: int, headers: Headers, first: bytes) -> None:
        """Send the head and the first part of a chunked answer; raise CallerDisconnected.

        The end of the connection is that of the answer for a caller of HTTP/1.0, so that it must
        not look orderly before.
        """
        if self._is_end_unmarked:
            self.connection.set_reset_on_exit(is_set=True)
        payload = self._render_head(status, [*headers, (b'transfer-encoding', b'chunked')])
        await self._send_stream(payload + (self.http.send(h11.Data(data=first)) or b''))

    async def send_part(self, part: bytes) -> None:
        """Send a part of a chunked answer; raise CallerDisconnected."""
        await self._send_stream(self.http.send(h11.Data(data=part)) or b'')

    async def end_stream(self) -> None:
        """Send the end of a chunked answer; raise CallerDisconnected."""
        await self._send_stream(self.http.send(h11.EndOfMessage()) or b'')
        if self._is_end_unmarked:
            self.connection.set_reset_on_exit(is_set=False)

    @property
    def can_answer(self) -> bool:
        """Whether the head of an answer can still be sent."""
        return self.http.our_state in {h11.IDLE, h11.SEND_RESPONSE}

    @property
    def is_answer_incomplete(self) -> bool:
        """Whether a request is not answered, or its answer not handed to the kernel in full."""
        return self._is_sending or self.http.our_state not in ANSWERED_STATES

    def start_next(self) -> bool:
        """Prepare for the next request; return whether the connection can be reused."""
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        if self.closes_after_answer:
            return False
        self.http.start_next_cycle()
        return True

    async def close(self) -> None:
        """Close the connection after the caller could read its answer.

        The kernel resets a socket that is closed with unread input, and the caller may lose the
        answer.
        """
        if self.connection.is_closed:
            return
        if self.is_answer_incomplete:
            self.connection.close(reset=True)
            return
        self.connection.finish_sending()
        try:
            with anyio.move_on_after(LINGER_TIMEOUT_S):
                unread = await self._discard_input()
                while unread:
                    unread = await self._discard_input()
        finally:
            self.connection.close()

    def close_at_once(self) -> None:
        """Close the connection; with a reset unless all answers are complete.

        The kernel goes on sending what the caller has not received yet, and a reset would drop it.
        """
        self._reservation.resize(0)
        self.connection.close(reset=self.is_answer_incomplete)

    async def _discard_input(self) -> bytes:
        try:
            return await self.connection.receive()
        except OSError:
            return b''

    async def _wait_for_first_byte(self) -> bool:
        """Wait for the first byte of a request; return whether one came.

        At the idle timeout, closes the connection without reading on: a caller may repeat a request
        that crosses the close only if it was not read.
        """
        self.is_idle = True
        try:
            chunk = await self._receive_until_idle_timeout()
        except OSError:
            return False
        finally:
            self.is_idle = False
        if chunk is None:
            self.connection.close()
            return False
        self.http.receive_data(chunk)
        return bool(chunk)

    async def _receive_until_idle_timeout(self) -> bytes | None:
        idle_since = anyio.current_time()
        while True:
            left_s = idle_since + self.limits.idle_timeout_s - anyio.current_time()
            if left_s <= 0 and not self.connection.has_input():
                return None
            with anyio.move_on_after(max(left_s, 0)):
                return await self.connection.receive()
            self.limits = self._get_current_limits()

    def _get_current_limits(self) -> CallerLimits:
        return self.read_limits() if self.read_limits else self.limits

    def _exceeds(self, size: int, get_limit: Callable[[CallerLimits], int]) -> bool:
        """Return whether a size exceeds both the limit at the start of the request and the current.

        A manifest may replace the limits while a request is read.
        """
        return size > get_limit(self.limits) and size > get_limit(self._get_current_limits())

    async def _read_event(self) -> object:
        while True:
            try:
                event = await parse_event(self.connection, self.http)
            except h11.RemoteProtocolError as error:
                raise _refuse(str(error), _get_status(error)) from error
            if event is not h11.NEED_DATA:
                return event
            if self._exceeds(len(self.http.trailing_data[0]), get_max_head_bytes):
                raise _refuse(
                    f'request head exceeds {self.limits.max_head_bytes} bytes',
                    STATUS_HEAD_TOO_LARGE,
                )
            if self.http.they_are_waiting_for_100_continue:
                await self._send(
                    self.http.send(h11.InformationalResponse(status_code=100, headers=[]))
                )
            try:
                chunk = await self.connection.receive()
            except OSError as error:
                raise CallerDisconnected(repr(error), step='read_request') from error
            self.http.receive_data(chunk)

    async def _read_body(self, target: bytes, headers: Headers) -> bytes:
        stated = find_header(headers, b'content-length')
        if stated:
            self._check_body_size(int(stated))
            if not self._has_memory(int(stated), 0, target, headers):
                raise _refuse_memory()
        body = bytearray()
        while True:
            event: object = None
            with anyio.move_on_after(self.limits.idle_timeout_s):
                event = await self._read_event()
            if event is None:
                raise _refuse('request body timed out', STATUS_TIMEOUT)
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise CallerDisconnected(
                    'connection closed before the end of the request', step='read_request'
                )
            body += event.data
            self._reserve(body, target, headers)
            self._check_body_size(len(body))

    def _check_body_size(self, size: int) -> None:
        if self._exceeds(size, get_max_body_bytes):
            raise _refuse(
                f'request body exceeds {self.limits.max_body_bytes} bytes', STATUS_TOO_LARGE
            )

    def _reserve(self, body: bytearray, target: bytes, headers: Headers) -> None:
        """Count a body as held; clear it and raise Refusal if too much is buffered."""
        size = len(body)
        if self._reservation.resize(size):
            has_memory = self._has_memory(size, size, target, headers)
        else:
            # Less urgent requests may hold the whole pool.
            has_memory = self._has_memory_beyond_pool(size, target, headers)
        if has_memory:
            return
        body.clear()
        raise _refuse_memory()

    def _has_memory_beyond_pool(self, size: int, target: bytes, headers: Headers) -> bool:
        """Return whether a body may be buffered although the pool of bodies is full."""
        if self.memory.bounds is None or not self.is_urgent(target, headers):
            return False
        return self.memory.admits(size, size, is_urgent=True)

    def _has_memory(self, size: int, counted: int, target: bytes, headers: Headers) -> bool:
        """Return whether a body of `size` bytes may be buffered; `counted` of these are already."""
        if self.memory.admits(size, counted, is_urgent=False):
            return True
        is_urgent = self.is_urgent(target, headers)
        return is_urgent and self.memory.admits(size, counted, is_urgent=True)

    @property
    def _is_end_unmarked(self) -> bool:
        """Whether the caller takes no chunks, so that a stream ends with the connection."""
        return self.http.their_http_version == b'1.0'

    def _has_next_input(self) -> bool:
        return bool(self.http.trailing_data[0]) or self.connection.has_input()

    def _render_head(self, status: int, headers: Headers) -> bytes:
        is_last = self.is_draining and not self._has_next_input()
        # h11 does not reuse the connection after this header.
        if self.closes_after_answer or is_last:
            headers = [*headers, (b'connection', b'close')]
        return self.http.send(h11.Response(status_code=status, headers=headers))

    async def _send_stream(self, payload: bytes) -> None:
        await self._send(payload, is_stream=True)

    async def _send(self, payload: bytes, *, is_stream: bool = False) -> None:
        # Remains set if an error or a cancellation leaves bytes unsent.
        self._is_sending = True
        try:
            if self.memory.bounds is None:
                await self.connection.send_all(payload)
            elif is_stream:
                await send_stream(self.connection, payload, self.memory)
            else:
                await send_whole(self.connection, payload, self.memory)
        except OSError as error:
            raise CallerDisconnected(repr(error), step='send_answer') from error
        self._is_sending = False


def _refuse_memory() -> Refusal:
    return Refusal(
        'no_memory',
        'the requests in progress exceed the memory for their bodies',
        retry_after_s=MEMORY_RETRY_AFTER_S,
        step='read_request',
    )


def _refuse(message: str, status: int) -> Refusal:
    return Refusal('bad_request', message, status=status, step='read_request')


def _get_status(error: h11.RemoteProtocolError) -> int:
    hint = error.error_status_hint
    return hint if hint in {STATUS_HEAD_TOO_LARGE, STATUS_TOO_LARGE} else STATUS_BAD_REQUEST
