"""Connection pools for upstreams."""

import time
from collections.abc import AsyncIterator, Callable

import attrs
import httpx

# Common servers close idle connections after 5 s. A shorter time makes it unlikely that a request
# is written to a connection that the server is about to close.
KEEPALIVE_EXPIRY_S = 4.0
MAX_IDLE_CONNECTIONS = 1000


@attrs.define(eq=False)
class _Pool:
    """The connection pool of one origin, with the number of answers that are still open."""

    transport: httpx.AsyncHTTPTransport
    clock: Callable[[], float]
    open_answers: int = 0
    last_used_at: float = 0

    def count_opened(self) -> None:
        """Count an answer as open."""
        self.open_answers += 1

    def count_closed(self) -> None:
        """Count an answer as closed and update `last_used_at`."""
        self.open_answers -= 1
        self.last_used_at = self.clock()


@attrs.define(eq=False)
class _PooledStream(httpx.AsyncByteStream):
    """The body of an answer; closing it counts the answer as closed in its pool."""

    _stream: httpx.AsyncByteStream
    _pool: _Pool
    _is_open: bool = True

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the iterator of the wrapped stream, which avoids overhead per chunk."""
        return self._stream.__aiter__()

    async def aclose(self) -> None:
        """Return the connection to its pool."""
        if self._is_open:
            self._is_open = False
            self._pool.count_closed()
        await self._stream.aclose()


class OriginTransport(httpx.AsyncBaseTransport):
    """Transport with a separate connection pool for each origin.

    The pool of httpcore scans all its connections at the start and the end of each request, and for
    each idle one all others. With a single pool for all upstreams, a quarter of the time of a load
    poll went into these scans.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Create a transport without connections; tests pass another `clock`."""
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
        pool.count_opened()
        try:
            if is_new:
                await self._close_unused()
            response = await pool.transport.handle_async_request(request)
        except BaseException:
            pool.count_closed()
            raise
        response.stream = _PooledStream(response.stream, pool)
        return response

    async def aclose(self) -> None:
        """Close all connections."""
        while self._pools:
            _, pool = self._pools.popitem()
            await pool.transport.aclose()

    async def _close_unused(self) -> None:
        """Close the pools of origins that are no longer in use, such as removed upstreams."""
        expired_before = self._clock() - KEEPALIVE_EXPIRY_S
        unused = [
            origin
            for origin, pool in self._pools.items()
            if not pool.open_answers and pool.last_used_at < expired_before
        ]
        closing = [self._pools.pop(origin) for origin in unused]
        for pool in closing:
            await pool.transport.aclose()
