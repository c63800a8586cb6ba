"""The report of an engine on what it has loaded and on its role."""

import math
from typing import Any

import attrs
import httpx

from .exchange import exchange_json, refuse_answer

ORDERS_PATH = '/orders'
UNREADABLE = (KeyError, TypeError, ValueError, AttributeError)


@attrs.frozen
class EngineState:
    """Versions by kind and name, loaded and being loaded, as of an earlier time.

    `as_of` and `now` are seconds on the engine's own clock: the time of the state and that of the
    answer. They are compared only with each other.
    """

    incarnation: str
    role: str
    loaded: dict[tuple[str, str], str]
    loading: dict[tuple[str, str], str]
    as_of: float
    now: float


async def read_engine_state(client: httpx.AsyncClient, base_url: str) -> EngineState:
    """Return the reported state of an engine; raises UpstreamError."""
    status, found = await exchange_json(client, base_url, 'GET', ORDERS_PATH)
    if status != httpx.codes.OK:
        raise refuse_answer(f'status {status}', ORDERS_PATH, base_url)
    try:
        return _parse_state(found)
    except UNREADABLE as error:
        raise refuse_answer(repr(error), ORDERS_PATH, base_url) from error


def _parse_state(found: dict[str, Any]) -> EngineState:
    state = EngineState(
        incarnation=str(found['incarnation']),
        role=str(found['role']),
        loaded=_parse_versions(found['artifacts']),
        loading=_parse_versions(found['loading']),
        as_of=float(found['as_of']),
        now=float(found['now']),
    )
    if not state.incarnation or not math.isfinite(state.now) or not math.isfinite(state.as_of):
        raise ValueError('no incarnation or no time')
    return state


def _parse_versions(entries: list[dict[str, Any]]) -> dict[tuple[str, str], str]:
    return {(str(entry['kind']), str(entry['name'])): str(entry['version']) for entry in entries}
