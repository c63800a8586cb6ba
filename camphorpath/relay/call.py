"""Serves one call: waits for a slot, sends it to upstreams and relays the answer."""

import functools
import math
import re
from collections.abc import Awaitable, Callable, Collection
from typing import TypeVar

import anyio
import attrs
import h11

from ..buffers import Reservation
from ..clocks import read_lease_clock
from ..errors import (
    AnswerTooLarge,
    EndedEarly,
    EndUnclear,
    HeadTimeout,
    NotExecuted,
    NotSent,
    ProcessUnconfirmed,
    Refusal,
    SentUnknown,
    Truncated,
    UpstreamError,
)
from ..events import Event
from ..placement.crashes import AnswerProgress, Crash, join_digests
from ..placement.records import Decision, Placed, Refused, WaitingCall
from ..placement.scheduler import NO_UPSTREAM
from ..placement.slots import Slots
from ..routing import CallKind, Upstream
from ..streams import KnownOrigin, Origin, Source, StreamPath
from .acceptance import (
    CRASHES_UPSTREAMS,
    MS_PER_S,
    Call,
    check_quarantine,
    get_call_digest,
)
from .answer_counts import AnswerCount
from .answer_headers import FLAG_SET, STATUS_MISDIRECTED, apply_answer_headers
from .attempts import Attempt, FailedAnswer, make_stall, read_into
from .caller import CallerConnection
from .context import RelayContext
from .events import EventSplitter, MisplacedEventError
from .failures import NOT_RUN_STATUSES, is_crash
from .header_names import HeaderNames
from .headers import find_header, select_answer_headers, select_request_headers
from .reports import ProcessIdentity
from .stalls import get_stall_timeout
from .survival import Survival, check_survival
from .upstream import UpstreamAnswer, get_connect_timeout, read_answer

Answer = TypeVar('Answer')

SERVED = 'served'
FAILED = 'failed_at_upstream'
STATUS_OK = 200
STATUS_NO_CONTENT = 204
STATUS_REDIRECT = 300
STATUS_SERVER_ERROR = 500
STATUS_BAD_GATEWAY = 502
STATUS_GATEWAY_TIMEOUT = 504
# Largest answer that is buffered before it is relayed; RelayContext.buffers limits their sum.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
# Attempts of one call that may fail before any byte was sent; then the call is refused.
MAX_UNSENT_ATTEMPTS = 4
# Retry-After of the refusal after an upstream did not run the call. The upstream had more calls
# than this daemon knew of, so the time at which one of them ends cannot be estimated.
NOT_EXECUTED_RETRY_AFTER_S = 0.2
# Largest event of a stream; the longest ones in use have a few hundred bytes.
MAX_EVENT_BYTES = 262144
# Ids of events that a header can carry; after another one, a stream cannot be resumed.
RESUMABLE_ID = re.compile(rb'[!-~](?:[ -~]*[!-~])?')
# The upstream may have restarted since its slot was granted, or its entry may be outdated.
OTHER_VERSION = 'the upstream may run another software version than that of the stream'
UNKNOWN_VERSION = 'the other daemons could not learn which software version began the stream'
NOT_ALLOWED = 'a roll-out no longer allows the software version of the upstream'
# Longest time for finding out which software version began a stream.
MAX_LOOKUP_S = 0.6
# By then another daemon may know it, or this one after its start.
UNKNOWN_VERSION_RETRY_AFTER_S = 0.3
# Bounds each logged id of a stream that goes on, as callers and upstreams choose their lengths.
MAX_LOGGED_ID_BYTES = 100
# Bounds the logged parts of a prompt.
MAX_LOGGED_PROMPT_BYTES = 200
# Bounds the logged versions of a service, one for each upstream at most.
MAX_LOGGED_VERSIONS = 10
# While an upstream is silent and no other one is free, a slot is asked for at this interval.
REPLACEMENT_INTERVAL_S = 0.25
# Longest time for which a stream is kept open at a silent upstream after it was sent to another
# one. Both must not run it for 0.4 s; the rest is for the way to them.
MAX_OVERLAP_S = 0.33
# Assumed, as streams do not state it; only the relative speeds of upstreams matter.
TOKENS_PER_EVENT = 4


@attrs.define(eq=False)
class CallHandler:
    """Serves one call and holds its state meanwhile."""

    context: RelayContext
    call: Call
    caller: CallerConnection
    splitter: EventSplitter = attrs.field(factory=EventSplitter)
    tried_upstreams: set[str] = attrs.field(factory=set)
    has_answer_started: bool = False
    unsent_attempts: int = 0
    # When the last part of the answer had been passed on.
    _last_part_at: float = 0
    # Seconds for which sending a stream waited for the caller.
    _sending_s: float = 0
    # Whether the answer that was started is a stream of server-sent events.
    _is_event_stream: bool = False
    # Whether an answer of the current upstream is being passed on.
    _is_relaying: bool = False
    _failed_answer: FailedAnswer | None = None
    # What began the stream: the upstream of its first event, or what is known of a stream that the
    # caller takes up; None before. Its software version is empty if it is unknown.
    _origin: KnownOrigin | None = None
    # The attempt that replaces the current one, whose upstream is silent.
    _replacement: Attempt | None = None
    # What is held of answers until it is passed on.
    _reservation: Reservation = attrs.field(init=False)

    @_reservation.default
    def _make_reservation(self) -> Reservation:
        return Reservation(self.context.buffers)

    async def serve(self) -> str:
        """Relay an answer to the caller and return its outcome.

        Raises Refusal or CallerDisconnected.
        """
        try:
            with anyio.CancelScope() as scope:
                with self.context.watch_quarantine(lambda: self._cancel_if_quarantined(scope)):
                    return await self._send_until_answered()
        finally:
            self._discard_replacement()
            self._reservation.resize(0)
        raise self._refuse_quarantined()

    async def _send_until_answered(self) -> str:
        """Try upstreams one after the other; relay a server error if there is nothing better."""
        try:
            return await self._try_upstreams()
        except Refusal:
            failed = self._failed_answer
            if failed is None or self.has_answer_started:
                raise
        self._is_relaying = True
        await self.caller.send_answer(failed.status, failed.headers, failed.body)
        return FAILED

    async def _bind_to_origin(self) -> None:
        """Bind a stream that the caller takes up to the service and version that began it.

        The stream may have begun under other routes than those in force now. Raises Refusal if the
        service and version are not known, or not those of a service of the route.
        """
        call, route = self.call, self.call.route
        if not self._find_header(self._header_names.last_event_id):
            return
        path = StreamPath(route.host, call.request.path, route.prefix)
        if route.kind is not CallKind.STREAM:
            await self._check_no_stream(path)
            return
        services = [name for name, _weight in route.targets]
        stream_id = self._find_header(self._header_names.resumed_attempt_id)
        with anyio.move_on_after(MAX_LOOKUP_S):
            self._origin = await self.context.origins.find(stream_id, services, path)
        if self._origin is None:
            shown_id = stream_id[:MAX_LOGGED_ID_BYTES].decode('latin-1')
            raise Refusal(
                'stream_version_unknown',
                f'the software version that began {shown_id!r} is not known',
                retry_after_s=UNKNOWN_VERSION_RETRY_AFTER_S,
            )
        service = self._origin.origin.service
        if service not in services:
            raise Refusal(NO_UPSTREAM, f'the route no longer leads to the service {service}')
        call.service = service

    async def _check_no_stream(self, path: StreamPath) -> None:
        """Raise Refusal if the call may take up a stream that its route no longer serves."""
        with anyio.move_on_after(MAX_LOOKUP_S):
            if not await self.context.origins.may_have_begun(path):
                return
        raise Refusal(
            'stream_route_changed',
            'the route serves no streams, but the call may take one up',
            retry_after_s=UNKNOWN_VERSION_RETRY_AFTER_S,
        )

    async def _try_upstreams(self) -> str:
        failure: UpstreamError | None = None
        await self._bind_to_origin()
        while True:
            attempt = self._replacement or await self._wait_for_slot(failure)
            self._replacement = None
            self._is_relaying = False
            try:
                return await self._run(attempt)
            except UpstreamError as error:
                failure = error
                self._record_failure(attempt, error)
                if not self._is_replacement_sent() and not self._may_retry(error):
                    raise self._make_final_refusal(error) from error
            finally:
                self._end_attempt(attempt)

    async def _wait_for_slot(self, failure: UpstreamError | None) -> Attempt:
        """Return an attempt with a slot; raise Refusal if the scheduler grants none."""
        granted = await self._request_slot(is_retry=failure is not None)
        if isinstance(granted, Attempt):
            self.context.metrics.waits.observe({}, read_lease_clock() - self.call.arrived_at)
            return granted
        if failure is not None and self.call.may_have_run:
            raise self._make_final_refusal(failure)
        message = (
            f'next slot expected in {granted.expected_wait_s} s, {granted.waiting} calls waiting'
        )
        raise Refusal(granted.reason, message, retry_after_s=granted.retry_after_s)

    async def _request_slot(
        self, *, is_retry: bool, is_replacement: bool = False
    ) -> Attempt | Refused:
        """Return an attempt with a slot, or why the scheduler grants none."""
        decisions: list[Decision] = []
        decided = anyio.Event()

        def decide(decision: Decision) -> None:
            decisions.append(decision)
            decided.set()

        waiting = self._make_waiting_call(decide, is_retry=is_retry, is_replacement=is_replacement)
        self.context.scheduler.submit(waiting, read_lease_clock())
        try:
            await decided.wait()
        except BaseException:
            self.context.scheduler.withdraw(waiting)
            if decisions and isinstance(decisions[0], Placed):
                self._return_unused(Attempt(decisions[0].upstream, waiting))
            raise
        decision = decisions[0]
        if isinstance(decision, Placed):
            return Attempt(decision.upstream, waiting)
        return decision

    async def _acquire_replacement(self, scope: anyio.CancelScope) -> None:
        """Get a slot at another upstream and cancel `scope` then.

        Asks again at intervals while there is none.
        """
        while True:
            granted = None
            if self._may_replace():
                granted = await self._request_slot(is_retry=True, is_replacement=True)
            if isinstance(granted, Attempt):
                self._replacement = granted
                scope.cancel()
                return
            await anyio.sleep(REPLACEMENT_INTERVAL_S)

    def _may_replace(self) -> bool:
        """Return whether the call may be sent to another upstream while its upstream is silent."""
        if self.unsent_attempts >= MAX_UNSENT_ATTEMPTS or not self._can_retry_elsewhere():
            return False
        quarantine = self.context.quarantine
        if quarantine.is_empty:
            return True
        digest = get_call_digest(self.context.header_names, self.call)
        return not quarantine.is_quarantined(digest, self.call.part_digests)

    def _is_replacement_sent(self) -> bool:
        """Return whether the call was sent elsewhere already, and so charged as a retry."""
        return self._replacement is not None and self._replacement.is_sent

    def _return_unused(self, attempt: Attempt) -> None:
        """End an attempt that was not sent; its upstream may be chosen again."""
        self.tried_upstreams.discard(attempt.upstream.upstream_id)
        self._end_attempt(attempt)

    def _discard_replacement(self) -> None:
        replacement = self._replacement
        if replacement is None:
            return
        self._replacement = None
        if replacement.is_sent:
            self._end_attempt(replacement)
        else:
            self._return_unused(replacement)

    async def _read_or_replace(self, read: Callable[[], Awaitable[Answer]]) -> Answer | None:
        """Return what `read` returns, or None once the attempt has a replacement.

        The upstream of an answer that has begun may go on at any time, so it is not left before. If
        `read` raises UpstreamError, there may be a replacement too.
        """
        found: Answer | None = None
        failure: Exception | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(self._acquire_replacement, group.cancel_scope)
            try:
                found = await read()
            except (UpstreamError, OSError, h11.LocalProtocolError) as error:
                # Raised inside the task group, it would become a part of an exception group.
                failure = error
            group.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if found is not None:
            self._discard_replacement()
        return found

    def _cancel_if_quarantined(self, scope: anyio.CancelScope) -> None:
        """Give the call up if calls like it are in quarantine and no answer has begun."""
        if self._is_relaying:
            return
        try:
            check_quarantine(self.context, self.call, read_lease_clock())
        except Refusal:
            scope.cancel()

    def _check_quarantine(self) -> None:
        """Raise Refusal if the call must not be sent; it may have run at another upstream."""
        try:
            check_quarantine(self.context, self.call, read_lease_clock())
        except Refusal:
            raise self._refuse_quarantined() from None

    def _refuse_quarantined(self) -> Refusal:
        message = 'calls like this one crashed several upstreams'
        if self.call.may_have_run:
            return Refusal(CRASHES_UPSTREAMS, message, status=STATUS_BAD_GATEWAY)
        return Refusal(CRASHES_UPSTREAMS, message)

    def _make_waiting_call(
        self, decide: Callable[[Decision], None], *, is_retry: bool, is_replacement: bool
    ) -> WaitingCall:
        call = self.call
        wait_until = call.wait_until()
        if is_retry:
            # A retry may wait for another objective, as its caller still waits for the answer.
            wait_until = max(wait_until, read_lease_clock() + call.route.objective_s)
        return WaitingCall(
            call_id=call.text_id,
            service=call.service,
            rank=(call.customer.priority if call.customer else 0, call.route.priority),
            customer=call.customer.name if call.customer else '',
            arrived_at=call.arrived_at,
            objective_at=call.arrived_at + call.route.objective_s,
            wait_until=min(wait_until, call.deadline),
            deadline=call.deadline,
            prompt_tokens=call.prompt_tokens,
            output_tokens=call.output_tokens,
            max_tokens=call.max_tokens,
            prompt_parts=call.prompt_parts,
            body_bytes=len(call.request.body),
            max_event_gap_s=call.route.max_event_gap_s,
            on_decision=decide,
            excluded=self.tried_upstreams,
            is_replacement=is_replacement,
            required_version=self._origin and self._origin.origin.software_version,
        )

    async def _run(self, attempt: Attempt) -> str:
        """Send the call, unless that was done, and relay the answer; return the outcome."""
        upstream = attempt.upstream
        try:
            if not attempt.is_sent:
                self._check_quarantine()
                await self._connect(attempt)
                self._send(attempt)
            if attempt.answer is None:
                self._accept_head(attempt, await self._read_head(attempt))
            outcome = await self._relay(attempt)
            attempt.is_complete = True
        except (OSError, h11.LocalProtocolError) as error:
            raise SentUnknown(repr(error), step='send', peer=upstream.address) from error
        context = self.context
        health = self._find_slots(upstream).health
        if outcome == FAILED:
            self._fail_upstream(upstream, 'the upstream answered with a server error')
            return outcome
        if health.is_ejected:
            context.events.emit(
                Event.UPSTREAM_RESTORED,
                self.call.text_id,
                upstream.upstream_id,
                failures=health.failures,
            )
        health.record_success()
        if not context.quarantine.is_empty:
            digest = get_call_digest(context.header_names, self.call)
            context.quarantine.record_success(digest, read_lease_clock())
        return outcome

    async def _connect(self, attempt: Attempt) -> None:
        """Connect an attempt to its upstream.

        Raises NotSent, or ProcessUnconfirmed if a stream that has begun cannot go on there, if one
        cannot begin there, or if a roll-out has ruled the software version out since the grant.
        """
        await self._acquire_connection(attempt)
        await self._identify_process(attempt)
        if self._origin is None and not await self._may_begin(attempt):
            raise ProcessUnconfirmed(UNKNOWN_VERSION, step='send', peer=attempt.upstream.address)
        if self._origin is not None and not self._has_begun_version(attempt):
            raise ProcessUnconfirmed(OTHER_VERSION, step='send', peer=attempt.upstream.address)
        if not self.context.scheduler.rollouts.may_send(attempt.upstream, read_lease_clock()):
            raise ProcessUnconfirmed(NOT_ALLOWED, step='send', peer=attempt.upstream.address)

    async def _acquire_connection(self, attempt: Attempt) -> None:
        route = self.call.route
        attempt.conn = await self.context.pool.acquire(
            attempt.upstream,
            is_recent=not route.is_repeatable,
            connect_s=get_connect_timeout(route),
        )

    async def _identify_process(self, attempt: Attempt) -> None:
        """Ask the upstream of a resumable stream which process it is, once on each connection.

        An entry may be outdated: the upstream may have restarted under its id and address. A
        connection belongs to one process. A stream that begins is sent also if nothing is learned.
        """
        reports, upstream = self.context.reports, attempt.upstream
        if reports is None or not self._may_go_on_elsewhere():
            return
        while attempt.conn.incarnation is None:
            now = read_lease_clock()
            if self._origin is None and reports.is_paused(upstream, now):
                return
            conn = attempt.conn
            may_be_closed = conn.was_used
            identity = await reports.identify(conn, upstream, now)
            self._log_identity(upstream, identity)
            if conn.make_reusable():
                # Asked again later if it is unknown.
                conn.incarnation = identity.incarnation or None
                return
            if self._origin is not None and not (identity.is_lost and may_be_closed):
                return
            conn.connection.close(reset=True)
            await self._acquire_connection(attempt)

    def _log_identity(self, upstream: Upstream, identity: ProcessIdentity) -> None:
        if identity.incarnation and identity.incarnation == upstream.incarnation:
            return
        self.context.events.emit(
            Event.UPSTREAM_UNCONFIRMED,
            self.call.text_id,
            upstream.upstream_id,
            registered=upstream.incarnation,
            reported=identity.incarnation,
            problem=identity.problem,
            has_begun=self._origin is not None,
        )

    def _send(self, attempt: Attempt) -> None:
        attempt.ran_before = self.call.may_have_run
        self._log_continuation(attempt)
        attempt.conn.send(self._build_request(attempt.upstream), self.call.request.body)
        attempt.is_sent = True
        self._record_send(attempt)

    def _accept_head(self, attempt: Attempt, answer: UpstreamAnswer) -> None:
        """Apply the head of an answer; raise UpstreamError if it cannot be relayed."""
        upstream = attempt.upstream
        apply_answer_headers(self.context, self.call, upstream, answer)
        self._check_executed(upstream, answer, ran_before=attempt.ran_before)
        is_failure, now = answer.status >= STATUS_SERVER_ERROR, read_lease_clock()
        attempt.count.record_head(now, is_failure=is_failure)
        self.context.scheduler.record_first_byte(
            upstream.upstream_id, attempt.waiting, now, is_failure=is_failure
        )
        is_rest_empty = self.has_answer_started and answer.status == STATUS_NO_CONTENT
        if self.has_answer_started and answer.status != STATUS_OK and not is_rest_empty:
            message = f'resuming a stream failed with status {answer.status}'
            raise Truncated(message, step='receive_head', peer=upstream.address)
        if self._is_event_stream and not (answer.is_event_stream or is_rest_empty):
            message = 'resuming a stream of events failed with an answer of another kind'
            raise Truncated(message, step='receive_head', peer=upstream.address)
        attempt.answer = answer

    async def _relay(self, attempt: Attempt) -> str:
        answer = attempt.answer
        is_stream = self.call.route.kind is CallKind.STREAM and answer.status == STATUS_OK
        if is_stream or self.has_answer_started:
            return await self._relay_stream(attempt)
        return await self._relay_buffered(attempt)

    def _end_attempt(self, attempt: Attempt) -> None:
        """Free the slot of an attempt and keep or close its connection, unless that was done."""
        if attempt.is_ended:
            return
        attempt.is_ended = True
        context = self.context
        if attempt.conn is not None:
            context.pool.release(attempt.conn, is_complete=attempt.is_complete)
        now = read_lease_clock()
        if attempt.count is None:
            context.scheduler.rollouts.record_unsent(attempt.upstream)
        else:
            attempt.count.end(now)
        context.scheduler.release(attempt.upstream.upstream_id, attempt.waiting, now)

    def _build_request(self, upstream: Upstream) -> h11.Request:
        call = self.call
        header_names = self.context.header_names
        headers = select_request_headers(call.request.headers, header_names)
        if self.splitter.last_id:
            headers = [pair for pair in headers if pair[0] != header_names.last_event_id]
            headers.append((header_names.last_event_id, self.splitter.last_id))
        left_ms = max(math.floor(call.time_left() * MS_PER_S), 1)
        headers.append((header_names.deadline_ms, str(left_ms).encode()))
        headers.append((header_names.expected_upstream, upstream.upstream_id.encode()))
        if call.customer is not None:
            headers.append((header_names.customer, call.customer.name.encode()))
        if call.request.body or call.request.method not in {b'GET', b'HEAD'}:
            headers.append((b'content-length', str(len(call.request.body)).encode()))
        return h11.Request(method=call.request.method, target=call.request.target, headers=headers)

    def _record_send(self, attempt: Attempt) -> None:
        call, upstream, rollouts = self.call, attempt.upstream, self.context.scheduler.rollouts
        call.may_have_run = True
        if not call.send_count:
            self.context.budget.record_call(call.service, read_lease_clock())
        call.send_count += 1
        distance = self.context.scheduler.egress.classify(upstream)
        self.context.metrics.by_distance.inc({'distance': distance})
        slots, now = self._find_slots(upstream), read_lease_clock()
        first_byte_s = slots.estimate_first_byte(call.prompt_tokens, now)
        rollouts.record_send(upstream)
        running = slots.running.get(call.text_id)
        attempt.count = AnswerCount(rollouts, upstream, call.route.name, running)
        self.context.events.emit(
            Event.REQUEST_SENT,
            call.text_id,
            upstream.upstream_id,
            attempt=call.send_count,
            waited_ms=round((now - call.arrived_at) * MS_PER_S),
            left_ms=round(call.time_left() * MS_PER_S),
            running=len(slots.running),
            prompt_tokens=round(call.prompt_tokens),
            expected_first_ms=round(first_byte_s * MS_PER_S),
            is_owner=slots.is_owner,
            manifest=self.context.routing_table.version if self.context.routing_table else 0,
            rate_limit=slots.rate_limit.rate,
        )

    def _find_version(self, attempt: Attempt) -> str:
        """Return the software version of the process that an attempt is connected to.

        It is empty if it is unknown: if no entry since the grant was that of the process.
        """
        if self.context.reports is None:
            return self._find_registered_version(attempt.upstream)
        entry = self._find_entry(attempt)
        return entry.software_version if entry else ''

    def _find_entry(self, attempt: Attempt) -> Upstream | None:
        """Return the entry of the process that an attempt is connected to, or None."""
        incarnation = attempt.conn.incarnation
        if not incarnation:
            return None
        current = self._find_slots(attempt.upstream).upstream
        for entry in (attempt.process_entry, current):
            if entry.incarnation == incarnation:
                # A later entry may be that of the next process.
                attempt.process_entry = entry
                return entry
        return None

    async def _may_begin(self, attempt: Attempt) -> bool:
        """Return whether others can learn the version, or no other upstream is left to try.

        A stream that may not go on elsewhere is better than none.
        """
        if not self._may_go_on_elsewhere():
            return True
        version = await self._look_up_version(attempt)
        is_known = await self.context.origins.may_begin(attempt.upstream.service, version)
        return is_known or not self._list_untried_versions()

    async def _look_up_version(self, attempt: Attempt) -> str:
        """Return the version that begins a stream; its entry may have to be read first."""
        incarnation = attempt.conn.incarnation
        if self.context.reports is not None and incarnation and self._find_entry(attempt) is None:
            await self.context.look_up_process(attempt.upstream.upstream_id, incarnation)
        return self._find_version(attempt)

    def _find_registered_version(self, upstream: Upstream) -> str:
        """Return the software version of the granted upstream; empty if its entry has changed it.

        Then a restart of the upstream cannot be told from an answer of the process before it.
        """
        current = self.context.scheduler.slots.get(upstream.upstream_id)
        if current is None or current.upstream.software_version != upstream.software_version:
            return ''
        return upstream.software_version

    def _has_begun_version(self, attempt: Attempt) -> bool:
        """Return whether the upstream of an attempt has the version that began the stream."""
        version = self._find_version(attempt)
        return bool(version) and version == self._origin.origin.software_version

    def _check_version(self, attempt: Attempt) -> None:
        """Check the version before bytes of a stream that has begun are taken; raise Truncated.

        Events that were passed on before a change of the entry may be of either version, unless
        the connection tells which process sent them: its entry may arrive later.
        """
        if self._origin is None or self._has_begun_version(attempt):
            return
        if not attempt.received_parts:
            raise Truncated(OTHER_VERSION, step='receive_body', peer=attempt.upstream.address)
        version = '' if self.context.reports is None else self._find_version(attempt)
        if version != self._origin.origin.software_version:
            self._record_version(attempt.upstream.service, version)

    def _log_continuation(self, attempt: Attempt) -> None:
        """Log the upstream at which a stream goes on, if its first event came from another run."""
        known = self._origin
        if known is None:
            return
        upstream = attempt.upstream
        last_id = self.splitter.last_id or self._find_header(self._header_names.last_event_id)
        age_s = self.context.read_store_age()
        registered = sorted(self.context.scheduler.list_versions(self.call.service))
        self.context.events.emit(
            Event.STREAM_SWITCHED if self.has_answer_started else Event.STREAM_TAKEN_UP,
            self.call.text_id,
            upstream.upstream_id,
            begun_by=self._get_stream_id()[:MAX_LOGGED_ID_BYTES].decode('latin-1'),
            last_event_id=last_id[:MAX_LOGGED_ID_BYTES].decode('latin-1'),
            begun_version=known.origin.software_version,
            source=known.source.value,
            known_ms=round((read_lease_clock() - known.known_since) * MS_PER_S),
            version=self._find_version(attempt),
            registered=registered[:MAX_LOGGED_VERSIONS],
            registered_age_ms=round(age_s * MS_PER_S) if math.isfinite(age_s) else None,
        )

    async def _read_head(self, attempt: Attempt) -> UpstreamAnswer:
        """Return the head of the answer.

        Raises HeadTimeout if it is late: the call can still be refused, so it gives up its slot. If
        it resumes a stream, it keeps the slot until another upstream resumes it.
        """
        call = self.call
        upstream = attempt.upstream
        read = functools.partial(self._read_answer, attempt)
        limit_s = None
        running = self._find_slots(upstream).running.get(call.text_id)
        if running is not None and call.route.is_repeatable and self._can_retry_elsewhere():
            limit_s = max(running.first_byte_timeout_at - read_lease_clock(), 0)
        with anyio.move_on_after(limit_s):
            return await read()
        if self.has_answer_started:
            return await self._read_or_resume(attempt, read)
        raise HeadTimeout('no byte of an answer', step='receive_head', peer=upstream.address)

    async def _read_answer(self, attempt: Attempt) -> UpstreamAnswer:
        return await read_answer(
            attempt.conn, self.call.attempt_id, self.context.header_names.attempt_id
        )

    def _check_executed(
        self, upstream: Upstream, answer: UpstreamAnswer, *, ran_before: bool
    ) -> None:
        header_names = self.context.header_names
        is_marked_not_run = bool(find_header(answer.headers, header_names.not_run))
        if is_marked_not_run or answer.status == STATUS_MISDIRECTED:
            self.call.may_have_run = ran_before
            message = f'the upstream answered {answer.status} and did not run the call'
            raise NotExecuted(message, step='receive_head', peer=upstream.address)
        if answer.status < STATUS_REDIRECT and not find_header(
            answer.headers, header_names.signature
        ):
            raise SentUnknown('the answer has no signature', step='receive_head', peer=answer.peer)

    def _reserve(self, answer: UpstreamAnswer, size: int) -> None:
        """Count `size` bytes as held; raise AnswerTooLarge if all calls hold too much."""
        if not self._reservation.resize(size):
            message = 'the answers in progress exceed the memory for them'
            raise AnswerTooLarge(message, step='receive_body', peer=answer.peer)

    async def _relay_buffered(self, attempt: Attempt) -> str:
        answer = attempt.answer
        failed = self._failed_answer
        kept_bytes = len(failed.body) if failed else 0
        body = await answer.read_all(
            MAX_ANSWER_BYTES, lambda size: self._reserve(answer, kept_bytes + size)
        )
        await self._check_process(attempt)
        headers = select_answer_headers(answer.headers)
        is_failure = answer.status >= STATUS_SERVER_ERROR
        may_relay = answer.status not in NOT_RUN_STATUSES
        if is_failure and self.call.route.is_repeatable and self._can_send_again():
            if may_relay:
                self._failed_answer = FailedAnswer(answer.status, headers, body)
            raise Truncated(f'status {answer.status}', step='receive_head', peer=answer.peer)
        self._is_relaying = True
        if answer.status < STATUS_REDIRECT:
            self._record_sound_parts()
        self._record_first_part()
        # The caller may take long to read the answer.
        attempt.is_complete = True
        self._end_attempt(attempt)
        if not may_relay:
            if is_failure:
                self._fail_upstream(attempt.upstream, 'the upstream answered with a server error')
            message = f'status {answer.status} without a statement that the call was not run'
            raise Refusal('upstream_failed', message, status=STATUS_BAD_GATEWAY, peer=answer.peer)
        await self.caller.send_answer(answer.status, headers, body)
        return FAILED if is_failure else SERVED

    async def _relay_stream(self, attempt: Attempt) -> str:
        answer = attempt.answer
        started_at, sending_before_s = read_lease_clock(), self._sending_s
        splitter = self.splitter
        splitter.start_run(self._get_resumed_id())
        before = splitter.event_count
        attempt.progress = AnswerProgress(join_digests(self.call.part_digests))
        with self.context.quarantine.track_answer(attempt.progress):
            while not answer.is_complete:
                events = await self._read_events(attempt)
                if events:
                    self._is_relaying = True
                    attempt.received_parts += 1
                    attempt.progress.events = splitter.event_count - before
                    await self._send_part(attempt, events)
        self._check_stream_end(attempt)
        await self._check_process(attempt)
        self._is_relaying = True
        self._record_sound_parts()
        read_s = read_lease_clock() - started_at - (self._sending_s - sending_before_s)
        if not self.has_answer_started:
            # Neither events nor marked as such: an answer of another kind.
            await self._send_part(attempt, splitter.pop_partial())
        await self.caller.end_stream()
        slots = self.context.scheduler.slots.get(attempt.upstream.upstream_id)
        event_count = splitter.event_count - before
        if slots is not None and event_count:
            slots.record_answer(read_s, event_count * TOKENS_PER_EVENT, read_lease_clock())
        return SERVED

    async def _read_events(self, attempt: Attempt) -> bytes:
        """Return the next whole events of a stream, empty at its end.

        Raises Truncated after a stall, once another upstream resumes the stream or if the answer to
        the caller has not begun. The time limit does not cover sending the events: a slow caller is
        no reason to leave an upstream.
        """
        read = functools.partial(self._read_whole_events, attempt)
        with anyio.move_on_after(self._get_event_timeout()):
            return await read()
        if self.has_answer_started:
            return await self._read_or_resume(attempt, read)
        if self._can_retry_elsewhere():
            raise make_stall(attempt)
        return await read()

    async def _read_or_resume(
        self, attempt: Attempt, read: Callable[[], Awaitable[Answer]]
    ) -> Answer:
        """Return what `read` returns; raise Truncated once another upstream resumes the stream."""
        found: Answer | None = None
        while found is None:
            if attempt.read_error is not None:
                raise attempt.read_error
            found = await self._read_or_replace(read)
            if found is None:
                found = await self._resume_elsewhere(attempt, read)
        return found

    async def _resume_elsewhere(
        self, silent: Attempt, read: Callable[[], Awaitable[Answer]]
    ) -> Answer | None:
        """Send a stream to the upstream of the replacement; raise Truncated to go on there.

        The connection to the silent upstream stays open meanwhile, as the other one may be full. If
        `read` returns before the other one has begun to answer, the silent one is kept and the
        result returned. Returns None if the other one does not take the stream.
        """
        replacement = self._replacement
        read_before: list[Answer] = []
        try:
            await self._connect(replacement)
            if silent.has_unread_bytes() or not self._may_replace() or not self._charge_retry():
                self._discard_replacement()
                return None
            self._send(replacement)
            read_silent = functools.partial(read_into, read_before, silent, read)
            with anyio.move_on_after(MAX_OVERLAP_S):
                answer = await self._read_unless_resumed(replacement, read_silent)
                if answer is not None and not read_before:
                    self._accept_head(replacement, answer)
        except UpstreamError as error:
            self.unsent_attempts += isinstance(error, NotSent)
            self._record_failure(replacement, error)
            self._discard_replacement()
            # Not again for this call, also if it could not be connected to.
            self.tried_upstreams.add(replacement.upstream.upstream_id)
            return read_before[0] if read_before else None
        if read_before:
            self._discard_replacement()
            return read_before[0]
        # The silent upstream may have crashed meanwhile.
        raise silent.read_error or make_stall(silent)

    async def _read_unless_resumed(
        self, replacement: Attempt, read_silent: Callable[[anyio.CancelScope], Awaitable[None]]
    ) -> UpstreamAnswer | None:
        """Return the head of the answer of a replacement, or None if the silent upstream goes on.

        Raises UpstreamError.
        """
        answer: UpstreamAnswer | None = None
        failure: UpstreamError | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(read_silent, group.cancel_scope)
            try:
                answer = await self._read_answer(replacement)
            except UpstreamError as error:
                # Raised inside the task group, it would become a part of an exception group.
                failure = error
            group.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return answer

    async def _read_whole_events(self, attempt: Attempt) -> bytes:
        """Return the next whole events of a stream, empty at its end; wait while one is incomplete.

        Raises Truncated, or AnswerTooLarge for an event of more than MAX_EVENT_BYTES.
        """
        answer = attempt.answer
        while not answer.is_complete:
            chunk = await answer.read_chunk()
            # Events that the splitter has counted cannot be asked for again.
            self._check_version(attempt)
            try:
                events = self.splitter.feed(chunk)
            except MisplacedEventError as error:
                # The connection is sound, so that the error must not be taken for a crash.
                raise Truncated(str(error), step='receive_body', peer=answer.peer) from None
            self._reserve(answer, len(self.splitter.partial))
            if events:
                return events
            if len(self.splitter.partial) > MAX_EVENT_BYTES:
                message = f'an event of the stream exceeds {MAX_EVENT_BYTES} bytes'
                raise AnswerTooLarge(message, step='receive_body', peer=answer.peer)
        return b''

    def _check_stream_end(self, attempt: Attempt) -> None:
        """Raise EndedEarly if a stream that has ended cannot be complete."""
        answer = attempt.answer
        has_events = attempt.received_parts > 0
        if self.splitter.partial.strip():
            is_broken = has_events or answer.is_event_stream or not answer.has_length
        else:
            is_broken = not (has_events or answer.has_length)
        if is_broken:
            message = 'the stream ended inside an event or before the first one'
            raise EndedEarly(message, step='receive_body', peer=answer.peer)

    async def _check_process(self, attempt: Attempt) -> None:
        """Raise EndedEarly or EndUnclear unless the end of an answer is marked or intended.

        An upstream that leaves may exit after its last answer, or be killed before the end of it.
        """
        upstream, answer = attempt.upstream, attempt.answer
        if answer.has_length:
            return
        survival = await check_survival(self.context, attempt.conn, upstream)
        if survival is Survival.GOES_ON:
            return
        is_announced = find_header(answer.headers, self._header_names.leaving) == FLAG_SET
        if survival is Survival.ENDED and not (is_announced or self._has_left(upstream)):
            message = 'the process of the upstream has ended with the answer'
            raise EndedEarly(message, step='receive_body', peer=answer.peer)
        message = 'the answer ended without a mark, and its process may have ended before'
        raise EndUnclear(message, step='receive_body', peer=answer.peer)

    def _has_left(self, upstream: Upstream) -> bool:
        """Return whether the entry of an upstream was removed or says that it leaves."""
        slots = self.context.scheduler.slots.get(upstream.upstream_id)
        return slots is None or slots.upstream.is_leaving

    def _record_sound_parts(self) -> None:
        self.context.quarantine.record_answer(self.call.part_digests, read_lease_clock())

    async def _send_part(self, attempt: Attempt, part: bytes) -> None:
        answer = attempt.answer
        began_at = read_lease_clock()
        if self.has_answer_started:
            self.call.longest_event_gap_s = max(
                self.call.longest_event_gap_s, began_at - self._last_part_at
            )
            await self.caller.send_part(part)
        else:
            service = attempt.upstream.service
            if self.call.route.is_resumable:
                version = await self._look_up_version(attempt)
                await self.context.origins.announce_version(service, version)
            self.has_answer_started = True
            self._is_event_stream = answer.is_event_stream
            # The entry may have changed meanwhile.
            self._record_version(service, self._find_version(attempt))
            self._record_first_part()
            headers = select_answer_headers(answer.headers)
            await self.caller.start_stream(answer.status, headers, part)
        self._last_part_at = read_lease_clock()
        self._sending_s += self._last_part_at - began_at

    def _record_version(self, service: str, software_version: str) -> None:
        """Record what began the stream with its first event; an empty version is unknown."""
        now = read_lease_clock()
        origin = Origin(service, software_version)
        self._origin = KnownOrigin(origin, now, Source.OWN)
        stream_id = self._get_stream_id()
        if stream_id and self._may_go_on_elsewhere():
            self.context.origins.records.record(stream_id, origin, now)

    def _may_go_on_elsewhere(self) -> bool:
        """Return whether several calls or upstreams may bring the events of the stream."""
        route = self.call.route
        if route.kind is not CallKind.STREAM:
            return False
        return route.is_resumable or bool(self._find_header(self._header_names.last_event_id))

    def _get_stream_id(self) -> bytes:
        """Return the attempt id of the call that brought the first event of the stream."""
        if not self._find_header(self._header_names.last_event_id):
            return self.call.attempt_id
        resumed = self._find_header(self._header_names.resumed_attempt_id)
        return resumed or self.call.attempt_id

    def _get_resumed_id(self) -> bytes:
        """Return the id of the event after which the next run goes on; empty at the begin."""
        return self.splitter.last_id or self._find_header(self._header_names.last_event_id)

    def _find_header(self, name: bytes) -> bytes:
        return find_header(self.call.request.headers, name)

    @property
    def _header_names(self) -> HeaderNames:
        return self.context.header_names

    def _record_first_part(self) -> None:
        waited_s = read_lease_clock() - self.call.arrived_at
        self.call.first_part_s = waited_s
        self.context.metrics.first_byte.observe({'route': self.call.route.name}, waited_s)

    def _find_slots(self, upstream: Upstream) -> Slots:
        """Return the slots of an upstream; empty ones if its entry was removed during the call."""
        return self.context.scheduler.slots.get(upstream.upstream_id) or Slots(upstream)

    def _record_failure(self, attempt: Attempt, error: UpstreamError) -> None:
        upstream = attempt.upstream
        # A refused connection means that nothing listens; a timeout may be a lost packet.
        is_certain = isinstance(error, NotSent) and not isinstance(error.__cause__, TimeoutError)
        is_entry_current = self._find_registered_version(upstream) == upstream.software_version
        if is_entry_current and not isinstance(error, (ProcessUnconfirmed, EndUnclear)):
            # Else the upstream has restarted since, or may have left as planned.
            self._fail_upstream(upstream, error.message, is_certain=is_certain)
        if attempt.count is not None:
            attempt.count.record_failure(error)
        if is_crash(error, has_left=self._has_left(upstream)):
            self._record_crash(attempt)
        self.context.metrics.attempts.inc({'result': type(error).__name__})
        self.context.events.emit(
            Event.ATTEMPT_FAILED,
            self.call.text_id,
            upstream.upstream_id,
            error=str(error),
            attempt=self.call.send_count,
            may_have_run=self.call.may_have_run,
            events=self.splitter.event_count,
            shared_parts=self.call.prompt_header[:MAX_LOGGED_PROMPT_BYTES].decode('latin-1'),
        )

    def _record_crash(self, attempt: Attempt) -> None:
        upstream = attempt.upstream
        crash = Crash(
            get_call_digest(self.context.header_names, self.call),
            f'{upstream.upstream_id}/{upstream.incarnation}',
            self.call.part_digests,
            attempt.progress.events if attempt.progress else 0,
        )
        self.context.quarantine.record_crash(
            crash, read_lease_clock(), is_from_peer=False, is_probe=self.call.is_probe
        )
        self.call.is_probe = False
        self.context.recheck_quarantine()

    def _fail_upstream(self, upstream: Upstream, problem: str, *, is_certain: bool = False) -> None:
        slots = self.context.scheduler.slots.get(upstream.upstream_id)
        if slots is None:
            return
        health = slots.health
        was_ejected = health.is_ejected
        health.record_failure(read_lease_clock(), is_certain=is_certain)
        if health.is_ejected and not was_ejected:
            self.context.events.emit(
                Event.UPSTREAM_SET_ASIDE,
                self.call.text_id,
                upstream.upstream_id,
                problem=problem,
                failures=health.failures,
                failure_share=round(health.failure_share, 2),
            )

    def _may_retry(self, error: UpstreamError) -> bool:
        """Return whether to send the call to another upstream; charge the retry budget if so."""
        call = self.call
        if isinstance(error, ProcessUnconfirmed):
            # Each upstream is tried once; many entries may be outdated at the same time.
            return self._is_version_served()
        if isinstance(error, NotSent):
            self.unsent_attempts += 1
            return self.unsent_attempts < MAX_UNSENT_ATTEMPTS
        if not self._can_send_again() or not self._is_version_served():
            return False
        if not isinstance(error, NotExecuted) and not call.route.is_repeatable:
            return False
        return self._charge_retry()

    def _is_version_served(self) -> bool:
        """Return whether another upstream may have the version of a stream that has begun."""
        if self._origin is None:
            return True
        begun_version = self._origin.origin.software_version
        return bool(begun_version) and begun_version in self._list_untried_versions()

    def _list_untried_versions(self) -> Collection[str]:
        return self.context.scheduler.list_versions(
            self.call.service, excluded=self.tried_upstreams
        )

    def _charge_retry(self) -> bool:
        """Take a retry from the budget; return whether there was one."""
        share = self.context.get_budget_share()
        return self.context.budget.try_acquire(self.call.service, read_lease_clock(), share)

    def quiet_s(self) -> float:
        """Return the seconds since the last part of the answer; 0 before the first one."""
        return read_lease_clock() - self._last_part_at if self.has_answer_started else 0

    def _get_event_timeout(self) -> float:
        """Return the seconds without an event after which to resume elsewhere; inf for never."""
        if not (self.call.route.is_resumable and self._has_attempts_left()):
            return math.inf
        return get_stall_timeout(self.call.route, self.call.longest_event_gap_s)

    def _can_retry_elsewhere(self) -> bool:
        """Return whether another attempt is allowed.

        Only then may an attempt that does not answer be given up.
        """
        share = self.context.get_budget_share()
        now = read_lease_clock()
        return self._has_attempts_left() and self.context.budget.has_room(
            self.call.service, now, share
        )

    def _has_attempts_left(self) -> bool:
        if self.has_answer_started and not RESUMABLE_ID.fullmatch(self.splitter.last_id):
            return False
        return self.call.send_count < self.call.route.max_attempts

    def _can_send_again(self) -> bool:
        return self._has_attempts_left() and self.call.time_left() > 0

    def _make_final_refusal(self, error: UpstreamError) -> Refusal:
        """Return the refusal after a failure; it says "not run" only if that is certain."""
        if not self.call.may_have_run:
            return Refusal(
                'not_executed',
                error.message,
                retry_after_s=NOT_EXECUTED_RETRY_AFTER_S,
                peer=error.peer,
            )
        return Refusal('upstream_failed', error.message, status=STATUS_BAD_GATEWAY, peer=error.peer)
