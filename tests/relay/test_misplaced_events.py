"""Streams that are resumed at upstreams that do not go on where the stream was broken off."""

import pytest

from .support import make_answer, make_request, open_relay, open_upstream, read_to_end, run
from .test_streams import HEAD, make_chunk, make_event, read_events, stream_events
from .test_take_ups import go_on, record_begin, take_up

STREAM_END = b'0\r\n\r\n'
TWO_EVENTS = [b'data: e1', b'data: e2']


def answer_once(content):
    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(content)
        await writer.drain()

    return handle


def send_and_break(*parts):
    """Return a handler that sends the parts of a stream and then bytes that are none."""
    return answer_once(HEAD + b''.join(map(make_chunk, parts)) + b'not a chunk\r\n')


@pytest.mark.parametrize(
    'resumed',
    [
        stream_events([1, 2, 3]),
        stream_events([2, 3]),
        answer_once(HEAD + make_chunk(b'data: e3\n\n') + STREAM_END),
        answer_once(make_answer(b'ok')),
        answer_once(make_answer(b'')),
    ],
    ids=['anew', 'repeated', 'without-id', 'other-body', 'no-body'],
)
def test_stream_does_not_go_on_with_events_that_do_not_follow(resumed):
    """Guards against numbers that go back, and against an early end that looks complete."""

    async def test():
        async with (
            open_upstream(send_and_break(make_event(1), make_event(2))) as first,
            open_upstream(resumed) as second,
            open_relay(first, second) as (_context, port),
        ):
            received, _is_reset = await read_to_end(port, make_request(b'/stream/x'))
            assert second.requests
        assert read_events(received) == TWO_EVENTS
        assert not received.endswith(STREAM_END)

    run(test)


@pytest.mark.parametrize('last', [b'data: e2\n\n', b'id:\ndata: e2\n\n', b'id\ndata\n\n'])
def test_stream_whose_last_event_has_no_id_is_not_resumed_before_it(last):
    """Guards against an event that comes twice as it has no id of its own."""

    async def test():
        async with (
            open_upstream(send_and_break(make_event(1), last)) as first,
            open_upstream(stream_events([2, 3])) as second,
            open_relay(first, second) as (_context, port),
        ):
            received, _is_reset = await read_to_end(port, make_request(b'/stream/x'))
            assert not second.requests
        assert not received.endswith(STREAM_END)

    run(test)


@pytest.mark.parametrize('last', [b': ping\n\n', b'retry: 100\r\n\r\n', b'id: 3\nda'])
def test_stream_goes_on_after_its_last_event_although_something_else_followed(last):
    """Guards against a stream that is given up for a comment, and against a lost event."""

    async def test():
        async with (
            open_upstream(send_and_break(make_event(1), make_event(2), last)) as first,
            open_upstream(stream_events([3])) as second,
            open_relay(first, second) as (_context, port),
        ):
            received, _is_reset = await read_to_end(port, make_request(b'/stream/x'))
            assert b'last-event-id: 2\r\n' in second.requests[0][0].lower()
        assert read_events(received) == [*TWO_EVENTS, b'data: e3']
        assert received.endswith(STREAM_END)

    run(test)


def test_stream_is_taken_up_elsewhere_if_an_upstream_begins_it_anew():
    """Guards against numbers that go back in a stream that its caller takes up."""

    async def test():
        async with (
            open_upstream(go_on([1, 2, 3])) as first,
            open_upstream(go_on([3, 4])) as second,
            open_relay(first, second) as (context, port),
        ):
            record_begin(context, 'v1')
            received, _is_reset = await read_to_end(port, take_up())
            assert first.requests
            assert second.requests
        assert read_events(received) == [b'data: e3', b'data: e4']

    run(test)
