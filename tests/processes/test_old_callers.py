"""Callers of HTTP/1.0, whose streams have no mark at their end."""

import asyncio

import pytest

from .fleet import open_fleet

pytestmark = pytest.mark.anyio

SETTLE_S = 2.0
REQUEST = (
    b'POST /draft/k/%d HTTP/1.0\r\nHost: a.example\r\nX-Attempt-Id: 00000000000000ab\r\n'
    b'X-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\n{}'
)


async def call(daemon, total):
    """Send a call for a stream of so many events; return its connection once it has begun."""
    host, _, port = daemon.address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(REQUEST % total)
    async with asyncio.timeout(5):
        head = await reader.readuntil(b'\r\n\r\n')
        first = await reader.readuntil(b'\n\n')
    assert b' 200 ' in head
    assert b'chunked' not in head.lower()
    return reader, writer, first


async def test_stream_of_a_killed_daemon_is_reset_for_a_caller_of_http_1_0():
    """Guards against a stream that looks complete, as the kernel ends the connection in order."""
    async with open_fleet(1) as fleet:
        await fleet.add_upstream('v1')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        reader, writer, _first = await call(fleet.daemons[0], 100)
        await fleet.daemons[0].kill()
        with pytest.raises(ConnectionResetError):
            async with asyncio.timeout(5):
                await reader.read(-1)
        writer.close()


async def test_whole_stream_ends_in_order_for_a_caller_of_http_1_0():
    """Guards against a reset after the last event, which would drop what was not read yet."""
    async with open_fleet(1) as fleet:
        await fleet.add_upstream('v1')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        reader, writer, first = await call(fleet.daemons[0], 10)
        # The daemon has closed the connection before the caller reads on.
        await asyncio.sleep(1.5)
        async with asyncio.timeout(5):
            body = first + await reader.read(-1)
        assert body.count(b'\n\n') == 10
        writer.close()
