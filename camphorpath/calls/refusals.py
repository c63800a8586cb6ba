"""Renders refusals as JSON answers with headers, and as error events of streams."""

import json
import random
from collections.abc import Sequence

import attrs

from ..errors import Refusal

# Retry-After is its base times a random factor, so that refused callers do not return together.
MIN_JITTER_FACTOR = 0.5
MAX_JITTER_FACTOR = 1.5


@attrs.frozen
class RenderedRefusal:
    """A refusal ready to be sent: HTTP status, headers and JSON body."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


def render_refusal(
    refusal: Refusal, request_id: str, addresses: Sequence[dict[str, str]] = ()
) -> RenderedRefusal:
    """Return the HTTP answer for a refusal, with random jitter on Retry-After.

    `addresses` are the daemons to use instead, in the form of `list_addresses`.
    """
    retry_after_s = _add_jitter(refusal.retry_after_s)
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
    """Return the SSE event that ends a stream which fails after its headers were sent.

    It starts with an empty line, which terminates an event that was cut off in the middle.
    """
    body = render_refusal(refusal, request_id).body
    return b'\n\nevent: error\ndata: %b\n\n' % body


def _add_jitter(base_s: float | None) -> float | None:
    if base_s is None:
        return None
    return round(base_s * random.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR), 3)
