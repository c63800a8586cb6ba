"""Forwarders between a daemon and its peers or the store, which may be cut."""

import asyncio
import contextlib
import socket

import attrs

from .messages import reset


@attrs.define(eq=False)
class ConnectionLink:
    """Forwards TCP connections; a connection that meets a cut stays silent, also after it."""

    listen: tuple[str, int]
    target: tuple[str, int]
    is_cut: bool = False
    _server: object = None
    _closed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _silent: set = attrs.field(factory=set)
    _writers: set = attrs.field(factory=set)

    async def open(self):
        self._server = await asyncio.start_server(self._forward, *self.listen)

    def close(self):
        self._server.close()
        self._closed.set()
        for writer in list(self._writers):
            reset(writer)

    def cut(self):
        self.is_cut = True
        self._silent.update(self._writers)

    def heal(self):
        self.is_cut = False

    async def _forward(self, reader, writer):
        self._writers.add(writer)
        try:
            if self.is_cut:
                await self._closed.wait()
                return
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset(writer)
            self._writers.discard(writer)
            return
        self._writers.add(far_writer)
        try:
            await asyncio.gather(
                self._copy(reader, writer, far_writer), self._copy(far_reader, far_writer, writer)
            )
        finally:
            self._writers -= {writer, far_writer}
            self._silent -= {writer, far_writer}
            writer.close()
            far_writer.close()

    async def _copy(self, reader, near, far):
        try:
            while chunk := await reader.read(65536):
                if near in self._silent or far in self._silent:
                    continue
                far.write(chunk)
                await far.drain()
        except OSError:
            reset(far)
            return
        if near in self._silent or far in self._silent:
            return
        with contextlib.suppress(OSError):
            far.write_eof()


@attrs.define(eq=False)
class DatagramLink(asyncio.DatagramProtocol):
    """Forwards datagrams; while it is cut, they are lost."""

    target: tuple[str, int]
    is_cut: bool = False
    _socket: socket.socket = attrs.field(
        factory=lambda: socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    )

    def __attrs_post_init__(self):
        self._socket.setblocking(False)

    def connection_made(self, transport):
        """Keep the transport open; there is nothing to prepare."""

    def datagram_received(self, data, addr):
        if not self.is_cut:
            with contextlib.suppress(OSError):
                self._socket.sendto(data, self.target)

    def cut(self):
        self.is_cut = True

    def heal(self):
        self.is_cut = False

    def close(self):
        self._socket.close()
