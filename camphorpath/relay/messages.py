"""Reads the parts of HTTP/1.1 messages from a connection."""

import re

import h11

from ..turns import get_cost
from .sockets import Connection

# Each line takes h11 some microseconds and some hundred bytes of memory, however short it is.
MAX_HEAD_LINES = 1000
HEAD_END = re.compile(rb'\n\r?\n')
# States of the other side in which a head comes next.
HEAD_STATES = frozenset((h11.IDLE, h11.SEND_RESPONSE))
STATUS_HEAD_TOO_LARGE = 431


async def parse_event(connection: Connection, http: h11.Connection) -> object:
    """Return the next event in the bytes received so far, or h11.NEED_DATA.

    Other tasks run between the events, however many were received at once. No event is lost if it
    is cancelled. Raises h11.RemoteProtocolError, also for a head of more than MAX_HEAD_LINES lines.
    """
    await connection.turn.end_if_over()
    if http.their_state in HEAD_STATES:
        _limit_head_lines(http.trailing_data[0])
    event = http.next_event()
    if event is not h11.NEED_DATA:
        connection.turn.add_work(get_cost())
    return event


def _limit_head_lines(received: bytes) -> None:
    if received.count(b'\n') <= MAX_HEAD_LINES:
        return
    found = HEAD_END.search(received)
    if found is not None:
        received = received[: found.start()]
    if received.count(b'\n') > MAX_HEAD_LINES:
        raise h11.RemoteProtocolError(
            f'a head of more than {MAX_HEAD_LINES} lines', error_status_hint=STATUS_HEAD_TOO_LARGE
        )
