"""Tests of daemons whose store comes back from a copy that is some seconds old."""

import anyio
import orjson
import pytest

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
