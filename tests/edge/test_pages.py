"""Pages of a daemon for requests with unusual targets and headers."""

import anyio
import pytest

from camphorpath.cluster.members import Members
from camphorpath.edge.pages import (
    make_control_handler,
    make_directory_handler,
    make_metrics_handler,
    make_readiness_handler,
)
from camphorpath.edge.state import DaemonState
from camphorpath.relay.server import serve_pages
from camphorpath.relay.sockets import open_listener
from camphorpath.schema import camphorpath_pb2 as pb

from ..relay.support import ask, make_context, run
from .test_state import SETTINGS

QUERIES = (
    b'',
    b'manifest=-1&upstreams=-1',
    b'manifest=' + b'9' * 30 + b'&upstreams=' + b'9' * 30,
    b'manifest=' + b'9' * 5000,
    b'manifest=nan',
    b'manifest=%31&upstreams=%FF',
    b'manifest=1_0',
    b'manifest=\xb2',
    b'zone=%FF%FE&region=%00',
    b'zone=\xff&zone=&&=&%',
    b'&' * 3000,
)
PATHS = (b'/state', b'/camphorpath/resolve', b'/camphorpath/readyz', b'/metrics', b'/', b'*', b'%')
HOSTS = (b'h', b'', b'[::1]:80', b'\xff\xfe', b':' * 300, b'a,b')


def make_handlers(state):
    return (
        make_control_handler(state),
        make_directory_handler(state),
        make_readiness_handler(state),
        make_metrics_handler(state.relay),
    )


@pytest.mark.parametrize('query', QUERIES)
def test_odd_requests_for_pages_are_answered(query):
    """Guards against a request for a page that ends the daemon or fails unexpectedly."""

    async def test():
        relay = make_context(())
        state = DaemonState(
            settings=SETTINGS, incarnation='me-1', relay=relay, members=Members(SETTINGS.host)
        )
        listeners = []
        async with anyio.create_task_group() as group:
            for handle in make_handlers(state):
                listener = open_listener('127.0.0.1:0')
                listeners.append(listener)
                group.start_soon(serve_pages, listener, handle, group, relay.events)
                for path in PATHS:
                    for host in HOSTS:
                        request = b'GET %b?%b HTTP/1.1\r\nHost: %b\r\n\r\n' % (path, query, host)
                        try:
                            status = (await ask(listener.getsockname()[1], request))[0]
                        except EOFError:
                            # Not HTTP: closed.
                            continue
                        assert status < 500 or status == 503
            group.cancel_scope.cancel()
        for listener in listeners:
            listener.close()
        assert not [
            record
            for record in relay.events.select(pb.TimelineRequest())
            if record.name == 'internal_error'
        ]

    run(test)
