"""The records of a soak run and the checks of its properties, as pure functions."""

import collections
import itertools
import json
import math
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping, Sequence
from typing import TypeVar

import attrs

from .callers import CallRecord

# Event numbers, see docs/events.md.
REQUEST_ACCEPTED = 301
REQUEST_SENT = 302
REQUEST_COMPLETE = 303
REQUEST_REFUSED = 304
REQUEST_FAILED = 305
CALLER_LEFT = 306
SHED = 403
PREEMPTED = 404
RELEASED = 405
CONFIG_ACTIVATED = 703
END_NUMBERS = frozenset((REQUEST_COMPLETE, REQUEST_REFUSED, REQUEST_FAILED, CALLER_LEFT))
# Reasons in answers to a copy of a request; they do not mean that the original has ended.
COPY_REASONS = frozenset(('duplicate_request_id', 'other_home', 'request_id_expired'))
MAX_LEAVING_NOTICE_S = 5
MAX_ACTIVATION_S = 10
STATUS_OK = 200
MAX_CRASHES = 2

Item = TypeVar('Item')


@attrs.frozen
class LogEvent:
    """One event of a daemon's log; like all times of this module, `at` is in seconds since 1970."""

    at: float
    incarnation: str
    number: int
    request_id: str = ''
    upstream: str = ''
    fields: Mapping[str, str] = attrs.Factory(dict)


@attrs.frozen
class Execution:
    """One execution at an upstream; `answer` is the answer of a booking service."""

    at: float
    upstream: str
    request_id: str
    key: str = ''
    digest: str = ''
    answer: Mapping[str, object] | None = None


@attrs.frozen
class Leaving:
    """A period in which daemons can read that an upstream is leaving."""

    upstream: str
    since: float
    until: float = math.inf


@attrs.frozen
class Proposal:
    """A proposed configuration and the reply that its operator received."""

    reason: str
    base: int
    ended: float
    accepted: bool = False
    committed: bool = False
    version: int = 0
    problem: str = ''


@attrs.define
class Lifetime:
    """One daemon process; times of events that have not happened are infinite.

    `stopped` is when its graceful stop was requested, `ended` when its exit was seen.
    """

    name: str
    url: str
    started: float
    killed: float = math.inf
    stopped: float = math.inf
    ended: float = math.inf
    exit_code: int | None = None


@attrs.frozen
class Violation:
    """A violated property, a description, and the ids of the requests concerned."""

    name: str
    text: str
    request_id: str = ''
    other_id: str = ''


@attrs.define
class History:
    """Everything that a run recorded."""

    records: list[CallRecord] = attrs.Factory(list)
    executions: list[Execution] = attrs.Factory(list)
    events: list[LogEvent] = attrs.Factory(list)
    leavings: list[Leaving] = attrs.Factory(list)
    proposals: list[Proposal] = attrs.Factory(list)
    versions: dict[int, str] = attrs.Factory(dict)
    lifetimes: list[Lifetime] = attrs.Factory(list)
    ranks: dict[str, int] = attrs.Factory(dict)
    keep_addresses_s: float = 3
    crash_digests: frozenset[str] = frozenset()

    def list_kills(self) -> dict[str, float]:
        """Return when the process of each incarnation was killed; infinity if it was not."""
        first_event_at: dict[str, float] = {}
        for event in self.events:
            first_event_at.setdefault(event.incarnation, event.at)
        kills = {}
        for incarnation, first_at in first_event_at.items():
            name = incarnation.rpartition('-')[0]
            killed_at = [lifetime.killed for lifetime in self.lifetimes if lifetime.name == name]
            kills[incarnation] = min((end for end in killed_at if end > first_at), default=math.inf)
        return kills


# A check returns the number of cases that it examined and the violations.
Check = Callable[[History], tuple[int, list[Violation]]]


def check_single_execution(history: History) -> tuple[int, list[Violation]]:
    """P1: no request id is executed more than once, and none runs without an id."""
    violations = []
    groups = _group(history.executions, lambda execution: execution.request_id)
    for request_id, executions in groups.items():
        if len(executions) > 1 or not request_id:
            places = ', '.join(f'{run.upstream}@{run.at:.3f}' for run in executions)
            violations.append(
                Violation('P1', f'executed {len(executions)} times: {places}', request_id)
            )
    return len(groups), violations


@attrs.frozen
class _Span:
    """The period in which a cancellable request was running."""

    request_id: str
    rank: int
    since: float
    until: float


def check_tiers(history: History) -> tuple[int, list[Violation]]:
    """P2: no confirmed owner sheds while a lower, cancellable request of the service runs."""
    accepted = _read_accepted(history)
    spans = _list_spans(history, accepted)
    violations = []
    sheds = [event for event in history.events if event.number == SHED]
    for event in sheds:
        service, tier = accepted.get(event.request_id, ('', event.fields.get('tier', '')))
        rank = history.ranks[tier]
        for span in spans.get(service, ()):
            if span.rank > rank and span.since < event.at < span.until:
                text = (
                    f'{tier} shed at {event.at:.3f} by {event.incarnation} while {span.request_id} '
                    f'of rank {span.rank} ran from {span.since:.3f} to {span.until:.3f}'
                )
                violations.append(Violation('P2', text, event.request_id, span.request_id))
    return len(sheds), violations


def _read_accepted(history: History) -> dict[str, tuple[str, str]]:
    return {
        event.request_id: (event.fields['service'], event.fields['tier'])
        for event in history.events
        if event.number == REQUEST_ACCEPTED
    }


def _list_spans(
    history: History, accepted: Mapping[str, tuple[str, str]]
) -> dict[str, list[_Span]]:
    lookup_ids = {record.request_id for record in history.records if record.kind == 'lookup'}
    ended_at: dict[str, float] = {}
    kills = history.list_kills()
    homes = {
        event.request_id: event.incarnation
        for event in history.events
        if event.number == REQUEST_SENT
    }
    for event in history.events:
        if _is_end_of_request(event, homes.get(event.request_id, '')):
            ended_at.setdefault(event.request_id, event.at)
    spans: dict[str, list[_Span]] = {}
    for event in history.events:
        service, tier = accepted.get(event.request_id, ('', ''))
        if event.number != REQUEST_SENT or not (
            service == 'scribe' or event.request_id in lookup_ids
        ):
            continue
        until = min(ended_at.get(event.request_id, math.inf), kills[event.incarnation])
        span = _Span(event.request_id, history.ranks[tier], event.at, until)
        spans.setdefault(service, []).append(span)
    return spans


def _is_end_of_request(event: LogEvent, home: str) -> bool:
    # Preemption counts as the end: the owner may shed before a preempted request has ended.
    if event.number in {RELEASED, PREEMPTED}:
        return True
    if event.number not in END_NUMBERS or event.incarnation != home:
        return False
    return event.fields.get('reason') not in COPY_REASONS


def check_answers(history: History) -> tuple[int, list[Violation]]:
    """P3: an answer that looks complete is complete and belongs to the call."""
    violations = []
    keys_by_answer = {json.dumps(run.answer): run.key for run in history.executions if run.answer}
    for record in history.records:
        text = ''
        if record.outcome == 'wrong':
            text = f'{record.kind}: wrong or incomplete answer that looks complete'
        elif record.outcome == 'complete' and not _is_own_answer(record, keys_by_answer):
            text = f'{record.kind} {record.key} was answered with {record.body}'
        if text:
            violations.append(Violation('P3', text, record.request_id))
    complete = sum(record.outcome == 'complete' for record in history.records)
    return complete, violations


def _is_own_answer(record: CallRecord, keys_by_answer: Mapping[str, str]) -> bool:
    """Return whether an answer belongs to the call; callers check the answers of models."""
    if record.kind == 'reservation':
        return keys_by_answer.get(record.body) == record.key
    return record.kind != 'lookup' or f'"item": "{record.key}"' in record.body


def check_not_run(history: History) -> tuple[int, list[Violation]]:
    """P4: a request that was answered with "not run" was never executed.

    A request id may be used again after "not run", and a key may have been claimed by another
    request, so an execution counts against the answer unless another attempt can have caused it.
    """
    by_id = _group(history.records, lambda record: record.request_id)
    by_key = _group(history.records, lambda record: record.key)
    violations = []
    for execution in history.executions:
        for attempts in (
            by_id.get(execution.request_id, ()) if execution.request_id else (),
            by_key.get(execution.key, ()) if execution.key else (),
        ):
            if attempts and not any(_may_have_run(attempt, execution) for attempt in attempts):
                text = f'all answers are "not run", but {execution.key} ran on {execution.upstream}'
                text = f'{text} at {execution.at:.3f}; reasons {[item.reason for item in attempts]}'
                violations.append(Violation('P4', text, execution.request_id))
    return sum(record.outcome == 'not_run' for record in history.records), violations


def _may_have_run(record: CallRecord, execution: Execution) -> bool:
    return record.outcome != 'not_run' and record.started <= execution.at


def check_keys(history: History) -> tuple[int, list[Violation]]:
    """P5: a key is executed at most once, and all answers to it are the same."""
    violations = []
    executions_by_key = _group((run for run in history.executions if run.key), lambda run: run.key)
    for key, executions in executions_by_key.items():
        if len(executions) > 1:
            places = [f'{run.request_id} on {run.upstream}@{run.at:.3f}' for run in executions]
            violations.append(
                Violation('P5', f'{key} executed by {places}', executions[0].request_id)
            )
    for key, records in _group(history.records, lambda record: record.key).items():
        bookings = [record for record in records if record.kind == 'reservation']
        answers = {booking.body for booking in bookings if booking.status == STATUS_OK}
        if len(answers) > 1:
            ids = ', '.join(
                booking.request_id for booking in bookings if booking.status == STATUS_OK
            )
            violations.append(
                Violation('P5', f'{key} has different answers {sorted(answers)}: {ids}')
            )
    return len(executions_by_key), violations


def check_leaving(history: History) -> tuple[int, list[Violation]]:
    """P6: nothing is sent to an upstream more than 5 s after it was marked as leaving."""
    violations = []
    sent = [event for event in history.events if event.number == REQUEST_SENT]
    for event, leaving in itertools.product(sent, history.leavings):
        if event.upstream != leaving.upstream:
            continue
        if leaving.since + MAX_LEAVING_NOTICE_S < event.at < leaving.until:
            late_s = event.at - leaving.since
            text = f'sent to {event.upstream} {late_s:.1f} s after it was marked as leaving'
            violations.append(Violation('P6', text, event.request_id))
    return len(history.leavings), violations


def check_stops(history: History) -> tuple[int, list[Violation]]:
    """P7: a gracefully stopped daemon cuts off no request and exits with code 0."""
    violations = []
    stops = [lifetime for lifetime in history.lifetimes if lifetime.stopped < math.inf]
    for lifetime in stops:
        if lifetime.killed < math.inf:
            continue
        if lifetime.exit_code != 0:
            violations.append(
                Violation('P7', f'{lifetime.name} stopped with exit code {lifetime.exit_code}')
            )
        violations.extend(
            Violation(
                'P7',
                f'{record.kind} at {lifetime.name} cut off: {record.reason}; started '
                f'{record.started - lifetime.stopped:+.2f} s and broken '
                f'{record.ended - lifetime.stopped:+.2f} s after the stop',
                record.request_id,
            )
            for record in history.records
            if _is_cut_off(record, lifetime, history.keep_addresses_s)
        )
    return len(stops), violations


def _is_cut_off(record: CallRecord, lifetime: Lifetime, keep_addresses_s: float) -> bool:
    """Return whether a stopping daemon cut off a call.

    Callers keep an address for `keep_addresses_s` and may use it that long after the stop.
    """
    if record.outcome != 'broken' or record.daemon != lifetime.url:
        return False
    if record.reason in {'ReadTimeout', 'PoolTimeout'}:
        # The caller timed out.
        return False
    return (
        lifetime.started < record.started < lifetime.stopped + keep_addresses_s
        and record.ended > lifetime.stopped
    )


def check_versions(history: History) -> tuple[int, list[Violation]]:
    """P8: versions never decrease, are active within 10 s, and one of two proposals wins."""
    violations = [*_check_order(history), *_check_spread(history), *_check_races(history)]
    return len(history.proposals), violations


def _check_order(history: History) -> Iterator[Violation]:
    newest_versions: dict[str, int] = {}
    for event in history.events:
        if event.number != CONFIG_ACTIVATED:
            continue
        version = int(event.fields['version'])
        previous = newest_versions.get(event.incarnation, 0)
        if version <= previous:
            yield Violation('P8', f'{event.incarnation} went from version {previous} to {version}')
        newest_versions[event.incarnation] = version


def _check_spread(history: History) -> Iterator[Violation]:
    active_versions: dict[str, int] = {}
    started: dict[str, float] = {}
    for event in history.events:
        name = event.incarnation
        started.setdefault(name, event.at)
        if event.number == CONFIG_ACTIVATED:
            active_versions[name] = int(event.fields['version'])
        if event.number != REQUEST_ACCEPTED:
            continue
        version = active_versions.get(name, 0)
        missed_proposal = _find_missed_proposal(history.proposals, event.at, started[name], version)
        if missed_proposal is not None:
            late_s = event.at - missed_proposal.ended
            text = f'{name} accepted a request with version {version}, {late_s:.1f} s after'
            yield Violation(
                'P8', f'{text} {missed_proposal.version} was accepted', event.request_id
            )


def _find_missed_proposal(
    proposals: Iterable[Proposal], at: float, started: float, version: int
) -> Proposal | None:
    """Return an accepted proposal that should be in force at a daemon and is not, or None."""
    for proposal in proposals:
        grace_s = 0 if started > proposal.ended else MAX_ACTIVATION_S
        if proposal.accepted and at > proposal.ended + grace_s and version < proposal.version:
            return proposal
    return None


def _check_races(history: History) -> Iterator[Violation]:
    committed_by_base = _group(
        (item for item in history.proposals if item.committed), lambda item: item.base
    )
    for base, proposals in committed_by_base.items():
        if len(proposals) > 1:
            reasons = [proposal.reason for proposal in proposals]
            yield Violation('P8', f'several proposals on base {base} won: {reasons}')
    for proposal in history.proposals:
        text = _find_false_claim(history, proposal)
        if text:
            yield Violation('P8', f'{proposal.reason}: {text}')


def _find_false_claim(history: History, proposal: Proposal) -> str:
    """Return the false claim in the reply to a proposal, or an empty string."""
    if proposal.committed and history.versions.get(proposal.version) != proposal.reason:
        return f'committed as {proposal.version} but not in the history'
    if proposal.problem.startswith('nothing was changed'):
        if proposal.reason in history.versions.values():
            return '"nothing was changed", but it is in the history'
    if proposal.problem.startswith('conflict') and proposal.base + 1 not in history.versions:
        return f'conflict on base {proposal.base}, which no other version followed'
    return ''


def check_crashers(history: History) -> tuple[int, list[Violation]]:
    """Check that a request that crashes its upstreams crashes at most two of them."""
    crashes = collections.Counter(
        execution.digest
        for execution in history.executions
        if execution.digest in history.crash_digests
    )
    return len(history.crash_digests), [
        Violation('crash', f'the request with digest {digest} crashed {count} engines')
        for digest, count in crashes.items()
        if count > MAX_CRASHES
    ]


def check_unexpected(history: History) -> tuple[int, list[Violation]]:
    """Check that no daemon answers with an internal error, which would hide a failed assertion."""
    return len(history.records), [
        Violation('error', f'{record.kind} was answered with an internal error', record.request_id)
        for record in history.records
        if record.reason == 'status_500'
    ]


def check_recovery(history: History) -> tuple[int, list[Violation]]:
    """Check that every daemon serves a call of the highest tier after the faults have ended."""
    probes = [probe for probe in history.records if probe.kind == 'probe']
    return len(probes), [
        Violation(
            'recovery',
            f'a call at {probe.daemon} after the faults ended as {probe.outcome} {probe.reason}',
            probe.request_id,
        )
        for probe in probes
        if probe.outcome != 'complete'
    ]


CHECKS: tuple[tuple[str, Check], ...] = (
    ('P1', check_single_execution),
    ('P2', check_tiers),
    ('P3', check_answers),
    ('P4', check_not_run),
    ('P5', check_keys),
    ('P6', check_leaving),
    ('P7', check_stops),
    ('P8', check_versions),
    ('crash', check_crashers),
    ('error', check_unexpected),
    ('recovery', check_recovery),
)


def list_evidence(history: History, violation: Violation) -> Sequence[LogEvent]:
    """Return the log events of the requests of a violation."""
    ids = {violation.request_id, violation.other_id} - {''}
    return [event for event in history.events if event.request_id in ids]


def _group(items: Iterable[Item], key: Callable[[Item], str]) -> dict[str, list[Item]]:
    groups: dict[str, list[Item]] = {}
    for item in items:
        groups.setdefault(key(item), []).append(item)
    return groups


def list_names(violations: Collection[Violation]) -> list[str]:
    """Return the sorted names of the violated properties."""
    return sorted({violation.name for violation in violations})
