import functools
import random

import attrs
import pytest

from camphorpath.placement.pace import Pace, PaceStatement
from camphorpath.placement.records import Load
from camphorpath.placement.slots import RunningCall

from .simulation import TICK_S, CallClass, Engine, Fleet, simulate
from .test_ownership import make_upstream
from .test_scheduler import SchedulerHarness

SLOWDOWNS = (0.5, 0.5, 0.5, 0.5, 1, 1, 1, 1, 2, 2, 2, 2)
# The pace changes several times a second, and its level every few seconds.
CHANGE_S = 0.2
LEVEL_S = 3.0
LEVELS = ((1, 1.3), (1, 1.3), (2, 4))
# The speeds of engines are learned in the first seconds, which do not count.
WARM_UP_S = 10
DURATION_S = 30
SEEDS = (1, 2, 3, 4)
# From this load on (0.93 of the slots in use) the busiest engine is bounded.
HIGH_LOAD = 0.7
MAX_BUSIEST_RATIO = 1.3
CALLS = (
    CallClass('draft', 0, 30, 2500, 100, 0.8, 12, 5.4),
    CallClass('note', 1, 40, 800, 60, 0.8, 12, 1.0),
)


@attrs.define(eq=False)
class PacedEngine(Engine):
    """An engine beside a neighbour that works now and then, which slows it down."""

    pace: float = 1.0
    next_change_at: float = 0
    level: tuple = LEVELS[0]
    level_until: float = 0
    busy_s: float = 0
    usual_slowdown: float = attrs.field(init=False)
    generator: random.Random = attrs.field(kw_only=True)

    def __attrs_post_init__(self):
        self.usual_slowdown = self.slowdown

    def advance(self, now):
        if now >= self.next_change_at:
            if now >= self.level_until:
                self.level = self.generator.choice(LEVELS)
                self.level_until = now + self.generator.expovariate(1 / LEVEL_S)
            self.pace = self.generator.uniform(*self.level)
            self.next_change_at = now + self.generator.uniform(0.5, 1.5) * CHANGE_S
        self.slowdown = self.usual_slowdown * self.pace
        if WARM_UP_S <= now < DURATION_S:
            self.busy_s += min(len(self.jobs), self.slots) * TICK_S
        super().advance(now)


class PacedFleet(Fleet):
    """Answers state the pace to the daemon that gets them, unless `is_stated` is false."""

    def __init__(self, engines, slots, *, is_stated):
        super().__init__(slots, engines_per_daemon=3)
        self.engines = engines
        self.is_stated = is_stated
        self.first_bytes = {}

    def record_first_byte(self, upstream_id, call, now):
        if self.is_stated:
            slots = self.scheduler_by_call[call.call_id].slots[upstream_id]
            pace = self.engines[int(upstream_id[2:])].pace
            slots.pace.record(PaceStatement(pace, now))
        super().record_first_byte(upstream_id, call, now)
        self.first_bytes[call.call_id] = now

    def release(self, upstream_id, call, now):
        slots = self.scheduler_by_call[call.call_id].slots[upstream_id]
        slots.record_answer(now - self.first_bytes.pop(call.call_id), call.output_tokens, now)
        super().release(upstream_id, call, now)


def make_running():
    return RunningCall(
        sent_at=0,
        first_byte_timeout_at=9,
        rank=(0, 0),
        max_event_gap_s=9,
        prefill_tokens=10,
        prompt_tokens=10,
        output_tokens=10,
        pace_at_send=1,
    )


def run_paced(*, seed, relative_load, is_stated):
    """Return the outcome and the engines."""
    engines = []

    def make_engine(slowdown, slots):
        generator = random.Random(f'{seed} {len(engines)}')
        engines.append(PacedEngine(slowdown, slots, generator=generator))
        return engines[-1]

    outcome = simulate(
        functools.partial(PacedFleet, engines, is_stated=is_stated),
        seed=seed,
        relative_load=relative_load,
        slowdowns=SLOWDOWNS,
        slots=4,
        call_classes=CALLS,
        engine_factory=make_engine,
        duration_s=DURATION_S,
    )
    return outcome, engines


def measure(relative_load, *, is_stated):
    """Return the mean seconds of calls, and busiest to mean load of each seed."""
    seconds, ratios = [], []
    for seed in SEEDS:
        outcome, engines = run_paced(seed=seed, relative_load=relative_load, is_stated=is_stated)
        seconds.extend(
            job.last_event_at - job.first_sent_at
            for job in outcome.jobs
            if job.is_done and job.first_sent_at > WARM_UP_S
        )
        loads = [engine.busy_s for engine in engines]
        ratios.append(max(loads) * len(loads) / sum(loads))
    return sum(seconds) / len(seconds), ratios


@pytest.mark.parametrize('relative_load', [0.3, 0.6, 0.7])
def test_calls_complete_sooner_with_the_pace(relative_load):
    """Guards against calls that are sent to engines whose neighbours work."""
    with_pace, ratios = measure(relative_load, is_stated=True)
    without_pace, _ratios = measure(relative_load, is_stated=False)
    assert with_pace < without_pace
    if relative_load >= HIGH_LOAD:
        assert max(ratios) <= MAX_BUSIEST_RATIO


def test_sample_at_a_slow_pace_is_no_slow_engine():
    """Guards against an engine that is avoided for long after its neighbour has ended."""
    harness = SchedulerHarness([make_upstream(1)])
    slots = harness.scheduler.slots['i-1']
    slots.pace.record(PaceStatement(4, 0))
    call = harness.submit('c1')
    expected_s = slots.estimate_first_byte(1000, 0)
    slots.pace.record(PaceStatement(4, expected_s))
    harness.scheduler.record_first_byte('i-1', call, expected_s)
    assert slots.speed.factor == pytest.approx(1)


def test_pace_of_a_lost_owner_decays():
    """Guards against an upstream that is avoided for ever, as nobody states its pace any more."""
    harness = SchedulerHarness([make_upstream(1), make_upstream(2)], owned=['i-2'])
    load = Load(0, 4, pace=PaceStatement(8, 0))
    harness.scheduler.slots['i-1'].pace.record(PaceStatement(2, -1))
    harness.scheduler.slots['i-2'].pace.record(PaceStatement(4, 0))
    harness.scheduler.apply_loads('other', 'other-1', {'i-1': load}, {})
    harness.submit('before', now=0.01)
    harness.scheduler.remove_daemon('other-1')
    paces = [harness.scheduler.slots['i-1'].pace.estimate(at) for at in (0, 1, 60)]
    assert harness.get_upstream_id('before') == 'i-2'
    assert paces[0] == 8
    assert 4 < paces[1] < 5
    assert paces[2] < 1.1


def test_older_statement_does_not_replace_a_newer_one():
    """Guards against a heartbeat with an old figure that overrides the answer of just now."""
    pace = Pace()
    pace.record(PaceStatement(1, 2))
    pace.record(PaceStatement(5, 1))
    assert pace.last.pace == 1


@pytest.mark.parametrize(('pace', 'expected'), [(None, 'i-1'), (1.0, 'i-2')])
def test_least_work_decides_only_between_upstreams_with_a_pace(pace, expected):
    """Guards against other placements in deployments whose runners state no pace."""
    harness = SchedulerHarness([make_upstream(1, slots=40), make_upstream(2, slots=40)])
    first, second = harness.scheduler.slots.values()
    first.running['other'] = attrs.evolve(make_running(), has_first_byte=True)
    # The first one costs slightly less, although it has more work.
    second.speed.factor = 1.2
    for slots in (first, second):
        if pace is not None:
            slots.pace.record(PaceStatement(pace, 0))
    harness.submit('c1')
    assert harness.get_upstream_id('c1') == expected


def test_nearly_equal_costs_do_not_leave_the_zone():
    """Guards against calls that leave the region for an upstream that costs a little more."""
    harness = SchedulerHarness([make_upstream(1, 'a', slots=8), make_upstream(2, 'b', slots=8)])
    for slots in harness.scheduler.slots.values():
        slots.pace.record(PaceStatement(1, 0))
    for name in ('c1', 'c2'):
        harness.submit(name)
    assert [harness.get_upstream_id(name) for name in ('c1', 'c2')] == ['i-1', 'i-1']


def test_calls_without_tokens_count_as_work():
    """Guards against calls without tokens that all go to the first of several upstreams."""
    harness = SchedulerHarness([make_upstream(1, slots=16), make_upstream(2, slots=16)])
    for slots in harness.scheduler.slots.values():
        slots.pace.record(PaceStatement(1, 0))
    harness.scheduler.slots['i-1'].peer_in_flight['d2'] = 2
    call = harness.make_call('c')
    call.prompt_tokens = call.output_tokens = 0
    harness.scheduler.submit(call, 0)
    assert harness.get_upstream_id('c') == 'i-2'


def test_long_calls_avoid_an_unreliable_upstream():
    """Guards against long calls that go to an upstream because it fails and so has no work."""
    harness = SchedulerHarness([make_upstream(1, slots=16), make_upstream(2, slots=16)])
    for slots in harness.scheduler.slots.values():
        slots.pace.record(PaceStatement(1, 0))
    harness.scheduler.slots['i-2'].health.failure_share = 1
    assert harness.scheduler.slots['i-2'].health.is_unreliable
    for name in ('c1', 'c2'):
        call = harness.make_call(name)
        call.output_tokens = 1500
        harness.scheduler.submit(call, 0)
    assert [harness.get_upstream_id(name) for name in ('c1', 'c2')] == ['i-1', 'i-1']
