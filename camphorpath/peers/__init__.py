"""gRPC calls between daemons and from operators: server, clients and tokens."""

from .clients import PeerClients
from .limits import MAX_MESSAGE_BYTES
from .server import Handlers, serve_peers
from .tokens import make_metadata, read_token

__all__ = (
    'MAX_MESSAGE_BYTES',
    'Handlers',
    'PeerClients',
    'make_metadata',
    'read_token',
    'serve_peers',
)
