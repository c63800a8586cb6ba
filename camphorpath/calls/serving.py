"""Serves idempotent calls, and calls that must run at most once, up to the final answer."""

from collections.abc import Awaitable, Callable

import anyio
import attrs

from ..claims import Claim, ClaimKey, RecordedAnswer
from ..errors import Refusal
from ..events import Event
from ..upstreams import UpstreamAnswer, read_whole
from .bodies import BYTES_PER_TOKEN, CallerLeft
from .context import CallContext
from .dispatch import Interruption, RelayResult, dispatch, refuse_interrupted
from .exchange import Exchange, Phase
from .reply import Reply

# Limits a call whose answer must be recorded and that goes on after its caller was answered.
RECORDING_TIMEOUT_S = 900
# Without this limit a table that accepts connections and never answers holds a call until its
# deadline.
CLAIM_TIMEOUT_S = 3


async def serve_idempotent(
    context: CallContext,
    exchange: Exchange,
    reply: Reply,
    receive: Callable[[], Awaitable[dict]],
) -> None:
    """Serve an idempotent call; raise Refusal if it gets no complete answer.

    The call is cancelled when its caller disconnects, its deadline passes or it is preempted.
    """

    async def relay(answer: UpstreamAnswer) -> RelayResult:
        if answer.is_stream:
            await reply.relay_stream(answer)
            # Tokens are counted by events: an event is about fifty times as long as its token.
            return RelayResult(reply.sent_bytes, max(reply.event_count - 1, 0))
        body = await read_whole(answer, context.settings.limits.max_answer)
        await reply.send_whole(answer.status, answer.headers, body)
        return RelayResult(len(body), len(body) // BYTES_PER_TOKEN)

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
class _PendingResult:
    """Result of a call that runs in the background; `interruption` cancels it before the send."""

    interruption: Interruption
    done: anyio.Event = attrs.Factory(anyio.Event)
    answer: RecordedAnswer | None = None
    refusal: Refusal | None = None


async def serve_at_most_once(
    context: CallContext,
    exchange: Exchange,
    reply: Reply,
    receive: Callable[[], Awaitable[dict]],
) -> None:
    """Serve a call that must run at most once.

    Raises Refusal if there is no complete answer, CallerLeft if the caller disconnects.

    The idempotency key is claimed in the table before the send. The call runs in the background:
    it goes on, and its answer is recorded, after the caller disconnects or the deadline passes.
    """
    key = ClaimKey(exchange.service.name, exchange.customer, exchange.idempotency_key)
    retention_s = context.versions.current.fleet.claim_retention
    claim = await context.claims.claim(
        key,
        exchange.digest,
        retention_s,
        timeout_s=max(0, min(exchange.time_left(), CLAIM_TIMEOUT_S)),
    )
    if claim.answer is not None:
        context.events.emit(Event.CLAIM_REPEATED, exchange.request_id)
        await _send_recorded(reply, claim.answer)
        return
    give_up_at = anyio.current_time() + RECORDING_TIMEOUT_S
    pending = _PendingResult(Interruption(anyio.CancelScope(deadline=give_up_at)))
    context.task_group.start_soon(_run_claimed, context, exchange, claim, pending)
    await _wait_for_result(pending, exchange, reply, receive)
    if pending.answer is not None:
        await _send_recorded(reply, pending.answer)
        return
    raise pending.refusal or refuse_interrupted(exchange, 'deadline_exceeded')


async def _wait_for_result(
    pending: _PendingResult,
    exchange: Exchange,
    reply: Reply,
    receive: Callable[[], Awaitable[dict]],
) -> None:
    """Wait for the result until the deadline; raise CallerLeft if the caller disconnects before."""
    with anyio.move_on_after(exchange.time_left()) as scope:
        interruption = Interruption(scope)
        async with anyio.create_task_group() as group:
            group.start_soon(_watch_caller, receive, reply, interruption)
            await pending.done.wait()
            group.cancel_scope.cancel()
    if interruption.reason:
        raise CallerLeft
    if not pending.done.is_set() and exchange.phase is Phase.ACCEPTED:
        # The request could still be sent until the dispatch has ended; only then is it "not run".
        pending.interruption.interrupt('deadline_exceeded')
        await pending.done.wait()


async def _run_claimed(
    context: CallContext, exchange: Exchange, claim: Claim, pending: _PendingResult
) -> None:
    async def relay(answer: UpstreamAnswer) -> RelayResult:
        body = await read_whole(answer, context.settings.limits.max_answer)
        pending.answer = RecordedAnswer(answer.status, answer.headers, body)
        return RelayResult(len(body), len(body) // BYTES_PER_TOKEN)

    with context.requests_in_progress, pending.interruption.scope:
        try:
            await dispatch(context, exchange, relay, pending.interruption)
        except Refusal as error:
            pending.refusal = error
    _finish_claim(context, exchange, claim, pending)
    pending.done.set()


def _finish_claim(
    context: CallContext, exchange: Exchange, claim: Claim, pending: _PendingResult
) -> None:
    if pending.answer:
        context.claims.record(claim, pending.answer)
        return
    if exchange.phase is Phase.ACCEPTED:
        context.claims.release(claim)
    else:
        context.claims.abandon(claim)
    pending.refusal = pending.refusal or refuse_interrupted(exchange, 'deadline_exceeded')


async def _send_recorded(reply: Reply, answer: RecordedAnswer) -> None:
    await reply.send_whole(answer.status, answer.headers, answer.body)


async def _watch_caller(
    receive: Callable[[], Awaitable[dict]], reply: Reply, interruption: Interruption
) -> None:
    """Interrupt the dispatch when the caller disconnects.

    The server also reports `http.disconnect` after a complete answer, which is ignored.
    """
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()
    if not reply.is_complete:
        interruption.interrupt('caller_left')
