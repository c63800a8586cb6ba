"""Answers with neither a length nor chunks, whose upstream is gone when they have ended."""

import asyncio
import contextlib

import anyio
import pytest

from camphorpath.events import Event
from camphorpath.placement.ownership import Assignment
from camphorpath.schema import camphorpath_pb2 as pb

from .support import (
    SIGNED,
    ScriptedUpstream,
    answer_with,
    ask,
    make_answer,
    make_request,
    open_relay,
    open_upstream,
    read_to_end,
    run,
)
from .test_killed_upstreams import STREAM_END, make_begin, open_process, read_while
from .test_restarted_upstreams import (
    REGISTERED,
    RESTARTED,
    make_report,
    open_relay_with_reports,
    serve_process,
)
from .test_software_versions import replace_entry
from .test_streams import HEAD, make_event, read_events, stream_events

STREAM = make_request(b'/stream/x')
STREAM_ONCE = make_request(b'/once/x')
LEAVING = b'Leaving: 1\r\n'
PLAIN_BEGIN = b'HTTP/1.1 200 OK\r\nAttempt: 1\r\nSignature: s\r\n%bConnection: close\r\n\r\nbeg'
TWO_EVENTS = [b'data: e1', b'data: e2']
THREE_EVENTS = [*TWO_EVENTS, b'data: e3']
EMPTY_CHUNKS = HEAD + STREAM_END
EMPTY_BODY = HEAD.replace(b'Transfer-Encoding: chunked', b'Content-Length: 0')
NO_CONTENT = b'HTTP/1.1 204 No Content\r\nAttempt: 1\r\nSignature: s\r\n\r\n'


def remove_entry(context):
    """Apply a listing without the first upstream."""
    scheduler = context.scheduler
    entries = [slots.upstream for key, slots in scheduler.slots.items() if key != 'i-0']
    owners = {entry.upstream_id: 'me' for entry in entries}
    scheduler.set_upstreams(entries, Assignment({}, owners))


def mark_entry(context):
    replace_entry(context, 'i-0', is_leaving=True)


def announce(context):
    """The head of the answer says that the upstream leaves."""


def count_failures(context):
    slots = context.scheduler.slots.get('i-0')
    return slots.health.failures if slots else 0


def list_set_aside(context):
    return list(context.events.select(pb.TimelineRequest(number=Event.UPSTREAM_SET_ASIDE)))


@contextlib.asynccontextmanager
async def open_exiting_upstream(handle, exit_s):
    """Run an upstream that stops to listen `exit_s` seconds after the end of its first answer."""

    async def accept(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await handle(upstream, reader, writer)
        writer.close()
        await anyio.sleep(exit_s)
        server.close()

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    upstream = ScriptedUpstream(*server.sockets[0].getsockname()[:2])
    try:
        yield upstream
    finally:
        server.close()


def send_and_close(answer):
    """Return a handler that sends an answer and ends it with the connection."""

    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(answer)
        await writer.drain()

    return handle


@pytest.mark.parametrize('leave', [announce, remove_entry, mark_entry])
def test_stream_of_a_leaving_upstream_that_is_killed_goes_on_elsewhere(leave):
    """Guards against a stream that looks complete as its upstream is killed while it leaves."""

    async def test():
        contexts = []

        async def handle(upstream, reader, writer):
            await upstream.read_request(reader)
            writer.write(make_report(REGISTERED))
            await upstream.read_request(reader)
            writer.write(make_begin(1, 2, extra=LEAVING if leave is announce else b''))
            await writer.drain()
            await anyio.sleep(0.05)
            leave(contexts[0])
            await anyio.sleep(0.05)

        async with (
            open_exiting_upstream(handle, 0) as first,
            open_upstream(serve_process(make_report(REGISTERED), [3])) as second,
            open_relay_with_reports(first, second) as (context, port),
        ):
            contexts.append(context)
            received, is_reset = await read_to_end(port, STREAM)
            assert b'last-event-id: 2' in second.requests[0][0].lower()
            assert not count_failures(context)
        assert read_events(received) == THREE_EVENTS
        assert received.endswith(STREAM_END)
        assert not is_reset

    run(test)


@pytest.mark.parametrize('rest', [EMPTY_CHUNKS, EMPTY_BODY, NO_CONTENT])
def test_last_stream_of_a_leaving_process_is_complete_if_another_upstream_has_no_more(rest):
    """Guards against a sound answer that is broken off as its upstream has left after it."""

    async def test():
        with open_process(make_begin(1, 2, extra=LEAVING)) as (first, kill):
            async with (
                open_upstream(answer_with(rest)) as second,
                open_relay(first, second) as (_context, port),
            ):
                received = await read_while(kill, port, STREAM)
                assert b'last-event-id: 2' in second.requests[0][0].lower()
        assert read_events(received) == TWO_EVENTS
        assert received.endswith(STREAM_END)

    run(test)


@pytest.mark.parametrize(
    'rest',
    [
        make_answer(status=b'404 Not Found'),
        make_answer(status=b'200 OK', body=b''),
        NO_CONTENT.replace(SIGNED, b''),
        make_begin(),
        None,
    ],
)
def test_last_stream_of_a_leaving_process_is_broken_off_if_nothing_shows_its_end(rest):
    """Guards against taking an answer that states nothing for an empty rest of a stream."""

    async def test():
        with open_process(make_begin(1, 2, extra=LEAVING)) as (first, kill):
            async with (
                open_upstream(answer_with(rest)) as second,
                open_relay(first, second) as (_context, port),
            ):
                received = await read_while(kill, port, STREAM)
                assert len(second.requests) == 1
        assert read_events(received) == TWO_EVENTS
        assert not received.endswith(STREAM_END)

    run(test)


def test_last_stream_of_the_last_upstream_of_a_version_is_broken_off_if_it_is_killed():
    """Guards against a stream that looks complete as no upstream can be asked for its rest."""

    async def test():
        with open_process(make_begin(1, 2, extra=LEAVING)) as (first, kill):
            async with (
                open_upstream(stream_events([3]), 'v2') as second,
                open_relay(first, second) as (_context, port),
            ):
                received = await read_while(kill, port, STREAM)
                assert not second.requests
        assert read_events(received) == TWO_EVENTS
        assert not received.endswith(STREAM_END)

    run(test)


def test_stream_of_a_killed_leaving_process_that_cannot_be_resumed_does_not_look_complete():
    """Guards against an incomplete stream that looks complete, and against a second run of it."""

    async def test():
        with open_process(make_begin(1, 2, extra=LEAVING)) as (first, kill):
            async with (
                open_upstream(stream_events([])) as second,
                open_relay(first, second) as (context, port),
            ):
                received = await read_while(kill, port, STREAM_ONCE)
                assert not second.requests
                assert not count_failures(context)
        assert read_events(received) == TWO_EVENTS
        assert not received.endswith(STREAM_END)

    run(test)


@pytest.mark.parametrize('request_', [STREAM, STREAM_ONCE])
def test_last_stream_of_a_process_that_leaves_as_planned_is_complete(request_):
    """Guards against a sound answer that is broken off, or asked for again, in a planned stop."""

    async def test():
        last = send_and_close(make_begin(1, 2, extra=LEAVING))
        async with (
            open_exiting_upstream(last, 0.2) as first,
            open_upstream(stream_events([3])) as second,
            open_relay(first, second) as (_context, port),
        ):
            received, _is_reset = await read_to_end(port, request_)
            assert not second.requests
        assert read_events(received) == TWO_EVENTS
        assert received.endswith(STREAM_END)

    run(test)


def test_last_stream_of_a_process_that_accepts_no_connections_but_reports_is_complete():
    """Guards against a sound answer that is broken off as its upstream drains its connections."""

    async def test():
        is_streaming = anyio.Event()
        report_paths = []

        async def accept(reader, writer):
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                asked = await upstream.read_request(reader)
                if b'/once/' in asked:
                    server.close()
                    is_streaming.set()
                    await anyio.sleep(0.1)
                    writer.write(make_begin(1, 2, extra=LEAVING))
                else:
                    await is_streaming.wait()
                    writer.write(make_answer())
                    asked = await upstream.read_request(reader)
                    report_paths.append(asked.split()[1])
                    writer.write(make_report(REGISTERED))
                await writer.drain()
            writer.close()

        server = await asyncio.start_server(accept, '127.0.0.1', 0)
        upstream = ScriptedUpstream(*server.sockets[0].getsockname()[:2])
        async with (
            open_relay_with_reports(upstream) as (_context, port),
            anyio.create_task_group() as group,
        ):
            group.start_soon(ask, port, make_request(b'/read/x'))
            await anyio.sleep(0.05)
            received, _is_reset = await read_to_end(port, STREAM_ONCE)
        assert report_paths == [b'/report']
        assert read_events(received) == TWO_EVENTS
        assert received.endswith(STREAM_END)

    run(test)


@pytest.mark.parametrize('extra', [b'', LEAVING])
@pytest.mark.parametrize(('method', 'expected'), [(b'GET', (200, b'ok')), (b'POST', (502, None))])
def test_plain_answer_of_a_killed_process_does_not_look_complete(extra, method, expected):
    """Guards against half of a body that is passed on as a whole one."""

    async def test():
        path = b'/read/x' if method == b'GET' else b'/twice/x'
        statuses = []

        async def call():
            statuses.append(await ask(port, make_request(path, method=method)))

        with open_process(PLAIN_BEGIN % extra) as (first, kill):
            async with (
                open_upstream(answer_with(make_answer())) as second,
                open_relay(first, second) as (_context, port),
                anyio.create_task_group() as group,
            ):
                group.start_soon(call)
                await kill()
        status, _head, body = statuses[0]
        assert (status, body if expected[1] else None) == expected
        assert len(second.requests) == (method == b'GET')

    run(test)


@pytest.mark.parametrize('path', [b'/read/x', b'/twice/x'])
def test_plain_answer_that_ends_with_its_connection_is_delivered(path):
    """Guards against a sound answer that is asked for again."""

    async def test():
        async with (
            open_upstream(send_and_close(PLAIN_BEGIN % b'')) as first,
            open_upstream(answer_with(make_answer())) as second,
            open_relay(first, second) as (_context, port),
        ):
            status, _head, body = await ask(port, make_request(path))
            assert not second.requests
        assert (status, body) == (200, b'beg')

    run(test)


def restart_after(answer):
    """Return a handler whose process is killed after a part of an answer, and back at once."""
    incarnations = [REGISTERED]

    async def handle(upstream, reader, writer):
        incarnation = incarnations[-1]
        asked = await upstream.read_request(reader)
        while asked.startswith(b'GET /report '):
            writer.write(make_report(incarnation))
            asked = await upstream.read_request(reader)
        writer.write(answer)
        await writer.drain()
        incarnations.append(RESTARTED)
        await anyio.sleep(0.05)

    return handle


def test_stream_of_a_process_that_is_back_at_once_is_not_complete_if_it_cannot_be_resumed():
    """Guards against a new process at the address that is taken for the registered one."""

    async def test():
        async with (
            open_upstream(restart_after(make_begin(1, 2))) as only,
            open_relay_with_reports(only) as (_context, port),
        ):
            received, _is_reset = await read_to_end(port, STREAM_ONCE)
        assert read_events(received) == TWO_EVENTS
        assert not received.endswith(STREAM_END)

    run(test)


def test_plain_answer_of_a_process_that_is_back_at_once_does_not_look_complete():
    """Guards against half of a body that is passed on as a whole one."""

    async def test():
        async with (
            open_upstream(restart_after(PLAIN_BEGIN % b'')) as only,
            open_relay_with_reports(only) as (_context, port),
        ):
            status, _head, _body = await ask(port, make_request(b'/twice/x'))
        assert status == 502

    run(test)


def test_stream_goes_on_elsewhere_if_its_process_does_not_report_any_more():
    """Guards against an address at which a supervisor listens while its process is gone."""

    async def test():
        reports = [make_report(REGISTERED)]

        async def handle(upstream, reader, writer):
            asked = await upstream.read_request(reader)
            if not reports:
                await upstream.wait_closed(reader)
                return
            assert asked.startswith(b'GET /report ')
            writer.write(reports.pop())
            await upstream.read_request(reader)
            writer.write(make_begin(1, 2))
            await writer.drain()

        async with (
            open_upstream(handle) as first,
            open_upstream(serve_process(make_report(REGISTERED), [3])) as second,
            open_relay_with_reports(first, second) as (_context, port),
        ):
            received, _is_reset = await read_to_end(port, STREAM)
        assert read_events(received) == THREE_EVENTS
        assert received.endswith(STREAM_END)

    run(test)


@pytest.mark.parametrize('request_', [STREAM, STREAM_ONCE])
def test_stream_of_an_upstream_that_cannot_be_reached_after_it_does_not_look_complete(
    request_, monkeypatch
):
    """Guards against a VM that is shut down and taken for a process that goes on."""

    async def test():
        contexts = []

        async def handle(upstream, reader, writer):
            await upstream.read_request(reader)
            writer.write(make_begin(1, 2))
            await writer.drain()
            monkeypatch.setattr('camphorpath.relay.upstream.open_connection', time_out)

        async def time_out(host, port, timeout_s):
            del host, port, timeout_s
            raise TimeoutError

        async with (
            open_upstream(handle) as first,
            open_relay(first) as (context, port),
        ):
            contexts.append(context)
            received, _is_reset = await read_to_end(port, request_)
            assert not list_set_aside(context)
        assert read_events(received) == TWO_EVENTS
        assert not received.endswith(STREAM_END)

    run(test)


def test_answer_to_a_head_request_is_delivered_at_once():
    """Guards against a check of the end of an answer that has no body."""

    async def test():
        head = b'HTTP/1.1 200 OK\r\nAttempt: 1\r\nSignature: s\r\nConnection: close\r\n\r\n'
        with open_process(head) as (only, kill):
            async with open_relay(only) as (context, port):
                received = await read_while(kill, port, make_request(b'/twice/x', method=b'HEAD'))
                assert context.pool.opened_count == 1
        assert received.startswith(b'HTTP/1.1 200')

    run(test)


def test_event_of_a_stream_is_whole():
    """Guards against a stream that looks complete after a part of a character or of an event."""
    event = make_event(3)[:-2] + 'ä'.encode()

    async def test(partial):
        async with (
            open_upstream(send_and_close(make_begin(1, 2) + partial)) as only,
            open_relay(only) as (_context, port),
        ):
            received, _is_reset = await read_to_end(port, STREAM_ONCE)
        assert read_events(received) == TWO_EVENTS
        assert not received.endswith(STREAM_END)

    for length in range(1, len(event) + 1):
        run(lambda: test(event[:length]))  # noqa: B023  called at once
