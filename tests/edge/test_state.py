import anyio
import attrs
import orjson
import pytest
from loguru import logger

from camphorpath.clocks import read_lease_clock
from camphorpath.cluster.members import Members
from camphorpath.edge.daemon import build_edge
from camphorpath.edge.settings import Bounds, EdgeSettings
from camphorpath.edge.state import MAX_ANNOUNCEMENT_BYTES, DaemonState
from camphorpath.placement.ownership import Assignment
from camphorpath.placement.scheduler import Scheduler
from camphorpath.platform.revisions import make_revision
from camphorpath.schema import camphorpath_pb2 as pb

from ..cluster.test_members import make_heartbeat
from ..placement.test_ownership import make_upstream
from ..relay.support import make_context

BOUNDS = Bounds(
    stop_limit_s=8,
    max_address_ttl_s=5,
    retry_ratio=0.2,
    retry_window_s=10,
    retry_allowance=56,
    quota_window_s=8,
    quota_overshoot=0.1,
    quota_allowance=1000,
)
SETTINGS = EdgeSettings(
    name='me',
    zone='a',
    region='r',
    regions={'a': 'r'},
    host='10.0.0.1',
    callers_address='10.0.0.1:1',
    ready_address='10.0.0.1:2',
    directory_address='10.0.0.1:3',
    control_address='10.0.0.1:4',
    heartbeat_port=5,
    seeds=(),
    is_first_start=True,
    cores=1,
    store_url='http://10.0.0.9:1',
    bounds=BOUNDS,
)


@pytest.fixture
def state():
    return DaemonState(
        settings=SETTINGS,
        incarnation='me-1',
        relay=make_context(()),
        members=Members(SETTINGS.host),
    )


def test_late_heartbeat_of_a_replaced_process_is_ignored(state):
    """Guards against lending slots to a process that has been replaced by a new one."""
    state.apply_heartbeat(make_heartbeat(incarnation='old', host='10.0.0.2'))
    state.apply_heartbeat(make_heartbeat(incarnation='new', host='10.0.0.2'))
    late = make_heartbeat(incarnation='old', host='10.0.0.2', sequence=9, waiting={'llm': 3})
    state.apply_heartbeat(late)
    assert state.members.known['d1'].heartbeat.incarnation == 'new'
    scheduler = state.relay.scheduler
    scheduler.set_upstreams([make_upstream(1)], Assignment({}, {'i-1': 'me'}))
    assert not scheduler.report_loads(1, 0)['i-1'].borrower


def test_long_announcement_carries_the_revisions_only(state):
    """Guards against one daemon that sends a long manifest to the whole fleet over its link."""
    changes = pb.SharedState(manifest=pb.PackedManifest(packed=b'x' * 2000, revision=7))
    state.rows.apply_manifest(b'x', 7)
    heartbeat = state.make_announcement(changes, 0)
    assert heartbeat.ByteSize() <= MAX_ANNOUNCEMENT_BYTES
    assert heartbeat.HasField('news')
    assert heartbeat.manifest_revision == 7


def test_leaving_upstream_is_reported_once(state):
    """Guards against daemons that announce the same leaving upstream to each other endlessly."""
    state.view.put(attrs.evolve(make_upstream(1), incarnation=3))
    assert state.mark_leaving('i-1', 3, 'answer')
    assert not state.mark_leaving('i-1', 3, 'd1')


@pytest.fixture
def assignments(monkeypatch):
    """Return a list of the assignments that are passed to the scheduler."""
    passed = []
    set_upstreams = Scheduler.set_upstreams

    def record(scheduler, upstreams, assignment):
        passed.append(assignment)
        set_upstreams(scheduler, upstreams, assignment)

    monkeypatch.setattr(Scheduler, 'set_upstreams', record)
    return passed


def make_rows(count, revision=1, runner_state='ready'):
    rows = []
    for number in range(count):
        document = {
            'runner_state': runner_state,
            'service': 'llm',
            'address': f'10.0.1.{number}:80',
            'zone': 'a',
            'slot_count': 2,
        }
        content = orjson.dumps(document)
        rows.append(pb.SharedRow(key=f'i-{number}', content=content, revision=revision))
    return rows


def apply_listing(state, rows):
    state.rows.apply_listing(rows, 9, 0)


def apply_changes(state, rows):
    state.rows.apply_changes(rows, 9, 0)


def apply_state(state, rows):
    state.rows.apply_state(pb.SharedState(upstreams=rows, upstreams_revision=9), 0)


def apply_announced_rows(state, rows):
    state.rows.apply_announced_rows(pb.SharedState(upstreams=rows, upstreams_revision=9), 0, 0)


@pytest.mark.parametrize('apply', [apply_listing, apply_changes, apply_state, apply_announced_rows])
def test_rows_of_one_batch_are_assigned_once(state, assignments, apply):
    """Guards against a listing that causes one assignment per row."""
    state.apply_heartbeat(make_heartbeat(host='10.0.0.2'))
    assignments.clear()
    apply(state, make_rows(50))
    assert len(assignments) == 1
    owners = {slots.owner for slots in state.relay.scheduler.slots.values()}
    assert (len(state.relay.scheduler.slots), owners) == (50, {'d1'})
    apply(state, make_rows(50, revision=2, runner_state='draining'))
    assert len(assignments) == 2
    assert all(slots.upstream.is_leaving for slots in state.relay.scheduler.slots.values())


def test_unchanged_rows_cause_no_assignment(state, assignments):
    """Guards against assignments for entries that are rewritten with the same content."""
    apply_listing(state, make_rows(50))
    assignments.clear()
    apply_changes(state, make_rows(50, revision=2))
    assert not assignments


def test_upstreams_of_removed_and_unreadable_rows_are_removed_at_once(state):
    """Guards against calls to an upstream whose entry was removed or made invalid."""
    apply_listing(state, make_rows(3))
    state.rows.apply_upstream(pb.SharedRow(key='i-0', revision=2, removed=True), 0)
    state.rows.apply_upstream(pb.SharedRow(key='i-1', revision=2, content=b'{'), 0)
    assert set(state.relay.scheduler.slots) == {'i-2'}


def test_members_that_change_no_owner_cause_no_assignment(state, assignments):
    """Guards against an assignment for each daemon that joins a large fleet or restarts."""
    apply_listing(state, make_rows(3))
    state.apply_heartbeat(make_heartbeat(name='d1', host='10.0.0.2', cores=2))
    assignments.clear()
    for number in range(3, 9):
        name = f'd{number}'
        state.apply_heartbeat(make_heartbeat(name=name, host=f'10.0.0.{number}', ready=False))
        state.apply_heartbeat(make_heartbeat(name=name, host=f'10.0.0.{number}', sequence=2))
        state.apply_heartbeat(make_heartbeat(name=name, host=f'10.0.0.{number}', incarnation='2'))
    assert not assignments
    state.apply_heartbeat(
        make_heartbeat(name='d1', host='10.0.0.2', cores=2, sequence=2, stopping=True)
    )
    assert len(assignments) == 1
    assert state.relay.scheduler.slots['i-0'].owner not in {'', 'd1'}


@pytest.mark.parametrize(('stop_limit_s', 'retry_window_s'), [(8, 10), (30, 60)])
def test_retry_allowance_is_shared_by_daemons_that_may_send_retries(stop_limit_s, retry_window_s):
    """Guards against daemons that keep their share of the allowance after they stopped for good.

    A daemon that is cut off keeps its share, and one that stopped keeps it until its retries no
    longer count.
    """
    bounds = attrs.evolve(BOUNDS, stop_limit_s=stop_limit_s, retry_window_s=retry_window_s)
    settings = attrs.evolve(SETTINGS, host='127.0.0.1', heartbeat_port=0, bounds=bounds)
    daemon = build_edge(settings)
    members = daemon.state.members
    members.observe(make_heartbeat('cut', host='10.0.0.2'), 100)
    members.observe(make_heartbeat('stopped', host='10.0.0.3', stopping=True), 100)
    before = daemon.state.compute_budget_share()
    members.expire(99 + stop_limit_s + retry_window_s)
    assert daemon.state.compute_budget_share() == before
    members.expire(101 + stop_limit_s + retry_window_s)
    assert daemon.state.compute_budget_share() == pytest.approx(before * 3 / 2)
    anyio.run(daemon.close)


def test_announcement_reports_the_current_store_age():
    """Guards against an announcement with the age of the last heartbeat: a peer would count an old
    manifest as confirmed.
    """

    async def test():
        daemon = build_edge(attrs.evolve(SETTINGS, host='127.0.0.1', heartbeat_port=0))
        for age_s in (30.0, 2.0):
            daemon.follower.record_peer(pb.EdgeHeartbeat(store_age=age_s), '10.0.0.2:1')
            reported_s = daemon.state.make_announcement(pb.SharedState(), 0).store_age
            assert reported_s == pytest.approx(age_s, abs=0.5)
        await daemon.close()

    anyio.run(test)


def test_limit_that_a_peer_reports_is_logged_when_it_begins_and_ends(state):
    """Guards against a line in the log of every daemon for each rate that an upstream states."""
    records = []
    handler = logger.add(lambda message: records.append(message.record))
    state.apply_heartbeat(make_heartbeat(host='10.0.0.2'))
    state.relay.scheduler.set_upstreams([make_upstream(1)], Assignment({}, {'i-1': 'd1'}))
    for sequence, per_s in enumerate([1.5, 1.4, 1.3, 0], start=2):
        load = pb.UpstreamLoad(upstream='i-1', rate_statement=pb.RateStatement(per_s=per_s))
        heartbeat = make_heartbeat(sequence=sequence, host='10.0.0.2', loads=[load])
        state.apply_heartbeat(heartbeat)
    logger.remove(handler)
    lines = [record['extra'] for record in records if record['message'] == 'upstream_limited']
    assert [(line['rate'], line['source']) for line in lines] == [('1.5', 'd1'), ('inf', 'd1')]


def make_entry(sequence, revision, runner_state='ready'):
    """Return the row of an upstream that says of itself that it started once."""
    row = make_rows(1, revision, runner_state)[0]
    document = {**orjson.loads(row.content), 'born': 1000, 'sequence': sequence}
    row.content = orjson.dumps(document)
    return row


@pytest.mark.parametrize('is_lost', [True, False])
def test_store_that_confirms_the_state_is_not_lost(state, is_lost):
    """Guards against calls to upstreams that left, as a daemon that is cut off has no store.

    In a large fleet most daemons state for seconds that they reach a store that is lost.
    """
    state.read_store_age = lambda: 4 if is_lost else 0.5
    entries = [
        pb.SharedRow(key=f'i-{number}', content=make_entry(1, 1).content, revision=1)
        for number in range(3)
    ]
    state.rows.apply_listing(entries, 1, read_lease_clock())
    for number in range(9):
        state.apply_heartbeat(make_heartbeat(f'd{number}', f'd{number}-1', store_up=True))
    state.apply_heartbeat(make_heartbeat('d9', 'd9-1', store_up=False))
    for number in range(2):
        removed = pb.SharedRow(key=f'i-{number}', revision=2 + number, removed=True)
        state.rows.apply_changes([removed], 2 + number, read_lease_clock())
    assert len(state.view.all()) == (3 if is_lost else 1)


def test_entries_of_a_copy_of_the_store_do_not_replace_newer_ones(state):
    """Guards against calls to upstreams that left after the copy from which a store came back."""
    state.rows.apply_listing([make_entry(1, 14)], 20, 0)
    state.rows.apply_changes([make_entry(33, 23, 'draining')], 23, 1)
    restored_at = make_revision(2, 21)
    state.rows.apply_listing([make_entry(1, make_revision(2, 14))], restored_at, 2)
    assert [upstream.is_leaving for upstream in state.view.all()] == [True]
    removed = pb.SharedRow(key='i-0', revision=restored_at + 1, removed=True)
    state.rows.apply_changes([removed], restored_at + 1, 3)
    state.rows.apply_listing([make_entry(1, make_revision(3, 14))], make_revision(3, 21), 4)
    assert not state.view.all()
    state.rows.apply_changes([make_entry(36, make_revision(3, 22))], make_revision(3, 22), 5)
    assert len(state.view.all()) == 1


def test_unreadable_row_of_a_lapsed_upstream_that_leaves_ends_no_daemon(state):
    """Guards against a deadline that outlives the entry of its upstream."""
    now = read_lease_clock()
    restored_at = make_revision(2, 10)
    state.rows.apply_listing([make_entry(1, 14)], 20, now)
    state.rows.apply_listing([], restored_at, now)
    state.mark_leaving('i-0', 1000, 'peer')
    unreadable = pb.SharedRow(key='i-0', content=b'{}', revision=restored_at + 1)
    state.rows.apply_changes([unreadable], restored_at + 1, now)
    assert not state.view.all()


def test_peers_are_told_the_version_of_the_manifest(state):
    """Guards against daemons that take an older manifest of a restored store for a newer one."""
    content = orjson.dumps({'version': 15, 'routes': [], 'services': []})
    state.rows.apply_manifest(content, 10)
    assert state.make_heartbeat().manifest_version == 15
    assert state.make_announcement(pb.SharedState(), 0).manifest_version == 15
