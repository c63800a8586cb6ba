"""Callers of a deployment, which record what they were answered."""

import json
import random
import time
from collections.abc import Sequence

import anyio
import attrs
import httpx

from standins.prompts import expect_content, read_content

STATUS_OK = 200
STATUS_CONFLICT = 409
MAX_TRIES = 8
RETRY_PAUSE_S = 0.3
CALL_LIMIT_S = 120


@attrs.define(kw_only=True)
class CallRecord:
    """One call as its caller saw it; times are seconds on the monotonic clock."""

    kind: str
    customer: str
    tier: str = ''
    key: str = ''
    zone: str = ''
    due: float = 0
    started: float = 0
    first: float = 0
    ended: float = 0
    status: int = 0
    # complete, not_run, outcome_unknown, failed_after_start, broken (connection lost) or wrong.
    outcome: str = 'broken'
    reason: str = ''
    retry_after_s: float = 0
    tries: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    request_id: str = ''
    body: str = ''
    daemon: str = ''
    body_bytes: int = 0
    answer_bytes: int = 0
    gaps: list[float] = attrs.Factory(list)


@attrs.define
class AddressBook:
    """The addresses that callers of one zone keep, asked again when they lapse."""

    client: httpx.AsyncClient
    known: list[str]
    zone: str
    _kept: list[str] = attrs.Factory(list)
    _lapses: float = 0

    def drop(self, url: str) -> None:
        """Forget an address that could not be reached."""
        self._kept = [kept for kept in self._kept if kept != url]

    async def choose(self, avoid: Sequence[str] = ()) -> str:
        """Return the best address that is not in `avoid`."""
        if time.monotonic() >= self._lapses or all(url in avoid for url in self._kept):
            await self._ask()
        for url in self._kept:
            if url not in avoid:
                return url
        return random.choice(self.known)

    async def _ask(self) -> None:
        for url in random.sample(self.known, len(self.known)):
            try:
                reply = await self.client.get(
                    f'{url}/camphorpath/addresses', params={'zone': self.zone}, timeout=2
                )
                found = reply.json()
            except (httpx.HTTPError, ValueError):
                continue
            if found['addresses']:
                self._kept = [entry['url'] for entry in found['addresses']]
                self._lapses = time.monotonic() + found['keep_s']
                return


def make_client() -> httpx.AsyncClient:
    """Return an HTTP client for many callers."""
    return httpx.AsyncClient(
        trust_env=False,
        timeout=httpx.Timeout(CALL_LIMIT_S, connect=2),
        limits=httpx.Limits(max_connections=None, max_keepalive_connections=200),
    )


async def call_model(
    client: httpx.AsyncClient,
    url: str,
    document: dict,
    record: CallRecord,
    headers: dict[str, str],
) -> None:
    """Make one chat call and record whether the answer is whole and belongs to this call."""
    record.started = time.monotonic()
    record.daemon = url
    parts: list[bytes] = []
    try:
        async with client.stream(
            'POST', f'{url}/v1/chat/completions', json=document, headers=headers
        ) as answer:
            record.status = answer.status_code
            record.request_id = answer.headers.get('camphorpath-request-id', '')
            async for part in answer.aiter_raw():
                now = time.monotonic()
                if parts:
                    record.gaps.append(now - record.ended)
                else:
                    record.first = now
                record.ended = now
                parts.append(part)
    except httpx.HTTPError as error:
        record.reason = type(error).__name__
    record.ended = time.monotonic()
    record.answer_bytes = sum(map(len, parts))
    _judge_model(document, b''.join(parts), record)


async def call_service(
    client: httpx.AsyncClient,
    url: str,
    method: str,
    path: str,
    document: dict | None,
    record: CallRecord,
    headers: dict[str, str],
) -> None:
    """Make one call to a plain service and record the answer."""
    record.started = time.monotonic()
    record.daemon = url
    try:
        answer = await client.request(method, f'{url}{path}', json=document, headers=headers)
    except httpx.HTTPError as error:
        record.ended = time.monotonic()
        record.reason = type(error).__name__
        return
    record.ended = time.monotonic()
    record.status = answer.status_code
    record.request_id = answer.headers.get('camphorpath-request-id', '')
    record.body = answer.text
    if answer.status_code == STATUS_OK:
        record.outcome = 'complete'
        return
    _note_refusal(answer.content, record)


async def book(
    client: httpx.AsyncClient,
    addresses: AddressBook,
    path: str,
    document: dict,
    record: CallRecord,
    headers: dict[str, str],
) -> None:
    """Make one booking and repeat it with its key until the outcome is certain or tries run out."""
    avoid: list[str] = []
    for attempt in range(MAX_TRIES):
        record.tries = attempt + 1
        url = await addresses.choose(avoid)
        await call_service(
            client, url, 'POST', path, document, record, {**headers, 'Idempotency-Key': record.key}
        )
        if record.outcome == 'complete':
            return
        if record.outcome == 'broken' or record.reason == 'daemon_stopping':
            avoid.append(url)
        await anyio.sleep(RETRY_PAUSE_S)


def _judge_model(document: dict, body: bytes, record: CallRecord) -> None:
    if record.reason:
        _note_error_event(body, record)
        return
    if record.status != STATUS_OK:
        _note_refusal(body, record)
        return
    try:
        content = read_content(body) if document.get('stream') else _read_plain(body)
    except (ValueError, KeyError, IndexError):
        record.outcome = 'wrong'
        _note_error_event(body, record)
        return
    record.outcome = 'complete' if content == expect_content(document) else 'wrong'


def _read_plain(body: bytes) -> str:
    return json.loads(body)['choices'][0]['message']['content']


def _note_error_event(body: bytes, record: CallRecord) -> None:
    _, found, event = body.rpartition(b'event: error\ndata: ')
    if found:
        _note_refusal(event.strip(), record)


def _note_refusal(body: bytes, record: CallRecord) -> None:
    try:
        error = json.loads(body)['error']
        record.outcome = error['outcome']
        record.reason = error['reason']
        record.retry_after_s = error['retry_after_s'] or 0
    except (ValueError, KeyError, TypeError):
        record.outcome = 'failed_after_start'
        record.reason = f'status_{record.status}'
