"""Calls that may be repeated and calls that must run at most once, from slot to final answer."""

from collections.abc import Awaitable, Callable

import anyio
import attrs

from ..claims import Claim, ClaimKey, RecordedAnswer
from ..errors import Outcome, Refusal
from ..events import Event
from ..upstreams import UpstreamAnswer, read_whole
from .bodies import CallerLeft
from .context import CallContext
from .dispatch import Interruption, dispatch, refuse_interrupted
from .exchange import Exchange, Phase
from .reply import Reply

# A call that must be recorded goes on after its caller was answered, but not for ever.
RECORD_LIMIT_S = 900


async def serve_repeatable(
    context: CallContext,
    exchange: Exchange,
    reply: Reply,
    receive: Callable[[], Awaitable[dict]],
) -> None:
    """Serve a call that ends when its caller leaves, its deadline passes or it is preempted."""

    async def relay(answer: UpstreamAnswer) -> int:
        if answer.is_stream:
            await reply.relay_stream(answer)
            return reply.sent_bytes
        body = await read_whole(answer, context.settings.limits.max_answer)
        await reply.send_whole(answer.status, answer.headers, body)
        return len(body)

    refusal: Refusal | None = None
    with anyio.move_on_after(exchange.time_left()) as scope:
        interruption = Interruption(scope)
        async with anyio.create_task_group() as group:
            group.start_soon(_watch_caller, receive, interruption)
            try:
                await dispatch(context, exchange, relay, interruption)
            except Refusal as error:
                refusal = error
            group.cancel_scope.cancel()
    if refusal:
        raise refusal
    if not scope.cancelled_caught:
        return
    reason = interruption.reason or 'deadline_exceeded'
    if reason == 'caller_left':
        context.events.emit(Event.CALLER_LEFT, exchange.request_id)
    raise refuse_interrupted(exchange, reason)


@attrs.define
class _Recorded:
    """The result of a call that runs on its own."""

    done: anyio.Event = attrs.Factory(anyio.Event)
    answer: RecordedAnswer | None = None
    refusal: Refusal | None = None


async def serve_once(
    context: CallContext,
    exchange: Exchange,
    reply: Reply,
    receive: Callable[[], Awaitable[dict]],
) -> None:
    """Serve a call that must run at most once; raise CallerLeft if its caller leaves.

    The idempotency key is claimed in the table before the send. The call goes on and its answer is
    recorded when the caller leaves or its time is over.
    """
    key = ClaimKey(exchange.service.name, exchange.customer, exchange.idempotency_key)
    retention_s = context.versions.current.fleet.claim_retention
    claim: Claim | None = None
    with anyio.move_on_after(exchange.time_left()):
        claim = await context.claims.claim(key, exchange.digest, retention_s)
    if claim is None:
        raise exchange.refuse_not_run('table_unavailable', 'the table did not answer in time', 5)
    if claim.answer is not None:
        context.events.emit(Event.CLAIM_REPEATED, exchange.request_id)
        await _send_recorded(reply, claim.answer)
        return
    recorded = _Recorded()
    context.task_group.start_soon(_run_once, context, exchange, claim, recorded)
    await _wait_done(recorded, exchange, receive)
    if recorded.answer is not None:
        await _send_recorded(reply, recorded.answer)
        return
    raise recorded.refusal or refuse_interrupted(exchange, 'deadline_exceeded')


async def _wait_done(
    recorded: _Recorded, exchange: Exchange, receive: Callable[[], Awaitable[dict]]
) -> None:
    with anyio.move_on_after(exchange.time_left()) as scope:
        interruption = Interruption(scope)
        async with anyio.create_task_group() as group:
            group.start_soon(_watch_caller, receive, interruption)
            await recorded.done.wait()
            group.cancel_scope.cancel()
    if interruption.reason:
        raise CallerLeft


async def _run_once(
    context: CallContext, exchange: Exchange, claim: Claim, recorded: _Recorded
) -> None:
    async def relay(answer: UpstreamAnswer) -> int:
        body = await read_whole(answer, context.settings.limits.max_answer)
        recorded.answer = RecordedAnswer(answer.status, answer.headers, body)
        return len(body)

    with context.progress, anyio.move_on_after(RECORD_LIMIT_S) as scope:
        try:
            await dispatch(context, exchange, relay, Interruption(scope))
        except Refusal as error:
            recorded.refusal = error
    if recorded.answer is not None:
        context.claims.record(claim, recorded.answer)
    elif recorded.refusal is None or recorded.refusal.outcome is Outcome.NOT_RUN:
        recorded.refusal = recorded.refusal or refuse_interrupted(exchange, 'deadline_exceeded')
    if recorded.answer is None:
        if exchange.phase is Phase.ACCEPTED:
            context.claims.release(claim)
        else:
            context.claims.abandon(claim)
    recorded.done.set()


async def _send_recorded(reply: Reply, answer: RecordedAnswer) -> None:
    await reply.send_whole(answer.status, answer.headers, answer.body)


async def _watch_caller(receive: Callable[[], Awaitable[dict]], interruption: Interruption) -> None:
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            interruption.interrupt('caller_left')
            return
