"""Numbers out of range that callers and upstreams state in headers."""

import math

import anyio
import attrs
import hypothesis
import hypothesis.strategies as st
import pytest

from camphorpath.cluster.heartbeats import _decode
from camphorpath.relay.acceptance import MAX_TOKENS, _estimate_output, _read_deadline, _read_tokens
from camphorpath.schema import camphorpath_pb2 as pb

from ..routing.test_table import make_table
from .support import (
    CUSTOMER,
    HEADER_NAMES,
    ROUTES,
    answer_with,
    ask,
    make_answer,
    make_request,
    open_relay,
    open_upstream,
    run,
)

NUMBERS = [b'nan', b'inf', b'-inf', b'1e308', b'-5', b'9' * 400, b'1e9999', b'\xb2', b'1,1,1']


@pytest.mark.parametrize('number', NUMBERS)
@pytest.mark.parametrize('name', [b'Tokens', b'Hint'])
def test_call_with_an_odd_number_is_served(name, number):
    """Guards against a call that waits until its deadline as its length compares with nothing."""

    async def test():
        async with open_upstream(answer_with(make_answer())) as upstream:
            async with open_relay(upstream) as (_context, port):
                headers = b'Key: secret\r\n%b: %b\r\n' % (name, number)
                status, _head, _body = await ask(port, make_request(headers=headers))
        assert status == 200

    run(test)


@pytest.mark.parametrize('number', NUMBERS)
def test_odd_number_of_tokens_spoils_neither_quota_nor_heartbeats(number):
    """Guards against a daemon that counts as lost, as peers drop heartbeats with such numbers."""

    async def test():
        customer = attrs.evolve(CUSTOMER, rate=100, burst=1000, counts_tokens=True, default_units=7)
        async with open_upstream(answer_with(make_answer(), make_answer())) as upstream:
            async with open_relay(upstream) as (context, port):
                context.routing_table = make_table(*ROUTES, customers={'secret': customer})
                headers = b'Key: secret\r\nTokens: %b,%b\r\n' % (number, number)
                await ask(port, make_request(path=b'/keyed/x', headers=headers))
                heartbeat = pb.EdgeHeartbeat(
                    name='d1', incarnation='1', host='10.0.0.1', used=context.quota.used
                )
                assert _decode(heartbeat.SerializeToString()) is not None
                assert context.quota.used == {'acme': 7}

    run(test)


@pytest.mark.parametrize('number', [*NUMBERS, b'9' * 5000])
@pytest.mark.parametrize(
    'header', [b'Keep-Alive: timeout=%b', b'Load: %b,%b,4', b'Retry-After: %b', b'Rate-Limit: %b']
)
def test_odd_number_in_an_answer_ends_no_daemon(header, number):
    """Guards against one answer of an upstream that ends a daemon with all its connections."""

    async def test():
        extra = header.replace(b'%b', number) + b'\r\n'
        async with open_upstream(answer_with(make_answer(extra=extra))) as upstream:
            async with open_relay(upstream) as (_context, port):
                status, _head, _body = await ask(port, make_request())
        assert status == 200

    run(test)


def test_huge_rate_limit_in_an_answer_ends_no_daemon():
    """Guards against the sum of finite rates that is infinite."""

    async def test():
        replies = [make_answer(extra=b'Rate-Limit: 1.7e308\r\n') for _ in range(2)]
        async with open_upstream(answer_with(*replies)) as upstream:
            async with open_relay(upstream) as (_context, port):
                await ask(port, make_request())
                await anyio.sleep(1.2)
                status, _head, _body = await ask(port, make_request())
        assert status == 200

    run(test)


@hypothesis.given(st.binary(max_size=12) | st.floats().map(lambda number: str(number).encode()))
def test_any_stated_number_is_in_range(text):
    """Guards against a number of a caller that is no number, or too large to count with."""
    tokens = b'%b,%b' % (text.replace(b',', b''), text)
    prompt, output = _read_tokens([(HEADER_NAMES.tokens, tokens)], HEADER_NAMES)
    assert prompt is None or 0 <= prompt <= MAX_TOKENS
    assert 0 <= output <= MAX_TOKENS
    hint = [(HEADER_NAMES.length_hint, text)]
    assert 0 <= _estimate_output(hint, HEADER_NAMES, output) <= output
    deadline = _read_deadline([(HEADER_NAMES.deadline_ms, text)], HEADER_NAMES)
    assert deadline >= 0
    assert not math.isnan(deadline)
