"""The slots of one upstream as one daemon sees them."""

import math

import attrs

from ..routing import Upstream
from .health import Health
from .records import WaitingCall
from .speed import Speed

# A send that has no byte of an answer for this many times the expected time, and at least
# SILENCE_MIN_S, makes the upstream suspect until it answers.
SILENCE_FACTOR = 4
SILENCE_MIN_S = 0.9
# A pause that an upstream asks for is honoured up to this time, in seconds.
MAX_REST_S = 300.0


@attrs.define
class Running:
    """A call at an upstream; instants on the lease clock."""

    sent_at: float
    # When the first byte was due.
    first_due: float
    rank: tuple[int, int]
    # A longer pause of its stream makes its answer late; in seconds.
    pause_s: float
    # Prompt tokens to read before its first byte, those of the calls before it included.
    tokens_before: float
    prompt_tokens: float
    has_answered: bool = False


@attrs.define
class Slots:
    """The calls of this daemon at an upstream, and what it knows of the others."""

    upstream: Upstream
    is_owner: bool = False
    # The name of the daemon that owns it.
    owner: str = ''
    # Calls of other daemons, by incarnation of the daemon.
    foreign: dict[str, int] = attrs.field(factory=dict)
    # For borrowers: slots that the owner reported free, less what was sent since.
    lent: int = 0
    # After this instant the owner may have given them to another daemon.
    lent_until: float = math.inf
    running: dict[str, Running] = attrs.field(factory=dict)
    health: Health = attrs.field(factory=Health)
    speed: Speed = attrs.field(factory=Speed)
    # Calls that the upstream reported beyond those known here, until `hidden_until`.
    hidden: int = 0
    hidden_until: float = 0
    # The upstream asked for no calls of this daemon until then.
    rests_until: float = -math.inf

    def count_free(self, now: float) -> int:
        """Return the slots that this daemon may still use."""
        if not self.is_owner:
            return self.lent if now <= self.lent_until else 0
        foreign = sum(self.foreign.values())
        if now < self.hidden_until:
            foreign = max(foreign, self.hidden)
        return self.upstream.slots - len(self.running) - foreign

    def is_usable(self, now: float, *, ignores_health: bool) -> bool:
        """Return whether a call may be sent now."""
        if self.count_free(now) <= 0 or self.is_silent(now) or now < self.rests_until:
            return False
        return ignores_health or self.health.allows(now)

    def is_trusted(self, now: float, *, starts_at: float) -> bool:
        """Return whether a call that waits may count on a slot at an instant."""
        if self.is_silent(now) or starts_at < self.rests_until:
            return False
        return self.health.allows(now)

    def note_load(self, total: int, now: float, hold_s: float) -> None:
        """Take in the number of running and waiting calls that the upstream stated."""
        self.hidden = max(total - len(self.running), 0)
        self.hidden_until = now + hold_s

    def rest(self, now: float, seconds: float) -> None:
        """Send nothing for so many seconds, as the upstream asked."""
        self.rests_until = max(self.rests_until, now + min(seconds, MAX_REST_S))

    def is_silent(self, now: float) -> bool:
        """Return whether a call waits for its first byte for suspiciously long."""
        return any(not call.has_answered and now > call.first_due for call in self.running.values())

    def count_unread(self) -> float:
        """Return the prompt tokens of the calls that wait for their first byte."""
        return sum(call.prompt_tokens for call in self.running.values() if not call.has_answered)

    def estimate_share(self, call: WaitingCall, held_s: float) -> float:
        """Return the seconds of the whole upstream that a call took.

        It held one of the slots, and reading its prompt kept all of them waiting.
        """
        return held_s / self.upstream.slots + self.speed.estimate_stall(call.prompt_tokens)

    def send(self, call: WaitingCall, now: float) -> None:
        """Occupy a slot."""
        tokens_before = self.count_unread() + call.prompt_tokens
        expected = self.speed.estimate_first(tokens_before)
        self.running[call.call_id] = Running(
            sent_at=now,
            first_due=now + max(SILENCE_MIN_S, SILENCE_FACTOR * expected),
            rank=call.rank,
            pause_s=call.pause_s,
            tokens_before=tokens_before,
            prompt_tokens=call.prompt_tokens,
        )
        self.health.note_send(now)
        if not self.is_owner:
            self.lent -= 1
