"""Quotas over several daemons that exchange reports late, without a network."""

import math
import random

import attrs
import pytest

from camphorpath.placement.quota import FROZEN_INTERVAL_COUNT, QuotaBounds, QuotaLedger
from camphorpath.placement.quota_queue import QuotaQueue, QuotaRequest, QuotaState
from camphorpath.routing import Customer

BOUNDS = QuotaBounds(window_s=8, overshoot=0.1, allowance=190000)
STEP_S = 0.02
MAX_WAIT_S = 1.0
# Time after which the fleet has seen demand for some reports.
WARM_UP_S = 8
END_S = 32


def make_customer(name, rate, burst):
    return Customer(
        name=name, priority=0, rate=rate, burst=burst, counts_tokens=True, default_units=10
    )


FLOOD = make_customer('flood', 47000, 65520)
BURSTY = make_customer('bursty', 20000, 30000)


@attrs.define
class Daemon:
    queue: QuotaQueue
    report_at: float
    frozen_until: float = 0
    heard: dict = attrs.field(factory=dict)


@attrs.define
class Fleet:
    """Daemons by incarnation; each call is (customer, units, priority, arrival, request)."""

    count: int
    interval_s: float
    seed: int
    loss: float = 0.02
    now: float = 0
    daemons: dict = attrs.field(factory=dict)
    mail: list = attrs.field(factory=list)
    calls: list = attrs.field(factory=list)
    admitted: list = attrs.field(factory=list)
    waiting: list = attrs.field(factory=list)
    # When FLOOD begins to send 5 times its rate.
    flood_from: float = 0
    random: object = None

    def __attrs_post_init__(self):
        self.random = random.Random(self.seed)
        for number in range(self.count):
            self.start(f'd{number}-0')

    def start(self, incarnation):
        ledger = QuotaLedger(BOUNDS, starts_full=self.now == 0)
        ledger.start(self.now)
        ledger.set_customers((FLOOD, BURSTY), self.now)
        at = self.now + self.random.random() * self.interval_s
        self.daemons[incarnation] = Daemon(QuotaQueue(ledger), at)

    def step(self, arrivals):
        """Advance by STEP_S; `arrivals` has customers with the units that arrive, on average."""
        self.now += STEP_S
        late, self.mail = self.mail, []
        for sent_at, receiver, sender, report in late:
            daemon = self.daemons.get(receiver)
            if daemon is None:
                continue
            if daemon.frozen_until > self.now or sent_at + self.interval_s / 4 > self.now:
                self.mail.append((sent_at, receiver, sender, report))
                continue
            name = sender.partition('-')[0]
            daemon.queue.ledger.apply_report(sender, report, self.now, name)
            daemon.heard[sender] = self.now
        for incarnation, daemon in self.daemons.items():
            if daemon.frozen_until <= self.now:
                self.run(incarnation, daemon)
        for customer, units in arrivals:
            self.arrive(customer, units)
        self.settle()

    def run(self, incarnation, daemon):
        for sender, heard_at in list(daemon.heard.items()):
            if self.now - heard_at > FROZEN_INTERVAL_COUNT * self.interval_s:
                daemon.heard.pop(sender)
                daemon.queue.ledger.remove_daemon(sender, self.now)
        if self.now >= daemon.report_at:
            daemon.report_at = self.now + self.interval_s
            report = daemon.queue.ledger.make_report(self.now, self.interval_s, self.count - 1)
            for receiver in sorted(self.daemons.keys() - {incarnation}):
                if self.random.random() >= self.loss:
                    self.mail.append((self.now, receiver, incarnation, report))
        for customer in (FLOOD, BURSTY):
            daemon.queue.admit_waiting(customer.name, self.now)

    def arrive(self, customer, units):
        while units > 0:
            size = self.random.randint(500, 4000)
            units -= size
            if units < 0 and self.random.random() > (units + size) / size:
                continue
            incarnation = self.random.choice(sorted(self.daemons))
            daemon = self.daemons[incarnation]
            if daemon.frozen_until > self.now:
                continue
            request = QuotaRequest(
                customer=customer, units=size, priority=0, wait_until=self.now + MAX_WAIT_S
            )
            daemon.queue.submit(request, self.now)
            self.calls.append((self.now, request))
            self.waiting.append((daemon, request))

    def settle(self):
        waiting, self.waiting = self.waiting, []
        for daemon, request in waiting:
            if request.wait_until < self.now:
                daemon.queue.withdraw(request, self.now)
            if request.state is QuotaState.ADMITTED:
                self.admitted.append((self.now, request))
            elif request.state is QuotaState.WAITING:
                self.waiting.append((daemon, request))

    def play(self, disturb=lambda fleet: None):
        """FLOOD arrives at 5 times its rate, BURSTY at half, in bursts above its burst."""
        while self.now < END_S:
            disturb(self)
            bursts = 1.5 * BURSTY.burst * STEP_S / 0.4 if self.now % 4.5 < 0.4 else 0
            factor = 5 if self.now >= self.flood_from else 0.3
            self.step(((FLOOD, factor * FLOOD.rate * STEP_S), (BURSTY, bursts)))

    def check_rule(self, customers=(FLOOD, BURSTY)):
        for customer in customers:
            limit = customer.rate * BOUNDS.window_s + customer.burst
            rule = limit * (1 + BOUNDS.overshoot) + BOUNDS.allowance
            used = [(at, r.units) for at, r in self.admitted if r.customer.name == customer.name]
            for end, _units in used:
                window = sum(units for at, units in used if end - BOUNDS.window_s < at <= end)
                assert window <= rule

    def get_used_share(self):
        """Return the share of its limit that FLOOD used after the warm-up."""
        limit = FLOOD.rate * BOUNDS.window_s + FLOOD.burst
        used = sum(r.units for at, r in self.admitted if r.customer is FLOOD and at >= WARM_UP_S)
        return used / limit * BOUNDS.window_s / (END_S - WARM_UP_S)


@pytest.mark.parametrize(('count', 'interval_s'), [(6, 0.25), (12, 0.25), (12, 1)])
def test_flood_uses_its_limit_and_bursts_are_not_refused(count, interval_s):
    """Guards against use above the rule, a limit left unused, and refusals below the limit."""
    fleet = Fleet(count, interval_s, seed=1)
    fleet.play()
    fleet.check_rule()
    assert fleet.get_used_share() >= 0.95
    refused = [
        (at, request.units)
        for at, request in fleet.calls
        if request.customer is BURSTY and request.state is QuotaState.REFUSED and at > WARM_UP_S
    ]
    assert not refused


def kill(fleet):
    """Kill half of the daemons without a last report, then start them empty."""
    if fleet.now == pytest.approx(12):
        for number in range(0, fleet.count, 2):
            fleet.daemons.pop(f'd{number}-0')
    if fleet.now == pytest.approx(13):
        for number in range(0, fleet.count, 2):
            fleet.start(f'd{number}-1')


def freeze(fleet):
    """Freeze some daemons, shorter and longer than until they count as lost."""
    if fleet.now == pytest.approx(12):
        for number, seconds in enumerate((0.6, 3, 6)):
            fleet.daemons[f'd{number}-0'].frozen_until = fleet.now + seconds


def lose_heartbeats(fleet):
    fleet.loss = 0.5 if 12 < fleet.now < 20 else 0


def cut_off(fleet):
    """Drop what two daemons send and receive for a while; they still take calls."""
    if 12 < fleet.now < 18:
        parted = {'d0-0', 'd1-0'}
        fleet.mail = [m for m in fleet.mail if m[1] not in parted and m[2] not in parted]


@pytest.mark.parametrize('interval_s', [0.25, 1])
@pytest.mark.parametrize('disturb', [kill, freeze, lose_heartbeats, cut_off])
def test_rule_holds_when_daemons_fail(disturb, interval_s):
    """Guards against units that are used twice as nobody knows what a failed daemon used."""
    fleet = Fleet(6, interval_s, seed=2)
    fleet.play(disturb)
    fleet.check_rule()
    assert fleet.get_used_share() >= 0.9


CUT_AT_S = 10
# Longer than a window, and than cuts that platforms state.
CUT_S = 14


def cut_into(fleet, sides):
    """Drop what daemons on different sides of a cut send each other; `sides` hold numbers."""
    if not CUT_AT_S < fleet.now < CUT_AT_S + CUT_S:
        return
    side_by_name = {f'd{number}': index for index, side in enumerate(sides) for number in side}

    def is_together(first, second):
        return side_by_name[first.partition('-')[0]] == side_by_name[second.partition('-')[0]]

    fleet.mail = [mail for mail in fleet.mail if is_together(mail[1], mail[2])]


ALONE = [[number] for number in range(9)]
HALVES = [range(4), range(4, 9)]
THIRDS = [range(3), range(3, 6), range(6, 9)]
THREE_ALONE = [[0], [1], [2], range(3, 9)]


@pytest.mark.parametrize('flood_from', [0, CUT_AT_S, CUT_AT_S + 2, CUT_AT_S + 9])
@pytest.mark.parametrize('sides', [ALONE, HALVES, THIRDS, THREE_ALONE, [[0], range(1, 9)]])
@pytest.mark.parametrize('interval_s', [0.25, 1])
def test_sides_of_a_cut_together_keep_the_rule(interval_s, sides, flood_from):
    """Guards against daemons that are cut off from each other and each use the whole quota."""
    fleet = Fleet(9, interval_s, seed=3, flood_from=flood_from)
    fleet.play(lambda fleet: cut_into(fleet, sides))
    fleet.check_rule()


@pytest.mark.parametrize('sides', [HALVES, THREE_ALONE])
@pytest.mark.parametrize('interval_s', [0.25, 1])
def test_daemons_that_start_during_a_cut_keep_the_rule(interval_s, sides):
    """Guards against a daemon that takes those that it never heard for gone."""
    fleet = Fleet(9, interval_s, seed=4, flood_from=CUT_AT_S)

    def disturb(fleet):
        cut_into(fleet, sides)
        if fleet.now == pytest.approx(CUT_AT_S + 4):
            for number in (0, 5):
                fleet.daemons.pop(f'd{number}-0')
        if fleet.now == pytest.approx(CUT_AT_S + 5):
            for number in (0, 5):
                fleet.start(f'd{number}-1')

    fleet.play(disturb)
    fleet.check_rule()


@pytest.mark.parametrize('seed', [5, 8])
def test_sides_that_meet_again_do_not_find_a_full_bucket(seed):
    """Guards against a flood that gets what was filled for the other side before it began."""
    fleet = Fleet(9, 1, seed, flood_from=CUT_AT_S + 9)
    fleet.play(lambda fleet: cut_into(fleet, HALVES))
    fleet.check_rule()


@pytest.mark.parametrize('interval_s', [0.25, 1])
def test_daemons_that_all_start_at_once_and_again_keep_the_rule(interval_s):
    """Guards against daemons that take a part of the quota again with each start."""
    fleet = Fleet(9, interval_s, seed=3)

    def disturb(fleet):
        for restart, at in enumerate((11, 14)):
            if fleet.now == pytest.approx(at):
                fleet.daemons.clear()
                for number in range(fleet.count):
                    fleet.start(f'd{number}-{restart + 1}')

    fleet.play(disturb)
    fleet.check_rule()


@pytest.mark.parametrize('factor', [0.5, 2])
@pytest.mark.parametrize('interval_s', [0.25, 1])
def test_sides_keep_the_rule_while_one_of_them_gets_another_quota(interval_s, factor):
    """Guards against sides that add up the parts of two quotas to more than the larger one."""
    fleet = Fleet(9, interval_s, seed=6, flood_from=CUT_AT_S)
    other = attrs.evolve(FLOOD, rate=factor * FLOOD.rate, burst=factor * FLOOD.burst)

    def disturb(fleet):
        cut_into(fleet, THREE_ALONE)
        if fleet.now == pytest.approx(CUT_AT_S + 2):
            for number in THREE_ALONE[-1]:
                ledger = fleet.daemons[f'd{number}-0'].queue.ledger
                ledger.set_customers((other, BURSTY), fleet.now)

    fleet.play(disturb)
    larger = other if factor > 1 else FLOOD
    fleet.check_rule((larger, BURSTY))


@pytest.mark.parametrize('sides', [HALVES, THREE_ALONE])
def test_steady_calls_below_the_quota_are_not_refused_on_any_side(sides):
    """Guards against parts of a cut that are too small for the calls that come there."""
    fleet = Fleet(9, 0.25, seed=7, flood_from=math.inf)
    fleet.play(lambda fleet: cut_into(fleet, sides))
    refused = [
        request
        for at, request in fleet.calls
        if request.customer is FLOOD and request.state is QuotaState.REFUSED and at > WARM_UP_S
    ]
    assert not refused


def test_part_of_a_daemon_that_is_gone_comes_back():
    """Guards against a quota of which a part is lost with each daemon that was killed."""
    fleet = Fleet(6, 0.25, seed=5, loss=0)
    ledger = fleet.daemons['d0-0'].queue.ledger
    while fleet.now < 8:
        fleet.step(())
    assert ledger._reach == 1
    fleet.daemons.pop('d5-0')
    while fleet.now < 10:
        fleet.step(())
    assert ledger._reach == pytest.approx(5 / 6)
    # As a new process of the same name, at once.
    fleet.start('d5-1')
    while fleet.now < 11:
        fleet.step(())
    assert ledger._reach == 1
    # Else when it would have used no part for longer than cuts last.
    fleet.daemons.pop('d5-1')
    while fleet.now < 11 + 3 * BOUNDS.window_s + 3:
        fleet.step(())
    assert ledger._reach == 1
    assert len(ledger._peers) == 4


def test_part_of_a_daemon_that_restarts_at_once_comes_back():
    """Guards against a part that is kept for a killed daemon as its next process came soon."""
    fleet = Fleet(6, 1, seed=2, loss=0)
    while fleet.now < WARM_UP_S:
        fleet.step(())
    fleet.daemons.pop('d5-0')
    while fleet.now < WARM_UP_S + 2:
        fleet.step(())
    # The others count it as lost later.
    fleet.start('d5-1')
    while fleet.now < WARM_UP_S + 4:
        fleet.step(())
    assert fleet.daemons['d0-0'].queue.ledger._reach == 1
