"""Stand-ins for upstreams of several software versions, which stream events and break off."""

import asyncio
import contextlib
import json
import random
import time

import attrs

from .messages import make_head, make_json_answer, read_request, reset

REPORT_PATH = '/camphorpath/report'


@attrs.frozen
class Run:
    """A request that an upstream has run."""

    attempt: str
    last_event_id: str
    path: str


@attrs.define(eq=False)
class StreamUpstream:
    """An upstream that streams numbered events; its process may restart under its id.

    The path of a request ends with the number of events: `/draft/KEY/COUNT`.
    """

    upstream_id: str
    service: str
    zone: str
    software_version: str
    rng: random.Random
    slots: int = 12
    event_interval_s: float = 0.03
    # How bodies are sent: 'chunked' or 'close' (their end is that of the connection).
    framings: tuple[str, ...] = ('chunked', 'chunked', 'close')
    # Share of the streams that are broken off at a random event.
    break_share: float = 0.0
    # Share of the streams that are silent for a time, and for how long.
    silent_share: float = 0.0
    silent_s: float = 1.2
    # Share of the resumed streams that do not go on where they were broken off.
    misplaced_share: float = 0.0
    # Share of the answers after which an old one is sent once more on the connection.
    repeat_share: float = 0.0
    # Share of the answers that are bad from an instant on the monotonic clock on, as they fail or
    # begin some seconds late, and when bad ones began.
    bad_share: float = 0.0
    bad_from: float = 0.0
    slow_s: float = 0.0
    bad_times: list[float] = attrs.field(factory=list)
    # On the monotonic clock: until when nothing is sent, and until when requests are refused.
    stalled_until: float = 0.0
    refusing_until: float = 0.0
    address: str = ''
    born: int = attrs.field(factory=lambda: int(time.time() * 1000))
    sequence: int = 1
    is_leaving: bool = False
    # Whether it is to exit soon, also if it does not say that it leaves.
    is_draining: bool = False
    is_up: bool = False
    runs: list[Run] = attrs.field(factory=list)
    running: int = 0
    # Called with each request that was run.
    on_run: object = lambda upstream, request: None
    _server: object = None
    _writers: set = attrs.field(factory=set)
    _run_count: int = 0

    def make_entry(self):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.software_version,
            'slot_count': self.slots,
            'runner_state': 'draining' if self.is_leaving else 'ready',
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def start(self, address):
        """Start a process of the upstream at an address."""
        host, _, port = address.rpartition(':')
        self.address = address
        self.born = int(time.time() * 1000)
        self.running = 0
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.is_up = True

    def crash(self, *, is_reset=True):
        """End the process; its connections are reset, or closed as those of a killed process."""
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            if is_reset:
                reset(writer)
            else:
                writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while self.is_up:
                request = await read_request(reader)
                if request is None or not await self._answer(request, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, writer):
        """Answer a request; return whether the connection may serve more."""
        if request.path == REPORT_PATH:
            document = {'born': self.born, 'models': [], 'phase': 'combined'}
            writer.write(make_json_answer(200, document))
            await writer.drain()
            return True
        headers = request.headers
        attempt = headers.get('x-attempt-id', '')
        if headers.get('x-expected-runner', self.upstream_id) != self.upstream_id:
            return await self._refuse(writer, 421, attempt)
        if not attempt:
            return await self._refuse(writer, 400, attempt)
        resting_s = self.refusing_until - time.monotonic()
        if resting_s > 0:
            return await self._refuse(writer, 503, attempt, {'Retry-After': f'{resting_s:.3f}'})
        if self.running >= self.slots:
            return await self._refuse(writer, 503, attempt)
        born = self.born
        self.running += 1
        self.runs.append(Run(attempt, headers.get('last-event-id', ''), request.path))
        self.on_run(self, request)
        try:
            if self._is_bad() and not self.slow_s:
                self.bad_times.append(time.monotonic())
                writer.write(make_head(500, self._make_headers(attempt) | {'Content-Length': 0}))
                await writer.drain()
                return True
            if request.path.startswith('/book/'):
                return await self._answer_booking(attempt, writer)
            return await self._stream(request, attempt, writer)
        finally:
            if born == self.born:
                # Else the process that ran it has ended, and another one counts from 0.
                self.running -= 1

    async def _refuse(self, writer, status, attempt, more_headers=None):
        named = {'X-Attempt-Id': attempt, 'X-Not-Executed': 1, 'Content-Length': 0}
        writer.write(make_head(status, named | (more_headers or {})))
        await writer.drain()
        return True

    def _is_bad(self):
        is_begun = self.bad_share > 0 and time.monotonic() >= self.bad_from
        return is_begun and self.rng.random() < self.bad_share

    async def _answer_booking(self, attempt, writer):
        await asyncio.sleep(self.event_interval_s)
        await self._wait_out_stall()
        body = f'done {attempt}'.encode()
        headers = self._make_headers(attempt)
        if self.rng.choice(self.framings) == 'close':
            await self._answer_in_halves(headers, body, writer)
            return False
        writer.write(make_head(200, headers | {'Content-Length': len(body)}))
        writer.write(body)
        await writer.drain()
        if self.rng.random() < self.repeat_share:
            await self._repeat_answer(writer)
        return True

    async def _answer_in_halves(self, headers, body, writer):
        """Send a body without a length, with a pause in which the process may be killed."""
        middle = len(body) // 2
        writer.write(make_head(200, headers | {'Connection': 'close'}) + body[:middle])
        await writer.drain()
        await asyncio.sleep(self.event_interval_s)
        writer.write(body[middle:])
        await writer.drain()

    async def _repeat_answer(self, writer):
        """Send an answer to an earlier request, if any, where the next one is expected."""
        earlier = self.rng.choice(self.runs).attempt
        await asyncio.sleep(self.rng.choice((0, 0.002, 0.05)))
        event = b'id: 1\ndata: {}\n\n'
        headers = {'Content-Type': 'text/event-stream', 'Content-Length': len(event)}
        writer.write(make_head(200, self._make_headers(earlier) | headers) + event)
        await writer.drain()

    async def _wait_out_stall(self):
        await asyncio.sleep(max(self.stalled_until - time.monotonic(), 0))

    def _make_headers(self, attempt):
        headers = {
            'X-Attempt-Id': attempt,
            'X-Runner-Signature': f'{self.upstream_id}.{self.born}.{attempt}',
            'X-Runner-Load': f'{self.running},0,{self.slots}',
        }
        if self.is_leaving:
            headers['Server-Leaving'] = 1
        return headers

    async def _stream(self, request, attempt, writer):
        key, count = request.path.split('/')[-2:]
        total = int(count)
        first = int(request.headers.get('last-event-id') or 0) + 1
        if first > 1 and self.rng.random() < self.misplaced_share:
            first = self.rng.choice((1, first - 1))
        self._run_count += 1
        run = f'{self.upstream_id}/{self.born}/{self._run_count}'
        is_chunked = self.rng.choice(self.framings) == 'chunked'
        broken_at = silent_at = 0
        if self.rng.random() < self.break_share:
            broken_at = self.rng.randint(first, total) if first <= total else 0
        if self.rng.random() < self.silent_share:
            silent_at = self.rng.randint(first, total) if first <= total else 0
        headers = self._make_headers(attempt) | {'Content-Type': 'text/event-stream'}
        headers |= {'Transfer-Encoding': 'chunked'} if is_chunked else {'Connection': 'close'}
        await asyncio.sleep(self.event_interval_s)
        if self.slow_s and self._is_bad():
            await asyncio.sleep(self.slow_s)
            self.bad_times.append(time.monotonic())
        writer.write(make_head(200, headers))
        for number in range(first, total + 1):
            if number == silent_at:
                await asyncio.sleep(self.silent_s)
            await self._wait_out_stall()
            document = {
                'key': key,
                'number': number,
                'total': total,
                'run': run,
                'attempt': attempt,
                'version': self.software_version,
                'service': self.service,
            }
            event = f'id: {number}\ndata: {json.dumps(document)}\n\n'.encode()
            if number == broken_at:
                # A part of the event, without its end.
                self._write_part(writer, event[: self.rng.randint(0, len(event) - 2)], is_chunked)
                if is_chunked and self.rng.random() < 0.3:
                    writer.write(self.rng.randbytes(200))
                await writer.drain()
                if self.rng.random() < 0.5 or not is_chunked:
                    reset(writer)
                return False
            for part in self._split(event):
                self._write_part(writer, part, is_chunked)
            await writer.drain()
            if number < total:
                await asyncio.sleep(self.event_interval_s)
        if is_chunked:
            writer.write(b'0\r\n\r\n')
        await writer.drain()
        if is_chunked and self.rng.random() < self.repeat_share:
            await self._repeat_answer(writer)
        return is_chunked

    def _split(self, event):
        if self.rng.random() < 0.7:
            return [event]
        place = self.rng.randint(1, len(event) - 1)
        return [event[:place], event[place:]]

    def _write_part(self, writer, part, is_chunked):
        if not part:
            return
        writer.write(b'%x\r\n%b\r\n' % (len(part), part) if is_chunked else part)


@contextlib.contextmanager
def close_all(upstreams):
    """Crash the upstreams at the end."""
    try:
        yield upstreams
    finally:
        for upstream in upstreams:
            upstream.crash()
