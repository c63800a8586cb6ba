"""Requests that cross the close of an idle connection, and limits that change meanwhile."""

import asyncio
import os

import anyio
import attrs
import pytest

from camphorpath.relay.sockets import Connection
from camphorpath.routing import CallerLimits

from ..routing.test_table import make_route, make_table
from .support import (
    answer_with,
    make_answer,
    make_request,
    open_relay,
    open_upstream,
    read_answer,
    run,
    wait_for,
)

IDLE_LIMITS = CallerLimits(idle_timeout_s=0.2)


def test_request_that_crosses_an_idle_close_is_not_read():
    """Guards against a request that is read whole and gets no answer after an idle close."""

    async def test():
        async with open_relay(limits=IDLE_LIMITS) as (context, port):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            await wait_for(lambda: context.connections)
            # The end of input arrives at the idle timeout; the request was sent before.
            assert await reader.read() == b''
            sock = writer.get_extra_info('socket').dup()
            os.write(sock.fileno(), make_request(body=b'x' * 100, method=b'POST'))
            await anyio.sleep(0.1)
            # A reset tells the caller that its request was not read.
            with pytest.raises(OSError, match=r'reset|Broken pipe'):
                os.write(sock.fileno(), b'x')
            assert not context.connections
            sock.close()
            writer.close()

    run(test)


def test_request_that_arrives_at_the_idle_timeout_is_served(monkeypatch):
    """Guards against an idle close of a connection whose next request has arrived."""

    async def test():
        async with open_upstream(answer_with(make_answer())) as upstream:
            async with open_relay(upstream, limits=IDLE_LIMITS) as (context, port):
                receive = Connection.receive
                waits = []

                async def receive_late(connection):
                    # The timeout ends the first wait before its task sees the input.
                    if not waits:
                        waits.append(connection)
                        await anyio.sleep_forever()
                    return await receive(connection)

                monkeypatch.setattr(Connection, 'receive', receive_late)
                reader, writer = await asyncio.open_connection('127.0.0.1', port)
                writer.write(make_request())
                with anyio.fail_after(2):
                    assert (await read_answer(reader))[0] == 200
                writer.close()
                assert context.connections

    run(test)


def test_longer_idle_timeout_of_a_newer_manifest_applies_to_idle_connections():
    """Guards against closing at the old timeout what callers keep for the time of the newer."""

    async def test():
        async with open_upstream(answer_with(make_answer())) as upstream:
            async with open_relay(upstream, limits=IDLE_LIMITS) as (context, port):
                reader, writer = await asyncio.open_connection('127.0.0.1', port)
                await wait_for(lambda: context.connections)
                await anyio.sleep(0.05)
                longer = attrs.evolve(IDLE_LIMITS, idle_timeout_s=5)
                context.apply_routing_table(make_table(make_route('/read/'), limits=longer))
                await anyio.sleep(0.4)
                writer.write(make_request())
                assert (await read_answer(reader))[0] == 200
                writer.close()

    run(test)


@pytest.mark.parametrize(('before', 'after'), [(100, 4000), (4000, 100)])
def test_request_that_either_manifest_allows_is_read(before, after):
    """Guards against 413 for a request during which a manifest changes the largest body."""

    async def test():
        async with open_upstream(answer_with(make_answer())) as upstream:
            limits = CallerLimits(max_body_bytes=before)
            async with open_relay(upstream, limits=limits) as (context, port):
                reader, writer = await asyncio.open_connection('127.0.0.1', port)
                request = make_request(body=b'y' * 1000, method=b'POST')
                writer.write(request[:30])
                await wait_for(lambda: context.connections)
                await anyio.sleep(0.05)
                newer = CallerLimits(max_body_bytes=after)
                context.apply_routing_table(make_table(make_route('/read/'), limits=newer))
                writer.write(request[30:])
                assert (await read_answer(reader))[0] == 200
                writer.close()

    run(test)
