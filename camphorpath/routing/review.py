"""Reviews a routing table before it is put in force: faults, doubts and changes.

A fault makes a route or customer unusable or ambiguous. A doubt is an entry without effect, or
limits that contradict each other.
"""

import enum
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from .records import Customer, Route
from .table import RoutingTable


@enum.unique
class Severity(enum.Enum):
    """Whether a finding forbids a configuration."""

    ERROR = 'error'
    WARNING = 'warning'


@attrs.frozen
class Finding:
    """A fault or a doubt, and the entry in which it was found."""

    severity: Severity
    entry: str
    problem: str

    def __str__(self) -> str:
        """Return one line without a newline."""
        return f'{self.severity.value}: {self.entry}: {self.problem}'


def review_table(table: RoutingTable) -> list[Finding]:
    """Return the findings on the routes, services, customers and limits of a table."""
    findings = _review_names(table)
    for route in table.routes:
        entry = f'route {route.name}'
        findings += _make_findings(Severity.ERROR, entry, _list_route_faults(route, table))
        findings += _make_findings(Severity.WARNING, entry, _list_route_doubts(route, table))
    targeted = {name for route in table.routes for name, weight in route.targets if weight > 0}
    for name in sorted(set(table.services) - targeted):
        problem = 'no route leads to it'
        findings.append(Finding(Severity.WARNING, f'service {name}', problem))
    for customer in _list_customers(table):
        problems = _list_customer_doubts(customer)
        findings += _make_findings(Severity.WARNING, f'customer {customer.name}', problems)
    return findings + _review_limits(table)


def compare_tables(before: RoutingTable, after: RoutingTable) -> list[str]:
    """Return a line for each entry that was added, removed or changed; keys are only counted."""
    lines = _compare_entries('route', _index_by_name(before.routes), _index_by_name(after.routes))
    lines += _compare_entries('service', before.services, after.services)
    customers = [_index_by_name(_list_customers(table)) for table in (before, after)]
    lines += _compare_entries('customer', *customers)
    old_keys, new_keys = (set(table.customers or ()) for table in (before, after))
    if old_keys != new_keys:
        added, removed = new_keys - old_keys, old_keys - new_keys
        lines.append(f'keys: {len(added)} added, {len(removed)} removed')
    lines += _compare_entries('limits', {'': before.limits}, {'': after.limits})
    return lines


def _make_findings(severity: Severity, entry: str, problems: Iterable[str]) -> list[Finding]:
    return [Finding(severity, entry, problem) for problem in problems]


def _review_names(table: RoutingTable) -> list[Finding]:
    """Return the findings on entries that hide each other."""
    entries = [(f'route {route.name}', route) for route in table.routes]
    entries += [(f'customer {customer.name}', customer) for customer in _list_customers(table)]
    counts = Counter(entry for entry, _record in entries)
    findings = [
        Finding(Severity.ERROR, entry, 'several entries have this name')
        for entry, count in sorted(counts.items())
        if count > 1
    ]
    first: dict[tuple[str, str], str] = {}
    for route in table.routes:
        other = first.setdefault((route.host, route.prefix), route.name)
        if other is route.name:
            continue
        problem = f'never matches beside route {other}: same host and prefix'
        findings.append(Finding(Severity.ERROR, f'route {route.name}', problem))
    return findings


def _list_route_faults(route: Route, table: RoutingTable) -> list[str]:
    problems = []
    if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
        problems.append(f'never matches: the prefix {route.prefix!r} must begin and end with "/"')
    if not sum(weight for _name, weight in route.targets):
        problems.append('leads to no service: all weights are 0')
    for name, _weight in route.targets:
        if name not in table.services:
            problems.append(f'leads to the service {name}, which does not exist')
    if route.timeout_s <= 0:
        problems.append('every call is too late: the time limit is 0')
    if route.needs_key and table.customers is not None and not table.customers:
        problems.append('refuses every call: it asks for a key, but no customer has one')
    return problems


def _list_route_doubts(route: Route, table: RoutingTable) -> list[str]:
    problems = []
    for name, weight in route.targets:
        if not weight and name in table.services:
            problems.append(f'gives no calls to the service {name}: its weight is 0')
    if route.objective_s > route.timeout_s:
        problems.append(
            f'the latency objective ({route.objective_s} s) exceeds the time limit '
            f'({route.timeout_s} s)'
        )
    if route.max_event_gap_s > route.timeout_s and route.max_event_gap_s != float('inf'):
        problems.append('the event gap that it allows exceeds the time limit')
    if route.max_attempts > 1 and not route.is_repeatable:
        problems.append(
            f'{route.max_attempts} attempts are allowed, but its calls may not be repeated'
        )
    return problems


def _list_customer_doubts(customer: Customer) -> list[str]:
    problems = []
    if customer.burst and not customer.rate:
        problems.append('the burst has no effect: without a rate there is no limit')
    if customer.rate > 0 and customer.burst < 1:
        problems.append('the burst is below one unit, so that it admits hardly any call')
    if customer.rate > 0 and customer.counts_tokens and customer.burst < customer.default_units:
        problems.append('the burst is below what a call without stated tokens takes')
    return problems


def _review_limits(table: RoutingTable) -> list[Finding]:
    limits = table.limits
    problems = []
    if not (limits.max_head_bytes and limits.head_timeout_s):
        problems.append('refuse every call: the size or time of a head is 0')
    findings = _make_findings(Severity.ERROR, 'limits', problems)
    longest_s = max((route.timeout_s for route in table.routes), default=0)
    if limits.head_timeout_s > limits.idle_timeout_s:
        problem = 'a head may take longer than a connection may be idle'
        findings.append(Finding(Severity.WARNING, 'limits', problem))
    if 0 < longest_s < limits.head_timeout_s:
        problem = 'a head may take longer than the longest time limit of a route'
        findings.append(Finding(Severity.WARNING, 'limits', problem))
    return findings


def _list_customers(table: RoutingTable) -> list[Customer]:
    return sorted(set((table.customers or {}).values()), key=lambda customer: customer.name)


def _index_by_name(entries: Iterable[Route] | Iterable[Customer]) -> dict[str, Any]:
    return {entry.name: entry for entry in entries}


def _compare_entries(kind: str, before: Mapping[str, Any], after: Mapping[str, Any]) -> list[str]:
    lines = []
    for name in sorted({*before, *after}):
        title = f'{kind} {name}'.strip()
        if name not in before:
            lines.append(f'{title}: added')
            continue
        if name not in after:
            lines.append(f'{title}: removed')
            continue
        for field in attrs.fields(type(after[name])):
            old, new = getattr(before[name], field.name), getattr(after[name], field.name)
            if old != new:
                lines.append(f'{title}: {field.name} {old} -> {new}')
    return lines
