"""Reads the load reports of upstreams."""

import math
from typing import Any

import attrs
import httpx

from .json_requests import CONTROL_TIMEOUT_S, make_answer_error, request_json

LOAD_PATH = '/load'
COUNT_FIELDS = ('running', 'waiting', 'tokens')


@attrs.frozen
class LoadReport:
    """Load that an upstream reports for itself.

    `as_of` is the instant of the report in seconds since 1970; reports lag behind.
    """

    incarnation: str
    draining: bool
    running: int
    waiting: int
    tokens: int
    as_of: float


async def read_load(
    client: httpx.AsyncClient, base_url: str, *, timeout_s: float = CONTROL_TIMEOUT_S
) -> LoadReport:
    """Return the latest load report of an upstream; raise UpstreamError if it is not valid."""
    status, document = await request_json(client, base_url, 'GET', LOAD_PATH, timeout_s=timeout_s)
    problem = _find_problem(document) if status == httpx.codes.OK else f'status {status}'
    if problem:
        raise make_answer_error(problem, LOAD_PATH, base_url)
    names = [field.name for field in attrs.fields(LoadReport)]
    return LoadReport(**{name: document[name] for name in names})


def _find_problem(document: dict[str, Any]) -> str:
    if not isinstance(document.get('incarnation'), str) or not document['incarnation']:
        return 'incarnation is not a non-empty string'
    if not isinstance(document.get('draining'), bool):
        return 'draining is not a boolean'
    for name in COUNT_FIELDS:
        if not _is_number(document.get(name), int) or document[name] < 0:
            return f'{name} is not a non-negative integer'
    if not _is_number(document.get('as_of'), int | float) or not math.isfinite(document['as_of']):
        return 'as_of is not a finite number'
    return ''


def _is_number(candidate: Any, kinds: Any) -> bool:
    return isinstance(candidate, kinds) and not isinstance(candidate, bool)
