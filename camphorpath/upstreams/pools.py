"""Connections to upstreams."""

import time
from collections.abc import AsyncIterator, Callable

import attrs
import httpx

# Below the 5 s after which common servers close an idle connection, so that a request is seldom
# written to a connection that the server is about to close.
KEEPALIVE_EXPIRY_S = 4.0
MAX_IDLE_CONNECTIONS = 1000


@attrs.define(eq=False)
class _Pool:
    """The connections to one origin, and how many answers from it are open."""

    transport: httpx.AsyncHTTPTransport
    clock: Callable[[], float]
    open_answers: int = 0
    used_at: float = 0

    def enter(self) -> None:
        """Count one more open answer."""
        self.open_answers += 1

    def leave(self) -> None:
        """Count one open answer less."""
        self.open_answers -= 1
        self.used_at = self.clock()


@attrs.define(eq=False)
class _PooledStream(httpx.AsyncByteStream):
    """The body of an answer; closing it ends the use of its pool."""

    _stream: httpx.AsyncByteStream
    _pool: _Pool
    _is_open: bool = True

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the iterator of the stream itself, so that a chunk costs nothing more."""
        return self._stream.__aiter__()

    async def aclose(self) -> None:
        """Give the connection back."""
        if self._is_open:
            self._is_open = False
            self._pool.leave()
        await self._stream.aclose()


class OriginTransport(httpx.AsyncBaseTransport):
    """A connection pool for each origin.

    The pool of httpcore looks at all its connections at the start and the end of each request, and
    for each idle one at all others. With one pool for all upstreams that took a quarter of the time
    of a load poll.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Begin without connections; `clock` is replaced in tests."""
        self._clock = clock
        self._pools: dict[tuple[str, str, int | None], _Pool] = {}
        self._ssl_context = httpx.create_ssl_context(trust_env=False)
        self._limits = httpx.Limits(
            max_connections=None,
            max_keepalive_connections=MAX_IDLE_CONNECTIONS,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
        )

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request on a connection to its origin."""
        origin = (request.url.scheme, request.url.host, request.url.port)
        is_new = origin not in self._pools
        if is_new:
            transport = httpx.AsyncHTTPTransport(
                verify=self._ssl_context, trust_env=False, limits=self._limits
            )
            self._pools[origin] = _Pool(transport, self._clock)
        pool = self._pools[origin]
        pool.enter()
        try:
            if is_new:
                await self._close_unused()
            response = await pool.transport.handle_async_request(request)
        except BaseException:
            pool.leave()
            raise
        response.stream = _PooledStream(response.stream, pool)
        return response

    async def aclose(self) -> None:
        """Close all connections."""
        while self._pools:
            _, pool = self._pools.popitem()
            await pool.transport.aclose()

    async def _close_unused(self) -> None:
        """Close the pools of origins that are no longer called, such as removed upstreams."""
        limit = self._clock() - KEEPALIVE_EXPIRY_S
        unused = [
            origin
            for origin, pool in self._pools.items()
            if not pool.open_answers and pool.used_at < limit
        ]
        closing = [self._pools.pop(origin) for origin in unused]
        for pool in closing:
            await pool.transport.aclose()
