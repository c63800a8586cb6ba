"""Handlers of the gRPC calls from peers and operators."""

import contextlib
import math

import anyio
import h2.exceptions
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from .admission import AdmissionOwner
from .events import EventLog
from .members import Membership
from .orders import Orders
from .peers import Handlers
from .platform import Table
from .schema import camphorpath_pb2 as pb
from .versions import ConfigVersions

# grpclib lets h2 errors through on a send to a stream whose connection was just lost.
STREAM_ERRORS = (StreamTerminatedError, ConnectionError, h2.exceptions.ProtocolError)


def make_handlers(
    events: EventLog,
    membership: Membership,
    versions: ConfigVersions,
    owner: AdmissionOwner,
    orders: Orders,
    table: Table,
) -> Handlers:
    """Return the handlers of one daemon."""

    async def show_status(request: pb.StatusRequest) -> pb.StatusReply:
        queues, upstreams = owner.status()
        orders.complete_status(upstreams)
        return pb.StatusReply(
            self=membership.own_info(),
            members=membership.live_members(),
            queues=queues,
            upstreams=upstreams,
            table_up=table.is_up,
        )

    async def show_timeline(request: pb.TimelineRequest) -> pb.TimelineReply:
        return pb.TimelineReply(events=events.select(request))

    async def serve_admission(stream: object) -> None:
        await serve_admission_stream(owner, stream)

    return Handlers(
        events=events,
        heartbeat=membership.answer_heartbeat,
        admission=serve_admission,
        prepare=versions.prepare,
        activate=versions.activate,
        fetch_version=versions.fetch_version,
        propose=versions.propose,
        show_config=versions.show_config,
        list_versions=versions.list_versions,
        status=show_status,
        timeline=show_timeline,
    )


async def serve_admission_stream(owner: AdmissionOwner, stream: object) -> None:
    """Serve the admission stream of one home daemon until it ends.

    The home daemon accepted the requests and alone may dispatch them. The queue of messages to it
    needs no limit: it holds at most a few messages for each request of the home daemon, and the
    number of requests is limited. Raises GRPCError if the first message is not `hello`.
    """
    first = await stream.recv_message()
    if first is None or first.WhichOneof('message') != 'hello':
        raise GRPCError(Status.INVALID_ARGUMENT, 'the first message must be hello')
    queue_sender, queue_receiver = anyio.create_memory_object_stream[pb.AdmissionDown](math.inf)
    session = owner.open_session(first.hello, queue_sender.send_nowait)
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(_forward_messages, stream, queue_receiver)
            async for message in stream:
                session.handle(message)
            group.cancel_scope.cancel()
    finally:
        session.close()


async def _forward_messages(stream: object, queue_receiver: anyio.abc.ObjectReceiveStream) -> None:
    with contextlib.suppress(*STREAM_ERRORS):
        async for message in queue_receiver:
            await stream.send_message(message)
