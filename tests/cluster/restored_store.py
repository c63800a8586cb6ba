"""A metadata store that can be restored from a copy, with its HTTP interface."""

import base64
import copy

import anyio
import anyio.lowlevel
import attrs
import httpx
import orjson

from camphorpath.platform.store import MetadataStore
from camphorpath.platform.wire import MANIFEST_KEY, MANIFEST_TABLE, UPSTREAM_TABLE

MS_PER_S = 1000


@attrs.define
class Data:
    """What a copy of the store holds."""

    version: int = 0
    # Values and versions by table and key; the value of a removed row is None.
    rows: dict = attrs.field(factory=dict)


@attrs.define
class RestorableStore:
    """Serves rows and change feeds; reads of a version that it does not have get 410."""

    data: Data = attrs.field(factory=Data)
    era: int = 1
    is_down: bool = False
    # Transactions whose answer is lost, from the next one.
    lost_answers: int = 0
    changed: anyio.Event = attrs.field(factory=anyio.Event)
    # Paths of the calls that were answered.
    calls: list = attrs.field(factory=list)

    def connect(self):
        """Return a client of this store."""
        return MetadataStore('http://store', httpx.MockTransport(self.answer))

    def write(self, table, key, value, version=None):
        """Write a row, or remove it if the value is None; by default with the next version."""
        self.data.version = version or self.data.version + 1
        self.data.rows[table, key] = value, self.data.version
        self.changed.set()
        self.changed = anyio.Event()

    def write_manifest(self, version, **fields):
        self.write(MANIFEST_TABLE, MANIFEST_KEY, orjson.dumps({'version': version, **fields}))

    def write_upstream(self, key, value=b'x'):
        self.write(UPSTREAM_TABLE, key, value)

    def copy(self):
        return copy.deepcopy(self.data)

    def restore(self, data):
        """Come back from a copy."""
        self.data = copy.deepcopy(data)
        self.era += 1
        self.changed.set()
        self.changed = anyio.Event()

    async def answer(self, request):
        await anyio.lowlevel.checkpoint()
        if self.is_down:
            return httpx.Response(503)
        self.calls.append(request.url.path)
        if request.url.path.endswith('rows-tx'):
            return self._answer_transaction(orjson.loads(request.content))
        query = request.url.params
        table = query['table_name']
        if request.url.path.endswith('rows-get'):
            return self._reply_rows(table, 0)
        after = int(query['after_revision'])
        if after > self.data.version:
            return self._reply({}, 410)
        if not self._list(table, after):
            with anyio.move_on_after(int(query['wait_ms']) / MS_PER_S):
                await self.changed.wait()
        return self._reply_rows(table, after)

    def _answer_transaction(self, body):
        for row in body['expected_revision']:
            value, version = self.data.rows.get((row['table_name'], row['key']), (None, 0))
            if row['row_version'] != (0 if value is None else version):
                return self._reply({'rows': [], 'row_version': self.data.version}, 412)
        version = self.data.version + 1
        for row in body['write']:
            self.write(row['table_name'], row['key'], base64.b64decode(row['value']), version)
        for row in body['remove']:
            self.write(row['table_name'], row['key'], None, version)
        if self.lost_answers:
            self.lost_answers -= 1
            raise httpx.ReadError('the answer is lost')
        return self._reply({'row_version': self.data.version})

    def _list(self, table, after):
        return [
            (key, value, version)
            for (name, key), (value, version) in self.data.rows.items()
            if name == table and version > after and (after or value is not None)
        ]

    def _reply_rows(self, table, after):
        rows = [
            {
                'key': key,
                'value': base64.b64encode(value or b'').decode(),
                'row_version': version,
                'is_deleted': value is None,
            }
            for key, value, version in self._list(table, after)
        ]
        return self._reply({'rows': rows, 'row_version': self.data.version, 'has_more': False})

    def _reply(self, document, status=200):
        headers = {'store-era': str(self.era)}
        return httpx.Response(status, content=orjson.dumps(document), headers=headers)
