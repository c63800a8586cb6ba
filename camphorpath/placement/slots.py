"""The slots of one upstream as one daemon sees them."""

import attrs

from ..routing import Upstream
from .health import Health
from .speed import Speed

# A send that has no byte of an answer for this many times the expected time, and at least
# SILENCE_MIN_S, makes the upstream suspect until it answers.
SILENCE_FACTOR = 4
SILENCE_MIN_S = 0.9


@attrs.define
class Running:
    """A call at an upstream."""

    sent_at: float
    # When the first byte was due.
    first_due: float
    has_answered: bool = False


@attrs.define
class Slots:
    """The calls of this daemon at an upstream, and what it knows of the others."""

    upstream: Upstream
    is_owner: bool = False
    # Calls of other daemons, by incarnation of the daemon.
    foreign: dict[str, int] = attrs.field(factory=dict)
    # For borrowers: slots that the owner reported free, less what was sent since.
    lent: int = 0
    running: dict[str, Running] = attrs.field(factory=dict)
    health: Health = attrs.field(factory=Health)
    speed: Speed = attrs.field(factory=Speed)
    # Calls that the upstream reported beyond those known here, until `hidden_until`.
    hidden: int = 0
    hidden_until: float = 0

    def count_free(self, now: float) -> int:
        """Return the slots that this daemon may still use."""
        if not self.is_owner:
            return self.lent
        foreign = sum(self.foreign.values())
        if now < self.hidden_until:
            foreign = max(foreign, self.hidden)
        return self.upstream.slots - len(self.running) - foreign

    def is_usable(self, now: float, *, ignores_health: bool) -> bool:
        """Return whether a call may be sent now."""
        if self.count_free(now) <= 0 or self.is_silent(now):
            return False
        return ignores_health or self.health.allows(now)

    def note_load(self, total: int, now: float, hold_s: float) -> None:
        """Take in the number of running and waiting calls that the upstream stated."""
        self.hidden = max(total - len(self.running), 0)
        self.hidden_until = now + hold_s

    def is_silent(self, now: float) -> bool:
        """Return whether a call waits for its first byte for suspiciously long."""
        return any(not call.has_answered and now > call.first_due for call in self.running.values())

    def send(self, call_id: str, prompt_tokens: float, now: float) -> None:
        """Occupy a slot."""
        expected = self.speed.estimate(prompt_tokens, 1)
        due = now + max(SILENCE_MIN_S, SILENCE_FACTOR * expected)
        self.running[call_id] = Running(now, due)
        self.health.note_send(now)
        if not self.is_owner:
            self.lent -= 1
