"""The load report of an upstream."""

import math
from typing import Any

import attrs
import httpx

from .exchange import CONTROL_TIMEOUT_S, exchange_json, refuse_answer

LOAD_PATH = '/load'
COUNTS = ('running', 'waiting', 'tokens')


@attrs.frozen
class LoadReport:
    """What an upstream says about itself; `as_of` is seconds since 1970 and lags."""

    incarnation: str
    draining: bool
    running: int
    waiting: int
    tokens: int
    as_of: float


async def read_load(
    client: httpx.AsyncClient, base_url: str, *, timeout_s: float = CONTROL_TIMEOUT_S
) -> LoadReport:
    """Return the present load report of an upstream; raise UpstreamError."""
    status, found = await exchange_json(client, base_url, 'GET', LOAD_PATH, timeout_s=timeout_s)
    problem = _find_problem(found) if status == httpx.codes.OK else f'status {status}'
    if problem:
        raise refuse_answer(problem, LOAD_PATH, base_url)
    names = [field.name for field in attrs.fields(LoadReport)]
    return LoadReport(**{name: found[name] for name in names})


def _find_problem(found: dict[str, Any]) -> str:
    if not isinstance(found.get('incarnation'), str) or not found['incarnation']:
        return 'incarnation is not a name'
    if not isinstance(found.get('draining'), bool):
        return 'draining is not true or false'
    for name in COUNTS:
        if not _is_number(found.get(name), int) or found[name] < 0:
            return f'{name} is not a count'
    if not _is_number(found.get('as_of'), int | float) or not math.isfinite(found['as_of']):
        return 'as_of is not a time'
    return ''


def _is_number(candidate: Any, kinds: Any) -> bool:
    return isinstance(candidate, kinds) and not isinstance(candidate, bool)
