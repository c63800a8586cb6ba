"""The slots of one upstream from the view of one daemon."""

import math
import random
from collections.abc import Collection

import attrs

from ..routing import Upstream
from .engine_memory import EngineMemory, TokenCharge
from .health import Health
from .pace import Pace
from .rate_limits import RateLimit, RateStatement
from .records import Load, WaitingCall
from .speed import Speed

# An upstream counts as unresponsive while a call has no byte of an answer after this many times the
# expected time, and at least UNRESPONSIVE_MIN_S.
UNRESPONSIVE_FACTOR = 4
UNRESPONSIVE_MIN_S = 0.9
# Longer backoffs that an upstream asks for are cut to this time.
MAX_BACKOFF_S = 300.0
# A request that the owner of a rate-limited upstream lent has to be sent within this time. Those
# that are kept for longer could be sent beside the ones of the following seconds.
LENT_REQUEST_TTL_S = 1.0
# Calls beyond the slots of an upstream, of all daemons together, at which no further one is sent.
MAX_EXTRA_CALLS = 2
# Prompt tokens that an output token counts for in the work in progress, as in `queue.py`.
OUTPUT_TOKEN_WEIGHT = 10


@attrs.define
class RunningCall:
    """A call that runs at an upstream; instants are on the lease clock."""

    sent_at: float
    # From this instant without a byte of an answer, the upstream counts as unresponsive.
    first_byte_timeout_at: float
    rank: tuple[int, int]
    # A longer gap between events of its stream makes its answer late.
    max_event_gap_s: float
    # Prompt tokens to prefill before its first byte, including those of calls before it.
    prefill_tokens: float
    prompt_tokens: float
    output_tokens: float
    # Expected pace of the upstream when the call was sent.
    pace_at_send: float
    # Its tokens in the memory of the upstream.
    charge: TokenCharge = attrs.field(factory=TokenCharge)
    # It was sent without a free slot, and may wait inside the upstream.
    is_extra: bool = False
    has_first_byte: bool = False


@attrs.define
class Slots:
    """The calls of this daemon at one upstream, and what it knows of other daemons' calls there."""

    upstream: Upstream
    is_owner: bool = False
    # Name of the daemon that owns the upstream.
    owner: str = ''
    # Running calls of other daemons, by incarnation of the daemon.
    peer_in_flight: dict[str, int] = attrs.field(factory=dict)
    # For borrowers: slots that the owner lends, minus the calls that were sent since its report.
    lent: int = 0
    # After this instant the owner may have lent them to another daemon.
    lent_until: float = math.inf
    # For borrowers: whether the lent slots are open to other daemons as well.
    is_lent_to_all: bool = False
    # For borrowers: whether one call may be sent beyond the lent slots, up to `lent_until`.
    may_exceed: bool = False
    running: dict[str, RunningCall] = attrs.field(factory=dict)
    health: Health = attrs.field(factory=Health)
    speed: Speed = attrs.field(factory=Speed)
    pace: Pace = attrs.field(factory=Pace)
    memory: EngineMemory = attrs.field(factory=EngineMemory)
    # Calls that the upstream reported beyond those of this daemon; valid until `unaccounted_until`.
    unaccounted_calls: int = 0
    unaccounted_until: float = 0
    # The upstream asked this daemon to send no calls before this instant.
    backoff_until: float = -math.inf
    rate_limit: RateLimit = attrs.field(factory=RateLimit)

    @property
    def burst(self) -> int:
        """The most calls that this daemon may send to an idle upstream at once."""
        if not self.rate_limit.is_limited:
            return self.upstream.slots
        return min(self.upstream.slots, math.floor(self.rate_limit.burst))

    def count_free(self, now: float) -> int:
        """Return the number of calls that this daemon may send now; negative if overused."""
        if not self.is_owner:
            return self.lent if now <= self.lent_until else 0
        free = self.count_free_slots(now)
        if self.rate_limit.is_limited:
            return min(free, self.rate_limit.count_tokens(now))
        return free

    def count_free_slots(self, now: float) -> int:
        """Return the number of unused slots of an owned upstream; negative if overused."""
        peer_in_flight = sum(self.peer_in_flight.values())
        if now < self.unaccounted_until:
            peer_in_flight = max(peer_in_flight, self.unaccounted_calls)
        return self.upstream.slots - len(self.running) - peer_in_flight

    def is_usable(self, now: float, *, ignores_health: bool) -> bool:
        """Return whether a call may be sent now."""
        return self.count_free(now) > 0 and self._accepts_call(now, ignores_health=ignores_health)

    def could_run(self, call: WaitingCall) -> bool:
        """Return whether a call may be sent to the upstream while it has no other calls."""
        return call.may_run_at(self.upstream) and self.memory.could_hold(call)

    def accepts(self, call: WaitingCall) -> bool:
        """Return whether a call may be sent beside the running ones, if a slot is free."""
        if not call.may_run_at(self.upstream):
            return False
        return self.memory.has_room(call)

    def accepts_extra(self, now: float, *, ignores_health: bool) -> bool:
        """Return whether a call may be sent now to an upstream of which no slot is lent.

        Only one such call of each daemon runs there, and the owner leaves the next free slot to it.
        """
        if not self.may_exceed or now > self.lent_until:
            return False
        if self.count_free(now) > 0 or self.rate_limit.is_limited:
            return False
        if any(call.is_extra for call in self.running.values()):
            return False
        if self.count_free_slots(now) <= -MAX_EXTRA_CALLS:
            return False
        return self._accepts_call(now, ignores_health=ignores_health)

    def is_available_at(self, now: float, *, starts_at: float) -> bool:
        """Return whether a waiting call may count on a slot at the instant `starts_at`."""
        if self.is_unresponsive(now) or starts_at < self.backoff_until:
            return False
        if self.rate_limit.is_limited and not self.rate_limit.expects_token(starts_at):
            return False
        return self.health.accepts_call(now)

    def may_lend(self, now: float) -> bool:
        """Return whether the owner may lend the upstream to other daemons now."""
        if self.upstream.is_leaving or now < self.backoff_until:
            return False
        return self.health.accepts_call(now)

    def record_load(self, total: int, now: float, ttl_s: float) -> None:
        """Use the upstream's count of running and waiting calls for the next `ttl_s` seconds."""
        self.unaccounted_calls = max(total - len(self.running), 0)
        self.unaccounted_until = now + ttl_s

    def back_off(self, now: float, seconds: float) -> None:
        """Send no calls for as many seconds as the upstream asked for, up to MAX_BACKOFF_S."""
        self.backoff_until = max(self.backoff_until, now + min(seconds, MAX_BACKOFF_S))

    def is_unresponsive(self, now: float) -> bool:
        """Return whether a call has waited too long for its first byte."""
        return any(
            not call.has_first_byte and now > call.first_byte_timeout_at
            for call in self.running.values()
        )

    def count_pending_prompt_tokens(self) -> float:
        """Return the prompt tokens of the calls that wait for their first byte."""
        return sum(call.prompt_tokens for call in self.running.values() if not call.has_first_byte)

    def estimate_first_byte(self, prompt_tokens: float, at: float) -> float:
        """Return the expected seconds from a send at the instant `at` to the first byte."""
        return self.speed.estimate_first_byte(prompt_tokens) * self.pace.estimate(at)

    def record_first_byte(self, running: RunningCall, now: float) -> None:
        """Add the time to the first byte of a call to the speed, as if at the usual pace."""
        self.memory.confirm(running.charge)
        pace = (running.pace_at_send + self.pace.estimate(now)) / 2
        self.speed.record_first_byte((now - running.sent_at) / pace, running.prefill_tokens)

    def record_answer(self, seconds: float, tokens: float, now: float) -> None:
        """Add the time from the first byte to the end of an answer, as if at the usual pace.

        Answers last longer than a pace, so the average of the paces counts.
        """
        self.speed.record_answer(seconds / self.pace.estimate_average(now), tokens)

    def count_work(self, call: WaitingCall) -> float:
        """Return the work in progress: prompt and output tokens of the running calls.

        Calls of other daemons are known by number only, and count like `call`. A call without
        tokens counts as one.
        """
        own = sum(
            max(running.prompt_tokens + OUTPUT_TOKEN_WEIGHT * running.output_tokens, 1)
            for running in self.running.values()
        )
        size = max(call.prompt_tokens + OUTPUT_TOKEN_WEIGHT * call.output_tokens, 1)
        return own + sum(self.peer_in_flight.values()) * size

    def estimate_occupancy(self, call: WaitingCall, held_s: float, now: float) -> float:
        """Return the seconds of the whole upstream that a call took.

        The call held one of the slots, and the prefill of its prompt stalled all of them.
        """
        stall_s = self.speed.estimate_stall(call.prompt_tokens) * self.pace.estimate_average(now)
        return held_s / self.upstream.slots + stall_s

    def occupy(self, call: WaitingCall, now: float) -> None:
        """Occupy a slot with a call that is sent now; without a free slot it is an extra one."""
        is_extra = not self.is_owner and self.count_free(now) <= 0
        # An extra call may wait inside the upstream as long as it would wait here.
        queued_until = max(call.wait_until, now) if is_extra else now
        prefill_tokens = self.count_pending_prompt_tokens() + call.prompt_tokens
        expected_s = self.estimate_first_byte(prefill_tokens, now)
        self.running[call.call_id] = RunningCall(
            sent_at=now,
            first_byte_timeout_at=queued_until
            + max(UNRESPONSIVE_MIN_S, UNRESPONSIVE_FACTOR * expected_s),
            rank=call.rank,
            max_event_gap_s=call.max_event_gap_s,
            prefill_tokens=prefill_tokens,
            prompt_tokens=call.prompt_tokens,
            output_tokens=call.output_tokens,
            pace_at_send=self.pace.estimate(now),
            charge=self.memory.take(call),
            is_extra=is_extra,
        )
        self.health.record_send(now)
        if is_extra:
            return
        if not self.is_owner:
            self.lent -= 1
        elif self.rate_limit.is_limited:
            self.rate_limit.take_token(now)

    def release(self, call_id: str) -> RunningCall | None:
        """Free the slot of a call and return it; None if it holds none."""
        running = self.running.pop(call_id, None)
        if running is not None:
            self.memory.release(running.charge)
        if running is None or running.is_extra or self.is_owner:
            return running
        # With a rate limit a borrowed slot is for one call.
        if not self.rate_limit.is_limited:
            self.lent += 1
        return running

    def record_rate(self, statement: RateStatement, *, is_from_peer: bool) -> bool:
        """Apply a statement on the rate of the upstream; return whether the rate changed."""
        was_limited = self.rate_limit.is_limited
        is_changed = self.rate_limit.record(statement, is_from_peer=is_from_peer)
        if self.rate_limit.is_limited and not was_limited:
            # They were lent before the owner knew of the limit.
            self.lent = 0
        return is_changed

    def report_use(self) -> Load:
        """Return the load report of a daemon that does not own the upstream."""
        return Load(
            len(self.running),
            rate_statement=self.rate_limit.statement,
            held_tokens=self.memory.held_tokens if self.memory.total_tokens else 0,
            memory_tokens=self.memory.reported_tokens,
        )

    def report_owned(
        self, lent: int, borrower: str, lent_requests: dict[str, int], *, peers: Collection[str]
    ) -> Load:
        """Return the load report of the owner, with the slots or requests that it lends.

        `peers` are the other daemons that could use them.
        """
        self.memory.lend(is_lent=bool(lent or lent_requests) and bool(peers))
        return Load(
            len(self.running),
            lent,
            borrower,
            self.speed.factor,
            self.rate_limit.statement,
            lent_requests,
            self.pace.last,
            self.memory.held_tokens if self.memory.total_tokens else 0,
            self.memory.reported_tokens or self.memory.heard_tokens,
        )

    def apply_peer(self, incarnation: str, load: Load) -> None:
        """Apply the running calls that another daemon reports."""
        self.peer_in_flight[incarnation] = load.in_flight
        self.memory.set_peer(incarnation, load.held_tokens)
        if load.memory_tokens:
            self.memory.heard_tokens = load.memory_tokens

    def drop_peer(self, incarnation: str) -> None:
        """Drop the running calls of another daemon."""
        self.peer_in_flight.pop(incarnation, None)
        self.memory.set_peer(incarnation, 0)

    def assign(self, owner: str, *, is_owner: bool) -> None:
        """Set the owner; a new one does not know what was sent to the upstream before."""
        if is_owner and not self.is_owner:
            self.rate_limit.discard_tokens()
        if owner != self.owner:
            self.may_exceed = False
            # Until the first report of the new owner or of this one.
            self.memory.lend(is_lent=False)
        self.owner = owner
        self.is_owner = is_owner

    def borrow(
        self,
        load: Load,
        name: str,
        now: float,
        lent_until: float,
        *,
        is_active: bool,
        borrower_count: int,
    ) -> None:
        """Apply what the owner measured, and what it lends to the daemon `name`.

        The daemon may use that up to the instant `lent_until`.
        There are `borrower_count` active daemons beside the owner.
        """
        self.speed.factor = load.factor or self.speed.factor
        if load.pace is not None:
            self.pace.record(load.pace)
        # Lent requests stay valid when the next ones are lent to other daemons, or none are.
        keeps_requests = self.rate_limit.is_limited and self.lent > 0 and now <= self.lent_until
        if load.lent or load.lent_requests or not keeps_requests:
            self.memory.borrow(is_lent=bool(load.lent or load.lent_requests))
        if load.rate_statement is None:
            # The owner sends to the upstream, so it would know of a limit that still holds.
            self.rate_limit.expire(now)
        if self.rate_limit.is_limited:
            self._borrow_requests(load, name, now, lent_until)
            return
        # A daemon that is not active has few calls and reports too seldom to be chosen as borrower,
        # so it may use slots that are lent to another daemon.
        may_borrow = not is_active or load.borrower in {'', name}
        self.lent = load.lent if may_borrow else 0
        self.lent_until = lent_until
        self.is_lent_to_all = load.lent > 0 and load.borrower != name
        # Borrowers learn of each other's calls only by heartbeat, so a few may exceed at a time.
        self.may_exceed = random.random() * borrower_count < MAX_EXTRA_CALLS

    def _accepts_call(self, now: float, *, ignores_health: bool) -> bool:
        if self.is_unresponsive(now) or now < self.backoff_until:
            return False
        return ignores_health or self.health.accepts_call(now)

    def _borrow_requests(self, load: Load, name: str, now: float, lent_until: float) -> None:
        # An owner that does not know of the limit yet lends slots instead.
        lent = load.lent_requests.get(name, 0)
        if not lent:
            return
        # What was lent before remains when the next requests are lent to other daemons.
        left = self.lent if now <= self.lent_until else 0
        self.lent = max(left, lent)
        self.lent_until = min(lent_until, now + LENT_REQUEST_TTL_S)
