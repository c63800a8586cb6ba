"""Stand-in for the platform's metadata store: tables, their feeds, restores and faults."""

import asyncio
import base64
import contextlib
import json
import time
import urllib.parse

import attrs

from .messages import make_head, make_json_answer, read_request, reset

ANSWER_S = 0.004
MAX_PAGE_ROWS = 500
MAX_PAGE_PARTS = 1000
HISTORY_S = 20.0
COPY_INTERVAL_S = 0.25
# Fills a page to its limit of 1 MB.
LONG_VALUE = b'x' * 1900
READ_ONLY_TABLES = ('op', 'servers')


@attrs.frozen
class Row:
    content: bytes
    revision: int


@attrs.frozen
class Change:
    revision: int
    at: float
    place: tuple[str, str, str]
    # None if the row was removed.
    content: bytes | None


@attrs.frozen
class Copy:
    """The rows at an instant."""

    at: float
    revision: int
    rows: dict


@attrs.define
class MetadataStore:
    """The rows by table, part and key, and the faults in force."""

    rows: dict = attrs.field(factory=dict)
    revision: int = 100
    era: int = 1
    # What the daemons get: 'up', 'refusing' (status 503), 'away' (connections are reset), 'hanging'
    # (no answer), 'endless_head' or 'endless_body' (bytes without end), 'endless_pages' (listings
    # whose pages do not end).
    mode: str = 'up'
    delay_s: float = ANSWER_S
    # Share of the writes whose answer is lost, chosen by their number.
    lost_writes: int = 0
    calls: dict = attrs.field(factory=dict)
    # Called with the place and the content of each row that a daemon writes.
    on_write: object = lambda place, content: None
    history: list = attrs.field(factory=list)
    copies: list = attrs.field(factory=list)
    # The oldest revision after which all changes are known.
    known_since: int = 100
    address: str = ''
    is_closed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _writers: set = attrs.field(factory=set)

    @property
    def is_sound(self):
        """Whether the store answers without a fault."""
        return self.mode == 'up' and self.delay_s <= ANSWER_S and not self.lost_writes

    @contextlib.asynccontextmanager
    async def serve(self, host, port):
        server = await asyncio.start_server(self._serve_connection, host, port)
        self.address = f'{host}:{port}'
        copying = asyncio.create_task(self._make_copies())
        try:
            yield self
        finally:
            copying.cancel()
            self.is_closed.set()
            server.close()
            self._reset_connections()

    def put(self, table, key, document):
        """Write or, with None, remove a row of the empty part, as the platform does."""
        self.revision += 1
        content = None if document is None else json.dumps(document).encode()
        self._apply((table, '', key), content)
        self._notify()

    def set_mode(self, mode):
        self.mode = mode
        if mode != 'up':
            self._reset_connections()

    def restore(self, age_s):
        """Return to a copy that is some seconds old; others than the platform lose later writes.

        The rows of the platform are those of now, written again.
        """
        now = time.monotonic()
        copy = (
            max(
                (copy for copy in self.copies if copy.at <= now - age_s),
                default=None,
                key=lambda copy: copy.at,
            )
            or self.copies[0]
        )
        platform_rows = {
            place: row.content for place, row in self.rows.items() if place[0] in READ_ONLY_TABLES
        }
        self.era += 1
        self.rows = dict(copy.rows)
        self.revision = copy.revision
        self.known_since = copy.revision
        self.history = []
        self.copies = []
        self._reset_connections()
        gone = [place for place in self.rows if place[0] in READ_ONLY_TABLES]
        for place in {*gone, *platform_rows}:
            content = platform_rows.get(place)
            if place in self.rows and self.rows[place].content == content:
                continue
            self.revision += 1
            self._apply(place, content)
        self._notify()

    async def _make_copies(self):
        while True:
            now = time.monotonic()
            self.copies.append(Copy(now, self.revision, dict(self.rows)))
            self.copies = [copy for copy in self.copies if copy.at > now - HISTORY_S]
            outdated = [change for change in self.history if change.at < now - HISTORY_S]
            if outdated:
                self.known_since = outdated[-1].revision
                self.history = self.history[len(outdated) :]
            await asyncio.sleep(COPY_INTERVAL_S)

    def _reset_connections(self):
        for writer in list(self._writers):
            reset(writer)

    def _apply(self, place, content):
        if content is None:
            self.rows.pop(place, None)
        else:
            self.rows[place] = Row(content, self.revision)
        self.history.append(Change(self.revision, time.monotonic(), place, content))

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve_connection(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                if not await self._serve_request(request, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(self, request, writer):
        """Answer a request; return whether the connection may serve more."""
        name = request.path.rpartition('/')[2]
        self.calls[name] = self.calls.get(name, 0) + 1
        await asyncio.sleep(self.delay_s)
        if self.mode == 'away':
            reset(writer)
            return False
        if self.mode == 'hanging':
            await self.is_closed.wait()
            return False
        if self.mode in {'endless_head', 'endless_body'}:
            await self._send_endlessly(writer)
            return False
        if self.mode == 'refusing':
            writer.write(make_json_answer(503, {}, Store_Era=self.era))
            return True
        status, document = await self._answer(name, request)
        if name == 'rows-tx' and self.lost_writes:
            self.lost_writes -= 1
            reset(writer)
            return False
        document |= {'server_time_ms': round(time.monotonic() * 1000)}
        writer.write(make_json_answer(status, document, Store_Era=self.era))
        await writer.drain()
        return True

    async def _send_endlessly(self, writer):
        if self.mode == 'endless_head':
            writer.write(b'HTTP/1.1 200 OK\r\n')
            filler = b'X-Filler: ' + b'x' * 4000 + b'\r\n'
        else:
            writer.write(make_head(200, {'Transfer-Encoding': 'chunked', 'Store-Era': self.era}))
            filler = b'1000\r\n' + b' ' * 4096 + b'\r\n'
        while True:
            writer.write(filler * 16)
            await writer.drain()

    async def _answer(self, name, request):
        fields = dict(urllib.parse.parse_qsl(request.target.partition('?')[2]))
        if self.mode == 'endless_pages' and name != 'rows-tx':
            return self._make_endless_page(name, fields)
        if name == 'rows-tx':
            return self._write(json.loads(request.body))
        if name == 'rows-get':
            return 200, self._list_rows(fields)
        if name == 'rows-parts':
            return 200, self._list_parts(fields)
        if name == 'rows-feed':
            return await self._follow(fields)
        return 404, {}

    def _make_endless_page(self, name, fields):
        """Return the next page of a listing that does not end; there is no history to follow."""
        if name == 'rows-feed':
            return 410, {'row_version': self.revision}
        if name == 'rows-parts':
            first = int(fields.get('after_revision', '0')) + 1
            parts = [f'{number:0200}' for number in range(first, first + MAX_PAGE_PARTS)]
            return 200, {'parts': parts, 'has_more': True, 'row_version': self.revision}
        first = int(fields.get('range_start', '0').rstrip('\0')) + 1
        rows = [
            _make_row((fields['table_name'], fields.get('part', ''), f'{number:08}'), LONG_VALUE, 1)
            for number in range(first, first + MAX_PAGE_ROWS)
        ]
        return 200, {'rows': rows, 'has_more': True, 'row_version': self.revision}

    def _write(self, body):
        places = [
            *(entry for entry in body.get('write', ())),
            *(entry for entry in body.get('remove', ())),
            *(entry for entry in body.get('expected_revision', ())),
        ]
        if any(entry['table_name'] in READ_ONLY_TABLES for entry in places):
            return 403, {}
        if len({entry.get('part', '') for entry in places}) > 1:
            return 400, {}
        for entry in body.get('expected_revision', ()):
            row = self.rows.get(_get_place(entry))
            if (row.revision if row else 0) != entry['row_version']:
                return 412, {'rows': [], 'row_version': self.revision}
        self.revision += 1
        for entry in body.get('write', ()):
            content = base64.b64decode(entry['value'])
            self._apply(_get_place(entry), content)
            self.on_write(_get_place(entry), content)
        for entry in body.get('remove', ()):
            self._apply(_get_place(entry), None)
        self._notify()
        return 200, {'row_version': self.revision}

    def _list_rows(self, fields):
        wanted = fields['table_name'], fields.get('part', '')
        start, end = fields.get('range_start', ''), fields.get('to')
        limit = min(int(fields.get('max_results', MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        places = sorted(
            place
            for place in self.rows
            if place[:2] == wanted and place[2] >= start and (end is None or place[2] < end)
        )
        rows = [
            _make_row(place, self.rows[place].content, self.rows[place].revision)
            for place in places[:limit]
        ]
        return {'rows': rows, 'has_more': len(places) > limit, 'row_version': self.revision}

    def _list_parts(self, fields):
        after = fields.get('after_revision')
        parts = sorted({place[1] for place in self.rows if place[0] == fields['table_name']})
        if after is not None:
            parts = [part for part in parts if part > after]
        return {
            'parts': parts[:MAX_PAGE_PARTS],
            'has_more': len(parts) > MAX_PAGE_PARTS,
            'row_version': self.revision,
        }

    async def _follow(self, fields):
        table, after = fields['table_name'], int(fields['after_revision'])
        era = self.era
        until = time.monotonic() + min(int(fields.get('wait_ms', 0)), 30_000) / 1000
        while True:
            if after > self.revision or after < self.known_since or era != self.era:
                return 410, {'row_version': self.revision}
            newest = {}
            for change in self.history:
                if change.place[0] == table and change.revision > after:
                    newest.pop(change.place, None)
                    newest[change.place] = change
            left_s = until - time.monotonic()
            if newest or left_s <= 0:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        rows = [
            _make_row(change.place, change.content, change.revision) for change in newest.values()
        ]
        return 200, {'rows': rows, 'row_version': self.revision}


def _get_place(entry):
    return entry['table_name'], entry.get('part', ''), entry['key']


def _make_row(place, content, revision):
    table, part, key = place
    row = {'table_name': table, 'part': part, 'key': key, 'row_version': revision}
    if content is None:
        row['is_deleted'] = True
    else:
        row['value'] = base64.b64encode(content).decode()
    return row
