"""Refusals as callers see them: typed JSON, headers and the error event of a stream."""

import json
import random
from collections.abc import Sequence

import attrs

from ..errors import Refusal

# Retry-After is spread over this range of its base so that refused callers do not return together.
SPREAD_LOW = 0.5
SPREAD_HIGH = 1.5


@attrs.frozen
class RenderedRefusal:
    """A refusal ready to be sent: HTTP status, headers and JSON body."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


def render_refusal(
    refusal: Refusal, request_id: str, addresses: Sequence[dict[str, str]] = ()
) -> RenderedRefusal:
    """Return the answer that carries the refusal; Retry-After is spread at random.

    `addresses` are the daemons to use instead, as in the address answer.
    """
    retry_after_s = _spread(refusal.retry_after_s)
    error: dict[str, object] = {
        'outcome': refusal.outcome.value,
        'reason': refusal.reason,
        'message': refusal.message,
        'request_id': request_id,
        'retry_after_s': retry_after_s,
    }
    if addresses:
        error['addresses'] = list(addresses)
    body = json.dumps({'error': error}).encode()
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
        (b'camphorpath-outcome', refusal.outcome.value.encode()),
        (b'camphorpath-request-id', request_id.encode()),
    ]
    if retry_after_s is not None:
        headers.append((b'retry-after', str(max(1, round(retry_after_s))).encode()))
    return RenderedRefusal(refusal.status, headers, body)


def render_error_event(refusal: Refusal, request_id: str) -> bytes:
    """Return the SSE event that ends a stream which broke after its head was sent.

    It starts with an empty line, which ends an event that was cut in the middle.
    """
    body = render_refusal(refusal, request_id).body
    return b'\n\nevent: error\ndata: %b\n\n' % body


def _spread(base_s: float | None) -> float | None:
    if base_s is None:
        return None
    return round(base_s * random.uniform(SPREAD_LOW, SPREAD_HIGH), 3)
