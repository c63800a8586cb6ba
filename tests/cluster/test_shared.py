import pytest

from camphorpath.cluster.shared import SharedRows
from camphorpath.errors import PeerError
from camphorpath.schema import camphorpath_pb2 as pb


class ObservedRows:
    """Shared rows, and the changes that they reported."""

    def __init__(self):
        self.changes = []
        self.rows = SharedRows(
            lambda content, revision: self.changes.append((content, revision)),
            lambda key, content, revision: self.changes.append((key, content, revision)),
        )


def make_row(key, revision, content=b'x', *, removed=False):
    return pb.SharedRow(key=key, content=content, revision=revision, removed=removed)


def test_older_rows_are_ignored():
    """Guards against a manifest or an upstream that reverts to an older revision."""
    observed = ObservedRows()
    observed.rows.apply_manifest(b'new', 5)
    observed.rows.apply_manifest(b'old', 4)
    observed.rows.apply_upstream(make_row('a', 7), 0)
    observed.rows.apply_upstream(make_row('a', 6, removed=True), 0)
    assert observed.changes == [(b'new', 5), ('a', b'x', 7)]


def test_listing_removes_missing_rows():
    """Guards against keeping upstreams whose removal is no longer in the history of the store."""
    observed = ObservedRows()
    observed.rows.apply_listing([make_row('a', 1), make_row('b', 2)], 2, 0)
    observed.rows.apply_listing([make_row('b', 2)], 9, 1)
    assert observed.changes[-1] == ('a', None, 9)
    assert observed.rows.upstreams_revision == 9


def test_peer_that_is_behind_gets_the_missing_changes():
    """Guards against calls to a removed upstream by a daemon that cannot reach the store."""
    ahead, behind = ObservedRows(), ObservedRows()
    ahead.rows.apply_manifest(b'm', 3)
    ahead.rows.apply_upstream(make_row('a', 4), 0)
    ahead.rows.advance_revision(4)
    behind.rows.apply_state(ahead.rows.collect_since(0, 0), 0)
    ahead.rows.apply_upstream(make_row('a', 6, removed=True), 1)
    ahead.rows.advance_revision(6)
    state = ahead.rows.collect_since(3, 4)
    assert not state.HasField('manifest')
    behind.rows.apply_state(state, 1)
    assert behind.changes == [(b'm', 3), ('a', b'x', 4), ('a', None, 6)]


def test_old_removals_are_discarded():
    """Guards against memory use that grows with each upstream that ever existed."""
    observed = ObservedRows()
    observed.rows.apply_upstream(make_row('a', 1), 0)
    observed.rows.apply_upstream(make_row('a', 2, removed=True), 1)
    observed.rows.expire(1000)
    assert not observed.rows.upstreams


def test_peer_that_was_away_for_long_gets_a_listing():
    """Guards against calls to an upstream whose removal was discarded before a daemon got it."""
    ahead, behind = ObservedRows(), ObservedRows()
    for observed in (ahead, behind):
        observed.rows.apply_listing([make_row('a', 1), make_row('b', 1)], 1, 0)
    ahead.rows.apply_upstream(make_row('a', 2, removed=True), 1)
    ahead.rows.advance_revision(2)
    ahead.rows.expire(1000)
    behind.rows.apply_state(ahead.rows.collect_since(0, 1), 1000)
    assert behind.changes[-1] == ('a', None, 2)
    assert not ahead.rows.collect_since(0, 2).upstreams


@pytest.mark.parametrize('is_announced', [False, True])
def test_unreadable_manifest_does_not_prevent_upstream_changes(is_announced):
    """Guards against calls to a removed upstream due to a corrupt manifest beside its row."""
    observed = ObservedRows()
    observed.rows.apply_listing([make_row('a', 1)], 1, 0)
    state = pb.SharedState(upstreams=[make_row('a', 2, removed=True)], upstreams_revision=2)
    state.manifest.revision = 5
    state.manifest.packed = b'no deflate stream'
    with pytest.raises(PeerError):
        if is_announced:
            observed.rows.apply_announced_rows(state, 1, 1)
        else:
            observed.rows.apply_state(state, 1)
    assert observed.changes[-1] == ('a', None, 2)
    assert observed.rows.upstreams_revision == 2


def test_outdated_rows_and_manifests_are_reported():
    """Guards against a log that does not tell why a change of the store is not in force."""
    observed = ObservedRows()
    reported = []
    observed.rows.on_outdated_manifest = lambda *manifest: reported.append(manifest)
    observed.rows.on_outdated_upstreams = reported.append
    observed.rows.apply_manifest(b'new', 5)
    observed.rows.apply_changes([make_row('a', 7)], 7, 0)
    for _ in range(2):
        observed.rows.apply_manifest(b'new', 5)
        observed.rows.apply_changes([make_row('a', 7)], 7, 0)
    observed.rows.apply_manifest(b'old', 4)
    observed.rows.apply_changes([make_row('a', 6)], 7, 0)
    assert reported == [(0, 4), 1]


def list_live(observed):
    return {key for key, row in observed.rows.upstreams.items() if not row.removed}


def test_peer_that_started_after_a_removal_does_not_hide_it():
    """Guards against calls to an upstream that left while a daemon was cut off from its peers.

    The peers were restarted meanwhile and have listed the table without the removed row.
    """
    restarted, behind = ObservedRows(), ObservedRows()
    behind.rows.apply_listing([make_row('a', 1), make_row('b', 2)], 2, 0)
    restarted.rows.apply_listing([make_row('b', 2)], 9, 0)
    behind.rows.apply_state(restarted.rows.collect_since(0, 2), 0)
    assert list_live(behind) == {'b'}


def test_announcement_after_a_gap_of_the_history_does_not_hide_a_removal():
    """Guards against calls to a removed upstream that the announcing daemon has never known."""
    announcer, behind = ObservedRows(), ObservedRows()
    announcer.rows.apply_listing([make_row('b', 2)], 2, 0)
    behind.rows.apply_listing([make_row('a', 3), make_row('b', 2)], 3, 0)
    announcer.rows.apply_listing([make_row('b', 2), make_row('c', 8)], 9, 1)
    behind.rows.apply_announced_rows(announcer.rows.collect_since(0, 2), 2, 1)
    assert list_live(behind) == {'b', 'c'}
    assert behind.rows.upstreams_revision == 9


@pytest.mark.parametrize('way', ['apply_changes', 'apply_announced_rows', 'apply_upstream'])
def test_late_row_does_not_bring_back_a_removed_upstream(way):
    """Guards against calls to a removed upstream after a late answer of a peer that lags."""
    observed = ObservedRows()
    reported = []
    observed.rows.on_outdated_upstreams = reported.append
    observed.rows.apply_listing([make_row('b', 2)], 9, 0)
    row = make_row('a', 4)
    arguments = {
        'apply_changes': ([row], 5, 1),
        'apply_announced_rows': (pb.SharedState(upstreams=[row], upstreams_revision=5), 3, 1),
        'apply_upstream': (row, 1),
    }
    getattr(observed.rows, way)(*arguments[way])
    assert list_live(observed) == {'b'}
    assert reported == ([] if way == 'apply_upstream' else [1])


@pytest.mark.parametrize('is_announced', [True, False])
def test_late_row_does_not_bring_back_an_upstream_that_was_removed_twice(is_announced):
    """Guards against a row of between two removals, of which a listing hides the second one."""
    observed = ObservedRows()
    observed.rows.apply_listing([make_row('a', 1), make_row('b', 2)], 2, 0)
    observed.rows.apply_changes([make_row('a', 5, removed=True)], 5, 1)
    observed.rows.apply_listing([make_row('b', 2)], 20, 2)
    changes = list(observed.changes)
    late = make_row('a', 10)
    if is_announced:
        state = pb.SharedState(upstreams=[late], upstreams_revision=10)
        observed.rows.apply_announced_rows(state, 9, 3)
    else:
        assert not observed.rows.apply_upstream(late, 3)
    assert observed.changes == changes
    observed.rows.apply_changes([make_row('a', 21)], 21, 4)
    assert observed.changes[-1] == ('a', b'x', 21)


def test_listing_of_a_peer_tells_the_removals_that_it_knows():
    """Guards against whole listings for all daemons that are behind after a few restarts."""
    old, restarted, behind = ObservedRows(), ObservedRows(), ObservedRows()
    for observed in (old, behind):
        observed.rows.apply_listing([make_row('a', 1), make_row('b', 1)], 1, 0)
    old.rows.apply_changes([make_row('a', 5, removed=True)], 5, 1)
    restarted.rows.apply_state(old.rows.collect_since(0, 0), 2)
    assert list_live(restarted) == {'b'}
    assert restarted.rows.complete_since == 1
    state = restarted.rows.collect_since(0, 1)
    assert not state.is_listing
    behind.rows.apply_state(state, 3)
    assert list_live(behind) == {'b'}


def test_listing_of_an_older_build_tells_no_removals():
    """Guards against a claim to know all changes that rests on a peer that does not make it."""
    observed = ObservedRows()
    state = pb.SharedState(is_listing=True, upstreams=[make_row('b', 2)], upstreams_revision=9)
    observed.rows.apply_state(state, 0)
    assert observed.rows.collect_since(0, 8).is_listing
    assert not observed.rows.collect_since(0, 9).is_listing
