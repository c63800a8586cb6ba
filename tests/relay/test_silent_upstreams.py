"""Sound upstreams that are silent for a second or two in the middle of a call."""

import asyncio
import socket
import unittest.mock

import anyio
import attrs
import pytest

from camphorpath.clocks import read_lease_clock
from camphorpath.placement.budget import RetryBudget
from camphorpath.placement.crashes import Crash, digest_call
from camphorpath.placement.quarantine import CRASH_LIMIT
from camphorpath.relay import upstream as upstream_module
from camphorpath.relay.call import CallHandler
from camphorpath.relay.sockets import open_connection
from camphorpath.schema import camphorpath_pb2 as pb

from .support import (
    answer_with,
    ask,
    make_answer,
    make_request,
    open_relay,
    open_upstream,
    read_to_end,
    run,
    stay_unresponsive,
    wait_for,
)
from .test_streams import (
    HEAD,
    extend_route_timeouts,
    make_chunk,
    make_event,
    read_events,
    stream_events,
)

# Longer than the stall timeout of the routes, shorter than the time for which their callers wait.
SILENCE_S = 1.7
STREAM_END = b'0\r\n\r\n'
NOT_RUN = make_answer(status=b'503 Service Unavailable', extra=b'Not-Run: 1\r\n')
BOTH_EVENTS = [b'data: e1', b'data: e2']


async def pause_stream(upstream, reader, writer):
    """Send one event, be silent for SILENCE_S and send the rest of the stream."""
    await upstream.read_request(reader)
    writer.write(HEAD + make_chunk(make_event(1)))
    await writer.drain()
    await anyio.sleep(SILENCE_S)
    writer.write(make_chunk(make_event(2)) + STREAM_END)
    await writer.drain()


def occupy(context, upstream_id):
    """Let an upstream take no calls."""
    context.scheduler.slots[upstream_id].back_off(read_lease_clock(), 60)


def use_up_budget(context):
    context.budget = RetryBudget(ratio=0, window_s=10, allowance=0)


def list_events(context):
    return [record.name for record in context.events.select(pb.TimelineRequest())]


def test_cut_answer_is_logged_as_cut():
    """Guards against logs that report a refusal to a caller whose answer was cut."""

    async def test():
        handle = stream_events([1], ends=False)
        async with open_upstream(handle) as upstream, open_relay(upstream) as (context, port):
            _received, is_reset = await read_to_end(port, make_request(b'/once/x'))
            names = list_events(context)
        assert is_reset
        assert 'answer_cut' in names
        assert 'request_refused' not in names

    run(test)


@pytest.mark.parametrize(
    'prepare', [lambda context: occupy(context, 'i-1'), use_up_budget], ids=['slot', 'budget']
)
def test_stream_is_not_cut_while_its_upstream_is_silent_and_no_other_is_free(prepare):
    """Guards against giving up a sound upstream before there is a slot at another one."""

    async def test():
        async with (
            open_upstream(pause_stream) as first,
            open_upstream(stream_events([2])) as second,
            open_relay(first, second) as (context, port),
        ):
            extend_route_timeouts(context)

            async def prepare_later():
                await wait_for(lambda: first.requests)
                await anyio.sleep(SILENCE_S / 4)
                prepare(context)

            async with anyio.create_task_group() as group:
                group.start_soon(prepare_later)
                received, is_reset = await read_to_end(port, make_request(b'/stream/x'))
            assert not second.requests
        assert not is_reset
        assert read_events(received) == BOTH_EVENTS
        assert received.endswith(STREAM_END)

    run(test)


@pytest.mark.parametrize(
    'reply',
    [NOT_RUN, None, make_answer(status=b'404 Not Found')],
    ids=['not_run', 'lost', 'not_found'],
)
def test_stream_is_not_cut_when_another_upstream_refuses_to_resume_it(reply):
    """Guards against giving up a sound upstream for one that does not take the stream."""

    async def test():
        async with (
            open_upstream(pause_stream) as first,
            open_upstream(answer_with(reply)) as second,
            open_relay(first, second) as (context, port),
        ):
            extend_route_timeouts(context)
            received, is_reset = await read_to_end(port, make_request(b'/stream/x'))
            assert second.requests
            await wait_for(lambda: not context.in_progress)
            assert not any(slots.running for slots in context.scheduler.slots.values())
        assert not is_reset
        assert read_events(received) == BOTH_EVENTS
        assert received.endswith(STREAM_END)

    run(test)


def test_silent_upstream_is_left_once_another_one_resumes_the_stream():
    """Guards against two upstreams that go on with one stream."""

    async def resume_slowly(upstream, reader, writer):
        await upstream.read_request(reader)
        await anyio.sleep(0.6)
        writer.write(HEAD + make_chunk(make_event(2)) + STREAM_END)
        await writer.drain()

    async def stay_silent(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(HEAD + make_chunk(make_event(1)))
        await upstream.wait_closed(reader)

    async def test():
        async with (
            open_upstream(stay_silent) as first,
            open_upstream(resume_slowly) as second,
            open_relay(first, second) as (context, port),
        ):
            extend_route_timeouts(context)
            async with anyio.create_task_group() as group:

                async def watch():
                    await wait_for(lambda: second.requests)
                    await wait_for(lambda: first.closed_count, 0.4)

                group.start_soon(watch)
                received, _is_reset = await read_to_end(port, make_request(b'/stream/x'))
        assert read_events(received) == BOTH_EVENTS

    run(test)


def test_call_is_refused_at_once_if_no_upstream_can_replace_a_silent_one():
    """Guards against calls that hold the slots of dead upstreams until their callers leave."""

    async def test():
        async with (
            open_upstream(stay_unresponsive) as upstream,
            open_relay(upstream) as (context, port),
        ):
            extend_route_timeouts(context)
            with anyio.fail_after(SILENCE_S):
                status, _head, _body = await ask(port, make_request())
            assert not context.scheduler.slots['i-0'].running
        assert status == 502

    run(test)


def pause_for(seconds):
    """Return a handler that sends an event, is silent and sends the rest of the stream."""

    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(HEAD + make_chunk(make_event(1)))
        await writer.drain()
        await anyio.sleep(seconds)
        writer.write(make_chunk(make_event(2)) + STREAM_END)
        await writer.drain()

    return handle


async def stay_silent_after_one_event(upstream, reader, writer):
    await upstream.read_request(reader)
    writer.write(HEAD + make_chunk(make_event(1)))
    await upstream.wait_closed(reader)


def count_retries(context):
    return sum(counter.total() for counter in context.budget._retries.values())


# The stall timeout is 1.2 s; the upstream goes on while both have the stream.
@pytest.mark.parametrize(('silence_s', 'refusal_s'), [(1.3, 0.6), (1.5, 0.4)])
def test_silent_upstream_that_goes_on_is_kept_although_another_one_was_asked(silence_s, refusal_s):
    """Guards against leaving a sound upstream for one that is slow to say that it is full."""

    async def refuse_late(upstream, reader, writer):
        await upstream.read_request(reader)
        await anyio.sleep(refusal_s)
        writer.write(NOT_RUN)
        await writer.drain()

    async def test():
        async with (
            open_upstream(pause_for(silence_s)) as first,
            open_upstream(refuse_late) as second,
            open_relay(first, second) as (context, port),
        ):
            extend_route_timeouts(context)
            received, is_reset = await read_to_end(port, make_request(b'/stream/x'))
        assert not is_reset
        assert read_events(received) == BOTH_EVENTS

    run(test)


def test_upstream_that_goes_on_ends_the_wait_for_another_one_at_once():
    """Guards against events that wait although their upstream has sent them."""

    async def test():
        async with (
            open_upstream(pause_for(1.25)) as first,
            open_upstream(stay_unresponsive) as second,
            open_relay(first, second) as (context, port),
        ):
            extend_route_timeouts(context)
            began_at = anyio.current_time()
            received, _is_reset = await read_to_end(port, make_request(b'/stream/x'))
            took_s = anyio.current_time() - began_at
            assert second.requests
        assert read_events(received) == BOTH_EVENTS
        assert took_s < 1.4

    run(test)


def test_bytes_that_complete_no_event_do_not_keep_a_stream_at_a_stalled_upstream():
    """Guards against a stream that ends early as bytes of a stalled upstream end its last retry."""

    async def trickle(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(HEAD + make_chunk(make_event(1)))
        while not writer.transport.is_closing():
            writer.write(make_chunk(b'd'))
            await writer.drain()
            await anyio.sleep(0.05)

    async def resume_late(upstream, reader, writer):
        await upstream.read_request(reader)
        await anyio.sleep(0.15)
        writer.write(HEAD + make_chunk(make_event(2)) + STREAM_END)
        await writer.drain()

    async def test():
        async with (
            open_upstream(trickle) as first,
            open_upstream(resume_late) as second,
            open_relay(first, second) as (context, port),
        ):
            extend_route_timeouts(context)
            received, is_reset = await read_to_end(port, make_request(b'/stream/x'))
        assert not is_reset
        assert read_events(received) == BOTH_EVENTS

    run(test)


def test_stream_is_not_sent_elsewhere_if_its_upstream_goes_on_meanwhile(monkeypatch):
    """Guards against two upstreams that run one stream although none of them is silent."""

    async def test():
        async with (
            open_upstream(pause_for(SILENCE_S)) as first,
            open_upstream(stream_events([2])) as second,
            open_relay(first, second) as (context, port),
        ):
            extend_route_timeouts(context)

            async def open_slowly(host, port, timeout_s):
                if port == second.port:
                    await anyio.sleep(1.5 * SILENCE_S - 1.2)
                return await open_connection(host, port, timeout_s)

            monkeypatch.setattr(upstream_module, 'open_connection', open_slowly)
            received, _is_reset = await read_to_end(port, make_request(b'/stream/x'))
            assert not second.requests
            assert not count_retries(context)
        assert read_events(received) == BOTH_EVENTS

    run(test)


def test_upstream_that_cannot_be_reached_takes_no_retry_of_a_silent_stream():
    """Guards against dead upstreams that use up the retry budget."""

    async def test():
        async with (
            open_upstream(pause_for(SILENCE_S)) as first,
            open_upstream(stream_events([2])) as second,
            open_relay(first, second) as (context, port),
        ):
            extend_route_timeouts(context)
            slots = context.scheduler.slots['i-1']
            with socket.socket() as unused:
                unused.bind(('127.0.0.1', 0))
                unused_port = unused.getsockname()[1]
                slots.upstream = attrs.evolve(slots.upstream, port=unused_port)
                _received, is_reset = await read_to_end(port, make_request(b'/stream/x'))
            assert not count_retries(context)
        assert not is_reset

    run(test)


def test_upstream_that_breaks_off_as_a_slot_is_granted_costs_a_retry(monkeypatch):
    """Guards against retries beyond the budget when both happen at once."""

    async def acquire_without_leaving(handler, _scope):
        handler._replacement = await handler._request_slot(is_retry=True, is_replacement=True)

    async def break_off(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(HEAD + make_chunk(make_event(1)))
        await writer.drain()
        await anyio.sleep(SILENCE_S)
        writer.transport.abort()

    async def test():
        monkeypatch.setattr(CallHandler, '_acquire_replacement', acquire_without_leaving)
        async with (
            open_upstream(break_off) as first,
            open_upstream(stream_events([2])) as second,
            open_relay(first, second) as (context, port),
        ):
            extend_route_timeouts(context)
            use_up_budget(context)
            _received, is_reset = await read_to_end(port, make_request(b'/stream/x'))
            assert not second.requests
            await wait_for(lambda: not context.in_progress)
            assert not any(slots.running for slots in context.scheduler.slots.values())
        assert is_reset

    run(test)


def test_quarantined_stream_is_neither_resumed_elsewhere_nor_cut():
    """Guards against a stream that crashes further upstreams, or is cut, when it stalls."""

    async def test():
        async with (
            open_upstream(pause_for(SILENCE_S)) as first,
            open_upstream(stream_events([2])) as second,
            open_relay(first, second) as (context, port),
        ):
            extend_route_timeouts(context)
            # The replacement waits in the queue until the call is in quarantine.
            context.scheduler.slots['i-1'].back_off(read_lease_clock(), 60)
            context.is_prober = lambda pattern: False
            digest = digest_call(b'/stream/x', b'', b'')

            async def quarantine_later():
                await wait_for(lambda: context.scheduler.count_waiting().get('llm'))
                for number in range(CRASH_LIMIT):
                    crash = Crash(digest, f'x-{number}/0', frozenset())
                    context.quarantine.record_crash(crash, read_lease_clock(), is_from_peer=True)
                context.recheck_quarantine()
                context.scheduler.slots['i-1'].backoff_until = 0
                context.scheduler.dispatch_waiting(read_lease_clock())

            async with anyio.create_task_group() as group:
                group.start_soon(quarantine_later)
                received, is_reset = await read_to_end(port, make_request(b'/stream/x'))
            assert not second.requests
        assert not is_reset
        assert read_events(received) == BOTH_EVENTS

    run(test)


def test_stream_whose_event_id_fits_no_header_keeps_its_upstream():
    """Guards against a resumption that cannot be sent and holds the stream until its deadline."""

    async def pause_after_odd_id(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(HEAD + make_chunk(b'id: 1 \ndata: e1\n\n'))
        await writer.drain()
        await anyio.sleep(SILENCE_S)
        writer.write(make_chunk(make_event(2)) + STREAM_END)
        await writer.drain()

    async def test():
        async with (
            open_upstream(pause_after_odd_id) as first,
            open_upstream(stream_events([2])) as second,
            open_relay(first, second) as (context, port),
        ):
            extend_route_timeouts(context)
            received, is_reset = await read_to_end(port, make_request(b'/stream/x'))
            assert not second.requests
        assert not is_reset
        assert read_events(received) == BOTH_EVENTS

    run(test)


def test_stalled_stream_is_resumed_once_the_retry_budget_allows_it():
    """Guards against a stream that stays at a dead upstream as the budget was empty once."""

    async def test():
        async with (
            open_upstream(stay_silent_after_one_event) as first,
            open_upstream(stream_events([2])) as second,
            open_relay(first, second) as (context, port),
        ):
            extend_route_timeouts(context)
            budget = context.budget
            use_up_budget(context)

            async def free_later():
                await wait_for(lambda: first.requests)
                await anyio.sleep(0.3)
                context.budget = budget

            async with anyio.create_task_group() as group:
                group.start_soon(free_later)
                received, _is_reset = await read_to_end(port, make_request(b'/stream/x'))
        assert read_events(received) == BOTH_EVENTS

    run(test)


def test_stream_without_an_event_gives_up_its_slot():
    """Guards against calls that hold a slot though they can still be refused."""

    async def send_head_only(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(HEAD)
        await upstream.wait_closed(reader)

    async def test():
        async with (
            open_upstream(send_head_only) as upstream,
            open_relay(upstream) as (context, port),
        ):
            extend_route_timeouts(context)
            with anyio.fail_after(3):
                status, _head, _body = await ask(port, make_request(b'/stream/x'))
        assert status == 502

    run(test)


def test_requests_for_a_replacement_do_not_count_as_arrivals():
    """Guards against one silent stream that counts as many calls in the order of the queue."""

    async def test():
        async with (
            open_upstream(pause_for(SILENCE_S)) as upstream,
            open_relay(upstream) as (context, port),
        ):
            extend_route_timeouts(context)
            await read_to_end(port, make_request(b'/stream/x'))
            service = context.scheduler._services['llm']
            assert sum(stats.arrivals for stats in service.queue._stats.values()) == 1
            assert not service.refusal_times

    run(test)


def test_crash_of_the_upstream_that_resumes_counts_for_the_prompt():
    """Guards against a crash that is not counted, as the upstream before had answered."""

    async def test():
        crashes = []
        async with (
            open_upstream(pause_for(SILENCE_S)) as first,
            open_upstream(answer_with(None)) as second,
            open_relay(first, second) as (context, port),
        ):
            extend_route_timeouts(context)
            with unittest.mock.patch.object(
                type(context.quarantine),
                'record_crash',
                lambda _quarantine, crash, *_arguments, **_options: crashes.append(crash),
            ):
                headers = b'Parts: a:10,b:10,c:10\r\n'
                await read_to_end(port, make_request(b'/stream/x', headers=headers))
        assert [len(crash.parts) for crash in crashes] == [2]

    run(test)


@pytest.mark.parametrize('delay_s', [0, 0.1, 0.3])
def test_caller_that_leaves_while_its_stream_is_resumed_leaves_nothing_behind(delay_s):
    """Guards against slots and connections that leak when both upstreams have a stream."""

    async def test():
        async with (
            open_upstream(stay_silent_after_one_event) as first,
            open_upstream(stay_unresponsive) as second,
            open_relay(first, second) as (context, port),
        ):
            extend_route_timeouts(context)
            _reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(make_request(b'/stream/x'))
            await wait_for(lambda: second.requests)
            await anyio.sleep(delay_s)
            writer.close()
            await wait_for(lambda: not context.in_progress)
            assert not any(slots.running for slots in context.scheduler.slots.values())
            await wait_for(lambda: first.closed_count and second.closed_count)

    run(test)


def test_slot_is_free_once_the_upstream_has_answered():
    """Guards against a slow caller that holds the slot of an upstream that has finished."""

    async def test():
        body = b'x' * 4_000_000
        async with (
            open_upstream(answer_with(make_answer(body))) as upstream,
            open_relay(upstream) as (context, port),
        ):
            extend_route_timeouts(context)
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.connect(('127.0.0.1', port))
                caller.sendall(make_request(b'/write/x'))
                await wait_for(lambda: upstream.requests)
                await wait_for(lambda: not context.scheduler.slots['i-0'].running, 3)

    run(test)


def test_server_error_on_its_way_is_not_cut_by_the_quarantine():
    """Guards against half an answer if calls like it come into quarantine meanwhile."""

    async def test():
        body = b'x' * 4_000_000
        failed = make_answer(body, b'500 Error')
        async with (
            open_upstream(answer_with(failed)) as upstream,
            open_relay(upstream) as (context, port),
        ):
            extend_route_timeouts(context)
            context.is_prober = lambda pattern: False
            digest = digest_call(b'/read/x', b'', b'')
            loop = asyncio.get_running_loop()
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.connect(('127.0.0.1', port))
                caller.setblocking(False)
                await loop.sock_sendall(caller, make_request())
                received = bytearray(await loop.sock_recv(caller, 100))
                for number in range(CRASH_LIMIT):
                    crash = Crash(digest, f'x-{number}/0', frozenset())
                    context.quarantine.record_crash(crash, read_lease_clock(), is_from_peer=True)
                context.recheck_quarantine()
                while received.count(b'x') < len(body):
                    chunk = await loop.sock_recv(caller, 262144)
                    assert chunk
                    received += chunk

    run(test)


def test_stream_to_a_slow_caller_is_not_resumed_elsewhere():
    """Guards against taking a caller that reads slowly for an upstream that is silent."""
    data_bytes = 200_000
    # More than the socket buffers between the relay and the caller take.
    events = [b'id: %d\ndata: %b\n\n' % (number, b'x' * data_bytes) for number in range(1, 36)]

    async def send_large_events(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(HEAD)
        for event in events:
            writer.write(make_chunk(event))
            await writer.drain()
        writer.write(STREAM_END)
        await writer.drain()

    async def test():
        async with (
            open_upstream(send_large_events) as first,
            open_upstream(stream_events([2])) as second,
            open_relay(first, second) as (context, port),
        ):
            extend_route_timeouts(context)
            loop = asyncio.get_running_loop()
            # Unlike a stream of asyncio, a plain socket is not read ahead.
            with socket.create_connection(('127.0.0.1', port)) as caller:
                caller.setblocking(False)
                await loop.sock_sendall(caller, make_request(b'/stream/x'))
                received = bytearray(await loop.sock_recv(caller, 100))
                await anyio.sleep(SILENCE_S)
                while not received.endswith(STREAM_END):
                    chunk = await loop.sock_recv(caller, 262144)
                    assert chunk
                    received += chunk
            assert not second.requests
        assert received.count(b'x' * data_bytes) == len(events)

    run(test)
