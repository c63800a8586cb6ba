"""The stream from a home daemon to an admission owner."""

import collections
from collections.abc import Callable
from typing import Any

import anyio
import attrs
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from ..errors import PeerError
from ..schema import camphorpath_pb2 as pb

LINK_ERRORS = (PeerError, GRPCError, ProtocolError, StreamTerminatedError, OSError)

Receive = Callable[['Link', pb.AdmissionDown], None]


class Mailbox:
    """Unbounded FIFO queue of messages from one task to another."""

    def __init__(self) -> None:
        """Create an empty mailbox."""
        self._messages: collections.deque[Any] = collections.deque()
        self._filled = anyio.Event()

    def put(self, message: Any) -> None:
        """Add a message."""
        self._messages.append(message)
        self._filled.set()

    async def get(self) -> Any:
        """Wait for the next message and return it."""
        while not self._messages:
            self._filled = anyio.Event()
            await self._filled.wait()
        return self._messages.popleft()


@attrs.define(eq=False)
class Link:
    """The stream to one owner.

    `info` is the owner, `services` are those that it should own, and `registered` those that are
    registered on the current stream.
    """

    info: pb.MemberInfo
    services: frozenset[str] = frozenset()
    registered: frozenset[str] = frozenset()
    is_open: bool = False
    is_wanted: bool = True
    # Time of the last message sent, on the lease clock.
    posted_at: float = 0
    scope: anyio.CancelScope | None = None
    post: Callable[[pb.AdmissionUp], None] = attrs.field(init=False)

    def close(self) -> None:
        """Close the stream and stop reconnecting."""
        self.is_wanted = False
        if self.scope is not None:
            self.scope.cancel()

    async def serve_remote(self, membership: Any, on_open: Callable[[], None], receive: Receive):
        """Exchange messages over gRPC until the stream ends; raises LINK_ERRORS if it breaks."""
        async with membership.peers.open_admission(self.info.peers_address) as stream:
            outbox = Mailbox()
            await stream.send_message(pb.AdmissionUp(hello=membership.info()))
            self.post = outbox.put
            self.is_open = True
            on_open()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_write, stream, outbox)
                message = await stream.recv_message()
                while message is not None:
                    receive(self, message)
                    message = await stream.recv_message()
                tasks.cancel_scope.cancel()

    async def serve_local(self, membership: Any, owner: Any, on_open: Callable[[], None], receive):
        """Exchange messages with the owner in this process until cancelled.

        Answers pass through a mailbox, since callbacks of the client must not run while the owner
        is making a decision.
        """
        inbox = Mailbox()
        session = owner.open_session(membership.info(), inbox.put)
        try:
            self.post = session.handle
            self.is_open = True
            on_open()
            while session.is_open:
                receive(self, await inbox.get())
        finally:
            session.close()


async def _write(stream: Any, outbox: Mailbox) -> None:
    while True:
        await stream.send_message(await outbox.get())
