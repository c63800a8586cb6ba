import anyio
import pytest
from loguru import logger

from .support import answer_with, ask, make_answer, make_request, open_relay, open_upstream, run

# Longer than the rates that the upstreams state leave between two calls.
CALL_INTERVAL_S = 0.1


@pytest.fixture
def limit_records():
    """Return the rates of the `upstream_limited` lines that a test logs."""
    rates = []

    def keep(message):
        record = message.record
        if record['message'] == 'upstream_limited':
            rates.append(float(record['extra']['rate']))

    handler = logger.add(keep)
    yield rates
    logger.remove(handler)


def state_rate(text, attempt):
    return make_answer(attempt=b'%d' % attempt, extra=b'Rate-Limit: %b\r\n' % text)


def test_stated_limit_is_logged_once_for_each_change(limit_records):
    """Guards against a log that does not tell which rate an upstream allowed, and since when."""

    async def test():
        answers = [
            make_answer(attempt=b'1'),
            state_rate(b'20', 2),
            state_rate(b'20.0', 3),
            state_rate(b'12.5', 4),
            make_answer(attempt=b'5'),
        ]
        async with open_upstream(answer_with(*answers)) as upstream, open_relay(upstream) as relay:
            for number in range(1, len(answers) + 1):
                await ask(relay[1], make_request(attempt=b'%d' % number))
                await anyio.sleep(CALL_INTERVAL_S)

    run(test)
    assert limit_records == [20, 12.5, float('inf')]


def test_statements_of_another_upstream_are_not_applied(limit_records):
    """Guards against an upstream that is left out for what the next one at its address says."""
    leaving = []

    async def test():
        extra = b'Rate-Limit: 1\r\nLeaving: 1\r\nLoad: 9,9,4\r\nRetry-After: 9\r\n'
        answers = [
            make_answer(status=b'421 Misdirected Request', extra=extra),
            make_answer(attempt=b'2'),
        ]
        async with open_upstream(answer_with(*answers)) as upstream, open_relay(upstream) as relay:
            context, port = relay
            context.on_leaving = leaving.append
            status, _head, _body = await ask(port, make_request(b'/write/x'))
            assert status == 503
            status, _head, _body = await ask(port, make_request(attempt=b'2'))
            assert status == 200

    run(test)
    assert not leaving
    assert not limit_records


@pytest.mark.parametrize('text', [b'', b'many', b'nan', b'inf', b'-1'])
def test_unreadable_limit_is_no_statement(text, limit_records):
    """Guards against a call that fails, or an upstream that is left out, for a malformed header."""

    async def test():
        answers = [state_rate(b'20', 1), state_rate(text, 2)]
        async with open_upstream(answer_with(*answers)) as upstream, open_relay(upstream) as relay:
            for number in (1, 2):
                status, _head, _body = await ask(relay[1], make_request(attempt=b'%d' % number))
                assert status == 200
                await anyio.sleep(CALL_INTERVAL_S)

    run(test)
    assert limit_records == ([20, float('inf')] if not text else [20])
