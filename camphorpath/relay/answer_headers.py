"""Applies what upstreams state about themselves in the headers of their answers."""

import math

from ..clocks import read_lease_clock
from ..events import Event
from ..placement.rate_limits import RateStatement
from ..placement.slots import Slots
from ..routing import Upstream
from .acceptance import Call
from .context import RelayContext
from .headers import find_header
from .loads import apply_load
from .statements import read_backoff, read_rate
from .upstream import UpstreamAnswer

STATUS_MISDIRECTED = 421
# Value of a header that serves as a flag.
FLAG_SET = b'1'


def apply_answer_headers(
    context: RelayContext, call: Call, upstream: Upstream, answer: UpstreamAnswer
) -> None:
    """Apply the load, planned stop and backoff that an upstream states in its headers."""
    if answer.status == STATUS_MISDIRECTED:
        # Another upstream at this address answered.
        return
    header_names = context.header_names
    now = read_lease_clock()
    # Empty ones if the entry of the upstream was removed during the call.
    slots = context.scheduler.slots.get(upstream.upstream_id) or Slots(upstream)
    apply_load(slots, find_header(answer.headers, header_names.load), now, context.events)
    if find_header(answer.headers, header_names.leaving) == FLAG_SET:
        context.on_leaving(upstream)
    _apply_rate_limit(context, call, slots, answer)
    backoff_s = read_backoff(answer.status, answer.headers)
    if backoff_s > 0:
        slots.back_off(now, backoff_s)
        context.events.emit(
            Event.UPSTREAM_RESTS, call.text_id, upstream.upstream_id, seconds=backoff_s
        )


def _apply_rate_limit(
    context: RelayContext, call: Call, slots: Slots, answer: UpstreamAnswer
) -> None:
    """Apply the rate limit that an answer states, or its end if the answer states none."""
    header_names = context.header_names
    text = find_header(answer.headers, header_names.rate_limit)
    running = slots.running.get(call.text_id)
    if running is None:
        return
    rate, stated_at = read_rate(text), read_lease_clock()
    if rate is None and not text and find_header(answer.headers, header_names.signature):
        rate, stated_at = math.inf, running.sent_at
    if rate is None:
        return
    if slots.record_rate(RateStatement(rate, stated_at), is_from_peer=False):
        context.events.emit(
            Event.UPSTREAM_LIMITED,
            call.text_id,
            slots.upstream.upstream_id,
            rate=rate,
            source='answer',
        )
