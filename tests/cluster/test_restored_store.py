"""Tests of daemons whose store comes back from a copy that is some seconds old."""

import zlib

import anyio
import httpx
import orjson
import pytest

from camphorpath.cluster.shared import SharedRows
from camphorpath.cluster.state_transfer import fetch_state, parse_revisions
from camphorpath.errors import PeerError
from camphorpath.platform.revisions import make_revision
from camphorpath.schema import camphorpath_pb2 as pb
from camphorpath.transports import MAX_CONTENT_BYTES

from ..relay.support import wait_for
from .restored_store import RestorableStore
from .test_follower import make_follower


def follow(store, test, *, is_watcher=True):
    """Run a test with a follower of a store, and with the versions of the manifests it applied."""

    async def main():
        follower, _applied = make_follower(store.connect(), is_watcher=lambda: is_watcher)
        versions = []
        follower.rows.on_manifest = lambda content, revision: versions.append(
            orjson.loads(content)['version']
        )
        async with anyio.create_task_group() as group:
            for task in (follower.watch_manifest, follower.watch_upstreams, follower.follow_peers):
                group.start_soon(task)
            with anyio.fail_after(20):
                await test(follower, versions)
            group.cancel_scope.cancel()

    anyio.run(main)


@pytest.mark.parametrize('rewritten', [[], [3], [3, 4, 5, 6]])
@pytest.mark.parametrize('is_watcher', [True, False])
def test_manifest_after_a_restore_of_the_store_is_applied(is_watcher, rewritten):
    """Guards against daemons that ignore each manifest after the store came back from a copy."""
    store = RestorableStore()
    store.write_manifest(1)

    async def test(follower, versions):
        old = store.copy()
        store.write_manifest(2)
        store.write_manifest(3)
        await wait_for(lambda: versions[-1:] == [3], 5)
        store.restore(old)
        for version in rewritten:
            store.write_manifest(version)
        await anyio.sleep(0.1)
        store.write_manifest(7)
        await wait_for(lambda: versions[-1] == 7, 5)
        assert versions == sorted(versions)

    follow(store, test, is_watcher=is_watcher)


class Peer:
    """A daemon that holds rows, and the requests that it answered."""

    def __init__(self, rows, *, knows_versions=True):
        self.rows = rows
        self.knows_versions = knows_versions
        self.queries = []
        self.transport = httpx.MockTransport(self._answer)

    def make_heartbeat(self, **fields):
        manifest = self.rows.manifest
        return pb.EdgeHeartbeat(
            name='peer',
            manifest_revision=manifest.revision,
            manifest_version=manifest.version if self.knows_versions else 0,
            upstreams_revision=self.rows.upstreams_revision,
            **fields,
        )

    def _answer(self, request):
        self.queries.append(dict(request.url.params))
        manifest, upstreams, version = parse_revisions(request.url.query.decode())
        state = self.rows.collect_since(manifest, upstreams, version if self.knows_versions else 0)
        if not self.knows_versions:
            state.manifest.ClearField('version')
        return httpx.Response(200, content=state.SerializeToString())


def make_rows(version, revision, upstreams=(), upstreams_revision=0):
    rows = SharedRows(lambda content, revision: None, lambda key, content, revision: None)
    if version:
        rows.apply_manifest(make_manifest(version), revision)
    listed = [pb.SharedRow(key=key, content=b'x', revision=at) for key, at in upstreams]
    rows.apply_listing(listed, upstreams_revision, 0)
    return rows


def make_manifest(version):
    return orjson.dumps({'version': version, 'padding': [f'part {number}' for number in range(50)]})


def make_behind(peer, rows):
    """Return a follower that holds rows and asks a peer."""
    follower, _applied = make_follower(None, transport=peer.transport)
    follower.rows = rows
    return follower


def hear(follower, heartbeat, *, seconds=0.4):
    """Let a follower hear a heartbeat again and again, as from a peer that does not change."""

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(follower.follow_peers)
            for _ in range(round(seconds / 0.01)):
                follower.record_peer(heartbeat, '10.0.0.2:1')
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()

    anyio.run(main)


def test_daemon_started_after_a_restore_takes_the_newer_manifest_of_a_peer():
    """Guards against 404 for routes that all daemons but the one that read the copy serve."""
    peer = Peer(make_rows(3, 21))
    follower = make_behind(peer, make_rows(1, make_revision(2, 19)))
    assert not peer.rows.is_manifest_newer(1, make_revision(2, 19))
    hear(follower, peer.make_heartbeat())
    assert follower.rows.manifest.version == 3
    assert len(peer.queries) == 1


def test_older_manifest_of_a_daemon_that_sends_no_version_is_fetched_once():
    """Guards against daemons that fetch a manifest without end from one of an older version."""
    peer = Peer(make_rows(1, make_revision(2, 19)), knows_versions=False)
    follower = make_behind(peer, make_rows(3, 21))
    hear(follower, peer.make_heartbeat())
    assert follower.rows.manifest.version == 3
    assert len(peer.queries) == 1


def test_newer_manifest_of_a_daemon_that_sends_no_version_is_taken():
    """Guards against 404 for new routes during an update to a new program version."""
    peer = Peer(make_rows(4, 22), knows_versions=False)
    follower = make_behind(peer, make_rows(3, 21))
    hear(follower, peer.make_heartbeat())
    assert follower.rows.manifest.version == 4


def test_whole_manifest_is_fetched_if_the_base_of_a_delta_differs():
    """Guards against a daemon that can never unpack a manifest, as its base is another one."""
    peer = Peer(make_rows(3, 21))
    peer.rows.apply_manifest(make_manifest(5), 25)
    rows = make_rows(0, 0)
    rows.apply_manifest(orjson.dumps({'version': 2}), 21)
    follower = make_behind(peer, rows)
    hear(follower, peer.make_heartbeat())
    assert follower.rows.manifest.content == make_manifest(5)
    assert [query['manifest'] for query in peer.queries] == ['21', '0']


@pytest.mark.parametrize('is_announced', [False, True])
def test_upstream_lost_in_a_restore_is_removed_at_daemons_that_did_not_read_the_store(is_announced):
    """Guards against an upstream that stays for ever, as no daemon that reads the store knew it."""
    restored_at = make_revision(2, 19)
    peer = Peer(make_rows(3, 21, [('a', 17)], 28))
    peer.rows.apply_listing(
        [pb.SharedRow(key='a', content=b'x', revision=make_revision(2, 17))], restored_at, 1
    )
    follower = make_behind(peer, make_rows(3, 21, [('a', 17), ('lost', 30)], 30))
    heartbeat = peer.make_heartbeat()
    if is_announced:
        heartbeat.news.CopyFrom(peer.rows.collect_since(21, 28, 3))
        heartbeat.news_after = 28
        follower.apply_announced_rows(heartbeat, '10.0.0.2:1')
    hear(follower, heartbeat)
    assert follower.rows.upstreams['lost'].removed
    assert follower.rows.upstreams_revision == restored_at


def test_restore_of_the_store_is_reported_once():
    """Guards against a log that does not tell that what was written to the store is gone."""
    rows = make_rows(3, 21, [('a', 17)], 28)
    reported = []
    rows.on_restored = lambda *revisions: reported.append(revisions)
    rows.apply_manifest(make_manifest(1), make_revision(2, 19))
    rows.apply_listing([], make_revision(2, 19), 1)
    assert reported == [(28, make_revision(2, 19))]


@pytest.mark.parametrize('way', ['apply_announced_rows', 'apply_listing', 'apply_state'])
def test_late_row_of_before_a_restore_is_ignored(way):
    """Guards against an upstream that has exited and gets calls, as no listing follows."""
    rows = make_rows(3, 21, [('a', 17)], 29)
    restored_at = make_revision(2, 19)
    listed = pb.SharedRow(key='a', content=b'x', revision=make_revision(2, 17))
    rows.apply_listing([listed], restored_at, 1)
    late = pb.SharedState(upstreams_revision=30)
    late.upstreams.add(key='lost', content=b'x', revision=30)
    arguments = {
        'apply_announced_rows': (late, 29, 2),
        'apply_listing': (late.upstreams, 30, 2),
        'apply_state': (late, 2),
    }
    getattr(rows, way)(*arguments[way])
    assert set(rows.upstreams) == {'a'}
    assert rows.upstreams_revision == restored_at


def test_state_that_inflates_without_bounds_is_refused():
    """Guards against a peer that takes the memory of a daemon."""
    content = zlib.compress(bytes(2 * MAX_CONTENT_BYTES))
    headers = {'content-encoding': 'deflate'}
    transport = httpx.MockTransport(
        lambda request: httpx.Response(200, headers=headers, content=content)
    )

    async def main():
        async with httpx.AsyncClient(transport=transport) as client:
            with pytest.raises(PeerError, match='exceeds'):
                await fetch_state(client, '10.0.0.2:1', 0, 0, 0)

    anyio.run(main)
