"""What a soak run recorded, and the checks of it; pure functions without processes."""

import collections
import itertools
import json
import math
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping, Sequence
from typing import TypeVar

import attrs

from .callers import CallRecord

# Numbers of events, as in docs/events.md.
ACCEPTED = 301
SENT = 302
COMPLETE = 303
REFUSED = 304
FAILED = 305
LEFT = 306
SHED = 403
PREEMPTED = 404
RELEASED = 405
ACTIVATED = 703
END_NUMBERS = frozenset((COMPLETE, REFUSED, FAILED, LEFT))
# Answers to a copy of a request; they say nothing about the end of the first one.
COPY_REASONS = frozenset(('duplicate_request_id', 'other_home', 'request_id_expired'))
LEAVING_LIMIT_S = 5
ACTIVE_LIMIT_S = 10
STATUS_OK = 200
MAX_CRASHES = 2

Item = TypeVar('Item')


@attrs.frozen
class LogEvent:
    """One event of a daemon's log; `at` is seconds since 1970, as all times here."""

    at: float
    incarnation: str
    number: int
    request_id: str = ''
    upstream: str = ''
    fields: Mapping[str, str] = attrs.Factory(dict)


@attrs.frozen
class Execution:
    """One execution at an upstream; `answer` is what a booking service answered."""

    at: float
    upstream: str
    request_id: str
    key: str = ''
    digest: str = ''
    answer: Mapping[str, object] | None = None


@attrs.frozen
class Leaving:
    """A time in which an upstream is marked as leaving where the daemons can read it."""

    upstream: str
    since: float
    until: float = math.inf


@attrs.frozen
class Proposal:
    """A proposed configuration and what its operator was told."""

    reason: str
    base: int
    ended: float
    accepted: bool = False
    committed: bool = False
    version: int = 0
    problem: str = ''


@attrs.define
class Lifetime:
    """One daemon process; a time that has not come is infinite."""

    name: str
    url: str
    started: float
    killed: float = math.inf
    stopped: float = math.inf
    ended: float = math.inf
    exit_code: int | None = None


@attrs.frozen
class Violation:
    """A broken property with its evidence."""

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
    keep_s: float = 3
    crash_digests: frozenset[str] = frozenset()

    def list_kills(self) -> dict[str, float]:
        """Return when the process of each incarnation was killed; infinity for the others."""
        began: dict[str, float] = {}
        for event in self.events:
            began.setdefault(event.incarnation, event.at)
        kills = {}
        for incarnation, since in began.items():
            name = incarnation.rpartition('-')[0]
            ends = [life.killed for life in self.lifetimes if life.name == name]
            kills[incarnation] = min((end for end in ends if end > since), default=math.inf)
        return kills


Check = Callable[[History], tuple[int, list[Violation]]]


def check_single_execution(history: History) -> tuple[int, list[Violation]]:
    """P1: no request id is executed more than once, and none runs without an id."""
    found = []
    groups = _group(history.executions, lambda execution: execution.request_id)
    for request_id, executions in groups.items():
        if len(executions) > 1 or not request_id:
            places = ', '.join(f'{one.upstream}@{one.at:.3f}' for one in executions)
            found.append(Violation('P1', f'executed {len(executions)} times: {places}', request_id))
    return len(groups), found


@attrs.frozen
class _Span:
    """The time in which a cancellable request ran."""

    request_id: str
    rank: int
    since: float
    until: float


def check_tiers(history: History) -> tuple[int, list[Violation]]:
    """P2: no confirmed owner sheds while a lower cancellable request of the service runs."""
    accepted = _read_accepted(history)
    spans = _list_spans(history, accepted)
    found = []
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
                found.append(Violation('P2', text, event.request_id, span.request_id))
    return len(sheds), found


def _read_accepted(history: History) -> dict[str, tuple[str, str]]:
    return {
        event.request_id: (event.fields['service'], event.fields['tier'])
        for event in history.events
        if event.number == ACCEPTED
    }


def _list_spans(
    history: History, accepted: Mapping[str, tuple[str, str]]
) -> dict[str, list[_Span]]:
    lookups = {record.request_id for record in history.records if record.kind == 'lookup'}
    ends: dict[str, float] = {}
    kills = history.list_kills()
    homes = {one.request_id: one.incarnation for one in history.events if one.number == SENT}
    for event in history.events:
        if _ends_request(event, homes.get(event.request_id, '')):
            ends.setdefault(event.request_id, event.at)
    spans: dict[str, list[_Span]] = {}
    for event in history.events:
        service, tier = accepted.get(event.request_id, ('', ''))
        if event.number != SENT or not (service == 'scribe' or event.request_id in lookups):
            continue
        until = min(ends.get(event.request_id, math.inf), kills[event.incarnation])
        span = _Span(event.request_id, history.ranks[tier], event.at, until)
        spans.setdefault(service, []).append(span)
    return spans


def _ends_request(event: LogEvent, home: str) -> bool:
    # The owner orders lower tiers to stop before it sheds; it does not wait for their ends.
    if event.number in {RELEASED, PREEMPTED}:
        return True
    if event.number not in END_NUMBERS or event.incarnation != home:
        return False
    return event.fields.get('reason') not in COPY_REASONS


def check_answers(history: History) -> tuple[int, list[Violation]]:
    """P3: an answer that looks complete is whole, and is the caller's own."""
    found = []
    given = {json.dumps(one.answer): one.key for one in history.executions if one.answer}
    for record in history.records:
        text = ''
        if record.outcome == 'wrong':
            text = f'{record.kind}: wrong or incomplete answer that looks complete'
        elif record.outcome == 'complete' and not _is_own(record, given):
            text = f'{record.kind} {record.key} was answered with {record.body}'
        if text:
            found.append(Violation('P3', text, record.request_id))
    complete = sum(record.outcome == 'complete' for record in history.records)
    return complete, found


def _is_own(record: CallRecord, given: Mapping[str, str]) -> bool:
    """Tell whether an answer belongs to the call; those of models are checked by their callers."""
    if record.kind == 'reservation':
        return given.get(record.body) == record.key
    return record.kind != 'lookup' or f'"item": "{record.key}"' in record.body


def check_not_run(history: History) -> tuple[int, list[Violation]]:
    """P4: what was answered with "not run" never ran.

    A request id may be used again after "not run", and a key may have been claimed by another
    request, so an execution counts against the answer unless another attempt can have caused it.
    """
    by_id = _group(history.records, lambda record: record.request_id)
    by_key = _group(history.records, lambda record: record.key)
    found = []
    for execution in history.executions:
        for attempts in (
            by_id.get(execution.request_id, ()) if execution.request_id else (),
            by_key.get(execution.key, ()) if execution.key else (),
        ):
            if attempts and not any(_may_have_run(one, execution) for one in attempts):
                text = f'every attempt says "not run": {execution.key} ran on {execution.upstream}'
                text = f'{text} at {execution.at:.3f}; reasons {[one.reason for one in attempts]}'
                found.append(Violation('P4', text, execution.request_id))
    return sum(record.outcome == 'not_run' for record in history.records), found


def _may_have_run(record: CallRecord, execution: Execution) -> bool:
    return record.outcome != 'not_run' and record.started <= execution.at


def check_keys(history: History) -> tuple[int, list[Violation]]:
    """P5: a key is executed at most once, and all its answers are the same."""
    found = []
    runs = _group((one for one in history.executions if one.key), lambda one: one.key)
    for key, executions in runs.items():
        if len(executions) > 1:
            places = [f'{one.request_id} on {one.upstream}@{one.at:.3f}' for one in executions]
            found.append(Violation('P5', f'{key} executed by {places}', executions[0].request_id))
    for key, records in _group(history.records, lambda record: record.key).items():
        bookings = [one for one in records if one.kind == 'reservation']
        answers = {one.body for one in bookings if one.status == STATUS_OK}
        if len(answers) > 1:
            ids = ', '.join(one.request_id for one in bookings if one.status == STATUS_OK)
            found.append(Violation('P5', f'{key} has the answers {sorted(answers)}: {ids}'))
    return len(runs), found


def check_leaving(history: History) -> tuple[int, list[Violation]]:
    """P6: nothing is sent to an upstream more than 5 s after it was marked as leaving."""
    found = []
    sent = [event for event in history.events if event.number == SENT]
    for event, leaving in itertools.product(sent, history.leavings):
        if event.upstream != leaving.upstream:
            continue
        if leaving.since + LEAVING_LIMIT_S < event.at < leaving.until:
            late_s = event.at - leaving.since
            text = f'sent to {event.upstream} {late_s:.1f} s after it was marked as leaving'
            found.append(Violation('P6', text, event.request_id))
    return len(history.leavings), found


def check_stops(history: History) -> tuple[int, list[Violation]]:
    """P7: a gracefully stopped daemon cuts no request off and exits with 0."""
    found = []
    stops = [life for life in history.lifetimes if life.stopped < math.inf]
    for life in stops:
        if life.killed < math.inf:
            continue
        if life.exit_code != 0:
            found.append(Violation('P7', f'{life.name} stopped with exit code {life.exit_code}'))
        found.extend(
            Violation(
                'P7',
                f'{record.kind} at {life.name} cut off: {record.reason}; started '
                f'{record.started - life.stopped:+.2f} s and broken '
                f'{record.ended - life.stopped:+.2f} s after the stop',
                record.request_id,
            )
            for record in history.records
            if _is_cut(record, life, history.keep_s)
        )
    return len(stops), found


def _is_cut(record: CallRecord, life: Lifetime, keep_s: float) -> bool:
    """Tell whether a stopped daemon broke a call; callers use an address for `keep_s` only."""
    if record.outcome != 'broken' or record.daemon != life.url:
        return False
    if record.reason in {'ReadTimeout', 'PoolTimeout'}:
        # The caller gave up.
        return False
    return life.started < record.started < life.stopped + keep_s and record.ended > life.stopped


def check_versions(history: History) -> tuple[int, list[Violation]]:
    """P8: versions never decrease, spread within 10 s, and one of two proposals wins."""
    found = [*_check_order(history), *_check_spread(history), *_check_races(history)]
    return len(history.proposals), found


def _check_order(history: History) -> Iterator[Violation]:
    newest: dict[str, int] = {}
    for event in history.events:
        if event.number != ACTIVATED:
            continue
        version = int(event.fields['version'])
        former = newest.get(event.incarnation, 0)
        if version <= former:
            yield Violation('P8', f'{event.incarnation} went from {former} to {version}')
        newest[event.incarnation] = version


def _check_spread(history: History) -> Iterator[Violation]:
    active: dict[str, int] = {}
    started: dict[str, float] = {}
    for event in history.events:
        name = event.incarnation
        started.setdefault(name, event.at)
        if event.number == ACTIVATED:
            active[name] = int(event.fields['version'])
        if event.number != ACCEPTED:
            continue
        version = active.get(name, 0)
        missed = _find_missed(history.proposals, event.at, started[name], version)
        if missed is not None:
            late_s = event.at - missed.ended
            text = f'{name} accepted a request with version {version}, {late_s:.1f} s after'
            yield Violation('P8', f'{text} {missed.version} was accepted', event.request_id)


def _find_missed(
    proposals: Iterable[Proposal], at: float, started: float, version: int
) -> Proposal | None:
    """Return an accepted proposal that a daemon should have in force and has not."""
    for proposal in proposals:
        grace_s = 0 if started > proposal.ended else ACTIVE_LIMIT_S
        if proposal.accepted and at > proposal.ended + grace_s and version < proposal.version:
            return proposal
    return None


def _check_races(history: History) -> Iterator[Violation]:
    winners = _group((one for one in history.proposals if one.committed), lambda one: one.base)
    for base, proposals in winners.items():
        if len(proposals) > 1:
            reasons = [one.reason for one in proposals]
            yield Violation('P8', f'several proposals on base {base} won: {reasons}')
    for proposal in history.proposals:
        text = _find_false_reply(history, proposal)
        if text:
            yield Violation('P8', f'{proposal.reason}: {text}')


def _find_false_reply(history: History, proposal: Proposal) -> str:
    """Return what is false in the reply to a proposal, or ''."""
    if proposal.committed and history.versions.get(proposal.version) != proposal.reason:
        return f'committed as {proposal.version} and not in the history'
    if proposal.problem.startswith('nothing was changed'):
        if proposal.reason in history.versions.values():
            return '"nothing was changed", but it is in the history'
    if proposal.problem.startswith('conflict') and proposal.base + 1 not in history.versions:
        return f'lost on base {proposal.base}, which nothing followed'
    return ''


def check_crashers(history: History) -> tuple[int, list[Violation]]:
    """Check that a request that crashes its upstreams costs at most two of them."""
    crashes = collections.Counter(
        one.digest for one in history.executions if one.digest in history.crash_digests
    )
    return len(history.crash_digests), [
        Violation('crash', f'the request with digest {digest} crashed {count} engines')
        for digest, count in crashes.items()
        if count > MAX_CRASHES
    ]


def check_unexpected(history: History) -> tuple[int, list[Violation]]:
    """No daemon answers with an internal error, which would hide a failed assertion."""
    return len(history.records), [
        Violation('error', f'{one.kind} was answered with an internal error', one.request_id)
        for one in history.records
        if one.reason == 'status_500'
    ]


def check_recovery(history: History) -> tuple[int, list[Violation]]:
    """Check that every daemon serves a call of the highest tier when the faults have ended."""
    probes = [one for one in history.records if one.kind == 'probe']
    return len(probes), [
        Violation(
            'recovery',
            f'a call at {one.daemon} after the faults ended as {one.outcome} {one.reason}',
            one.request_id,
        )
        for one in probes
        if one.outcome != 'complete'
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
    """Return the events of the requests of a violation."""
    ids = {violation.request_id, violation.other_id} - {''}
    return [event for event in history.events if event.request_id in ids]


def _group(items: Iterable[Item], key: Callable[[Item], str]) -> dict[str, list[Item]]:
    groups: dict[str, list[Item]] = {}
    for one in items:
        groups.setdefault(key(one), []).append(one)
    return groups


def list_names(violations: Collection[Violation]) -> list[str]:
    """Return the names of the broken properties."""
    return sorted({violation.name for violation in violations})
