import math

import anyio
import attrs
import httpx

from camphorpath.clocks import read_lease_clock
from camphorpath.cluster.follower import MAX_CONFIRMATION_AGE_S, Follower
from camphorpath.cluster.manifests import ManifestHistory
from camphorpath.cluster.shared import SharedRows
from camphorpath.cluster.state_transfer import parse_revisions
from camphorpath.errors import HistoryCompacted, TableUnavailable
from camphorpath.events import EventLog
from camphorpath.platform.store import MetadataStore, Rows, StoreRow
from camphorpath.platform.wire import MANIFEST_TABLE
from camphorpath.schema import camphorpath_pb2 as pb

from ..relay.support import wait_for
from .restored_store import RestorableStore


@attrs.define
class FakeStore:
    """A store that returns the given replies in turn, and then never answers."""

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


def make_follower(store, *, is_watcher=lambda: True, transport=None, announce=None):
    applied = []
    follower = Follower(
        store=store,
        rows=SharedRows(
            lambda content, revision: None,
            lambda key, content, revision: applied.append((key, content)),
        ),
        events=EventLog('test'),
        peers=httpx.AsyncClient(transport=transport) if transport else httpx.AsyncClient(),
        is_watcher=is_watcher,
        on_store_disruption=lambda: None,
        announce=announce or (lambda changes, after: None),
        on_hosts=lambda hosts: None,
        is_same_region=lambda zone: zone == 'near',
    )
    return follower, applied


def run_until(check, *tasks, limit_s=5):
    """Run tasks until `check` returns true."""

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
    """Guards against calls to an upstream whose removal fell into a gap of the history."""
    store = FakeStore([list_rows(1, 'a', 'b'), list_rows(9, 'b')], [HistoryCompacted('gap')])
    follower, applied = make_follower(store)
    run_until(lambda: ('a', None) in applied, follower.watch_upstreams)


def test_listings_that_are_too_old_for_the_feed_are_not_read_without_a_pause():
    """Guards against a daemon that calls a store with outdated replicas thousands of times."""
    listings = [list_rows(1, 'a')] * 1000
    store = FakeStore(list(listings), [HistoryCompacted('gap')] * 1000)
    follower, _applied = make_follower(store)

    async def main():
        with anyio.move_on_after(1):
            await follower.watch_upstreams()

    anyio.run(main)
    assert 2 <= len(listings) - len(store.listings) <= 12


def test_store_is_polled_again_after_an_outage():
    """Guards against a daemon that never notices that the store is available again."""
    store = FakeStore([TableUnavailable('away'), list_rows(1, 'a')])
    follower, applied = make_follower(store)
    run_until(lambda: applied and follower.store_up, follower.watch_upstreams)


def test_daemon_that_lost_the_store_probes_it_though_others_watch():
    """Guards against peers that keep removed upstreams because one always reports an outage."""
    store = FakeStore(
        [list_rows(1, 'a')], [TableUnavailable('away'), Rows([], 2), Rows([], 3), Rows([], 4)]
    )
    stopped = []
    follower, _applied = make_follower(store, is_watcher=lambda: not stopped)

    async def stop_watching():
        await wait_for(lambda: not follower.store_up and len(store.changes) < 4)
        stopped.append(1)
        while True:
            # In a daemon, each own heartbeat wakes the task.
            follower.wake_polling()
            await anyio.sleep(0.05)

    run_until(
        lambda: stopped and follower.store_up and len(store.changes) < 3,
        follower.watch_manifest,
        stop_watching,
    )


def test_one_table_shows_that_the_store_is_back():
    """Guards against probing with two tables, which doubles the load of a fleet on the store."""
    store = FakeStore([list_rows(1, 'a')], [TableUnavailable('away')] * 9)
    follower, _applied = make_follower(store, is_watcher=lambda: False)

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(follower.watch_upstreams)
            await wait_for(lambda: follower.store_up)
            follower.store_up = False
            await anyio.sleep(1.5)
            group.cancel_scope.cancel()

    anyio.run(main)
    assert len(store.changes) == 9


def test_state_of_a_peer_that_is_ahead_is_fetched():
    """Guards against a daemon that cannot reach the store and keeps outdated state."""
    state = pb.SharedState(upstreams_revision=7)
    state.upstreams.append(pb.SharedRow(key='a', content=b'x', revision=7))
    requested = []

    def answer(request):
        requested.append(request.url.path)
        return httpx.Response(200, content=state.SerializeToString())

    follower, applied = make_follower(FakeStore(), transport=httpx.MockTransport(answer))
    heartbeat = pb.EdgeHeartbeat(name='d2', upstreams_revision=7)
    follower.record_peer(heartbeat, '10.0.0.2:1')
    run_until(lambda: bool(applied), follower.follow_peers)
    follower.record_peer(heartbeat, '10.0.0.2:1')
    assert requested == ['/state']


def make_state(revision, *keys):
    rows = [pb.SharedRow(key=key, content=b'x', revision=revision) for key in keys]
    return pb.SharedState(upstreams=rows, upstreams_revision=revision)


def test_change_is_announced_at_once():
    """Guards against a manifest that reaches a large fleet seconds later, with heartbeats."""
    store = FakeStore([list_rows(1, 'a')], [list_rows(4, 'b'), Rows([], 5)])
    announced = []
    follower, _applied = make_follower(
        store, announce=lambda *announcement: announced.append(announcement)
    )
    run_until(lambda: not store.changes, follower.watch_upstreams)
    assert [(after, [row.key for row in changes.upstreams]) for changes, after in announced] == [
        (1, ['b'])
    ]


def test_change_found_after_a_gap_of_the_history_is_announced():
    """Guards against changes that watchers do not pass on when the store drops its history."""
    store = FakeStore([list_rows(1, 'a'), list_rows(9, 'a', 'b')], [HistoryCompacted('gap')])
    announced = []
    follower, applied = make_follower(
        store, announce=lambda *announcement: announced.append(announcement)
    )
    run_until(lambda: ('b', b'x') in applied, follower.watch_upstreams)
    assert [after for _announced, after in announced] == [1]


def test_announcement_after_a_lost_one_leaves_the_daemon_behind():
    """Guards against calls to an upstream that left if the announcement of that was lost."""
    requested = []

    def answer(request):
        requested.append(request.url.params['upstreams'])
        return httpx.Response(200, content=make_state(9, 'b', 'c').SerializeToString())

    follower, applied = make_follower(FakeStore(), transport=httpx.MockTransport(answer))
    follower.rows.apply_state(make_state(5, 'a'), 0)
    heartbeat = pb.EdgeHeartbeat(
        name='d2', upstreams_revision=9, news=make_state(9, 'c'), news_after=7
    )
    follower.apply_announced_rows(heartbeat, '10.0.0.2:1')
    assert ('c', b'x') in applied
    run_until(lambda: ('b', b'x') in applied, follower.follow_peers)
    assert requested == ['5']


def test_daemon_without_confirmations_polls_the_store():
    """Guards against outdated state if the supposed watchers do not poll the store."""
    store = FakeStore([list_rows(1, 'a')], [list_rows(2, 'b')])
    follower, applied = make_follower(store, is_watcher=lambda: False)
    follower.store_up = True
    took_s = anyio.run(_measure, lambda: ('b', b'x') in applied, follower.watch_upstreams)
    assert took_s < MAX_CONFIRMATION_AGE_S + 0.5


def test_confirmation_by_a_peer_replaces_polling():
    """Guards against a fleet in which all daemons poll the store instead of a few."""
    store = FakeStore([list_rows(1, 'a')], [Rows([], 1)])
    follower, applied = make_follower(store, is_watcher=lambda: False)

    async def confirm():
        while True:
            heartbeat = pb.EdgeHeartbeat(name='d2', upstreams_revision=1, store_age=0.1)
            follower.record_peer(heartbeat, '10.0.0.2:1')
            await anyio.sleep(0.1)

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(confirm)
            group.start_soon(follower.watch_upstreams)
            await anyio.sleep(MAX_CONFIRMATION_AGE_S + 0.5)
            group.cancel_scope.cancel()

    anyio.run(main)
    assert applied and len(store.changes) == 1


def test_confirmation_of_other_revisions_is_ignored():
    """Guards against a daemon that is behind but counts its state as confirmed by a peer."""
    follower, _applied = make_follower(FakeStore())
    follower.record_peer(pb.EdgeHeartbeat(upstreams_revision=3, store_age=0.1), '10.0.0.2:1')
    assert math.isinf(follower.store_age())


def test_manifest_is_current_only_if_confirmed_and_no_peer_is_ahead():
    """Guards against 404 and 401 by a daemon that knows of a newer manifest, or has no contact."""
    follower, _applied = make_follower(FakeStore())
    assert not follower.is_manifest_current()
    follower.rows.apply_manifest(b'm', 3)
    follower.record_peer(pb.EdgeHeartbeat(manifest_revision=3, store_age=0.1), '10.0.0.2:1')
    assert follower.is_manifest_current()
    follower.record_peer(pb.EdgeHeartbeat(manifest_revision=5, store_age=0.1), '10.0.0.3:1')
    assert not follower.is_manifest_current()
    follower.rows.apply_manifest(b'n', 5)
    assert follower.is_manifest_current()
    follower.mark_unconfirmed()
    assert not follower.is_manifest_current()


def test_resumed_daemon_polls_the_store_in_spite_of_old_heartbeats():
    """Guards against calls to an upstream that left while the daemon was suspended."""
    store = FakeStore([list_rows(1, 'a')], [list_rows(2, 'b')])
    follower, applied = make_follower(store, is_watcher=lambda: False)

    async def resume():
        await wait_for(lambda: follower.store_up)
        follower.mark_unconfirmed()

    took_s = anyio.run(_measure, lambda: ('b', b'x') in applied, follower.watch_upstreams, resume)
    assert took_s < 0.5


def test_store_is_polled_if_no_peer_that_is_ahead_answers():
    """Guards against a daemon that waits for the next announcement after it lost a peer."""
    store = FakeStore([list_rows(1, 'a')], [list_rows(2, 'b')])
    transport = httpx.MockTransport(lambda request: httpx.Response(503))
    follower, applied = make_follower(store, is_watcher=lambda: False, transport=transport)

    async def record_peers():
        await wait_for(lambda: follower.store_up)
        follower.record_peer(pb.EdgeHeartbeat(name='d2', upstreams_revision=2), '10.0.0.2:1')

    tasks = follower.watch_upstreams, follower.follow_peers, record_peers
    assert anyio.run(_measure, lambda: ('b', b'x') in applied, *tasks) < 0.5


def test_long_state_is_fetched_over_a_slow_link():
    """Guards against a daemon that can never fetch the state of a large fleet from a peer."""
    state = make_state(7, *(f'{number:0>300}' for number in range(1500)))

    async def send():
        content = state.SerializeToString()
        for start in range(0, len(content), 32768):
            await anyio.sleep(0.25)
            yield content[start : start + 32768]

    transport = httpx.MockTransport(lambda request: httpx.Response(200, content=send()))
    follower, applied = make_follower(FakeStore(), transport=transport)
    follower.record_peer(pb.EdgeHeartbeat(name='d', upstreams_revision=7), '10.0.0.2:1')
    run_until(lambda: len(applied) == 1500, follower.follow_peers, limit_s=15)


def test_peer_that_does_not_answer_times_out(monkeypatch):
    """Guards against a daemon that stays behind because one peer never completes its answer."""
    monkeypatch.setattr('camphorpath.cluster.state_transfer.FETCH_TIMEOUT_S', 0.2)

    async def answer(request):
        if request.url.host == '10.0.0.2':
            await anyio.sleep_forever()
        return httpx.Response(200, content=make_state(7, 'a').SerializeToString())

    follower, applied = make_follower(FakeStore(), transport=httpx.MockTransport(answer))

    async def record_peers():
        heartbeat = pb.EdgeHeartbeat(name='d', upstreams_revision=7)
        follower.record_peer(heartbeat, '10.0.0.2:1')
        await anyio.sleep(0.05)
        follower.record_peer(heartbeat, '10.0.0.3:1')

    run_until(lambda: bool(applied), follower.follow_peers, record_peers)


def test_manifest_is_fetched_from_the_announcer_in_the_region():
    """Guards against a whole fleet that fetches a manifest over the slow link of one daemon."""
    requested = []
    state = pb.SharedState(manifest=ManifestHistory(7, b'm').pack(0))

    def answer(request):
        requested.append(request.url.host)
        return httpx.Response(200, content=state.SerializeToString())

    follower, _applied = make_follower(FakeStore(), transport=httpx.MockTransport(answer))
    for number, zone in enumerate(('far', 'near', 'far')):
        announcement = pb.EdgeHeartbeat(zone=zone, manifest_revision=7, news=pb.SharedState())
        follower.apply_announced_rows(announcement, f'10.0.0.{number}:1')
    follower.record_peer(pb.EdgeHeartbeat(zone='near', manifest_revision=7), '10.0.0.9:1')
    run_until(lambda: follower.rows.manifest.revision == 7, follower.follow_peers)
    assert requested == ['10.0.0.1']


async def _measure(check, *tasks):
    """Return the seconds until `check` returns true."""
    began_at = anyio.current_time()
    async with anyio.create_task_group() as group:
        for task in tasks:
            group.start_soon(task)
        await wait_for(check, 5)
        group.cancel_scope.cancel()
    return anyio.current_time() - began_at


def test_manifest_is_not_current_while_a_newer_one_is_fetched():
    """Guards against 404 by a daemon that waits for the answer of the only peer that is ahead."""
    follower, _applied = make_follower(FakeStore())
    follower.rows.apply_manifest(b'm', 3)
    follower.record_peer(pb.EdgeHeartbeat(manifest_revision=3, store_age=0.1), '10.0.0.2:1')
    was_current = []

    async def answer(request):
        was_current.append(follower.is_manifest_current())
        return httpx.Response(503)

    follower.peers = httpx.AsyncClient(transport=httpx.MockTransport(answer))
    follower.record_peer(pb.EdgeHeartbeat(manifest_revision=5), '10.0.0.3:1')
    run_until(lambda: bool(was_current), follower.follow_peers)
    assert was_current == [False]


def test_slow_answer_confirms_the_state_as_of_its_start():
    """Guards against 404 because of a manifest that the store sent seconds ago over a full link."""

    async def send_slowly():
        yield b'{"row_version":1,'
        await anyio.sleep(0.6)
        yield b'"rows":[]}'

    def answer(request):
        return httpx.Response(200, content=send_slowly())

    store = MetadataStore('http://store', httpx.MockTransport(answer))
    follower, _applied = make_follower(store, is_watcher=lambda: False)
    ages = []

    async def measure_age():
        await wait_for(lambda: follower.store_age() < math.inf)
        ages.append(follower.store_age())

    tasks = follower.watch_manifest, follower.watch_upstreams, measure_age
    run_until(lambda: bool(ages), *tasks)
    assert ages[0] >= 0.5


def test_listing_that_fails_is_repeated_at_the_probe_interval():
    """Guards against a fleet that reads without a pause while the store refuses its listings."""

    @attrs.define
    class CountingStore(FakeStore):
        refused_count: int = 0

        async def read_table(self, table):
            if self.listings:
                return self.listings.pop(0)
            self.refused_count += 1
            raise TableUnavailable('refused')

    store = CountingStore([list_rows(1, 'a')], [HistoryCompacted('restored')])
    follower, applied = make_follower(store, is_watcher=lambda: False)

    async def measure():
        await wait_for(lambda: applied)
        follower.mark_unconfirmed()
        await wait_for(lambda: store.refused_count)
        await anyio.sleep(2)
        counts.append(store.refused_count)

    counts = []
    run_until(lambda: bool(counts), follower.watch_upstreams, measure)
    assert counts[0] <= 3


def make_restarted_peer(rows, revision):
    """Return a transport to a peer that listed the table at a revision, and its heartbeat."""
    peer = SharedRows(lambda content, revision: None, lambda key, content, revision: None)
    peer.apply_listing(rows, revision, 0)
    requested = []

    def answer(request):
        requested.append(request.url.host)
        revisions = parse_revisions(request.url.query.decode())
        return httpx.Response(200, content=peer.collect_since(*revisions).SerializeToString())

    heartbeat = pb.EdgeHeartbeat(
        name='d2',
        upstreams_revision=peer.upstreams_revision,
        upstreams_complete_since=peer.complete_since,
    )
    return httpx.MockTransport(answer), heartbeat, requested


def test_daemon_that_was_cut_off_learns_of_a_removal_from_a_restarted_peer():
    """Guards against calls to an upstream that left before the peer, but not this daemon, started.

    The daemon reaches its peers, but not the store.
    """
    transport, heartbeat, _requested = make_restarted_peer([pb.SharedRow(key='b', revision=2)], 9)
    store = FakeStore([list_rows(2, 'a', 'b')], [TableUnavailable('cut off')])
    follower, applied = make_follower(store, transport=transport)

    async def record_peer():
        await wait_for(lambda: follower.rows.is_listed and not follower.store_up)
        follower.record_peer(heartbeat, '10.0.0.2:1')

    tasks = follower.watch_upstreams, follower.follow_peers, record_peer
    assert anyio.run(_measure, lambda: ('a', None) in applied, *tasks) < 1


def test_fleet_does_not_fetch_a_listing_from_each_daemon_that_starts():
    """Guards against a restart that makes all daemons fetch all upstreams over one link."""
    transport, heartbeat, requested = make_restarted_peer([pb.SharedRow(key='b', revision=2)], 9)
    store = FakeStore([list_rows(2, 'b')], [Rows([], 9)])
    follower, _applied = make_follower(store, is_watcher=lambda: False, transport=transport)

    async def record_peer():
        await wait_for(lambda: follower.store_up)
        # As if the manifest had been read, too.
        follower.record_peer(pb.EdgeHeartbeat(upstreams_revision=2, store_age=0.1), '10.0.0.3:1')
        follower.record_peer(heartbeat, '10.0.0.2:1')

    tasks = follower.watch_upstreams, follower.follow_peers, record_peer
    run_until(lambda: follower.rows.upstreams_revision == 9, *tasks)
    assert not requested


def test_changes_of_a_restarted_peer_are_fetched_if_it_knows_them_all():
    """Guards against a daemon that waits for the store though a peer has what it lacks."""
    transport, heartbeat, requested = make_restarted_peer([pb.SharedRow(key='b', revision=2)], 9)
    follower, _applied = make_follower(FakeStore([list_rows(9, 'b')]), transport=transport)
    heartbeat.upstreams_revision = 10

    async def record_peer():
        await wait_for(lambda: follower.store_up)
        follower.record_peer(pb.EdgeHeartbeat(upstreams_revision=9, store_age=0.1), '10.0.0.3:1')
        follower.record_peer(heartbeat, '10.0.0.2:1')

    run_until(lambda: bool(requested), follower.watch_upstreams, follower.follow_peers, record_peer)


def test_order_is_not_missed_for_a_newer_manifest_of_a_peer():
    """Guards against a daemon that polls the store from the revision of a manifest of a peer."""
    store = RestorableStore()
    store.write_manifest(1)
    follower, _applied = make_follower(store.connect(), is_watcher=lambda: False)
    seen = []
    follower.on_orders = lambda rows, is_listing: seen.extend(
        (is_listing, row.key, row.value) for row in rows.rows
    )

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(follower.watch_manifest)
            await wait_for(lambda: follower.rows.manifest.version == 1, 5)
            follower._confirmed_at = read_lease_clock()
            store.write(MANIFEST_TABLE, 'rollout/a', b'x')
            store.write_manifest(2)
            follower.rows.apply_manifest(b'{"version": 2}', store.data.version)
            await anyio.sleep(0.1)
            assert not seen
            follower.mark_unconfirmed()
            await wait_for(lambda: seen, 5)
            store.write(MANIFEST_TABLE, 'rollout/a', None)
            follower.mark_unconfirmed()
            await wait_for(lambda: len(seen) > 1, 5)
            group.cancel_scope.cancel()

    anyio.run(main)
    assert seen == [(False, 'rollout/a', b'x'), (False, 'rollout/a', None)]
