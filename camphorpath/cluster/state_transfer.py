"""The request with which a daemon fetches the state that a peer holds."""

import httpx
from google.protobuf.message import DecodeError

from ..errors import PeerError
from ..schema import camphorpath_pb2 as pb
from ..transports import fetch_complete, make_plain_transport

STATE_PATH = '/state'
# A peer answers from memory, and a round trip takes some milliseconds.
FETCH_TIMEOUT_S = 1.0


async def fetch_state(
    client: httpx.AsyncClient,
    address: str,
    manifest_revision: int,
    upstreams_revision: int,
    manifest_version: int,
) -> pb.SharedState:
    """Return the state of a peer that is newer than these revisions; raise PeerError.

    The manifest may be a delta from that of `manifest_revision`, unless this is 0.
    """
    query = {
        'manifest': str(manifest_revision),
        'upstreams': str(upstreams_revision),
        'version': str(manifest_version),
    }
    try:
        request = client.build_request(
            'GET', f'http://{address}{STATE_PATH}', params=query, timeout=FETCH_TIMEOUT_S
        )
        answer = await fetch_complete(client, request, FETCH_TIMEOUT_S)
        if answer.status == httpx.codes.OK:
            return pb.SharedState.FromString(answer.content)
    except (httpx.HTTPError, OSError, DecodeError) as error:
        raise PeerError(repr(error), step='fetch_state', peer=address) from error
    raise PeerError(
        f'the peer answered with status {answer.status}', step='fetch_state', peer=address
    )


def parse_revisions(query: str) -> tuple[int, int, int]:
    """Return the manifest and upstreams revisions and the manifest version of a query.

    Each is 0 by default. Raises ValueError.
    """
    parameters = dict(part.partition('=')[::2] for part in query.split('&'))
    manifest, upstreams, version = (
        int(parameters.get(name, 0)) for name in ('manifest', 'upstreams', 'version')
    )
    return manifest, upstreams, version


def make_state_client() -> httpx.AsyncClient:
    """Return an HTTP client for requests to peers."""
    return httpx.AsyncClient(
        timeout=FETCH_TIMEOUT_S, transport=make_plain_transport(), trust_env=False
    )
