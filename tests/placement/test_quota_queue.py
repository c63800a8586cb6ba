import attrs
import pytest

from camphorpath.placement import quota_queue
from camphorpath.placement.quota_queue import QuotaQueue, QuotaRequest, QuotaState

from .test_quota import STRICT, QuotaLedger, make_customer


def make_queue(customer):
    """Return a queue whose bucket is empty at 0."""
    queue = QuotaQueue(QuotaLedger(STRICT, starts_full=True))
    queue.ledger.set_customers([customer], 0)
    assert queue.ledger.admit(customer, customer.burst, 0) == 0
    return queue


def submit(queue, customer, units, priority=0, now=0.0, wait_until=2.0):
    request = QuotaRequest(customer=customer, units=units, priority=priority, wait_until=wait_until)
    queue.submit(request, now)
    return request


def test_calls_are_admitted_by_urgency_then_by_arrival():
    """Guards against a waiting call that is admitted past a more urgent or an earlier one."""
    customer = make_customer()
    queue = make_queue(customer)
    later = submit(queue, customer, 10, priority=1)
    first = submit(queue, customer, 30)
    second = submit(queue, customer, 5)
    # There are units for the smaller calls only.
    queue.admit_waiting('c', 0.2)
    new = submit(queue, customer, 1, priority=1, now=0.2)
    states = [request.state for request in (first, second, later, new)]
    assert states == [QuotaState.WAITING] * 4
    queue.admit_waiting('c', 0.36)
    states = [request.state for request in (first, second, later, new)]
    assert states == [QuotaState.ADMITTED] * 2 + [QuotaState.WAITING] * 2


def test_returned_units_admit_waiting_calls():
    """Guards against a call that waits although units of a call that did not run are free."""
    customer = make_customer()
    queue = make_queue(customer)
    waiting = submit(queue, customer, 90)
    queue.give_back(customer, 95, 0)
    assert waiting.state is QuotaState.ADMITTED


def test_waiting_calls_are_bounded(monkeypatch):
    """Guards against memory that grows with waiting calls, and places that are never freed."""
    monkeypatch.setattr(quota_queue, 'MAX_WAITING_COUNT', 1)
    customer = make_customer()
    queue = make_queue(customer)
    waiting = submit(queue, customer, 10)
    assert submit(queue, customer, 10).state is QuotaState.REFUSED
    queue.withdraw(waiting, 0)
    assert submit(queue, customer, 10).state is QuotaState.WAITING


def test_lowered_limit_binds_waiting_calls():
    """Guards against calls that are admitted under the limit of an older manifest."""
    customer = make_customer()
    queue = make_queue(customer)
    waiting = submit(queue, customer, 50)
    queue.ledger.set_customers([attrs.evolve(customer, rate=10, burst=60)], 0)
    queue.admit_waiting('c', 1)
    assert waiting.state is QuotaState.WAITING
    queue.admit_waiting('c', 5)
    assert waiting.state is QuotaState.ADMITTED


def test_refused_call_is_told_the_wait_behind_the_calls_after_it():
    """Guards against a Retry-After that leaves out the calls that a repeated call waits behind."""
    customer = make_customer()
    queue = make_queue(customer)
    leaves = submit(queue, customer, 20)
    submit(queue, customer, 80, wait_until=9)
    queue.withdraw(leaves, 0)
    assert leaves.expected_wait_s == pytest.approx(1)


def test_full_queue_keeps_places_for_other_customers_and_urgent_calls(monkeypatch):
    """Guards against a customer with many small calls that takes all places of the queue."""
    monkeypatch.setattr(quota_queue, 'MAX_WAITING_COUNT', 3)
    customer, other = make_customer(), attrs.evolve(make_customer(), name='other')
    queue = make_queue(customer)
    queue.ledger.set_customers([customer, other], 0)
    assert queue.ledger.admit(other, other.burst, 0) == 0
    many = [submit(queue, customer, 1, priority=1) for _ in range(3)]
    assert submit(queue, other, 1, priority=1).state is QuotaState.WAITING
    assert submit(queue, customer, 1, priority=1).state is QuotaState.REFUSED
    assert submit(queue, customer, 1).state is QuotaState.WAITING
    states = [request.state for request in many]
    assert states == [QuotaState.WAITING, QuotaState.REFUSED, QuotaState.REFUSED]
    assert queue.waiting_count == 3
