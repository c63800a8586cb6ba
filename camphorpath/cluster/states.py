"""Taking the state that a peer holds."""

import anyio
import httpx
from google.protobuf.message import DecodeError

from ..errors import PeerError
from ..schema import camphorpath_pb2 as pb
from ..transports import make_plain_transport

STATE_PATH = '/state'
# A peer answers from memory; the way there and back takes some ms. Each part of an answer is
# waited for so long.
TIMEOUT_S = 1.0
# All parts together; a whole manifest of 1,500 routes needs a tenth of a second on a small link.
MAX_TRANSFER_S = 3.0


async def fetch_state(
    client: httpx.AsyncClient, address: str, manifest_revision: int, upstreams_revision: int
) -> pb.SharedState:
    """Return what a peer holds beyond these revisions; raise PeerError."""
    query = {'manifest': str(manifest_revision), 'upstreams': str(upstreams_revision)}
    try:
        with anyio.fail_after(MAX_TRANSFER_S):
            response = await client.get(f'http://{address}{STATE_PATH}', params=query)
        response.raise_for_status()
        return pb.SharedState.FromString(response.content)
    except (httpx.HTTPError, OSError, DecodeError) as error:
        raise PeerError(repr(error), step='fetch_state', peer=address) from error


def read_revisions(query: str) -> tuple[int, int]:
    """Return the revisions of a query; raise ValueError."""
    found = dict(part.partition('=')[::2] for part in query.split('&'))
    return int(found.get('manifest', 0)), int(found.get('upstreams', 0))


def make_state_client() -> httpx.AsyncClient:
    """Return a client for peers."""
    return httpx.AsyncClient(timeout=TIMEOUT_S, transport=make_plain_transport(), trust_env=False)
