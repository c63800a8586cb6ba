import httpx
import orjson
import pytest

from camphorpath.cluster.members import Members
from camphorpath.cluster.state_transfer import fetch_state
from camphorpath.edge.pages import make_control_handler
from camphorpath.edge.state import DaemonState
from camphorpath.relay.caller import CallerRequest
from camphorpath.schema import camphorpath_pb2 as pb

from ..relay.support import make_context
from .test_state import SETTINGS

# The listing of a deployment with this many upstreams, transferred to 80 daemons over a link of
# 5 Mbit/s within the time limit of a fetch.
UPSTREAM_COUNT = 60
MAX_LISTING_BYTES = 5e6 / 8 / 80


def make_row(number):
    digest = f'{number * 2654435761 % 2**32:08x}'
    document = {
        'service': f'llm-{number % 3}',
        'address': f'10.1.{number}.32:8308',
        'zone': 'abc'[number % 3],
        'version': 'v1',
        'slot_count': 4,
        'runner_state': 'ready',
        'sequence': 1,
        'cold_remaining_ms': 0,
        'born': 1787771335594 + 7919 * number,
        'phase': 'combined',
        'models': [{'name': 'm', 'version': 1, 'adapters': []}],
    }
    return pb.SharedRow(key=f'i-{digest}', content=orjson.dumps(document), revision=number + 1)


@pytest.fixture
def control_handler():
    """Return the handler of a daemon that holds the upstreams of a large deployment."""
    state = DaemonState(
        settings=SETTINGS,
        incarnation='me-1',
        relay=make_context(()),
        members=Members(SETTINGS.host),
    )
    state.rows.apply_listing(map(make_row, range(UPSTREAM_COUNT)), UPSTREAM_COUNT, 0)
    return make_control_handler(state)


async def request(handler, headers):
    """Return the headers and the content of the answer to a daemon that holds nothing."""
    status, found, content = await handler(CallerRequest(b'GET', b'/state', headers, b''))
    assert status == 200
    return dict(found), content


@pytest.mark.anyio
async def test_listing_is_small_enough_for_a_fleet_that_asks_one_daemon(control_handler):
    """Guards against a fleet that asks one daemon with a slow link, and gets no answer in time."""
    lengths = []

    async def answer(asked):
        headers = [(name.lower(), text) for name, text in asked.headers.raw]
        found, content = await request(control_handler, headers)
        lengths.append(len(content))
        return httpx.Response(200, headers=found, content=content)

    async with httpx.AsyncClient(transport=httpx.MockTransport(answer)) as client:
        state = await fetch_state(client, '10.0.0.2:1', 0, 0, 0)
    assert len(state.upstreams) == UPSTREAM_COUNT
    assert lengths[0] < MAX_LISTING_BYTES


@pytest.mark.anyio
async def test_listing_is_not_deflated_for_a_client_that_does_not_accept_it(control_handler):
    """Guards against an answer that the client cannot decode."""
    headers, content = await request(control_handler, [])
    assert b'content-encoding' not in headers
    assert len(pb.SharedState.FromString(content).upstreams) == UPSTREAM_COUNT
