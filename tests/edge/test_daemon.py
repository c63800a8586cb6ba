import ssl

import anyio
import attrs
import httpx
import orjson
import pytest

from camphorpath.edge.daemon import (
    MEMBER_TABLE,
    _read_shared_tables,
    _register_member,
    build_edge,
)
from camphorpath.edge.quarantine import TABLE as QUARANTINE_TABLE
from camphorpath.platform.store import MetadataStore

from ..cluster.restored_store import RestorableStore
from ..platform.test_store import make_row
from ..relay.support import run, wait_for
from .test_state import SETTINGS

# Deeper than Python can render, but not deeper than what the decoder accepts.
DEEP = b'[' * 1020 + b']' * 1020
TOO_DEEP = b'[' * 100_000 + b']' * 100_000


def test_startup_reads_no_certificates(monkeypatch):
    """Guards against loading CA certificates at startup, as peers and store use plain HTTP."""
    loads = []
    monkeypatch.setattr(
        ssl.SSLContext, 'load_verify_locations', lambda *_paths, **_names: loads.append(1)
    )

    async def build():
        daemon = build_edge(attrs.evolve(SETTINGS, host='127.0.0.1', heartbeat_port=0))
        await daemon.close()

    anyio.run(build)
    assert not loads


@pytest.mark.parametrize(
    'content',
    [
        b'{"host": %s}' % DEEP,
        TOO_DEEP,
        b'{"host": 1e400}',
        b'{"host": %s}' % (b'9' * 5000),
        b'[]',
        b'\xff',
    ],
)
@pytest.mark.parametrize('table', [MEMBER_TABLE, QUARANTINE_TABLE])
def test_odd_member_or_quarantine_row_ends_no_daemon(table, content):
    """Guards against a daemon that ends at its start as a row of another writer is unreadable."""

    def answer(request):
        if request.method == 'POST':
            return httpx.Response(200)
        rows = []
        if request.url.params['table_name'] == table:
            rows.append(make_row('odd', content))
        if request.url.params['table_name'] == MEMBER_TABLE:
            rows.append(make_row('d2', b'{"host": "10.0.0.7"}'))
        return httpx.Response(200, content=orjson.dumps({'rows': rows, 'row_version': 1}))

    async def test():
        settings = attrs.evolve(SETTINGS, host='127.0.0.1', heartbeat_port=0)
        daemon = build_edge(settings)
        store = MetadataStore('http://store', httpx.MockTransport(answer))
        daemon.store = daemon.quarantine.store = store
        await _read_shared_tables(daemon)
        assert daemon.state.members.hosts == {'10.0.0.7'}
        await store.close()
        await daemon.close()

    run(test)


def test_member_row_that_a_restore_of_the_store_lost_is_written_again(monkeypatch):
    """Guards against daemons that never hear of this one, as they read the rows after a restore."""
    monkeypatch.setattr('camphorpath.edge.daemon.MAX_REWRITE_DELAY_S', 0.1)
    store = RestorableStore()
    key = MEMBER_TABLE, SETTINGS.name

    async def main():
        daemon = build_edge(attrs.evolve(SETTINGS, host='127.0.0.1', heartbeat_port=0))
        copied = store.copy()
        daemon.store = daemon.follower.store = daemon.quarantine.store = store.connect()
        async with anyio.create_task_group() as group:
            group.start_soon(_register_member, daemon)
            group.start_soon(daemon.follower.watch_upstreams)
            await wait_for(lambda: key in store.data.rows)
            await wait_for(lambda: daemon.state.rows.upstreams_revision)
            store.restore(copied)
            assert key not in store.data.rows
            await wait_for(lambda: key in store.data.rows)
            group.cancel_scope.cancel()
        await daemon.close()

    anyio.run(main)
