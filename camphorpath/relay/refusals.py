"""Renders refusals as answers to callers."""

from ..errors import Refusal
from .headers import Headers


def render_refusal(refusal: Refusal) -> tuple[int, Headers, bytes]:
    """Return the HTTP status, headers and body of a refusal."""
    headers: Headers = [(b'content-type', b'text/plain; charset=utf-8')]
    if refusal.retry_after_s is not None:
        headers.append((b'retry-after', f'{refusal.retry_after_s:.3f}'.encode()))
    return refusal.status, headers, f'{refusal.reason}\n'.encode()
