"""Short JSON exchanges with the control side of an upstream."""

import json
from typing import Any

import anyio
import httpx

from ..errors import UpstreamError
from .calls import Call, open_call, read_whole

CONTROL_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 1024 * 1024


async def exchange_json(
    client: httpx.AsyncClient,
    base_url: str,
    method: str,
    path: str,
    body: dict[str, Any] | None = None,
    *,
    timeout_s: float = CONTROL_TIMEOUT_S,
) -> tuple[int, dict[str, Any]]:
    """Return the status and the JSON object of the answer; raise UpstreamError."""
    headers = [('accept', 'application/json')]
    payload = b''
    if body is not None:
        headers.append(('content-type', 'application/json'))
        payload = json.dumps(body).encode()
    call = Call(method, path, headers, payload, '', timeout_s)
    try:
        with anyio.fail_after(timeout_s):
            async with open_call(client, base_url, call, _ignore_sent) as answer:
                text = await read_whole(answer, MAX_ANSWER_BYTES)
                status = answer.status
    except TimeoutError as error:
        message = f'no answer within {timeout_s} s'
        raise UpstreamError(message, step=path, peer=base_url) from error
    return status, _parse_object(text, path, base_url)


def refuse_answer(problem: str, step: str, peer: str) -> UpstreamError:
    """Return the error for an answer that is not as the protocol states."""
    return UpstreamError(f'unexpected answer: {problem}', step=step, peer=peer)


def _ignore_sent() -> None:
    """Do nothing: a control request is idempotent or fenced, so nothing is recorded before it."""


def _parse_object(text: bytes, step: str, peer: str) -> dict[str, Any]:
    try:
        found = json.loads(text)
    except ValueError as error:
        raise refuse_answer('not JSON', step, peer) from error
    if not isinstance(found, dict):
        raise refuse_answer('not a JSON object', step, peer)
    return found
