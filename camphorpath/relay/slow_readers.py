"""Sends to callers and upstreams that may read slowly, within the bounds of the memory ledger."""

import socket

import anyio

from ..clocks import read_lease_clock
from ..errors import CallerDisconnected
from ..memory.ledger import LOOK_INTERVAL_S, BufferKind, EndReason, MemoryLedger, SlowReader
from .sockets import Connection

# Parts of a stream that the kernel sends without merging them. The larger the parts, the longer a
# peer reads until its kernel takes more: a caller that reads 10 kB/s seems to pause for up to 13 s
# with 64 KiB, and for 2 s with 1 KiB (loopback).
STREAM_PART_BYTES = 1024
# Unsent bytes that the kernel takes for a caller. The answers of engines fit; what is in flight is
# not limited.
MAX_UNSENT_BYTES = 262144


async def send_stream(connection: Connection, payload: bytes, ledger: MemoryLedger) -> None:
    """Send a part of a stream to a caller; raise OSError, or CallerDisconnected if it stalls."""
    rest = memoryview(payload)
    rest = rest[_try_send_parts(connection, rest) :]
    if rest:
        await _send_rest(connection, rest, ledger, ledger.bounds.stream_stall_s)


async def send_whole(connection: Connection, payload: bytes, ledger: MemoryLedger) -> None:
    """Send a whole answer to a caller; raise OSError, or CallerDisconnected if it stalls."""
    rest = memoryview(payload)
    rest = rest[connection.try_send(rest) :]
    if rest:
        await _send_rest(connection, rest, ledger, ledger.bounds.answer_stall_s)


async def wait_for_upstream(
    connection: Connection, unsent: memoryview, ledger: MemoryLedger, reader: SlowReader
) -> bool:
    """Wait until an upstream reads or answers; return false if it has to be given up.

    It returns after LOOK_INTERVAL_S at the latest.
    """
    with anyio.move_on_after(LOOK_INTERVAL_S):
        await connection.wait_readable_or_writable()
    _look(connection, unsent, ledger, reader)
    return reader.end_reason is None


async def _send_rest(
    connection: Connection, rest: memoryview, ledger: MemoryLedger, stall_s: float
) -> None:
    with ledger.open_reader(BufferKind.TO_CALLER, read_lease_clock()) as reader:
        while rest:
            _look(connection, rest, ledger, reader)
            if reader.is_stalled(stall_s):
                ledger.end(reader, EndReason.STALLED)
            if reader.end_reason is not None:
                message = f'the caller has read nothing for {reader.idle_s:.1f} s'
                raise CallerDisconnected(message, step='send_answer')
            with anyio.move_on_after(LOOK_INTERVAL_S):
                await connection.wait_writable()
            rest = rest[_try_send_parts(connection, rest) :]


def _look(
    connection: Connection, unsent: memoryview, ledger: MemoryLedger, reader: SlowReader
) -> None:
    """Record what waits for a peer; the rest of a payload keeps all of it in memory."""
    queued = connection.count_unacknowledged()
    # What the kernel has taken moves from `unsent` to `queued`; only what was read leaves both.
    taken = -(len(unsent) + queued)
    ledger.record(reader, len(unsent.obj) + queued, taken, read_lease_clock())


def _try_send_parts(connection: Connection, payload: memoryview) -> int:
    """Send without waiting, in parts that are not merged; return the number of bytes sent."""
    total = 0
    while total < len(payload):
        part = payload[total : total + STREAM_PART_BYTES]
        sent = connection.try_send(part, socket.MSG_EOR)
        total += sent
        if sent < len(part):
            break
    return total
