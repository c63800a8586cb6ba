"""Upstreams that start again at their address before the daemon sees that they have ended."""

import asyncio
import contextlib

import anyio

from .support import ScriptedUpstream, ask, make_request, open_upstream, read_to_end, run
from .test_killed_upstreams import STREAM_END, make_begin
from .test_restarted_upstreams import (
    REGISTERED,
    RESTARTED,
    find_recorded_version,
    make_report,
    open_relay_with_reports,
    serve_process,
)
from .test_streams import HEAD, make_chunk, make_event, read_events
from .test_take_ups import record_begin, take_up


def test_stream_of_a_killed_process_that_is_back_at_once_goes_on_elsewhere():
    """Guards against a new process at the address that is taken for the one which was killed."""

    received = bytearray()
    incarnations = [REGISTERED]

    async def test():

        async def handle(reader, writer):
            incarnation = incarnations[-1]
            try:
                while True:
                    asked = await upstream.read_request(reader)
                    if not asked.startswith(b'GET /report '):
                        break
                    writer.write(make_report(incarnation))
                writer.write(make_begin(1, 2))
                await writer.drain()
                # The process is killed between two events, and another one starts.
                incarnations.append(RESTARTED)
                await anyio.sleep(0.05)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            writer.close()

        server = await asyncio.start_server(handle, '127.0.0.1', 0)
        upstream = ScriptedUpstream(*server.sockets[0].getsockname()[:2])
        try:
            async with (
                open_upstream(serve_process(make_report(REGISTERED), [3])) as second,
                open_relay_with_reports(upstream, second) as (_context, port),
            ):
                answer, _is_reset = await read_to_end(port, make_request(b'/stream/x'))
                received.extend(answer)
        finally:
            server.close()
            # The handlers of the last connections end.
            await anyio.sleep(0.1)

    run(test)
    is_complete = received.endswith(STREAM_END)
    events = read_events(bytes(received))
    assert (events, is_complete) == ([b'data: e1', b'data: e2', b'data: e3'], True)


def test_connection_whose_first_report_was_unreadable_is_asked_again(monkeypatch):
    """Guards against streams that cannot go on for as long as a connection is kept."""
    monkeypatch.setattr('camphorpath.relay.reports.REPORT_PAUSE_S', 0)
    found = []

    async def test():
        reports = [b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n']

        async def handle(upstream, reader, writer):
            while True:
                asked = await upstream.read_request(reader)
                if asked.startswith(b'GET /report '):
                    writer.write(reports.pop() if reports else make_report(REGISTERED))
                    continue
                events = b''.join(make_chunk(make_event(number)) for number in (1, 2))
                writer.write(HEAD + events + b'0\r\n\r\n')

        async with open_upstream(handle) as only, open_relay_with_reports(only) as (context, port):
            for _ in range(3):
                await read_to_end(port, make_request(b'/stream/x'))
            found.append(find_recorded_version(context))

    run(test)
    assert found == ['v1']


def test_take_ups_go_on_beside_many_upstreams_that_restarted_unseen():
    """Guards against refusals while an upstream of the version serves."""
    statuses = []

    async def test():
        async with contextlib.AsyncExitStack() as stack:
            gone = [
                await stack.enter_async_context(
                    open_upstream(serve_process(make_report(RESTARTED), [3], attempt=b'2'))
                )
                for _ in range(10)
            ]
            sound = [
                await stack.enter_async_context(
                    open_upstream(serve_process(make_report(REGISTERED), [3], attempt=b'2'))
                )
                for _ in range(2)
            ]
            context, port = await stack.enter_async_context(open_relay_with_reports(*gone, *sound))
            record_begin(context, 'v1')
            for _ in range(12):
                status, _head, _body = await ask(port, take_up())
                statuses.append(status)

    run(test)
    assert statuses.count(200) >= 6, statuses
