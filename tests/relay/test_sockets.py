import socket

import anyio
import pytest

from camphorpath.relay import sockets
from camphorpath.relay.sockets import (
    Connection,
    accept_connections,
    open_connection,
    open_listener,
)
from camphorpath.turns import Turn

from .support import run, wait_for


def test_close_wakes_a_waiting_receive():
    """Guards against an unexpected exception when a stop closes connections that receive."""

    async def test():
        left, right = socket.socketpair()
        connection = Connection.__new__(Connection)
        left.setblocking(False)
        connection._sock = left
        connection.is_closed = False
        connection.turn = Turn()
        connection._error = None

        async def receive():
            with pytest.raises(OSError):
                await connection.receive()

        async with anyio.create_task_group() as group:
            group.start_soon(receive)
            await anyio.sleep(0.01)
            connection.close()
        right.close()

    run(test)


@pytest.mark.parametrize('peek', [Connection.has_unread_bytes, Connection.has_input])
def test_reset_that_was_noticed_by_a_peek_is_not_read_as_the_end(peek):
    """Guards against a stream without a marked end that is reset and looks complete."""

    async def test():
        listener = socket.create_server(('127.0.0.1', 0))
        connection = await open_connection(*listener.getsockname(), 1)
        peer, _address = listener.accept()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, sockets.LINGER_RESET)
        peer.close()
        await connection.wait_for_input()
        peek(connection)
        with pytest.raises(ConnectionResetError):
            await connection.receive()
        connection.close()
        listener.close()

    run(test)


def test_refused_connection_fails_at_once():
    """Guards against waiting for an upstream without a listener."""

    async def test():
        listener = open_listener('127.0.0.1:0')
        port = listener.getsockname()[1]
        listener.close()
        with pytest.raises(ConnectionRefusedError):
            await open_connection('127.0.0.1', port, 1)

    run(test)


def test_connection_that_is_lost_when_it_is_accepted_does_not_end_the_listener(monkeypatch):
    """Guards against a caller that leaves at once and ends the daemon."""
    failures = [OSError(22, 'Invalid argument')]
    errors = []
    served = []

    class LostConnection(Connection):
        def __init__(self, sock):
            if failures:
                raise failures.pop()
            super().__init__(sock)

    async def serve(connection):
        served.append(connection)
        connection.close()

    async def test():
        monkeypatch.setattr(sockets, 'Connection', LostConnection)
        listener = open_listener('127.0.0.1:0')
        async with anyio.create_task_group() as group:
            group.start_soon(accept_connections, listener, serve, group, errors.append)
            for _ in range(2):
                caller = await open_connection_plain(listener)
                caller.close()
            await wait_for(lambda: served)
            group.cancel_scope.cancel()
        listener.close()

    run(test)
    assert len(errors) == 1


async def open_connection_plain(listener):
    """Connect a plain socket to a listener, and wait until it is closed."""
    sock = socket.socket()
    sock.connect(listener.getsockname())
    sock.setblocking(False)
    await anyio.wait_readable(sock)
    return sock
