"""Answers that break off, end with their connection or belong to an earlier request."""

import socket

import pytest

from camphorpath.relay.sockets import LINGER_RESET

from .support import (
    answer_with,
    ask,
    make_answer,
    make_request,
    open_relay,
    open_upstream,
    read_to_end,
    run,
)
from .test_streams import HEAD, make_event, read_events, stream_events

UNFRAMED_HEAD = HEAD.replace(b'Transfer-Encoding: chunked\r\n', b'')
PLAIN_HEAD = b'HTTP/1.1 200 OK\r\nAttempt: 1\r\nSignature: s\r\nContent-Length: 2\r\n'
CHUNKED_END = b'0\r\n\r\n'


def send_and_close(*parts, is_reset=False):
    """Return a handler that answers with bytes and ends the connection."""

    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(b''.join(parts))
        await writer.drain()
        if is_reset:
            plain_socket = writer.get_extra_info('socket')
            plain_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            writer.transport.abort()

    return handle


@pytest.mark.parametrize(
    'parts',
    [
        (UNFRAMED_HEAD, make_event(1), b'id: 2\nda'),
        (HEAD, b'10\r\nid: 1\ndata: e1\n\n\r\n', b'5\r\nid: 2\r\n', CHUNKED_END),
    ],
)
@pytest.mark.parametrize('path', [b'/once/x', b'/stream/x'])
def test_stream_that_ends_inside_an_event_is_not_complete(path, parts):
    """Guards against half an event at the end of a stream that looks complete."""

    async def test():
        async with (
            open_upstream(send_and_close(*parts)) as first,
            open_upstream(stream_events([2])) as second,
            open_relay(first, second) as relay,
        ):
            received, _is_reset = await read_to_end(relay[1], make_request(path))
        if path == b'/once/x':
            assert read_events(received) == [b'data: e1']
            assert not received.endswith(CHUNKED_END)
        else:
            assert read_events(received) == [b'data: e1', b'data: e2']
            assert received.endswith(CHUNKED_END)

    run(test)


def test_stream_without_a_length_is_relayed_up_to_its_end():
    """Guards against refusing streams that end with their connection."""

    async def test():
        handle = send_and_close(UNFRAMED_HEAD, make_event(1), make_event(2))
        async with open_upstream(handle) as upstream, open_relay(upstream) as relay:
            received, is_reset = await read_to_end(relay[1], make_request(b'/once/x'))
        assert read_events(received) == [b'data: e1', b'data: e2']
        assert received.endswith(CHUNKED_END)
        assert not is_reset

    run(test)


@pytest.mark.parametrize('is_reset', [True, False])
@pytest.mark.parametrize('path', [b'/once/x', b'/stream/x'])
def test_stream_without_a_length_and_events_is_broken_off(path, is_reset):
    """Guards against an empty answer that looks complete after an upstream crashed."""

    async def test():
        async with (
            open_upstream(send_and_close(UNFRAMED_HEAD, is_reset=is_reset)) as first,
            open_upstream(stream_events([1])) as second,
            open_relay(first, second) as (context, port),
        ):
            received, _is_reset = await read_to_end(port, make_request(path))
            assert [crash.upstream for crash in context.quarantine.drain_crashes()] == ['i-0/0']
        status = b'502' if path == b'/once/x' else b'200'
        assert received.startswith(b'HTTP/1.1 ' + status)

    run(test)


@pytest.mark.parametrize(
    ('body', 'is_reset', 'status'), [(b'ok', False, 200), (b'ok', True, 502), (b'', True, 502)]
)
def test_plain_answer_without_a_length_ends_with_its_connection(body, is_reset, status):
    """Guards against an answer that was reset on the way and is taken for a whole one."""

    async def test():
        head = PLAIN_HEAD.replace(b'Content-Length: 2\r\n', b'')
        handle = send_and_close(head + b'\r\n', body, is_reset=is_reset)
        async with open_upstream(handle) as upstream, open_relay(upstream) as relay:
            assert (await ask(relay[1], make_request(b'/write/x')))[0] == status

    run(test)


@pytest.mark.parametrize('length', [12, 17, 40, len(PLAIN_HEAD) - 2, len(PLAIN_HEAD)])
@pytest.mark.parametrize('path', [b'/write/x', b'/once/x'])
def test_answer_that_ends_inside_its_head_is_not_relayed(path, length):
    """Guards against an answer with a short body that looks whole."""

    async def test():
        handle = send_and_close(PLAIN_HEAD[:length])
        async with open_upstream(handle) as upstream, open_relay(upstream) as relay:
            status, head, _body = await ask(relay[1], make_request(path))
        assert status == 502
        assert b'signature' not in head.lower()

    run(test)


@pytest.mark.parametrize('status', [b'500 Error', b'503 Busy', b'429 Busy', b'404 Missing'])
@pytest.mark.parametrize('is_marked', [True, False])
def test_error_after_a_broken_stream_does_not_reach_its_caller(status, is_marked):
    """Guards against the text of an error inside a stream, and a stream that looks whole."""

    async def test():
        extra = b'Not-Run: 1\r\n' if is_marked else b''
        error = make_answer(b'some error', status, extra=extra)
        async with (
            open_upstream(stream_events([1, 2], ends=False)) as first,
            open_upstream(answer_with(error)) as second,
            open_relay(first, second) as relay,
        ):
            received, _is_reset = await read_to_end(relay[1], make_request(b'/stream/x'))
            assert len(second.requests) == 1
        assert read_events(received) == [b'data: e1', b'data: e2']
        assert received.count(b'HTTP/1.1') == 1
        assert b'error' not in received
        assert not received.endswith(CHUNKED_END)

    run(test)


@pytest.mark.parametrize('attempt', [b'Attempt: 1\r\n', b''])
def test_repeated_refusal_of_an_earlier_call_is_not_taken_for_the_next_one(attempt):
    """Guards against "not run" for a call that runs, when an upstream repeats an old refusal."""
    refusal = make_answer(b'full', b'503 Busy', extra=b'Not-Run: 1\r\n')
    refusal = refusal.replace(b'Attempt: 1\r\n', attempt)

    async def test():
        replies = [
            make_answer(attempt=b'1'),
            refusal + make_answer(b'second', attempt=b'2'),
        ]
        async with (
            open_upstream(answer_with(*replies)) as upstream,
            open_relay(upstream) as relay,
        ):
            await ask(relay[1], make_request(b'/write/x', b'1'))
            status, _head, body = await ask(relay[1], make_request(b'/write/x', b'2'))
            assert len(upstream.requests) == 2
        assert (status, body) in {(200, b'second'), (502, b'upstream_failed\n')}

    run(test)


def test_connection_is_not_kept_after_a_refusal():
    """Guards against a refusal that an upstream repeats on a connection that is used again."""
    refusal = make_answer(b'full', b'503 Busy', extra=b'Not-Run: 1\r\n')
    connections = []

    async def handle(upstream, reader, writer):
        connections.append(writer)
        await upstream.read_request(reader)
        writer.write(refusal)
        await upstream.wait_closed(reader)

    async def test():
        async with open_upstream(handle) as upstream, open_relay(upstream) as relay:
            for _ in range(2):
                assert (await ask(relay[1], make_request(b'/write/x')))[0] == 503
        assert len(connections) == 2

    run(test)
