import collections

import attrs
import pytest

from camphorpath.cluster.heartbeats import MAX_DATAGRAM_BYTES
from camphorpath.cluster.rollouts import encode_tally
from camphorpath.placement.ownership import Assignment
from camphorpath.placement.records import Placed, Refused
from camphorpath.placement.scheduler import Scheduler
from camphorpath.placement.slots import Slots
from camphorpath.rollouts.records import Phase, Tally
from camphorpath.rollouts.registry import Rollouts

from .fleet import BOUNDS, ORDER, Fleet, list_versions, make_call, make_group, make_rollouts
from .test_load import answer_well, make_bad


def test_writer_that_dies_halfway_does_not_stop_the_move():
    """Guards against an order that stays open because the daemon that wrote MOVING died."""
    fleet = Fleet(answer_well, incidents={7: lambda fleet: fleet.daemons.pop('d0')}).run()
    assert list(fleet.stored) == [Phase.MOVING, Phase.COMPLETED]


def test_counts_of_a_daemon_that_died_are_kept():
    """Guards against a verdict that is late because the daemons with the bad answers died."""
    group = make_group(v1=12, v2=4)
    rollouts, peer = make_rollouts(group), make_rollouts(group)
    for number in range(80):
        upstream = group[number % 16].upstream
        is_bad = upstream.software_version == 'v2' and number // 16 % 2 == 0
        peer.record_answer(upstream, 'draft', is_bad, None if is_bad else 1.0)
    rollouts.apply_tallies('peer', peer.share_tallies())
    # A heartbeat that arrives late, or counts for another order, takes nothing back.
    old = [attrs.evolve(tally, answers=1, bad=0) for tally in peer.share_tallies()]
    rollouts.apply_tallies('peer', old)
    rollouts.apply_tallies('other', [attrs.evolve(tally, revision=6) for tally in old])
    advices = rollouts.update(1, 8)
    assert [advice.action.phase for advice in advices] == [Phase.REVERTED]
    assert (advices[0].answers, advices[0].bad) == (20, 12)
    assert rollouts.get('llm').phase is Phase.REVERTED


@pytest.mark.parametrize(
    'fields',
    [
        {'slow': 2 * 10**9, 'slow_by_upstream': {'v2-0': 10**9, 'v2-1': 10**9}},
        {'slow': 160, 'slow_by_upstream': {'v2-0': 80, 'v2-2': 80}},
        {'timed_by_upstream': {'v2-0': 10**6, 'v2-1': 10}},
        {'bad': 10},
        {'bad': 10, 'bad_by_upstream': {'v2-0': 5, 'v2-1': 50}},
    ],
)
def test_impossible_counts_of_a_peer_are_ignored(fields):
    """Guards against a good version that is reverted, or a bad one moved to, for one odd report."""
    group = make_group(v1=4, v2=4)
    rollouts = make_rollouts(group)
    for number in range(80):
        rollouts.record_answer(group[number % 8].upstream, 'draft', False, 1.0)
    before = rollouts._states['llm'].evidence.copy_sums()
    tally = Tally(
        service='llm',
        version='v2',
        route='draft',
        revision=7,
        answers=20,
        bad=0,
        slow=80,
        bad_by_upstream={},
        slow_by_upstream={'v2-0': 40, 'v2-1': 40},
        timed_by_upstream={'v2-0': 10, 'v2-1': 10},
    )
    rollouts.apply_tallies('peer', [attrs.evolve(tally, **fields)])
    assert rollouts._states['llm'].evidence.sums == before
    assert not rollouts.update(1, 2)
    rollouts.apply_tallies('peer', [tally])
    assert rollouts._states['llm'].evidence.sums != before


def test_counts_of_many_upstreams_fit_in_a_heartbeat():
    """Guards against a datagram that is cut off: its sender would count as lost."""
    group = [
        Slots(attrs.evolve(slots.upstream, upstream_id=f'{number:036}'))
        for number, slots in enumerate(make_group(v1=900))
    ]
    rollouts, peer = make_rollouts(group), make_rollouts(group)
    for _ in range(2):
        for slots in group:
            rollouts.record_answer(slots.upstream, 'draft', True, 1.0)
        (tally,) = rollouts.share_tallies()
        assert encode_tally(tally).ByteSize() < MAX_DATAGRAM_BYTES / 3
        peer.apply_tallies('d1', [tally])
    (counts,) = peer._states['llm'].evidence.sums.values()
    assert counts.answers == 1800
    assert counts.bad == tally.bad > 0


def test_restart_of_all_daemons_keeps_the_limits():
    """Guards against daemons that use their parts again and again after restarts."""
    fleet = Fleet(
        make_bad(0.5, begins_at=3),
        incidents={2: lambda fleet: fleet.restart(list(fleet.daemons))},
    ).run()
    fleet.assert_bounded()
    assert Phase.REVERTED in fleet.stored


def test_daemon_that_is_cut_off_stops_sending():
    """Guards against a daemon that hears of no verdict and goes on sending to a bad version."""
    counts = []

    def count(fleet):
        counts.append(fleet.daemons['d0']._states['llm'].exposure.sent_to_target)

    fleet = Fleet(
        make_bad(0.5, begins_at=3),
        incidents={2: lambda fleet: fleet.cut_off.add('d0'), 4.6: count, 12.8: count},
    ).run()
    fleet.assert_bounded()
    assert counts[0] == counts[1] > 0


def test_daemon_that_was_frozen_waits_for_news():
    """Guards against requests to a version that was reverted while the daemon was frozen."""
    group = make_group(v1=2, v2=2)
    rollouts = make_rollouts(group)
    rollouts.update(1, 1)
    assert list_versions(rollouts, group, 1) == {'v2'}
    assert list_versions(rollouts, group, 4) == {'v1'}
    # The outcome is decided by now, whether or not the daemon has heard of it.
    assert list_versions(rollouts, group, ORDER.ends_at + 1, 'v2') == {'v1'}


def test_daemon_that_is_cut_off_during_the_move_returns_to_the_other_versions():
    """Guards against all calls of a daemon that go to a version which the others have reverted."""
    group = make_group(v1=2, v2=2)
    rollouts = make_rollouts(group)
    rollouts.update(5, 3)
    assert rollouts.apply_phase('llm', 7, Phase.MOVING, 6)
    assert list_versions(rollouts, group, 8) == {'v2'}
    for required_version in (None, 'v2'):
        assert list_versions(rollouts, group, 9, required_version) == {'v1'}
    assert not rollouts.may_send(group[2].upstream, 9)
    rollouts.apply_tallies('d1', ())
    rollouts.update(9.1, 3)
    assert list_versions(rollouts, group, 9.2) == {'v2'}
    assert rollouts.apply_phase('llm', 7, Phase.COMPLETED, 9.2)
    assert list_versions(rollouts, group, 20) == {'v2'}


def test_phases_decide_which_versions_serve():
    """Guards against calls, retries and resumed streams that pass by the phase of an order."""
    group = make_group(v1=2, v2=2)
    rollouts = make_rollouts(group)
    assert rollouts.apply_phase('llm', 7, Phase.MOVING, 6)
    assert list_versions(rollouts, group, 6) == {'v2'}
    assert 'v1' in list_versions(rollouts, group, 6, required_version='v1')
    assert rollouts.apply_phase('llm', 7, Phase.REVERTED, 7)
    assert list_versions(rollouts, group, 7, required_version='v2') == {'v1'}
    assert not rollouts.may_send(group[2].upstream, 7)
    assert not rollouts.apply_phase('llm', 7, Phase.MOVING, 8)
    # COMPLETED was stored, so the revert of this daemon was not.
    assert rollouts.apply_phase('llm', 7, Phase.COMPLETED, 9)
    assert list_versions(rollouts, group, 9, required_version='v1') == {'v2'}
    assert not rollouts.apply_phase('llm', 7, Phase.REVERTED, 10)


def test_new_version_serves_alone_when_no_other_is_registered():
    """Guards against an outage of a service whose other versions are gone."""
    group = make_group(v2=2)
    rollouts = make_rollouts(group)
    rollouts.apply_phase('llm', 7, Phase.REVERTED, 1)
    assert list_versions(rollouts, group, 1) == {'v2'}
    assert rollouts.may_send(group[0].upstream, 1)


@pytest.mark.parametrize('phase', [Phase.CANARY, Phase.MOVING, Phase.REVERTED])
def test_second_order_to_another_version_bars_the_first_one(phase):
    """Guards against a bad version that is served again because a newer order names another."""
    group = make_group(v1=2, v2=2, v3=2)
    rollouts = make_rollouts(group)
    rollouts.apply_phase('llm', 7, phase, 1)
    assert not rollouts.start(attrs.evolve(ORDER, version='v3', revision=6), 2)
    assert rollouts.start(attrs.evolve(ORDER, version='v3', revision=8), 2)
    rollouts.update(2, 1)
    assert list_versions(rollouts, group, 2) == {'v3'}
    assert list_versions(rollouts, group, 4) == {'v1'}
    # The same version may be tried again.
    assert rollouts.start(attrs.evolve(ORDER, revision=9, written_at=3), 3)
    rollouts.update(3, 1)
    assert list_versions(rollouts, group, 3) == {'v2'}


def test_call_on_its_way_to_a_version_of_an_earlier_order_is_not_sent():
    """Guards against calls that connect to a bad version while a newer order names another."""
    group = make_group(v1=2, v2=2, v3=2)
    rollouts = make_rollouts(group)
    rollouts.apply_phase('llm', 7, Phase.REVERTED, 1)
    rollouts.start(attrs.evolve(ORDER, version='v3', revision=8, written_at=2), 2)
    assert not rollouts.may_send(group[2].upstream, 2)
    assert rollouts.may_send(group[0].upstream, 2)
    assert rollouts.may_send(group[4].upstream, 2)


def test_cap_holds_beside_a_version_that_is_barred_no_longer():
    """Guards against an order without a cap because an old order named the version beside it."""
    group = make_group(v2=2, v3=2)
    rollouts = make_rollouts(group)
    later = ORDER.ends_at + 61
    rollouts.start(attrs.evolve(ORDER, version='v3', revision=8, written_at=later), later)
    rollouts.update(later, 1000)
    rollouts._states['llm'].exposure._rounding = 0
    assert list_versions(rollouts, group, later) == {'v2'}


def test_removed_order_returns_to_the_other_versions():
    """Guards against a version without a verdict that serves all calls once its order is gone."""
    group = make_group(v1=2, v2=2)
    rollouts = make_rollouts(group)
    rollouts.cancel('llm', 2)
    assert rollouts.get('llm') is None
    assert not rollouts.start(ORDER, 3)
    assert list_versions(rollouts, group, 3) == {'v1'}
    rollouts.update(ORDER.ends_at + 61, 1)
    assert list_versions(rollouts, group, 75) == {'v1', 'v2'}


def submit(scheduler, call):
    decisions = []
    call.on_decision = decisions.append
    scheduler.submit(call, 0.5)
    return decisions


def test_scheduler_obeys_the_cap_for_retries_and_streams():
    """Guards against retries and resumed streams that pass by the cap, or a revert."""
    group = make_group(v1=1, v2=2)
    scheduler = Scheduler(name='me', zone='a', regions={})
    scheduler.rollouts = make_rollouts(group)
    upstreams = [slots.upstream for slots in group]
    scheduler.set_upstreams(
        upstreams, Assignment({'r': ('me',)}, {u.upstream_id: 'me' for u in upstreams})
    )
    scheduler.rollouts.update(0.5, active_count=1000)
    retry = make_call('retry')
    retry.excluded.add('v1-0')
    scheduler.rollouts._states['llm'].exposure._rounding = 0
    for call in (retry, make_call('stream', 'v2')):
        assert not submit(scheduler, call), call.call_id
    (placed,) = submit(scheduler, make_call('new'))
    assert isinstance(placed, Placed)
    assert placed.upstream.software_version == 'v1'
    scheduler.rollouts.apply_phase('llm', 7, Phase.REVERTED, 0.5)
    (refused,) = submit(scheduler, make_call('late', 'v2'))
    assert isinstance(refused, Refused)


def test_daemons_that_start_together_do_not_each_take_the_allowance():
    """Guards against starting daemons that know no peers yet, each of which takes all of it."""
    group = make_group(v1=4, v2=4)
    sent = collections.Counter()
    for _ in range(40):
        rollouts = Rollouts(BOUNDS)
        rollouts.record_registered({'llm': group})
        rollouts.start(ORDER, 6)
        for number in range(20):
            # Peers are heard after 0.3 s.
            now = 6 + number * 0.05
            rollouts.update(now, 1 if number < 6 else 40)
            upstream = rollouts.list_allowed(make_call(number), group, now)[0].upstream
            rollouts.record_placement(upstream)
            rollouts.record_send(upstream)
            sent[upstream.software_version] += 1
    assert sent['v2'] <= BOUNDS.canary_share * sent.total() + BOUNDS.canary_allowance / 2
    # After that each takes its part.
    now = 6 + 1.5
    part = rollouts._states['llm'].exposure._get_part(now)
    assert part == pytest.approx(0.7 * 0.1 * 20 + 0.5 * 50 / 40)


def test_last_daemon_goes_on_when_the_others_have_stopped():
    """Guards against an order that reverts since a daemon without peers counts as cut off."""
    group = make_group(v1=2, v2=2)
    rollouts = make_rollouts(group)
    rollouts.update(1, 3)
    rollouts.update(8, 1)
    assert list_versions(rollouts, group, 8) == {'v1'}
    rollouts.is_alone = True
    rollouts.update(8, 1)
    assert list_versions(rollouts, group, 8) == {'v2'}


@pytest.mark.parametrize('phase', [Phase.CANARY, Phase.MOVING])
def test_daemon_that_missed_a_completion_caps_the_next_version(phase):
    """Guards against all calls of a daemon that go to a version without a verdict."""
    group = make_group(v2=2, v3=2)
    rollouts = make_rollouts(group)
    rollouts.apply_phase('llm', 7, phase, 1)
    rollouts.start(attrs.evolve(ORDER, version='v3', revision=8, written_at=2), 2)
    rollouts.update(2, 1000)
    rollouts._states['llm'].exposure._rounding = 0
    assert list_versions(rollouts, group, 2) == {'v2'}
    rollouts.apply_phase('llm', 8, Phase.REVERTED, 3)
    assert list_versions(rollouts, group, 3) == {'v2'}
