"""Transports of HTTP clients that meet plain HTTP only."""

import ssl
from collections.abc import Sequence

import httpx

SocketOption = tuple[int, int, int]


def make_plain_transport(socket_options: Sequence[SocketOption] = ()) -> httpx.AsyncHTTPTransport:
    """Return a transport without certificates: a call to an address with TLS fails.

    httpx reads the certificates of all authorities for each client that it makes, which takes more
    processor time than all else that an edge daemon builds.
    """
    nobody_trusted = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    return httpx.AsyncHTTPTransport(verify=nobody_trusted, socket_options=socket_options)
