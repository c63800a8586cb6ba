"""Planned stops of an edge daemon that serves callers on plain sockets."""

import asyncio
import contextlib
import os
import signal
import socket

import anyio
import attrs
import pytest

from camphorpath.clocks import read_lease_clock
from camphorpath.cluster.members import Members
from camphorpath.edge import daemon as daemon_module
from camphorpath.edge.state import DaemonState
from camphorpath.edge.stream_copies import StreamCopies
from camphorpath.relay.server import serve_calls
from camphorpath.relay.sockets import open_listener
from camphorpath.routing import CallKind

from ..relay.support import (
    ask,
    make_answer,
    make_context,
    make_request,
    open_upstream,
    read_answer,
    run,
    stay_unresponsive,
    wait_for,
)
from ..routing.test_table import make_route, make_table
from .fleet import Datagrams
from .test_state import BOUNDS, SETTINGS

SHORT_STOP_S = 2.4
# Fits into a send buffer, but not into the receive buffer of a slow caller.
LARGE_BODY = b'x' * 100_000
STREAM_HEAD = b'HTTP/1.1 200 OK\r\nAttempt: 1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n'
STREAM_PART = b'11\r\nid: 1\ndata: abc\n\n\r\n'
STREAM_END = b'0\r\n\r\n'
# A call that is cut at the end of a stop is excused if it was sent until then, and if its upstream
# was at work in the last part of the stop.
EXCUSED_SEND_S = 3
EXCUSED_END_SHARE = 1 / 6


@attrs.define
class Store:
    """A store that answers writes after a time."""

    delay_s: float = 0
    removed: list = attrs.field(factory=list)

    async def write_row(self, _table, key, _content):
        await anyio.sleep(self.delay_s)
        self.removed.append(key)


class LoneState(DaemonState):
    """The state of the only daemon, which keeps its upstreams while it stops."""

    def reassign(self):
        """Leave the assignment of the context as it is."""


@attrs.define
class StoppableDaemon:
    """A daemon that serves callers until its stop has ended."""

    daemon: daemon_module.EdgeDaemon
    port: int
    group: anyio.abc.TaskGroup
    stopped: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def relay(self):
        return self.daemon.relay

    def stop(self):
        self.group.start_soon(self._stop)

    async def _stop(self):
        await daemon_module._shut_down(self.daemon)
        self.stopped.set()
        # As at the end of the process.
        self.group.cancel_scope.cancel()


class Streams:
    """Has no records to write."""

    async def flush(self, limit_s):
        assert limit_s > 0


@contextlib.asynccontextmanager
async def open_daemon(*upstreams, stop_limit_s=SHORT_STOP_S, store=None):
    relay = make_context(upstreams)
    settings = attrs.evolve(SETTINGS, bounds=attrs.evolve(BOUNDS, stop_limit_s=stop_limit_s))
    state = LoneState(
        settings=settings, incarnation='me-1', relay=relay, members=Members(settings.host)
    )
    daemon = daemon_module.EdgeDaemon(
        settings=settings,
        relay=relay,
        state=state,
        follower=None,
        store=store or Store(),
        heartbeats=Datagrams(),
        quarantine=None,
        streams=Streams(),
        begun_versions=None,
        stream_queries=None,
        stream_copies=StreamCopies(relay.origins.records, state, Datagrams()),
        peers=None,
    )
    listener = open_listener('127.0.0.1:0')
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * len(LARGE_BODY))
    async with anyio.create_task_group() as outer:
        ready = anyio.Event()
        running = []

        async def serve():
            async with anyio.create_task_group() as group:
                running.append(StoppableDaemon(daemon, listener.getsockname()[1], group))
                group.start_soon(serve_calls, relay, listener, group)
                ready.set()
                await anyio.sleep_forever()

        outer.start_soon(serve)
        await ready.wait()
        yield running[0]
        outer.cancel_scope.cancel()
    listener.close()


async def answer_all(upstream, reader, writer):
    while True:
        head = await upstream.read_request(reader)
        writer.write(make_answer(LARGE_BODY if b'/read/large' in head else b'ok'))
        await writer.drain()


@pytest.mark.parametrize('stop_limit_s', [1, 2, 3, 8, 10, 30, 60, 300])
def test_calls_are_accepted_only_while_their_end_is_excused(stop_limit_s):
    """Guards against accepting a call late in a long stop that cuts it at its end."""
    times = daemon_module.plan_stop(stop_limit_s)
    assert times.accept_s < min(EXCUSED_SEND_S, stop_limit_s)
    assert times.accept_s < times.close_idle_s < times.cancel_s
    # Not cut while other upstreams have time to end.
    assert times.cancel_s >= (1 - EXCUSED_END_SHARE) * stop_limit_s
    assert times.cancel_s + times.margin_s <= stop_limit_s


def test_call_late_in_a_long_stop_is_refused_as_not_run(monkeypatch):
    """Guards against a call that may not be repeated and is cut at the end of a long stop."""
    monkeypatch.setattr(daemon_module, 'MAX_ACCEPT_S', 0.1, raising=False)

    async def test():
        async with (
            open_upstream(stay_unresponsive) as upstream,
            open_daemon(upstream, stop_limit_s=3) as running,
        ):
            reader, writer = await asyncio.open_connection('127.0.0.1', running.port)
            await wait_for(lambda: running.relay.connections)
            running.stop()
            await anyio.sleep(0.11)
            writer.write(make_request(b'/write/x', method=b'POST', body=b'abc'))
            status, head, _body = await read_answer(reader)
            assert status == 503
            assert b'retry-after: 0.1' in head.lower()
            assert b'connection: close' in head.lower()
            assert not upstream.requests
            writer.close()
            with anyio.fail_after(1):
                await running.stopped.wait()

    run(test)


def test_call_that_waits_for_a_manifest_is_not_accepted_late():
    """Guards against a call that is accepted after the last moment as it waited for a manifest."""

    async def test():
        async with open_upstream(answer_all) as upstream, open_daemon(upstream) as running:
            relay = running.relay
            relay.is_current = lambda: False
            relay.is_stopping = True
            relay.refuse_from = read_lease_clock() + 0.05
            async with anyio.create_task_group() as group:

                async def replace_later():
                    await anyio.sleep(0.1)
                    relay.apply_routing_table(make_table(make_route('/new/')))

                group.start_soon(replace_later)
                status, head, body = await ask(running.port, make_request(b'/new/x'))
            assert (status, body) == (503, b'daemon_stopping\n')
            assert b'retry-after' in head.lower()
            assert not upstream.requests

    run(test)


def test_unanswered_call_gets_an_answer_at_the_end_of_a_stop():
    """Guards against calls that the end of a stop cuts with no answer."""

    async def test():
        async with open_upstream(stay_unresponsive) as upstream, open_daemon(upstream) as running:
            running.relay.routing_table = make_table(
                make_route('/write/', kind=CallKind.NON_IDEMPOTENT, timeout_s=60)
            )
            async with anyio.create_task_group() as group:
                answers = []

                async def call():
                    answers.append(await ask(running.port, make_request(b'/write/x')))

                group.start_soon(call)
                await wait_for(lambda: upstream.requests)
                running.stop()
            assert answers[0][0] == 504
            await running.stopped.wait()

    run(test)


def test_stop_ends_in_time_while_the_store_is_away():
    """Guards against a stop that waits for the store until the process is killed."""

    async def test():
        async with open_daemon(stop_limit_s=1, store=Store(delay_s=60)) as running:
            running.stop()
            with anyio.fail_after(1):
                await running.stopped.wait()

    run(test)


def test_further_signals_do_not_change_a_stop():
    """Guards against a second SIGTERM, or a SIGHUP, that ends a stopping daemon."""

    async def test():
        async with open_daemon() as running:
            stop = anyio.Event()
            running.group.start_soon(daemon_module._watch_signals, running.daemon, stop)
            await anyio.sleep(0.05)
            os.kill(os.getpid(), signal.SIGTERM)
            await stop.wait()
            for number in (signal.SIGTERM, signal.SIGHUP):
                os.kill(os.getpid(), number)
                await anyio.sleep(0.05)
            running.stop()
            await running.stopped.wait()

    run(test)


def test_answer_on_its_way_is_not_cut_at_the_end_of_a_stop():
    """Guards against a reset of a connection whose answer is still in the send buffer."""

    async def test():
        async with open_upstream(answer_all) as upstream, open_daemon(upstream) as running:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(('127.0.0.1', running.port))
            sock.setblocking(False)
            running.stop()
            await wait_for(lambda: running.relay.is_stopping)
            sock.send(make_request(b'/read/large'))
            await wait_for(lambda: upstream.requests)
            # The caller reads slowly, and until after the end of the stop.
            await running.stopped.wait()
            received = b''
            while not received.endswith(LARGE_BODY[-1000:]) or len(received) < len(LARGE_BODY):
                await anyio.wait_readable(sock)
                chunk = sock.recv(100_000)
                assert chunk, 'the answer ended early'
                received += chunk
            sock.close()

    run(test)


def test_request_that_waits_in_the_socket_of_an_idle_connection_is_answered():
    """Guards against closing a connection as idle, in a stop, whose next request has arrived."""

    async def test():
        async with open_upstream(answer_all) as upstream, open_daemon(upstream) as running:
            reader, writer = await asyncio.open_connection('127.0.0.1', running.port)
            await wait_for(lambda: [c for c in running.relay.connections if c.is_idle])
            running.relay.refuse_from = read_lease_clock()
            os.write(writer.get_extra_info('socket').fileno(), make_request())
            # Before the task of the connection can run.
            daemon_module._close_idle_callers(running.relay)
            assert (await read_answer(reader))[0] == 503
            writer.close()

    run(test)


def test_request_that_is_half_read_is_answered_in_a_stop():
    """Guards against a daemon that ends while a request is being read."""

    async def test():
        async with open_upstream(answer_all) as upstream, open_daemon(upstream) as running:
            reader, writer = await asyncio.open_connection('127.0.0.1', running.port)
            request = make_request()
            writer.write(request[:20])
            await wait_for(lambda: running.relay.connections)
            running.stop()
            await anyio.sleep(0.5 * SHORT_STOP_S)
            writer.write(request[20:])
            assert (await read_answer(reader))[0] == 503
            writer.close()

    run(test)


def test_answers_after_the_begin_of_a_stop_announce_the_close():
    """Guards against callers that reuse a connection which is about to be closed."""
    may_answer = anyio.Event()

    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        await may_answer.wait()
        writer.write(make_answer())
        await writer.drain()

    async def test():
        async with open_upstream(handle) as upstream, open_daemon(upstream) as running:
            reader, writer = await asyncio.open_connection('127.0.0.1', running.port)
            writer.write(make_request())
            await wait_for(lambda: upstream.requests)
            running.stop()
            await anyio.sleep(0.05)
            may_answer.set()
            status, head, _body = await read_answer(reader)
            assert status == 200
            assert b'connection: close' in head.lower()
            writer.close()

    run(test)


def test_request_that_was_read_ahead_is_answered_in_a_stop():
    """Guards against dropping a request that was read behind the last one on a connection."""

    async def test():
        async with open_upstream(answer_all) as upstream, open_daemon(upstream) as running:
            reader, writer = await asyncio.open_connection('127.0.0.1', running.port)
            await wait_for(lambda: running.relay.connections)
            running.stop()
            await anyio.sleep(0.01)
            writer.write(make_request() + make_request())
            heads = [(await read_answer(reader))[1].lower() for _ in range(2)]
            assert [b'connection: close' in head for head in heads] == [False, True]
            assert len(upstream.requests) == 2
            writer.close()

    run(test)


def test_stream_that_began_before_a_stop_is_not_followed_by_a_close():
    """Guards against dropping the next request on a connection whose close was not announced."""
    may_end = anyio.Event()

    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(STREAM_HEAD + STREAM_PART)
        await may_end.wait()
        writer.write(STREAM_END)
        await writer.drain()

    async def test():
        async with open_upstream(handle) as upstream, open_daemon(upstream) as running:
            reader, writer = await asyncio.open_connection('127.0.0.1', running.port)
            writer.write(make_request(b'/stream/x'))
            await reader.readuntil(STREAM_PART)
            running.stop()
            await wait_for(lambda: running.relay.is_stopping)
            running.relay.refuse_from = read_lease_clock()
            may_end.set()
            await reader.readuntil(STREAM_END)
            writer.write(make_request())
            assert (await read_answer(reader))[0] == 503
            writer.close()

    run(test)
