import asyncio
import contextlib
import random

import anyio

from .support import make_answer, make_request, open_relay, open_upstream, read_answer, run

INPUTS = 80
LIMIT_S = 0.03


def make_inputs():
    """Return requests with changed, doubled, missing and random bytes."""
    generator = random.Random(7)
    for _ in range(INPUTS):
        found = bytearray(make_request(body=b'abc', method=b'POST'))
        for _ in range(generator.randint(1, 6)):
            at = generator.randrange(len(found))
            kind = generator.randrange(4)
            if kind == 0:
                found[at] = generator.randrange(256)
            elif kind == 1:
                found[at:at] = generator.randbytes(generator.randint(1, 30))
            elif kind == 2:
                del found[at : at + generator.randint(1, 30)]
            else:
                found[at:at] = found[at : at + 20]
            found = found or bytearray(b'x')
        yield bytes(found)


def test_fuzzed_requests_cost_only_their_connection():
    """Guards against bytes of a caller that end the process or reach another caller."""

    async def answer(_upstream, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            while await reader.readuntil(b'\r\n\r\n'):
                writer.write(make_answer())

    async def test():
        async with open_upstream(answer) as upstream, open_relay(upstream) as (_context, port):
            for payload in make_inputs():
                await send_bytes(port, payload)
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(make_request())
            assert (await read_answer(reader))[0] == 200
            writer.close()

    run(test)


async def send_bytes(port, payload):
    """Send bytes, read what comes back within LIMIT_S, and leave."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    with contextlib.suppress(ConnectionError):
        writer.write(payload)
        with anyio.move_on_after(LIMIT_S):
            await reader.read()
    writer.close()
