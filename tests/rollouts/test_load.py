import pytest

from camphorpath.rollouts import registry
from camphorpath.rollouts.records import Phase

from .fleet import ORDER, Fleet, make_group, make_rollouts


def answer_well(upstream, route, now, rng):
    """Both versions fail in 2 % of the cases, and times vary by the calls beside."""
    return rng.random() < 0.02, rng.uniform(0.7, 1.8)


def make_bad(share, *, slowdown=1, begins_at=0.0, route=None, upstreams=None):
    def answer(upstream, call_route, now, rng):
        is_bad, ratio = answer_well(upstream, call_route, now, rng)
        if upstream.software_version != 'v2' or now < begins_at or route not in {None, call_route}:
            return is_bad, ratio
        if upstreams is not None and upstream.upstream_id not in upstreams:
            return is_bad, ratio
        return is_bad or rng.random() < share, ratio * slowdown

    return answer


@pytest.mark.parametrize('seed', range(2))
@pytest.mark.parametrize(('daemon_count', 'rate'), [(1, 20), (8, 60), (40, 120), (82, 300)])
def test_version_that_fails_half_of_its_answers_is_reverted(daemon_count, rate, seed):
    """Guards against a bad version that goes on getting requests, with few or many daemons."""
    fleet = Fleet(make_bad(0.5), daemon_count, rate, old_count=40, new_count=8, seed=seed).run()
    fleet.assert_bounded()
    assert list(fleet.stored) == [Phase.REVERTED]
    assert len(fleet.bad_times) <= 25
    # One heartbeat later nothing is sent to it any more.
    assert fleet.count_sent('v2', fleet.stored[Phase.REVERTED] + 0.7) == 0


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(('daemon_count', 'rate'), [(1, 4), (8, 2), (8, 60), (82, 120)])
def test_good_version_is_completed_in_time(daemon_count, rate, seed):
    """Guards against a good version that is not moved: with little or much traffic."""
    fleet = Fleet(answer_well, daemon_count, rate, seed=seed).run()
    assert list(fleet.stored) == [Phase.MOVING, Phase.COMPLETED], fleet.reason
    assert fleet.stored[Phase.MOVING] >= ORDER.duration_s / 2
    assert fleet.stored[Phase.COMPLETED] - fleet.stored[Phase.MOVING] >= 2
    assert fleet.stored[Phase.COMPLETED] < ORDER.ends_at
    assert fleet.count_sent('v1', fleet.stored[Phase.MOVING] + 0.7) == 0


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(
    'answer',
    [
        make_bad(0.6, route='note'),
        make_bad(0.6, begins_at=4),
        make_bad(0, slowdown=4),
        make_bad(0, slowdown=5, begins_at=3),
        make_bad(0, slowdown=5, route='draft'),
    ],
    ids=['one_route', 'late', 'slow', 'late_slow', 'one_route_slow'],
)
def test_partial_fault_is_found_before_the_move(answer, seed):
    """Guards against faults that are diluted by good answers: of other routes, or earlier ones."""
    fleet = Fleet(answer, rate=100, old_count=20, new_count=6, seed=seed).run()
    fleet.assert_bounded()
    assert list(fleet.stored) == [Phase.REVERTED]


def share_faults(upstream, route, now, rng):
    """Every fifth answer fails, and both versions are slow, from 3 s to 6 s."""
    is_bad, ratio = answer_well(upstream, route, now, rng)
    return (is_bad or rng.random() < 0.2, ratio * 3) if 3 < now < 6 else (is_bad, ratio)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(
    'answer',
    [
        share_faults,
        make_bad(0.9, upstreams={'v2-1'}),
        make_bad(1, upstreams={'v2-0'}, begins_at=5),
        make_bad(0, slowdown=10, upstreams={'v2-2'}),
    ],
    ids=['shared', 'one_bad', 'one_crashed', 'one_slow'],
)
def test_good_version_is_not_blamed(answer, seed):
    """Guards against a revert for faults that both versions share or that one runner has."""
    fleet = Fleet(answer, seed=seed).run()
    assert list(fleet.stored) == [Phase.MOVING, Phase.COMPLETED], fleet.reason


def test_judging_is_rare_but_not_late(monkeypatch):
    """Guards against a judgement at each update, which takes milliseconds, and a late verdict."""
    judged = []

    def find_fault(*args, **fields):
        judged.append(args)
        return found(*args, **fields)

    found = registry.find_fault
    monkeypatch.setattr(registry, 'find_fault', find_fault)
    group = make_group(v1=4, v2=4)
    rollouts = make_rollouts(group)
    for tick in range(40):
        rollouts.record_answer(group[tick % 8].upstream, 'draft', False, 1.0)
        assert not rollouts.update(tick / 20, 1)
    assert len(judged) <= 2 / 0.14 + 1
    for number in range(24):
        rollouts.record_answer(group[number % 4 + 4].upstream, 'draft', True, None)
    # The last judgement was one update ago.
    assert [advice.action.phase for advice in rollouts.update(2, 1)] == [Phase.REVERTED]


@pytest.mark.parametrize('seed', range(3))
def test_fault_that_begins_during_the_move_is_found_soon(seed):
    """Guards against a version that gets all calls until seconds of bad answers have come."""
    answer = make_bad(0.4, begins_at=8)
    fleet = Fleet(answer, 4, 110, old_count=6, seed=seed, shares_at_once=True).run()
    assert list(fleet.stored) == [Phase.MOVING, Phase.REVERTED]
    assert sum(at >= 8 for at in fleet.bad_times) < 40
