"""Endpoints that the daemon answers itself: addresses, health, metrics and models."""

import json
import types
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs

from .addresses import list_addresses
from .context import CallContext

STATUS_OK = 200
STATUS_UNAVAILABLE = 503

Send = Callable[[dict], Awaitable[None]]


async def _send_addresses(context: CallContext, scope: dict, send: Send) -> None:
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


async def _send_models(context: CallContext, scope: dict, send: Send) -> None:
    fleet = context.versions.current.fleet
    models = [
        {'id': model, 'object': 'model', 'created': 0, 'owned_by': service.name}
        for service in fleet.services
        for model in service.models
    ]
    await _send_json(send, {'object': 'list', 'data': models})


async def _send_health(context: CallContext, scope: dict, send: Send) -> None:
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
            'in_progress': context.requests_in_progress.count,
        },
        STATUS_UNAVAILABLE if reason else STATUS_OK,
    )


async def _send_metrics(context: CallContext, scope: dict, send: Send) -> None:
    body, headers = context.metrics.render()
    encoded = [(name.lower().encode(), text.encode()) for name, text in headers.items()]
    await _send_response(send, STATUS_OK, encoded, body)


async def _send_json(send: Send, document: dict, status: int = STATUS_OK) -> None:
    await _send_response(
        send, status, [(b'content-type', b'application/json')], json.dumps(document).encode()
    )


async def _send_response(
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


ENDPOINTS = types.MappingProxyType(
    {
        '/camphorpath/addresses': _send_addresses,
        '/camphorpath/health': _send_health,
        '/camphorpath/metrics': _send_metrics,
        '/v1/models': _send_models,
    }
)
