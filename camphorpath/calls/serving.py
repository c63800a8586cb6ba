"""Calls that may be repeated and calls that must run at most once, from slot to final answer."""

from collections.abc import Awaitable, Callable

import anyio
import attrs

from ..claims import Claim, ClaimKey, RecordedAnswer
from ..errors import Refusal
from ..events import Event
from ..upstreams import UpstreamAnswer, read_whole
from .bodies import BYTES_PER_TOKEN, CallerLeft
from .context import CallContext
from .dispatch import Interruption, Relayed, dispatch, refuse_interrupted
from .exchange import Exchange, Phase
from .reply import Reply

# A call that must be recorded goes on after its caller was answered, but not for ever.
RECORD_LIMIT_S = 900
# A table that accepts connections and never answers must not hold a booking until its deadline.
CLAIM_LIMIT_S = 3


async def serve_repeatable(
    context: CallContext,
    exchange: Exchange,
    reply: Reply,
    receive: Callable[[], Awaitable[dict]],
) -> None:
    """Serve a call that ends when its caller leaves, its deadline passes or it is preempted."""

    async def relay(answer: UpstreamAnswer) -> Relayed:
        if answer.is_stream:
            await reply.relay_stream(answer)
            # Bytes do not tell the tokens: an event has about fifty times the bytes of its token.
            return Relayed(reply.sent_bytes, max(reply.events - 1, 0))
        body = await read_whole(answer, context.settings.limits.max_answer)
        await reply.send_whole(answer.status, answer.headers, body)
        return Relayed(len(body), len(body) // BYTES_PER_TOKEN)

    refusal: Refusal | None = None
    with anyio.move_on_after(exchange.time_left()) as scope:
        interruption = Interruption(scope)
        async with anyio.create_task_group() as group:
            group.start_soon(_watch_caller, receive, reply, interruption)
            try:
                await dispatch(context, exchange, relay, interruption)
            except Refusal as error:
                refusal = error
            group.cancel_scope.cancel()
    if refusal:
        raise refusal
    if reply.is_complete or not scope.cancelled_caught:
        return
    reason = interruption.reason or 'deadline_exceeded'
    if reason == 'caller_left':
        context.events.emit(Event.CALLER_LEFT, exchange.request_id)
    raise refuse_interrupted(exchange, reason)


@attrs.define
class _Recorded:
    """The result of a call that runs on its own; `interruption` ends it while it is not sent."""

    interruption: Interruption
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
    claim = await context.claims.claim(
        key,
        exchange.digest,
        retention_s,
        timeout_s=max(0, min(exchange.time_left(), CLAIM_LIMIT_S)),
    )
    if claim.answer is not None:
        context.events.emit(Event.CLAIM_REPEATED, exchange.request_id)
        await _send_recorded(reply, claim.answer)
        return
    limit = anyio.current_time() + RECORD_LIMIT_S
    recorded = _Recorded(Interruption(anyio.CancelScope(deadline=limit)))
    context.task_group.start_soon(_run_once, context, exchange, claim, recorded)
    await _wait_done(recorded, exchange, reply, receive)
    if recorded.answer is not None:
        await _send_recorded(reply, recorded.answer)
        return
    raise recorded.refusal or refuse_interrupted(exchange, 'deadline_exceeded')


async def _wait_done(
    recorded: _Recorded,
    exchange: Exchange,
    reply: Reply,
    receive: Callable[[], Awaitable[dict]],
) -> None:
    """Wait for the result until the deadline; raise CallerLeft if the caller leaves before."""
    with anyio.move_on_after(exchange.time_left()) as scope:
        interruption = Interruption(scope)
        async with anyio.create_task_group() as group:
            group.start_soon(_watch_caller, receive, reply, interruption)
            await recorded.done.wait()
            group.cancel_scope.cancel()
    if interruption.reason:
        raise CallerLeft
    if not recorded.done.is_set() and exchange.phase is Phase.ACCEPTED:
        # "Not run" may be said only after the dispatch has ended; it could still be sent before.
        recorded.interruption.interrupt('deadline_exceeded')
        await recorded.done.wait()


async def _run_once(
    context: CallContext, exchange: Exchange, claim: Claim, recorded: _Recorded
) -> None:
    async def relay(answer: UpstreamAnswer) -> Relayed:
        body = await read_whole(answer, context.settings.limits.max_answer)
        recorded.answer = RecordedAnswer(answer.status, answer.headers, body)
        return Relayed(len(body), len(body) // BYTES_PER_TOKEN)

    with context.progress, recorded.interruption.scope:
        try:
            await dispatch(context, exchange, relay, recorded.interruption)
        except Refusal as error:
            recorded.refusal = error
    _end_claim(context, exchange, claim, recorded)
    recorded.done.set()


def _end_claim(context: CallContext, exchange: Exchange, claim: Claim, recorded: _Recorded) -> None:
    if recorded.answer:
        context.claims.record(claim, recorded.answer)
        return
    if exchange.phase is Phase.ACCEPTED:
        context.claims.release(claim)
    else:
        context.claims.abandon(claim)
    recorded.refusal = recorded.refusal or refuse_interrupted(exchange, 'deadline_exceeded')


async def _send_recorded(reply: Reply, answer: RecordedAnswer) -> None:
    await reply.send_whole(answer.status, answer.headers, answer.body)


async def _watch_caller(
    receive: Callable[[], Awaitable[dict]], reply: Reply, interruption: Interruption
) -> None:
    """Interrupt the dispatch when the caller leaves.

    The server reports the end of a complete answer in the same way; that is no interruption.
    """
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()
    if not reply.is_complete:
        interruption.interrupt('caller_left')
