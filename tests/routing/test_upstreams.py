import attrs

from camphorpath.routing import UpstreamView

from ..placement.test_ownership import make_upstream


def make_view(count):
    view = UpstreamView()
    for number in range(count):
        view.put(make_upstream(number))
    return view


def list_ids(view):
    return {upstream.upstream_id for upstream in view.all()}


def test_single_removed_upstream_is_gone_at_once():
    """Guards against calls to a stopped upstream after a daemon had no store for a long time."""
    view = make_view(9)
    view.mark_store_unstable(0)
    assert view.remove('i-1', 0.5)
    assert 'i-1' not in list_ids(view)


def test_entries_that_lapse_together_are_kept():
    """Guards against a service without upstreams after an outage of the store."""
    view = make_view(6)
    view.mark_store_unstable(0)
    for number in range(6):
        view.remove(f'i-{number}', 0.1)
    assert len(list_ids(view)) == 6
    view.put(make_upstream(1))
    assert len(view.expire(2.2)) == 5
    assert list_ids(view) == {'i-1'}


def test_entries_that_lapse_one_after_the_other_are_kept_until_each_had_its_time():
    """Guards against calls to an upstream that left, as others were removed later."""
    view = make_view(3)
    view.mark_store_unstable(0)
    assert view.remove('i-0', 0.1)
    assert not view.remove('i-1', 0.95)
    assert list_ids(view) == {'i-0', 'i-1', 'i-2'}
    assert view.expire(2.1) == ['i-0']
    assert view.expire(2.95) == ['i-1']


def test_upstream_that_said_that_it_leaves_does_not_come_back():
    """Guards against calls to an upstream that said in an answer that it leaves."""
    view = make_view(3)
    view.mark_store_unstable(0)
    view.remove('i-0', 0.1)
    view.mark_leaving('i-0', 0)
    view.remove('i-1', 0.2)
    view.remove('i-2', 0.2)
    assert list_ids(view) == {'i-1', 'i-2'}


def test_lapsed_entries_are_not_kept_while_the_store_is_stable():
    """Guards against calls to upstreams that were all removed at once on purpose."""
    view = make_view(4)
    for number in range(4):
        assert view.remove(f'i-{number}', 10)
    assert not list_ids(view)


def test_ready_entry_does_not_undo_announced_leaving():
    """Guards against calls to a leaving upstream whose store entry still says ready."""
    view = UpstreamView()
    view.put(make_upstream(1))
    assert view.mark_leaving('i-1', 0)
    view.put(make_upstream(1))
    assert view.all()[0].is_leaving
    view.put(attrs.evolve(make_upstream(1), incarnation=7))
    assert not view.all()[0].is_leaving


def make_statement(sequence, *, incarnation=1000, is_leaving=False):
    """Return what an upstream wrote of itself, in the order of `sequence`."""
    return attrs.evolve(
        make_upstream(1), sequence=sequence, incarnation=incarnation, is_leaving=is_leaving
    )


def test_leaving_entry_is_not_undone_by_a_copy_of_the_store():
    """Guards against calls to a leaving upstream as the store holds an older entry again."""
    view = UpstreamView()
    view.put(make_statement(1))
    view.put(make_statement(33, is_leaving=True))
    view.mark_restored(40)
    assert not view.put(make_statement(1))
    assert view.all()[0].is_leaving


def test_leaving_entry_is_not_undone_by_the_same_incarnation():
    """Guards against calls to a leaving upstream after a late write of its earlier state."""
    view = UpstreamView()
    view.put(make_statement(33, is_leaving=True))
    view.put(make_statement(1))
    assert view.all()[0].is_leaving
    view.put(make_statement(1, incarnation=2000))
    assert not view.all()[0].is_leaving


def test_removed_entry_in_a_copy_of_the_store_stays_gone():
    """Guards against calls to an upstream that has exited, as the store holds its entry again."""
    view = UpstreamView()
    view.put(make_statement(1))
    view.remove('i-1', 30)
    view.mark_restored(40)
    assert view.is_outdated(make_statement(1))
    assert not view.put(make_statement(1))
    assert not view.all()


def test_removed_entry_that_is_written_again_after_a_restore_is_used():
    """Guards against an upstream that gets no calls, as its entry had lapsed before a restore."""
    view = UpstreamView()
    view.put(make_statement(1))
    view.remove('i-1', 30)
    view.mark_restored(40)
    assert view.put(make_statement(36))
    assert len(view.all()) == 1


def test_entry_without_a_sequence_is_used_after_a_restore():
    """Guards against upstreams that get no calls, as their entries do not tell their order."""
    view = make_view(3)
    view.remove('i-1', 30)
    view.mark_restored(40)
    for number in range(3):
        view.put(make_upstream(number))
    assert len(view.all()) == 3


def test_entry_of_an_earlier_incarnation_in_a_copy_is_ignored():
    """Guards against calls that name an incarnation which has ended, and that are refused."""
    view = UpstreamView()
    view.put(make_statement(2, incarnation=2000))
    view.mark_restored(40)
    assert not view.put(make_statement(30))
    assert view.all()[0].incarnation == 2000


def test_earlier_incarnation_is_used_while_the_store_was_not_restored():
    """Guards against an upstream that gets no calls as its clock was set back."""
    view = UpstreamView()
    view.put(make_statement(2, incarnation=2000))
    assert view.put(make_statement(1))
    view.mark_restored(40)
    view.expire(200)
    view.put(make_statement(1, incarnation=500))
    assert view.all()[0].incarnation == 500


def test_entries_missing_in_a_copy_are_kept_until_they_are_written_again():
    """Guards against calls that are refused, as a copy of the store lacks new upstreams."""
    view = make_view(9)
    view.put(attrs.evolve(make_upstream(2), is_leaving=True))
    view.mark_restored(40)
    assert not view.remove('i-1', 40)
    assert view.remove('i-2', 40)
    assert 'i-1' in list_ids(view)
    assert view.expire(42.1) == ['i-1']


def test_removal_some_time_after_a_restore_counts_at_once():
    """Guards against calls to a stopped upstream after a restore of the store."""
    view = make_view(9)
    view.mark_restored(40)
    assert view.remove('i-1', 42.1)


def test_second_restore_gives_missing_entries_time_again():
    """Guards against upstreams that are dropped before they could write their entries."""
    view = make_view(9)
    view.mark_restored(40)
    assert not view.remove('i-1', 40)
    view.mark_restored(41.9)
    assert view.expire(42.1) == []
    assert view.expire(43.9) == ['i-1']


def test_outdated_entry_of_a_second_copy_shows_that_an_upstream_is_registered():
    """Guards against dropping an upstream whose entry the store holds."""
    view = UpstreamView()
    view.put(make_statement(30))
    view.mark_restored(40)
    view.remove('i-1', 40)
    view.mark_restored(41)
    view.put(make_statement(1))
    view.expire(43.1)
    assert list_ids(view) == {'i-1'}


def test_equal_entry_in_a_copy_is_not_outdated():
    """Guards against a log line for each entry that has not changed since the copy."""
    view = UpstreamView()
    view.put(make_statement(30))
    view.mark_restored(40)
    assert not view.is_outdated(make_statement(30))
