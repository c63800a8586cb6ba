"""Upstreams and stores that send bytes without end to daemons with a limit on their memory."""

import asyncio
import contextlib
import itertools
import multiprocessing
import pathlib
import time

import pytest

from ..relay.support import flood_connections
from .fleet import ROUTES, make_route, open_fleet

pytestmark = pytest.mark.anyio

SETTLE_S = 1.5
# Half of what a process of a deployment may take.
MAX_MEMORY_MB = 150
FLOODED_CALL_COUNT = 300
TIMEOUT_MS = 3000
# For this time a store sends without end, and callers wait for answers to large requests.
STORE_FAULT_MS = 4000
TAKE_UP_COUNT = 20
# Time after its deadline at which a call must have an answer.
ANSWER_SLACK_S = 0.5
BOOKING_INTERVAL_S = 0.1
# Hundreds of threads of the upstreams share one interpreter, and each notices late on a busy
# machine that its connection was closed.
NOTICE_LIMIT_S = 10.0
NOTICE_INTERVAL_S = 0.02
LARGE_BODY_BYTES = 4194304
LARGE_REQUEST_COUNT = 90
FILLER = b'x' * 65536
CHUNK = b'%x\r\n%b\r\n' % (len(FILLER), FILLER)
# State of a connection in /proc/net/tcp.
ESTABLISHED = '01'
EVENT_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
# By the part of an answer: the bytes at its begin, and those that follow without end.
FLOODS = {
    'heads': (
        (b'HTTP/1.1 200 ', FILLER),
        (b'HTTP/1.1 200 OK\r\nA: ', FILLER),
        (b'HTTP/1.1 200 OK\r\n', b'A:\r\n' * 16384),
        (b'', b'HTTP/1.1 103 E\r\n\r\n' * 4096),
        (b'', FILLER),
    ),
    'short headers': ((b'HTTP/1.1 200 OK\r\n' + b'A:\r\n' * 16000 + b'\r\n', b'x'),),
    'bodies': (
        (b'HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n', FILLER),
        (b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n', FILLER),
        (b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', CHUNK),
        (b'HTTP/1.1 500 E\r\nTransfer-Encoding: chunked\r\n\r\n', CHUNK),
    ),
    'chunks': (
        (b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', b'1'),
        (b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;', FILLER),
        (b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n', b'A:\r\n' * 16384),
    ),
    'streams': (
        (EVENT_HEAD + b'Connection: close\r\n\r\ndata: ', FILLER),
        (EVENT_HEAD + b'Transfer-Encoding: chunked\r\n\r\n', CHUNK),
        (EVENT_HEAD + b'Connection: close\r\n\r\n', b': \n' * 16384),
        (EVENT_HEAD + b'Connection: close\r\n\r\n', b'id: 1\n' * 8192),
    ),
}
FLOOD_ROUTES = (
    *ROUTES,
    make_route(
        'flood',
        '/flood/',
        'flooding',
        route_type='non_idempotent',
        stream_resume=False,
        session_affinity=False,
        max_attempts=2,
        timeout_ms=TIMEOUT_MS,
    ),
    make_route('flow', '/flow/', 'flooding', timeout_ms=TIMEOUT_MS, stream_resume=False),
)


async def call(address, path, attempt, timeout_ms, headers=''):
    """Return the status of the answer to a call; None if there is none in time."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_ms / 1000 + ANSWER_SLACK_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f'POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {attempt}\r\n'
                f'X-Deadline-Ms: {timeout_ms}\r\n{headers}Content-Length: 0\r\n\r\n'.encode()
            )
            status = int((await reader.readuntil(b'\r\n')).split()[1])
            while await reader.read(65536):
                if status != 200 or path.startswith('/book/'):
                    break
            return status
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def book_until(address, is_over):
    """Make bookings at an interval; return the statuses of all answers."""
    numbers = itertools.count()
    calls = []
    while not is_over.is_set():
        attempt = f'b{next(numbers):015x}'
        calls.append(asyncio.create_task(call(address, f'/book/{attempt}', attempt, 1200)))
        await asyncio.sleep(BOOKING_INTERVAL_S)
    return await asyncio.gather(*calls)


def make_entry(address, service):
    return {
        'service': service,
        'address': address,
        'zone': 'a',
        'version': 'v1',
        'slot_count': FLOODED_CALL_COUNT,
        'runner_state': 'ready',
        'cold_remaining_ms': 0,
        'sequence': 1,
        'born': 1,
    }


def serve_floods(kind, pipe):
    """Serve a kind of floods until the other end of the pipe asks how many connections ended.

    It sends the number that it expects. The answer is sent once so many have ended, or after
    NOTICE_LIMIT_S.
    """
    with contextlib.ExitStack() as stack:
        floods = [stack.enter_context(flood_connections(*flood)) for flood in FLOODS[kind]]
        pipe.send([f'{flood.host}:{flood.port}' for flood in floods])
        expected_count = pipe.recv()
        until = time.monotonic() + NOTICE_LIMIT_S
        while True:
            closed_count = sum(flood.closed_count for flood in floods)
            if closed_count >= expected_count or time.monotonic() >= until:
                break
            time.sleep(NOTICE_INTERVAL_S)
        pipe.send(closed_count)


@contextlib.contextmanager
def open_floods(kind):
    """Yield the addresses of upstreams, and a function that ends them and counts connections.

    They run in a process of their own, so that they do not delay the callers and sound upstreams.
    """
    context = multiprocessing.get_context('spawn')
    pipe, other_end = context.Pipe()
    process = context.Process(target=serve_floods, args=(kind, other_end), daemon=True)
    process.start()

    def count_closed(expected_count):
        pipe.send(expected_count)
        return pipe.recv()

    try:
        yield pipe.recv(), count_closed
    finally:
        process.kill()
        process.join()


@contextlib.asynccontextmanager
async def open_flooded_daemon(kind):
    """Run a daemon whose service `flooding` has upstreams that send a kind of bytes."""
    with open_floods(kind) as (addresses, count_closed):
        async with open_fleet(1, routes=FLOOD_ROUTES) as fleet:
            await fleet.add_upstream('v1', service='ledger')
            for number, address in enumerate(addresses):
                entry = make_entry(address, 'flooding')
                fleet.store.put('servers', f'i-flood-{number}', entry)
            await fleet.start_daemons()
            await asyncio.sleep(SETTLE_S)
            yield fleet.daemons[0], addresses, count_closed


def count_connections(addresses):
    """Return how many connections to some ports are open at the end that opened them."""
    ports = {int(address.rpartition(':')[2]) for address in addresses}
    lines = pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]
    remotes = [(fields[2], fields[3]) for fields in map(str.split, lines)]
    return sum(
        int(remote.rpartition(':')[2], 16) in ports and state == ESTABLISHED
        for remote, state in remotes
    )


@pytest.mark.parametrize('kind', FLOODS)
@pytest.mark.parametrize('path', ['/flood/', '/flow/'])
async def test_daemon_outlasts_upstreams_that_send_without_end(kind, path):
    """Guards against a daemon that keeps what it reads until it runs out of memory."""
    async with open_flooded_daemon(kind) as (daemon, addresses, count_closed):
        is_over = asyncio.Event()
        booking = asyncio.create_task(book_until(daemon.address, is_over))
        statuses = await asyncio.gather(
            *(
                call(daemon.address, f'{path}{number}', f'{number:016x}', TIMEOUT_MS)
                for number in range(FLOODED_CALL_COUNT)
            )
        )
        open_count = count_connections(addresses)
        is_over.set()
        bookings = await booking
        memory_mb = daemon.measure_peak_memory_mb()
        # A call that was sent has failed, and its connection is closed when its caller has the
        # answer.
        assert open_count <= statuses.count(None)
        sent_count = statuses.count(502)
        assert count_closed(sent_count) >= sent_count
        assert daemon.is_running
        assert set(bookings) == {200}
        assert None not in statuses
        assert memory_mb < MAX_MEMORY_MB


@pytest.mark.parametrize('mode', ['endless_head', 'endless_body', 'endless_pages'])
async def test_daemon_outlasts_a_store_that_sends_without_end(mode):
    """Guards against a daemon that keeps what the store sends until it runs out of memory."""
    async with open_fleet(1) as fleet:
        await fleet.add_upstream('v1', service='ledger')
        for version in ('v1', 'v2'):
            await fleet.add_upstream(version)
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        daemon = fleet.daemons[0]
        is_over = asyncio.Event()
        booking = asyncio.create_task(book_until(daemon.address, is_over))
        fleet.store.set_mode(mode)
        # The daemon has to ask the store for the versions of these streams.
        await asyncio.gather(
            *(
                call(
                    daemon.address,
                    f'/draft/{number}/9',
                    f'{number:016x}',
                    STORE_FAULT_MS,
                    f'Last-Event-Id: 3\r\nResumes: {number + 100:016x}\r\n',
                )
                for number in range(TAKE_UP_COUNT)
            )
        )
        await asyncio.sleep(STORE_FAULT_MS / 1000)
        is_over.set()
        bookings = await booking
        memory_mb = daemon.measure_peak_memory_mb()
        fleet.store.set_mode('up')
        assert set(bookings) == {200}
        assert memory_mb < MAX_MEMORY_MB
        await fleet.wait_ready([daemon])


async def send_all_but_the_last_byte(address, attempt):
    """Return the status of the answer to a large request that does not end; 0 without one."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(
            f'POST /book/{attempt} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {attempt}\r\n'
            f'X-Deadline-Ms: 1200\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n'.encode()
        )
        writer.write(bytes(LARGE_BODY_BYTES - 1))
        async with asyncio.timeout(STORE_FAULT_MS / 1000):
            return int((await reader.readuntil(b'\r\n')).split()[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    finally:
        writer.transport.abort()


async def test_daemon_outlasts_large_requests_that_do_not_end():
    """Guards against a daemon that runs out of memory as each request may be large."""
    async with open_fleet(1) as fleet:
        await fleet.add_upstream('v1', service='ledger')
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        daemon = fleet.daemons[0]
        is_over = asyncio.Event()
        booking = asyncio.create_task(book_until(daemon.address, is_over))
        statuses = await asyncio.gather(
            *(
                send_all_but_the_last_byte(daemon.address, f'{number:016x}')
                for number in range(LARGE_REQUEST_COUNT)
            )
        )
        is_over.set()
        bookings = await booking
        assert set(bookings) == {200}
        assert 503 in statuses
        assert set(statuses) <= {0, 503}
        assert daemon.measure_peak_memory_mb() < MAX_MEMORY_MB
