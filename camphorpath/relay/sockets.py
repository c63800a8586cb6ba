"""Non-blocking TCP sockets without buffers in this process.

A relay must know whether any byte of a request was sent and whether an idle connection has unread
bytes, and must be able to reset a connection at once; buffered streams do not allow this.
"""

import contextlib
import fcntl
import select
import socket
import struct
import sys
import termios
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from ..errors import UserError
from ..turns import Turn, get_cost

READ_BYTES = 65536
BACKLOG = 512
# TCP keep-alive ends the connection to a peer that does not answer after about this time; the
# deployment allows 3 s to detect a lost contact.
PEER_TIMEOUT_S = 3
KEEPALIVE_INTERVAL_S = 1
MS_PER_S = 1000
# Value of SO_LINGER that makes close() send a reset.
LINGER_RESET = struct.pack('ii', 1, 0)
# Size of the C type int, in which the kernel counts queued bytes.
INT_BYTES = struct.calcsize('i')
LINGER_OFF = struct.pack('ii', 0, 0)
ACCEPT_RETRY_DELAY_S = 0.05
# Polling interval for a close by the peer behind unread input: work for a caller that left must end
# within half a second.
CLOSE_POLL_INTERVAL_S = 0.1


class Connection:
    """One TCP connection."""

    def __init__(self, sock: socket.socket) -> None:
        """Take ownership of a connected socket and enable TCP keep-alive."""
        self._sock = sock
        self.is_closed = False
        self.turn = Turn()
        # The kernel reports a reset once, also to a peek; what is read after it looks like the end.
        self._error: OSError | None = None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PEER_TIMEOUT_S - 1)

    async def receive(self) -> bytes:
        """Return the next bytes, or b'' at the end; raise OSError if the connection was lost.

        Other tasks run in between if there is always input. No bytes are lost if it is cancelled.
        """
        await self.turn.end_if_over()
        if self._error is not None:
            raise self._error
        while True:
            with contextlib.suppress(BlockingIOError):
                received = self._sock.recv(READ_BYTES)
                self.turn.add_work(len(received))
                return received
            await self._wait(anyio.wait_readable)

    def try_send(self, payload: bytes | memoryview, flags: int = 0) -> int:
        """Send without waiting and return the number of bytes sent; raise OSError."""
        try:
            return self._sock.send(payload, flags)
        except BlockingIOError:
            return 0

    async def send_all(self, payload: bytes) -> None:
        """Send all bytes; raise OSError if the connection was lost."""
        rest = memoryview(payload)
        while rest:
            sent = self.try_send(rest)
            rest = rest[sent:]
            if rest:
                await self._wait(anyio.wait_writable)

    async def wait_for_input(self) -> None:
        """Return when input, its end or an error is pending; raise OSError if closed here."""
        await self._wait(anyio.wait_readable)

    async def wait_writable(self) -> None:
        """Return when bytes can be sent; raise OSError if closed here."""
        await self._wait(anyio.wait_writable)

    async def wait_readable_or_writable(self) -> None:
        """Return when the connection is readable or writable."""
        async with anyio.create_task_group() as group:
            for wait in (anyio.wait_readable, anyio.wait_writable):
                group.start_soon(self._wait_and_cancel, wait, group.cancel_scope)

    async def wait_peer_closed(self) -> None:
        """Return when the peer has closed or reset the connection; leave its input unread.

        The event loop can only wait until a socket is readable or writable, and unread input keeps
        it readable. So poll() is called for the hang-up at an interval; a separate epoll would take
        a file descriptor.
        """
        closing = select.poll()
        # poll() always reports errors and resets.
        closing.register(self._sock, select.POLLRDHUP)
        while not self.is_closed and not closing.poll(0):  # noqa: ASYNC110  there is no event
            await anyio.sleep(CLOSE_POLL_INTERVAL_S)

    def has_input(self) -> bool:
        """Return whether unread bytes, the end of input or an error are pending."""
        return self._peek() is not None

    def has_unread_bytes(self) -> bool:
        """Return whether unread bytes are pending; false at the end of input and after an error."""
        return bool(self._peek())

    def count_unacknowledged(self) -> int:
        """Return the bytes that the kernel holds until the peer acknowledges them.

        Raises OSError if the connection was closed here.
        """
        if self.is_closed:
            raise ConnectionAbortedError('socket closed by this process')
        queued = fcntl.ioctl(self._sock, termios.TIOCOUTQ, bytes(INT_BYTES))
        return int.from_bytes(queued, sys.byteorder)

    def limit_unsent(self, size: int) -> None:
        """Let the kernel take no further bytes while more than `size` bytes wait to be sent."""
        # A connection that is lost raises the error when it is used.
        with contextlib.suppress(OSError):
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, size)

    def close(self, *, reset: bool = False) -> None:
        """Close the connection; with `reset`, the peer sees an error instead of an orderly end."""
        if self.is_closed:
            return
        self.is_closed = True
        with contextlib.suppress(OSError):
            anyio.notify_closing(self._sock)
        if reset:
            with contextlib.suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self._sock.close()

    def set_reset_on_exit(self, *, is_set: bool) -> None:
        """Choose whether the kernel resets the connection if this process is killed.

        Otherwise the peer sees an orderly end.
        """
        option = LINGER_RESET if is_set else LINGER_OFF
        # A connection that is lost raises the error when it is used.
        with contextlib.suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    def finish_sending(self) -> None:
        """Shut down the sending side, so that the peer sees the end of input."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def _peek(self) -> bytes | None:
        """Return a pending byte, b'' at the end or after an error, or None if nothing is pending.

        An error is kept for `receive`.
        """
        try:
            return self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError as error:
            self._error = error
            return b''

    async def _wait_and_cancel(
        self, wait: Callable[[socket.socket], Awaitable[None]], scope: anyio.CancelScope
    ) -> None:
        await self._wait(wait)
        scope.cancel()

    async def _wait(self, wait: Callable[[socket.socket], Awaitable[None]]) -> None:
        try:
            await wait(self._sock)
        except (anyio.ClosedResourceError, ValueError) as error:
            # Another task has closed the socket.
            raise ConnectionAbortedError('socket closed by this process') from error
        self.turn.restart()


async def open_connection(host: str, port: int, timeout_s: float) -> Connection:
    """Return a new connection; raise OSError, or TimeoutError after `timeout_s` seconds."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        with anyio.fail_after(timeout_s):
            with contextlib.suppress(BlockingIOError):
                sock.connect((host, port))
            await anyio.wait_writable(sock)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, f'connect to {host}:{port}')
            return Connection(sock)
    except BaseException:
        sock.close()
        raise


def open_listener(address: str) -> socket.socket:
    """Return a listening socket; raise UserError if the address cannot be used."""
    host, _, port = address.rpartition(':')
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, int(port)))
    except OSError as error:
        listener.close()
        raise UserError(f'cannot listen on {address}: {error.strerror}', step='listen') from error
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


async def accept_connections(
    listener: socket.socket,
    serve: Callable[[Connection], Awaitable[None]],
    group: anyio.abc.TaskGroup,
    on_error: Callable[[OSError], None],
) -> None:
    """Run `serve` in a task for each connection until the listener is closed."""
    turn = Turn()
    while True:
        try:
            await anyio.wait_readable(listener)
        except (anyio.ClosedResourceError, ValueError):
            return
        while True:
            try:
                connection = _accept(listener)
            except BlockingIOError:
                break
            except OSError as error:
                on_error(error)
                # For example out of file descriptors until other connections close.
                await anyio.sleep(ACCEPT_RETRY_DELAY_S)
                break
            group.start_soon(serve, connection)
            turn.add_work(get_cost())
            await turn.end_if_over()


def _accept(listener: socket.socket) -> Connection:
    sock, _peer = listener.accept()
    try:
        return Connection(sock)
    except OSError:
        # Lost since it was accepted.
        sock.close()
        raise
