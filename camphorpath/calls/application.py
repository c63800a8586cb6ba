"""The ASGI application that callers talk to."""

import hashlib
import json
import types
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs

from loguru import logger

from ..clocks import read_lease_clock
from ..errors import Outcome, Refusal
from ..events import Event
from ..metrics import CallLabels
from ..schema import camphorpath_pb2 as pb
from .addresses import list_addresses
from .bodies import BYTES_PER_TOKEN, CallerLeft, ModelCall, read_body, read_model_call
from .context import CallContext
from .exchange import Exchange
from .heads import (
    CallerHeaders,
    find_customer,
    find_deadline,
    find_key,
    find_tier,
    read_headers,
)
from .identity import RequestId, parse_request_id
from .reply import AnswerBroken, Reply
from .rules import choose_pool, find_exceptions, find_model, find_service, is_idempotent
from .serving import serve_once, serve_repeatable

Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]

MODEL_PATHS = frozenset(('/v1/chat/completions', '/v1/completions'))
SERVICE_PREFIX = '/services/'
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_FORBIDDEN = 403
STATUS_NOT_FOUND = 404
STATUS_METHOD = 405
STATUS_UNAVAILABLE = 503
RETRY_AFTER_S = 2
# A plain call counts as this much work besides its body.
PLAIN_TOKENS = 16
# Longest part of a caller's text that is shown back to it.
MAX_SHOWN = 200
MAX_ID_BYTES = 256


def make_application(context: CallContext) -> Callable[[dict, Receive, Send], Awaitable[None]]:
    """Return the ASGI application of one daemon."""

    async def application(scope: dict, receive: Receive, send: Send) -> None:
        if scope['type'] == 'lifespan':
            await _run_lifespan(receive, send)
            return
        if scope['type'] != 'http':
            return
        handle = _handle_call
        page = PAGES.get(scope['path'])
        if page is not None and scope['method'] == 'GET':
            handle = page
        try:
            await handle(context, scope, receive, send)
        except AnswerBroken:
            raise
        except Exception:
            # The HTTP server reports nothing, and a failed assertion must not pass unseen.
            logger.exception('fault of the program in {} {}', scope['method'], scope['path'])
            raise

    return application


async def _run_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return


async def _handle_call(context: CallContext, scope: dict, receive: Receive, send: Send) -> None:
    arrived = read_lease_clock()
    request_id = context.seen.issue(context.membership.incarnation)
    reply = Reply(send, str(request_id))
    labels = CallLabels('', '', 'answered')
    with context.progress:
        context.metrics.in_progress.set({}, context.progress.count)
        try:
            labels = await _serve(context, scope, receive, reply, request_id)
        except Refusal as refusal:
            labels = await _answer_refusal(context, reply, refusal)
        except CallerLeft:
            context.events.emit(Event.CALLER_LEFT, reply.request_id)
    context.metrics.in_progress.set({}, context.progress.count)
    context.metrics.requests.inc(labels.as_dict())
    context.metrics.first_byte.add({'service': labels.service}, read_lease_clock() - arrived)


async def _answer_refusal(context: CallContext, reply: Reply, refusal: Refusal) -> CallLabels:
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
    await reply.refuse(refusal, others)
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
        exchange = await _accept(context, scope, receive, headers, request_id)
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
            await serve_once(context, exchange, reply)
    except Refusal as refusal:
        if refusal.outcome is Outcome.NOT_RUN:
            context.seen.forget(request_id)
        raise
    context.events.emit(Event.REQUEST_COMPLETE, exchange.request_id, parts=reply.parts)
    return CallLabels(exchange.service.name, exchange.tier.name, 'answered')


async def _accept(
    context: CallContext,
    scope: dict,
    receive: Receive,
    headers: CallerHeaders,
    request_id: RequestId,
) -> Exchange:
    _check_serving(context)
    fleet = context.versions.current.fleet
    customer = find_customer(fleet, headers)
    key = find_key(headers)
    path = scope['path']
    if path in MODEL_PATHS:
        if scope['method'] != 'POST':
            raise Refusal('wrong_method', 'model calls use POST', status=STATUS_METHOD)
        body = await read_body(receive, context.settings.limits)
        model_call = read_model_call(headers.get('content-type'), body)
        service = find_model(fleet, model_call.model)
        inner_path = _keep_query(path, scope)
    elif path.startswith(SERVICE_PREFIX):
        name, _, rest = _raw_path(scope)[len(SERVICE_PREFIX) :].partition('/')
        service = find_service(fleet, name)
        inner_path = _keep_query(f'/{rest}', scope)
        body = await read_body(receive, context.settings.limits)
        model_call = ModelCall('', False, len(body) // BYTES_PER_TOKEN + 1, PLAIN_TOKENS, [])
    else:
        raise Refusal('unknown_path', f'no such path: {path[:MAX_SHOWN]}', status=STATUS_NOT_FOUND)
    tier = find_tier(fleet, headers, customer, service)
    for rule in find_exceptions(fleet, customer.name, service.name):
        if rule.refuse:
            raise Refusal('refused_by_exception', rule.reason, status=STATUS_FORBIDDEN)
    idempotent = is_idempotent(service, scope['method'], inner_path.partition('?')[0])
    if not idempotent and not key:
        raise Refusal(
            'idempotency_key_required',
            f'{inner_path[:MAX_SHOWN]} must not run twice: send an Idempotency-Key',
            status=STATUS_BAD_REQUEST,
        )
    return Exchange(
        request_id=str(request_id),
        service=service,
        customer=customer.name,
        tier=tier,
        pool=choose_pool(fleet, service, customer.name, tier.name, key or str(request_id)),
        deadline=find_deadline(fleet, headers, customer.name, service.name, tier),
        method=scope['method'],
        path=inner_path,
        headers=headers.passed_on(),
        body=body,
        idempotent=idempotent,
        idempotency_key=key,
        streamed=model_call.streamed,
        digest=_digest(service, scope['method'], inner_path, body),
        prompt_tokens=model_call.prompt_tokens,
        output_tokens=model_call.output_tokens,
        prefix_blocks=model_call.prefix_blocks,
    )


def _check_serving(context: CallContext) -> None:
    if context.membership.info().stopping:
        raise Refusal(
            'daemon_stopping', 'this daemon is stopping; use another address', retry_after_s=1
        )
    reason = context.versions.refuse_reason()
    if reason:
        raise Refusal(
            reason,
            'this daemon cannot confirm that its configuration is the one in force',
            retry_after_s=RETRY_AFTER_S,
        )


def _raw_path(scope: dict) -> str:
    raw = scope.get('raw_path') or scope['path'].encode()
    return raw.partition(b'?')[0].decode('latin-1')


def _keep_query(path: str, scope: dict) -> str:
    query = scope['query_string'].decode('latin-1')
    return f'{path}?{query}' if query else path


def _digest(service: pb.Service, method: str, path: str, body: bytes) -> str:
    digest = hashlib.sha256(f'{service.name}\0{method}\0{path}\0'.encode())
    digest.update(body)
    return digest.hexdigest()


async def _show_addresses(context: CallContext, scope: dict, receive: Receive, send: Send) -> None:
    query = parse_qs(scope['query_string'].decode('latin-1'))
    zone = query.get('zone', [''])[0]
    caller, _ = scope.get('client', ('', 0))
    await _send_json(
        send,
        {
            'addresses': list_addresses(context, zone, f'{caller}:{query.get("caller", "")}'),
            'keep_s': context.versions.current.fleet.keep_addresses,
        },
    )


async def _show_models(context: CallContext, scope: dict, receive: Receive, send: Send) -> None:
    fleet = context.versions.current.fleet
    models = [
        {'id': model, 'object': 'model', 'created': 0, 'owned_by': service.name}
        for service in fleet.services
        for model in service.models
    ]
    await _send_json(send, {'object': 'list', 'data': models})


async def _show_health(context: CallContext, scope: dict, receive: Receive, send: Send) -> None:
    info = context.membership.info()
    reason = context.versions.refuse_reason()
    if info.stopping:
        reason = 'daemon_stopping'
    await _send_json(
        send,
        {
            'serving': not reason,
            'reason': reason,
            'version': info.version,
            'in_progress': context.progress.count,
        },
        STATUS_UNAVAILABLE if reason else STATUS_OK,
    )


async def _show_metrics(context: CallContext, scope: dict, receive: Receive, send: Send) -> None:
    body, headers = context.metrics.render()
    encoded = [(name.lower().encode(), text.encode()) for name, text in headers.items()]
    await _send_page(send, STATUS_OK, encoded, body)


async def _send_json(send: Send, document: dict, status: int = STATUS_OK) -> None:
    await _send_page(
        send, status, [(b'content-type', b'application/json')], json.dumps(document).encode()
    )


async def _send_page(
    send: Send, status: int, headers: list[tuple[bytes, bytes]], body: bytes
) -> None:
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [*headers, (b'content-length', str(len(body)).encode())],
        }
    )
    await send({'type': 'http.response.body', 'body': body})


PAGES = types.MappingProxyType(
    {
        '/camphorpath/addresses': _show_addresses,
        '/camphorpath/health': _show_health,
        '/camphorpath/metrics': _show_metrics,
        '/v1/models': _show_models,
    }
)
