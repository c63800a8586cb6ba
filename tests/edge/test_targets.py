import orjson
import pytest

from camphorpath.edge.streams import REFRESH_INTERVAL_S, VERSION_INTERVAL_S, VERSION_TABLE
from camphorpath.edge.targets import FORGET_DELAY_S, TARGET_PART
from camphorpath.events import Event
from camphorpath.streams import ResumableServices, StreamPath
from camphorpath.streams.targets import decode_target

from ..streams.test_services import make_stream_route
from .test_stream_store import STORE_OFFSET_S, Daemon, FakeStore, clock

__all__ = ('clock',)

pytestmark = pytest.mark.anyio


@pytest.fixture
def store(clock):
    return FakeStore(clock)


def start_daemon(store, service='', **changes):
    """Return a daemon that reads and writes targets, with a manifest if a service is named."""
    daemon = Daemon(store, registered=set(), services=ResumableServices(), **changes)
    if service:
        apply(daemon, service)
    return daemon


def apply(daemon, *names):
    """Put a manifest in force whose route leads to some services."""
    daemon.services.apply_routes([make_stream_route('/s/', *names)], daemon.store.clock.now)


def list_rows(store):
    """Return when each target was dropped, on the lease clock; None if it was not."""
    targets = [
        decode_target(store.rows[VERSION_TABLE, TARGET_PART, key])
        for key in store.list_keys(VERSION_TABLE, TARGET_PART)
    ]
    return {
        target.service: None if target.dropped_s is None else target.dropped_s - STORE_OFFSET_S
        for target in targets
    }


def apply_prefixes(daemon, *prefixes):
    """Put a manifest in force with a route for each prefix; the prefix names the service, too."""
    routes = [make_stream_route(prefix, prefix) for prefix in prefixes]
    daemon.services.apply_routes(routes, daemon.store.clock.now)


def list_candidates(daemon, prefix='/s/x/'):
    return daemon.services.list_candidates(
        StreamPath('h', '/s/x/1', prefix), daemon.store.clock.now
    )


def list_dropped(daemon):
    return daemon.services.list_dropped(daemon.store.clock.now)


@pytest.mark.parametrize('is_applied_first', [False, True])
async def test_started_daemon_knows_the_service_that_its_route_left(store, is_applied_first):
    """Guards against a change of the manifest during a kill of all daemons."""
    await start_daemon(store, 'old').follow(3)
    assert list_rows(store) == {'old': None}
    started = start_daemon(store, 'new' if is_applied_first else '')
    await started.follow(3)
    apply(started, 'new')
    assert list_dropped(started) == {'old'}
    await started.follow(VERSION_INTERVAL_S + 0.5)
    rows = list_rows(store)
    assert sorted(rows) == ['new', 'old']
    assert rows['new'] is None
    assert rows['old'] is not None


async def test_targets_are_written_when_they_change_and_removed_when_no_stream_can_go_on(store):
    """Guards against rows that cost a write each second, or stay for good."""
    writer, other = start_daemon(store, 'old'), start_daemon(store, 'old', is_writer=False)
    await other.follow(1)
    await writer.follow(30)
    assert len(store.writes) == 1
    dropped_at = store.clock.now
    for daemon in (writer, other):
        apply(daemon, 'new')
    await writer.follow(20)
    assert list_rows(store) == {'old': pytest.approx(dropped_at), 'new': None}
    assert len(store.writes) == 2
    late = start_daemon(store, 'new', is_writer=False)
    await late.follow(1)
    assert list_dropped(late) == {'old'}
    await writer.follow(60)
    assert list_rows(store) == {'new': None}
    assert len(store.writes) == 3
    await other.follow(FORGET_DELAY_S)
    for daemon in (late, other):
        await daemon.follow(1)
        assert [target.service for target in daemon.services.list_targets()] == ['new']
    other.is_writer = True
    await other.follow(10)
    assert list_rows(store) == {'new': None}


async def test_targets_that_a_restore_of_the_store_lost_are_written_again(store):
    """Guards against a started daemon that misses the service of a stream after a restore."""
    store.era = 1
    daemon = start_daemon(store, 'old')
    await daemon.follow(3)
    apply(daemon, 'new')
    await daemon.follow(3)
    rows = list_rows(store)
    store.rows.clear()
    store.era = 2

    def restore_once():
        store.clock.on_advance = lambda: None
        daemon.restore()

    store.clock.on_advance = restore_once
    await daemon.follow(3)
    assert list_rows(store) == rows


async def test_targets_are_written_when_the_store_is_back(store):
    """Guards against a target that stays unknown, as its first write failed."""
    daemon = start_daemon(store, 'old')
    await daemon.follow(1)
    apply(daemon, 'new')
    for status in (429, 503, None):
        store.status = status
        await daemon.follow(3)
    store.status = 200
    await daemon.follow(1.5)
    assert sorted(list_rows(store)) == ['new', 'old']


async def test_unreadable_targets_are_ignored_and_logged(store):
    """Guards against a row of another writer that hides the others."""
    await start_daemon(store, 'old').follow(2)
    store.rows[VERSION_TABLE, TARGET_PART, 'odd'] = b'{}'
    started = start_daemon(store, 'new', is_writer=False)
    await started.follow(2)
    assert list_dropped(started) == {'old'}
    assert len(started.list_events(Event.STREAM_ROW_INVALID)) == 1


async def test_versions_are_not_complete_before_the_targets_are_read(store):
    """Guards against a take-up that goes on at the only version while targets are unknown."""
    store.refused_parts = frozenset({TARGET_PART})
    daemon = start_daemon(store, 'new')
    await daemon.follow(3)
    assert not daemon.streams.is_history_complete()
    store.refused_parts = frozenset()
    await daemon.follow(1.5)
    assert daemon.streams.is_history_complete()


async def test_many_targets_are_written_in_several_transactions(store):
    """Guards against a transaction that the store refuses."""
    daemon = start_daemon(store)
    apply(daemon, *(f'service-{number}' for number in range(250)))
    await daemon.follow(5)
    assert len(list_rows(store)) == 250
    assert len(store.writes) == 3


async def test_era_is_stated_once_all_targets_are_written(store):
    """Guards against a started daemon that takes the targets of a copy for all."""
    store.era = 1
    writer = start_daemon(store)
    writer.registered.add(('llm', 'v1'))
    apply(writer, *(f'service-{number}' for number in range(150)))
    await writer.follow(5)
    store.rows.clear()
    store.era = 2

    def restore_once():
        store.clock.on_advance = lambda: None
        writer.restore()

    store.clock.on_advance = restore_once
    begun_at = store.clock.now
    late = None
    while late is None or not late.streams.is_history_complete():
        await writer.follow(1)
        late = start_daemon(store, is_writer=False)
        await late.follow(0.1)
    assert len(late.services.list_targets()) == 150
    assert store.clock.now - begun_at < 2 * REFRESH_INTERVAL_S


async def test_versions_are_written_while_targets_cannot_be(store):
    """Guards against versions that stay unknown, as the store refuses a row of a target."""
    daemon = start_daemon(store, 'llm')
    daemon.registered.add(('llm', 'v1'))

    def refuse():
        _at, body = store.writes[-1]
        store.status = 413 if body['write'][0]['part'] == TARGET_PART else 200

    store.on_write = refuse
    store.clock.on_advance = lambda: setattr(store, 'status', 200)
    await daemon.follow(3)
    assert ('llm', 'v1') in store.list_versions()
    assert not list_rows(store)
    assert len(daemon.list_events(Event.STREAM_STORE_FAILED)) == 1


@pytest.mark.parametrize('is_applied_first', [False, True])
async def test_started_daemon_knows_that_a_route_was_added(store, is_applied_first):
    """Guards against a longer prefix that was added during a kill of all daemons."""
    writer = start_daemon(store)
    apply_prefixes(writer, '/s/')
    await writer.follow(60)
    started = start_daemon(store)
    for is_due in (is_applied_first, True):
        if is_due:
            apply_prefixes(started, '/s/', '/s/x/')
        await started.follow(3)
    added_at = store.clock.now
    assert list_candidates(started) is None
    assert list_candidates(started, '/s/') == {'/s/'}
    late = start_daemon(store, is_writer=False)
    apply_prefixes(late, '/s/', '/s/x/')
    await late.follow(3)
    assert list_candidates(late) is None
    horizon_s = late.services.get_horizon_s('/s/')
    await late.follow(added_at + horizon_s - store.clock.now)
    last = start_daemon(store)
    apply_prefixes(last, '/s/', '/s/x/')
    await last.follow(3)
    for daemon in (late, last):
        assert list_candidates(daemon) == {'/s/x/'}
        assert not daemon.services.is_shared('/s/', store.clock.now)


@pytest.mark.parametrize('is_applied_first', [False, True])
async def test_first_manifest_makes_no_service_ambiguous(store, is_applied_first):
    """Guards against records of all streams after the first start, and after the next ones."""
    for is_writer in (True, False):
        daemon = start_daemon(store, is_writer=is_writer)
        for is_due in (is_applied_first, True):
            if is_due:
                apply_prefixes(daemon, '/s/', '/s/x/')
            await daemon.follow(2)
        assert list_candidates(daemon) == {'/s/x/'}
        assert not daemon.services.is_shared('/s/', store.clock.now)


async def test_manifest_after_a_start_without_rows_of_targets_adds_routes(store):
    """Guards against daemons that ran without resumable routes and count as new."""
    first = start_daemon(store)
    first.registered.add(('llm', 'v1'))
    await first.follow(3)
    daemon = start_daemon(store)
    apply_prefixes(daemon, '/s/')
    await daemon.follow(3)
    assert list_candidates(daemon, '/s/') is None


async def test_started_daemon_takes_the_time_of_a_route_from_a_row_that_is_written_later(store):
    """Guards against a daemon that counts a route as new for longer than the others."""
    writer, started = start_daemon(store), start_daemon(store, is_writer=False)
    writer.registered.add(('llm', 'v1'))
    await writer.follow(3)
    apply_prefixes(writer, '/s/')
    apply_prefixes(started, '/s/')
    await started.follow(2)
    assert started.services.has_unconfirmed
    await writer.follow(2)
    await started.follow(2)
    assert not started.services.has_unconfirmed
    assert started.services.list_targets() == writer.services.list_targets()


async def test_route_that_was_removed_and_added_between_two_updates_is_written(store):
    """Guards against a row that tells a started daemon that the route was there all along."""
    writer = start_daemon(store)
    apply_prefixes(writer, '/s/', '/s/x/')
    await writer.follow(60)
    apply_prefixes(writer, '/s/')
    apply_prefixes(writer, '/s/', '/s/x/')
    await writer.follow(3)
    started = start_daemon(store)
    apply_prefixes(started, '/s/', '/s/x/')
    await started.follow(1)
    assert list_candidates(started) is None
    assert len(store.writes) == 2


async def test_rows_of_an_older_build_are_completed_once(store):
    """Guards against rows that never state since when a route is resumable."""
    await start_daemon(store, 'llm').follow(2)
    for place, content in store.rows.items():
        document = orjson.loads(content)
        document.pop('since_ms')
        store.rows[place] = orjson.dumps(document)
    daemon = start_daemon(store, 'llm')
    await daemon.follow(30)
    assert len(store.writes) == 2
    started = start_daemon(store, 'llm')
    await started.follow(30)
    assert list_candidates(started, '/s/') == {'llm'}
    assert len(store.writes) == 2


async def test_two_daemons_do_not_rewrite_the_row_of_the_other_one(store):
    """Guards against writes that go on, as daemons put a manifest in force one after the other."""
    daemons = [start_daemon(store), start_daemon(store)]
    for daemon in daemons:
        await daemon.follow(3)
    for daemon in daemons:
        apply(daemon, 'llm')
        await daemon.follow(3)
    count = len(store.writes)
    for _ in range(3):
        for daemon in daemons:
            await daemon.follow(3)
            await daemon.streams.read_targets()
    assert len(store.writes) == count


async def test_started_daemon_knows_that_a_route_without_resumption_was_removed(store):
    """Guards against a stream of a removed route that goes on at the one of a shorter prefix."""
    routes = [
        make_stream_route('/s/', 'llm'),
        make_stream_route('/s/x/', 'other', is_resumable=False),
    ]
    writer = start_daemon(store)
    writer.services.apply_routes(routes, store.clock.now)
    await writer.follow(60)
    # All daemons were killed, and the manifest was changed before they started again.
    started = start_daemon(store)
    started.services.apply_routes(routes[:1], store.clock.now)
    await started.follow(1)
    assert list_candidates(started, '/s/') != {'llm'}
