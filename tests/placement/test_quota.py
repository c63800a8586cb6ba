import math

import attrs
import hypothesis
import pytest
from hypothesis import strategies

from camphorpath.placement.quota import RESERVE_HOLD_S, QuotaBounds, QuotaLedger, QuotaReport
from camphorpath.routing import Customer

BOUNDS = QuotaBounds(window_s=8, overshoot=0.1, allowance=1000)
INTERVAL_S = 0.25
STRICT = QuotaBounds(window_s=8, overshoot=0, allowance=0)


def make_customer(rate=100, burst=100):
    return Customer(
        name='c', priority=0, rate=rate, burst=burst, counts_tokens=True, default_units=10
    )


def find_peak_window(admitted, window_s):
    return max(
        sum(units for at, units in admitted if start <= at < start + window_s)
        for start, _units in admitted
    )


@hypothesis.given(
    requests=strategies.lists(
        strategies.tuples(strategies.floats(0, 0.5), strategies.floats(1, 90)), min_size=1
    ),
    restart_index=strategies.integers(0, 40),
)
@pytest.mark.parametrize('bounds', [BOUNDS, STRICT])
def test_no_window_exceeds_the_limit_across_a_restart(bounds, requests, restart_index):
    """Guards against a quota that is used twice because a restarted daemon lost its counts."""
    customer = make_customer()
    ledger = QuotaLedger(bounds, starts_full=True)
    admitted = []
    now = 0.0
    for number, (gap, units) in enumerate(requests):
        now += gap
        if number == restart_index:
            ledger = QuotaLedger(bounds, starts_full=False)
            ledger.start(now)
            reported_at = now
        if number >= restart_index and now >= reported_at + INTERVAL_S:
            ledger.make_report(now, INTERVAL_S)
            reported_at = now
        if not ledger.admit(customer, units, now):
            admitted.append((now, units))
    limit = customer.rate * bounds.window_s + customer.burst
    limit += bounds.overshoot * limit + bounds.allowance
    assert not admitted or find_peak_window(admitted, bounds.window_s) <= limit + 0.001


def test_usage_of_other_daemons_counts():
    """Guards against a customer that gets its full quota from each daemon."""
    customer = make_customer()
    ledger = QuotaLedger(STRICT, starts_full=True)
    ledger.apply_report('d2-1', QuotaReport(used={'c': 0}), 0)
    assert ledger.admit(customer, 40, 0) == 0
    ledger.apply_report('d2-1', QuotaReport(used={'c': 50}), 0)
    assert ledger.admit(customer, 20, 0) > 0
    assert ledger.admit(customer, 10, 0) == 0


def test_usage_before_the_first_report_is_ignored():
    """Guards against a daemon that refuses a customer because of the old usage of a peer."""
    ledger = QuotaLedger(STRICT, starts_full=True)
    customer = make_customer()
    assert ledger.admit(customer, 1, 0) == 0
    ledger.apply_report('d2-1', QuotaReport(used={'c': 10**9}), 0)
    assert ledger.admit(customer, 1, 0) == 0


def test_call_at_a_start_waits_for_the_others_to_start():
    """Guards against refusals at each daemon after all daemons were restarted at once."""
    customer = make_customer()
    ledger = QuotaLedger(BOUNDS, starts_full=False)
    ledger.start(0)
    ledger.make_report(0, INTERVAL_S, host_count=8)
    # Its own part alone would take 2.7 s.
    assert ledger.admit(customer, 30, 0.05) <= 0.6
    for number in range(1, 9):
        ledger.make_report(number * INTERVAL_S, INTERVAL_S, host_count=8)
    # They were not heard and may be cut off.
    assert ledger.admit(customer, 100, 2.05) >= 5


def test_refusal_states_when_units_are_available():
    """Guards against a Retry-After after which the caller is refused again."""
    customer = make_customer()
    ledger = QuotaLedger(STRICT, starts_full=True)
    assert ledger.admit(customer, 100, 0) == 0
    wait_s = ledger.admit(customer, 50, 0)
    assert wait_s == pytest.approx(0.5)
    assert ledger.admit(customer, 50, wait_s + 0.001) == 0


def test_units_of_a_call_that_did_not_run_are_refunded():
    """Guards against refused calls that use up the quota."""
    customer = make_customer()
    ledger = QuotaLedger(STRICT, starts_full=True)
    assert ledger.admit(customer, 100, 0) == 0
    ledger.refund(customer, 100)
    assert ledger.admit(customer, 100, 0) == 0


def test_instant_before_an_arrival_does_not_lower_the_demand():
    """Guards against demand that decays twice for the same seconds."""
    ledger = QuotaLedger(BOUNDS, starts_full=True)
    customer = make_customer()
    for now in (100, 90):
        ledger.record_arrival(customer, 10, now)
    assert ledger.make_report(100, INTERVAL_S).demand == {customer.name: 20}


def test_rate_of_zero_means_no_limit():
    """Guards against refusing customers without a quota."""
    ledger = QuotaLedger(STRICT, starts_full=False)
    assert ledger.admit(make_customer(rate=0), 10**9, 0) == 0


def test_less_urgent_calls_leave_part_of_the_burst():
    """Guards against less urgent calls that use up the quota that urgent calls need."""
    customer = make_customer()
    ledger = QuotaLedger(STRICT, starts_full=True)
    assert ledger.admit(customer, 5, 0, priority=0) == 0
    assert ledger.admit(customer, 60, 0, priority=2) == 0
    assert ledger.admit(customer, 10, 0, priority=2) > 0
    assert ledger.admit(customer, 30, 0, priority=0) == 0


def test_reserve_is_released_without_urgent_calls():
    """Guards against less urgent calls that are refused units that no urgent call needs."""
    customer = make_customer()
    ledger = QuotaLedger(STRICT, starts_full=True)
    assert ledger.admit(customer, 5, 0, priority=0) == 0
    assert ledger.admit(customer, 100, RESERVE_HOLD_S, priority=2) == 0
    assert ledger.admit(customer, 5, RESERVE_HOLD_S, priority=2) > 0


def test_daemons_without_calls_leave_units_to_the_others():
    """Guards against calls that wait for a report, as each of many idle daemons claims its part."""
    ledger = QuotaLedger(BOUNDS, starts_full=True)
    customer = make_customer()
    others = [make_customer(), attrs.evolve(make_customer(), name='other')]
    ledger.start(0)
    ledger.set_customers(others, 0)
    for number in range(8):
        now = number * INTERVAL_S
        for peer in range(99):
            demand = {'other': 5} if peer < 3 else {}
            ledger.apply_report(f'd{peer}-1', QuotaReport(used={}, demand=demand), now)
        ledger.record_arrival(others[1], 1, now)
        ledger.make_report(now, INTERVAL_S)
    assert ledger.admit(customer, 40, now) == 0


def test_daemons_that_begin_to_take_calls_do_not_all_claim_the_part_of_the_others():
    """Guards against a part for the daemons that take calls which each of many claims alone."""
    ledgers = [QuotaLedger(STRICT, starts_full=True) for _ in range(20)]
    customer = make_customer()
    reports = [QuotaReport(used={})] * len(ledgers)
    for ledger in ledgers:
        ledger.start(0)
        ledger.set_customers([customer, attrs.evolve(customer, name='other')], 0)
    for number in range(12):
        now = number * INTERVAL_S
        for own, ledger in enumerate(ledgers):
            for peer, report in enumerate(reports):
                if peer != own:
                    ledger.apply_report(f'd{peer}-1', report, now)
        if number > 5:
            for ledger in ledgers:
                ledger.record_arrival(attrs.evolve(customer, name='other'), 5, now)
        # All report at the same moment, so none knows what the others begin to do.
        reports = [ledger.make_report(now, INTERVAL_S) for ledger in ledgers]
        assert sum(report.used['c'] for report in reports) <= customer.burst


def test_restarts_of_one_daemon_do_not_lower_the_shares_of_the_others():
    """Guards against ended incarnations that count as daemons cut off from this one."""
    claims = []
    for restart_count in (0, 4):
        ledger = QuotaLedger(BOUNDS, starts_full=True)
        ledger.start(0)
        ledger.set_customers([make_customer()], 0)
        for incarnation in ('d1-0', 'd2-0'):
            ledger.apply_report(incarnation, QuotaReport(used={}), 0, incarnation[:2])
        ledger.make_report(0, INTERVAL_S)
        for number in range(1, restart_count + 1):
            ledger.remove_daemon(f'd1-{number - 1}', 1)
            ledger.apply_report(f'd1-{number}', QuotaReport(used={}), 1, 'd1')
        for incarnation in (f'd1-{restart_count}', 'd2-0'):
            ledger.apply_report(incarnation, QuotaReport(used={}), 1, incarnation[:2])
        claims.append(ledger.make_report(1, INTERVAL_S).used['c'])
    assert claims[0] == pytest.approx(claims[1])


def test_daemon_that_starts_gets_what_was_filled_for_others_that_it_hears():
    """Guards against calls that are refused as all daemons have started at once."""
    claims = []
    for host_count in (0, 7):
        ledger = QuotaLedger(BOUNDS, starts_full=False)
        ledger.start(0)
        ledger.set_customers([make_customer()], 0)
        ledger.record_arrival(make_customer(), 100, 0.02)
        ledger.make_report(0.02, INTERVAL_S, host_count)
        for number in range(host_count):
            ledger.apply_report(f'd{number}-1', QuotaReport(used={}), 0.2, f'd{number}')
        claims.append(ledger.make_report(0.02 + INTERVAL_S, INTERVAL_S, host_count).used['c'])
    assert claims[1] == pytest.approx(claims[0], rel=0.1)


def test_burst_at_one_daemon_of_a_small_fleet_is_admitted_at_once():
    """Guards against calls below the limit that wait for a report although the tolerance holds."""
    bounds = QuotaBounds(window_s=8, overshoot=0.1, allowance=190000)
    customer = make_customer(rate=47000, burst=65520)
    ledger = QuotaLedger(bounds, starts_full=True)
    ledger.start(0)
    ledger.set_customers([customer], 0)
    for number in range(8):
        for peer in range(8):
            report = QuotaReport(used={}, demand={'c': 1000})
            ledger.apply_report(f'd{peer}-1', report, number * INTERVAL_S)
        ledger.make_report(number * INTERVAL_S, INTERVAL_S)
    calls = [ledger.admit(customer, 4000, now=1.8) for _ in range(16)]
    assert not any(calls)
    # What the fleet uses is known in time to hold the limit, too.
    assert ledger.admit(customer, 4000, now=1.8) > 0


def test_calls_above_the_burst_share_their_part_of_the_tolerance():
    """Guards against large calls that each daemon admits before it hears of those of the others."""
    bounds = QuotaBounds(window_s=8, overshoot=0.1, allowance=190000)
    customer = make_customer(rate=47000, burst=65520)
    ledger = QuotaLedger(bounds, starts_full=True)
    ledger.set_customers([customer], 0)
    for peer in range(8):
        ledger.apply_report(f'd{peer}-1', QuotaReport(used={}), 0)
    ledger.make_report(0, INTERVAL_S)
    excess = 0.25 * (0.1 * (8 * 47000 + 65520) + 190000) / 9
    assert ledger.admit(customer, customer.burst + excess + 1, 0) == math.inf
    assert ledger.admit(customer, customer.burst + excess - 1, 0) == 0
