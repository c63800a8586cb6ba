"""Requests that are valid HTTP with unusual values of the headers that the relay reads."""

import pytest

from camphorpath.routing import Customer

from .support import CUSTOMER, ask, make_answer, make_request, open_relay, open_upstream, run

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
@pytest.mark.parametrize('text', [*NUMBERS, b'timeout=' + b'9' * 5000, b'timeout=-1', b'timeout='])
def test_odd_header_of_an_answer_does_not_cost_it(name, text):
    """Guards against a complete answer that is replaced by a failure because of a header."""

    async def answer(upstream, reader, writer):
        while True:
            await upstream.read_request(reader)
            writer.write(make_answer(extra=name + b': ' + text + b'\r\n'))
            await writer.drain()

    async def test():
        async with open_upstream(answer) as upstream, open_relay(upstream) as (_context, port):
            for _ in range(2):
                assert (await ask(port, make_request()))[0] == 200

    run(test)
