"""gRPC clients for the other daemons."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import anyio
import h2.exceptions
from anyio.lowlevel import checkpoint_if_cancelled
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from ..errors import PeerError
from ..events import EventLog
from ..schema import camphorpath_pb2 as pb
from ..schema.camphorpath_grpc import PeerStub
from .limits import limit_messages
from .tokens import make_metadata

# Longer than a round trip between regions (several ms) and a stall of a busy event loop.
CALL_TIMEOUT_S = 2.0

_CONNECTION_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    h2.exceptions.H2Error,
    ConnectionError,
)
# grpclib raises AssertionError if the answer ends inside a message.
_CALL_ERRORS = (*_CONNECTION_ERRORS, OSError, AssertionError)


class PeerClients:
    """Keeps one gRPC channel per peer address; calls raise no error but PeerError."""

    def __init__(self, token: str, events: EventLog) -> None:
        """Send the peer token with every call."""
        self._metadata = make_metadata(token)
        self._events = events
        self._channels: dict[str, Channel] = {}

    async def send_heartbeat(
        self, address: str, message: pb.BeatMessage, timeout_s: float = CALL_TIMEOUT_S
    ) -> pb.BeatMessage:
        """Send a heartbeat and return the answer."""
        return await self._call('Beat', address, message, timeout_s)

    async def prepare(
        self, address: str, request: pb.PrepareRequest, timeout_s: float = CALL_TIMEOUT_S
    ) -> pb.PrepareReply:
        """Ask a member to prepare the activation of a version."""
        return await self._call('Prepare', address, request, timeout_s)

    async def activate(
        self, address: str, request: pb.ActivateRequest, timeout_s: float = CALL_TIMEOUT_S
    ) -> pb.ActivateReply:
        """Tell a member that a version is committed."""
        return await self._call('Activate', address, request, timeout_s)

    async def fetch_version(
        self, address: str, request: pb.ShowConfigRequest, timeout_s: float = CALL_TIMEOUT_S
    ) -> pb.ConfigVersion:
        """Return the version that is activated at a member."""
        return await self._call('FetchVersion', address, request, timeout_s)

    @contextlib.asynccontextmanager
    async def open_admission(self, address: str) -> AsyncIterator:
        """Open the grpclib stream of Peer.Admission; errors of the stream become PeerError.

        The caller must send the first message. The stream is closed when the context is left, and
        reset if it is left with an error.
        """
        try:
            async with _convert_cancellation('Admission', address):
                async with PeerStub(self._open(address)).Admission.open(
                    metadata=self._metadata
                ) as stream:
                    await _start_stream(stream, address)
                    yield stream
        except _CONNECTION_ERRORS as error:
            raise _make_error('Admission', address, error) from error
        except BaseExceptionGroup as group:
            if group.split(_CONNECTION_ERRORS)[1] is not None:
                raise
            raise _make_error('Admission', address, group) from group

    def reset(self, address: str) -> None:
        """Close the channel to an address; the next call connects again."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all channels."""
        for address in list(self._channels):
            self.reset(address)

    def _open(self, address: str) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(':')
            try:
                channel = Channel(host.strip('[]'), int(port))
            except ValueError as error:
                raise PeerError(
                    'not an address of the form HOST:PORT', step='connect', peer=address
                ) from error
            self._channels[address] = channel
        return channel

    async def _call(self, step: str, address: str, message, timeout_s: float):
        method = getattr(PeerStub(self._open(address)), step)
        async with _convert_cancellation(step, address):
            try:
                return await method(message, timeout=timeout_s, metadata=self._metadata)
            except _CALL_ERRORS as error:
                raise _make_error(step, address, error) from error


@contextlib.asynccontextmanager
async def _convert_cancellation(step: str, address: str) -> AsyncIterator[None]:
    """Convert a cancellation by grpclib into a PeerError.

    grpclib cancels the task to interrupt a call and does not always turn the cancellation into an
    error. It also leaves the cancellation in the count of the task, so that the next cancel scope
    of anyio would not end. An anyio task group ends without an error if a child ends cancelled, so
    either would silently end the tasks of the same group. A cancellation by an anyio scope is
    raised again.
    """
    task = asyncio.current_task()
    cancellation_count = task.cancelling()
    try:
        yield
    except BaseException as error:
        while task.cancelling() > cancellation_count:
            task.uncancel()
        if not isinstance(error, asyncio.CancelledError):
            raise
        await checkpoint_if_cancelled()
        raise _make_error(step, address, ConnectionError('connection lost')) from error


async def _start_stream(stream, address: str) -> None:
    try:
        with anyio.fail_after(CALL_TIMEOUT_S):
            await stream.send_request()
    except OSError as error:
        raise _make_error('Admission', address, error) from error
    limit_messages(stream)


def _make_error(step: str, address: str, error: BaseException) -> PeerError:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    if isinstance(error, GRPCError):
        text = f'{error.status.name.lower()}: {error.message}'
    else:
        text = str(error) or type(error).__name__
    return PeerError(text, step=step.lower(), peer=address)
