"""gRPC server of a daemon with the Peer and Operator services."""

import asyncio
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskStatus
from attrs import frozen
from grpclib.const import Status
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from ..errors import CamphorpathError, PlatformError, UserError
from ..events import Event, EventLog
from ..schema import camphorpath_pb2 as pb
from ..schema.camphorpath_grpc import OperatorBase, PeerBase
from .limits import limit_messages
from .tokens import has_token, read_token

PEER_SERVICE_PREFIX = '/camphorpath.Peer/'
# Time for handlers to end after their cancellation.
CLOSE_TIMEOUT_S = 1.0
# Connections without a request within this time are closed; peers send their first one at once.
FIRST_REQUEST_TIMEOUT_S = 10.0


@frozen
class Handlers:
    """Handlers of the calls; each takes the request and returns the reply.

    `admission` instead takes the grpclib server stream of AdmissionUp and AdmissionDown messages
    and runs until the stream ends.
    """

    events: EventLog
    heartbeat: Callable[[pb.BeatMessage], Awaitable[pb.BeatMessage]]
    admission: Callable[[object], Awaitable[None]]
    prepare: Callable[[pb.PrepareRequest], Awaitable[pb.PrepareReply]]
    activate: Callable[[pb.ActivateRequest], Awaitable[pb.ActivateReply]]
    fetch_version: Callable[[pb.ShowConfigRequest], Awaitable[pb.ConfigVersion]]
    propose: Callable[[pb.ProposeRequest], Awaitable[pb.ProposeReply]]
    show_config: Callable[[pb.ShowConfigRequest], Awaitable[pb.ConfigVersion]]
    list_versions: Callable[[pb.ListVersionsRequest], Awaitable[pb.VersionList]]
    status: Callable[[pb.StatusRequest], Awaitable[pb.StatusReply]]
    timeline: Callable[[pb.TimelineRequest], Awaitable[pb.TimelineReply]]


async def serve_peers(
    settings: pb.Daemon,
    handlers: Handlers,
    *,
    task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve peers and operators at `settings.peers_address` until cancelled.

    Passes the bound port to `task_status.started`. Raises UserError if a token file is missing or
    unusable, if both tokens are the same, or if the address cannot be used.
    """
    peer_token = read_token(settings.peer_token_file)
    operator_token = read_token(settings.operator_token_file)
    if peer_token == operator_token:
        raise UserError('the tokens of peers and operators must differ', step='token')
    server = _Server(handlers)

    async def check_token(event: RecvRequest) -> None:
        token = peer_token if event.method_name.startswith(PEER_SERVICE_PREFIX) else operator_token
        if has_token(event.metadata, token):
            return
        handlers.events.emit(
            Event.BAD_PEER,
            peer=event.peer.addr(),
            method=event.method_name,
            problem='wrong or missing token',
        )
        raise GRPCError(Status.UNAUTHENTICATED, 'wrong or missing token')

    listen(server, RecvRequest, check_token)
    host, _, port = settings.peers_address.rpartition(':')
    try:
        await server.start(host.strip('[]'), int(port))
    except OSError as error:
        raise UserError(
            f'cannot listen on {settings.peers_address}: {error.strerror}', step='listen'
        ) from error
    try:
        task_status.started(server._server.sockets[0].getsockname()[1])
        await anyio.sleep_forever()
    finally:
        server.close()
        with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
            await server.wait_closed()


class _Server(Server):
    """A server that closes connections without requests."""

    def __init__(self, handlers: Handlers) -> None:
        super().__init__([_PeerService(handlers), _OperatorService(handlers)])
        self._events = handlers.events
        self._protocols: set[H2Protocol] = set()

    def close(self) -> None:
        """Stop listening and close all connections.

        grpclib does not close open connections, and a stopped daemon would still answer heartbeats.
        """
        super().close()
        for protocol in list(self._protocols):
            protocol.connection.close()

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        grpclib_connection_lost = protocol.connection_lost

        def close_if_unused() -> None:
            if not protocol.connection.streams_started:
                protocol.connection.close()

        def on_connection_lost(error: Exception | None) -> None:
            timer.cancel()
            self._protocols.discard(protocol)
            if not protocol.connection.streams_started:
                problem = 'the connection ended without a request'
                self._events.emit(Event.BAD_PEER, problem=problem)
            grpclib_connection_lost(error)

        timer = asyncio.get_running_loop().call_later(FIRST_REQUEST_TIMEOUT_S, close_if_unused)
        protocol.connection_lost = on_connection_lost
        self._protocols.add(protocol)
        return protocol


class _PeerService(PeerBase):
    """Calls between daemons."""

    def __init__(self, handlers: Handlers) -> None:
        self._handlers = handlers

    async def Beat(self, stream) -> None:
        await _answer(stream, self._handlers.heartbeat)

    async def Admission(self, stream) -> None:
        limit_messages(stream)
        await self._handlers.admission(stream)

    async def Prepare(self, stream) -> None:
        await _answer(stream, self._handlers.prepare)

    async def Activate(self, stream) -> None:
        await _answer(stream, self._handlers.activate)

    async def FetchVersion(self, stream) -> None:
        await _answer(stream, self._handlers.fetch_version)


class _OperatorService(OperatorBase):
    """Calls of operators."""

    def __init__(self, handlers: Handlers) -> None:
        self._handlers = handlers

    async def Propose(self, stream) -> None:
        await _answer(stream, self._handlers.propose)

    async def ShowConfig(self, stream) -> None:
        await _answer(stream, self._handlers.show_config)

    async def ListVersions(self, stream) -> None:
        await _answer(stream, self._handlers.list_versions)

    async def Status(self, stream) -> None:
        await _answer(stream, self._handlers.status)

    async def Timeline(self, stream) -> None:
        await _answer(stream, self._handlers.timeline)


async def _answer(stream, handler: Callable[..., Awaitable]) -> None:
    limit_messages(stream)
    request = await stream.recv_message()
    if request is None:
        raise GRPCError(Status.INVALID_ARGUMENT, 'no message')
    try:
        reply = await handler(request)
    except PlatformError as error:
        raise GRPCError(Status.UNAVAILABLE, str(error)) from error
    except CamphorpathError as error:
        raise GRPCError(Status.FAILED_PRECONDITION, str(error)) from error
    await stream.send_message(reply)
