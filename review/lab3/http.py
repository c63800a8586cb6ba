"""Small HTTP/1.1 for the stand-ins: requests, answers and a client, over asyncio streams."""

import asyncio
import contextlib
import json
import socket
import struct

RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Request:
    """A request that a stand-in has read whole."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, self.query = target.partition('?')


async def read_head(reader):
    """Return the first line and the headers (names in lower case); None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines)
    return first, {name.strip().lower(): text.strip() for name, _, text in pairs}


async def read_body(reader, headers, *, until_end=False):
    """Return a body with a length or in chunks; with `until_end` it may end with the channel."""
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    if headers.get('transfer-encoding', '').lower() != 'chunked':
        return await reader.read() if until_end else b''
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body


async def read_request(reader):
    """Return the next request of a channel; None at its end."""
    found = await read_head(reader)
    if found is None:
        return None
    first, headers = found
    method, target, _ = first.split(' ')
    return Request(method, target, headers, await read_body(reader, headers))


def make_head(status, headers):
    """Return the head of an answer."""
    lines = [f'HTTP/1.1 {status} -', *(f'{name}: {text}' for name, text in headers.items())]
    return '\r\n'.join([*lines, '', '']).encode('latin-1')


def make_answer(status, body=b'', headers=None):
    """Return an answer with a length."""
    return make_head(status, {**(headers or {}), 'Content-Length': len(body)}) + body


def make_json(status, document, headers=None):
    """Return an answer with a JSON document."""
    named = {'Content-Type': 'application/json', **(headers or {})}
    return make_answer(status, json.dumps(document).encode(), named)


def reset(writer):
    """Close a channel with a reset."""
    with contextlib.suppress(OSError):
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
    writer.transport.abort()


class Channel:
    """A channel of a client, which is used for one request after the other."""

    def __init__(self, address):
        self.address, self.reader, self.writer = address, None, None

    async def send(self, method, target, headers, body=b'', limit_s=2.0):
        """Return status, headers and body of the answer; None without a whole one in time."""
        try:
            async with asyncio.timeout(limit_s):
                if self.writer is None:
                    host, _, port = self.address.rpartition(':')
                    self.reader, self.writer = await asyncio.open_connection(host, int(port))
                lines = [f'{method} {target} HTTP/1.1']
                named = {**headers, 'Content-Length': len(body)} if method != 'GET' else headers
                lines += [f'{name}: {text}' for name, text in named.items()]
                self.writer.write('\r\n'.join([*lines, '', '']).encode() + body)
                found = await read_head(self.reader)
                if found is None:
                    raise ConnectionError('no answer')
                first, answered = found
                content = await read_body(self.reader, answered, until_end=True)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return None
        if answered.get('connection', '').lower() == 'close':
            self.close()
        return int(first.split(' ')[1]), answered, content

    def close(self):
        """Close the channel; the next request opens a new one."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
