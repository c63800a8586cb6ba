"""The control side of engines: streams, cache events and orders."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from urllib.parse import quote

import attrs
import httpx

from .calls import Call, UpstreamAnswer, open_call
from .exchange import exchange_json, refuse_answer

CACHE_EVENT_KINDS = frozenset(('stored', 'removed'))
SUCCESSES = frozenset((httpx.codes.OK, httpx.codes.ACCEPTED))
BLOCK_BITS = 64


@attrs.frozen
class CacheEvent:
    """A block of a prompt prefix that entered ('stored') or left ('removed') an engine's cache."""

    number: int
    kind: str
    block: int


@attrs.frozen
class CacheEvents:
    """Cache events in the order of their numbers; `has_gap` if some were never published."""

    incarnation: str
    events: list[CacheEvent]
    has_gap: bool


@attrs.frozen
class Order:
    """An order to an engine, such as `load_model`, under the fencing number of its giver.

    An engine that has carried out an order, or is about to, does nothing when it is repeated.
    """

    kind: str
    details: dict[str, str]
    fence: int
    order_id: str = ''


async def cancel_stream(client: httpx.AsyncClient, base_url: str, stream_id: str) -> bool:
    """Cancel the work on a stream; False if the engine does not know it. Raises UpstreamError."""
    path = f'{_make_stream_path(stream_id)}/cancel'
    status, _ = await exchange_json(client, base_url, 'POST', path, {})
    if status == httpx.codes.NOT_FOUND:
        return False
    if status not in SUCCESSES:
        raise refuse_answer(f'status {status}', path, base_url)
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
    """Yield the rest of a stream from byte `offset` of its body.

    Raises UpstreamError if the engine does not have the stream any more or cannot be reached.
    """
    path = f'{_make_stream_path(stream_id)}?from={offset}'
    call = Call('GET', path, [('accept', 'text/event-stream')], b'', request_id, 0)
    opened = open_call(client, base_url, call, _ignore_sent, idle_timeout_s=idle_timeout_s)
    async with opened as answer:
        if answer.status != httpx.codes.OK or not answer.is_stream:
            raise refuse_answer(f'status {answer.status}', path, base_url)
        yield answer


async def read_cache_events(client: httpx.AsyncClient, base_url: str, after: int) -> CacheEvents:
    """Return the published cache events with numbers above `after`; raise UpstreamError."""
    path = f'/cache_events?after={after}'
    status, found = await exchange_json(client, base_url, 'GET', path)
    try:
        events = [_read_cache_event(entry) for entry in found['events']]
    except (KeyError, TypeError, ValueError) as error:
        raise refuse_answer(f'status {status}, {error!r}', path, base_url) from error
    numbers = [event.number for event in events]
    if numbers != sorted(set(numbers)) or (numbers and numbers[0] <= after):
        raise refuse_answer('events out of order', path, base_url)
    has_gap = bool(numbers) and numbers[-1] - after != len(numbers)
    return CacheEvents(str(found.get('incarnation', '')), events, has_gap)


async def give_order(client: httpx.AsyncClient, base_url: str, order: Order) -> bool:
    """Give an order; False if the engine refused it for its old fencing number.

    Raises NotSent if the order provably did not leave, else UpstreamError; the order may then have
    taken effect, and the giver reads the engine's state before it repeats the order.
    """
    status, _ = await exchange_json(client, base_url, 'POST', '/orders', attrs.asdict(order))
    if status == httpx.codes.CONFLICT:
        return False
    if status not in SUCCESSES:
        raise refuse_answer(f'status {status}', '/orders', base_url)
    return True


def _ignore_sent() -> None:
    """Do nothing: reading a stream again has no effect that must be recorded before."""


def _make_stream_path(stream_id: str) -> str:
    return f'/streams/{quote(stream_id, safe="")}'


def _read_cache_event(entry: dict[str, Any]) -> CacheEvent:
    event = CacheEvent(int(entry['number']), str(entry['kind']), int(entry['block']))
    if event.kind not in CACHE_EVENT_KINDS or event.block >> BLOCK_BITS:
        raise ValueError(f'{entry!r} is not a cache event')
    return event
