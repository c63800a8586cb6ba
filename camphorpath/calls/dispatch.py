"""Dispatches a request: acquires a slot, sends once, relays the answer, releases the slot."""

import types
from collections.abc import Awaitable, Callable

import anyio
import attrs

from ..admission import Grant, Ticket
from ..clocks import read_lease_clock
from ..errors import NotSent, Refusal, SentUnknown, Truncated, UpstreamError
from ..events import Event
from ..schema import camphorpath_pb2 as pb
from ..upstreams import Call, UpstreamAnswer, open_call
from .context import CallContext
from .exchange import Exchange

# Attempts that end before a byte is sent; each one acquires a new slot.
MAX_UNSENT_ATTEMPTS = 3
RETRY_AFTER_S = 2
STATUS_SERVER_ERROR = 500
STATUS_UNAVAILABLE = 503
RESULTS_BY_REASON = types.MappingProxyType(
    {
        'preempted': pb.Release.PREEMPTED,
        'caller_left': pb.Release.CALLER_LEFT,
        'deadline_exceeded': pb.Release.TIMED_OUT,
    }
)


@attrs.frozen
class RelayResult:
    """Size in bytes and estimated output tokens of the part of an answer that was relayed."""

    size_bytes: int
    output_tokens: int


@attrs.define
class Interruption:
    """Cancels a dispatch and keeps the first reason given."""

    scope: anyio.CancelScope
    reason: str = ''

    def interrupt(self, reason: str) -> None:
        """Cancel the dispatch, unless that was already done for another reason."""
        if not self.reason:
            self.reason = reason
            self.scope.cancel()


async def dispatch(
    context: CallContext,
    exchange: Exchange,
    relay: Callable[[UpstreamAnswer], Awaitable[RelayResult]],
    interruption: Interruption,
) -> None:
    """Send the request to one upstream and pass its answer to `relay`.

    Raises Refusal, which is then the final answer to the caller.
    """

    def preempt() -> None:
        interruption.interrupt('preempted')

    for attempt in range(1, MAX_UNSENT_ATTEMPTS + 1):
        ticket = Ticket(enqueue=_make_enqueue(context, exchange), on_preempt=preempt)
        grant = await context.admission.acquire(ticket)
        try:
            await _use_grant(context, exchange, relay, interruption, ticket, grant)
        except NotSent as error:
            context.events.emit(
                Event.REQUEST_RETRIED, exchange.request_id, grant.upstream, attempt=attempt
            )
            last_error = error
            continue
        return
    raise exchange.refuse_not_run(
        'upstream_unreachable', f'no upstream could be reached: {last_error}', RETRY_AFTER_S
    )


async def _use_grant(
    context: CallContext,
    exchange: Exchange,
    relay: Callable[[UpstreamAnswer], Awaitable[RelayResult]],
    interruption: Interruption,
    ticket: Ticket,
    grant: Grant,
) -> None:
    timing = _Timing()
    release = pb.Release(
        request_id=exchange.request_id,
        upstream=grant.upstream,
        result=pb.Release.UPSTREAM_ERROR,
    )
    try:
        await _send(context, exchange, relay, interruption, grant, release, timing)
    except NotSent as error:
        # UPSTREAM_REFUSED stops grants for the upstream for a while. NOT_SENT does not, since an
        # expired grant says nothing about its upstream.
        is_connect_failed = error.step == 'connect'
        release.result = pb.Release.UPSTREAM_REFUSED if is_connect_failed else pb.Release.NOT_SENT
        raise
    except (SentUnknown, Truncated) as error:
        release.result = pb.Release.UPSTREAM_LOST
        raise exchange.fail_sent('upstream_lost', str(error), grant.upstream) from error
    except UpstreamError as error:
        raise exchange.fail_sent('upstream_error', str(error), grant.upstream) from error
    except anyio.get_cancelled_exc_class():
        release.result = RESULTS_BY_REASON.get(interruption.reason, pb.Release.TIMED_OUT)
        raise
    finally:
        release.first_byte = timing.first_byte_s
        release.duration = timing.duration()
        context.admission.release(ticket, release)


@attrs.define
class _Timing:
    """When a request was sent, and how long its answer took to begin, in seconds."""

    sent_at: float = 0
    first_byte_s: float = 0

    def duration(self) -> float:
        return read_lease_clock() - self.sent_at if self.sent_at else 0


async def _send(
    context: CallContext,
    exchange: Exchange,
    relay: Callable[[UpstreamAnswer], Awaitable[RelayResult]],
    interruption: Interruption,
    grant: Grant,
    release: pb.Release,
    timing: _Timing,
) -> None:
    def mark_sent() -> None:
        # If this process was suspended after the grant, the slot may belong to another call by now.
        if read_lease_clock() > grant.expires_at:
            raise NotSent('the grant has expired', step='send', peer=grant.upstream)
        # The interruption is set before its cancellation reaches this task.
        if interruption.reason:
            raise NotSent(interruption.reason, step='send', peer=grant.upstream)
        exchange.mark_sent()
        timing.sent_at = read_lease_clock()
        context.events.emit(
            Event.REQUEST_SENT, exchange.request_id, grant.upstream, pool=exchange.pool
        )
        context.metrics.dispatches.inc({'service': exchange.service.name})

    call = Call(
        method=exchange.method,
        path=exchange.path,
        headers=exchange.headers,
        body=exchange.body,
        request_id=exchange.request_id,
        timeout_s=exchange.time_left(),
    )
    async with open_call(context.client, grant.upstream_url, call, mark_sent) as answer:
        timing.first_byte_s = timing.duration()
        relayed = await relay(answer)
        release.output_tokens = relayed.output_tokens
        release.result = _choose_result(answer.status)
    route = 'same_zone' if grant.zone == context.settings.zone else 'other_zone'
    context.metrics.relayed.add(
        {'service': exchange.service.name, 'route': route}, relayed.size_bytes
    )


def _choose_result(status: int) -> 'pb.Release.Result':
    if status == STATUS_UNAVAILABLE:
        return pb.Release.UPSTREAM_REFUSED
    return pb.Release.UPSTREAM_ERROR if status >= STATUS_SERVER_ERROR else pb.Release.COMPLETE


def _make_enqueue(context: CallContext, exchange: Exchange) -> pb.Enqueue:
    time_left = exchange.time_left()
    return pb.Enqueue(
        request_id=exchange.request_id,
        service=exchange.service.name,
        pool=exchange.pool,
        customer=exchange.customer,
        tier=exchange.tier.name,
        tier_rank=exchange.tier.rank,
        time_left=time_left,
        first_token_left=min(time_left, exchange.tier.first_token),
        prompt_tokens=exchange.prompt_tokens,
        output_tokens=exchange.output_tokens,
        prefix_blocks=exchange.prefix_blocks,
        digest=exchange.digest,
        cancellable=exchange.idempotent,
        zone=context.settings.zone,
        body_bytes=len(exchange.body),
    )


def refuse_interrupted(exchange: Exchange, reason: str) -> Refusal:
    """Return the final answer to a request whose dispatch was interrupted.

    The outcome is "not run" if the request was not sent; else see `Exchange.fail_sent`.
    """
    messages = {
        'preempted': 'the request was preempted by one of a higher tier',
        'deadline_exceeded': 'the deadline passed before the answer was complete',
    }
    retry_after_s = RETRY_AFTER_S if reason == 'preempted' else None
    message = messages.get(reason, reason)
    if exchange.phase.value == 'accepted':
        return exchange.refuse_not_run(reason, message, retry_after_s)
    return exchange.fail_sent(reason, message, retry_after_s=retry_after_s)
