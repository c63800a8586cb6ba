"""Lost connections to upstreams, until a poll tells whether the upstream crashed.

A connection can be lost without a crash: a link fails, a stream is truncated. Until the verdict
everything that ran on the upstream is treated as a crash suspect, so that a crashing request that
is sent again cannot cost another upstream together with its neighbours.
"""

import attrs

from ..events import Event
from .records import Waiting
from .service import ServiceState
from .upstream import Doubt, Upstream


def doubt_upstream(state: ServiceState, upstream: Upstream) -> None:
    """Take note that a home lost its connection to an upstream."""
    context, now = state.context, state.context.clock()
    doubt = upstream.doubt or Doubt(now)
    upstream.doubt = attrs.evolve(doubt, lost_at=now)
    context.wake_at(now + state.settings.load_limit, state.name, '')
    for running in upstream.running.values():
        digest = running.enqueue.digest
        if not digest or digest in doubt.ran_alone:
            continue
        doubt.ran_alone[digest] = running.is_alone
        if not context.suspects.count(state.name, digest):
            doubt.was_clean.add(digest)
            context.suspects.record(state.name, digest, state.settings.crash_limit, was_alone=False)


def is_doubted(state: ServiceState, entry: Waiting) -> bool:
    """Return whether a request ran alone on an upstream whose fate is not known yet.

    It must not start again before the verdict, or it could cost one upstream more than the limit.
    """
    digest = entry.enqueue.digest
    return any(
        upstream.doubt.ran_alone.get(digest, False)
        for upstream in state.upstreams.values()
        if upstream.doubt is not None
    )


def settle_answered(
    state: ServiceState, upstream: Upstream, asked_at: float, *, restarted: bool
) -> list[str]:
    """Decide after the answer to a poll asked at `asked_at`; return the refused digests."""
    doubt = upstream.doubt
    if doubt is None:
        return []
    if restarted:
        return _convict(state, upstream, doubt)
    if asked_at >= doubt.lost_at:
        _acquit(state, upstream, doubt)
    return []


def settle_silent(state: ServiceState) -> list[str]:
    """Decide on the upstreams that have not answered since a loss; return the refused digests.

    An upstream that was leaving has ended as planned; it did not crash.
    """
    now, limit = state.context.clock(), state.settings.load_limit
    refused: list[str] = []
    for upstream in state.upstreams.values():
        doubt = upstream.doubt
        if doubt is None or now - doubt.lost_at < limit:
            continue
        if upstream.is_leaving:
            _acquit(state, upstream, doubt)
        else:
            refused.extend(_convict(state, upstream, doubt))
    return refused


def settle_open(state: ServiceState) -> None:
    """Decide on open losses when the service is given up, since the next owner will not.

    A request that ran alone was a suspect already; the loss then counts as its crash, or one that
    crashes each owner's upstreams in turn would never reach the limit.
    """
    for upstream in state.upstreams.values():
        if upstream.doubt is not None:
            alone = {digest: True for digest, was in upstream.doubt.ran_alone.items() if was}
            _convict(state, upstream, attrs.evolve(upstream.doubt, ran_alone=alone))


def _convict(state: ServiceState, upstream: Upstream, doubt: Doubt) -> list[str]:
    upstream.doubt = None
    state.context.events.emit(
        Event.UPSTREAM_LOST, '', upstream.name, cause='crashed', running=len(doubt.ran_alone)
    )
    limit = state.settings.crash_limit
    refused = []
    for digest, ran_alone in doubt.ran_alone.items():
        count = state.context.suspects.record(state.name, digest, limit, was_alone=ran_alone)
        if count >= limit:
            refused.append(digest)
    return refused


def _acquit(state: ServiceState, upstream: Upstream, doubt: Doubt) -> None:
    upstream.doubt = None
    for digest in doubt.was_clean:
        state.context.suspects.clear(state.name, digest)
