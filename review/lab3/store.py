"""A stand-in for the platform's store: rows, transactions and feeds, as PROTOCOL.md has them."""

import asyncio
import base64
import json
import time
import urllib.parse

from .http import make_json, read_request

PAGE_ROWS = 500
READ_ONLY = ('op', 'servers')
ANSWER_S = 0.004


class Store:
    """Loses nothing that it has acknowledged, and answers all calls at once."""

    def __init__(self):
        self.rows, self.history, self.version = {}, [], 0
        self.changed = asyncio.Event()

    async def start(self, address):
        host, _, port = address.rpartition(':')
        self.server = await asyncio.start_server(self._serve, host, int(port))

    def put(self, table, key, document):
        """Write a row of the operator or of a server, or remove it; return when it was done."""
        value = None if document is None else json.dumps(document).encode()
        self._change([((table, '', key), value)])
        return time.monotonic()

    def _change(self, changes):
        self.version += 1
        for place, value in changes:
            if value is None:
                self.rows.pop(place, None)
            else:
                self.rows[place] = (value, self.version)
            self.history.append((self.version, place, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                await asyncio.sleep(ANSWER_S)
                status, document = await self._answer(request)
                document['server_time_ms'] = round(time.monotonic() * 1000)
                writer.write(make_json(status, document, {'Store-Era': 0}))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        fields = dict(urllib.parse.parse_qsl(request.query))
        name = request.path.rpartition('/')[2]
        if name == 'rows-tx':
            return self._transact(json.loads(request.body))
        if name == 'rows-get':
            return 200, self._list(fields)
        if name == 'rows-parts':
            return 200, self._list_parts(fields)
        if name == 'rows-feed':
            return await self._follow(fields)
        return 404, {}

    def _transact(self, body):
        expected = body.get('expected_revision', ())
        writes, removed = body.get('write', ()), body.get('remove', ())
        if any(entry['table_name'] in READ_ONLY for entry in (*writes, *removed)):
            return 403, {}
        for entry in expected:
            if self.rows.get(_place(entry), (b'', 0))[1] != entry['row_version']:
                return 412, {'rows': [], 'row_version': self.version}
        changes = [(_place(entry), base64.b64decode(entry['value'])) for entry in writes]
        self._change(changes + [(_place(entry), None) for entry in removed])
        return 200, {'row_version': self.version}

    def _list(self, fields):
        part = fields['table_name'], fields.get('part', '')
        places = sorted(place for place in self.rows if place[:2] == part)
        places = [place for place in places if place[2] >= fields.get('range_start', '')]
        if 'to' in fields:
            places = [place for place in places if place[2] < fields['to']]
        limit = min(int(fields.get('max_results', PAGE_ROWS)), PAGE_ROWS)
        rows = [_make_row(place, *self.rows[place]) for place in places[:limit]]
        return {'rows': rows, 'has_more': len(places) > limit, 'row_version': self.version}

    def _list_parts(self, fields):
        parts = sorted({place[1] for place in self.rows if place[0] == fields['table_name']})
        parts = [part for part in parts if part > fields.get('after_revision', '')]
        return {'parts': parts, 'has_more': False, 'row_version': self.version}

    async def _follow(self, fields):
        table, after = fields['table_name'], int(fields['after_revision'])
        until = time.monotonic() + min(int(fields.get('wait_ms', 0)), 30_000) / 1000
        while True:
            if after > self.version:
                return 410, {'row_version': self.version}
            newest = {}
            for version, place, value in self.history:
                if place[0] == table and version > after:
                    newest.pop(place, None)
                    newest[place] = (value, version)
            left_s = until - time.monotonic()
            if newest or left_s <= 0:
                rows = [_make_row(place, *found) for place, found in newest.items()]
                return 200, {'rows': rows, 'row_version': self.version}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue


def _place(entry):
    return entry['table_name'], entry.get('part', ''), entry['key']


def _make_row(place, value, version):
    row = {'table_name': place[0], 'part': place[1], 'key': place[2], 'row_version': version}
    if value is None:
        return {**row, 'is_deleted': True}
    return {**row, 'value': base64.b64encode(value).decode()}
