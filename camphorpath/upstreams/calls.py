"""One call to one upstream, with exact knowledge of whether any of it was sent."""

import http.cookiejar
import re
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import attrs
import httpx

from ..errors import AnswerTooLarge, LossCause, NotSent, SentUnknown, Truncated, UpstreamError
from .headers import REQUEST_ID_HEADER, select_answer_headers, select_request_headers
from .pools import OriginTransport

CONNECT_TIMEOUT_S = 1.0
SEND_STARTED = 'http11.send_request_headers.started'
TARGET = re.compile('/[!-~]*')
BODILESS_STATUSES = frozenset((httpx.codes.NO_CONTENT, httpx.codes.NOT_MODIFIED))
TAIL_BYTES = 64
DONE_EVENT = re.compile(rb'(?:\A|[\r\n])data: ?\[DONE\](?:\r\n|\n|\r){2,4}\Z')

Trace = Callable[[str, dict[str, Any]], Awaitable[None]]


@attrs.frozen
class Call:
    """One request to an upstream; `path` is the raw request target with its query.

    `request_id` is empty for calls to the control side. `timeout_s` is the time to the complete
    answer, which the caller of `open_call` enforces.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    request_id: str
    timeout_s: float


@attrs.define
class _Progress:
    """Whether any byte of a request may have left, and what `on_sent` raised."""

    on_sent: Callable[[], None]
    is_sent: bool = False
    objection: Exception | None = None

    async def trace(self, name: str, _details: dict[str, Any]) -> None:
        """Call `on_sent` before the first byte; httpcore sends nothing when this raises."""
        if name != SEND_STARTED or self.is_sent:
            return
        try:
            self.on_sent()
        except Exception as error:
            self.objection = error
            raise
        self.is_sent = True


@attrs.define
class UpstreamAnswer:
    """The head of an answer and access to its raw body.

    `headers` has no hop-by-hop headers. The body can be read once, inside `open_call`.
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
        """Yield the raw bytes of the body; raise Truncated unless it ends properly.

        Dropping the iterator before its end closes the connection.
        """
        is_stream = self.is_stream
        tail = b''
        try:
            async for chunk in self._response.aiter_raw():
                if is_stream:
                    tail = (tail + chunk[-TAIL_BYTES:])[-TAIL_BYTES:]
                yield chunk
        except httpx.HTTPError as error:
            raise self._report(f'the answer broke off: {_describe(error)}') from error
        if not self._is_delimited():
            raise self._report('the answer has no length and ended with the connection')
        if is_stream and DONE_EVENT.search(tail) is None:
            raise self._report('the stream ended without its final event')

    def _is_delimited(self) -> bool:
        if self._response.request.method == 'HEAD' or self.status in BODILESS_STATUSES:
            return True
        headers = self._response.headers
        return 'content-length' in headers or 'transfer-encoding' in headers

    def _report(self, message: str) -> Truncated:
        return Truncated(message, step='receive_body', peer=self.peer)


def make_client() -> httpx.AsyncClient:
    """Return the client that all calls of a process share.

    It uses no proxy, netrc or cookie: nothing from one caller's answer enters another's request.
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
    on_sent: Callable[[], None],
    *,
    idle_timeout_s: float | None = None,
) -> AsyncIterator[UpstreamAnswer]:
    """Send a call once and yield its answer when the head has arrived.

    `on_sent` is called once, before the first byte may leave; if it raises, nothing is sent.
    `idle_timeout_s` limits each wait for bytes of the answer, the head included. Raises NotSent if
    provably no byte left, else SentUnknown. Leaving the context early closes the connection.
    """
    progress = _Progress(on_sent)
    try:
        response = await client.send(
            _build_request(base_url, call, idle_timeout_s, progress.trace),
            stream=True,
            auth=None,
            follow_redirects=False,
        )
    except Exception as error:
        if progress.objection is not None:
            raise progress.objection from None
        raise _explain(error, base_url, is_sent=progress.is_sent) from error
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
    """Return the whole body; raise AnswerTooLarge above `max_bytes`, or Truncated."""
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
    if TARGET.fullmatch(call.path) is None:
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
            # Replaces the path of the URL, which httpx would normalize.
            'target': url.raw_path.rstrip(b'/') + call.path.encode('ascii'),
        },
    )


def _explain(error: Exception, base_url: str, *, is_sent: bool) -> UpstreamError:
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
