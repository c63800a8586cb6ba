"""A relay in this process between upstreams and callers on plain sockets."""

import asyncio
import contextlib
import socket
import threading

import anyio
import attrs

from camphorpath.clocks import read_lease_clock
from camphorpath.edge.daemon import TIMER_INTERVAL_S
from camphorpath.events import EventLog
from camphorpath.placement.budget import RetryBudget
from camphorpath.placement.ownership import Assignment
from camphorpath.placement.quota import QuotaBounds, QuotaLedger
from camphorpath.placement.scheduler import Scheduler
from camphorpath.relay.context import RelayContext
from camphorpath.relay.header_names import HeaderNames
from camphorpath.relay.metrics import RelayMetrics
from camphorpath.relay.server import serve_calls
from camphorpath.relay.sockets import open_listener
from camphorpath.relay.upstream import UpstreamPool
from camphorpath.routing import CallerLimits, CallKind, Customer, Upstream

from ..routing.test_table import make_route, make_table

TEST_TIMEOUT_S = 20
SIGNED = b'Signature: s\r\n'

HEADER_NAMES = HeaderNames(
    attempt_id=b'attempt',
    deadline_ms=b'deadline-ms',
    key=b'key',
    tokens=b'tokens',
    length_hint=b'hint',
    prompt_parts=b'parts',
    last_event_id=b'last-event-id',
    resumed_attempt_id=b'resumes',
    customer=b'customer',
    expected_upstream=b'expected',
    signature=b'signature',
    not_run=b'not-run',
    load=b'load',
    leaving=b'leaving',
    rate_limit=b'rate-limit',
    reserved=frozenset((b'reserved',)),
)
ROUTES = (
    make_route('/read/', max_attempts=2),
    make_route('/write/', kind=CallKind.NON_IDEMPOTENT),
    make_route('/twice/', kind=CallKind.NON_IDEMPOTENT, max_attempts=2),
    make_route('/stream/', kind=CallKind.STREAM, max_attempts=2, is_resumable=True),
    make_route('/once/', kind=CallKind.STREAM),
    make_route('/keyed/', needs_key=True),
)
CUSTOMER = Customer(name='acme', priority=0, rate=0, burst=0, counts_tokens=False, default_units=0)


def run(test):
    """Run an async test; one that hangs fails after TEST_TIMEOUT_S."""

    async def run_with_timeout():
        with anyio.fail_after(TEST_TIMEOUT_S):
            await test()

    anyio.run(run_with_timeout)


async def wait_for(condition, limit_s=TEST_TIMEOUT_S):
    with anyio.fail_after(limit_s):
        while not condition():  # noqa: ASYNC110  the condition has no event
            await anyio.sleep(0.005)


@attrs.define
class ScriptedUpstream:
    """A server that runs a given function for each connection."""

    host: str
    port: int
    software_version: str = 'v1'
    requests: list = attrs.field(factory=list)
    # Reports that were asked for; `requests` does not hold them.
    report_count: int = 0
    # Connections that the relay closed.
    closed_count: int = 0

    async def read_request(self, reader):
        head = await reader.readuntil(b'\r\n\r\n')
        body = b''
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                body = await reader.readexactly(int(line.partition(b':')[2]))
        self.requests.append((head, body))
        return head

    async def wait_closed(self, reader):
        with contextlib.suppress(ConnectionError):
            while await reader.read(1000):
                continue
        self.closed_count += 1


@contextlib.asynccontextmanager
async def open_upstream(handle, software_version='v1'):
    """Run `handle(upstream, reader, writer)` for each connection."""

    async def accept(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await handle(upstream, reader, writer)
        writer.close()

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    upstream = ScriptedUpstream(*server.sockets[0].getsockname()[:2], software_version)
    try:
        yield upstream
    finally:
        server.close()


def answer_with(*answers):
    """Return a handler that sends the next of `answers` for each request, over all connections.

    None closes the connection without an answer.
    """
    left = list(answers)

    async def handle(upstream, reader, writer):
        while left:
            await upstream.read_request(reader)
            reply = left.pop(0)
            if reply is None:
                return
            writer.write(reply)
            await writer.drain()

    return handle


async def stay_unresponsive(upstream, reader, writer):
    """Read a request and never answer."""
    await upstream.read_request(reader)
    await upstream.wait_closed(reader)


def make_answer(body=b'ok', status=b'200 OK', attempt=b'1', extra=b''):
    head = b'HTTP/1.1 %b\r\nAttempt: %b\r\n%b%bContent-Length: %d\r\n\r\n'
    return head % (status, attempt, SIGNED, extra, len(body)) + body


def make_entries(upstreams):
    """Return the registered entries of scripted upstreams, all in zone 'a'."""
    return [
        Upstream(
            upstream_id=f'i-{number}',
            service='llm',
            host=upstream.host,
            port=upstream.port,
            zone='a',
            slots=4,
            is_leaving=False,
            software_version=upstream.software_version,
        )
        for number, upstream in enumerate(upstreams)
    ]


def make_context(upstreams, limits=None):
    scheduler = Scheduler(name='me', zone='a', regions={})
    entries = make_entries(upstreams)
    owners = {entry.upstream_id: 'me' for entry in entries}
    scheduler.set_upstreams(entries, Assignment({}, owners))
    for number, entry in enumerate(entries):
        # The first upstream is the fastest, which fixes the order of attempts.
        scheduler.slots[entry.upstream_id].speed.factor = 0.2 * (number + 1)
        scheduler.slots[entry.upstream_id].speed.samples = 1
    context = RelayContext(
        header_names=HEADER_NAMES,
        scheduler=scheduler,
        quota=QuotaLedger(QuotaBounds(window_s=8, overshoot=0, allowance=0), starts_full=True),
        budget=RetryBudget(ratio=0.2, window_s=10, allowance=100),
        pool=UpstreamPool(),
        events=EventLog('test'),
        metrics=RelayMetrics(),
        get_budget_share=lambda: 1,
        routing_table=make_table(
            *ROUTES, customers={'secret': CUSTOMER}, limits=limits or CallerLimits()
        ),
    )
    context.apply_routing_table(context.routing_table)
    for entry in entries:
        context.origins.history.record('llm', entry.software_version, read_lease_clock())
    return context


@contextlib.asynccontextmanager
async def open_relay(*upstreams, limits=None):
    """Serve callers; yield the context and the port."""
    context = make_context(upstreams, limits)
    listener = open_listener('127.0.0.1:0')
    async with anyio.create_task_group() as group:
        group.start_soon(serve_calls, context, listener, group)
        yield context, listener.getsockname()[1]
        group.cancel_scope.cancel()
    listener.close()


@contextlib.asynccontextmanager
async def run_scheduler(context):
    """Place waiting calls at intervals, as a daemon does."""

    async def expire():
        while True:
            await anyio.sleep(TIMER_INTERVAL_S)
            context.scheduler.expire(read_lease_clock())

    async with anyio.create_task_group() as group:
        group.start_soon(expire)
        yield
        group.cancel_scope.cancel()


def make_request(path=b'/read/x', attempt=b'1', headers=b'', body=b'', method=b'GET'):
    head = b'%b %b HTTP/1.1\r\nHost: h\r\nAttempt: %b\r\nDeadline-Ms: 5000\r\n%b'
    head %= (method, path, attempt, headers)
    if body:
        head += b'Content-Length: %d\r\n' % len(body)
    return head + b'\r\n' + body


async def read_answer(reader):
    """Return the status, head and body of an answer with a content-length or in chunks.

    The chunks are not decoded.
    """
    head = await reader.readuntil(b'\r\n\r\n')
    if b'transfer-encoding: chunked' in head.lower():
        return int(head.split()[1]), head, await reader.readuntil(b'0\r\n\r\n')
    length = 0
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            length = int(line.partition(b':')[2])
    return int(head.split()[1]), head, await reader.readexactly(length)


async def ask(port, request):
    """Send a request on a new connection and return status, head and body of the answer."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(request)
    try:
        return await read_answer(reader)
    finally:
        writer.close()


async def read_to_end(port, request):
    """Send a request; return the bytes received and whether the connection was reset."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(request)
    received = b''
    try:
        while True:
            chunk = await reader.read(1000)
            received += chunk
            if not chunk or received.endswith(b'0\r\n\r\n'):
                return received, False
    except ConnectionError:
        return received, True
    finally:
        writer.close()


@contextlib.asynccontextmanager
async def watch_event_loop():
    """Yield a list with the longest time in seconds for which no other task could run."""
    longest = [0.0]

    async def tick():
        while True:
            began_at = anyio.current_time()
            await anyio.sleep(0.005)
            longest[0] = max(longest[0], anyio.current_time() - began_at)

    async with anyio.create_task_group() as group:
        group.start_soon(tick)
        yield longest
        await anyio.sleep(0.01)
        group.cancel_scope.cancel()


@contextlib.contextmanager
def flood_connections(head, endless):
    """Serve a head and then bytes without end, until the connection is closed; yield the upstream.

    It runs in a thread with blocking sockets, so that it is never slower than the relay.
    """
    listener = socket.create_server(('127.0.0.1', 0))
    upstream = ScriptedUpstream(*listener.getsockname())

    def serve(connection):
        with contextlib.suppress(OSError):
            connection.recv(65536)
            connection.sendall(head)
            while True:
                connection.sendall(endless)
        connection.close()
        upstream.closed_count += 1

    def accept():
        with contextlib.suppress(OSError):
            while True:
                threading.Thread(target=serve, args=(listener.accept()[0],), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield upstream
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
