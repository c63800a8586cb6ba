import functools

import attrs
import pytest

from camphorpath.placement.egress import OTHER_REGION_CONNECT_S
from camphorpath.placement.ownership import Assignment
from camphorpath.placement.records import Load, Refused
from camphorpath.placement.scheduler import Scheduler
from camphorpath.placement.slots import Slots
from camphorpath.rollouts.records import Phase, RolloutBounds, RolloutOrder
from camphorpath.rollouts.registry import Rollouts

from .simulation import TICK_S, CallClass, Engine, Fleet, simulate
from .test_ownership import make_upstream
from .test_scheduler import SchedulerHarness

REGIONS = {'a': 'r0', 'b': 'r1', 'c': 'r2'}
ZONES = tuple(REGIONS)
# Two regions get more calls than their engines take, the third one fewer.
DEMAND = (1.3, 1.3, 0.5)
DAEMONS_PER_ZONE = 2
ENGINES_PER_ZONE = 8
DURATION_S = 15
CALLS = (
    CallClass('draft', 0, 14, 2500, 100, 0.8, 12, 5.4),
    CallClass('note', 1, 18, 800, 60, 0.8, 12, 1.0),
)


@attrs.define(eq=False)
class CountedEngine(Engine):
    busy_s: float = 0

    def advance(self, now):
        if now < DURATION_S:
            self.busy_s += min(len(self.jobs), self.slots) * TICK_S
        super().advance(now)


class Regions(Fleet):
    """Daemons of three regions; calls arrive at the regions by `DEMAND`."""

    def __init__(self, made, slots):
        super().__init__(slots)
        made.append(self)
        upstreams = [
            make_upstream(number, ZONES[number % len(ZONES)], slots=count)
            for number, count in enumerate(slots.values())
        ]
        names = {zone: [f'{zone}{n}' for n in range(DAEMONS_PER_ZONE)] for zone in ZONES}
        owners = {
            upstream.upstream_id: names[upstream.zone][number // len(ZONES) % DAEMONS_PER_ZONE]
            for number, upstream in enumerate(upstreams)
        }
        actives = {REGIONS[zone]: tuple(names[zone]) for zone in ZONES}
        self.schedulers = [
            Scheduler(name=name, zone=zone, regions=REGIONS)
            for zone in ZONES
            for name in names[zone]
        ]
        for scheduler in self.schedulers:
            scheduler.set_upstreams(upstreams, Assignment(actives, owners))
        self.arrived = dict.fromkeys(ZONES, 0)
        self.refused = dict.fromkeys(ZONES, 0)

    def submit(self, call, now):
        zone = self.generator.choices(ZONES, DEMAND)[0]
        scheduler = self.generator.choice([s for s in self.schedulers if s.zone == zone])
        self.scheduler_by_call[call.call_id] = scheduler
        self.arrived[zone] += 1
        decide = call.on_decision

        def count(decision):
            self.refused[zone] += isinstance(decision, Refused)
            decide(decision)

        call.on_decision = count
        scheduler.submit(call, now)

    def send_heartbeat(self, sender, now):
        loads = sender.report_loads(len(self.schedulers) - 1, now)
        for scheduler in self.schedulers:
            if scheduler is not sender:
                scheduler.apply_loads(
                    sender.name,
                    sender.name,
                    loads,
                    sender.count_waiting(),
                    refused=sender.count_refused(now),
                    now=now,
                    lent_until=now + self.lending_timeout_s,
                )


def run_regions(*, seed, relative_load, slots=4):
    """Return the fleet, the jobs and the share of slots in use by zone."""
    made = []
    outcome = simulate(
        functools.partial(Regions, made),
        seed=seed,
        relative_load=relative_load,
        slowdowns=[1] * ENGINES_PER_ZONE * len(ZONES),
        slots=slots,
        call_classes=CALLS,
        duration_s=DURATION_S,
        max_retries=0,
        engine_factory=CountedEngine,
    )
    in_use = [
        sum(engine.busy_s for engine in outcome.engines[number :: len(ZONES)])
        / (ENGINES_PER_ZONE * slots * DURATION_S)
        for number in range(len(ZONES))
    ]
    return made[0], outcome, in_use


@pytest.mark.parametrize(('relative_load', 'max_refused'), [(1.8, 40), (2.1, 500)])
def test_slots_of_a_region_serve_calls_that_others_would_refuse(relative_load, max_refused):
    """Guards against free slots in one region while calls are refused in two others.

    With one slot of each upstream kept back, 57 and 543 calls were refused.
    """
    refused = 0
    for seed in (1, 2, 3):
        fleet, outcome, in_use = run_regions(seed=seed, relative_load=relative_load)
        refused += sum(fleet.refused.values())
        # Before, up to 39 seconds: slots that are lent must not be used twice at the same time.
        assert sum(engine.queued_s for engine in outcome.engines) < 30
        assert min(in_use[:2]) > 0.9
    assert refused <= max_refused


def make_egress_harness(*, lent=4, borrower='me', home_slots=1):
    """Return a harness with an upstream at home and one in another region that lends slots."""
    upstreams = [make_upstream(1, 'a', slots=home_slots), make_upstream(2, 'b', slots=20)]
    harness = SchedulerHarness(upstreams, owned=['i-1'])
    lend(harness, lent, borrower, 0)
    return harness


def lend(harness, lent, borrower, now):
    loads = {'i-2': Load(0, lent, borrower)}
    harness.scheduler.apply_loads('other', 'other-1', loads, {}, now=now, lent_until=now + 1)


def test_call_stays_while_it_can_be_served_in_time_at_home():
    """Guards against traffic between regions that no caller gains from."""
    harness = make_egress_harness()
    running = harness.submit('first')
    harness.submit('stays')
    assert harness.get_upstream_id('first') == 'i-1'
    assert 'stays' not in harness.decisions
    harness.release(running, 0.1)
    assert harness.get_upstream_id('stays') == 'i-1'


def test_call_leaves_before_it_would_be_late_at_home():
    """Guards against a call that is late or refused while slots are free elsewhere."""
    harness = make_egress_harness()
    harness.submit('first')
    call = harness.submit('leaves')
    harness.scheduler.expire(call.latest_start_at - 0.1)
    assert harness.get_upstream_id('leaves') == 'i-2'
    changes = harness.scheduler.egress.pop_changes(1)
    changes += harness.scheduler.egress.pop_changes(10)
    assert [(change.is_leaving, change.departures) for change in changes] == [(True, 1), (False, 1)]


def test_call_takes_a_lent_slot_at_once_unless_leaving_is_a_decision():
    """Guards against deployments that did not ask for the decision and are served differently."""
    harness = make_egress_harness()
    harness.scheduler.egress.is_enabled = False
    harness.submit('first')
    harness.submit('second')
    assert harness.get_upstream_id('second') == 'i-2'
    call = harness.decisions['second']
    assert harness.scheduler.egress.estimate_cost(None, call.upstream) == OTHER_REGION_CONNECT_S


def test_large_call_of_a_late_rank_does_not_pay_its_way():
    """Guards against bytes between regions that cost more than the late call is worth."""
    harness = make_egress_harness()
    harness.submit('first')
    large = harness.submit('large', rank=(0, 3), body_bytes=5_000_000, wait_s=9)
    urgent = harness.submit('urgent', rank=(0, 0), body_bytes=1_000_000, wait_s=9)
    harness.scheduler.expire(min(large.latest_start_at, urgent.latest_start_at) - 0.15)
    assert harness.get_upstream_id('urgent') == 'i-2'
    assert 'large' not in harness.decisions


def test_slots_lent_to_all_are_taken_in_parts():
    """Guards against all daemons that take the slots of a region at the same moment."""
    harness = make_egress_harness(lent=8, borrower='')
    harness.submit('first')
    calls = [harness.submit(f'c{number}', wait_s=3) for number in range(8)]
    harness.scheduler.expire(calls[0].latest_start_at - 0.1)
    assert sum(map(bool, map(harness.get_upstream_id, harness.decisions))) == 1 + 4
    now = calls[0].latest_start_at + 0.2
    lend(harness, 8, '', now)
    harness.scheduler.expire(now)
    assert sum(map(bool, map(harness.get_upstream_id, harness.decisions))) == 1 + 8


def test_slots_of_a_lost_owner_are_left_alone():
    """Guards against calls to a region whose link is cut, as its slots are no longer known."""
    harness = make_egress_harness()
    harness.submit('first')
    harness.submit('second', wait_s=3)
    harness.scheduler.expire(1.1)
    assert 'second' not in harness.decisions


def test_owner_lends_its_last_free_slot_to_another_region_only():
    """Guards against a slot of each upstream that is unused while calls are refused elsewhere."""
    scheduler = Scheduler(name='me', zone='a', regions=REGIONS)
    actives = {'r0': ('me', 'near'), 'r1': ('far',)}
    scheduler.set_upstreams([make_upstream(1)], Assignment(actives, {'i-1': 'me'}))
    scheduler.apply_loads('near', 'near-1', {}, {'llm': 1})
    near = scheduler.report_loads(2, 0)['i-1']
    scheduler.apply_loads('near', 'near-1', {}, {})
    scheduler.apply_loads('far', 'far-1', {}, {}, refused={'llm': 1})
    far = scheduler.report_loads(2, 0)['i-1']
    assert (near.lent, near.borrower) == (3, 'near')
    assert (far.lent, far.borrower) == (4, 'far')


def test_measured_distance_replaces_the_initial_one():
    """Guards against a zone that counts as far although connections to it open at once."""
    egress = Scheduler(name='me', zone='a', regions=REGIONS).egress
    far = make_upstream(2, 'b')
    call = SchedulerHarness([]).make_call('c1')
    before = egress.estimate_delay(call, far)
    for _ in range(50):
        egress.record_connect(far, 0.016)
    assert egress.estimate_delay(call, far) == pytest.approx(0.016, abs=0.002)
    assert before > 0.05


@pytest.mark.parametrize(('owner_demand', 'is_kept'), [(0, True), (5, False)])
def test_slot_goes_back_to_an_owner_with_more_demand(owner_demand, is_kept):
    """Guards against a region that is refused more calls than those that use its slots."""
    harness = make_egress_harness(lent=1, home_slots=0)
    harness.scheduler.set_upstreams(
        [make_upstream(2, 'b', slots=20)],
        Assignment({'r1': ('me',), 'r2': ('other',)}, {'i-2': 'other'}),
    )
    call = harness.submit('away')
    loads = {'i-2': Load(0, 0)}
    harness.scheduler.apply_loads('other', 'other-1', loads, {'llm': owner_demand}, now=0.2)
    harness.release(call, 0.3)
    assert (harness.scheduler.slots['i-2'].count_free(0.3) > 0) is is_kept


def test_calls_without_an_upstream_at_home_leave_at_once():
    """Guards against calls and begun streams that wait for a part of slots lent to all."""
    far = attrs.evolve(make_upstream(2, 'b', slots=20), software_version='v1')
    for fields in ({}, {'required_version': 'v1'}):
        harness = SchedulerHarness([far], owned=[])
        lend(harness, 8, '', 0)
        for number in range(8):
            harness.submit(f'c{number}', **fields)
        assert all(harness.get_upstream_id(f'c{number}') for number in range(8))


@pytest.mark.parametrize('phase', [Phase.CANARY, Phase.MOVING, Phase.REVERTED])
def test_call_leaves_if_a_rollout_bars_the_upstreams_at_home(phase):
    """Guards against calls that wait at home for upstreams which their order does not allow."""
    home, away = ('v1', 'v2') if phase is Phase.MOVING else ('v2', 'v1')
    near = attrs.evolve(make_upstream(1, 'a', slots=20), software_version=home)
    far = attrs.evolve(make_upstream(2, 'b', slots=20), software_version=away)
    harness = SchedulerHarness([near, far], owned=['i-1'])
    lend(harness, 8, '', 0)
    rollouts = harness.scheduler.rollouts = Rollouts(RolloutBounds(0.1, 50, 5))
    rollouts.record_registered({'llm': list(harness.scheduler.slots.values())})
    rollouts.start(RolloutOrder('llm', 'v2', revision=7, written_at=0, duration_s=12), 0)
    # With 1,000 daemons and this rounding nothing may be sent to the new version yet.
    rollouts.update(0, 1000)
    rollouts._states['llm'].exposure._rounding = 0
    rollouts.apply_phase('llm', 7, phase, 0)
    for number in range(4):
        harness.submit(f'c{number}')
    assert [harness.get_upstream_id(f'c{number}') for number in range(4)] == ['i-2'] * 4


def test_slots_are_counted_once_for_each_call(monkeypatch):
    """Guards against a call that scans all lent slots for each of them: 0.25 s with 1,200."""
    upstreams = [make_upstream(number, 'b') for number in range(1, 101)]
    harness = SchedulerHarness([*upstreams, make_upstream(0, 'a', slots=1)], owned=['i-0'])
    loads = {upstream.upstream_id: Load(0, 4, '') for upstream in upstreams}
    harness.scheduler.apply_loads('other', 'other-1', loads, {}, lent_until=10)
    harness.submit('first')
    late = harness.submit('leaves', wait_s=5).latest_start_at
    harness.scheduler.expire(late - 0.1)
    counted = []
    count_free = Slots.count_free
    monkeypatch.setattr(Slots, 'count_free', lambda *args: counted.append(1) or count_free(*args))
    harness.submit('next', wait_s=5)
    harness.scheduler.expire(late - 0.05)
    assert harness.get_upstream_id('next')
    assert len(counted) < 10 * len(upstreams)


def test_instants_of_departures_are_dropped():
    """Guards against memory that grows with each call of a service without upstreams at home."""
    harness = SchedulerHarness([make_upstream(2, 'b', slots=20)], owned=[])
    for number in range(200):
        now = number / 10
        lend(harness, 8, '', now)
        harness.release(harness.submit(f'c{number}', now=now), now)
    kept = harness.scheduler.egress._departures['llm'].recent['r2']
    assert len(kept) <= 3


def test_calls_that_end_elsewhere_do_not_shorten_the_wait_at_home():
    """Guards against a call that waits here for slots that are used by other daemons only.

    Its wait was estimated from all calls that end, also if all of them ran in another region.
    """
    harness = make_egress_harness(home_slots=1)
    harness.scheduler.apply_loads('near', 'near-1', {'i-1': Load(1)}, {})
    calls = [harness.make_call(f'c{number}') for number in range(24)]
    for call in calls:
        harness.scheduler.slots['i-2'].occupy(call, 0)
        harness.scheduler.record_first_byte('i-2', call, 0.1)
    for call in calls[:20]:
        harness.scheduler.release('i-2', call, 1)
    lend(harness, 4, 'me', 1)
    harness.submit('new', now=1, objective_s=0.6)
    assert harness.get_upstream_id('new') == 'i-2'


def test_wait_at_home_is_not_estimated_while_a_slot_is_free_there(monkeypatch):
    """Guards against a scan of all upstreams for each call: 0.9 ms with 4,200 of them."""
    harness = make_egress_harness()
    estimated = []
    monkeypatch.setattr(
        Scheduler, '_estimate_home_wait', lambda *args: estimated.append(args) or 0.0
    )
    harness.submit('first')
    assert harness.get_upstream_id('first') == 'i-1'
    assert not estimated
    harness.submit('second')
    assert estimated


def test_slots_lent_to_another_daemon_are_taken_in_parts():
    """Guards against idle daemons that all take the slots that are lent to one active daemon."""
    harness = make_egress_harness(lent=0)
    upstreams = [slots.upstream for slots in harness.scheduler.slots.values()]
    actives = {'r2': ('other', 'active')}
    harness.scheduler.set_upstreams(upstreams, Assignment(actives, {'i-1': 'me', 'i-2': 'other'}))
    lend(harness, 8, 'active', 0)
    late = min(harness.submit(f'c{number}', wait_s=3).latest_start_at for number in range(9))
    harness.scheduler.expire(late - 0.1)
    placed = [harness.get_upstream_id(name) for name in harness.decisions]
    assert placed.count('i-2') == 4
