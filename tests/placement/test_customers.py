import collections
import functools
import random

import attrs
import pytest

from camphorpath.placement.customers import CustomerShares
from camphorpath.placement.queue import MAX_SIZE_SHIFT_RANKS, CallQueue
from camphorpath.routing import Customer

from .simulation import BASELINE_ENGINE_COUNT, CALL_CLASSES, Fleet, plan_jobs, simulate
from .test_scheduler import SchedulerHarness

NAMES = 'abcdefgh'
CHANGE_AT_S = 6
END_S = 18


def make_shares(rates=(0, 0, 0, 0, 0, 0, 0, 0)):
    shares = CustomerShares()
    shares.apply_customers(
        Customer(name=name, priority=0, rate=rate, burst=0, counts_tokens=True, default_units=0)
        for name, rate in zip(NAMES, rates, strict=True)
    )
    return shares


class ReportingFleet(Fleet):
    """Daemons whose reports on customers arrive one heartbeat late.

    With faults, all reports are lost for a second, and one daemon then starts without history.
    """

    def __init__(self, slots, *, has_faults=False, **fields):
        super().__init__(slots)
        self.has_faults = has_faults
        self.reports = collections.defaultdict(dict)
        for scheduler in self.schedulers:
            scheduler.customers = make_shares(**fields)

    def send_heartbeat(self, sender, now):
        super().send_heartbeat(sender, now)
        is_restarted = self.has_faults and now > CHANGE_AT_S + 3 and sender is self.schedulers[0]
        incarnation = f'{sender.name}-{is_restarted}'
        if is_restarted and incarnation not in self.reports:
            sender.customers = make_shares()
        late_report = self.reports[incarnation]
        self.reports[incarnation] = sender.customers.share_served()
        if self.has_faults and CHANGE_AT_S + 2 < now < CHANGE_AT_S + 3:
            return
        for scheduler in self.schedulers:
            if scheduler is not sender:
                scheduler.customers.apply_report(incarnation, late_report, now)


def play(factory, *, seed=1, rate_per_s=10, added_per_s=0, names=NAMES):
    """Return the calls served by customer; from CHANGE_AT_S on, the last one sends more of them."""
    classes = [
        attrs.evolve(CALL_CLASSES[1], name=name, customer=name, rate_per_s=rate_per_s)
        for name in names
    ]
    added = []
    if added_per_s:
        flood = attrs.evolve(classes[-1], rate_per_s=added_per_s)
        added = plan_jobs(random.Random(seed), [flood], 1, END_S - CHANGE_AT_S)
    for job in added:
        job.first_sent_at += CHANGE_AT_S
    outcome = simulate(
        factory,
        seed=seed,
        relative_load=BASELINE_ENGINE_COUNT / 6,
        slowdowns=(1,) * 6,
        duration_s=END_S,
        call_classes=classes,
        added_jobs=added,
    )
    done = [job for job in outcome.jobs if job.is_done]
    return collections.Counter(
        job.call_class.name for job in done if CHANGE_AT_S <= job.last_event_at < END_S
    )


@pytest.mark.parametrize('has_faults', [False, True])
@pytest.mark.parametrize('seed', [1, 2])
def test_flood_of_one_customer_costs_the_others_little(seed, has_faults):
    """Guards against a customer at 8 times its usual traffic that takes the slots of the others."""
    factory = functools.partial(ReportingFleet, has_faults=has_faults)
    usual = play(factory, seed=seed)
    flooded = play(factory, seed=seed, added_per_s=70)
    assert flooded.total() >= usual.total()
    assert flooded.total() - flooded['h'] >= 0.95 * (usual.total() - usual['h'])


def test_customer_alone_gets_everything():
    """Guards against capacity that is withheld from the only customer with calls."""
    assert play(ReportingFleet, rate_per_s=150, names='h') == play(Fleet, rate_per_s=150, names='h')


def test_service_follows_the_weights():
    """Guards against a large quota, or none, that gets a customer no more than a small one."""
    factory = functools.partial(ReportingFleet, rates=[300, 300, 300, 100, 100, 100, 0, 0])
    served = play(factory, rate_per_s=30)
    large, small, mean = (sum(served[name] for name in names) for names in ('abc', 'def', 'gh'))
    assert 2 < large / small < 3.5
    assert small / 3 < mean / 2 < large / 3


def test_calls_keep_their_order_while_the_load_rises_for_all_customers():
    """Guards against fewer served calls as chance moves customers above their shares."""
    shares = make_shares([100] * 8)
    shares.read_demand = {'a': 300, 'b': 700, 'c': 200}.__getitem__
    for name, tokens in (('a', 300), ('b', 300), ('c', 10)):
        shares.open_account(name, 0).record_placement(tokens)
    shares.update(0, [])
    shifts = [shares.open_account(name, 0).overuse_shift for name in 'abc']
    assert shifts[0] == shifts[2] == 0
    assert shifts[1] > 0


def test_flood_of_one_of_two_customers_goes_behind_the_other():
    """Guards against a flood that is compared with an average in which it counts itself."""
    shares = make_shares([300] + [100] * 7)
    shares.read_demand = {'a': 700, 'b': 100}.__getitem__
    for name, tokens in (('a', 700), ('b', 100)):
        shares.open_account(name, 0).record_placement(tokens)
    shares.update(0, [])
    assert shares.open_account('a', 0).overuse_shift > 0


def test_no_share_moves_a_call_past_another_rank():
    """Guards against an urgent call that waits behind a less urgent one of another customer."""
    harness = SchedulerHarness([])
    calls = [harness.make_call(name, rank=(0, name == 'next')) for name in ('next', 'above', 'in')]
    calls[1].account.apply_overuse(1e9)
    for call, sign in zip(calls, (-1, -1, 1), strict=True):
        call.size_shift = sign * MAX_SIZE_SHIFT_RANKS
    ordered = CallQueue(calls).ordered(0, None)
    assert [call.call_id for call in ordered] == ['in', 'above', 'next']


def test_reports_of_a_lost_daemon_decay():
    """Guards against a flood that counts as nothing once the daemon that served it is lost."""
    shares = make_shares()
    shares.open_account('b', 0).record_placement(100)
    shares.apply_report('d2', {'a': 900, 'b': 0, 'unknown': 5}, 0)
    shares.apply_report('d2', {'a': float('nan')}, 0)
    for now, is_above in ((0, True), (4, True), (60, False)):
        shares.update(now, [shares.open_account('a', now)])
        assert (shares.open_account('a', now).overuse > 1) == is_above
    assert not shares._reports


def test_instant_before_a_report_does_not_raise_the_counts():
    """Guards against counts that grow without limit, and overflow, for a report from later on."""
    shares = make_shares()
    shares.update(1e6, [])
    for name, tokens in (('a', 300), ('b', 100)):
        shares.open_account(name, 1e6).record_placement(tokens)
    shares.apply_report('d2', {'a': 300, 'b': 100}, 1e6)
    for now in (0, 1e6):
        shares.update(now, [])
        assert shares.share_served() == {'a': 300, 'b': 100}
        assert shares.open_account('a', now).overuse == pytest.approx(1.5)


def test_idle_customer_leaves_the_others_within_their_shares():
    """Guards against shares that a customer without calls lowers for minutes."""
    shares = make_shares()
    shares.open_account('c', 0).record_placement(1e6)
    shares.apply_report('d2', {'d': 1e6}, 0)
    for step in range(120):
        now = step / 4
        for name in 'ab':
            shares.open_account(name, now).record_placement(2500)
        shares.update(now, [])
        for _count in shares.take_counts():
            pass
    assert shares.open_account('a', now).overuse == pytest.approx(1)


def test_slot_of_a_starved_class_follows_the_shares():
    """Guards against a flood in a starved class that takes the slots reserved for the class."""
    harness = SchedulerHarness([])
    calls = [
        harness.make_call(name, now=number, rank=(0, 1))
        for number, name in enumerate(('flood', 'flood rest', 'within'))
    ]
    queue = CallQueue(calls, next_slot_number=2)
    for call in calls[:2]:
        call.account.apply_overuse(8)
    served = harness.make_call('other')
    for call in (*calls, served):
        queue.record_arrival(call)
    queue.record_placement(served)
    assert queue.find_starved() is calls[2]
    calls[1].required_version = ''
    assert queue.find_starved() is calls[1]


def test_customers_equally_far_above_their_shares_are_ordered_by_size():
    """Guards against large calls that go first while some customers send little."""
    harness = SchedulerHarness([])
    calls = [harness.make_call(name, now=now) for now, name in enumerate(('large', 'small', 'far'))]
    for call, overuse, shift in zip(calls, (1.92, 1.95, 8), (0.3, -0.3, -0.3), strict=True):
        call.account.apply_overuse(overuse)
        call.size_shift = shift
    ordered = CallQueue(calls).ordered(0, None)
    assert [call.call_id for call in ordered] == ['small', 'large', 'far']
