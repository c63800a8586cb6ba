"""Callers of a deployment, which record the answers that they get."""

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
MAX_ATTEMPTS = 8
RETRY_INTERVAL_S = 0.3
CALL_TIMEOUT_S = 120


@attrs.define(kw_only=True)
class CallRecord:
    """One call as seen by its caller; times are in seconds of the monotonic clock.

    `due` is the planned time of the call, `first` when the first part of the answer arrived, `gaps`
    are the seconds between its parts.
    """

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
    """Daemon addresses cached by the callers of one zone, fetched again when they expire."""

    client: httpx.AsyncClient
    known_urls: list[str]
    zone: str
    _addresses: list[str] = attrs.Factory(list)
    _expires_at: float = 0

    def remove(self, url: str) -> None:
        """Remove an address that could not be reached."""
        self._addresses = [address for address in self._addresses if address != url]

    async def choose(self, excluded: Sequence[str] = ()) -> str:
        """Return the best address that is not in `excluded`, else a random known one."""
        if time.monotonic() >= self._expires_at or all(url in excluded for url in self._addresses):
            await self._fetch_addresses()
        for url in self._addresses:
            if url not in excluded:
                return url
        return random.choice(self.known_urls)

    async def _fetch_addresses(self) -> None:
        for url in random.sample(self.known_urls, len(self.known_urls)):
            try:
                reply = await self.client.get(
                    f'{url}/camphorpath/addresses', params={'zone': self.zone}, timeout=2
                )
                document = reply.json()
            except (httpx.HTTPError, ValueError):
                continue
            if document['addresses']:
                self._addresses = [entry['url'] for entry in document['addresses']]
                self._expires_at = time.monotonic() + document['keep_s']
                return


def make_client() -> httpx.AsyncClient:
    """Return an HTTP client without a limit on connections, shared by many callers."""
    return httpx.AsyncClient(
        trust_env=False,
        timeout=httpx.Timeout(CALL_TIMEOUT_S, connect=2),
        limits=httpx.Limits(max_connections=None, max_keepalive_connections=200),
    )


async def call_model(
    client: httpx.AsyncClient,
    url: str,
    document: dict,
    record: CallRecord,
    headers: dict[str, str],
) -> None:
    """Make one chat call and record whether the answer is complete and belongs to this call."""
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
    _check_model_answer(document, b''.join(parts), record)


async def call_service(
    client: httpx.AsyncClient,
    url: str,
    method: str,
    path: str,
    document: dict | None,
    record: CallRecord,
    headers: dict[str, str],
) -> None:
    """Make one call to a service other than a model and record the answer."""
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
    _record_error(answer.content, record)


async def book(
    client: httpx.AsyncClient,
    addresses: AddressBook,
    path: str,
    document: dict,
    record: CallRecord,
    headers: dict[str, str],
) -> None:
    """Make one booking and repeat it with its key until the outcome is certain or tries run out."""
    excluded: list[str] = []
    for attempt in range(MAX_ATTEMPTS):
        record.tries = attempt + 1
        url = await addresses.choose(excluded)
        await call_service(
            client, url, 'POST', path, document, record, {**headers, 'Idempotency-Key': record.key}
        )
        if record.outcome == 'complete':
            return
        if record.outcome == 'broken' or record.reason == 'daemon_stopping':
            excluded.append(url)
        await anyio.sleep(RETRY_INTERVAL_S)


def _check_model_answer(document: dict, body: bytes, record: CallRecord) -> None:
    if record.reason:
        _record_error_event(body, record)
        return
    if record.status != STATUS_OK:
        _record_error(body, record)
        return
    try:
        content = read_content(body) if document.get('stream') else _read_json_content(body)
    except (ValueError, KeyError, IndexError):
        record.outcome = 'wrong'
        _record_error_event(body, record)
        return
    record.outcome = 'complete' if content == expect_content(document) else 'wrong'


def _read_json_content(body: bytes) -> str:
    return json.loads(body)['choices'][0]['message']['content']


def _record_error_event(body: bytes, record: CallRecord) -> None:
    _, separator, event = body.rpartition(b'event: error\ndata: ')
    if separator:
        _record_error(event.strip(), record)


def _record_error(body: bytes, record: CallRecord) -> None:
    try:
        error = json.loads(body)['error']
        record.outcome = error['outcome']
        record.reason = error['reason']
        record.retry_after_s = error['retry_after_s'] or 0
    except (ValueError, KeyError, TypeError):
        record.outcome = 'failed_after_start'
        record.reason = f'status_{record.status}'
