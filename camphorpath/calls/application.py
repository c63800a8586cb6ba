"""ASGI application for callers."""

from collections.abc import Awaitable, Callable

from loguru import logger

from ..clocks import read_lease_clock
from ..errors import Outcome, Refusal
from ..events import Event
from ..metrics import CallLabels
from .acceptance import accept
from .addresses import list_addresses
from .bodies import CallerLeft, RequestReceiver, discard_body
from .context import CallContext
from .endpoints import ENDPOINTS
from .headers import read_headers
from .refusals import render_refusal
from .reply import AnswerAborted, Reply
from .request_ids import RequestId, parse_request_id
from .serving import serve_at_most_once, serve_idempotent

Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]

STATUS_BAD_REQUEST = 400
MAX_ID_CHARACTERS = 256


def make_application(context: CallContext) -> Callable[[dict, Receive, Send], Awaitable[None]]:
    """Return the ASGI application of one daemon."""

    async def application(scope: dict, receive: Receive, send: Send) -> None:
        if scope['type'] == 'lifespan':
            await _run_lifespan(receive, send)
            return
        if scope['type'] == 'websocket':
            await _refuse_websocket(context, send)
            return
        try:
            await _handle(context, scope, receive, send)
        except AnswerAborted:
            raise
        except Exception:
            # The HTTP server logs no exceptions; a failed assertion must not go unnoticed.
            logger.exception('unexpected error in {} {}', scope['method'], scope['path'])
            raise

    return application


async def _handle(context: CallContext, scope: dict, receive: Receive, send: Send) -> None:
    endpoint = ENDPOINTS.get(scope['path'])
    if endpoint is not None and scope['method'] == 'GET':
        async with discard_body(receive):
            await endpoint(context, scope, send)
        return
    await _handle_call(context, scope, receive, send)


async def _run_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return


async def _refuse_websocket(context: CallContext, send: Send) -> None:
    refusal = Refusal(
        'websocket_unsupported', 'calls use plain HTTP/1.1', status=STATUS_BAD_REQUEST
    )
    context.events.emit(Event.BAD_REQUEST, reason=refusal.reason, outcome=refusal.outcome.value)
    rendered = render_refusal(refusal, '')
    await send(
        {
            'type': 'websocket.http.response.start',
            'status': rendered.status,
            'headers': rendered.headers,
        }
    )
    await send({'type': 'websocket.http.response.body', 'body': rendered.body})


async def _handle_call(context: CallContext, scope: dict, receive: Receive, send: Send) -> None:
    arrived_at = read_lease_clock()
    receiver = RequestReceiver(receive)
    request_id = context.seen_ids.issue(context.membership.incarnation)
    reply = Reply(send, str(request_id))
    labels = CallLabels('', '', 'answered')
    with context.requests_in_progress:
        context.metrics.in_progress.set({}, context.requests_in_progress.count)
        try:
            labels = await _serve(context, scope, receiver, reply, request_id)
        except Refusal as refusal:
            labels = await _answer_refusal(context, receiver, reply, refusal)
        except CallerLeft:
            context.events.emit(Event.CALLER_LEFT, reply.request_id)
    context.metrics.in_progress.set({}, context.requests_in_progress.count)
    context.metrics.requests.inc(labels.as_dict())
    context.metrics.duration.add({'service': labels.service}, read_lease_clock() - arrived_at)


async def _answer_refusal(
    context: CallContext, receiver: RequestReceiver, reply: Reply, refusal: Refusal
) -> CallLabels:
    context.events.emit(
        _choose_event(refusal),
        reply.request_id,
        refusal.peer,
        reason=refusal.reason,
        outcome=refusal.outcome.value,
    )
    other_daemons = []
    if refusal.reason == 'daemon_stopping':
        other_daemons = list_addresses(context, '', reply.request_id)
    if reply.started:
        await reply.refuse(refusal)
    else:
        async with discard_body(receiver):
            await reply.refuse(refusal, other_daemons, receiver.body_ended)
    return CallLabels('', '', refusal.outcome.value)


def _choose_event(refusal: Refusal) -> Event:
    if refusal.status == STATUS_BAD_REQUEST:
        return Event.BAD_REQUEST
    if refusal.outcome is Outcome.NOT_RUN:
        return Event.REQUEST_REFUSED
    return Event.REQUEST_FAILED


async def _serve(
    context: CallContext, scope: dict, receive: Receive, reply: Reply, issued_id: RequestId
) -> CallLabels:
    headers = read_headers(scope)
    requested_id = headers.get('camphorpath-request-id')
    request_id = issued_id
    if requested_id:
        context.seen_ids.discard(issued_id)
        reply.request_id = requested_id[:MAX_ID_CHARACTERS].encode('ascii', 'replace').decode()
        request_id = parse_request_id(requested_id)
        context.seen_ids.accept(request_id, context.membership.incarnation)
    try:
        exchange = await accept(context, scope, receive, headers, str(request_id))
        context.events.emit(
            Event.REQUEST_ACCEPTED,
            exchange.request_id,
            service=exchange.service.name,
            customer=exchange.customer,
            tier=exchange.tier.name,
            pool=exchange.pool,
        )
        if exchange.idempotent:
            await serve_idempotent(context, exchange, reply, receive)
        else:
            await serve_at_most_once(context, exchange, reply, receive)
    except Refusal as refusal:
        if refusal.outcome is Outcome.NOT_RUN:
            context.seen_ids.discard(request_id)
        raise
    context.events.emit(Event.REQUEST_COMPLETE, exchange.request_id, parts=reply.part_count)
    return CallLabels(exchange.service.name, exchange.tier.name, 'answered')
