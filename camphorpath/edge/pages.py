"""HTTP handlers of a daemon for readiness, addresses, state for peers and metrics."""

import zlib
from collections.abc import Awaitable, Callable

import orjson
from aioprometheus.renderer import render

from ..cluster.state_transfer import STATE_PATH, parse_revisions
from ..platform.wire import READY_PATH, RESOLVE_PATH, parse_location, render_addresses
from ..relay.caller import CallerRequest
from ..relay.context import RelayContext
from ..relay.headers import find_header
from ..relay.memory import update_memory_metrics
from ..relay.server import PageAnswer
from .state import DaemonState

PageHandler = Callable[[CallerRequest], Awaitable[PageAnswer]]

STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
# For this time callers keep using an address, also that of a daemon that was lost meanwhile.
ADDRESS_TTL_S = 1.0
METRICS_PATH = '/metrics'
# Shorter answers fit into one packet.
MIN_DEFLATED_BYTES = 1200
# The fastest level; entries of upstreams are alike, and compress well at any.
DEFLATE_LEVEL = 1


def make_readiness_handler(state: DaemonState) -> PageHandler:
    """Return the handler that reports whether callers should send calls to this daemon."""

    async def handle(request: CallerRequest) -> PageAnswer:
        if request.path != READY_PATH:
            return STATUS_NOT_FOUND, [], b''
        return STATUS_OK if state.is_ready else STATUS_UNAVAILABLE, [], b''

    return handle


def make_directory_handler(state: DaemonState) -> PageHandler:
    """Return the handler that tells callers which daemons to connect to."""

    async def handle(request: CallerRequest) -> PageAnswer:
        if request.path != RESOLVE_PATH:
            return STATUS_NOT_FOUND, [], b''
        addresses = state.list_addresses(*parse_location(request.query))
        if not addresses:
            return STATUS_UNAVAILABLE, [], b''
        ttl_s = min(ADDRESS_TTL_S, state.settings.bounds.max_address_ttl_s)
        body = orjson.dumps(render_addresses(addresses, ttl_s))
        return STATUS_OK, [(b'content-type', b'application/json')], body

    return handle


def make_control_handler(state: DaemonState) -> PageHandler:
    """Return the handler that sends peers the state that they lack."""

    async def handle(request: CallerRequest) -> PageAnswer:
        if request.path != STATE_PATH:
            return STATUS_NOT_FOUND, [], b''
        try:
            revisions = parse_revisions(request.query)
        except ValueError:
            return STATUS_BAD_REQUEST, [], b''
        shared = state.rows.collect_since(*revisions)
        shared.hosts.extend([state.settings.host, *state.members.list_running_hosts()])
        headers = [(b'content-type', b'application/protobuf')]
        content = shared.SerializeToString()
        # After a restore of the store, a whole fleet may fetch a listing from one daemon.
        accepted = find_header(request.headers, b'accept-encoding')
        if len(content) > MIN_DEFLATED_BYTES and b'deflate' in accepted:
            headers.append((b'content-encoding', b'deflate'))
            content = zlib.compress(content, DEFLATE_LEVEL)
        return STATUS_OK, headers, content

    return handle


def make_metrics_handler(relay: RelayContext) -> PageHandler:
    """Return the handler that renders the metrics in the Prometheus text format."""

    async def handle(request: CallerRequest) -> PageAnswer:
        if request.path != METRICS_PATH:
            return STATUS_NOT_FOUND, [], b''
        relay.metrics.in_progress.set({}, relay.in_progress)
        update_memory_metrics(relay)
        body, headers = render(relay.metrics.registry, [])
        pairs = [(name.lower().encode(), text.encode()) for name, text in headers.items()]
        return STATUS_OK, pairs, body

    return handle
