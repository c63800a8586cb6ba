"""Serves the connections of callers, and the pages of the daemon."""

import socket
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import h11
from loguru import logger

from ..errors import CallerDisconnected, Refusal
from ..events import Event, EventLog
from ..internal_errors import log_internal_error
from ..routing import CallerLimits
from .acceptance import MS_PER_S, Call, accept_current_call, refuse_by_manifest
from .call import (
    FAILED,
    SERVED,
    STATUS_BAD_GATEWAY,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_SERVER_ERROR,
    CallHandler,
)
from .caller import (
    STATUS_HEAD_TOO_LARGE,
    STATUS_TOO_LARGE,
    CallerConnection,
    CallerRequest,
)
from .context import RelayContext
from .headers import Headers
from .quota import return_units, take_quota
from .refusals import render_refusal
from .slow_readers import MAX_UNSENT_BYTES
from .sockets import Connection, accept_connections

PageAnswer = tuple[int, Headers, bytes]
CALLER_LEFT_OUTCOME = 'caller_left'
CUT_OUTCOME = 'cut'
DEADLINE_REASON = 'deadline_exceeded'
STOPPING_REASON = 'daemon_stopping'
FAILURE_REASON = 'internal_error'
# Another daemon may be in another state and serve the call.
FAILURE_RETRY_AFTER_S = 0.2
# A newer manifest may allow larger requests.
SIZE_LIMIT_STATUSES = frozenset((STATUS_TOO_LARGE, STATUS_HEAD_TOO_LARGE))
UPSTREAM_OUTCOMES = frozenset((SERVED, FAILED))


async def serve_calls(
    context: RelayContext, listener: socket.socket, group: anyio.abc.TaskGroup
) -> None:
    """Serve calls until the listener is closed; the tasks of connections run in `group`."""

    async def serve(connection: Connection) -> None:
        caller = CallerConnection(
            connection,
            context.limits,
            read_limits=lambda: context.limits,
            memory=context.memory,
            is_urgent=context.is_urgent,
        )
        if context.memory.bounds is not None:
            connection.limit_unsent(MAX_UNSENT_BYTES)
        context.connections.add(caller)
        try:
            await _serve_connection(context, caller)
        except CallerDisconnected:
            # No answer is possible; the end of a call in progress was logged.
            return
        except Exception as error:
            # An error of one connection must not end those of all callers.
            log_internal_error(context.events, error)
        finally:
            context.connections.discard(caller)
            caller.close_at_once()

    await accept_connections(listener, serve, group, _log_accept_error)


async def serve_pages(
    listener: socket.socket,
    answer: Callable[[CallerRequest], Awaitable[PageAnswer]],
    group: anyio.abc.TaskGroup,
    events: EventLog,
) -> None:
    """Serve pages until the listener is closed; the tasks of connections run in `group`."""

    async def answer_or_fail(request: CallerRequest) -> PageAnswer:
        try:
            return await answer(request)
        except Exception as error:
            log_internal_error(events, error)
            return STATUS_SERVER_ERROR, [], b''

    async def serve(connection: Connection) -> None:
        caller = CallerConnection(connection, CallerLimits())
        try:
            await _serve_page_connection(caller, answer_or_fail)
        except (CallerDisconnected, Refusal, h11.ProtocolError):
            # Pages have no state to clean up after a malformed request.
            return
        except Exception as error:
            log_internal_error(events, error)
        finally:
            caller.close_at_once()

    await accept_connections(listener, serve, group, _log_accept_error)


async def _serve_page_connection(
    caller: CallerConnection, answer: Callable[[CallerRequest], Awaitable[PageAnswer]]
) -> None:
    request = await caller.read_request()
    while request is not None:
        await caller.send_answer(*await answer(request))
        if not caller.start_next():
            break
        request = await caller.read_request()
    await caller.close()


async def _serve_connection(context: RelayContext, caller: CallerConnection) -> None:
    while True:
        caller.limits = context.limits
        caller.is_draining = context.is_stopping
        request = await _read_request(context, caller)
        if request is None:
            break
        context.begin_call()
        try:
            await _serve_request(context, caller, request)
        finally:
            context.finish_call()
        if not caller.start_next():
            break
    await caller.close()


async def _read_request(context: RelayContext, caller: CallerConnection) -> CallerRequest | None:
    """Return the next request, or None if there is none or after refusing a malformed one."""
    try:
        return await caller.read_request()
    except Refusal as error:
        refusal = error
        if refusal.status in SIZE_LIMIT_STATUSES:
            refusal = refuse_by_manifest(context, error.reason, error.message, error.status)
        context.events.emit(Event.BAD_REQUEST, reason=refusal.message, status=refusal.status)
        caller.closes_after_answer = True
        if caller.can_answer:
            await caller.send_answer(*render_refusal(refusal))
    return None


async def _serve_request(
    context: RelayContext, caller: CallerConnection, request: CallerRequest
) -> None:
    try:
        call = await _accept(context, request)
    except Refusal as refusal:
        # The route is unknown, or was not looked up.
        attempt_id = dict(request.headers).get(context.header_names.attempt_id, b'')
        _log_refusal(context, attempt_id.decode('latin-1'), '', refusal)
        await caller.send_answer(*render_refusal(refusal))
        return
    outcome = await _serve_call(context, caller, call)
    if outcome in UPSTREAM_OUTCOMES:
        # Other outcomes are counted where they are determined.
        context.metrics.answers.inc({'route': call.route.name, 'outcome': outcome})
    context.events.emit(
        Event.REQUEST_COMPLETE if outcome == SERVED else Event.REQUEST_FAILED,
        call.text_id,
        outcome=outcome,
        route=call.route.name,
        attempts=call.send_count,
        took_ms=_elapsed_ms(call),
        first_ms=None if call.first_part_s is None else round(call.first_part_s * MS_PER_S),
        pause_ms=round(call.longest_event_gap_s * MS_PER_S),
    )


async def _accept(context: RelayContext, request: CallerRequest) -> Call:
    """Return the call of a request; raise Refusal if it is not accepted or cannot be read."""
    try:
        return await accept_current_call(context, request)
    except Refusal:
        raise
    except Exception as error:
        log_internal_error(context.events, error)
        raise _make_failure_refusal(may_have_run=False) from error


async def _serve_call(context: RelayContext, caller: CallerConnection, call: Call) -> str:
    """Serve a call and return its outcome; raise CallerDisconnected if its caller has left."""
    handler = CallHandler(context, call, caller)
    outcome = ''
    refusal: Refusal | None = None
    caller_left = anyio.Event()
    with context.limit_call_time(max(call.time_left(), 0)):
        async with anyio.create_task_group() as group:
            group.start_soon(_watch_caller, caller, caller_left, group.cancel_scope)
            try:
                await take_quota(context, call)
                outcome = await handler.serve()
            except Refusal as error:
                refusal = error
            except CallerDisconnected:
                caller_left.set()
            except Exception as error:
                log_internal_error(context.events, error, call.text_id)
                refusal = _make_failure_refusal(may_have_run=call.may_have_run)
            group.cancel_scope.cancel()
    if outcome:
        return outcome
    if not handler.has_answer_started and not call.may_have_run:
        return_units(context, call)
    if caller_left.is_set():
        return _end_abandoned(context, caller, call)
    reason = STOPPING_REASON if context.is_cancelling else DEADLINE_REASON
    refusal = refusal or _make_timeout_refusal(call, reason)
    await _answer_unserved(context, handler, refusal)
    return refusal.reason


async def _watch_caller(
    caller: CallerConnection, caller_left: anyio.Event, scope: anyio.CancelScope
) -> None:
    await caller.wait_until_closed()
    caller_left.set()
    scope.cancel()


async def _answer_unserved(context: RelayContext, handler: CallHandler, refusal: Refusal) -> None:
    """Send the refusal of a call; raise CallerDisconnected if its answer has begun."""
    call = handler.call
    caller = handler.caller
    if handler.has_answer_started or not caller.can_answer:
        _log_cut(context, handler, refusal)
        # A reset, so that the incomplete answer is not taken for a complete one.
        caller.connection.close(reset=True)
        raise CallerDisconnected('the answer was cut off after its start', step='relay')
    _log_refusal(context, call.text_id, call.route.name, refusal)
    await caller.send_answer(*render_refusal(refusal))


def _end_abandoned(context: RelayContext, caller: CallerConnection, call: Call) -> str:
    context.events.emit(
        Event.CALLER_LEFT, call.text_id, attempts=call.send_count, took_ms=_elapsed_ms(call)
    )
    context.metrics.answers.inc({'route': call.route.name, 'outcome': CALLER_LEFT_OUTCOME})
    caller.connection.close(reset=True)
    raise CallerDisconnected('the caller closed its connection', step='relay')


def _make_timeout_refusal(call: Call, reason: str) -> Refusal:
    """Return the refusal of a call at its deadline or at the end of a stop of this daemon."""
    if call.may_have_run:
        return Refusal(reason, 'no answer before the time limit', status=STATUS_GATEWAY_TIMEOUT)
    return Refusal(reason, 'no slot before the time limit', retry_after_s=0)


def _make_failure_refusal(*, may_have_run: bool) -> Refusal:
    """Return the refusal of a call that failed with an unexpected error."""
    message = 'unexpected error in this daemon'
    if may_have_run:
        return Refusal(FAILURE_REASON, message, status=STATUS_BAD_GATEWAY)
    return Refusal(FAILURE_REASON, message, retry_after_s=FAILURE_RETRY_AFTER_S)


def _elapsed_ms(call: Call) -> int:
    return round((call.deadline - call.arrived_at - call.time_left()) * MS_PER_S)


def _log_refusal(context: RelayContext, call_id: str, route: str, refusal: Refusal) -> None:
    context.metrics.answers.inc({'route': route, 'outcome': refusal.reason})
    context.events.emit(
        Event.REQUEST_REFUSED,
        call_id,
        refusal.peer,
        reason=refusal.reason,
        detail=refusal.message,
        status=refusal.status,
        retry_after_s=refusal.retry_after_s,
        route=route,
        manifest=context.routing_table.version if context.routing_table else 0,
    )


def _log_cut(context: RelayContext, handler: CallHandler, refusal: Refusal) -> None:
    call = handler.call
    context.metrics.answers.inc({'route': call.route.name, 'outcome': CUT_OUTCOME})
    context.events.emit(
        Event.ANSWER_CUT,
        call.text_id,
        refusal.peer,
        reason=refusal.reason,
        detail=refusal.message,
        events=handler.splitter.event_count,
        quiet_ms=round(handler.quiet_s() * MS_PER_S),
        attempts=call.send_count,
        left_ms=round(call.time_left() * MS_PER_S),
        route=call.route.name,
        manifest=context.routing_table.version if context.routing_table else 0,
    )


def _log_accept_error(error: OSError) -> None:
    logger.warning('cannot accept connection: {}', error)
