"""Serving of an ASGI application on loopback with hypercorn."""

import contextlib
import socket
from collections.abc import AsyncIterator

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

HOST = '127.0.0.1'
BACKLOG = 1024
# Connections that are still busy when the server stops are cut after this time.
STOP_LIMIT_S = 0.2


@contextlib.asynccontextmanager
async def serve_app(app, port: int = 0) -> AsyncIterator[int]:
    """Serve the application on loopback and yield its port; a port of 0 is chosen by the system.

    The port accepts connections when it is yielded and refuses them after the exit.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen(BACKLOG)
    bound_port = listener.getsockname()[1]
    config = Config()
    # hypercorn takes over the descriptor and closes it.
    config.bind = [f'fd://{listener.detach()}']
    config.errorlog = None
    config.graceful_timeout = STOP_LIMIT_S
    stopping = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_serve, app, config, stopping)
        try:
            yield bound_port
        finally:
            stopping.set()


async def _serve(app, config: Config, stopping: anyio.Event) -> None:
    await serve(app, config, shutdown_trigger=stopping.wait, mode='asgi')
