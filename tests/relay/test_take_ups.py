"""Streams that were broken off and that their callers take up again."""

import contextlib

import anyio
import attrs
import pytest

from camphorpath.clocks import read_lease_clock
from camphorpath.events import Event
from camphorpath.placement.crashes import Pattern, digest_parts
from camphorpath.placement.ownership import Assignment
from camphorpath.routing import CallKind
from camphorpath.schema import camphorpath_pb2 as pb
from camphorpath.streams import Asked, KnownOrigin, Origin, Source, digest_stream

from .support import (
    answer_with,
    ask,
    make_answer,
    make_request,
    open_relay,
    open_upstream,
    read_to_end,
    run,
    wait_for,
)
from .test_streams import HEAD, make_chunk, make_event, read_events, stream_events

BEGIN = make_request(b'/stream/x')


def take_up(attempt=b'2', begun_by=b'1', more_headers=b'', path=b'/stream/x'):
    """Return the request of a caller that has received two events of a stream."""
    headers = b'Last-Event-Id: 2\r\n' + more_headers
    if begun_by:
        headers += b'Resumes: %b\r\n' % begun_by
    return make_request(path, attempt=attempt, headers=headers)


def go_on(numbers, attempt=b'2', *, ends=True):
    """Return a handler that answers a take-up with the rest of the events."""
    head = HEAD.replace(b'Attempt: 1', b'Attempt: ' + attempt)

    async def handle(upstream, reader, writer):
        await upstream.read_request(reader)
        events = b''.join(make_chunk(make_event(number)) for number in numbers)
        writer.write(head + events + (b'0\r\n\r\n' if ends else b''))
        await writer.drain()
        if not ends:
            await anyio.sleep(0.05)
            writer.transport.abort()

    return handle


def answer_in_turn(*handlers):
    """Return a handler that uses the next of `handlers` for each connection."""
    left = list(handlers)

    async def handle(upstream, reader, writer):
        await left.pop(0)(upstream, reader, writer)

    return handle


@contextlib.asynccontextmanager
async def open_mixed(old, new):
    """Serve callers with an upstream of the version v1 and a faster one of the version v2."""
    async with (
        open_upstream(new, 'v2') as second,
        open_upstream(old) as first,
        open_relay(second, first) as (context, port),
    ):
        yield context, port, first, second


def change_routes(context, **fields):
    """Put a manifest in force in which the route of streams has other fields."""
    routes = [
        attrs.evolve(route, **fields) if route.prefix == '/stream/' else route
        for route in context.routing_table.routes
    ]
    context.apply_routing_table(attrs.evolve(context.routing_table, routes=tuple(routes)))


def record_begin(context, version, service='llm', stream_id=b'1'):
    context.origins.records.record(stream_id, Origin(service, version), read_lease_clock())


def test_caller_does_not_join_a_stream_from_two_software_versions():
    """Guards against a take-up that goes on at any upstream, here at the faster one."""

    async def test():
        old = answer_in_turn(stream_events([1, 2], ends=False), go_on([3]))
        async with open_mixed(old, go_on([3])) as (context, port, first, second):
            context.scheduler.slots['i-0'].health.record_failure(
                read_lease_clock(), is_certain=True
            )
            begun, _is_reset = await read_to_end(port, BEGIN)
            context.scheduler.slots['i-0'].health.record_success()
            received, _is_reset = await read_to_end(port, take_up())
            taken_up = context.events.select(pb.TimelineRequest(number=Event.STREAM_TAKEN_UP))
        assert read_events(begun) == [b'data: e1', b'data: e2']
        assert read_events(received) == [b'data: e3']
        assert len(first.requests) == 2
        assert not second.requests
        fields = taken_up[0].fields
        assert (fields['begun_by'], fields['version'], fields['source']) == ('1', 'v1', 'own')

    run(test)


def test_take_up_is_refused_at_once_if_its_software_version_is_gone():
    """Guards against a take-up that waits for nothing, or goes on at another version."""

    async def test():
        async with open_mixed(go_on([3]), go_on([3])) as (context, port, first, second):
            record_begin(context, 'v0')
            status, _head, body = await ask(port, take_up())
        assert (status, body) == (503, b'no_upstream\n')
        assert not first.requests
        assert not second.requests

    run(test)


@pytest.mark.parametrize('begun_by', [b'1', b''])
def test_take_up_of_an_unknown_stream_is_refused_while_two_versions_serve(begun_by):
    """Guards against a version that is guessed for a stream which began at another daemon."""

    async def test():
        async with open_mixed(go_on([3]), go_on([3])) as (_context, port, first, second):
            status, head, body = await ask(port, take_up(begun_by=begun_by))
        assert (status, body) == (503, b'stream_version_unknown\n')
        assert b'retry-after: 0.3' in head
        assert not first.requests
        assert not second.requests

    run(test)


def test_take_up_of_an_unknown_stream_goes_on_while_one_version_serves():
    """Guards against take-ups that are all refused where nothing can be joined wrongly."""

    async def test():
        async with (
            open_upstream(go_on([3])) as first,
            open_relay(first) as (_context, port),
        ):
            received, _is_reset = await read_to_end(port, take_up())
        assert read_events(received) == [b'data: e3']

    run(test)


def test_take_up_of_an_unknown_stream_is_refused_after_the_other_version_has_left():
    """Guards against the version of the upstreams that are left, while the other one just left."""

    async def test():
        async with (
            open_upstream(go_on([3])) as first,
            open_relay(first) as (context, port),
        ):
            context.apply_routing_table(context.routing_table)
            horizon_s = context.origins.services.get_horizon_s('llm')
            history = context.origins.history
            history.record('llm', 'v0', read_lease_clock() - horizon_s + 1)
            refused = await ask(port, take_up())
            history.expire(read_lease_clock() - horizon_s + 2)
            received, _is_reset = await read_to_end(port, take_up())
        assert refused[0] == 503
        assert read_events(received) == [b'data: e3']

    run(test)


def test_take_up_of_an_unknown_stream_is_refused_while_the_history_is_incomplete():
    """Guards against a daemon that started late and takes the versions it knows for all."""

    async def test():
        async with (
            open_upstream(go_on([3])) as first,
            open_relay(first) as (context, port),
        ):

            async def confirm_history():
                return False

            context.origins.confirm_history = confirm_history
            status, _head, _body = await ask(port, take_up())
        assert status == 503
        assert not first.requests

    run(test)


def test_take_up_of_an_unknown_stream_is_refused_at_upstreams_of_an_unknown_version():
    """Guards against an unknown software version that is taken for an equal one."""

    async def test():
        async with (
            open_upstream(go_on([3]), '') as first,
            open_relay(first) as (_context, port),
        ):
            status, _head, _body = await ask(port, take_up())
        assert status == 503
        assert not first.requests

    run(test)


def test_first_event_waits_until_the_version_is_announced():
    """Guards against a stream that breaks off before the other daemons can know its version."""

    async def test():
        announced = []
        is_announced = anyio.Event()

        async def announce_version(service, software_version):
            announced.append((service, software_version))
            await is_announced.wait()

        async with (
            open_upstream(stream_events([1, 2])) as first,
            open_relay(first) as (context, port),
            anyio.create_task_group() as group,
        ):
            context.origins.announce_version = announce_version
            received = []

            async def read():
                received.append(await read_to_end(port, BEGIN))

            group.start_soon(read)
            await wait_for(lambda: announced)
            await anyio.sleep(0.05)
            assert context.origins.records.find(digest_stream(b'1')) is None
            assert not received
            is_announced.set()
        assert announced == [('llm', 'v1')]
        assert read_events(received[0][0]) == [b'data: e1', b'data: e2']

    run(test)


def test_stream_begins_only_where_the_other_daemons_can_learn_its_version():
    """Guards against streams that nobody can continue, or that are joined with another version."""

    async def test():
        async def may_begin(_service, software_version):
            return software_version == 'v1'

        async with (
            open_upstream(stream_events([1]), 'v2') as unknown,
            open_upstream(stream_events([1]), 'v1') as known,
            open_relay(unknown, known) as (context, port),
        ):
            context.origins.may_begin = may_begin
            for _ in range(4):
                received, _is_reset = await read_to_end(port, BEGIN)
                assert read_events(received) == [b'data: e1']
            assert not unknown.requests
            context.scheduler.set_upstreams(
                [context.scheduler.slots['i-0'].upstream], Assignment({}, {'i-0': 'me'})
            )
            received, _is_reset = await read_to_end(port, BEGIN)
        # Without another upstream it begins there.
        assert read_events(received) == [b'data: e1']
        assert len(unknown.requests) == 1
        assert len(known.requests) == 4

    run(test)


@pytest.mark.parametrize('source', [Source.PEER, Source.STORE])
def test_take_up_goes_on_at_the_version_that_others_know(source):
    """Guards against take-ups that only the daemon can serve at which the stream began."""

    async def test():
        async with open_mixed(go_on([3]), go_on([3])) as (context, port, first, second):
            known = KnownOrigin(Origin('llm', 'v1'), read_lease_clock(), source)
            asked = []

            async def ask_peers(digest):
                asked.append(digest)
                return Asked(known if source is Source.PEER else None, frozenset(('peer',)))

            async def read_store(digest, answered):
                assert answered == {'peer'}
                asked.append(digest)
                return known

            context.origins.ask_peers = ask_peers
            context.origins.read_store = read_store
            received, _is_reset = await read_to_end(port, take_up())
        assert read_events(received) == [b'data: e3']
        assert not second.requests
        assert set(asked) == {digest_stream(b'1')}
        assert len(first.requests) == 1

    run(test)


def test_take_up_is_refused_without_a_read_of_the_store_if_too_many_are_looked_up():
    """Guards against a flood of unknown streams, each of which reads the rows of all daemons."""

    async def test():
        reads = []

        async def ask_peers(_digest):
            return Asked(is_given_up=True)

        async def read_store(digest, _answered):
            reads.append(digest)

        async with open_mixed(go_on([3]), go_on([3])) as (context, port, _first, _second):
            context.origins.ask_peers = ask_peers
            context.origins.read_store = read_store
            status, _head, body = await ask(port, take_up())
        assert (status, body) == (503, b'stream_version_unknown\n')
        assert not reads

    run(test)


def test_chain_of_take_ups_stays_at_one_software_version():
    """Guards against a third call that cannot be served, as its caller names only the first one."""

    async def test():
        old = answer_in_turn(go_on([3], ends=False), go_on([4], b'3'))
        async with open_mixed(old, go_on([4], b'3')) as (context, port, first, second):
            record_begin(context, 'v1')
            await read_to_end(port, take_up())
            context.origins.records.expire(read_lease_clock() - 5)
            received, _is_reset = await read_to_end(port, take_up(attempt=b'3'))
        assert read_events(received) == [b'data: e4']
        assert not second.requests
        assert len(first.requests) == 2

    run(test)


def test_stream_is_not_taken_up_at_another_service_of_its_route():
    """Guards against versions of two services that have the same name."""

    async def test():
        async with open_mixed(go_on([3]), go_on([3])) as (context, port, first, second):
            routes = [
                attrs.evolve(route, targets=(('llm', 1.0), ('other', 0.0)))
                for route in context.routing_table.routes
            ]
            context.routing_table = attrs.evolve(context.routing_table, routes=tuple(routes))
            record_begin(context, 'v1', service='other')
            other = await ask(port, take_up())
            record_begin(context, 'v1', service='third')
            third = await ask(port, take_up())
        assert (other[0], third[0]) == (503, 503)
        assert not first.requests
        assert not second.requests

    run(test)


def test_stream_of_an_unknown_version_is_not_taken_up_at_another_service():
    """Guards against the only version of the service to which the route has moved since."""

    async def test():
        async with open_upstream(go_on([3]), 'v1') as only, open_relay(only) as (context, port):
            record_begin(context, '', service='old')
            status, _head, _body = await ask(port, take_up())
        assert status == 503
        assert not only.requests

    run(test)


def test_take_up_with_a_quarantined_part_is_not_sent_to_the_service_that_began_it():
    """Guards against parts that are quarantined at the service to which the call is bound."""

    async def test():
        async with open_upstream(go_on([3]), 'v1') as only, open_relay(only) as (context, port):
            routes = [
                attrs.evolve(route, targets=(('other', 1.0), ('llm', 0.0)))
                for route in context.routing_table.routes
            ]
            context.routing_table = attrs.evolve(context.routing_table, routes=tuple(routes))
            context.is_prober = lambda _pattern: False
            record_begin(context, 'v1')
            parts = digest_parts('llm', [b'a'])
            context.quarantine.adopt_stored(Pattern(b'', parts), read_lease_clock())
            status, _head, body = await ask(port, take_up(more_headers=b'Parts: a:10,b:10\r\n'))
        assert (status, body) == (503, b'crashes_upstreams\n')
        assert not only.requests

    run(test)


def test_call_that_names_a_stream_but_no_event_begins_a_stream_of_its_own():
    """Guards against a record that replaces the one of the stream which a caller names."""

    async def test():
        begins = make_request(b'/stream/x', attempt=b'2', headers=b'Resumes: 1\r\n')
        async with open_mixed(go_on([3]), go_on([1, 2])) as (context, port, _first, _second):
            record_begin(context, 'v1')
            received, _is_reset = await read_to_end(port, begins)
            records = context.origins.records
            versions = [
                records.find(digest_stream(stream_id)).origin.software_version
                for stream_id in (b'1', b'2')
            ]
        assert read_events(received) == [b'data: e1', b'data: e2']
        assert versions == ['v1', 'v2']

    run(test)


def test_stream_of_a_route_that_ceased_to_be_resumable_goes_on_at_its_version_once():
    """Guards against a take-up that is taken for a new call, or runs twice."""

    async def test():
        old = answer_in_turn(go_on([3], ends=False), go_on([4]))
        async with open_mixed(old, go_on([3])) as (context, port, first, second):
            record_begin(context, 'v1')
            change_routes(context, is_resumable=False)
            received, _is_reset = await read_to_end(port, take_up())
            known = context.origins.records.find(digest_stream(b'1'))
        assert read_events(received) == [b'data: e3']
        assert len(first.requests) == 1
        assert not second.requests
        assert known.origin == Origin('llm', 'v1')

    run(test)


@pytest.mark.parametrize('path', [b'/stream/x', b'/once/x'])
def test_take_up_on_a_route_that_is_not_resumable_is_refused_if_its_version_is_unknown(path):
    """Guards against a version that is guessed, as streams of such a route leave no records."""

    async def test():
        async with open_upstream(go_on([3])) as only, open_relay(only) as (context, port):
            change_routes(context, is_resumable=False)
            status, _head, body = await ask(port, take_up(path=path))
        assert (status, body) == (503, b'stream_version_unknown\n')
        assert not only.requests

    run(test)


@pytest.mark.parametrize('kind', [CallKind.IDEMPOTENT, CallKind.NON_IDEMPOTENT])
def test_take_up_is_refused_if_its_route_became_one_of_another_kind(kind):
    """Guards against the rest of a stream that any upstream brings as another kind of answer."""

    async def test():
        async with open_upstream(go_on([3])) as only, open_relay(only) as (context, port):
            record_begin(context, 'v1')
            change_routes(context, is_resumable=False, kind=kind)
            status, _head, body = await ask(port, take_up())
        assert (status, body) == (503, b'stream_route_changed\n')
        assert not only.requests

    run(test)


@pytest.mark.parametrize('is_confirmed', [False, True])
def test_call_with_an_event_id_on_a_path_without_streams_is_served_if_that_is_certain(
    is_confirmed,
):
    """Guards against ordinary calls that are refused, and streams before the daemon's start."""

    async def test():
        async def confirm_history():
            return is_confirmed

        async with (
            open_upstream(answer_with(make_answer(attempt=b'2'))) as only,
            open_relay(only) as (context, port),
        ):
            context.origins.confirm_history = confirm_history
            status, _head, _body = await ask(port, take_up(path=b'/read/x'))
        assert status == (200 if is_confirmed else 503)
        assert len(only.requests) == is_confirmed

    run(test)
