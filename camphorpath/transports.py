"""Helpers for HTTP clients that connect without TLS."""

import ssl
from collections.abc import Sequence

import anyio
import attrs
import httpx

from .clocks import read_lease_clock
from .turns import Turn, get_cost

SocketOption = tuple[int, int, int]

# The time limit of an answer allows for this transfer rate: a tenth of the slowest link in use,
# 5 Mbit/s, which calls share.
MIN_RATE_BYTES_PER_S = 65536.0
# Longer than any manifest and any listing of a peer, of which a daemon reads one at a time;
# deflated content of a broken peer may inflate to more.
MAX_CONTENT_BYTES = 16777216


class ContentTooLarge(httpx.DecodingError):
    """The content of an answer exceeds the limit of its reader."""


@attrs.frozen
class CompleteAnswer:
    """The status, the headers and the complete content of an answer."""

    status: int
    headers: httpx.Headers
    content: bytes
    # When the head arrived, on the lease clock. The content may be outdated when its end arrives.
    answered_at: float


async def fetch_complete(
    client: httpx.AsyncClient,
    request: httpx.Request,
    read_timeout_s: float,
    max_bytes: int = MAX_CONTENT_BYTES,
) -> CompleteAnswer:
    """Return the answer to a request; the request sets the time limit for each chunk.

    Other tasks run in between, however short the chunks are. Raises the errors of httpx,
    ContentTooLarge if the chunks cost more than `max_bytes`, and TimeoutError if the whole answer
    takes longer than `read_timeout_s` seconds plus the time for its length at MIN_RATE_BYTES_PER_S.
    """
    content = bytearray()
    cost = 0
    received_bytes = 0
    turn = Turn()
    with anyio.fail_after(read_timeout_s) as scope:
        response = await client.send(request, stream=True)
        try:
            answered_at = read_lease_clock()
            async for chunk in response.aiter_bytes():
                cost += get_cost(chunk)
                # Before others run: a chunk may have inflated to much more than was received.
                if cost > max_bytes:
                    message = f'the answer exceeds {max_bytes} bytes'
                    raise ContentTooLarge(message, request=request)
                await turn.end_if_over()
                turn.add_work(get_cost(chunk))
                content += chunk
                # Deflated content takes less time on the link than its length says.
                scope.deadline += (
                    response.num_bytes_downloaded - received_bytes
                ) / MIN_RATE_BYTES_PER_S
                received_bytes = response.num_bytes_downloaded
            return CompleteAnswer(
                response.status_code, response.headers, bytes(content), answered_at
            )
        finally:
            # The traceback of an error refers to this frame and may be kept for long.
            content.clear()
            chunk = b''
            await response.aclose()


def make_plain_transport(socket_options: Sequence[SocketOption] = ()) -> httpx.AsyncHTTPTransport:
    """Return a transport that trusts no certificate, so that calls over TLS fail.

    By default httpx loads the certificates of all authorities for each client, which takes more
    processor time than everything else in the start of an edge daemon.
    """
    empty_context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    return httpx.AsyncHTTPTransport(verify=empty_context, socket_options=socket_options)
