"""The callers of a soak run; every attempt gets its own record."""

import random
import time
from collections.abc import Sequence

import anyio
import attrs
import httpx

from .callers import AddressBook, CallRecord, call_model, call_service
from .schedule import CRASH_MARKER, CUSTOMERS, ZONES, PlannedCall

MODEL = 'scribe-agreements'
ID_HEADER = 'Camphorpath-Request-Id'
MAX_ATTEMPTS = 5
RETRY_INTERVAL_S = 0.4
CRASHER_INTERVAL_S = 1
CRASHER_TIMEOUT_S = 6
REPEAT_TIMEOUT_S = 10
MS_PER_S = 1000


def make_chat(call: PlannedCall) -> dict:
    """Return the body of a model call."""
    prompt = f'agreement {call.number} ' * call.prompt_words
    if call.kind == 'crasher':
        prompt = f'{CRASH_MARKER} {call.number}'
    return {
        'model': MODEL,
        'stream': call.streamed,
        'max_tokens': call.tokens,
        'messages': [{'role': 'user', 'content': prompt}],
    }


@attrs.define
class Load:
    """The planned calls and the records of their attempts."""

    client: httpx.AsyncClient
    books: dict[str, AddressBook]
    known_urls: list[str]
    records: list[CallRecord] = attrs.Factory(list)

    async def run(self, calls: Sequence[PlannedCall]) -> None:
        """Make the calls at their times and return when all have ended."""
        started_at = time.monotonic()
        async with anyio.create_task_group() as group:
            for call in calls:
                await anyio.sleep(max(0, started_at + call.at_s - time.monotonic()))
                group.start_soon(getattr(self, f'_{call.kind}'), call)

    async def repeat_bookings(self, limit: int) -> list[CallRecord]:
        """Repeat the keys of the last `limit` complete bookings; return the records of the repeats.

        The answers must equal those recorded before.
        """
        previous_count = len(self.records)
        complete = {
            booking.key: booking
            for booking in self.records
            if booking.kind == 'reservation' and booking.outcome == 'complete'
        }
        async with anyio.create_task_group() as group:
            for record in list(complete.values())[-limit:]:
                book = self.books[record.zone]
                group.start_soon(
                    self._send_booking, record.key, record.customer, book, REPEAT_TIMEOUT_S
                )
        return self.records[previous_count:]

    async def probe(self, urls: Sequence[str]) -> None:
        """Make one model call through each daemon; it must be served after the faults."""
        async with anyio.create_task_group() as group:
            for number, url in enumerate(urls):
                call = make_probe(number)
                group.start_soon(self._send_chat, call, make_chat(call), url, {})

    async def _draft(self, call: PlannedCall) -> None:
        await self._chat(call, make_chat(call))

    async def _crasher(self, call: PlannedCall) -> None:
        excluded: list[str] = []
        call = attrs.evolve(call, timeout_s=CRASHER_TIMEOUT_S)
        for _ in range(call.copies + 1):
            record = await self._chat(call, make_chat(call), excluded)
            excluded = [record.daemon]
            await anyio.sleep(CRASHER_INTERVAL_S)

    async def _owned(self, call: PlannedCall) -> None:
        """Send calls with one request id, formed by the caller, to several daemons."""
        url = await self.books[call.zone].choose()
        try:
            reply = await self.client.get(f'{url}/camphorpath/addresses', timeout=2)
            first = reply.json()['addresses'][0]
        except (httpx.HTTPError, ValueError, IndexError):
            return
        headers = {ID_HEADER: f'{first["request_id_prefix"]}.own-{call.number}'}
        urls = [first['url'], first['url'], random.choice(self.known_urls)]
        async with anyio.create_task_group() as group:
            for copy in range(call.copies + 1):
                group.start_soon(self._send_chat, call, make_chat(call), urls[copy], headers)
                await anyio.sleep(call.copy_interval_s)

    async def _chat(
        self, call: PlannedCall, document: dict, excluded: Sequence[str] = ()
    ) -> CallRecord:
        book = self.books[call.zone]
        for _ in range(MAX_ATTEMPTS):
            url = await book.choose(excluded)
            record = await self._send_chat(call, document, url, {})
            if record.reason != 'ConnectError':
                break
            book.remove(url)
        return record

    async def _send_chat(
        self, call: PlannedCall, document: dict, url: str, headers: dict[str, str]
    ) -> CallRecord:
        record = CallRecord(kind=call.kind, customer=call.customer, zone=call.zone)
        # An id formed by the caller is known even if no answer arrives.
        record.request_id = headers.get(ID_HEADER, '')
        self.records.append(record)
        headers = {**headers, **make_headers(call.customer, call.timeout_s)}
        await call_model(self.client, url, document, record, headers)
        return record

    async def _lookup(self, call: PlannedCall) -> None:
        item = f'item-{call.number}'
        record = CallRecord(kind='lookup', customer=call.customer, zone=call.zone, key=item)
        self.records.append(record)
        url = await self.books[call.zone].choose()
        headers = make_headers(call.customer, call.timeout_s)
        path = f'/services/ledger/lookup/{item}'
        await call_service(self.client, url, 'GET', path, None, record, headers)

    async def _reservation(self, call: PlannedCall) -> None:
        async with anyio.create_task_group() as group:
            for _ in range(call.copies + 1):
                group.start_soon(self._book, call)
                await anyio.sleep(call.copy_interval_s)

    async def _book(self, call: PlannedCall) -> None:
        book = self.books[call.zone]
        for _ in range(MAX_ATTEMPTS):
            record = await self._send_booking(
                f'cloth-{call.number}', call.customer, book, call.timeout_s
            )
            if record.outcome == 'complete':
                return
            if record.outcome == 'broken':
                book.remove(record.daemon)
            await anyio.sleep(RETRY_INTERVAL_S)

    async def _send_booking(
        self, key: str, customer: str, book: AddressBook, timeout_s: float
    ) -> CallRecord:
        record = CallRecord(kind='reservation', customer=customer, zone=book.zone, key=key)
        self.records.append(record)
        url = await book.choose()
        headers = {**make_headers(customer, timeout_s), 'Idempotency-Key': key}
        path = '/services/ledger/reservations'
        await call_service(self.client, url, 'POST', path, {'cloth': key}, record, headers)
        return record


def make_probe(number: int) -> PlannedCall:
    """Return a short call of the highest tier with a long timeout."""
    return PlannedCall(0, 'probe', ZONES[0], CUSTOMERS[0], number, 10, 10, True, 20, 0, 0)


def make_headers(customer: str, timeout_s: float) -> dict[str, str]:
    """Return the headers of a call."""
    return {
        'Authorization': f'Bearer demo-{customer}',
        'Camphorpath-Timeout': f'{int(timeout_s * MS_PER_S)}ms',
    }
