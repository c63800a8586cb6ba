"""One send of a call to an upstream, and what came back."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import attrs
import h11

from ..errors import Truncated, UpstreamError
from ..placement.crashes import AnswerProgress
from ..placement.records import WaitingCall
from ..routing import Upstream
from .answer_counts import AnswerCount
from .headers import Headers
from .upstream import UpstreamAnswer, UpstreamConnection

Answer = TypeVar('Answer')


@attrs.define(eq=False)
class Attempt:
    """The slot of a call at an upstream, and its send there."""

    upstream: Upstream
    waiting: WaitingCall
    conn: UpstreamConnection | None = None
    # The entry of the process that the connection leads to, once there was one.
    process_entry: Upstream = attrs.field(init=False)
    is_sent: bool = False
    # None before it is sent.
    count: AnswerCount | None = None
    # Whether the call may have run before this attempt.
    ran_before: bool = False
    # None before the head of the answer is read.
    answer: UpstreamAnswer | None = None
    # Parts of a streamed answer that arrived, each of whole events.
    received_parts: int = 0
    # None before the stream of this attempt begins.
    progress: AnswerProgress | None = None
    is_complete: bool = False
    is_ended: bool = False
    # Raised by reading the answer while it was not awaited.
    read_error: Exception | None = None

    @process_entry.default
    def _get_granted_entry(self) -> Upstream:
        return self.upstream

    def has_unread_bytes(self) -> bool:
        """Return whether the upstream has sent bytes that were not read."""
        return self.conn is not None and self.conn.connection.has_unread_bytes()


@attrs.frozen
class FailedAnswer:
    """The complete answer of an upstream that failed; relayed if no other upstream answers."""

    status: int
    headers: Headers
    body: bytes


def make_stall(attempt: Attempt) -> Truncated:
    """Return the error of a stream whose upstream has sent no event for too long."""
    message = 'no event within the stall timeout'
    return Truncated(message, step='receive_body', peer=attempt.upstream.address)


async def read_into(
    found: list[Answer],
    silent: Attempt,
    read: Callable[[], Awaitable[Answer]],
    scope: anyio.CancelScope,
) -> None:
    """Add what `read` returns to `found` and cancel a scope; keep an error for the next reader.

    Bytes alone do not show that a silent upstream goes on, as they may never complete an event.
    """
    try:
        found.append(await read())
    except (UpstreamError, OSError, h11.LocalProtocolError) as error:
        silent.read_error = error
        return
    scope.cancel()
