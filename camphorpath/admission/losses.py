"""Lost connections to upstreams: decides by the next poll whether the upstream crashed.

A connection can be lost without a crash, by a network failure or a truncated stream. Until the
poll every request that ran on the upstream is treated as a crash suspect, so that a retry of a
crashing request cannot take down another upstream together with other requests.
"""

from collections.abc import Iterable

import attrs

from ..events import Event
from ..schema import camphorpath_pb2 as pb
from .records import WaitingRequest
from .service import ServiceState
from .upstream import ConnectionLoss, Upstream


def record_connection_loss(state: ServiceState, upstream: Upstream) -> None:
    """Record that a home daemon lost its connection to an upstream."""
    context, now = state.context, state.context.clock()
    loss = upstream.loss or ConnectionLoss(now)
    upstream.loss = attrs.evolve(loss, lost_at=now)
    context.add_timer(now + state.settings.load_limit, state.name, '')
    for running in upstream.running.values():
        digest = running.enqueue.digest
        if not digest or digest in loss.ran_alone:
            continue
        loss.ran_alone[digest] = running.is_alone
        if not context.suspects.count(state.name, digest):
            loss.new_suspects.add(digest)
            context.suspects.record(state.name, digest, state.settings.crash_limit, was_alone=False)


def record_reported_losses(state: ServiceState, lost: Iterable[pb.LostRequest]) -> list[str]:
    """Record lost requests that home daemons report; return the digests refused from now on.

    The previous owner may not have written them to the table, or the table may not have been read.
    """
    suspects, limit = state.context.suspects, state.settings.crash_limit
    refused = []
    for request in lost:
        if request.service != state.name:
            continue
        count = suspects.count(state.name, request.digest)
        if request.refused and count < limit:
            suspects.record(state.name, request.digest, limit, was_alone=True)
            refused.append(request.digest)
        elif not count:
            suspects.record(state.name, request.digest, limit, was_alone=False)
    return refused


def has_unresolved_loss(state: ServiceState, entry: WaitingRequest) -> bool:
    """Return whether a request ran alone on an upstream that may have crashed.

    It must not restart before that is known, or it could crash one upstream more than the limit.
    """
    digest = entry.enqueue.digest
    return any(
        upstream.loss.ran_alone.get(digest, False)
        for upstream in state.upstreams.values()
        if upstream.loss is not None
    )


def resolve_polled_loss(
    state: ServiceState, upstream: Upstream, polled_at: float, *, restarted: bool
) -> list[str]:
    """Resolve the loss of an upstream that answered a poll sent at `polled_at`.

    Return the digests of requests that are refused from now on.
    """
    loss = upstream.loss
    if loss is None:
        return []
    if restarted:
        return _record_crash(state, upstream, loss)
    if polled_at >= loss.lost_at:
        _dismiss_loss(state, upstream, loss)
    return []


def resolve_unanswered_losses(state: ServiceState) -> list[str]:
    """Resolve the losses of upstreams that have not answered within `load_limit` since.

    An upstream that was leaving has stopped as planned; the others count as crashed. Return the
    digests of requests that are refused from now on.
    """
    now, limit = state.context.clock(), state.settings.load_limit
    refused: list[str] = []
    for upstream in state.upstreams.values():
        loss = upstream.loss
        if loss is None or now - loss.lost_at < limit:
            continue
        if upstream.is_leaving:
            _dismiss_loss(state, upstream, loss)
        else:
            refused.extend(_record_crash(state, upstream, loss))
    return refused


def resolve_all_losses(state: ServiceState) -> None:
    """Resolve all losses when the service moves to another owner, which does not know of them.

    A request that ran alone was a suspect already, so the loss counts as a crash by it. Otherwise
    a request whose service changes owner after each crash would never reach the limit.
    """
    for upstream in state.upstreams.values():
        if upstream.loss is not None:
            alone = {
                digest: True for digest, was_alone in upstream.loss.ran_alone.items() if was_alone
            }
            _record_crash(state, upstream, attrs.evolve(upstream.loss, ran_alone=alone))


def _record_crash(state: ServiceState, upstream: Upstream, loss: ConnectionLoss) -> list[str]:
    upstream.loss = None
    state.context.events.emit(
        Event.UPSTREAM_LOST, '', upstream.name, cause='crashed', running=len(loss.ran_alone)
    )
    limit = state.settings.crash_limit
    refused = []
    for digest, ran_alone in loss.ran_alone.items():
        count = state.context.suspects.record(state.name, digest, limit, was_alone=ran_alone)
        if count >= limit:
            refused.append(digest)
    return refused


def _dismiss_loss(state: ServiceState, upstream: Upstream, loss: ConnectionLoss) -> None:
    upstream.loss = None
    for digest in loss.new_suspects:
        state.context.suspects.clear(state.name, digest)
