import contextlib

import attrs

from camphorpath.placement.ownership import Assignment

from .support import (
    ask,
    make_answer,
    make_entries,
    make_request,
    open_relay,
    open_upstream,
    run,
)
from .test_streams import HEAD

UPSTREAM_COUNT = 4
CALL_COUNT = 12
# Crashes after which no further call with the part may reach an upstream.
TOLERATED_CRASHES = 5
SOUND = b'10:60,77:250'
CRASHING = b'10:60,bad:80,%x:250'


@attrs.define
class Crashes:
    """Counts the calls that crashed an upstream."""

    count: int = 0


def crash_on(part, crashes):
    """Return a handler that breaks off at the head of an answer to a prompt with a part."""

    async def handle(upstream, reader, writer):
        while True:
            head = await upstream.read_request(reader)
            attempt = head.partition(b'Attempt: ')[2].split(b'\r\n')[0]
            if part in head:
                crashes.count += 1
                writer.write(HEAD.replace(b'Attempt: 1', b'Attempt: ' + attempt))
                await writer.drain()
                writer.transport.abort()
                return
            writer.write(make_answer(attempt=attempt))
            await writer.drain()

    return handle


def restart_upstreams(context, upstreams, incarnation):
    """Replace all entries by those of a later start, as upstreams do after a crash."""
    entries = [
        attrs.evolve(entry, incarnation=incarnation, is_leaving=False)
        for entry in make_entries(upstreams)
    ]
    owners = {entry.upstream_id: 'me' for entry in entries}
    context.scheduler.set_upstreams(entries, Assignment({}, owners))


async def ask_with_parts(port, attempt, parts, path=b'/once/x'):
    """Send a call with a body of its own and return the status of its answer."""
    request = make_request(
        path,
        b'%d' % attempt,
        headers=b'Parts: %b\r\n' % parts,
        body=b'%d' % attempt,
        method=b'POST',
    )
    status, _head, _body = await ask(port, request)
    return status


def test_calls_with_a_part_that_crashes_upstreams_are_refused():
    """Guards against different calls that crash upstreams by one part that they share."""

    async def test():
        crashes = Crashes()
        async with contextlib.AsyncExitStack() as stack:
            upstreams = [
                await stack.enter_async_context(open_upstream(crash_on(b'bad:', crashes)))
                for _ in range(UPSTREAM_COUNT)
            ]
            context, port = await stack.enter_async_context(open_relay(*upstreams))
            assert await ask_with_parts(port, CALL_COUNT, SOUND) == 200
            statuses = []
            for attempt in range(CALL_COUNT):
                statuses.append(await ask_with_parts(port, attempt, CRASHING % attempt))
                restart_upstreams(context, upstreams, attempt + 1)
            assert crashes.count <= TOLERATED_CRASHES
            assert statuses[-1] == 503
            assert await ask_with_parts(port, CALL_COUNT + 1, SOUND) == 200

    run(test)
