"""Short JSON requests to the control interface of an upstream."""

import json
from typing import Any

import anyio
import httpx
import orjson

from ..errors import UpstreamError
from .calls import Call, open_call, read_whole

CONTROL_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 1024 * 1024


async def request_json(
    client: httpx.AsyncClient,
    base_url: str,
    method: str,
    path: str,
    body: dict[str, Any] | None = None,
    *,
    timeout_s: float = CONTROL_TIMEOUT_S,
) -> tuple[int, dict[str, Any]]:
    """Return the status and the JSON object of the answer.

    Raises UpstreamError if there is no such answer within `timeout_s`.
    """
    headers = [('accept', 'application/json')]
    payload = b''
    if body is not None:
        headers.append(('content-type', 'application/json'))
        payload = json.dumps(body).encode()
    call = Call(method, path, headers, payload, '', timeout_s)
    try:
        with anyio.fail_after(timeout_s):
            async with open_call(client, base_url, call, _do_nothing) as answer:
                text = await read_whole(answer, MAX_ANSWER_BYTES)
                status = answer.status
    except TimeoutError as error:
        message = f'no answer within {timeout_s} s'
        raise UpstreamError(message, step=path, peer=base_url) from error
    return status, _parse_object(text, path, base_url)


def make_answer_error(problem: str, step: str, peer: str) -> UpstreamError:
    """Return the error for an answer that violates the protocol."""
    return UpstreamError(f'unexpected answer: {problem}', step=step, peer=peer)


def _do_nothing() -> None:
    """Do nothing before the send: control requests are idempotent or fenced and not recorded."""


def _parse_object(text: bytes, step: str, peer: str) -> dict[str, Any]:
    try:
        document = orjson.loads(text)
    except ValueError as error:
        raise make_answer_error('not JSON', step, peer) from error
    if not isinstance(document, dict):
        raise make_answer_error('not a JSON object', step, peer)
    return document
