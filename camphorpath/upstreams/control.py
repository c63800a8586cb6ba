"""Client for the control interface of engines: streams, cache events and orders."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from urllib.parse import quote

import attrs
import httpx

from .calls import Call, UpstreamAnswer, open_call
from .json_requests import make_answer_error, request_json

CACHE_EVENT_KINDS = frozenset(('stored', 'removed'))
SUCCESSES = frozenset((httpx.codes.OK, httpx.codes.ACCEPTED))
BLOCK_HASH_BITS = 64


@attrs.frozen
class CacheEvent:
    """A prompt prefix block that was added ('stored') to an engine's cache or 'removed' from it."""

    number: int
    kind: str
    block: int


@attrs.frozen
class CacheEvents:
    """Cache events in the order of their numbers; `has_gap` is set if numbers are missing."""

    incarnation: str
    events: list[CacheEvent]
    has_gap: bool


@attrs.frozen
class Order:
    """An order to an engine, such as `load_model`, with the fencing number of its sender.

    A repeated order has no effect on an engine that has carried it out or is about to.
    """

    kind: str
    details: dict[str, str]
    fence: int
    order_id: str = ''


async def cancel_stream(client: httpx.AsyncClient, base_url: str, stream_id: str) -> bool:
    """Cancel a stream; return False if the engine does not know it. Raises UpstreamError."""
    path = f'{_make_stream_path(stream_id)}/cancel'
    status, _ = await request_json(client, base_url, 'POST', path, {})
    if status == httpx.codes.NOT_FOUND:
        return False
    if status not in SUCCESSES:
        raise make_answer_error(f'status {status}', path, base_url)
    return True


@asynccontextmanager
async def resume_stream(
    client: httpx.AsyncClient,
    base_url: str,
    stream_id: str,
    offset: int,
    *,
    request_id: str = '',
    idle_timeout_s: float | None = None,
) -> AsyncIterator[UpstreamAnswer]:
    """Yield the answer with the rest of a stream, from byte `offset` of its body.

    Raises UpstreamError if the engine no longer has the stream or cannot be reached.
    """
    path = f'{_make_stream_path(stream_id)}?from={offset}'
    call = Call('GET', path, [('accept', 'text/event-stream')], b'', request_id, 0)
    opened = open_call(client, base_url, call, _do_nothing, idle_timeout_s=idle_timeout_s)
    async with opened as answer:
        if answer.status != httpx.codes.OK or not answer.is_stream:
            raise make_answer_error(f'status {answer.status}', path, base_url)
        yield answer


async def read_cache_events(client: httpx.AsyncClient, base_url: str, after: int) -> CacheEvents:
    """Return the published cache events with numbers above `after`; raise UpstreamError."""
    path = f'/cache_events?after={after}'
    status, document = await request_json(client, base_url, 'GET', path)
    try:
        events = [_read_cache_event(entry) for entry in document['events']]
    except (KeyError, TypeError, ValueError) as error:
        raise make_answer_error(f'status {status}, {error!r}', path, base_url) from error
    numbers = [event.number for event in events]
    if numbers != sorted(set(numbers)) or (numbers and numbers[0] <= after):
        raise make_answer_error('events out of order', path, base_url)
    has_gap = bool(numbers) and numbers[-1] - after != len(numbers)
    return CacheEvents(str(document.get('incarnation', '')), events, has_gap)


async def give_order(client: httpx.AsyncClient, base_url: str, order: Order) -> bool:
    """Send an order; return False if the engine refused its fencing number as outdated.

    Raises NotSent if the order provably was not sent, else UpstreamError. After the latter the
    order may have taken effect: read the state of the engine before sending the order again.
    """
    status, _ = await request_json(client, base_url, 'POST', '/orders', attrs.asdict(order))
    if status == httpx.codes.CONFLICT:
        return False
    if status not in SUCCESSES:
        raise make_answer_error(f'status {status}', '/orders', base_url)
    return True


def _do_nothing() -> None:
    """Do nothing before the send: resuming a stream has no effect that must be recorded."""


def _make_stream_path(stream_id: str) -> str:
    return f'/streams/{quote(stream_id, safe="")}'


def _read_cache_event(entry: dict[str, Any]) -> CacheEvent:
    event = CacheEvent(int(entry['number']), str(entry['kind']), int(entry['block']))
    if event.kind not in CACHE_EVENT_KINDS or event.block >> BLOCK_HASH_BITS:
        raise ValueError(f'{entry!r} is not a cache event')
    return event
