"""HTTP server for callers."""

import asyncio
import socket

import anyio
import anyio.abc
from h11 import ERROR
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.events import Closed
from hypercorn.events import Event as ServerEvent
from hypercorn.utils import wrap_app

from ..errors import UserError
from ..events import Event
from .application import make_application
from .context import CallContext

LISTEN_BACKLOG = 512
MS_PER_S = 1000
# Time that slow callers have at a planned stop to read the rest of their answers.
FLUSH_TIMEOUT_S = 60.0
ABORT_TIMEOUT_S = 1.0


def open_listener(address: str, stall_timeout_s: float) -> socket.socket:
    """Return a socket that listens for callers; raise UserError if the address cannot be used.

    The kernel closes the connection of a caller that reads nothing for `stall_timeout_s` seconds
    while data waits for it. Otherwise such a caller would block its request, and a planned stop,
    for ever.
    """
    host, _, port = address.rpartition(':')
    host = host.strip('[]')
    listener = socket.socket(socket.AF_INET6 if ':' in host else socket.AF_INET)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    stall_timeout_ms = round(stall_timeout_s * MS_PER_S)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, stall_timeout_ms)
    try:
        listener.bind((host, int(port)))
    except OSError as error:
        listener.close()
        raise UserError(f'cannot listen on {address}: {error.strerror}', step='listen') from error
    listener.listen(LISTEN_BACKLOG)
    return listener


async def serve_callers(
    context: CallContext,
    listener: socket.socket,
    closing: anyio.Event,
    *,
    task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve callers until `closing` is set, then send the rest of the answers.

    Connections that are still open after FLUSH_TIMEOUT_S are aborted.
    """
    config = _make_config(context)
    worker = WorkerContext(None)
    application = wrap_app(make_application(context), config.wsgi_max_body_size, 'asgi')
    loop = asyncio.get_running_loop()
    connections: dict[asyncio.Task, asyncio.StreamWriter] = {}

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        connections[task] = writer
        try:
            await _Connection(context, application, loop, config, worker, {}, reader, writer)
        except asyncio.CancelledError:
            # asyncio would log a cancelled connection task as an error.
            return
        except Exception as error:
            # An error on one connection must not end the daemon.
            context.events.emit(Event.BAD_REQUEST, problem=repr(error))
        finally:
            connections.pop(task)
            writer.transport.abort()

    server = await asyncio.start_server(accept, sock=listener, backlog=LISTEN_BACKLOG)
    task_status.started()
    try:
        await closing.wait()
        server.close()
        await worker.terminated.set()
        if connections:
            await asyncio.wait(list(connections), timeout=FLUSH_TIMEOUT_S)
    finally:
        server.close()
        with anyio.CancelScope(shield=True):
            await _abort_connections(connections)


async def _abort_connections(connections: dict[asyncio.Task, asyncio.StreamWriter]) -> None:
    for task, writer in list(connections.items()):
        writer.transport.abort()
        task.cancel()
    if connections:
        await asyncio.wait(list(connections), timeout=ABORT_TIMEOUT_S)


def _make_config(context: CallContext) -> Config:
    config = Config()
    config.accesslog = None
    config.errorlog = None
    config.loglevel = 'CRITICAL'
    # Also limits the time to the first complete request headers on a connection.
    config.keep_alive_timeout = context.settings.limits.read_timeout
    config.h11_max_incomplete_size = context.settings.limits.max_head
    return config


class _Connection(TCPServer):
    """One connection; reports malformed input that never reaches the application."""

    def __init__(self, context: CallContext, application, *details: object) -> None:
        super().__init__(self._count_request, *details)
        self._context = context
        self._application = application
        self._requests = 0
        self._is_closed = False

    async def run(self) -> None:
        try:
            await super().run()
        finally:
            self._mark_closed(is_bad=not self._requests)

    async def protocol_send(self, event: ServerEvent) -> None:
        if isinstance(event, Closed):
            connection = getattr(self.protocol.protocol, 'connection', None)
            self._mark_closed(is_bad=getattr(connection, 'their_state', None) is ERROR)
        await super().protocol_send(event)

    async def _count_request(self, *details) -> None:
        self._requests += 1
        await self._application(*details)

    def _mark_closed(self, *, is_bad: bool) -> None:
        if is_bad and not self._is_closed:
            caller = (self.writer.get_extra_info('peername') or ('',))[0]
            problem = 'malformed or incomplete request'
            self._context.events.emit(Event.BAD_REQUEST, caller=caller, problem=problem)
        self._is_closed = True
