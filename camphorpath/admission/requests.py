"""Handles the messages of home daemons about the requests of one service."""

import math
from typing import Any

from ..events import Event
from ..schema import camphorpath_pb2 as pb
from .grants import check_deadline, dispatch
from .losses import record_connection_loss
from .records import RunningRequest, WaitingRequest
from .service import REFUSAL_COOLDOWN_S, ServiceState
from .shedding import shed_excess
from .speed import estimate_work

NOT_STARTED_RESULTS = (pb.Release.NOT_SENT, pb.Release.UPSTREAM_REFUSED)


def enqueue_request(state: ServiceState, session: Any, enqueue: pb.Enqueue) -> None:
    """Queue a request, or register one that is waiting or running already."""
    request_id = enqueue.request_id
    if _reattach_running(state, session, enqueue):
        return
    # A home daemon sends its waiting requests again after a change of the owner.
    state.remove_waiting(request_id)
    if enqueue.running_on:
        _register_running(state, session, enqueue)
        return
    refusal = _find_refusal(state, enqueue)
    if refusal is not None:
        session.refuse(refusal)
        return
    entry = state.add_waiting(session, enqueue)
    state.context.events.emit(Event.ENQUEUED, request_id, tier=enqueue.tier)
    state.context.add_timer(entry.deadline, state.name, request_id)
    # The latest start with which the request can complete in time.
    state.context.add_timer(entry.deadline - entry.work_s, state.name, request_id)
    if entry.first_token_deadline < math.inf:
        state.context.add_timer(
            entry.first_token_deadline - entry.prefill_s, state.name, request_id
        )
        state.context.add_timer(entry.first_token_deadline, state.name, request_id)
    dispatch(state)
    if request_id in state.queue.entries:
        shed_excess(state)
    if request_id in state.queue.entries:
        check_deadline(state, entry)


def release_request(state: ServiceState, release: pb.Release) -> None:
    """Free the slot of a request and update speed, shares and suspects with its result."""
    running = state.running.get(release.request_id)
    if running is None:
        return
    _apply_result(state, running, release)
    state.remove_running(running)
    state.context.events.emit(
        Event.RELEASED,
        running.request_id,
        running.upstream,
        result=pb.Release.Result.Name(release.result).lower(),
    )
    dispatch(state)


def withdraw_request(state: ServiceState, session: Any, request_id: str) -> None:
    """Remove a request that its home daemon withdrew; a grant on its way becomes void."""
    state.remove_waiting(request_id)
    running = state.running.get(request_id)
    if running is not None and running.session is session:
        state.remove_running(running)
    dispatch(state)


def disconnect_home(state: ServiceState, session: Any) -> None:
    """Remove the waiting requests of a lost home daemon; its running ones remain counted."""
    for entry in list(state.queue.entries.values()):
        if entry.session is session:
            state.remove_waiting(entry.request_id)
    for running in state.running.values():
        if running.session is session:
            state.mark_orphaned(running)
    dispatch(state)


def check_request(state: ServiceState, request_id: str) -> None:
    """Check a request for which a timer is due."""
    now = state.context.clock()
    running = state.running.get(request_id)
    if running is not None and running.session is None and running.deadline <= now:
        state.remove_running(running)
    entry = state.queue.entries.get(request_id)
    if entry is not None and entry.deadline <= now:
        _expire(state, entry)
        entry = None
    if (
        entry is not None
        and not entry.is_late
        and entry.first_token_deadline - entry.prefill_s <= now
    ):
        state.queue.postpone(entry)
    dispatch(state)
    if entry is not None and request_id in state.queue.entries:
        check_deadline(state, entry)


def refuse_digests(state: ServiceState, digests: list[str]) -> None:
    """Refuse the waiting requests with digests that are known to crash upstreams."""
    for entry in list(state.queue.entries.values()):
        if digests and entry.enqueue.digest in digests:
            refusal = _make_crash_refusal(entry.request_id)
            state.refuse(entry, refusal.reason, refusal.text)


def _reattach_running(state: ServiceState, session: Any, enqueue: pb.Enqueue) -> bool:
    """Return whether a request is running here already; it then belongs to this session."""
    running = state.running.get(enqueue.request_id)
    if running is None:
        return False
    if running.session is session:
        # A grant is on its way to the home daemon, or the registration is a repetition.
        return True
    if enqueue.running_on == running.upstream:
        running.session = session
        # A preemption order may have been lost with the previous stream.
        running.is_preempted = False
        return True
    # The grant was lost with the previous stream, so the home daemon will never use it.
    state.remove_running(running)
    return False


def _register_running(state: ServiceState, session: Any, enqueue: pb.Enqueue) -> None:
    context, now = state.context, state.context.clock()
    pool = context.view.pool(state.name, enqueue.pool) or pb.Pool()
    state.add_running(
        RunningRequest(
            enqueue,
            session,
            enqueue.running_on,
            granted_at=now,
            granted_wall_at=context.wall_clock(),
            deadline=now + enqueue.time_left,
            work_s=estimate_work(pool, enqueue.prompt_tokens, enqueue.output_tokens),
            uncached_tokens=enqueue.prompt_tokens,
            is_alone=context.suspects.count(state.name, enqueue.digest) > 0,
        )
    )


def _find_refusal(state: ServiceState, enqueue: pb.Enqueue) -> pb.Refused | None:
    request_id, view = enqueue.request_id, state.context.view
    if view.pool(state.name, enqueue.pool) is None:
        text = f'service {state.name} has no pool named {enqueue.pool}'
        return pb.Refused(request_id=request_id, reason='unknown_pool', text=text)
    if enqueue.time_left <= 0:
        text = 'the deadline passed before the request was queued'
        return pb.Refused(request_id=request_id, reason='deadline_exceeded', text=text)
    count = state.context.suspects.count(state.name, enqueue.digest)
    if count >= state.settings.crash_limit:
        return _make_crash_refusal(request_id)
    return None


def _make_crash_refusal(request_id: str) -> pb.Refused:
    text = 'the upstreams that ran this request crashed'
    return pb.Refused(request_id=request_id, reason='crashes_upstreams', text=text)


def _expire(state: ServiceState, entry: WaitingRequest) -> None:
    state.context.events.emit(
        Event.REQUEST_REFUSED, entry.request_id, reason='deadline_exceeded', tier=entry.enqueue.tier
    )
    text = 'no upstream slot became free before the deadline'
    state.refuse(entry, 'deadline_exceeded', text, state.estimate_retry(entry))


def _apply_result(state: ServiceState, running: RunningRequest, release: pb.Release) -> None:
    upstream = state.upstreams.get(running.upstream)
    enqueue = running.enqueue
    shares = state.queue.shares(enqueue.pool, running.rank)
    weight = state.context.view.weights.get(enqueue.customer, 1)
    if release.result == pb.Release.COMPLETE:
        state.context.suspects.clear(state.name, enqueue.digest)
        unexpected = release.output_tokens - enqueue.output_tokens if release.output_tokens else 0
        shares.charge(enqueue.customer, unexpected, weight)
    elif release.result in NOT_STARTED_RESULTS:
        shares.charge(enqueue.customer, -max(running.tokens, 1), weight)
    if upstream is None:
        return
    if release.result in {pb.Release.UPSTREAM_REFUSED, pb.Release.UPSTREAM_LOST}:
        upstream.refusing_until = state.context.clock() + REFUSAL_COOLDOWN_S
        state.context.add_timer(upstream.refusing_until, state.name, '')
    if release.result == pb.Release.UPSTREAM_LOST:
        record_connection_loss(state, upstream)
    elif release.result == pb.Release.COMPLETE:
        upstream.speed.record_completion(upstream.pool, running, release)
    elif release.result not in NOT_STARTED_RESULTS:
        upstream.speed.record_lower_bound(running, state.context.clock() - running.granted_at)
