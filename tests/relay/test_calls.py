import asyncio
import contextlib
import socket

import anyio
import attrs
import pytest

from camphorpath.clocks import read_lease_clock
from camphorpath.placement.budget import RetryBudget
from camphorpath.placement.crashes import Crash, digest_call
from camphorpath.placement.ownership import Assignment
from camphorpath.placement.quarantine import CRASH_LIMIT, PROBE_INTERVAL_S
from camphorpath.relay import upstream as upstream_module
from camphorpath.relay.caller import MAX_READ_AHEAD_BYTES
from camphorpath.relay.sockets import LINGER_RESET, READ_BYTES
from camphorpath.routing import CallerLimits, CallKind
from camphorpath.schema import camphorpath_pb2 as pb

from ..routing.test_table import make_route, make_table
from .support import (
    TEST_TIMEOUT_S,
    answer_with,
    ask,
    make_answer,
    make_request,
    open_relay,
    open_upstream,
    read_answer,
    run,
    stay_unresponsive,
    wait_for,
)

# More than the relay reads ahead; less than it and the receive buffer of its socket hold.
PIPELINED_BYTES = MAX_READ_AHEAD_BYTES + READ_BYTES + 1024


def count_read_ahead(caller):
    """Return the number of bytes that a connection has read beyond the current request."""
    return len(caller.http.trailing_data[0])


def test_answer_is_relayed_unchanged():
    """Guards against answers whose status, body or signature is lost."""

    async def test():
        reply = make_answer(b'hello', b'201 Created', extra=b'Other: x\r\n')
        async with open_upstream(answer_with(reply)) as upstream, open_relay(upstream) as relay:
            status, head, body = await ask(relay[1], make_request())
        assert (status, body) == (201, b'hello')
        assert b'signature: s' in head.lower()
        assert b'other: x' in head.lower()

    run(test)


def test_headers_that_the_relay_sets_replace_those_of_the_caller():
    """Guards against a caller that sets its own customer, upstream or deadline."""

    async def test():
        headers = b'Key: secret\r\nCustomer: root\r\nExpected: i-9\r\nReserved: 1\r\nMine: 2\r\n'
        request = make_request(b'/keyed/x?q=1', headers=headers, body=b'abc', method=b'POST')
        async with open_upstream(answer_with(make_answer())) as upstream:
            async with open_relay(upstream) as relay:
                await ask(relay[1], request)
            head, body = upstream.requests[0]
        lines = head.lower().split(b'\r\n')
        assert lines[0] == b'post /keyed/x?q=1 http/1.1'
        assert body == b'abc'
        assert b'customer: acme' in lines
        assert b'expected: i-0' in lines
        assert b'mine: 2' in lines
        assert b'host: h' in lines
        assert not [line for line in lines if line.startswith((b'key:', b'reserved:'))]
        deadline = [line for line in lines if line.startswith(b'deadline-ms:')]
        assert len(deadline) == 1
        assert int(deadline[0].split()[1]) <= 1000

    run(test)


@pytest.mark.parametrize(
    ('request_bytes', 'status'),
    [
        (make_request(b'/nowhere/x'), 404),
        (make_request(b'/keyed/x'), 401),
        (make_request(b'/keyed/x', headers=b'Key: other\r\n'), 401),
        (make_request(headers=b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n'), 400),
        (b'GET  /read/x HTTP/1.1\r\n\r\n', 400),
        (make_request(headers=b'Content-Length: 9999\r\n'), 413),
        (make_request(headers=b'Long: ' + b'x' * 5000 + b'\r\n'), 431),
    ],
)
def test_invalid_requests_are_refused(request_bytes, status):
    """Guards against forwarding requests that are malformed, too large or not allowed."""

    async def test():
        limits = CallerLimits(max_head_bytes=2000, max_body_bytes=100)
        async with open_upstream(answer_with(make_answer())) as upstream:
            async with open_relay(upstream, limits=limits) as relay:
                assert (await ask(relay[1], request_bytes))[0] == status
            assert not upstream.requests

    run(test)


def test_refusal_without_manifest_allows_a_retry():
    """Guards against 404 by a daemon that has not received its first manifest."""

    async def test():
        async with open_relay() as (context, port):
            context.routing_table = None
            status, head, _body = await ask(port, make_request())
        assert status == 503
        assert b'retry-after' in head.lower()

    run(test)


@pytest.mark.parametrize(
    'request_bytes',
    [
        make_request(b'/nowhere/x'),
        make_request(b'/keyed/x'),
        make_request(headers=b'Content-Length: 9999\r\n'),
        make_request(headers=b'Long: ' + b'x' * 5000 + b'\r\n'),
    ],
)
def test_refusal_by_an_old_manifest_allows_a_retry(request_bytes):
    """Guards against 404, 401, 413 and 431 by a daemon that lacks a newer manifest."""

    async def test():
        limits = CallerLimits(max_head_bytes=2000, max_body_bytes=100)
        async with open_relay(limits=limits) as (context, port):
            context.is_current = lambda: False
            status, head, _body = await ask(port, request_bytes)
        assert status == 503
        assert b'retry-after' in head.lower()

    run(test)


def test_call_to_a_new_route_waits_for_the_newer_manifest():
    """Guards against refusals of the first calls to a new route."""

    async def test():
        async with open_upstream(answer_with(make_answer())) as upstream:
            async with open_relay(upstream) as (context, port):
                newer = context.routing_table
                context.routing_table = make_table()
                context.is_current = lambda: context.routing_table is newer
                async with anyio.create_task_group() as group:
                    group.start_soon(apply_table_later, context, newer)
                    status, _head, _body = await ask(port, make_request())
        assert status == 200

    run(test)


@pytest.mark.parametrize('length', [150, 3000])
def test_limits_of_a_newer_manifest_apply_to_open_connections(length):
    """Guards against 413 and 431 by the manifest of the time when a connection was opened."""

    async def test():
        async with open_upstream(answer_with(make_answer())) as upstream:
            limits = CallerLimits(max_head_bytes=2000, max_body_bytes=100)
            async with open_relay(upstream, limits=limits) as (context, port):
                reader, writer = await asyncio.open_connection('127.0.0.1', port)
                writer.write(make_request(b'/nowhere/x'))
                assert (await read_answer(reader))[0] == 404
                # Gives the relay time to wait for the next request.
                await anyio.sleep(0.05)
                context.apply_routing_table(make_table(make_route('/read/')))
                head = b'Long: ' + b'x' * length + b'\r\n'
                request = make_request(headers=head, body=b'y' * length, method=b'POST')
                # Sent in two parts, as a head that arrives at once is checked elsewhere.
                writer.write(request[: length // 2 + 1000])
                await anyio.sleep(0.05)
                writer.write(request[length // 2 + 1000 :])
                status, _head, _body = await read_answer(reader)
                writer.close()
        assert status == 200

    run(test)


def test_wait_for_a_manifest_is_bounded_by_the_deadline(monkeypatch):
    """Guards against refusals that are sent after the deadline of the caller."""
    monkeypatch.setattr('camphorpath.relay.acceptance.NEWER_MANIFEST_WAIT_S', 10)

    async def test():
        async with open_relay() as (context, port):
            context.is_current = lambda: False
            request = make_request(b'/nowhere/x').replace(b'Deadline-Ms: 5000', b'Deadline-Ms: 200')
            began_at = anyio.current_time()
            status, _head, _body = await ask(port, request)
        assert status == 503
        assert anyio.current_time() - began_at < 5

    run(test)


def test_refusal_without_route_logs_host_and_path():
    """Guards against logs that do not tell a new route from one that never existed."""

    async def test():
        async with open_relay() as (context, port):
            await ask(port, make_request(b'/nowhere/x?secret=1'))
            records = context.events.select(pb.TimelineRequest())
        refused = [record for record in records if record.name == 'request_refused']
        assert refused[0].fields['detail'] == 'no route for h/nowhere/x'

    run(test)


async def apply_table_later(context, table):
    await anyio.sleep(0.1)
    context.apply_routing_table(table)


def test_call_that_was_not_run_goes_to_another_upstream():
    """Guards against a refusal while another upstream has free slots."""

    async def test():
        full = make_answer(b'', b'503 Full', extra=b'Not-Run: 1\r\nLoad: 4,2,4\r\n')
        async with (
            open_upstream(answer_with(full)) as first,
            open_upstream(answer_with(make_answer(b'second'))) as second,
            open_relay(first, second) as relay,
        ):
            status, _head, body = await ask(relay[1], make_request(b'/twice/x'))
        assert (status, body) == (200, b'second')

    run(test)


def test_call_with_one_attempt_is_refused_as_not_run():
    """Guards against more attempts than the route allows."""

    async def test():
        full = make_answer(b'', b'503 Full', extra=b'Not-Run: 1\r\n')
        async with (
            open_upstream(answer_with(full)) as first,
            open_upstream(answer_with(make_answer())) as second,
            open_relay(first, second) as relay,
        ):
            status, head, _body = await ask(relay[1], make_request(b'/write/x'))
            assert not second.requests
        assert status == 503
        assert b'retry-after' in head.lower()

    run(test)


@pytest.mark.parametrize('path', [b'/write/x', b'/twice/x'])
def test_call_that_may_have_run_is_not_repeated(path):
    """Guards against a booking that is made twice, or is reported as not run."""

    async def test():
        async with (
            open_upstream(answer_with(None)) as first,
            open_upstream(answer_with(make_answer())) as second,
            open_relay(first, second) as relay,
        ):
            status, _head, _body = await ask(relay[1], make_request(path))
            assert (len(first.requests), len(second.requests)) == (1, 0)
        assert status == 502

    run(test)


@pytest.mark.parametrize('path', [b'/write/x', b'/twice/x', b'/once/x', b'/read/x', b'/stream/x'])
@pytest.mark.parametrize('status', [b'408 Timeout', b'429 Busy', b'503 Failed'])
def test_status_of_an_upstream_is_not_passed_on_as_a_promise(status, path):
    """Guards against orders that callers repeat, as the upstream failed with 503 after the run."""

    async def test():
        failed = make_answer(b'failed after the run', status)
        async with (
            open_upstream(answer_with(failed)) as first,
            open_upstream(answer_with(failed)) as second,
            open_relay(first, second) as (context, port),
        ):
            code, head, _body = await ask(port, make_request(path))
            is_retried = path in {b'/read/x', b'/stream/x'} and status.startswith(b'503')
            assert (len(first.requests), len(second.requests)) == (1, is_retried)
            health = context.scheduler.slots['i-0'].health
            assert health.failures == status.startswith(b'503')
        assert code == 502
        assert b'signature' not in head.lower()

    run(test)


def test_probe_that_crashed_an_upstream_is_not_refused_as_not_run():
    """Guards against a promise of "not run" to a call that was held back before its retry."""

    async def test():
        async with (
            open_upstream(answer_with(None)) as first,
            open_upstream(answer_with(make_answer())) as second,
            open_relay(first, second) as (context, port),
        ):
            crashed_at = read_lease_clock() - PROBE_INTERVAL_S
            for number in range(CRASH_LIMIT):
                crash = Crash(digest_call(b'/read/x', b'', b''), f'other-{number}')
                context.quarantine.record_crash(crash, crashed_at, is_from_peer=True)
            context.recheck_quarantine()
            status, _head, _body = await ask(port, make_request())
            assert (len(first.requests), len(second.requests)) == (1, 0)
        assert status == 502

    run(test)


@pytest.mark.parametrize(
    'broken',
    [
        None,
        make_answer(b'x' * 50)[:-10],
        b'not http\r\n\r\n',
        make_answer(b'', b'500 Error'),
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok',
    ],
)
def test_repeatable_call_is_served_by_another_upstream(broken):
    """Guards against relaying an incomplete answer or one without a signature."""

    async def test():
        async with (
            open_upstream(answer_with(broken)) as first,
            open_upstream(answer_with(make_answer(b'whole'))) as second,
            open_relay(first, second) as relay,
        ):
            status, _head, body = await ask(relay[1], make_request())
        assert (status, body) == (200, b'whole')

    run(test)


@pytest.mark.parametrize(
    ('allowance', 'others'), [(0, 1), (100, 0)], ids=['no_retry_budget', 'no_other_upstream']
)
def test_server_error_is_relayed_if_the_call_cannot_be_repeated(allowance, others):
    """Guards against replacing the answer of an upstream when no retry is granted."""
    failed = make_answer(b'why', b'500 Error')

    async def test():
        async with contextlib.AsyncExitStack() as stack:
            replies = [failed, *[make_answer(b'other')] * others]
            upstreams = [
                await stack.enter_async_context(open_upstream(answer_with(reply)))
                for reply in replies
            ]
            context, port = await stack.enter_async_context(open_relay(*upstreams))
            context.budget = RetryBudget(ratio=0, window_s=10, allowance=allowance)
            status, _head, body = await ask(port, make_request())
        assert (status, body) == (500, b'why')

    run(test)


def test_upstream_that_cannot_be_reached_is_skipped():
    """Guards against failing a call of which no byte was sent."""

    async def test():
        async with open_upstream(answer_with()) as closed:
            pass
        async with (
            open_upstream(answer_with(make_answer(b'second'))) as second,
            open_relay(closed, second) as relay,
        ):
            status, _head, body = await ask(relay[1], make_request(b'/write/x'))
        assert (status, body) == (200, b'second')

    run(test)


@pytest.mark.parametrize(
    ('timeout_s', 'objective_s', 'connect_s'),
    [(10, 0.5, 0.6), (0.8, 0.145, 0.6), (0.5, 0.2, 0.3), (0.3, 0.28, 0.1)],
)
def test_connect_timeout_leaves_time_for_another_upstream(
    monkeypatch, timeout_s, objective_s, connect_s
):
    """Guards against an unreachable upstream that uses up the time of a short call."""
    timeouts_s = []

    async def connect(host, port, limit_s):
        timeouts_s.append(limit_s)
        raise TimeoutError

    monkeypatch.setattr(upstream_module, 'open_connection', connect)

    async def test():
        async with (
            open_upstream(answer_with()) as upstream,
            open_relay(upstream) as (context, port),
        ):
            route = make_route('/read/', timeout_s=timeout_s, objective_s=objective_s)
            context.routing_table = make_table(route)
            assert (await ask(port, make_request()))[0] == 503
        assert timeouts_s[0] == pytest.approx(connect_s)

    run(test)


def test_duplicate_answer_is_not_relayed_to_the_next_caller():
    """Guards against a stray answer to an earlier request on a reused connection."""

    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(make_answer(b'first'))
        await upstream.read_request(reader)
        writer.write(make_answer(b'stray'))
        writer.write(make_answer(b'second', attempt=b'2'))
        await upstream.wait_closed(reader)

    async def test():
        async with open_upstream(handle) as upstream, open_relay(upstream) as relay:
            first = await ask(relay[1], make_request())
            second = await ask(relay[1], make_request(attempt=b'2'))
            assert (first[2], second[2]) == (b'first', b'second')
            assert relay[0].pool.opened_count == 1

    run(test)


def test_connection_with_bytes_after_an_answer_is_not_reused():
    """Guards against stray bytes that are taken for the answer to the next request."""

    async def test():
        spoiled = make_answer(b'first') + make_answer(b'stray', attempt=b'2')
        async with (
            open_upstream(answer_with(spoiled, make_answer(b'second', attempt=b'2'))) as upstream,
            open_relay(upstream) as relay,
        ):
            await ask(relay[1], make_request())
            second = await ask(relay[1], make_request(attempt=b'2'))
            assert second[2] == b'second'
            assert relay[0].pool.opened_count == 2

    run(test)


def test_upstream_work_stops_when_the_caller_leaves():
    """Guards against upstreams that work for callers that have left."""

    async def test():
        async with open_upstream(stay_unresponsive) as upstream, open_relay(upstream) as relay:
            _reader, writer = await asyncio.open_connection('127.0.0.1', relay[1])
            writer.write(make_request(b'/once/x'))
            await wait_for(lambda: upstream.requests)
            writer.close()
            await wait_for(lambda: upstream.closed_count, 0.5)
            assert not relay[0].scheduler.slots['i-0'].running

    run(test)


@pytest.mark.parametrize('is_reset', [False, True])
def test_close_by_the_caller_behind_unread_requests_is_detected(is_reset):
    """Guards against upstreams that work for a caller that pipelined requests and left.

    Its unread bytes hide the end of its input.
    """

    async def test():
        limits = CallerLimits()
        async with (
            open_upstream(stay_unresponsive) as upstream,
            open_relay(upstream, limits=limits) as (context, port),
        ):
            # The timeout of the route must not end the call first.
            route = make_route('/once/', kind=CallKind.STREAM, timeout_s=TEST_TIMEOUT_S)
            context.routing_table = make_table(route, limits=limits)
            sock = socket.create_connection(('127.0.0.1', port))
            sock.sendall(make_request(b'/once/x') + bytes(PIPELINED_BYTES))
            await wait_for(lambda: upstream.requests)
            (caller,) = context.connections
            await wait_for(lambda: count_read_ahead(caller) >= MAX_READ_AHEAD_BYTES)
            assert not upstream.closed_count
            if is_reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            sock.close()
            await wait_for(lambda: upstream.closed_count)
            assert not context.scheduler.slots['i-0'].running
            assert count_read_ahead(caller) < MAX_READ_AHEAD_BYTES + READ_BYTES
            # The timeout would close the upstream connection too, so the log must show the cause.
            await wait_for(lambda: not context.in_progress)
            names = [record.name for record in context.events.select(pb.TimelineRequest())]
            assert 'caller_left' in names

    run(test)


def test_requests_read_ahead_are_bounded_over_all_calls_of_a_connection():
    """Guards against memory use that grows with each answer to a pipelining caller."""

    async def test():
        replies = [make_answer(attempt=b'%d' % number) for number in range(8)]
        async with (
            open_upstream(answer_with(*replies)) as upstream,
            open_relay(upstream) as (context, port),
        ):
            requests = [make_request(attempt=b'%d' % number) for number in range(9)]
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(b''.join(requests) + bytes(8 * PIPELINED_BYTES))
            for _ in range(8):
                await read_answer(reader)
            await wait_for(lambda: len(upstream.requests) == 8)
            (caller,) = context.connections
            assert count_read_ahead(caller) < MAX_READ_AHEAD_BYTES + READ_BYTES
            writer.close()

    run(test)


def test_waiting_call_of_a_caller_that_left_is_not_sent():
    """Guards against sending a call after its caller has left."""

    async def test():
        async with open_upstream(stay_unresponsive) as upstream, open_relay(upstream) as relay:
            writers = []
            for _ in range(5):
                _reader, writer = await asyncio.open_connection('127.0.0.1', relay[1])
                writer.write(make_request(b'/once/x', attempt=b'%d' % len(writers)))
                writers.append(writer)
                await anyio.sleep(0.02)
            assert relay[0].scheduler.count_waiting() == {'llm': 1}
            writers[4].close()
            await anyio.sleep(0.05)
            writers[0].close()
            await anyio.sleep(0.05)
            assert len(upstream.requests) == 4

    run(test)


def test_late_answer_ends_in_a_timeout():
    """Guards against a call that lasts longer than its route allows."""

    async def test():
        async with open_upstream(stay_unresponsive) as upstream, open_relay(upstream) as relay:
            began = anyio.current_time()
            status, _head, _body = await ask(relay[1], make_request(b'/write/x'))
            assert status == 504
            assert 0.9 < anyio.current_time() - began < 1.4

    run(test)


def test_connection_is_reused_for_pipelined_requests():
    """Guards against closing a connection while the next request is on its way."""

    async def test():
        async with (
            open_upstream(
                answer_with(make_answer(b'a'), make_answer(b'b', attempt=b'2'))
            ) as upstream,
            open_relay(upstream) as relay,
        ):
            reader, writer = await asyncio.open_connection('127.0.0.1', relay[1])
            writer.write(make_request() + make_request(attempt=b'2'))
            assert (await read_answer(reader))[2] == b'a'
            assert (await read_answer(reader))[2] == b'b'
            writer.close()

    run(test)


@pytest.mark.parametrize(('path', 'method'), [(b'/read/x', b'GET'), (b'/write/x', b'POST')])
def test_connection_is_not_reused_at_its_keep_alive_timeout(path, method):
    """Guards against losing an unrepeatable call as its upstream closes the connection."""

    async def test():
        replies = [
            make_answer(attempt=b'%d' % number, extra=b'Keep-Alive: timeout=1\r\n')
            for number in (1, 2)
        ]
        async with (
            open_upstream(answer_with(*replies)) as upstream,
            open_relay(upstream) as (context, port),
        ):
            for number in (1, 2):
                request = make_request(path, attempt=b'%d' % number, method=method)
                assert (await ask(port, request))[0] == 200
            assert context.pool.opened_count == 2

    run(test)


def test_early_answer_to_a_long_body_is_relayed():
    """Guards against a hang when an upstream answers before it has read the whole body."""

    async def handle(upstream, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        upstream.requests.append(b'')
        writer.write(make_answer(b'too long', b'413 Too Large'))
        await anyio.sleep(0.3)

    async def test():
        body = b'x' * 3_000_000
        async with open_upstream(handle) as upstream, open_relay(upstream) as relay:
            request = make_request(b'/write/x', body=body, method=b'POST')
            status, _head, text = await ask(relay[1], request)
        assert (status, text) == (413, b'too long')

    run(test)


def test_upstream_is_ejected_after_failures_and_restored():
    """Guards against an upstream that gets no calls without a reason in the log."""

    async def test():
        failure = make_answer(b'', b'500 Error')
        replies = [failure] * 3 + [make_answer()]
        async with (
            open_upstream(answer_with(*replies)) as first,
            open_relay(first) as (context, port),
        ):
            for _ in range(3):
                await ask(port, make_request(b'/write/x'))
            names = [record.name for record in context.events.select(pb.TimelineRequest())]
            assert names.count('upstream_set_aside') == 1
            context.scheduler.slots['i-0'].health.ejected_until = 0.1
            await ask(port, make_request(b'/write/x'))
            names = [record.name for record in context.events.select(pb.TimelineRequest())]
            assert names.count('upstream_restored') == 1

    run(test)


def test_unresponsive_attempt_continues_without_retry_budget():
    """Guards against giving up a slow answer when the retry budget is used up."""

    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        await anyio.sleep(1.2)
        writer.write(make_answer(b'slow'))

    async def test():
        async with (
            open_upstream(handle) as first,
            open_upstream(handle) as second,
            open_relay(first, second) as (context, port),
        ):
            routes = [attrs.evolve(route, timeout_s=5) for route in context.routing_table.routes]
            context.routing_table = attrs.evolve(context.routing_table, routes=tuple(routes))
            context.budget = RetryBudget(ratio=0, window_s=10, allowance=0)
            status, _head, body = await ask(port, make_request())
        assert (status, body) == (200, b'slow')

    run(test)


def test_call_counts_for_the_share_of_its_customer():
    """Guards against shares that have no effect, as calls do not tell their customer."""

    async def test():
        async with (
            open_upstream(answer_with(make_answer(), None)) as first,
            open_relay(first) as (context, port),
        ):
            await ask(port, make_request(headers=b'Key: secret\r\n'))
            await ask(port, make_request())
            assert context.scheduler.customers.share_served() == {'acme': 1}

    run(test)


def test_each_answer_is_counted_once():
    """Guards against metrics that count an answer more than once."""

    async def test():
        async with (
            open_upstream(answer_with(make_answer(), None)) as first,
            open_relay(first) as (context, port),
        ):
            for path in (b'/read/x', b'/write/x', b'/nowhere/x'):
                await ask(port, make_request(path))
            counted = context.metrics.answers.values.store
            assert sum(counted.values()) == 3

    run(test)


@pytest.mark.parametrize('attempt', [b'Attempt: 1\r\n', b''])
def test_duplicate_answer_without_attempt_id_is_not_relayed(attempt):
    """Guards against relaying a duplicate without attempt id to another caller."""
    copy = b'HTTP/1.1 200 OK\r\n%bSignature: s\r\nContent-Length: 5\r\n\r\nfirst' % attempt

    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(make_answer(b'first', attempt=b'1'))
        await writer.drain()
        await upstream.read_request(reader)
        writer.write(copy + make_answer(b'second', attempt=b'2'))
        await writer.drain()

    async def test():
        async with open_upstream(handle) as upstream, open_relay(upstream) as relay:
            await ask(relay[1], make_request(b'/write/x', b'1'))
            _status, _head, body = await ask(relay[1], make_request(b'/write/x', b'2'))
        assert body != b'first'

    run(test)


ENDLESS_PARTS = (
    b'HTTP/1.1 103 Early\r\nLink: x\r\n\r\n' * 100,
    b'X-Filler: y\r\n' * 1000,
    b'1000\r\n' + b'z' * 4096 + b'\r\n',
)
ENDLESS_HEADS = (
    b'',
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 200 OK\r\nAttempt: 0\r\nTransfer-Encoding: chunked\r\n\r\n',
)


@pytest.mark.parametrize(
    ('head', 'part'),
    list(zip(ENDLESS_HEADS, ENDLESS_PARTS, strict=True)),
    ids=['103', 'head', 'body'],
)
def test_endless_answer_is_cut_off_at_a_limit(head, part):
    """Guards against an upstream that sends interim heads, headers or bodies without end."""
    sent = []

    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(head)
        while not writer.transport.is_closing():
            writer.write(part)
            sent.append(len(part))
            await writer.drain()

    async def test():
        async with open_upstream(handle) as upstream, open_relay(upstream) as relay:
            with anyio.fail_after(0.9):
                status, _head, _body = await ask(relay[1], make_request(b'/write/x'))
            assert status == 502
            await wait_for(lambda: not relay[0].in_progress)
        assert sum(sent) < 8 * 1024 * 1024

    run(test)


def test_leaving_upstream_is_reported():
    """Guards against calls to a leaving upstream whose store entry does not show it yet."""

    async def test():
        reply = make_answer(extra=b'Leaving: 1\r\n')
        async with open_upstream(answer_with(reply)) as upstream, open_relay(upstream) as relay:
            reported = []
            relay[0].on_leaving = reported.append
            await ask(relay[1], make_request())
        assert [upstream.upstream_id for upstream in reported] == ['i-0']

    run(test)


def test_backoff_of_an_upstream_is_respected():
    """Guards against calls to an upstream within the Retry-After that it stated."""

    async def test():
        busy = make_answer(
            status=b'503 Busy', extra=b'Not-Run: 1\r\nRetry-After: 0.6\r\n', attempt=b'1'
        )
        async with (
            open_upstream(answer_with(busy, make_answer(attempt=b'4'))) as upstream,
            open_relay(upstream) as relay,
        ):
            for attempt in (b'1', b'2', b'3'):
                status, _head, _body = await ask(relay[1], make_request(b'/write/x', attempt))
                assert status == 503
            assert len(upstream.requests) == 1
            await anyio.sleep(0.6)
            status, _head, _body = await ask(relay[1], make_request(b'/write/x', b'4'))
            assert status == 200

    run(test)


def test_call_that_crashes_upstreams_is_refused():
    """Guards against a repeated call that crashes all upstreams, one after the other."""

    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.transport.abort()

    async def test():
        async with contextlib.AsyncExitStack() as stack:
            upstreams = [await stack.enter_async_context(open_upstream(handle)) for _ in range(5)]
            context, port = await stack.enter_async_context(open_relay(*upstreams))
            for attempt in range(5):
                await ask(port, make_request(b'/read/x', b'%d' % attempt))
            ended = {crash.upstream for crash in context.quarantine.drain_crashes()}
            assert len(ended) >= CRASH_LIMIT
            sent = sum(len(upstream.requests) for upstream in upstreams)
            status, _head, _body = await ask(port, make_request(b'/read/x', b'9'))
            assert status == 503
            assert sum(len(upstream.requests) for upstream in upstreams) == sent

    run(test)


@pytest.mark.parametrize(('path', 'status'), [(b'/write/x', 504), (b'/read/x', 504)])
def test_calls_in_progress_at_the_end_of_a_stop_are_answered(path, status):
    """Guards against calls without an answer when the time limit of a stop is reached."""

    async def test():
        async with (
            open_upstream(stay_unresponsive) as upstream,
            open_relay(upstream) as (context, port),
        ):
            async with anyio.create_task_group() as group:
                answers = []

                async def call():
                    answers.append(await ask(port, make_request(path)))

                group.start_soon(call)
                await wait_for(lambda: upstream.requests)
                context.cancel_calls()
            assert answers[0][0] == status

    run(test)


def test_call_continues_when_its_upstream_is_replaced_and_removed():
    """Guards against a crash or a lost call when the entry of its upstream changes meanwhile."""
    may_answer = anyio.Event()

    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        await may_answer.wait()
        writer.write(make_answer(b'whole'))
        await writer.drain()

    async def test():
        async with open_upstream(handle) as upstream, open_relay(upstream) as (context, port):
            answers = []

            async def call():
                answers.append(await ask(port, make_request(b'/write/x')))

            async with anyio.create_task_group() as group:
                group.start_soon(call)
                await wait_for(lambda: upstream.requests)
                entry = context.scheduler.slots['i-0'].upstream
                replaced = attrs.evolve(entry, incarnation=9)
                for listed in ([replaced], []):
                    context.scheduler.set_upstreams(listed, Assignment({}, {}))
                may_answer.set()
            assert answers[0][2] == b'whole'

    run(test)
