"""Whether an upstream should get calls, from the outcomes that its callers saw.

Answers upstreams that fail or hang while their health check is good: a good health answer counts
for nothing here. An upstream is set aside after failures and comes back by single calls.
"""

import attrs

# Failures in a row that set an upstream aside; fewer can be faults of the calls.
FAILURE_LIMIT = 3
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
# Share of recent calls that may fail before an upstream counts as unreliable.
FAILURE_SHARE = 0.35
EWMA_WEIGHT = 0.12


@attrs.define
class Health:
    """Outcomes of one upstream."""

    failures: int = 0
    failure_share: float = 0
    pause_s: float = FIRST_PAUSE_S
    paused_until: float = 0
    # A call is on its way that decides whether the upstream is used again.
    is_probing: bool = False

    def succeed(self) -> None:
        """Take in a call that was answered."""
        self.failures = 0
        self.pause_s = FIRST_PAUSE_S
        self.paused_until = 0
        self.is_probing = False
        self.failure_share -= EWMA_WEIGHT * self.failure_share

    def fail(self, now: float, *, is_certain: bool = False) -> None:
        """Take in a call that failed; `is_certain`: nothing listens there."""
        self.failures += 1
        self.is_probing = False
        self.failure_share += EWMA_WEIGHT * (1 - self.failure_share)
        if is_certain or self.failures >= FAILURE_LIMIT:
            self.paused_until = now + self.pause_s
            self.pause_s = min(2 * self.pause_s, MAX_PAUSE_S)

    def abandon(self) -> None:
        """Take note that a call ended without telling anything."""
        self.is_probing = False

    def allows(self, now: float) -> bool:
        """Return whether a call may be sent."""
        if not self.is_set_aside:
            return True
        return now >= self.paused_until and not self.is_probing

    def note_send(self, now: float) -> None:
        """Take note of a send; after a pause it is the probe."""
        if self.is_set_aside and now >= self.paused_until:
            self.is_probing = True

    @property
    def is_set_aside(self) -> bool:
        """Whether it gets single calls only until one of them is answered."""
        return self.paused_until > 0

    @property
    def is_unreliable(self) -> bool:
        """Whether peers of the same service should be preferred."""
        return self.failure_share > FAILURE_SHARE
