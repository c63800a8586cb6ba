"""The calls that wait for units of the quotas of their customers.

Handles bursts of a customer that exceed its bucket only for a moment: their calls can still be in
time, so they wait instead of being refused. Calls of one customer are admitted in order of urgency,
then of arrival; a call that would have to wait for too long is refused at once, so that a customer
that is above its limit for long learns it at once too.
"""

import enum
import heapq
import itertools
import math
from collections.abc import Callable, Iterator

import attrs

from ..routing import Customer
from .quota import QuotaLedger

# Bounds the memory of waiting calls, of all customers together.
MAX_WAITING_COUNT = 1000
# Shortest time between two announcements that the calls of a customer begin to wait.
ANNOUNCEMENT_INTERVAL_S = 1.0


@enum.unique
class QuotaState(enum.Enum):
    """Whether a call has the units that it asked for."""

    WAITING = enum.auto()
    ADMITTED = enum.auto()
    REFUSED = enum.auto()


@attrs.define(kw_only=True, eq=False)
class QuotaRequest:
    """The units that one call asks for; instants are on the lease clock."""

    customer: Customer
    units: float
    # Lower is more urgent.
    priority: int
    # The call is of no use if it has no units by then.
    wait_until: float
    # Called when the state changes, and when the call becomes the next one to be admitted.
    on_change: Callable[[], None] = lambda: None
    state: QuotaState = QuotaState.WAITING
    # Expected seconds until the units are there, from the last estimate; infinite if never.
    expected_wait_s: float = 0


@attrs.define
class _Line:
    """The waiting calls of one customer."""

    # Priority, number by arrival and request; those that no longer wait are dropped at the head.
    entries: list[tuple[int, int, QuotaRequest]] = attrs.field(factory=list)
    # Sum of the units of the waiting calls, and their number, by priority.
    units: dict[int, float] = attrs.field(factory=dict)
    counts: dict[int, int] = attrs.field(factory=dict)

    def count_ahead(self, priority: int) -> float:
        """Return the units of the calls that are admitted before a new one of a priority."""
        return sum(units for other, units in self.units.items() if other <= priority)

    def adjust(self, request: QuotaRequest, change: int) -> None:
        """Add a call to the sums, or remove it with a change of -1."""
        priority = request.priority
        count = self.counts.get(priority, 0) + change
        self.counts[priority] = count
        if not count:
            # Also ends the rounding errors of the sum.
            self.counts.pop(priority)
            self.units.pop(priority, None)
            return
        self.units[priority] = self.units.get(priority, 0) + change * request.units

    def count_calls(self) -> int:
        """Return the number of waiting calls."""
        return sum(self.counts.values())

    def find_last(self) -> QuotaRequest:
        """Return the waiting call that is admitted last; there must be one."""
        return max(entry for entry in self.entries if entry[2].state is QuotaState.WAITING)[2]

    def find_first(self) -> QuotaRequest | None:
        """Return the call that is admitted next, or None."""
        while self.entries and self.entries[0][2].state is not QuotaState.WAITING:
            heapq.heappop(self.entries)
        return self.entries[0][2] if self.entries else None


@attrs.define
class QuotaQueue:
    """The waiting calls of all customers at one daemon."""

    ledger: QuotaLedger
    waiting_count: int = 0
    _lines: dict[str, _Line] = attrs.field(factory=dict)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)
    # When it was last announced that calls of a customer wait, by customers of which calls waited.
    _announced_at: dict[str, float] = attrs.field(factory=dict)
    # Customers that were announced and whose end was not.
    _announced: set[str] = attrs.field(factory=set)

    def submit(self, request: QuotaRequest, now: float) -> None:
        """Admit a call, refuse it or let it wait; `on_change` is not called."""
        customer, units, priority = request.customer, request.units, request.priority
        if customer.rate <= 0:
            request.state = QuotaState.ADMITTED
            return
        self.ledger.record_arrival(customer, units, now, priority)
        line = self._lines.get(customer.name)
        ahead = line.count_ahead(priority) if line else 0
        if not ahead and self.ledger.take(customer, units, now, priority):
            request.state = QuotaState.ADMITTED
            return
        wait_s = self.ledger.estimate_wait(customer, units, now, priority, ahead)
        request.expected_wait_s = wait_s
        if now + wait_s > request.wait_until or not self._make_room(request):
            request.state = QuotaState.REFUSED
            return
        line = self._lines.get(customer.name)
        if line is None:
            line = _Line()
            self._lines[customer.name] = line
        heapq.heappush(line.entries, (priority, next(self._numbers), request))
        line.adjust(request, 1)
        self.waiting_count += 1

    def is_first(self, request: QuotaRequest) -> bool:
        """Return whether a call is the next one of its customer to be admitted."""
        line = self._lines.get(request.customer.name)
        return line is not None and line.find_first() is request

    def admit_waiting(self, name: str, now: float) -> None:
        """Admit the waiting calls of a customer for which there are units, in their order."""
        line = self._lines.get(name)
        first = line.find_first() if line else None
        while line and first:
            # A call that asked under an older manifest is bound by the quota of the newer one.
            customer = self.ledger.get_current(first.customer)
            if not self.ledger.take(customer, first.units, now, first.priority):
                return
            self._remove(first, QuotaState.ADMITTED)
            first.on_change()
            first = line.find_first()
            if first:
                first.on_change()

    def withdraw(self, request: QuotaRequest, now: float) -> None:
        """Refuse a call if it waits: its time is over or its caller has left."""
        if request.state is not QuotaState.WAITING:
            return
        customer, priority = self.ledger.get_current(request.customer), request.priority
        was_first = self.is_first(request)
        line = self._remove(request, QuotaState.REFUSED)
        request.expected_wait_s = self.ledger.estimate_wait(
            customer, request.units, now, priority, line.count_ahead(priority)
        )
        first = line.find_first()
        if was_first and first:
            first.on_change()

    def give_back(self, customer: Customer, units: float, now: float) -> None:
        """Return the units of a call that did not run and admit calls that wait for them."""
        self.ledger.refund(customer, units)
        self.admit_waiting(customer.name, now)

    def announce_wait(self, name: str, now: float) -> bool:
        """Return whether to announce that calls of a customer wait; at most once a second."""
        is_due = now - self._announced_at.get(name, -math.inf) >= ANNOUNCEMENT_INTERVAL_S
        if name in self._announced or name not in self._lines or not is_due:
            return False
        self._announced.add(name)
        self._announced_at[name] = now
        return True

    def announce_end(self, name: str) -> bool:
        """Return whether to announce that no call of a customer waits any more."""
        if name in self._lines or name not in self._announced:
            return False
        self._announced.discard(name)
        return True

    def count_waiting(self, name: str) -> int:
        """Return the number of calls of a customer that wait."""
        line = self._lines.get(name)
        return line.count_calls() if line else 0

    def _make_room(self, request: QuotaRequest) -> bool:
        """Return whether one more call may wait, after refusing another one if necessary.

        The last call of the customer with the most waiting calls leaves: a customer with many small
        calls takes the places of no other one, and its urgent calls find one.
        """
        if self.waiting_count < MAX_WAITING_COUNT:
            return True
        name, line = max(self._lines.items(), key=lambda item: item[1].count_calls())
        last = line.find_last()
        if name == request.customer.name:
            has_claim = request.priority < last.priority
        else:
            has_claim = self.count_waiting(request.customer.name) + 1 < line.count_calls()
        if has_claim:
            self._remove(last, QuotaState.REFUSED)
            last.on_change()
        return has_claim

    def _remove(self, request: QuotaRequest, state: QuotaState) -> _Line:
        """End the wait of a call and return its line."""
        name = request.customer.name
        line = self._lines[name]
        request.state = state
        line.adjust(request, -1)
        self.waiting_count -= 1
        if not line.counts:
            self._lines.pop(name)
        return line
