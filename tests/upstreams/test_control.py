import json

import pytest

from camphorpath.errors import NotSent, Truncated, UpstreamError
from camphorpath.upstreams import (
    LoadReport,
    Order,
    cancel_stream,
    give_order,
    make_client,
    open_call,
    read_cache_events,
    read_load,
    read_whole,
    resume_stream,
)
from standins.batching import EngineOptions
from standins.engine import run_engine
from standins.faults import Faults
from standins.prompts import expect_content, hash_blocks, read_content
from standins.service import run_service

from .support import MAX_BYTES, make_call, run, send_call, serve_raw, wait_for

FAST = EngineOptions(speed=1000)
STREAM = {'prompt': 'a loan of one cloth', 'max_tokens': 8, 'stream': True}
ENDLESS = {**STREAM, 'max_tokens': 10**9}


def make_answer(document):
    body = json.dumps(document).encode()
    return b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s' % (len(body), body)


def test_resume_returns_exactly_the_rest():
    """Guards against lost or repeated bytes when a truncated stream is resumed."""

    async def check():
        faults = Faults(truncate_after=3)
        options = EngineOptions(speed=1000, resumable=True)
        async with run_engine(options, faults) as engine, make_client() as client:
            part = b''
            call = make_call(STREAM)
            async with open_call(client, engine.url, call, lambda: None) as answer:
                stream_id = answer.get_header('stream-id')
                with pytest.raises(Truncated):
                    async for chunk in answer.chunks():
                        part += chunk
            opened = resume_stream(client, engine.url, stream_id, len(part))
            async with opened as answer:
                rest = await read_whole(answer, MAX_BYTES)
            assert part.count(b'\n\n') == 3
            assert read_content(part + rest) == expect_content(STREAM)
            assert engine.batch.executions['r1'] == 1

    run(check)


def test_cancelled_stream_ends_and_cannot_be_resumed():
    """Guards against treating a cancelled stream as complete."""

    async def check():
        async with run_engine(FAST) as engine, make_client() as client:
            call = make_call(ENDLESS)
            async with open_call(client, engine.url, call, lambda: None) as answer:
                assert await cancel_stream(client, engine.url, 'r1')
                with pytest.raises(Truncated):
                    await read_whole(answer, 1 << 40)
            assert not await cancel_stream(client, engine.url, 'a/b')
            with pytest.raises(UpstreamError, match='409'):
                async with resume_stream(client, engine.url, 'r1', 0):
                    pytest.fail('an engine without resumable streams resumed one')

    run(check)


def test_load_reports():
    """Guards against work or a drain that is missing in the load report."""

    async def check():
        async with run_engine(FAST) as engine, make_client() as client:
            before = await read_load(client, engine.url)
            async with open_call(client, engine.url, make_call(ENDLESS), lambda: None) as answer:
                chunks = answer.chunks()
                await anext(chunks)
                engine.faults.set_all({'draining': True})
                engine.batch.record_load()
                after = await read_load(client, engine.url)
                assert (after.draining, after.running) == (True, 1)
                assert after.tokens == 5 + ENDLESS['max_tokens']
                engine.faults.set_all({'load_stale': True})
                engine.batch.cancel(engine.batch.streams['r1'])
                stale = await read_load(client, engine.url)
                assert stale.running == 1
                assert stale.as_of <= after.as_of
            assert (before.running, before.waiting, before.draining) == (0, 0, False)

    run(check)


@pytest.mark.parametrize(
    'document',
    [
        [],
        {},
        {'incarnation': ''},
        {'running': -1},
        {'running': True},
        {'tokens': 1.5},
        {'as_of': float('nan')},
        {'as_of': '1'},
        {'draining': 1},
    ],
)
def test_malformed_load_report(document):
    """Guards against reports with invalid values that affect the choice of upstream."""
    valid = {
        'incarnation': 'e-1',
        'draining': False,
        'running': 1,
        'waiting': 0,
        'tokens': 5,
        'as_of': 7,
    }

    async def check():
        answers = (make_answer({**valid, **document} if document else document), make_answer(valid))
        async with serve_raw(*answers) as (url, _), make_client() as client:
            with pytest.raises(UpstreamError):
                await read_load(client, url)
            assert await read_load(client, url) == LoadReport(**valid)

    run(check)


@pytest.mark.parametrize(
    'body', [b'[' * 100_000, b'{"running": %s}' % (b'9' * 5000), b'{"running": 1e400}', b'\xff']
)
def test_load_report_that_cannot_be_decoded_is_an_error(body):
    """Guards against a deeply nested report, or a number too large, that ends the daemon."""

    async def check():
        raw = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s' % (len(body), body)
        async with serve_raw(raw) as (url, _), make_client() as client:
            with pytest.raises(UpstreamError):
                await read_load(client, url)

    run(check)


def test_load_poll_of_hanging_upstream_times_out():
    """Guards against a load poll that waits for ever."""

    async def check():
        async with run_service(faults=Faults(hang='all')) as service, make_client() as client:
            with pytest.raises(UpstreamError, match='no answer within'):
                await read_load(client, service.url, timeout_s=0.01)

    run(check)


def test_old_fencing_number_is_refused_unless_ignored():
    """Guards against an engine that accepts an order of a former owner."""

    async def check():
        async with run_engine(FAST) as engine, make_client() as client:
            for fence, accepted in ((3, True), (2, False), (3, True)):
                order = Order('load_model', {'model': f'm{fence}'}, fence)
                assert await give_order(client, engine.url, order) == accepted
            assert engine.models == {'m3'}
            engine.faults.set_all({'ignore_fences': True})
            assert await give_order(client, engine.url, Order('unload_model', {'model': 'm3'}, 1))
            assert [order['fence'] for order in engine.orders] == [3, 3, 1]
        async with make_client() as client:
            with pytest.raises(NotSent):
                await give_order(client, engine.url, order)

    run(check)


def test_cache_events_and_their_gaps():
    """Guards against prefix hints that ignore unpublished cache events."""

    async def check():
        prompt = 'x' * 640
        options = EngineOptions(speed=1000, cache_blocks=6, events_gap=0.3, seed=2)
        async with run_engine(options) as engine, make_client() as client:
            await send_call(client, engine.url, make_call({'prompt': prompt, 'max_tokens': 1}))
            published = await read_cache_events(client, engine.url, 0)
            blocks = hash_blocks(prompt.encode())
            kinds = {event.number: (event.kind, event.block) for event in published.events}
            expected_events = [('stored', block) for block in blocks]
            expected_events += [('removed', block) for block in blocks[:4]]
            assert published.has_gap
            assert kinds.items() < dict(enumerate(expected_events, 1)).items()
            last = published.events[-1].number
            assert not (await read_cache_events(client, engine.url, last)).events

    run(check)


def test_prefix_cache_saves_prefill():
    """Guards against a stand-in engine in which prefix affinity has no effect."""

    async def check():
        async with run_engine(FAST) as engine, make_client() as client:
            for end in ('a', 'b'):
                document = {'prompt': 'x' * 640 + end, 'max_tokens': 1}
                await send_call(client, engine.url, make_call(document))
            assert engine.batch.counts['tokens_prefilled'] == 161 + 1
            assert engine.batch.counts['tokens_cached'] == 160

    run(check)


def test_faults_of_single_calls():
    """Guards against a stand-in that applies faults to other calls than requested."""

    async def check():
        async with run_service(faults=Faults(refuse=True, times=1)) as service:
            async with make_client() as client:
                call = make_call({}, path='/reservations')
                statuses = [
                    (await send_call(client, service.url, call))[0].status for _ in range(2)
                ]
                assert statuses == [503, 200]
                answer, _ = await send_call(
                    client, service.url, make_call({'no': 1}, path='/faults')
                )
                assert answer.status == 400
                await wait_for(lambda: service.read_stats()['executions'] == 1)

    run(check)
