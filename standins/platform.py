"""Stand-in for the platform: table, object store and VM list, with faults set at run time."""

import argparse
import base64
import contextlib
import json
import random
import signal
import sys
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import attrs

from .serving import HOST, serve_app

Json = dict[str, Any]
MS_PER_S = 1000
# The published interface allows at most this many operations in one transaction.
MAX_OPERATIONS = 128
# A late write is applied before one of this many subsequent writes.
MAX_LATE_WRITE_DELAY = 5


@attrs.define
class Faults:
    """The faults in force.

    `slow_ms` delays a table operation before its effect, `slow_answer_ms` after it. `down` answers
    table operations with 503 and states that they had no effect. `lose_next` (a number of writes)
    and `lose_share` close the connection after the effect of a write, `drop_next` before it.
    `next_writes` lists the faults of the next writes: `none`, `down`, `lose`, `drop`, `unclear`,
    which answers 503 after the effect without stating whether there was one, or `late`, which
    closes the connection and applies the write before one of the next few writes. `held` blocks
    table operations before their effect until it is cleared. `vm_lag_s` is the age of the VM list.
    """

    slow_ms: float = 0
    slow_answer_ms: float = 0
    down: bool = False
    lose_next: int = 0
    lose_share: float = 0
    drop_next: int = 0
    next_writes: list[str] = attrs.field(factory=list)
    held: bool = False
    objects_down: bool = False
    vms_down: bool = False
    vm_lag_s: float = 0


@attrs.define
class Counters:
    """Counts of the requests served, of answers withheld (`lost`), and of concurrent writes."""

    reads: int = 0
    writes: int = 0
    lost: int = 0
    object_reads: int = 0
    object_writes: int = 0
    vm_reads: int = 0
    writes_at_once: int = 0
    most_writes_at_once: int = 0


@attrs.define
class StoredRow:
    """One row with its revisions as in the published interface."""

    value: bytes
    created: int
    modified: int
    version: int = 1


class HttpError(Exception):
    """Raised to send an answer with a status other than 200."""

    def __init__(self, status: int, document: Json) -> None:
        """Store the status and the body."""
        super().__init__(status)
        self.status = status
        self.document = document


class AnswerLost(ConnectionResetError):
    """Raised to close the connection without an answer."""


@attrs.define
class Store:
    """Rows under one global revision; every transaction is applied atomically."""

    rows: dict[bytes, StoredRow] = attrs.field(factory=dict)
    revision: int = 1

    def range(self, body: Json) -> Json:
        """Return the rows of a key or of a range of keys."""
        first, end = _decode(body['key']), _decode(body.get('range_end', ''))
        keys = sorted(key for key in self.rows if _is_within(key, first, end))
        limit = int(body.get('limit', 0))
        chosen = keys[:limit] if limit else keys
        return {
            'header': self._make_header(),
            'kvs': [self._format_row(key) for key in chosen],
            'more': len(chosen) < len(keys),
            'count': str(len(keys)),
        }

    def commit(self, body: Json) -> Json:
        """Apply a transaction and return its answer; raise HttpError if it is invalid."""
        written: list[str] = []
        operation_count = _collect_written_keys(body, written)
        if operation_count > MAX_OPERATIONS or len(set(written)) != len(written):
            raise HttpError(400, {'code': 3, 'message': 'too many operations or duplicate key'})
        self.revision += 1
        return self._apply(body)

    def _apply(self, body: Json) -> Json:
        # Nested transactions of one batch write different keys, so their order does not matter.
        succeeded = all(self._is_true(compare) for compare in body.get('compare', ()))
        branch = body.get('success' if succeeded else 'failure', ())
        responses = [self._apply_operation(operation) for operation in branch]
        return {'header': self._make_header(), 'succeeded': succeeded, 'responses': responses}

    def _is_true(self, compare: Json) -> bool:
        if compare['target'] != 'MOD' or compare.get('result', 'EQUAL') != 'EQUAL':
            raise HttpError(400, {'code': 3, 'message': 'comparison not supported'})
        row = self.rows.get(_decode(compare['key']))
        modified = row.modified if row else 0
        return modified == int(compare.get('modRevision', 0))

    def _apply_operation(self, operation: Json) -> Json:
        kind, body = next(iter(operation.items()))
        if kind == 'requestRange':
            return {'response_range': self.range(body)}
        if kind == 'requestTxn':
            return {'response_txn': self._apply(body)}
        key = _decode(body['key'])
        if kind == 'requestDeleteRange':
            deleted = self.rows.pop(key, None)
            return {'response_delete_range': {'deleted': str(int(deleted is not None))}}
        if kind != 'requestPut':
            raise HttpError(400, {'code': 3, 'message': f'unknown operation {kind}'})
        old = self.rows.get(key)
        self.rows[key] = StoredRow(
            value=_decode(body.get('value', '')),
            created=old.created if old else self.revision,
            modified=self.revision,
            version=old.version + 1 if old else 1,
        )
        return {'response_put': {'header': self._make_header()}}

    def _make_header(self) -> Json:
        return {'revision': str(self.revision)}

    def _format_row(self, key: bytes) -> Json:
        row = self.rows[key]
        return {
            'key': _encode(key),
            'create_revision': str(row.created),
            'mod_revision': str(row.modified),
            'version': str(row.version),
            'value': _encode(row.value),
        }


class Platform:
    """The ASGI application and its state; tests may set `faults` and read `counters` directly."""

    def __init__(self, seed: int = 1, clock: Callable[[], float] = time.monotonic) -> None:
        """Start with an empty table, no objects and an empty VM list."""
        self.store = Store()
        self.objects: dict[str, bytes] = {}
        self.faults = Faults()
        self.counters = Counters()
        self.url = ''
        self._random = random.Random(seed)
        self._clock = clock
        self._vm_lists: list[tuple[float, list[Json]]] = [(float('-inf'), [])]
        self._late_writes: list[tuple[int, Json]] = []
        self._faults_changed = anyio.Event()

    def change_faults(self, **changes: Any) -> None:
        """Change some of the faults and wake the operations that are held.

        Raise HttpError for an unknown fault.
        """
        for name, setting in changes.items():
            if name not in attrs.asdict(self.faults):
                raise HttpError(400, {'message': f'unknown fault {name}'})
            setattr(self.faults, name, setting)
        self._faults_changed.set()
        self._faults_changed = anyio.Event()

    def replace_vms(self, vms: list[Json]) -> None:
        """Set the VM list; it becomes visible after `vm_lag_s`."""
        self._vm_lists.append((self._clock(), vms))

    def apply_late_writes(self, write_number: int | None = None) -> None:
        """Apply the late writes that are due before write `write_number`, or all of them."""
        due = [
            late_write
            for late_write in self._late_writes
            if write_number is None or late_write[0] <= write_number
        ]
        for late_write in due:
            self._late_writes.remove(late_write)
            self.store.commit(late_write[1])

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        if scope['type'] == 'lifespan':
            await _serve_lifespan(receive, send)
            return
        body = await _receive_body(receive)
        try:
            status, content = await self._handle(scope['method'], scope['path'], body)
        except HttpError as error:
            status, content = error.status, json.dumps(error.document).encode()
        except AnswerLost:
            # hypercorn closes the connection if the body that the head announces is missing.
            await _send_head(send, 200, 1)
            raise
        await _send_head(send, status, len(content))
        await send({'type': 'http.response.body', 'body': content})

    async def _handle(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        if path.startswith('/admin/'):
            return 200, json.dumps(self._serve_admin(method, path, body)).encode()
        if path == '/v3/kv/range':
            return 200, json.dumps(await self._serve_range(json.loads(body))).encode()
        if path == '/v3/kv/txn':
            return 200, json.dumps(await self._serve_txn(json.loads(body))).encode()
        if path == '/vms':
            return 200, json.dumps(await self._serve_vms()).encode()
        return await self._serve_object(method, path, body)

    async def _serve_range(self, body: Json) -> Json:
        self.counters.reads += 1
        await self._wait_before_effect()
        answer = self.store.range(body)
        await self._wait_before_answer()
        return answer

    async def _serve_txn(self, body: Json) -> Json:
        counters = self.counters
        counters.writes += 1
        counters.writes_at_once += 1
        counters.most_writes_at_once = max(counters.most_writes_at_once, counters.writes_at_once)
        try:
            return await self._commit(body)
        finally:
            counters.writes_at_once -= 1

    async def _commit(self, body: Json) -> Json:
        await self._wait_before_effect()
        self.apply_late_writes(self.counters.writes)
        fault = self._choose_fault()
        if fault == 'down':
            raise _make_unavailable()
        if fault == 'late':
            due = self.counters.writes + self._random.randint(1, MAX_LATE_WRITE_DELAY)
            self._late_writes.append((due, body))
        if fault in {'drop', 'late'}:
            self._close_without_answer()
        answer = self.store.commit(body)
        await self._wait_before_answer()
        if fault == 'unclear':
            raise HttpError(503, {'code': 14, 'message': 'unavailable'})
        if fault == 'lose':
            self._close_without_answer()
        return answer

    def _choose_fault(self) -> str:
        faults = self.faults
        if faults.next_writes:
            return faults.next_writes.pop(0)
        if faults.drop_next > 0:
            faults.drop_next -= 1
            return 'drop'
        if faults.lose_next > 0:
            faults.lose_next -= 1
            return 'lose'
        return 'lose' if self._random.random() < faults.lose_share else 'none'

    def _close_without_answer(self) -> None:
        self.counters.lost += 1
        raise AnswerLost

    async def _wait_before_effect(self) -> None:
        if self.faults.down:
            raise _make_unavailable()
        if self.faults.slow_ms:
            await anyio.sleep(self.faults.slow_ms / MS_PER_S)
        while self.faults.held:
            await self._faults_changed.wait()

    async def _wait_before_answer(self) -> None:
        if self.faults.slow_answer_ms:
            await anyio.sleep(self.faults.slow_answer_ms / MS_PER_S)

    async def _serve_vms(self) -> Json:
        self.counters.vm_reads += 1
        if self.faults.vms_down:
            raise _make_unavailable()
        visible_until = self._clock() - self.faults.vm_lag_s
        return {'vms': [vms for since, vms in self._vm_lists if since <= visible_until][-1]}

    async def _serve_object(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        if self.faults.objects_down:
            raise _make_unavailable()
        if method == 'PUT':
            self.counters.object_writes += 1
            self.objects[path] = body
            return 200, b''
        self.counters.object_reads += 1
        if path not in self.objects:
            raise HttpError(404, {'message': 'no such object'})
        return 200, self.objects[path]

    def _serve_admin(self, method: str, path: str, body: bytes) -> Any:
        if path == '/admin/faults':
            if method == 'POST':
                self.change_faults(**json.loads(body))
            return attrs.asdict(self.faults)
        if path == '/admin/vms' and method == 'PUT':
            self.replace_vms(json.loads(body)['vms'])
            return {}
        if path == '/admin/counters':
            return attrs.asdict(self.counters)
        raise HttpError(404, {'message': 'no such endpoint'})


@contextlib.asynccontextmanager
async def serve_platform(platform: Platform, port: int = 0) -> AsyncIterator[Platform]:
    """Serve the stand-in on a loopback port (0: any free one) and set its `url`."""
    async with serve_app(platform, port) as bound_port:
        platform.url = f'http://{HOST}:{bound_port}'
        yield platform


def main() -> None:
    """Serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--vms', default='', help='JSON file with the first VM list')
    anyio.run(_run, parser.parse_args())


async def _run(options: argparse.Namespace) -> None:
    platform = Platform(options.seed)
    if options.vms:
        text = await anyio.Path(options.vms).read_text()
        platform.replace_vms(json.loads(text)['vms'])
    async with serve_app(platform, options.port) as port:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            # The parent process waits for this line.
            sys.stdout.write(f'ready {port}\n')
            sys.stdout.flush()
            await anext(signals)


async def _serve_lifespan(receive, send) -> None:
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return


async def _receive_body(receive) -> bytes:
    parts = []
    has_more = True
    while has_more:
        message = await receive()
        parts.append(message.get('body', b''))
        has_more = message.get('more_body', False)
    return b''.join(parts)


async def _send_head(send, status: int, length: int) -> None:
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(length).encode()),
    ]
    await send({'type': 'http.response.start', 'status': status, 'headers': headers})


def _make_unavailable() -> HttpError:
    return HttpError(503, {'code': 14, 'message': 'unavailable', 'applied': False})


def _collect_written_keys(body: Json, written: list[str]) -> int:
    """Append the keys that a transaction may write to `written`; return its operation count.

    A nested transaction counts as one operation.
    """
    operation_count = 0
    for branch in ('success', 'failure'):
        for operation in body.get(branch, ()):
            kind, nested = next(iter(operation.items()))
            operation_count += 1
            if kind == 'requestTxn':
                _collect_written_keys(nested, written)
            elif kind != 'requestRange':
                written.append(nested['key'])
    return operation_count


def _is_within(key: bytes, first: bytes, end: bytes) -> bool:
    return first <= key < end if end else key == first


def _decode(text: str) -> bytes:
    return base64.b64decode(text)


def _encode(raw: bytes) -> str:
    return base64.b64encode(raw).decode('ascii')


if __name__ == '__main__':
    main()
