"""Reads from engines which artifacts they have loaded and which role they have."""

import math
from typing import Any

import attrs
import httpx

from .json_requests import make_answer_error, request_json

ORDERS_PATH = '/orders'
PARSE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


@attrs.frozen
class EngineState:
    """State that an engine reports: its role and the artifact versions by kind and name.

    `loaded` has the versions in use, `loading` those that are being loaded. `as_of` is the instant
    of the state and `now` that of the answer, both in seconds on the engine's own clock, so they
    may only be compared with each other.
    """

    incarnation: str
    role: str
    loaded: dict[tuple[str, str], str]
    loading: dict[tuple[str, str], str]
    as_of: float
    now: float


async def read_engine_state(client: httpx.AsyncClient, base_url: str) -> EngineState:
    """Return the reported state of an engine; raise UpstreamError if there is no valid one."""
    status, document = await request_json(client, base_url, 'GET', ORDERS_PATH)
    if status != httpx.codes.OK:
        raise make_answer_error(f'status {status}', ORDERS_PATH, base_url)
    try:
        return _parse_state(document)
    except PARSE_ERRORS as error:
        raise make_answer_error(repr(error), ORDERS_PATH, base_url) from error


def _parse_state(document: dict[str, Any]) -> EngineState:
    state = EngineState(
        incarnation=str(document['incarnation']),
        role=str(document['role']),
        loaded=_parse_versions(document['artifacts']),
        loading=_parse_versions(document['loading']),
        as_of=float(document['as_of']),
        now=float(document['now']),
    )
    if not state.incarnation or not math.isfinite(state.now) or not math.isfinite(state.as_of):
        raise ValueError('incarnation is empty, or as_of or now is not finite')
    return state


def _parse_versions(entries: list[dict[str, Any]]) -> dict[tuple[str, str], str]:
    return {(str(entry['kind']), str(entry['name'])): str(entry['version']) for entry in entries}
