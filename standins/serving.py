"""Serves a stand-in on a loopback port, in a script or inside a test."""

import argparse
import asyncio
import json
import signal
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any
from urllib.parse import parse_qsl

import anyio
import attrs
from anyio.lowlevel import checkpoint, checkpoint_if_cancelled
from h11 import LocalProtocolError
from hypercorn.asyncio import serve as serve_asgi
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.utils import wrap_app

HOST = '127.0.0.1'
BACKLOG = 1024
# Connections that are still busy after this time when the server stops are cut.
STOP_TIMEOUT_S = 0.2
JSON_TYPE = (b'content-type', b'application/json')

Headers = list[tuple[bytes, bytes]]


@attrs.define
class Server:
    """The server of a stand-in and its open connections by client address."""

    url: str = ''
    _connections: dict[tuple[str, int], tuple[asyncio.Task, asyncio.StreamWriter]] = attrs.field(
        factory=dict
    )

    def cut(self, client: tuple[str, int]) -> None:
        """Cut the connection of one client without ending the answer."""
        connection = self._connections.get(client)
        if connection is not None:
            connection[1].transport.abort()

    def abort_connections(self) -> None:
        """Cut all connections."""
        for client in tuple(self._connections):
            self.cut(client)

    async def close_connections(self) -> None:
        """Cut all connections, cancel their tasks, and return when these have ended."""
        tasks = [task for task, _ in self._connections.values()]
        self.abort_connections()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)


@attrs.define
class Exchange:
    """One HTTP request and the methods to answer it."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    server: Server
    _client: tuple[str, int]
    _receive: Callable[[], Awaitable[dict[str, Any]]]
    _send: Callable[[dict[str, Any]], Awaitable[None]]

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""
        await self._send({'type': 'http.response.start', 'status': status, 'headers': headers})

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body."""
        # A task that never waits, as with a stream whose next event is always available, would not
        # receive a cancellation otherwise.
        await checkpoint_if_cancelled()
        await self._send({'type': 'http.response.body', 'body': chunk, 'more_body': True})

    async def finish(self) -> None:
        """End the body properly."""
        await self._send({'type': 'http.response.body', 'body': b'', 'more_body': False})

    async def reply(self, status: int, document: Any) -> None:
        """Answer with a JSON document."""
        body = json.dumps(document).encode()
        await self.start(status, [JSON_TYPE, (b'content-length', str(len(body)).encode())])
        await self.write(body)
        await self.finish()

    def cut(self) -> None:
        """Cut the connection of this request."""
        self.server.cut(self._client)

    async def wait_disconnected(self) -> None:
        """Return when the client has closed the connection."""
        while (await self._receive())['type'] != 'http.disconnect':
            await checkpoint()

    def read_json(self) -> Any:
        """Return the body parsed as JSON, or None if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None


Handle = Callable[[Exchange], Awaitable[None]]


@asynccontextmanager
async def serve(handle: Handle, port: int = 0) -> AsyncIterator[Server]:
    """Serve on a loopback port (0: any free one) until the context is left."""
    config = Config()
    config.include_server_header = False
    config.errorlog = None
    context = WorkerContext(None)
    server = Server()
    app = wrap_app(_make_app(handle, server), config.wsgi_max_body_size, 'asgi')
    loop = asyncio.get_running_loop()

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        client = writer.get_extra_info('peername')[:2]
        server._connections[client] = (asyncio.current_task(), writer)
        try:
            await TCPServer(app, loop, config, context, {}, reader, writer)
        except* (asyncio.CancelledError, LocalProtocolError):
            # The connection was cut during an answer, by a fault or at the end of a test.
            writer.transport.abort()
        finally:
            server._connections.pop(client, None)

    listener = await asyncio.start_server(accept, HOST, port, backlog=BACKLOG)
    server.url = f'http://{HOST}:{listener.sockets[0].getsockname()[1]}'
    try:
        yield server
    finally:
        with anyio.CancelScope(shield=True):
            await _stop(listener, server, context)


async def _stop(listener: asyncio.Server, server: Server, context: WorkerContext) -> None:
    listener.close()
    await context.terminated.set()
    await server.close_connections()


def make_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options common to all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--journal', default='', help='file to which executions are appended')
    return parser


async def run_script(standin_context: Any) -> None:
    """Enter the context of a stand-in, print its port, and serve until SIGTERM or SIGINT."""
    async with standin_context as standin:
        port = standin.server.url.rpartition(':')[2]
        # The parent process may send SIGTERM as soon as it has read the line.
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            sys.stdout.write(f'ready {port}\n')
            sys.stdout.flush()
            await anext(signals)


def _make_app(handle: Handle, server: Server) -> Callable[..., Awaitable[None]]:
    async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
        body = b''
        has_more = True
        while has_more:
            message = await receive()
            if message['type'] == 'http.disconnect':
                return
            body += message['body']
            has_more = message['more_body']
        exchange = Exchange(
            scope['method'],
            scope['path'],
            dict(parse_qsl(scope['query_string'].decode())),
            {name.decode(): text.decode('latin-1') for name, text in scope['headers']},
            body,
            server,
            tuple(scope['client']),
            receive,
            send,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_when_disconnected, exchange, group.cancel_scope)
            await handle(exchange)
            group.cancel_scope.cancel()

    return app


async def _cancel_when_disconnected(exchange: Exchange, scope: anyio.CancelScope) -> None:
    await exchange.wait_disconnected()
    scope.cancel()


@asynccontextmanager
async def serve_app(app: Any, port: int = 0) -> AsyncIterator[int]:
    """Serve an ASGI application on loopback and yield its port (0: any free one).

    The port accepts connections as soon as it is yielded and refuses them after the exit.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen(BACKLOG)
    bound_port = listener.getsockname()[1]
    config = Config()
    # hypercorn takes over the file descriptor and closes it.
    config.bind = [f'fd://{listener.detach()}']
    config.errorlog = None
    config.graceful_timeout = STOP_TIMEOUT_S
    stopping = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(_serve_until, app, config, stopping)
        try:
            yield bound_port
        finally:
            stopping.set()


async def _serve_until(app: Any, config: Config, stopping: anyio.Event) -> None:
    await serve_asgi(app, config, shutdown_trigger=stopping.wait, mode='asgi')
