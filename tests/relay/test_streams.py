import asyncio
import itertools
import time

import anyio
import attrs
import hypothesis
from hypothesis import strategies

from camphorpath.relay.events import EventSplitter

from .support import make_request, open_relay, open_upstream, read_to_end, run

HEAD = (
    b'HTTP/1.1 200 OK\r\nAttempt: 1\r\nSignature: s\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)


def make_chunk(part):
    return b'%x\r\n%b\r\n' % (len(part), part)


def make_event(number):
    return b'id: %d\ndata: e%d\n\n' % (number, number)


def stream_events(numbers, *, ends=True, partial_event=b''):
    """Return a handler that sends events and part of another; it ends or aborts the stream."""

    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(HEAD + b''.join(make_chunk(make_event(number)) for number in numbers))
        if partial_event:
            writer.write(make_chunk(partial_event))
        if ends:
            writer.write(b'0\r\n\r\n')
        await writer.drain()
        if not ends:
            await anyio.sleep(0.05)
            writer.transport.abort()

    return handle


def extend_route_timeouts(context, **fields):
    """Make the timeout of routes as long as the deadline of `make_request`."""
    routes = [attrs.evolve(route, timeout_s=5, **fields) for route in context.routing_table.routes]
    context.routing_table = attrs.evolve(context.routing_table, routes=tuple(routes))


def read_events(received):
    return [line for line in received.split(b'\n') if line.startswith(b'data:')]


def test_events_are_relayed_immediately():
    """Guards against events that are buffered until the stream ends."""

    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(HEAD + make_chunk(make_event(1)))
        await upstream.wait_closed(reader)

    async def test():
        async with open_upstream(handle) as upstream, open_relay(upstream) as relay:
            reader, writer = await asyncio.open_connection('127.0.0.1', relay[1])
            writer.write(make_request(b'/once/x'))
            with anyio.fail_after(0.5):
                await reader.readuntil(b'data: e1\n\n')
            writer.close()

    run(test)


def test_broken_stream_is_resumed_at_another_upstream():
    """Guards against missing or repeated events after an upstream aborts a stream."""

    async def test():
        broken_stream = stream_events([1, 2], ends=False, partial_event=b'id: 3\nda')
        async with (
            open_upstream(broken_stream) as first,
            open_upstream(stream_events([3, 4])) as second,
            open_relay(first, second) as relay,
        ):
            received, is_reset = await read_to_end(relay[1], make_request(b'/stream/x'))
            assert b'last-event-id: 2' in second.requests[0][0].lower()
        assert read_events(received) == [b'data: e1', b'data: e2', b'data: e3', b'data: e4']
        assert received.endswith(b'0\r\n\r\n')
        assert not is_reset

    run(test)


def test_stalled_stream_is_resumed_at_another_upstream():
    """Guards against a stream that hangs at an upstream without power until its caller leaves."""

    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(HEAD + make_chunk(make_event(1)))
        await upstream.wait_closed(reader)

    async def test():
        async with (
            open_upstream(handle) as first,
            open_upstream(stream_events([2])) as second,
            open_relay(first, second) as (context, port),
        ):
            extend_route_timeouts(context)
            received, _is_reset = await read_to_end(port, make_request(b'/stream/x'))
        assert read_events(received) == [b'data: e1', b'data: e2']

    run(test)


def test_broken_stream_that_cannot_be_resumed_does_not_look_complete():
    """Guards against an incomplete stream that looks complete, and against a second run of it."""

    async def test():
        async with (
            open_upstream(stream_events([1], ends=False)) as first,
            open_upstream(stream_events([1, 2])) as second,
            open_relay(first, second) as relay,
        ):
            received, _is_reset = await read_to_end(relay[1], make_request(b'/once/x'))
            assert not second.requests
        assert read_events(received) == [b'data: e1']
        assert not received.endswith(b'0\r\n\r\n')

    run(test)


@hypothesis.given(cuts=strategies.lists(strategies.integers(0, 60), max_size=6))
def test_splitter_returns_whole_events_and_loses_no_bytes(cuts):
    """Guards against events that are cut, lost or joined when chunks split them."""
    text = b''.join(make_event(number) for number in range(1, 5))
    edges = sorted({0, len(text), *(min(cut, len(text)) for cut in cuts)})
    splitter = EventSplitter()
    parts = [splitter.feed(text[start:end]) for start, end in itertools.pairwise(edges)]
    assert b''.join(parts) == text
    assert all(not part or part.endswith(b'\n\n') for part in parts)
    assert (splitter.event_count, splitter.last_id, splitter.partial) == (4, b'4', b'')


def test_event_without_end_is_bounded_in_time_and_memory():
    """Guards against a faulty upstream that blocks a daemon for minutes."""
    sent = []

    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(HEAD + make_chunk(make_event(1)))
        while not writer.transport.is_closing():
            writer.write(make_chunk(b'x' * 65536))
            sent.append(65536)
            await writer.drain()

    async def test():
        async with (
            open_upstream(handle) as first,
            open_upstream(stream_events([2, 3])) as second,
            open_relay(first, second) as relay,
        ):
            began_at = time.process_time()
            received, _is_reset = await read_to_end(relay[1], make_request(b'/stream/x'))
            assert time.process_time() - began_at < 2
        assert sum(sent) < 8 * 1024 * 1024
        assert read_events(received) == [b'data: e1', b'data: e2', b'data: e3']

    run(test)


def test_partial_events_do_not_count_as_progress():
    """Guards against a stalled stream that stays open as it sends a byte now and then."""

    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(HEAD + make_chunk(make_event(1)))
        while not writer.transport.is_closing():
            writer.write(make_chunk(b'd'))
            await writer.drain()
            await anyio.sleep(0.2)

    async def test():
        async with (
            open_upstream(handle) as first,
            open_upstream(stream_events([2, 3])) as second,
            open_relay(first, second) as (context, port),
        ):
            extend_route_timeouts(context)
            received, _is_reset = await read_to_end(port, make_request(b'/stream/x'))
        assert read_events(received) == [b'data: e1', b'data: e2', b'data: e3']

    run(test)


def test_slow_stream_is_not_cut():
    """Guards against a working stream that is resumed elsewhere after one gap of 1.1 s."""

    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(HEAD + make_chunk(make_event(1)))
        await writer.drain()
        await anyio.sleep(1.1)
        writer.write(make_chunk(make_event(2)) + b'0\r\n\r\n')

    async def test():
        async with (
            open_upstream(handle) as first,
            open_upstream(stream_events([2])) as second,
            open_relay(first, second) as (context, port),
        ):
            extend_route_timeouts(context)
            await read_to_end(port, make_request(b'/stream/x'))
            assert not second.requests

    run(test)
