"""Outlier ejection of upstreams, based on the outcomes of calls.

Upstreams can fail or hang while their health check succeeds, so health checks are not used here. An
upstream is ejected after failures and probed with single calls until one is answered.
"""

import attrs

# Consecutive failures that eject an upstream; fewer can be caused by the calls themselves.
FAILURE_LIMIT = 3
MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# Share of recent calls that may fail before an upstream counts as unreliable.
MAX_FAILURE_SHARE = 0.35
EWMA_WEIGHT = 0.12


@attrs.define
class Health:
    """Call outcomes and ejection state of one upstream."""

    failures: int = 0
    failure_share: float = 0
    ejection_s: float = MIN_EJECTION_S
    ejected_until: float = 0
    # A probe is running; its outcome decides whether the upstream is used again.
    is_probing: bool = False

    def record_success(self) -> None:
        """Record a call that was answered; ends an ejection."""
        self.failures = 0
        self.ejection_s = MIN_EJECTION_S
        self.ejected_until = 0
        self.is_probing = False
        self.failure_share -= EWMA_WEIGHT * self.failure_share

    def record_failure(self, now: float, *, is_certain: bool = False) -> None:
        """Record a failed call; `is_certain` (nothing listens there) ejects at once."""
        self.failures += 1
        self.is_probing = False
        self.failure_share += EWMA_WEIGHT * (1 - self.failure_share)
        if is_certain or self.failures >= FAILURE_LIMIT:
            self.ejected_until = now + self.ejection_s
            self.ejection_s = min(2 * self.ejection_s, MAX_EJECTION_S)

    def cancel_probe(self) -> None:
        """Clear the probe flag when a call ends, also if it ends without an outcome."""
        self.is_probing = False

    def accepts_call(self, now: float) -> bool:
        """Return whether a call may be sent now, as a probe if the upstream is ejected."""
        if not self.is_ejected:
            return True
        return now >= self.ejected_until and not self.is_probing

    def record_send(self, now: float) -> None:
        """Record that a call is sent; after the ejection time it is a probe."""
        if self.is_ejected and now >= self.ejected_until:
            self.is_probing = True

    @property
    def is_ejected(self) -> bool:
        """Whether the upstream gets only single probes until one is answered."""
        return self.ejected_until > 0

    @property
    def is_unreliable(self) -> bool:
        """Whether other upstreams of the service should be preferred."""
        return self.failure_share > MAX_FAILURE_SHARE
