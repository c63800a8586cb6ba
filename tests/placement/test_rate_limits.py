import math
import random

import attrs
import pytest

from camphorpath.placement.ownership import Assignment
from camphorpath.placement.rate_limits import RateLimit, RateStatement
from camphorpath.placement.records import Placed, WaitingCall
from camphorpath.placement.scheduler import Scheduler

from .test_ownership import make_upstream

WINDOW_S = 4.0
# Daemons have this time to react to the first statement.
MAX_REACTION_S = 0.5
TICK_S = 0.01
ANSWER_S = 0.06
HEARTBEAT_LOSS = 0.05
# Long calls do not fill the slots in these tests.
SLOTS = 40


def compute_bound(rate):
    """Return the most requests that an upstream may get in WINDOW_S, by the users' pages."""
    return 1.5 * rate * WINDOW_S + 5


def count_most(times, window_s):
    return max(sum(1 for at in times if start <= at < start + window_s) for start in times)


def make_call(call_id, now, on_decision):
    return WaitingCall(
        call_id=call_id,
        service='llm',
        rank=(0, 0),
        arrived_at=now,
        objective_at=now + 0.8,
        wait_until=now + 1.0,
        deadline=now + 5,
        prompt_tokens=100,
        output_tokens=10,
        on_decision=on_decision,
    )


@attrs.define
class LimitedFleet:
    """Daemons before one upstream that states a rate in each answer, in simulated time."""

    rate: float
    names: list
    heartbeat_s: float
    generator: random.Random
    owner: str = ''
    now: float = 0
    schedulers: dict = attrs.field(factory=dict)
    # Instants at which the upstream got requests, and the daemons that sent them.
    sends: list = attrs.field(factory=list)
    served: dict = attrs.field(factory=dict)
    _running: list = attrs.field(factory=list)
    _heartbeats_at: dict = attrs.field(factory=dict)
    _call_count: int = 0

    def __attrs_post_init__(self):
        for name in self.names:
            scheduler = Scheduler(name=name, zone='a', regions={'a': 'r'})
            self.schedulers[name] = scheduler
            self._heartbeats_at[name] = self.generator.uniform(0, self.heartbeat_s)
        self.set_owner(self.names[0])

    def set_owner(self, owner):
        self.owner = owner
        assignment = Assignment({'r': tuple(self.names)}, {'i-1': owner})
        for scheduler in self.schedulers.values():
            scheduler.set_upstreams([make_upstream(1, slots=SLOTS)], assignment)

    def call(self, name):
        self._call_count += 1
        call_id = f'c{self._call_count}'

        def decide(decision):
            if isinstance(decision, Placed):
                self.sends.append((self.now, name))
                self._running.append((self.now + ANSWER_S, name, call))

        call = make_call(call_id, self.now, decide)
        self.schedulers[name].submit(call, self.now)

    def lose(self, name):
        """End a daemon; the others learn of it at once."""
        self.names.remove(name)
        self.schedulers.pop(name)
        self._running = [entry for entry in self._running if entry[1] != name]
        for scheduler in self.schedulers.values():
            scheduler.remove_daemon(f'{name}-1')

    def advance(self, calls_per_s):
        """Play one tick in which each daemon gets calls at a rate."""
        self.now += TICK_S
        for name in self.names:
            if self.generator.random() < calls_per_s * TICK_S:
                self.call(name)
        for entry in [entry for entry in self._running if entry[0] <= self.now]:
            self._running.remove(entry)
            self._answer(*entry[1:])
        for name in self.names:
            self.schedulers[name].expire(self.now)
            if self.now >= self._heartbeats_at[name]:
                self._heartbeats_at[name] += self.heartbeat_s
                self._send_heartbeat(name)

    def play(self, seconds, calls_per_s):
        for _ in range(round(seconds / TICK_S)):
            self.advance(calls_per_s)

    def list_sends(self, since):
        return [at for at, _name in self.sends if at >= since]

    def _answer(self, name, call):
        slots = self.schedulers[name].slots['i-1']
        self.served[name] = self.served.get(name, 0) + 1
        if self.rate:
            statement = RateStatement(self.rate, self.now)
        else:
            statement = RateStatement(math.inf, slots.running[call.call_id].sent_at)
        slots.record_rate(statement, is_from_peer=False)
        self.schedulers[name].record_first_byte('i-1', call, self.now)
        self.schedulers[name].release('i-1', call, self.now)

    def _send_heartbeat(self, name):
        sender = self.schedulers[name]
        loads = sender.report_loads(len(self.names) - 1, self.now)
        for receiver in self.names:
            if receiver == name or self.generator.random() < HEARTBEAT_LOSS:
                continue
            self.schedulers[receiver].apply_loads(
                name,
                f'{name}-1',
                loads,
                sender.count_waiting(),
                refused=sender.count_refused(self.now),
                now=self.now,
                lent_until=self.now + 4 * self.heartbeat_s,
            )


def make_fleet(rate, daemons, heartbeat_s=0.25, seed=1):
    names = [f'd{number:02}' for number in range(daemons)]
    return LimitedFleet(rate, names, heartbeat_s, random.Random(seed))


@pytest.mark.parametrize('daemons', [1, 3, 20])
@pytest.mark.parametrize('rate', [0.0001, 0.5, 1.4, 8, 40])
def test_all_daemons_together_keep_to_the_rate(rate, daemons):
    """Guards against daemons that each keep to the limit of an upstream, but not together."""
    fleet = make_fleet(rate, daemons)
    fleet.play(10, calls_per_s=200 / daemons)
    later = fleet.list_sends(fleet.sends[0][0] + ANSWER_S + MAX_REACTION_S)
    assert count_most(later, WINDOW_S) <= compute_bound(rate) if later else rate < 0.1


@pytest.mark.parametrize('rate', [1.4, 8, 40])
def test_rate_is_used_and_reaches_callers_of_all_daemons(rate):
    """Guards against a limited upstream that serves only the callers of its owner, or idles."""
    fleet = make_fleet(rate, 3)
    fleet.play(20, calls_per_s=rate)
    assert len(fleet.list_sends(2)) >= 0.7 * rate * 18
    assert min(fleet.served.get(name, 0) for name in fleet.names) >= 0.1 * rate * 18


@pytest.mark.parametrize('heartbeat_s', [0.25, 1.0])
def test_many_daemons_use_a_high_rate(heartbeat_s):
    """Guards against an upstream that idles as one of many daemons was lent all of its rate."""
    fleet = make_fleet(40, 40, heartbeat_s)
    fleet.play(8, calls_per_s=3)
    assert len(fleet.list_sends(4)) >= 0.7 * 40 * 4
    assert count_most(fleet.list_sends(1.0), WINDOW_S) <= compute_bound(40)


@pytest.mark.parametrize('seed', range(5))
def test_new_owner_does_not_start_with_a_burst(seed):
    """Guards against an upstream that gets its rate twice around the loss of its owner."""
    fleet = make_fleet(8, 4, seed=seed)
    fleet.play(6, calls_per_s=20)
    fleet.lose(fleet.owner)
    fleet.set_owner(fleet.names[seed % 3])
    fleet.play(6, calls_per_s=20)
    fleet.set_owner(fleet.names[(seed + 1) % 3])
    fleet.play(6, calls_per_s=20)
    assert count_most(fleet.list_sends(1.5), WINDOW_S) <= compute_bound(8)


def test_new_owner_starts_without_requests():
    """Guards against a new owner that sends at once what the former one has just sent."""
    fleet = make_fleet(8, 2)
    fleet.play(6, calls_per_s=20)
    scheduler = fleet.schedulers[fleet.names[1]]
    fleet.set_owner(fleet.names[1])
    assert scheduler.slots['i-1'].is_owner
    assert scheduler.slots['i-1'].count_free(fleet.now) == 0
    assert scheduler.slots['i-1'].count_free(fleet.now + 1 / 8) == 1


def test_limit_that_the_owner_never_heard_of_ends_at_borrowers():
    """Guards against a borrower that keeps a limit for good as its end reached another daemon."""
    fleet = make_fleet(1.4, 3)
    fleet.play(5, calls_per_s=10)
    fleet.lose(fleet.owner)
    fleet.rate = 0
    fleet.names.append('new')
    fleet.schedulers['new'] = Scheduler(name='new', zone='a', regions={'a': 'r'})
    fleet._heartbeats_at['new'] = fleet.now
    fleet.set_owner('new')
    fleet.play(12, calls_per_s=10)
    assert not any(
        scheduler.slots['i-1'].rate_limit.is_limited for scheduler in fleet.schedulers.values()
    )


def test_limit_outlives_a_lapse_of_the_entry():
    """Guards against a burst to a limited upstream after its entry in the store lapsed."""
    fleet = make_fleet(1.4, 3)
    fleet.play(5, calls_per_s=10)
    for scheduler in fleet.schedulers.values():
        scheduler.set_upstreams([], Assignment({'r': tuple(fleet.names)}, {}))
    fleet.play(1, calls_per_s=10)
    fleet.set_owner(fleet.owner)
    returned_at = fleet.now
    fleet.play(1, calls_per_s=10)
    assert len(fleet.list_sends(returned_at)) <= 2
    restarted = attrs.evolve(make_upstream(1, slots=SLOTS), incarnation=7)
    scheduler = fleet.schedulers[fleet.owner]
    scheduler.set_upstreams([restarted], Assignment({}, {'i-1': fleet.owner}))
    assert not scheduler.slots['i-1'].rate_limit.is_limited


def test_end_of_a_limit_reaches_all_daemons():
    """Guards against an upstream that recovered and is still spared."""
    fleet = make_fleet(1.4, 4)
    fleet.play(5, calls_per_s=10)
    fleet.rate = 0
    fleet.play(3, calls_per_s=10)
    recovered_at = fleet.now
    fleet.play(2, calls_per_s=10)
    assert not any(
        scheduler.slots['i-1'].rate_limit.is_limited for scheduler in fleet.schedulers.values()
    )
    assert len(fleet.list_sends(recovered_at)) >= 0.9 * 2 * 4 * 10


def test_answer_that_was_overtaken_does_not_end_a_limit():
    """Guards against an answer without a limit, sent before the limit, that arrives after it."""
    limit = RateLimit()
    assert limit.record(RateStatement(2, 5), is_from_peer=False)
    assert not limit.record(RateStatement(math.inf, 4.9), is_from_peer=False)
    assert limit.is_limited
    assert limit.record(RateStatement(math.inf, 5.1), is_from_peer=False)
    assert not limit.is_limited


def test_slots_lent_before_the_limit_are_not_used_after_it():
    """Guards against a borrower that is told of a limit and uses up what it had borrowed."""
    fleet = make_fleet(1.4, 2)
    owner, borrower = fleet.names
    fleet.schedulers[borrower].apply_loads(
        owner, f'{owner}-1', fleet.schedulers[owner].report_loads(1, 0), {}
    )
    slots = fleet.schedulers[borrower].slots['i-1']
    assert slots.count_free(0) > 1
    slots.record_rate(RateStatement(1.4, 0.1), is_from_peer=False)
    assert slots.count_free(0.1) == 0
    # The owner does not know of the limit yet.
    fleet.schedulers[borrower].apply_loads(
        owner, f'{owner}-1', fleet.schedulers[owner].report_loads(1, 0.2), {}
    )
    assert slots.count_free(0.2) == 0


def test_callers_are_told_when_a_limited_service_has_room():
    """Guards against calls that wait in vain, and a Retry-After that the rate cannot keep."""
    fleet = make_fleet(0.25, 1)
    fleet.play(2.5, calls_per_s=5)
    refused = []
    call = make_call('late', fleet.now, refused.append)
    fleet.schedulers['d00'].submit(call, fleet.now)
    assert refused[0].reason == 'queue_full'
    assert refused[0].expected_wait_s >= 1 / 0.25


@pytest.mark.parametrize('owner_knows', [False, True])
def test_last_tokens_are_not_all_kept_for_urgent_calls(owner_knows):
    """Guards against less urgent calls that are never served while a limit holds."""
    fleet = make_fleet(4, 1)
    if owner_knows:
        statement = RateStatement(4, 0)
        fleet.schedulers['d00'].slots['i-1'].record_rate(statement, is_from_peer=True)
    scheduler = fleet.schedulers['d00']
    slots = scheduler.slots['i-1']
    reserved = scheduler._count_reserved('llm')
    assert reserved <= 0.2 * (slots.burst if owner_knows else SLOTS)


def test_call_waits_for_the_next_request_that_a_rate_allows():
    """Guards against a call that is refused at an idle upstream for a limit of milliseconds."""
    decisions = []
    scheduler = Scheduler(name='me', zone='a', regions={'a': 'r'})
    scheduler.set_upstreams([make_upstream(1, slots=1)], Assignment({'r': ('me',)}, {'i-1': 'me'}))
    first, second = (make_call(call_id, 10, decisions.append) for call_id in ('c1', 'c2'))
    scheduler.submit(first, 10)
    scheduler.slots['i-1'].record_rate(RateStatement(1000, 10), is_from_peer=False)
    scheduler.release('i-1', first, 10)
    scheduler.submit(second, 10 + 0.1 / 1000)
    assert len(decisions) == 1
    scheduler.expire(10 + 2 / 1000)
    assert isinstance(decisions[1], Placed)
