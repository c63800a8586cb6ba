"""Size limit for gRPC messages."""

from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

MAX_MESSAGE_BYTES = 4 * 1024 * 1024


def limit_messages(stream) -> None:
    """Make a grpclib stream refuse messages above MAX_MESSAGE_BYTES before buffering them.

    grpclib has no such limit: it reads as many bytes as the length prefix of the message says.
    """
    transport = stream._stream
    read = transport.recv_data

    async def recv_data(size: int) -> bytes:
        if size > MAX_MESSAGE_BYTES:
            raise GRPCError(
                Status.RESOURCE_EXHAUSTED,
                f'message of {size} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes',
            )
        try:
            return await read(size)
        except AssertionError as error:
            # grpclib raises this if the stream ends before the message is complete.
            raise StreamTerminatedError('the stream ended inside a message') from error

    transport.recv_data = recv_data
