"""Sends one call to one upstream and reports whether any byte of it may have been sent."""

import http.cookiejar
import re
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import attrs
import httpx

from ..errors import AnswerTooLarge, LossCause, NotSent, SentUnknown, Truncated, UpstreamError
from ..turns import Turn, get_cost
from .headers import REQUEST_ID_HEADER, select_answer_headers, select_request_headers
from .pools import OriginTransport

CONNECT_TIMEOUT_S = 1.0
SEND_STARTED_EVENT = 'http11.send_request_headers.started'
REQUEST_TARGET_PATTERN = re.compile('/[!-~]*')
BODILESS_STATUSES = frozenset((httpx.codes.NO_CONTENT, httpx.codes.NOT_MODIFIED))
TAIL_BYTES = 64
DONE_EVENT_PATTERN = re.compile(rb'(?:\A|[\r\n])data: ?\[DONE\](?:\r\n|\n|\r){2,4}\Z')

Trace = Callable[[str, dict[str, Any]], Awaitable[None]]


@attrs.frozen
class Call:
    """One request to an upstream; `path` is the raw request target with its query.

    `request_id` is empty for calls to the control interface. `timeout_s` limits the time to the
    complete answer; the caller of `open_call` enforces it.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    request_id: str
    timeout_s: float


@attrs.define
class _SendState:
    """Whether any byte of a request may have been sent, and the error that `before_send` raised."""

    before_send: Callable[[], None]
    is_sent: bool = False
    before_send_error: Exception | None = None

    async def trace(self, name: str, _details: dict[str, Any]) -> None:
        """Call `before_send` before the first byte; httpcore sends nothing if this raises."""
        if name != SEND_STARTED_EVENT or self.is_sent:
            return
        try:
            self.before_send()
        except Exception as error:
            self.before_send_error = error
            raise
        self.is_sent = True


@attrs.define
class UpstreamAnswer:
    """Status and headers of an answer, with access to its raw body.

    `headers` has no hop-by-hop headers. The body can be read once, within the `open_call` context.
    """

    status: int
    headers: list[tuple[str, str]]
    peer: str
    _response: httpx.Response

    def get_header(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        return self._response.headers.get(name, '')

    @property
    def is_stream(self) -> bool:
        """Whether the body is a stream of server-sent events."""
        media_type = self.get_header('content-type').partition(';')[0]
        return media_type.strip().lower() == 'text/event-stream'

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the raw bytes of the body; raise Truncated if it is incomplete.

        Closing the iterator early closes the connection.
        """
        is_stream = self.is_stream
        tail = b''
        turn = Turn()
        try:
            async for chunk in self._response.aiter_raw():
                if is_stream:
                    tail = (tail + chunk[-TAIL_BYTES:])[-TAIL_BYTES:]
                yield chunk
                turn.add_work(get_cost(chunk))
                await turn.end_if_over()
        except httpx.HTTPError as error:
            raise self._make_truncated(f'the answer broke off: {_describe(error)}') from error
        if not self._is_delimited():
            raise self._make_truncated('the answer has no length and ended with the connection')
        if is_stream and DONE_EVENT_PATTERN.search(tail) is None:
            raise self._make_truncated('the stream ended without its final event')

    def _is_delimited(self) -> bool:
        if self._response.request.method == 'HEAD' or self.status in BODILESS_STATUSES:
            return True
        headers = self._response.headers
        return 'content-length' in headers or 'transfer-encoding' in headers

    def _make_truncated(self, message: str) -> Truncated:
        return Truncated(message, step='receive_body', peer=self.peer)


def make_client() -> httpx.AsyncClient:
    """Return the HTTP client that all calls of a process share.

    It uses no proxy, netrc or cookies, so that nothing from the answer to one caller gets into the
    request of another.
    """
    refuse_all = http.cookiejar.DefaultCookiePolicy(allowed_domains=[])
    return httpx.AsyncClient(
        trust_env=False,
        follow_redirects=False,
        cookies=http.cookiejar.CookieJar(policy=refuse_all),
        timeout=httpx.Timeout(None, connect=CONNECT_TIMEOUT_S),
        transport=OriginTransport(),
    )


@asynccontextmanager
async def open_call(
    client: httpx.AsyncClient,
    base_url: str,
    call: Call,
    before_send: Callable[[], None],
    *,
    idle_timeout_s: float | None = None,
) -> AsyncIterator[UpstreamAnswer]:
    """Send a call once and yield its answer when the status and headers have arrived.

    `before_send` is called once, before the first byte may be sent. If it raises, nothing is sent
    and its exception is raised. `idle_timeout_s` limits each wait for bytes of the answer,
    including its headers. Raises NotSent if provably no byte was sent, else SentUnknown. Leaving
    the context early closes the connection.
    """
    send_state = _SendState(before_send)
    try:
        response = await client.send(
            _build_request(base_url, call, idle_timeout_s, send_state.trace),
            stream=True,
            auth=None,
            follow_redirects=False,
        )
    except Exception as error:
        if send_state.before_send_error is not None:
            raise send_state.before_send_error from None
        raise _convert_error(error, base_url, is_sent=send_state.is_sent) from error
    try:
        yield UpstreamAnswer(
            response.status_code,
            select_answer_headers(response.headers.raw),
            base_url,
            response,
        )
    finally:
        await response.aclose()


async def read_whole(answer: UpstreamAnswer, max_bytes: int) -> bytes:
    """Return the complete body; raise AnswerTooLarge above `max_bytes`, Truncated if incomplete."""
    parts = []
    size = 0
    async for chunk in answer.chunks():
        size += len(chunk)
        if size > max_bytes:
            message = f'the answer is longer than {max_bytes} bytes'
            raise AnswerTooLarge(message, step='receive_body', peer=answer.peer)
        parts.append(chunk)
    return b''.join(parts)


def _build_request(
    base_url: str, call: Call, idle_timeout_s: float | None, trace: Trace
) -> httpx.Request:
    if REQUEST_TARGET_PATTERN.fullmatch(call.path) is None:
        raise ValueError(f'{call.path!r} is not a request target')
    url = httpx.URL(base_url)
    headers = select_request_headers(call.headers)
    if call.request_id:
        headers.append((REQUEST_ID_HEADER, call.request_id.encode('ascii')))
    timeout = httpx.Timeout(None, connect=CONNECT_TIMEOUT_S, read=idle_timeout_s)
    return httpx.Request(
        call.method,
        url,
        headers=headers,
        content=call.body,
        extensions={
            'trace': trace,
            'timeout': timeout.as_dict(),
            # Sent instead of the path of the URL, which httpx would normalize.
            'target': url.raw_path.rstrip(b'/') + call.path.encode('ascii'),
        },
    )


def _convert_error(error: Exception, base_url: str, *, is_sent: bool) -> UpstreamError:
    if not is_sent:
        return NotSent(f'no connection: {_describe(error)}', step='connect', peer=base_url)
    is_timeout = isinstance(error, httpx.TimeoutException)
    return SentUnknown(
        f'no answer: {_describe(error)}',
        cause=LossCause.TIMED_OUT if is_timeout else LossCause.LOST,
        step='receive_head',
        peer=base_url,
    )


def _describe(error: Exception) -> str:
    return f'{type(error).__name__}: {error}' if str(error) else type(error).__name__
