"""Requests that are valid HTTP with unusual values of the headers that the relay reads."""

import asyncio
import contextlib

import anyio
import pytest

from camphorpath.routing import Customer
from camphorpath.schema import camphorpath_pb2 as pb

from .support import (
    CUSTOMER,
    ask,
    make_answer,
    make_request,
    open_relay,
    open_upstream,
    run,
    run_scheduler,
)

NUMBERS = (
    b'nan',
    b'inf',
    b'-inf',
    b'-1',
    b'1e400',
    b'9' * 5000,
    b'0x10',
    b'1_000',
    b'\xff\xfe',
    b',',
    b'nan,nan',
    b'1,inf',
    b'-5,-5',
    b'1,2,3',
)
# Long enough for an answer of a relay and an upstream in this process.
READ_TIMEOUT_S = 0.05
METHODS = (b'GET', b'HEAD', b'POST', b'CONNECT', b'OPTIONS', b'PRI', b'get')
TARGETS = (b'/read/x', b'/stream/x', b'*', b'http://h/read/x', b'//', b'/read/%00%ff?%', b'h:80')
HEADERS = (
    b'',
    b'Host: h:x:y\r\n',
    b'Attempt: \xff\xfe\r\n',
    b'Attempt: \r\nKey: \xff\r\n',
    b'Connection: upgrade\r\nUpgrade: websocket\r\n',
    b'Connection: close, attempt, host, ,\xff\r\n',
    b'Expect: 100-continue\r\nContent-Length: 3\r\n',
    b'Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Content-Length: 3\r\nContent-Length: 3\r\n',
    b'Content-Length: 3, 4\r\n',
    b'Content-Length: ' + b'9' * 5000 + b'\r\n',
    b'Transfer-Encoding: gzip, chunked\r\n',
    b'Last-Event-Id: \xff\r\nLast-Event-Id: 2\r\n',
)
BODIES = (b'abc', b'3\r\nabc\r\n0\r\nTrailer: \xff\r\n\r\n', b'')
TOKEN_CUSTOMER = Customer(
    name='acme', priority=0, rate=100, burst=100, counts_tokens=True, default_units=1
)


async def answer_all(upstream, reader, writer):
    while True:
        await upstream.read_request(reader)
        writer.write(make_answer())
        await writer.drain()


@pytest.mark.parametrize('name', [b'Deadline-Ms', b'Tokens', b'Hint', b'Parts', b'Last-Event-Id'])
@pytest.mark.parametrize('text', NUMBERS)
def test_odd_header_value_ends_no_other_call(name, text):
    """Guards against a daemon that ends with all its connections because of a header value."""

    async def test():
        async with open_upstream(answer_all) as upstream, open_relay(upstream) as (_context, port):
            request = make_request(b'/keyed/x', headers=b'Key: secret\r\n')
            if name == b'Deadline-Ms':
                request = request.replace(b'Deadline-Ms: 5000', name + b': ' + text)
            else:
                request = request[:-2] + name + b': ' + text + b'\r\n\r\n'
            status, _head, _body = await ask(port, request)
            # Without time left, the call is refused as not run, or ends at its time limit.
            assert status in {200, 503, 504}
            assert (await ask(port, make_request()))[0] == 200

    run(test)


@pytest.mark.parametrize('text', [b'nan', b'-100000', b'nan,1', b'inf', b'1,-100000', b'1e400'])
def test_odd_token_count_leaves_the_quota_intact(text):
    """Guards against a customer whose quota is filled or broken by a token count."""

    async def test():
        async with open_upstream(answer_all) as upstream, open_relay(upstream) as (context, port):
            table = context.routing_table
            table.customers['secret'] = TOKEN_CUSTOMER
            headers = b'Key: secret\r\nTokens: ' + text + b'\r\n'
            assert (await ask(port, make_request(b'/keyed/x', headers=headers)))[0] == 200
            assert 0 <= context.quota.used[CUSTOMER.name] <= TOKEN_CUSTOMER.burst

    run(test)


@pytest.mark.parametrize('name', [b'Keep-Alive', b'Retry-After', b'Rate-Limit', b'Leaving'])
@pytest.mark.parametrize(
    'text', [*NUMBERS, b'20', b'timeout=' + b'9' * 5000, b'timeout=-1', b'timeout=']
)
def test_odd_header_of_an_answer_does_not_cost_it(name, text):
    """Guards against a complete answer that is replaced by a failure because of a header."""

    async def answer(upstream, reader, writer):
        while True:
            await upstream.read_request(reader)
            writer.write(make_answer(extra=name + b': ' + text + b'\r\n'))
            await writer.drain()

    async def test():
        async with open_upstream(answer) as upstream, open_relay(upstream) as (context, port):
            # The second call may have to wait for a request that the rate allows.
            async with run_scheduler(context):
                for _ in range(2):
                    assert (await ask(port, make_request()))[0] == 200

    run(test)


@pytest.mark.parametrize('method', METHODS)
@pytest.mark.parametrize('version', [b'1.0', b'1.1'])
def test_odd_requests_cause_no_unexpected_error(method, version):
    """Guards against requests that are rarely sent and that the relay fails to handle."""

    async def test():
        async with open_upstream(answer_all) as upstream, open_relay(upstream) as (context, port):
            async with anyio.create_task_group() as group:
                for target in TARGETS:
                    for headers in HEADERS:
                        for body in BODIES:
                            head = b'%b %b HTTP/%b\r\n' % (method, target, version)
                            host = b'' if b'Host' in headers else b'Host: h\r\n'
                            request = head + host + headers + b'\r\n' + body
                            group.start_soon(send_and_leave, port, request)
            assert (await ask(port, make_request()))[0] in {200, 503}
            records = context.events.select(pb.TimelineRequest())
            errors = [dict(record.fields) for record in records if record.name == 'internal_error']
            assert not errors

    run(test)


@pytest.mark.parametrize('path', [b'/nowhere/x', b'/keyed/x', b'/read/x'])
def test_refused_head_request_ends_no_other_call(path):
    """Guards against a daemon that ends as it sends the body of a refusal to a HEAD request."""

    async def test():
        async with open_upstream(answer_all) as upstream, open_relay(upstream) as (context, port):
            context.refuse_from = 0 if path == b'/read/x' else None
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(make_request(path, method=b'HEAD'))
            head = await reader.readuntil(b'\r\n\r\n')
            assert int(head.split()[1]) in {401, 404, 503}
            context.refuse_from = None
            # The next answer on the connection begins where that of the HEAD request ends.
            writer.write(make_request())
            assert (await reader.readuntil(b'\r\n\r\n')).startswith(b'HTTP/1.1 200 ')
            writer.close()

    run(test)


async def send_and_leave(port, request):
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    with contextlib.suppress(ConnectionError):
        writer.write(request)
        with anyio.move_on_after(READ_TIMEOUT_S):
            await reader.read()
    writer.close()
