import asyncio

import attrs

from camphorpath.clocks import read_lease_clock

from ..routing.test_table import make_table
from .support import (
    CUSTOMER,
    ROUTES,
    answer_with,
    ask,
    make_answer,
    make_request,
    open_relay,
    open_upstream,
    run,
    stay_unresponsive,
    wait_for,
)

LIMITED = attrs.evolve(CUSTOMER, rate=100, burst=100, counts_tokens=True, default_units=10)


def limit(context):
    context.apply_routing_table(make_table(*ROUTES, customers={'secret': LIMITED}))
    return context.quota_queue


def make_call(units, attempt=b'1', deadline=b'5000'):
    headers = b'Key: secret\r\nTokens: %d,0\r\n' % units
    request = make_request(b'/keyed/x', attempt=attempt, headers=headers)
    return request.replace(b'Deadline-Ms: 5000', b'Deadline-Ms: ' + deadline)


def read_retry_after(head):
    return float(head.lower().partition(b'retry-after:')[2].split(b'\r\n')[0])


def test_call_waits_for_its_quota():
    """Guards against a refusal of a call that could still be in time."""

    async def test():
        answers = answer_with(make_answer(), make_answer(attempt=b'2'))
        async with open_upstream(answers) as upstream, open_relay(upstream) as (context, port):
            limit(context)
            assert (await ask(port, make_call(100)))[0] == 200
            began_at = read_lease_clock()
            assert (await ask(port, make_call(20, b'2')))[0] == 200
            assert 0.15 < read_lease_clock() - began_at < 0.5

    run(test)


def test_call_that_cannot_be_in_time_is_refused_at_once():
    """Guards against a long wait that ends in a refusal, and a Retry-After that is too short."""

    async def test():
        async with open_upstream(answer_with(make_answer())) as upstream:
            async with open_relay(upstream) as (context, port):
                queue = limit(context)
                assert (await ask(port, make_call(100)))[0] == 200
                began_at = read_lease_clock()
                status, head, _body = await ask(port, make_call(90, b'2', deadline=b'500'))
                assert read_lease_clock() - began_at < 0.1
                assert status == 429
                assert read_retry_after(head) >= 0.8
                assert not queue.waiting_count
                assert context.quota.used['acme'] == 100

    run(test)


def test_caller_that_leaves_while_it_waits_takes_no_units():
    """Guards against units that are taken, and a place that is held, for nobody."""

    async def test():
        async with open_upstream(answer_with(make_answer())) as upstream:
            async with open_relay(upstream) as (context, port):
                queue = limit(context)
                await ask(port, make_call(100))
                _reader, writer = await asyncio.open_connection('127.0.0.1', port)
                writer.write(make_call(35, b'2'))
                await wait_for(lambda: queue.waiting_count)
                writer.close()
                await wait_for(lambda: not queue.waiting_count)
                assert context.quota.used['acme'] == 100

    run(test)


def test_units_return_if_the_caller_leaves_before_its_call_runs():
    """Guards against units that are lost with a call that never ran."""

    async def test():
        async with open_upstream(stay_unresponsive) as upstream, open_relay(upstream) as relay:
            context, port = relay
            limit(context)
            writers = []
            # The upstream has four slots.
            for number in range(5):
                writers.append((await asyncio.open_connection('127.0.0.1', port))[1])
                writers[-1].write(make_call(10, b'%d' % number))
                await wait_for(lambda: context.in_progress == len(writers))
            await wait_for(
                lambda: context.scheduler.count_waiting() and len(upstream.requests) == 4
            )
            for writer in writers:
                writer.close()
            await wait_for(lambda: not context.in_progress)
            assert context.quota.used['acme'] == 40

    run(test)
