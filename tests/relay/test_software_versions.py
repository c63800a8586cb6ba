import anyio
import attrs
import pytest

from camphorpath.events import Event
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


@attrs.define
class RestartingPool:
    """A pool whose `acquire` is replaced."""

    pool: object
    acquire: object

    def release(self, conn, *, is_complete):
        self.pool.release(conn, is_complete=is_complete)
