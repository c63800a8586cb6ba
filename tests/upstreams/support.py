"""Calls and raw servers that the tests of the upstreams share."""

import asyncio
import json
from contextlib import asynccontextmanager

import anyio
import anyio.lowlevel

from camphorpath.upstreams import Call, open_call, read_whole

MAX_BYTES = 1 << 20
GUARD_S = 20


def run(test):
    """Run an async test; one that hangs fails after GUARD_S."""

    async def guarded():
        with anyio.fail_after(GUARD_S):
            await test()

    anyio.run(guarded)


def make_call(found=None, *, path='/v1/completions', method='POST', headers=(), request_id='r1'):
    body = b'' if found is None else json.dumps(found).encode()
    return Call(method, path, list(headers), body, request_id, 10)


async def ask(client, url, call, on_sent=lambda: None, **options):
    async with open_call(client, url, call, on_sent, **options) as answer:
        return answer, await read_whole(answer, MAX_BYTES)


async def wait_for(check):
    """Return when `check` holds."""
    while not check():
        await anyio.lowlevel.checkpoint()


async def read_head(reader):
    """Return the head of a request and the bytes of its body."""
    head = await reader.readuntil(b'\r\n\r\n')
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            await reader.readexactly(int(line.partition(b':')[2]))
    return head


@asynccontextmanager
async def serve_raw(*answers):
    """Serve fixed bytes, one item for each connection, and close; yield the URL and the heads."""
    left = list(answers)
    heads = []

    async def accept(reader, writer):
        heads.append(await read_head(reader))
        writer.write(left.pop(0))
        writer.close()

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    async with server:
        yield f'http://127.0.0.1:{server.sockets[0].getsockname()[1]}', heads
