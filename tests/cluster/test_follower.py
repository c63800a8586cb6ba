import anyio
import attrs
import httpx

from camphorpath.cluster.follower import Follower
from camphorpath.cluster.shared import SharedRows
from camphorpath.errors import HistoryGone, TableDown
from camphorpath.events import EventLog
from camphorpath.platform.store import Rows, StoreRow
from camphorpath.schema import camphorpath_pb2 as pb

from ..relay.support import wait_for


@attrs.define
class FakeStore:
    """A store whose reads are replies in turn; then it stays silent."""

    listings: list = attrs.field(factory=list)
    changes: list = attrs.field(factory=list)

    async def read_table(self, table):
        return await self._reply(self.listings)

    async def read_changes(self, table, after, wait_s):
        return await self._reply(self.changes)

    async def _reply(self, replies):
        if not replies:
            await anyio.sleep_forever()
        reply = replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply


def make_follower(store, *, is_watcher=lambda: True, transport=None):
    told = []
    follower = Follower(
        store=store,
        rows=SharedRows(
            lambda content, revision: None,
            lambda key, content, revision: told.append((key, content)),
        ),
        events=EventLog('test'),
        peers=httpx.AsyncClient(transport=transport) if transport else httpx.AsyncClient(),
        is_watcher=is_watcher,
        on_disturbance=lambda: None,
    )
    return follower, told


def run_until(check, *tasks, limit_s=5):
    """Run tasks until `check` holds."""

    async def main():
        async with anyio.create_task_group() as group:
            for task in tasks:
                group.start_soon(task)
            await wait_for(check, limit_s)
            group.cancel_scope.cancel()

    anyio.run(main)


def list_rows(revision, *keys):
    return Rows([StoreRow(key, b'x', revision) for key in keys], revision)


def test_dropped_history_leads_to_a_full_read():
    """Guards against an upstream that left in a gap of the history and still gets calls."""
    store = FakeStore([list_rows(1, 'a', 'b'), list_rows(9, 'b')], [HistoryGone('gap')])
    follower, told = make_follower(store)
    run_until(lambda: ('a', None) in told, follower.watch_upstreams)


def test_store_is_asked_again_after_an_outage():
    """Guards against a daemon that never notices that the store is back."""
    store = FakeStore([TableDown('away'), list_rows(1, 'a')])
    follower, told = make_follower(store)
    run_until(lambda: told and follower.store_up, follower.watch_upstreams)


def test_daemon_that_lost_the_store_asks_again_though_others_watch():
    """Guards against peers that keep removed upstreams because one reports an outage for ever."""
    store = FakeStore(
        [list_rows(1, 'a')], [TableDown('away'), Rows([], 2), Rows([], 3), Rows([], 4)]
    )
    asked = []
    follower, _told = make_follower(store, is_watcher=lambda: not asked)

    async def stop_watching():
        await wait_for(lambda: not follower.store_up and len(store.changes) < 4)
        asked.append(1)
        while True:
            # Heartbeats wake the task all the time.
            follower.wake_watch()
            await anyio.sleep(0.05)

    run_until(
        lambda: asked and follower.store_up and len(store.changes) < 3,
        follower.watch_upstreams,
        stop_watching,
    )


def test_state_of_a_peer_that_is_ahead_is_taken():
    """Guards against a daemon that is shut out of the store and keeps an old state."""
    state = pb.SharedState(upstreams_revision=7)
    state.upstreams.append(pb.SharedRow(key='a', content=b'x', revision=7))
    asked = []

    def answer(request):
        asked.append(request.url.path)
        return httpx.Response(200, content=state.SerializeToString())

    follower, told = make_follower(FakeStore(), transport=httpx.MockTransport(answer))
    beat = pb.EdgeHeartbeat(name='d2', upstreams_revision=7)
    follower.note_peer(beat, '10.0.0.2:1')
    run_until(lambda: bool(told), follower.follow_peers)
    follower.note_peer(beat, '10.0.0.2:1')
    assert asked == ['/state']
