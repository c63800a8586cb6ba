"""Counts a request and its answer as evidence on the software version of its upstream."""

import attrs

from ..errors import (
    AnswerTooLarge,
    EndUnclear,
    HeadTimeout,
    NotExecuted,
    NotSent,
    ProcessUnconfirmed,
    UpstreamError,
)
from ..placement.slots import RunningCall
from ..placement.speed import estimate_default_first_byte
from ..rollouts.registry import Rollouts
from ..routing import Upstream

# They do not show that the upstream failed: it refused the call in time, is leaving, or is slow, or
# this daemon had no memory for the answer.
NO_FAULTS = (
    AnswerTooLarge,
    EndUnclear,
    HeadTimeout,
    NotExecuted,
    NotSent,
    ProcessUnconfirmed,
)
# An attempt that ends without a byte of an answer took at least so many times the default; if it
# ended sooner, its latency is not known.
MIN_UNANSWERED_RATIO = 4.0


@attrs.define
class AnswerCount:
    """The evidence of one request that was sent; instants are on the lease clock."""

    rollouts: Rollouts
    upstream: Upstream
    # Name of the route.
    route: str
    # None if the slot of the call is gone.
    running: RunningCall | None
    _is_counted: bool = False
    _is_bad: bool = False

    def record_head(self, now: float, *, is_failure: bool) -> None:
        """Count the head of an answer; the answer may still break."""
        if not self._is_counted:
            self._record(None if is_failure else self._get_latency_ratio(now), is_bad=is_failure)

    def record_failure(self, error: UpstreamError) -> None:
        """Count an answer that is broken or did not arrive; an answer is bad once at most."""
        if self._is_bad or isinstance(error, NO_FAULTS):
            return
        if self._is_counted:
            self._is_bad = True
            self.rollouts.record_break(self.upstream, self.route)
            return
        self._record(None, is_bad=True)

    def end(self, now: float) -> None:
        """Count the latency of an answer that was given up before its first byte."""
        ratio = self._get_latency_ratio(now)
        if not self._is_counted and ratio is not None and ratio >= MIN_UNANSWERED_RATIO:
            self._record(ratio, is_bad=False)

    def _record(self, latency_ratio: float | None, *, is_bad: bool) -> None:
        self._is_counted = True
        self._is_bad = is_bad
        self.rollouts.record_answer(self.upstream, self.route, is_bad, latency_ratio)

    def _get_latency_ratio(self, now: float) -> float | None:
        """Return the time since the send relative to the default; None if it tells nothing."""
        running = self.running
        if running is None or running.is_extra:
            # An extra call may have waited inside the upstream.
            return None
        return (now - running.sent_at) / estimate_default_first_byte(running.prefill_tokens)
