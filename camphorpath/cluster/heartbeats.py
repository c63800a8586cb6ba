"""Sends and receives heartbeats over UDP."""

import asyncio
import contextlib
import math
import socket
from collections.abc import Callable, Iterable

from google.protobuf.message import DecodeError

from ..addresses import is_ipv4_address
from ..schema import camphorpath_pb2 as pb

MAX_DATAGRAM_BYTES = 60000
# Datagrams that are read in one go before other tasks run.
BATCH_DATAGRAM_COUNT = 64
# Heartbeats with a longer interval are dropped; even fleets of thousands of daemons have shorter
# ones.
MAX_INTERVAL_S = 60.0


class HeartbeatSocket:
    """A UDP socket that sends heartbeats to hosts and passes received ones to a handler."""

    def __init__(self, host: str, port: int) -> None:
        """Bind the socket; all daemons use the same port."""
        self._port = port
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, port))

    def send(self, heartbeat: pb.EdgeHeartbeat, hosts: Iterable[str]) -> None:
        """Send a heartbeat to hosts; errors are ignored."""
        datagram = heartbeat.SerializeToString()
        for host in hosts:
            # The next heartbeat follows soon, and peers detect failures by missing heartbeats.
            with contextlib.suppress(OSError):
                self._socket.sendto(datagram[:MAX_DATAGRAM_BYTES], (host, self._port))

    async def receive(self, handle: Callable[[pb.EdgeHeartbeat], None]) -> None:
        """Pass heartbeats to `handle` until cancelled; invalid datagrams are dropped.

        Raises what `handle` raises.
        """
        loop = asyncio.get_running_loop()
        # Only ever completed by an exception.
        failure: asyncio.Future[None] = loop.create_future()

        def read() -> None:
            try:
                self._read_batch(handle)
            except Exception as error:
                loop.remove_reader(self._socket)
                failure.set_exception(error)

        # The reader stays registered: waiting anew for each datagram takes longer than handling it.
        loop.add_reader(self._socket, read)
        try:
            await failure
        finally:
            loop.remove_reader(self._socket)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _read_batch(self, handle: Callable[[pb.EdgeHeartbeat], None]) -> None:
        """Pass on the heartbeats that have arrived, at most one batch."""
        for _ in range(BATCH_DATAGRAM_COUNT):
            try:
                datagram = self._socket.recv(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            heartbeat = _decode(datagram)
            if heartbeat is not None:
                handle(heartbeat)


def _decode(datagram: bytes) -> pb.EdgeHeartbeat | None:
    """Return the heartbeat, or None if the datagram is malformed or has values out of range."""
    try:
        heartbeat = pb.EdgeHeartbeat.FromString(datagram)
    except DecodeError:
        return None
    if not (heartbeat.name and heartbeat.incarnation and is_ipv4_address(heartbeat.host)):
        return None
    numbers = [heartbeat.cores, heartbeat.interval, heartbeat.store_age, *heartbeat.used.values()]
    numbers.extend(heartbeat.quota_demand.values())
    numbers.extend(load.factor for load in heartbeat.loads)
    for load in heartbeat.loads:
        if load.HasField('rate_statement'):
            numbers.extend((load.rate_statement.per_s, load.rate_statement.age))
    numbers.extend(calls.age for calls in heartbeat.quarantined)
    is_sane = all(map(math.isfinite, numbers)) and 0 <= heartbeat.interval <= MAX_INTERVAL_S
    return heartbeat if is_sane else None
