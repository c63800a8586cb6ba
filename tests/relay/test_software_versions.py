import anyio
import attrs
import pytest

from camphorpath.clocks import read_lease_clock
from camphorpath.events import Event
from camphorpath.placement.budget import RetryBudget
from camphorpath.placement.ownership import Assignment
from camphorpath.schema import camphorpath_pb2 as pb

from .support import make_request, open_relay, open_upstream, read_to_end, run
from .test_streams import (
    HEAD,
    extend_route_timeouts,
    make_chunk,
    make_event,
    read_events,
    stream_events,
)

STREAM = make_request(b'/stream/x')
SILENCE_S = 1.5


def fall_silent(first, second):
    """Return a handler that pauses for SILENCE_S between two events and then ends the stream."""

    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(HEAD + make_chunk(make_event(first)))
        await writer.drain()
        await anyio.sleep(SILENCE_S)
        writer.write(make_chunk(make_event(second)) + b'0\r\n\r\n')
        await writer.drain()

    return handle


@pytest.mark.parametrize('versions', [('v1', 'v2'), ('v2', 'v1'), ('v1', ''), ('', 'v1'), ('', '')])
def test_broken_stream_is_not_joined_from_two_software_versions(versions):
    """Guards against a stream that is resumed at an upstream of another or an unknown version."""

    async def test():
        async with (
            open_upstream(stream_events([1, 2], ends=False), versions[0]) as first,
            open_upstream(stream_events([3, 4]), versions[1]) as second,
            open_relay(first, second) as (_context, port),
        ):
            received, is_reset = await read_to_end(port, STREAM)
        assert read_events(received) == [b'data: e1', b'data: e2']
        assert is_reset
        assert not second.requests

    run(test)


def test_broken_stream_goes_on_at_a_slower_upstream_of_its_version():
    """Guards against a stream that is cut although an upstream of its version is free."""

    async def test():
        async with (
            open_upstream(stream_events([1, 2], ends=False)) as first,
            open_upstream(stream_events([3, 4]), 'v2') as second,
            open_upstream(stream_events([3, 4])) as third,
            open_relay(first, second, third) as (context, port),
        ):
            received, is_reset = await read_to_end(port, STREAM)
        assert read_events(received) == [b'data: e1', b'data: e2', b'data: e3', b'data: e4']
        assert not is_reset
        assert not second.requests
        switches = context.events.select(pb.TimelineRequest(number=Event.STREAM_SWITCHED))
        assert [switch.fields['version'] for switch in switches] == ['v1']

    run(test)


def test_call_without_an_event_goes_on_at_any_software_version():
    """Guards against calls that are given up though nothing of their answer was passed on."""

    async def test():
        async with (
            open_upstream(stream_events([], ends=False)) as first,
            open_upstream(stream_events([1, 2]), 'v2') as second,
            open_relay(first, second) as (_context, port),
        ):
            received, _is_reset = await read_to_end(port, STREAM)
        assert read_events(received) == [b'data: e1', b'data: e2']

    run(test)


def test_silent_stream_is_not_joined_from_two_software_versions():
    """Guards against a stream that leaves its silent upstream for one of another version."""

    async def test():
        async with (
            open_upstream(fall_silent(1, 2)) as first,
            open_upstream(stream_events([2]), 'v2') as second,
            open_relay(first, second) as (context, port),
        ):
            extend_route_timeouts(context)
            received, is_reset = await read_to_end(port, STREAM)
        assert read_events(received) == [b'data: e1', b'data: e2']
        assert not is_reset
        assert not second.requests

    run(test)


def test_stream_does_not_go_on_at_an_upstream_that_restarted_at_another_version():
    """Guards against a version that changes between the grant of a slot and the send."""

    async def test():
        async with (
            open_upstream(stream_events([1], ends=False)) as first,
            open_upstream(stream_events([2])) as second,
            open_relay(first, second) as (context, port),
        ):
            pool = context.pool
            entries = [slots.upstream for slots in context.scheduler.slots.values()]
            acquire = pool.acquire

            async def restart_before_send(upstream, **options):
                if upstream.upstream_id == 'i-1':
                    restarted = attrs.evolve(entries[1], software_version='v2', incarnation=7)
                    owners = dict.fromkeys(('i-0', 'i-1'), 'me')
                    context.scheduler.set_upstreams([entries[0], restarted], Assignment({}, owners))
                return await acquire(upstream, **options)

            context.pool = RestartingPool(pool, restart_before_send)
            received, is_reset = await read_to_end(port, STREAM)
            health = context.scheduler.slots['i-1'].health
        assert read_events(received) == [b'data: e1']
        assert is_reset
        assert not second.requests
        assert not health.is_ejected

    run(test)


def replace_entry(context, upstream_id, **changes):
    """Register an upstream again with other fields."""
    entries = {key: slots.upstream for key, slots in context.scheduler.slots.items()}
    entries[upstream_id] = attrs.evolve(entries[upstream_id], **changes)
    owners = dict.fromkeys(entries, 'me')
    context.scheduler.set_upstreams(list(entries.values()), Assignment({}, owners))


def restart_before_event(contexts, upstream_id, numbers, **changes):
    """Return a handler whose entry changes before the last of its events; it aborts the stream."""

    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(HEAD + b''.join(make_chunk(make_event(number)) for number in numbers[:-1]))
        await writer.drain()
        await anyio.sleep(0.05)
        replace_entry(contexts[0], upstream_id, **changes)
        writer.write(make_chunk(make_event(numbers[-1])))
        await writer.drain()
        await anyio.sleep(0.05)
        writer.transport.abort()

    return handle


@pytest.mark.parametrize('incarnation', [0, 7])
@pytest.mark.parametrize('numbers', [[1], [1, 2]])
def test_stream_of_an_upstream_whose_version_changed_is_not_joined(incarnation, numbers):
    """Guards against an older entry that names the version of the events of a restarted one."""

    async def test():
        contexts = []
        changes = {'software_version': 'v2', 'incarnation': incarnation}
        async with (
            open_upstream(restart_before_event(contexts, 'i-0', numbers, **changes)) as first,
            open_upstream(stream_events([3])) as second,
            open_relay(first, second) as (context, port),
        ):
            contexts.append(context)
            received, is_reset = await read_to_end(port, STREAM)
        assert len(read_events(received)) == len(numbers)
        assert is_reset
        assert not second.requests

    run(test)


def test_restart_at_the_same_version_does_not_end_a_stream():
    """Guards against a sound stream that is cut since an upstream has written its entry again."""

    async def test():
        contexts = []
        changes = {'incarnation': 7, 'slots': 3}
        async with (
            open_upstream(restart_before_event(contexts, 'i-0', [1, 2], **changes)) as first,
            open_upstream(stream_events([3])) as second,
            open_relay(first, second) as (context, port),
        ):
            contexts.append(context)
            received, is_reset = await read_to_end(port, STREAM)
        assert read_events(received) == [b'data: e1', b'data: e2', b'data: e3']
        assert not is_reset

    run(test)


def test_no_event_is_taken_from_an_upstream_that_restarted_after_the_send():
    """Guards against a version that changes between the send and the first event after a switch."""

    async def test():
        contexts = []
        changes = {'software_version': 'v2', 'incarnation': 7}
        async with (
            open_upstream(stream_events([1], ends=False)) as first,
            open_upstream(restart_before_event(contexts, 'i-1', [2], **changes)) as second,
            open_upstream(stream_events([2])) as third,
            open_relay(first, second, third) as (context, port),
        ):
            contexts.append(context)
            extend_route_timeouts(context, max_attempts=3)
            received, is_reset = await read_to_end(port, STREAM)
            health = context.scheduler.slots['i-1'].health
        assert read_events(received) == [b'data: e1', b'data: e2']
        assert not is_reset
        assert b'last-event-id: 1' in third.requests[0][0].lower()
        assert not health.failures

    run(test)


def test_log_lines_of_a_switch_are_bounded():
    """Guards against log lines as long as a header of a caller or a list of all versions."""

    async def test():
        headers = b'Resumes: %b\r\nLast-Event-Id: %b\r\n' % (b'r' * 5000, b'1' * 5000)
        request = make_request(b'/stream/x', headers=headers)
        async with (
            open_upstream(stream_events([1], ends=False)) as first,
            open_upstream(stream_events([2])) as second,
            open_relay(first, second) as (context, port),
        ):
            entry = context.scheduler.slots['i-1'].upstream
            others = {
                f'o-{number}': attrs.evolve(
                    entry, upstream_id=f'o-{number}', software_version=f'{number:0200}'
                )
                for number in range(100)
            }
            entries = [slots.upstream for slots in context.scheduler.slots.values()]
            # Nobody owns the others, so that no call is sent there.
            owners = dict.fromkeys(('i-0', 'i-1'), 'me')
            context.scheduler.set_upstreams([*entries, *others.values()], Assignment({}, owners))
            await read_to_end(port, request)
        for number in (Event.STREAM_SWITCHED, Event.STREAM_TAKEN_UP):
            lines = list(context.events.select(pb.TimelineRequest(number=number)))
            assert lines
            assert all(len(str(line.fields)) < 4000 for line in lines)

    run(test)


@pytest.mark.parametrize('versions', [('v1', 'v2'), ('', '')])
def test_stream_that_cannot_go_on_takes_no_retry(versions):
    """Guards against a retry budget that is used up by streams that are sent nowhere."""

    async def test():
        async with (
            open_upstream(stream_events([1], ends=False), versions[0]) as first,
            open_upstream(stream_events([2]), versions[1]) as second,
            open_relay(first, second) as (context, port),
        ):
            context.budget = RetryBudget(ratio=0, window_s=10, allowance=2)
            _received, is_reset = await read_to_end(port, STREAM)
            assert is_reset
            assert context.budget.has_room('llm', read_lease_clock(), 1)

    run(test)


@attrs.define
class RestartingPool:
    """A pool whose `acquire` is replaced."""

    pool: object
    acquire: object

    def release(self, conn, *, is_complete):
        self.pool.release(conn, is_complete=is_complete)


def leave_before_event(contexts, upstream_id, numbers):
    """Return a handler whose entry is removed before the last of its events; it aborts then."""

    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        writer.write(HEAD + b''.join(make_chunk(make_event(number)) for number in numbers[:-1]))
        await writer.drain()
        await anyio.sleep(0.05)
        scheduler = contexts[0].scheduler
        entries = [slots.upstream for key, slots in scheduler.slots.items() if key != upstream_id]
        owners = {entry.upstream_id: 'me' for entry in entries}
        scheduler.set_upstreams(entries, Assignment({}, owners))
        writer.write(make_chunk(make_event(numbers[-1])))
        await writer.drain()
        await anyio.sleep(0.05)
        writer.transport.abort()

    return handle


def test_stream_of_an_upstream_that_left_goes_on_at_its_version():
    """Guards against a version that is forgotten as the upstream has left during its answer."""

    async def test():
        contexts = []
        async with (
            open_upstream(leave_before_event(contexts, 'i-0', [1, 2])) as first,
            open_upstream(stream_events([3])) as second,
            open_relay(first, second) as (context, port),
        ):
            contexts.append(context)
            received, is_reset = await read_to_end(port, STREAM)
        assert read_events(received) == [b'data: e1', b'data: e2', b'data: e3']
        assert not is_reset

    run(test)
