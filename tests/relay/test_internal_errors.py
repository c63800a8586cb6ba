"""Unexpected errors of one call, connection or page."""

import asyncio

import anyio
import pytest

from camphorpath.events import EventLog
from camphorpath.relay import call as call_module
from camphorpath.relay import server as server_module
from camphorpath.relay.caller import CallerConnection
from camphorpath.relay.server import serve_pages
from camphorpath.relay.sockets import open_listener
from camphorpath.schema import camphorpath_pb2 as pb

from .support import (
    ask,
    make_answer,
    make_request,
    open_relay,
    open_upstream,
    read_answer,
    read_to_end,
    run,
)

STREAM_HEAD = b'HTTP/1.1 200 OK\r\nAttempt: 1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n'
STREAM_PART = b'11\r\nid: 1\ndata: abc\n\n\r\n'
STREAM_END = b'0\r\n\r\n'
STREAM = STREAM_HEAD + STREAM_PART + STREAM_END


async def answer_all(upstream, reader, writer):
    while True:
        head = await upstream.read_request(reader)
        writer.write(STREAM if b'/once/' in head else make_answer())
        await writer.drain()


def raise_once(monkeypatch, owner, name):
    """Make the first call of a function fail."""
    original = getattr(owner, name)
    failures = [ZeroDivisionError('unforeseen')]

    def fail_once(*args, **kwargs):
        if failures:
            raise failures.pop()
        return original(*args, **kwargs)

    monkeypatch.setattr(owner, name, fail_once)


def list_internal_errors(events):
    records = events.select(pb.TimelineRequest())
    return [record for record in records if record.name == 'internal_error']


@pytest.mark.parametrize(
    ('owner', 'name', 'status'),
    [
        (server_module, 'accept_current_call', 503),
        (call_module, 'check_quarantine', 503),
        (call_module, 'read_answer', 502),
        (call_module, 'select_answer_headers', 502),
    ],
)
def test_unexpected_error_of_a_call_is_answered(monkeypatch, owner, name, status):
    """Guards against an error of one call that ends the calls of all callers."""

    async def test():
        async with open_upstream(answer_all) as upstream, open_relay(upstream) as (context, port):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            raise_once(monkeypatch, owner, name)
            assert (await ask(port, make_request()))[0] == status
            # On a connection that was open before.
            writer.write(make_request(attempt=b'1'))
            assert (await read_answer(reader))[0] == 200
            writer.close()
            logged = list_internal_errors(context.events)
            assert [record.fields['problem'] for record in logged] == [
                "ZeroDivisionError('unforeseen')"
            ]
            assert not context.in_progress

    run(test)


def test_unexpected_error_after_the_start_of_an_answer_resets_the_connection(monkeypatch):
    """Guards against an incomplete answer that looks complete after an unexpected error."""

    async def test():
        async with open_upstream(answer_all) as upstream, open_relay(upstream) as (context, port):
            raise_once(monkeypatch, CallerConnection, 'end_stream')
            received, is_reset = await read_to_end(port, make_request(b'/once/x'))
            assert is_reset
            assert not received.endswith(STREAM_END)
            assert (await ask(port, make_request()))[0] == 200
            assert list_internal_errors(context.events)

    run(test)


def test_unexpected_error_of_a_connection_ends_only_this_one(monkeypatch):
    """Guards against an error outside of a call that ends the daemon."""

    async def test():
        async with open_upstream(answer_all) as upstream, open_relay(upstream) as (context, port):
            raise_once(monkeypatch, CallerConnection, 'start_next')
            await read_to_end(port, make_request(headers=b'Connection: close\r\n'))
            assert (await ask(port, make_request()))[0] == 200
            assert list_internal_errors(context.events)
            assert len(context.connections) <= 1

    run(test)


def test_unexpected_error_of_a_page_is_answered():
    """Guards against a request for a page that ends the daemon."""

    async def answer(request):
        return 200 // len(request.query), [], b''

    async def test():
        events = EventLog('test')
        listener = open_listener('127.0.0.1:0')
        port = listener.getsockname()[1]
        async with anyio.create_task_group() as group:
            group.start_soon(serve_pages, listener, answer, group, events)
            assert (await ask(port, make_request(b'/page')))[0] == 500
            assert (await ask(port, make_request(b'/page?a')))[0] == 200
            group.cancel_scope.cancel()
        listener.close()
        assert list_internal_errors(events)

    run(test)
