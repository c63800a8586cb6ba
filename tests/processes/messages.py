"""HTTP messages of the stand-ins, which must be able to break the protocol as well."""

import asyncio
import contextlib
import json
import socket
import struct

import attrs

# Discards unsent bytes and resets the connection when it is closed.
LINGER_OFF = struct.pack('ii', 1, 0)


@attrs.frozen
class Request:
    """A request that a stand-in received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self):
        return self.target.partition('?')[0]


async def read_request(reader):
    """Return the next request of a connection; None at its end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    method, target, _version = lines[0].split(' ')
    return Request(method, target, headers, await _read_body(reader, headers))


async def _read_body(reader, headers):
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    body = b''
    if headers.get('transfer-encoding', '').lower() != 'chunked':
        return body
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body


def make_head(status, headers):
    """Return the head of an answer."""
    lines = [f'HTTP/1.1 {status} -']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    return '\r\n'.join([*lines, '', '']).encode('latin-1')


def make_json_answer(status, document, **headers):
    body = json.dumps(document).encode()
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    named |= {'Content-Type': 'application/json', 'Content-Length': len(body)}
    return make_head(status, named) + body


async def fetch(address, target, *, limit_s=2.0):
    """Return the status and the body of the answer to a GET request; None without a whole one."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f'GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n'.encode())
            head = await reader.readuntil(b'\r\n\r\n')
            length = 0
            for line in head.lower().split(b'\r\n'):
                if line.startswith(b'content-length:'):
                    length = int(line.partition(b':')[2])
            return int(head.split()[1]), await reader.readexactly(length)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


def reset(writer):
    """Reset a connection, so that its peer gets an error instead of the end of the input."""
    connection = writer.get_extra_info('socket')
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
    writer.transport.abort()
