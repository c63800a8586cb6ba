"""Orders to move a service, between daemons in this process and a store that fails."""

import anyio
import attrs
import orjson
import pytest

from camphorpath.clocks import read_lease_clock
from camphorpath.cluster.members import Members
from camphorpath.cluster.rollouts import decode_row
from camphorpath.edge.rollouts import (
    MAX_TALLY_BYTES,
    PHASE_TABLE,
    RolloutSync,
    connect_rollouts,
)
from camphorpath.edge.state import MAX_ANNOUNCEMENT_BYTES, DaemonState
from camphorpath.events import Event
from camphorpath.platform.revisions import make_revision
from camphorpath.platform.wire import MANIFEST_TABLE, STATUS_TABLE
from camphorpath.rollouts.records import Action, Advice, Phase, RolloutBounds, Tally
from camphorpath.rollouts.registry import Rollouts
from camphorpath.schema import camphorpath_pb2 as pb

from ..cluster.restored_store import RestorableStore
from ..cluster.test_follower import make_follower
from ..placement.test_ownership import make_upstream as make_other_upstream
from ..relay.support import make_context
from .fleet import Datagrams
from .test_state import SETTINGS

pytestmark = pytest.mark.anyio

ORDER = {'service': 'llm', 'to': 'v2', 'duration_s': 12}
KEY = 'rollout/llm'


@attrs.define
class ScriptedRollouts(Rollouts):
    """Orders of which the verdicts are given by the test."""

    action: Action | None = None

    def update(self, now, active_count):
        rollout = self.get('llm')
        if rollout is None or self.action is None or rollout.phase.is_final:
            return []
        if self.action is Action.REVERT:
            self.apply_phase('llm', rollout.order.revision, Phase.REVERTED, now)
        return [Advice(self.action, rollout.order, 'scripted')]


@pytest.fixture(autouse=True)
def _short_pauses(monkeypatch):
    monkeypatch.setattr('camphorpath.edge.rollouts.RETRY_DELAY_S', 0.001)
    monkeypatch.setattr('camphorpath.edge.rollouts.ELECTION_INTERVAL_S', 0)


@pytest.fixture
def store():
    store = RestorableStore()
    store.write_manifest(1)
    write_order(store)
    return store


def write_order(store, **fields):
    store.write(MANIFEST_TABLE, KEY, orjson.dumps({**ORDER, **fields}))


def make_sync(store, name='d1', action=None):
    settings = attrs.evolve(SETTINGS, name=name)
    state = DaemonState(
        settings=settings,
        incarnation=f'{name}-1',
        relay=make_context(()),
        members=Members(settings.host),
    )
    rollouts = ScriptedRollouts(RolloutBounds(0.1, 50, 5), action=action)
    sync = RolloutSync(rollouts, state, Datagrams(), store.connect())
    state.share_rollouts = sync.share_news
    return sync


async def read_orders(sync):
    """Apply a listing of the orders as the follower does."""
    follower, _applied = make_follower(sync.store)
    follower.on_orders = sync.apply_orders
    rows = await sync.store.read_table(MANIFEST_TABLE)
    sync.state.rows.apply_listing([], rows.revision, 0)
    follower._apply_manifest_listing(rows)


async def run_writer(sync):
    """Run the timer and the writer of a daemon for a while."""
    async with anyio.create_task_group() as group:
        group.start_soon(sync.write_phases)
        for _ in range(10):
            sync.update(read_lease_clock())
            await anyio.sleep(0.004)
        group.cancel_scope.cancel()


async def start(store, name='d1', action=None):
    """Return a daemon that has read the store and settled what it had to."""
    sync = make_sync(store, name, action)
    await sync.follow(lambda: read_orders(sync))
    await run_writer(sync)
    return sync


def get_phase(sync):
    return sync.rollouts.get('llm').phase


def get_stored(store):
    """Return the phase and the state that the store holds."""
    phase_row, version = store.data.rows[PHASE_TABLE, 'llm']
    status, status_version = store.data.rows[STATUS_TABLE, KEY]
    assert version == status_version
    return decode_row(phase_row).phase, orjson.loads(status)['runner_state']


def count_transactions(store):
    return sum(path.endswith('rows-tx') for path in store.calls)


def count_events(sync, event):
    records = sync.state.relay.events.select(pb.TimelineRequest())
    return sum(record.number == event for record in records)


def deliver(sender, receiver):
    """Deliver the announcements and one heartbeat of a daemon."""
    for sent in (*sender.heartbeats.sent, sender.state.make_heartbeat()):
        receiver.handle_news(pb.EdgeHeartbeat.FromString(sent.SerializeToString()))
    sender.heartbeats.sent.clear()


async def test_order_is_stored_and_reaches_daemons_that_do_not_poll(store):
    """Guards against an operator, or daemons, that learn late that an order is in progress."""
    writer, other = await start(store), make_sync(store, 'd2')
    assert get_stored(store) == (Phase.CANARY, 'in_progress')
    deliver(writer, other)
    assert other.rollouts.get('llm').order.version == 'v2'
    for action, phase in ((Action.MOVE, Phase.MOVING), (Action.COMPLETE, Phase.COMPLETED)):
        writer.rollouts.action = action
        await run_writer(writer)
        assert all(sent.ByteSize() < MAX_ANNOUNCEMENT_BYTES for sent in writer.heartbeats.sent)
        deliver(writer, other)
        assert get_phase(writer) is get_phase(other) is phase
    assert get_stored(store) == (Phase.COMPLETED, 'completed')
    await run_writer(writer)
    assert count_transactions(store) == 3


@pytest.mark.parametrize('action', [Action.COMPLETE, Action.REVERT])
async def test_writer_dies_between_its_transaction_and_its_announcement(store, action):
    """Guards against a `reverted` after a `completed`, on which the old runners stopped."""
    first = await start(store)
    second = await start(store, 'd2')
    first.rollouts.action = Action.COMPLETE
    await run_writer(first)
    second.rollouts.action = action
    await run_writer(second)
    assert get_phase(second) is Phase.COMPLETED
    assert get_stored(store) == (Phase.COMPLETED, 'completed')


def meet(*daemons):
    """Let daemons know each other, so that they elect a writer."""
    for sender in daemons:
        for receiver in daemons:
            if receiver is not sender:
                receiver.state.apply_heartbeat(sender.state.make_heartbeat())
    return sorted(daemons, key=lambda daemon: daemon.state.get_rank('rollouts'))


async def test_next_daemon_writes_if_the_writer_is_frozen(store, monkeypatch):
    """Guards against a phase that waits until a frozen writer counts as lost, or is repeated."""
    monkeypatch.setattr('camphorpath.edge.rollouts.BACKUP_DELAY_S', 0.01)
    daemons = meet(*[make_sync(store, name) for name in ('d1', 'd2', 'd3', 'd4')])
    for sync in daemons:
        await sync.follow(lambda sync=sync: read_orders(sync))
    writer, backup, *_others, last = daemons
    await run_writer(writer)
    for sync in daemons:
        sync.rollouts.action = Action.MOVE
    await run_writer(last)
    assert get_stored(store) == (Phase.CANARY, 'in_progress')
    await run_writer(backup)
    assert get_stored(store) == (Phase.MOVING, 'in_progress')
    await run_writer(writer)
    assert get_phase(writer) is Phase.MOVING
    assert store.data.rows[PHASE_TABLE, 'llm'][1] == 4


async def test_counts_are_sent_in_turn_if_they_are_too_long(store, monkeypatch):
    """Guards against heartbeats that do not fit in a datagram: their sender counts as lost."""
    upstreams = {f'i-{number:030}': 1 for number in range(20)}
    tallies = [
        Tally(
            service='llm',
            version='v2',
            route=f'r{number}',
            revision=1,
            answers=number,
            bad=0,
            slow=0,
            bad_by_upstream={},
            slow_by_upstream={},
            timed_by_upstream=upstreams,
        )
        for number in range(30)
    ]
    monkeypatch.setattr(ScriptedRollouts, 'share_tallies', lambda _self: tallies)
    sync = make_sync(store)
    await read_orders(sync)
    seen = set()
    for _ in range(10):
        (news,) = sync.share_news()
        assert 0 < news.ByteSize() < 2 * MAX_TALLY_BYTES
        seen.update(tally.route for tally in news.tallies)
    assert len(seen) == len(tallies)
    tallies[17] = attrs.evolve(tallies[17], bad=3)
    (news,) = sync.share_news()
    assert news.tallies[0].route == 'r17'


async def test_queued_heartbeats_show_no_contact_after_a_suspension(store, monkeypatch):
    """Guards against calls to a reverted version by a daemon that was frozen at the verdict."""
    heard = []
    monkeypatch.setattr(ScriptedRollouts, 'apply_tallies', lambda *given: heard.append(given))
    sender, frozen = await start(store), make_sync(store, 'd2')
    deliver(sender, frozen)
    assert heard
    heard.clear()
    frozen._updated_at -= 3
    deliver(sender, frozen)
    frozen.update(read_lease_clock())
    deliver(sender, frozen)
    assert not heard
    frozen._drained_at -= 1
    deliver(sender, frozen)
    assert heard


async def test_queued_phase_shows_no_contact_after_a_suspension(store):
    """Guards against calls to a reverted version because its earlier phase waited in the socket."""
    sender, frozen = await start(store), make_sync(store, 'd2')
    deliver(sender, frozen)
    exposure = frozen.rollouts._states['llm'].exposure
    exposure.heard_at -= 3
    before = exposure.heard_at
    frozen._updated_at -= 3
    sender.rollouts.action = Action.MOVE
    await run_writer(sender)
    deliver(sender, frozen)
    assert get_phase(frozen) is Phase.MOVING
    assert exposure.heard_at == before
    frozen._drained_at -= 1
    deliver(sender, frozen)
    assert exposure.heard_at > before


async def test_queued_order_shows_no_contact_after_a_suspension(store):
    """Guards against calls to a version that was reverted during the suspension of a daemon."""
    sender, frozen = await start(store), make_sync(store, 'd2')
    frozen._updated_at -= 3
    deliver(sender, frozen)
    exposure = frozen.rollouts._states['llm'].exposure
    exposure.active_count = 2
    assert exposure.is_cut_off(read_lease_clock())
    frozen._drained_at -= 1
    deliver(sender, frozen)
    assert not exposure.is_cut_off(read_lease_clock())


async def test_daemon_that_hears_late_of_an_order_adopts_its_age(store):
    """Guards against a time limit that counts from when a slow store delivered the order."""
    sender, late = make_sync(store), make_sync(store, 'd2')
    await read_orders(sender)
    order = attrs.evolve(sender._held['llm'].order, written_at=read_lease_clock() - 5)
    sender._held['llm'].order = order
    await read_orders(late)
    deliver(sender, late)
    known = late.rollouts.get('llm').order
    assert known is late._held['llm'].order is late.rollouts._states['llm'].exposure.order
    assert known.written_at == pytest.approx(order.written_at, abs=0.2)
    # A later one is that of a daemon that heard late itself; an odd one is nonsense.
    for written_at in (read_lease_clock(), read_lease_clock() - 1e6):
        sender._held['llm'].order = attrs.evolve(order, written_at=written_at)
        news = sender._encode_held(sender._held['llm'], read_lease_clock())
        late.handle_news(pb.EdgeHeartbeat(name='d1', incarnation='d1-1', rollouts=[news]))
        assert late.rollouts.get('llm').order is known


async def test_unknown_outcome_is_settled_by_reading_the_row(store):
    """Guards against a phase that is written twice, or not applied, after a lost answer."""
    sync = await start(store)
    store.lost_answers = 1
    sync.rollouts.action = Action.COMPLETE
    await run_writer(sync)
    assert not store.lost_answers
    assert get_phase(sync) is Phase.COMPLETED
    assert get_stored(store) == (Phase.COMPLETED, 'completed')
    assert count_transactions(store) == 2


async def test_other_final_phase_in_the_store_wins(store):
    """Guards against two daemons that take themselves for the writer and both write."""
    first, second = await start(store), await start(store, 'd2')
    first.rollouts.action = Action.REVERT
    await run_writer(first)
    second.rollouts.action = Action.COMPLETE
    await run_writer(second)
    assert get_phase(second) is Phase.REVERTED
    assert get_stored(store) == (Phase.REVERTED, 'reverted')
    assert count_events(second, Event.ROLLOUT_PHASE_REFUSED) == 1


async def test_verdict_while_the_store_is_away(store):
    """Guards against calls to a bad version until the store is back, and a verdict that is lost."""
    sync, other = await start(store), make_sync(store, 'd2')
    deliver(sync, other)
    store.is_down = True
    sync.rollouts.action = Action.REVERT
    await run_writer(sync)
    deliver(sync, other)
    assert get_phase(sync) is get_phase(other) is Phase.REVERTED
    assert get_stored(store) == (Phase.CANARY, 'in_progress')
    assert count_events(sync, Event.ROLLOUT_STORE_FAILED) == 1
    store.is_down = False
    await run_writer(sync)
    assert get_stored(store) == (Phase.REVERTED, 'reverted')


@pytest.mark.parametrize('action', [Action.COMPLETE, Action.REVERT])
@pytest.mark.parametrize('is_order_lost', [True, False])
async def test_store_is_restored_from_a_copy_with_an_older_phase(store, action, is_order_lost):
    """Guards against an order that begins anew after the operator was told of its end."""
    empty = RestorableStore().copy()
    sync, other = await start(store), make_sync(store, 'd3')
    await read_orders(other)
    old = empty if is_order_lost else store.copy()
    sync.rollouts.action = action
    await run_writer(sync)
    deliver(sync, other)
    phase, stored = get_phase(sync), get_stored(store)
    store.restore(old)
    sync.rollouts.action = None
    for daemon in (sync, other):
        await read_orders(daemon)
        assert (daemon.rollouts.get('llm') is None) is is_order_lost
    if is_order_lost:
        # The operator repeats what the store has lost.
        write_order(store)
        await read_orders(sync)
        await read_orders(other)
    await run_writer(sync)
    assert get_phase(sync) is get_phase(other) is phase
    assert get_stored(store) == stored
    started = await start(store, 'd2')
    assert get_phase(started) is phase
    # Within an era, the same content is another order.
    write_order(store)
    await read_orders(sync)
    assert get_phase(sync) is Phase.CANARY


async def test_writer_that_only_hears_of_the_restore_writes_again(store):
    """Guards against a lost phase, as the writer does not poll the orders."""
    sync = await start(store)
    old = store.copy()
    sync.rollouts.action = Action.REVERT
    await run_writer(sync)
    store.restore(old)
    sync.state.rows.apply_listing([], make_revision(2, store.data.version), 0)
    await run_writer(sync)
    assert get_stored(store) == (Phase.REVERTED, 'reverted')


async def test_final_phase_after_a_restore_is_never_replaced(store):
    """Guards against a status row with both outcomes in turn, each of which stops runners."""
    first, second = await start(store), await start(store, 'd2')
    old = store.copy()
    first.rollouts.action = Action.COMPLETE
    await run_writer(first)
    store.restore(old)
    second.rollouts.action = Action.REVERT
    for sync in (second, first):
        await read_orders(sync)
        await run_writer(sync)
    assert get_stored(store) == (Phase.REVERTED, 'reverted')


async def test_second_order_to_another_version_replaces_the_first(store):
    """Guards against a verdict on one version that is applied to, or stored for, the next one."""
    sync = await start(store, action=Action.REVERT)
    late = make_sync(store, 'd2')
    deliver(sync, late)
    sync.rollouts.action = None
    write_order(store, to='v3')
    await read_orders(sync)
    await run_writer(sync)
    assert get_stored(store) == (Phase.CANARY, 'in_progress')
    # The old order is news no more.
    deliver(late, sync)
    rollout = sync.rollouts.get('llm')
    assert (rollout.order.version, rollout.phase) == ('v3', Phase.CANARY)
    late.rollouts.action = Action.REVERT
    await run_writer(late)
    assert get_stored(store) == (Phase.CANARY, 'in_progress')


async def test_refused_write_of_one_order_does_not_stop_the_others(store):
    """Guards against orders that wait while the writer does not hear of another, newer one."""
    sync, late = await start(store), make_sync(store, 'd2')
    deliver(sync, late)
    write_order(store, to='v3')
    await read_orders(sync)
    await run_writer(sync)
    before = store.data.version
    order = orjson.dumps({**ORDER, 'service': 'chat'})
    store.write(MANIFEST_TABLE, 'rollout/chat', order)
    late.apply_orders(await late.store.read_changes(MANIFEST_TABLE, before, 0), False)
    await run_writer(late)
    assert decode_row(store.data.rows[PHASE_TABLE, 'chat'][0]).phase is Phase.CANARY
    assert get_stored(store) == (Phase.CANARY, 'in_progress')
    assert decode_row(store.data.rows[PHASE_TABLE, 'llm'][0]).order_id.version == 'v3'


@pytest.mark.parametrize('is_listing', [True, False])
async def test_removed_order_is_cancelled_everywhere(store, is_listing):
    """Guards against an order that daemons keep alive by passing it on."""
    sync, other, third = await start(store), make_sync(store, 'd2'), make_sync(store, 'd3')
    deliver(sync, other)
    before = store.data.version
    store.write(MANIFEST_TABLE, KEY, None)
    if is_listing:
        await read_orders(sync)
    else:
        sync.apply_orders(await sync.store.read_changes(MANIFEST_TABLE, before, 0), False)
    deliver(other, sync)
    deliver(sync, other)
    deliver(other, third)
    assert [daemon.rollouts.get('llm') for daemon in (sync, other, third)] == [None] * 3


async def test_unreadable_order_is_one_line_in_the_log(store):
    """Guards against bad input that ends an order in progress, or floods the log."""
    sync = await start(store)
    write_order(store, duration_s='soon')
    for _ in range(3):
        await read_orders(sync)
    store.data.rows[PHASE_TABLE, 'other'] = b'{}', 1
    await sync._read_rows()
    sync.handle_news(pb.EdgeHeartbeat(rollouts=[pb.RolloutNews(service='llm', phase=9)] * 2))
    assert get_phase(sync) is Phase.CANARY
    assert count_events(sync, Event.ROLLOUT_ORDER_INVALID) == 2
    assert count_events(sync, Event.ROLLOUT_NEWS_INVALID) == 1


async def test_daemon_that_starts_after_a_revert_never_sends_to_the_version(store):
    """Guards against calls to a bad version between the start of a daemon and its first read."""
    await start(store, action=Action.REVERT)
    started = make_sync(store, 'd2')
    store.is_down = True
    phases = []

    async def watch():
        await read_orders(started)
        # Without a pause: before any call is placed.
        phases.append(get_phase(started))

    async with anyio.create_task_group() as group:
        group.start_soon(started.follow, watch)
        await anyio.sleep(0.01)
        assert not started.is_informed
        store.is_down = False
    assert phases == [Phase.REVERTED]


def test_orders_are_ignored_without_limits(store):
    """Guards against a move in a deployment that did not ask for any."""
    state = make_sync(store).state
    follower, _applied = make_follower(store.connect())
    assert connect_rollouts(state, follower, Datagrams(), store.connect()) is None
    assert follower.on_orders is None


async def test_peers_that_stopped_are_told_from_a_cut(store):
    """Guards against the last daemon of a fleet that reverts its orders, or a cut off one."""
    sync = await start(store)
    members = sync.state.members
    beat = pb.EdgeHeartbeat(name='d2', incarnation='d2-1', host='10.0.0.2', interval=0.25)
    for sequence, stopping in ((1, False), (2, True)):
        beat = pb.EdgeHeartbeat.FromString(beat.SerializeToString())
        beat.sequence, beat.stopping = sequence, stopping
        members.observe(beat, sequence)
        members.expire(sequence + 10)
        sync.update(read_lease_clock())
        assert sync.rollouts.is_alone is stopping


@pytest.mark.parametrize('is_stored', [False, True])
async def test_daemon_that_starts_after_a_second_order_bars_the_first_version(store, is_stored):
    """Guards against calls to a reverted version from a daemon that never heard of its order."""
    sync = await start(store, action=Action.REVERT)
    sync.rollouts.action = None
    write_order(store, to='v3')
    if is_stored:
        await read_orders(sync)
        await run_writer(sync)
        assert decode_row(store.data.rows[PHASE_TABLE, 'llm'][0]).order_id.version == 'v3'
    started = make_sync(store, 'd2')
    await started.follow(lambda: read_orders(started))
    now = read_lease_clock()
    assert started.rollouts.get('llm').order.version == 'v3'
    assert started.rollouts.list_barred('llm', now)['v2'].is_reverted
    assert not started.rollouts.list_barred('llm', now + 100)


@pytest.mark.parametrize('version', ['v9', ''])
async def test_nonsense_revision_does_not_hide_later_orders(store, version):
    """Guards against orders that are ignored since a peer stated a revision of the far future."""
    sync = await start(store)
    for revision in (2**47, make_revision(9, 1)):
        news = pb.RolloutNews(
            service='llm', version=version, revision=revision, duration=12, phase=1
        )
        sync.handle_news(pb.EdgeHeartbeat(incarnation='d2-1', rollouts=[news]))
    write_order(store, to='v3')
    await read_orders(sync)
    assert sync.rollouts.get('llm').order.version == 'v3'
    assert count_events(sync, Event.ROLLOUT_NEWS_INVALID) == 1


async def test_bad_answers_are_told_before_the_next_heartbeat(store):
    """Guards against a verdict that waits for heartbeats while all calls go to a bad version."""
    sync, peer = await start(store), make_sync(store, 'd2')
    deliver(sync, peer)
    upstream = attrs.evolve(make_other_upstream(1), service='llm', software_version='v2')
    for is_bad in (False, True):
        sync.heartbeats.sent.clear()
        sync.rollouts.record_answer(upstream, 'draft', is_bad, None)
        for _ in range(2):
            sync.update(read_lease_clock())
        assert len(sync.heartbeats.sent) == is_bad
    peer.handle_news(sync.heartbeats.sent[0])
    assert peer.rollouts._states['llm'].evidence.count_target() == (2, 1)
