"""Callers that check each event of their streams, over all their tries."""

import asyncio
import collections
import contextlib
import json
import random
import time

import attrs
import h11

RETRY_PAUSE_S = 0.25
CONNECT_LIMIT_S = 1.0
DEADLINE_S = 8.0
# Statuses that promise that a call has not run and will not.
REFUSALS = frozenset((408, 421, 429, 503))


@attrs.frozen
class Received:
    """An event that a caller received, and in which try."""

    tried: int
    at: float
    document: dict


@attrs.define
class Try:
    """One call for a stream."""

    attempt: str
    daemon: str
    started_at: float
    last_event_id: int
    resumes: str
    status: int | None = None
    # How the answer ended: 'complete', 'broken', 'silent' or 'refused'.
    end: str = ''
    # Events of this try, without those of earlier ones.
    event_count: int = 0
    # Bytes of the stream after its last whole event.
    partial: bytes = b''
    # The body of an answer that is no stream; a refusal states its reason there.
    body: bytes = b''
    # What `Caller.judge_try` returned when the call was sent; None if it was not.
    chance: object = None


@attrs.define
class Stream:
    """A stream that a caller wants, and what it got of it."""

    key: str
    total: int
    is_resumable: bool
    tries: list = attrs.field(factory=list)
    events: list = attrs.field(factory=list)
    # Parts of the stream that are no events of an upstream.
    odd_parts: list = attrs.field(factory=list)

    @property
    def is_complete(self):
        return bool(self.tries) and self.tries[-1].end == 'complete'

    def list_faults(self):
        """Return how the events break the promises on streams; empty if they hold."""
        faults = [*self._check_numbers(), *self._check_runs(), *self._check_ends()]
        faults += [f'{part!r} in a stream' for part in self.odd_parts]
        return [f'{self.key}: {fault}' for fault in faults]

    def _check_numbers(self):
        expected = 1
        tried = 0
        for event in self.events:
            if event.tried != tried:
                tried = event.tried
                expected = self.tries[tried].last_event_id + 1
            number = event.document['number']
            if number != expected:
                yield f'event {number} instead of {expected} in try {tried}'
            expected = number + 1

    def _check_runs(self):
        """Check that all events belong to this stream, to one version, and to one run if needed."""
        versions = []
        for event in self.events:
            document = event.document
            if document['key'] != self.key:
                yield f'an event of the stream {document["key"]}'
            if document['attempt'] != self.tries[event.tried].attempt:
                yield f'an event of the attempt {document["attempt"]}'
            if self.tries[event.tried].last_event_id == 0 and event.document['number'] == 1:
                # A stream that was begun anew.
                versions = []
            version = document['service'], document['version']
            if version not in versions:
                versions.append(version)
                if len(versions) > 1:
                    yield f'versions {versions} by event {document["number"]} in try {event.tried}'
        if not self.is_resumable:
            for number, _tried in enumerate(self.tries):
                runs = {event.document['run'] for event in self.events if event.tried == number}
                if len(runs) > 1:
                    yield f'runs {runs} in one answer that cannot be resumed'

    def _check_ends(self):
        for number, tried in enumerate(self.tries):
            if tried.end != 'complete' or tried.status != 200:
                continue
            last = tried.last_event_id + tried.event_count
            if last != self.total or tried.partial.strip():
                yield f'try {number} ended as complete after event {last} of {self.total}'


@attrs.define
class Booking:
    """One call that must run once at most, and what came of it."""

    attempt: str
    daemon: str
    # None if the connection ended, or nothing came, before an answer.
    status: int | None = None
    body: bytes = b''


@attrs.define
class Caller:
    """Sends calls for streams to daemons and takes broken ones up again."""

    rng: random.Random
    # Returns the address at which to call a daemon, or None to wait.
    choose_address: object
    deadline_s: float = DEADLINE_S
    max_gap_s: float = 2.5
    max_tries: int = 6
    # Seconds between two reads of a slow caller; 0 for others.
    read_pause_s: float = 0.0
    read_bytes: int = 65536
    # Called with what happened.
    log: object = lambda text: None
    # Called with a path, a stream and its try when a call for it is sent.
    judge_try: object = lambda path, stream, tried: None
    streams: list = attrs.field(factory=list)
    bookings: list = attrs.field(factory=list)
    _kept: dict = attrs.field(factory=dict)
    _count: int = 0

    async def fetch_stream(self, path, total, *, is_resumable=True):
        """Get a stream, over several tries if it is broken off; return what came of it."""
        key = f'{self.rng.getrandbits(40):010x}'
        stream = Stream(key, total, is_resumable)
        self.streams.append(stream)
        until = time.monotonic() + self.deadline_s
        first_attempt = ''
        while len(stream.tries) < self.max_tries and time.monotonic() < until:
            last = self._get_last_number(stream) if is_resumable else 0
            if stream.tries and not is_resumable and stream.events:
                break
            address = self.choose_address()
            if address is None:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            attempt = f'{self.rng.getrandbits(64):016x}'
            tried = Try(attempt, address, time.monotonic(), last, first_attempt if last else '')
            stream.tries.append(tried)
            pause_s = await self._try(stream, tried, f'{path}{key}/{total}', until)
            self.log(
                f'{key} try {len(stream.tries)} {attempt} at {address} after event {last}: '
                f'{tried.status} {tried.end}, {tried.event_count} events'
            )
            if tried.event_count and not last:
                first_attempt = attempt
            if tried.end == 'complete' or tried.status in {400, 401, 404}:
                break
            await asyncio.sleep(pause_s)
        return stream

    @staticmethod
    def _get_last_number(stream):
        return stream.events[-1].document['number'] if stream.events else 0

    async def _try(self, stream, tried, path, until):
        """Make one call; return the pause before the next one."""
        try:
            async with asyncio.timeout(CONNECT_LIMIT_S):
                reader, writer = await self._connect(tried.daemon)
        except (OSError, TimeoutError):
            tried.end = 'broken'
            return RETRY_PAUSE_S
        headers = [
            ('Host', 'a.example'),
            ('X-Attempt-Id', tried.attempt),
            ('X-Deadline-Ms', str(max(round((until - time.monotonic()) * 1000), 1))),
            ('X-Token-Count', f'100,{3 * stream.total}'),
            ('X-Prompt-Prefix', f'{stream.key}:100'),
            ('Content-Length', '2'),
        ]
        if tried.last_event_id:
            headers += [('Last-Event-Id', str(tried.last_event_id)), ('Resumes', tried.resumes)]
        if reader.exception() is None:
            # Else it is a kept connection to a process that has ended.
            tried.chance = self.judge_try(path, stream, tried)
        connection = h11.Connection(h11.CLIENT)
        is_kept = False
        try:
            request = h11.Request(method='POST', target=path, headers=headers)
            writer.write(connection.send(request) + connection.send(h11.Data(b'{}')))
            writer.write(connection.send(h11.EndOfMessage()))
            pause_s = await self._read_answer(stream, tried, connection, reader)
            is_kept = tried.end in {'complete', 'refused'} and connection.their_state is h11.DONE
        except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
            tried.end = 'silent' if isinstance(error, TimeoutError) else 'broken'
            pause_s = RETRY_PAUSE_S
        finally:
            if is_kept:
                self._kept[tried.daemon] = reader, writer
            else:
                writer.close()
        return pause_s

    async def book(self, path):
        """Send a call that must run once at most, and again after a refusal."""
        until = time.monotonic() + self.deadline_s
        while time.monotonic() < until:
            address = self.choose_address()
            if address is None:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            booking = Booking(f'{self.rng.getrandbits(64):016x}', address)
            self.bookings.append(booking)
            with contextlib.suppress(OSError, TimeoutError, h11.RemoteProtocolError):
                async with asyncio.timeout(self.max_gap_s):
                    await self._book_once(booking, path)
            if booking.status not in REFUSALS:
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _book_once(self, booking, path):
        reader, writer = await self._connect(booking.daemon)
        connection = h11.Connection(h11.CLIENT)
        headers = [
            ('Host', 'a.example'),
            ('X-Attempt-Id', booking.attempt),
            ('X-Deadline-Ms', '1200'),
            ('Content-Length', '2'),
        ]
        try:
            request = h11.Request(method='POST', target=path, headers=headers)
            writer.write(connection.send(request) + connection.send(h11.Data(b'{}')))
            writer.write(connection.send(h11.EndOfMessage()))
            status = None
            while connection.their_state is not h11.DONE:
                event = connection.next_event()
                if event is h11.NEED_DATA:
                    connection.receive_data(await reader.read(self.read_bytes))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    booking.body += bytes(event.data)
                elif not isinstance(event, h11.EndOfMessage):
                    return
            booking.status = status
        finally:
            if booking.status is None or connection.our_state is not h11.DONE:
                writer.close()
            else:
                self._kept[booking.daemon] = reader, writer

    def close(self):
        for _reader, writer in self._kept.values():
            writer.close()
        self._kept.clear()

    async def _connect(self, address):
        kept = self._kept.pop(address, None)
        if kept is not None:
            if not kept[0].at_eof():
                return kept
            kept[1].close()
        host, _, port = address.rpartition(':')
        return await asyncio.open_connection(host, int(port), limit=self.read_bytes)

    async def _read_answer(self, stream, tried, connection, reader):
        """Read an answer to its end; return the pause before the next call."""
        retry_after_s = RETRY_PAUSE_S
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                if self.read_pause_s:
                    await asyncio.sleep(self.read_pause_s)
                async with asyncio.timeout(self.max_gap_s):
                    connection.receive_data(await reader.read(self.read_bytes))
                continue
            if isinstance(event, h11.Response):
                tried.status = event.status_code
                stated = dict(event.headers).get(b'retry-after')
                retry_after_s = float(stated) if stated else RETRY_PAUSE_S
            elif isinstance(event, h11.Data):
                if tried.status == 200:
                    self._receive(stream, tried, bytes(event.data))
                else:
                    tried.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                tried.end = 'complete' if tried.status == 200 else 'refused'
                return retry_after_s
            elif isinstance(event, (h11.ConnectionClosed, type(h11.PAUSED))):
                tried.end = 'broken'
                return retry_after_s

    def _receive(self, stream, tried, content):
        *events, tried.partial = (tried.partial + content).split(b'\n\n')
        for event in events:
            try:
                fields = dict(line.split(': ', 1) for line in event.decode().split('\n') if line)
                document = json.loads(fields['data']) | {'id': fields['id']}
            except (ValueError, KeyError):
                stream.odd_parts.append(event)
                continue
            tried.event_count += 1
            stream.events.append(Received(len(stream.tries) - 1, time.monotonic(), document))


def count_take_ups(streams):
    """Return how many tries took a stream up, and how many of these got events or the end."""
    taken_up = [tried for stream in streams for tried in stream.tries if tried.last_event_id]
    return len(taken_up), sum(
        bool(tried.event_count) or tried.end == 'complete' for tried in taken_up
    )


def list_run_faults(callers, upstreams):
    """Return how runs break the promises on calls that must run once at most."""
    runs = collections.Counter(run.attempt for upstream in upstreams for run in upstream.runs)
    tries = [
        (tried.attempt, tried.status)
        for caller in callers
        for stream in caller.streams
        for tried in stream.tries
        if not stream.is_resumable
    ]
    bookings = [booking for caller in callers for booking in caller.bookings]
    tries += [(booking.attempt, booking.status) for booking in bookings]
    faults = []
    for attempt, status in tries:
        if runs[attempt] > 1:
            faults.append(f'{attempt} ran {runs[attempt]} times')
        if status in REFUSALS and runs[attempt]:
            faults.append(f'{attempt} ran and was answered {status}')
    for booking in bookings:
        if booking.status == 200 and booking.body != f'done {booking.attempt}'.encode():
            faults.append(f'{booking.attempt} was answered {booking.body!r}')
    return faults
