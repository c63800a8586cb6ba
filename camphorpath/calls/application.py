"""The ASGI application that callers talk to."""

from collections.abc import Awaitable, Callable

from loguru import logger

from ..clocks import read_lease_clock
from ..errors import Outcome, Refusal
from ..events import Event
from ..metrics import CallLabels
from .acceptance import accept
from .addresses import list_addresses
from .bodies import CallerLeft, Incoming, discard_body
from .context import CallContext
from .heads import read_headers
from .identity import RequestId, parse_request_id
from .pages import PAGES
from .refusals import render_refusal
from .reply import AnswerBroken, Reply
from .serving import serve_once, serve_repeatable

Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]

STATUS_BAD_REQUEST = 400
MAX_ID_BYTES = 256


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
        except AnswerBroken:
            raise
        except Exception:
            # The HTTP server reports nothing, and a failed assertion must not pass unseen.
            logger.exception('fault of the program in {} {}', scope['method'], scope['path'])
            raise

    return application


async def _handle(context: CallContext, scope: dict, receive: Receive, send: Send) -> None:
    page = PAGES.get(scope['path'])
    if page is not None and scope['method'] == 'GET':
        async with discard_body(receive):
            await page(context, scope, send)
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
    arrived = read_lease_clock()
    incoming = Incoming(receive)
    request_id = context.seen.issue(context.membership.incarnation)
    reply = Reply(send, str(request_id))
    labels = CallLabels('', '', 'answered')
    with context.progress:
        context.metrics.in_progress.set({}, context.progress.count)
        try:
            labels = await _serve(context, scope, incoming, reply, request_id)
        except Refusal as refusal:
            labels = await _answer_refusal(context, incoming, reply, refusal)
        except CallerLeft:
            context.events.emit(Event.CALLER_LEFT, reply.request_id)
    context.metrics.in_progress.set({}, context.progress.count)
    context.metrics.requests.inc(labels.as_dict())
    context.metrics.duration.add({'service': labels.service}, read_lease_clock() - arrived)


async def _answer_refusal(
    context: CallContext, incoming: Incoming, reply: Reply, refusal: Refusal
) -> CallLabels:
    context.events.emit(
        _choose_event(refusal),
        reply.request_id,
        refusal.peer,
        reason=refusal.reason,
        outcome=refusal.outcome.value,
    )
    others = []
    if refusal.reason == 'daemon_stopping':
        others = list_addresses(context, '', reply.request_id)
    if reply.started:
        await reply.refuse(refusal)
    else:
        async with discard_body(incoming):
            await reply.refuse(refusal, others, incoming.ended)
    return CallLabels('', '', refusal.outcome.value)


def _choose_event(refusal: Refusal) -> Event:
    if refusal.status == STATUS_BAD_REQUEST:
        return Event.BAD_REQUEST
    if refusal.outcome is Outcome.NOT_RUN:
        return Event.REQUEST_REFUSED
    return Event.REQUEST_FAILED


async def _serve(
    context: CallContext, scope: dict, receive: Receive, reply: Reply, issued: RequestId
) -> CallLabels:
    headers = read_headers(scope)
    own_id = headers.get('camphorpath-request-id')
    request_id = issued
    if own_id:
        context.seen.forget(issued)
        reply.request_id = own_id[:MAX_ID_BYTES].encode('ascii', 'replace').decode()
        request_id = parse_request_id(own_id)
        context.seen.accept(request_id, context.membership.incarnation)
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
            await serve_repeatable(context, exchange, reply, receive)
        else:
            await serve_once(context, exchange, reply, receive)
    except Refusal as refusal:
        if refusal.outcome is Outcome.NOT_RUN:
            context.seen.forget(request_id)
        raise
    context.events.emit(Event.REQUEST_COMPLETE, exchange.request_id, parts=reply.parts)
    return CallLabels(exchange.service.name, exchange.tier.name, 'answered')
