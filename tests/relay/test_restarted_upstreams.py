"""Upstreams that started again under their id, while the daemon holds the entry of before."""

import contextlib

import anyio
import pytest

from camphorpath.clocks import read_lease_clock
from camphorpath.errors import PlatformError
from camphorpath.events import Event
from camphorpath.relay.reports import REPORT_TIMEOUT_S, ReportFormat, ReportReader
from camphorpath.schema import camphorpath_pb2 as pb
from camphorpath.streams import digest_stream

from .support import (
    ask,
    flood_connections,
    make_request,
    open_relay,
    open_upstream,
    read_to_end,
    run,
)
from .test_software_versions import replace_entry
from .test_streams import HEAD, extend_route_timeouts, make_chunk, make_event, read_events
from .test_take_ups import record_begin, take_up

REGISTERED = 5
RESTARTED = 6
BEGIN = make_request(b'/stream/x')
REPORT_HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b'


def decode_incarnation(body):
    try:
        return int(body)
    except ValueError as error:
        raise PlatformError('not a number', step='decode') from error


REPORT_FORMAT = ReportFormat(path=b'/report', decode_incarnation=decode_incarnation)


def make_report(incarnation):
    body = b'%d' % incarnation
    return REPORT_HEAD % (len(body), body)


def serve_process(report, numbers, *, ends=True, attempt=b'1'):
    """Return a handler of connections to a process, which answers reports and sends events.

    A report of None is never answered.
    """
    head = HEAD.replace(b'Attempt: 1', b'Attempt: ' + attempt)

    async def handle(upstream, reader, writer):
        while True:
            asked = await upstream.read_request(reader)
            if not asked.startswith(b'GET /report '):
                break
            upstream.requests.pop()
            upstream.report_count += 1
            if report is None:
                await upstream.wait_closed(reader)
                return
            writer.write(report)
        events = b''.join(make_chunk(make_event(number)) for number in numbers)
        writer.write(head + events + (b'0\r\n\r\n' if ends else b''))
        await writer.drain()
        if ends:
            await handle(upstream, reader, writer)
        await anyio.sleep(0.05)
        writer.transport.abort()

    return handle


@contextlib.asynccontextmanager
async def open_relay_with_reports(*upstreams):
    """Serve callers; all entries state the incarnation REGISTERED."""
    async with open_relay(*upstreams) as (context, port):
        extend_route_timeouts(context)
        context.reports = ReportReader(
            ReportFormat(path=b'/report', decode_incarnation=decode_incarnation)
        )
        for upstream_id in list(context.scheduler.slots):
            replace_entry(context, upstream_id, incarnation=REGISTERED)
        yield context, port


def find_recorded_version(context):
    return context.origins.records.find(digest_stream(b'1')).origin.software_version


def list_unconfirmed(context):
    return list(context.events.select(pb.TimelineRequest(number=Event.UPSTREAM_UNCONFIRMED)))


def test_broken_stream_does_not_go_on_at_an_upstream_that_restarted_unseen():
    """Guards against an outdated entry that names the version of the process which answers."""

    async def test():
        async with (
            open_upstream(serve_process(make_report(REGISTERED), [1, 2], ends=False)) as first,
            open_upstream(serve_process(make_report(RESTARTED), [3])) as second,
            open_upstream(serve_process(make_report(REGISTERED), [3])) as third,
            open_relay_with_reports(first, second, third) as (context, port),
        ):
            received, is_reset = await read_to_end(port, BEGIN)
            unconfirmed = list_unconfirmed(context)
            health = context.scheduler.slots['i-1'].health
        assert read_events(received) == [b'data: e1', b'data: e2', b'data: e3']
        assert not is_reset
        assert not second.requests
        assert not health.failures
        assert [(line.upstream, line.fields['reported']) for line in unconfirmed] == [('i-1', '6')]

    run(test)


def test_take_up_does_not_go_on_at_an_upstream_that_restarted_unseen():
    """Guards against a take-up at a process whose version no entry states."""

    async def test():
        process = serve_process(make_report(RESTARTED), [3], attempt=b'2')
        async with open_upstream(process) as only, open_relay_with_reports(only) as (context, port):
            record_begin(context, 'v1')
            status, _head, _body = await ask(port, take_up())
        assert status == 503
        assert not only.requests

    run(test)


def test_version_of_a_stream_that_began_at_a_restarted_upstream_is_not_that_of_its_old_entry():
    """Guards against a record of the old version, with which a take-up goes on elsewhere."""

    async def test():
        async with (
            open_upstream(serve_process(make_report(RESTARTED), [1, 2], ends=False)) as first,
            open_upstream(serve_process(make_report(REGISTERED), [3])) as second,
            open_relay_with_reports(first, second) as (context, port),
        ):
            received, is_reset = await read_to_end(port, BEGIN)
            version = find_recorded_version(context)
        assert read_events(received) == [b'data: e1', b'data: e2']
        assert is_reset
        assert not version
        assert not second.requests

    run(test)


def test_stream_goes_on_once_the_entry_of_the_restarted_upstream_arrives():
    """Guards against streams that are lost since the entry of their upstream was late."""

    async def test():
        contexts = []

        async def register_late(upstream, reader, writer):
            await upstream.read_request(reader)
            writer.write(make_report(RESTARTED))
            await upstream.read_request(reader)
            writer.write(HEAD + make_chunk(make_event(1)))
            await writer.drain()
            await anyio.sleep(0.05)
            replace_entry(contexts[0], 'i-0', incarnation=RESTARTED, software_version='v2')
            writer.write(make_chunk(make_event(2)))
            await writer.drain()
            await anyio.sleep(0.05)
            writer.transport.abort()

        async with (
            open_upstream(register_late) as first,
            open_upstream(serve_process(make_report(REGISTERED), [3])) as second,
            open_upstream(serve_process(make_report(REGISTERED), [3]), 'v2') as third,
            open_relay_with_reports(first, second, third) as (context, port),
        ):
            contexts.append(context)
            received, is_reset = await read_to_end(port, BEGIN)
            version = find_recorded_version(context)
        assert read_events(received) == [b'data: e1', b'data: e2', b'data: e3']
        assert not is_reset
        assert version == 'v2'
        assert not second.requests

    run(test)


def test_version_of_a_process_stays_known_when_the_entry_of_the_next_one_arrives():
    """Guards against streams that are lost since their upstream has restarted once more."""

    async def test():
        contexts = []

        async def restart_again(upstream, reader, writer):
            await upstream.read_request(reader)
            writer.write(make_report(RESTARTED))
            await upstream.read_request(reader)
            replace_entry(contexts[0], 'i-0', incarnation=RESTARTED, software_version='v2')
            writer.write(HEAD + make_chunk(make_event(1)))
            await writer.drain()
            await anyio.sleep(0.05)
            replace_entry(contexts[0], 'i-0', incarnation=RESTARTED + 1, software_version='v3')
            writer.write(make_chunk(make_event(2)))
            await writer.drain()
            await anyio.sleep(0.05)
            writer.transport.abort()

        async with (
            open_upstream(restart_again) as first,
            open_upstream(serve_process(make_report(REGISTERED), [3])) as second,
            open_upstream(serve_process(make_report(REGISTERED), [3]), 'v2') as third,
            open_relay_with_reports(first, second, third) as (context, port),
        ):
            contexts.append(context)
            received, is_reset = await read_to_end(port, BEGIN)
            version = find_recorded_version(context)
        assert read_events(received) == [b'data: e1', b'data: e2', b'data: e3']
        assert not is_reset
        assert version == 'v2'
        assert not second.requests

    run(test)


def test_entry_of_a_restarted_upstream_is_read_before_its_first_event():
    """Guards against streams of an unknown version though the store holds the entry already."""

    async def test():
        announced = []

        async def announce(service, software_version):
            announced.append((service, software_version))

        process = serve_process(make_report(RESTARTED), [1, 2])
        async with open_upstream(process) as only, open_relay_with_reports(only) as (context, port):

            async def look_up(upstream_id, incarnation):
                assert incarnation == RESTARTED
                replace_entry(context, upstream_id, incarnation=RESTARTED, software_version='v2')

            context.look_up_process = look_up
            context.origins.announce_version = announce
            received, _is_reset = await read_to_end(port, BEGIN)
            version = find_recorded_version(context)
        assert read_events(received) == [b'data: e1', b'data: e2']
        assert version == 'v2'
        assert announced == [('llm', 'v2')]

    run(test)


def test_entries_are_read_for_no_process_that_they_describe():
    """Guards against reads of the store for streams of upstreams whose entry is known."""

    async def test():
        asked = []

        async def look_up(*process):
            asked.append(process)

        async with (
            open_upstream(serve_process(make_report(REGISTERED), [1, 2])) as first,
            open_relay_with_reports(first) as (context, port),
        ):
            context.look_up_process = look_up
            await read_to_end(port, BEGIN)
            assert find_recorded_version(context) == 'v1'
        assert not asked

    run(test)


@pytest.mark.parametrize(
    'report',
    [
        b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n',
        make_report(0),
        REPORT_HEAD % (4, b'junk'),
        b'junk\r\n\r\n',
        None,
    ],
)
def test_stream_is_served_but_not_joined_at_an_upstream_that_states_no_incarnation(report):
    """Guards against new streams that fail with reports, and an unknown process taken for known."""

    async def test():
        process = serve_process(report, [1, 2])
        async with open_upstream(process) as only, open_relay_with_reports(only) as (context, port):
            began_at = read_lease_clock()
            received, _is_reset = await read_to_end(port, BEGIN)
            took_s = read_lease_clock() - began_at
            version = find_recorded_version(context)
            status, _head, _body = await ask(port, take_up())
            health = context.scheduler.slots['i-0'].health
        assert read_events(received) == [b'data: e1', b'data: e2']
        assert took_s < REPORT_TIMEOUT_S + 0.5
        assert not version
        assert status == 503
        assert len(only.requests) == 1
        assert not health.is_ejected

    run(test)


@pytest.mark.parametrize(
    ('head', 'endless'),
    [
        (b'HTTP/1.1 200 OK\r\n\r\n', b'1' * 65536),
        (b'HTTP/1.1 200 OK\r\nX: ', b'1' * 65536),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 100),
    ],
)
def test_report_without_end_is_given_up(head, endless):
    """Guards against a report that is read until the memory or the time of the call is used up."""

    async def test():
        with flood_connections(head, endless) as only:
            async with open_relay_with_reports(only) as (context, port):
                record_begin(context, 'v1')
                began_at = read_lease_clock()
                status, _head, _body = await ask(port, take_up())
                took_s = read_lease_clock() - began_at
        assert status == 503
        assert took_s < REPORT_TIMEOUT_S + 0.5

    run(test)


def test_connection_is_asked_for_a_report_once():
    """Guards against a report for each stream, which would slow all of them down."""

    async def test():
        process = serve_process(make_report(REGISTERED), [1, 2])
        async with open_upstream(process) as only, open_relay_with_reports(only) as (context, port):
            for _ in range(3):
                await read_to_end(port, BEGIN)
            version = find_recorded_version(context)
        assert only.report_count == 1
        assert len(only.requests) == 3
        assert version == 'v1'

    run(test)


def test_entry_without_an_incarnation_names_no_version():
    """Guards against two unknown incarnations that are taken for equal."""

    async def test():
        process = serve_process(make_report(0), [3], attempt=b'2')
        async with open_upstream(process) as only, open_relay_with_reports(only) as (context, port):
            replace_entry(context, 'i-0', incarnation=0)
            record_begin(context, 'v1')
            status, _head, _body = await ask(port, take_up())
        assert status == 503
        assert not only.requests

    run(test)
