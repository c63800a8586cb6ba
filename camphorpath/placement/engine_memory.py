"""Tokens in the memory of one engine, and whether a call fits there.

Answers long prompts that meet at an engine: when the memory runs out, the engine preempts its
newest request in the middle of its stream and reads it again from the start. Engines of which the
memory is not known take any call.
"""

import itertools
import math
from collections.abc import Iterator, Sequence

import attrs

from .records import WaitingCall

# While the owner lends slots, it uses at most this part of the free memory until its next report,
# and a borrower the rest: neither knows of the calls that the other one sends in between.
OWNER_SHARE = 0.5
PART_SEPARATOR = b'\0'


@attrs.define(eq=False)
class TokenCharge:
    """The tokens of one call at an engine."""

    # Without those of `parts`.
    own: float = 0
    parts: tuple[tuple[bytes, float], ...] = ()


@attrs.define(eq=False)
class _Part:
    """A part of prompts of running calls, with all parts before it."""

    tokens: float
    calls: int = 0
    # How often its tokens count: several calls may compute it at the same time.
    copies: int = 0
    # Whether a call with it has had its first byte.
    is_present: bool = False


@attrs.define(eq=False)
class EngineMemory:
    """What this daemon knows of the memory of one engine; in tokens."""

    # As the manifest states for the service; 0 if it does not.
    configured_tokens: float = 0
    # As the engine reported to this daemon; 0 if unknown.
    reported_tokens: float = 0
    # As another daemon stated last. It may be that of an earlier incarnation of the engine.
    heard_tokens: float = 0
    # Tokens of the calls of this daemon.
    held_tokens: float = 0
    # Tokens of the calls of all other daemons.
    peer_tokens: float = 0
    # Tokens of a call that was not sent here lately as it did not fit; 0 if there is none.
    blocked_tokens: float = 0
    # What may be added until the next report; see `lend` and `borrow`.
    _budget: float = math.inf
    _by_peer: dict[str, float] = attrs.field(factory=dict)
    _parts: dict[bytes, _Part] = attrs.field(factory=dict)

    @property
    def total_tokens(self) -> float:
        """The memory of the engine; 0 if it is not known."""
        return self.configured_tokens or self.reported_tokens or self.heard_tokens

    def could_hold(self, call: WaitingCall) -> bool:
        """Return whether the engine can run a call without any other."""
        total = self.total_tokens
        return not total or call.max_tokens <= total

    def has_room(self, call: WaitingCall) -> bool:
        """Return whether a call fits beside the calls that are known to be there.

        The rest of a begun stream may be sent without a lent slot, so it need not be lent memory.
        """
        total = self.total_tokens
        if not (total and call.max_tokens):
            return True
        free = total - self.held_tokens - self.peer_tokens
        if not call.is_bound:
            free = min(free, self._budget)
        if call.max_tokens <= free or call.max_tokens - self._count_present(call) <= free:
            return True
        self.blocked_tokens = call.max_tokens
        return False

    def awaits_report(self, call: WaitingCall) -> bool:
        """Return whether a new call does not fit only because of what is lent until a report."""
        needed = call.max_tokens - self._count_present(call)
        free = self.total_tokens - self.held_tokens - self.peer_tokens
        return not call.is_bound and self._budget < needed <= free

    def lend(self, *, is_lent: bool) -> None:
        """Limit what the owner uses until its next report, if it lends slots in this one."""
        self._budget = self._count_free() * OWNER_SHARE if is_lent else math.inf

    def borrow(self, *, is_lent: bool) -> None:
        """Limit what a borrower uses until the next report of the owner.

        Without lent slots, it may replace its own calls that end.
        """
        self._budget = self._count_free() * (1 - OWNER_SHARE) if is_lent else 0

    def take(self, call: WaitingCall) -> TokenCharge:
        """Count a call that is sent to the engine."""
        charge = TokenCharge(
            max(call.max_tokens - sum(tokens for _name, tokens in call.prompt_parts), 0),
            tuple(_list_prefixes(call.prompt_parts)),
        )
        self._hold(charge.own)
        for key, tokens in charge.parts:
            part = self._parts.setdefault(key, _Part(tokens))
            part.calls += 1
            if part.is_present:
                continue
            part.copies += 1
            self._hold(part.tokens)
        return charge

    def confirm(self, charge: TokenCharge) -> None:
        """Record that the parts of the prompt of a call are at the engine."""
        for key, _tokens in charge.parts:
            part = self._parts.get(key)
            if part is not None:
                part.is_present = True

    def release(self, charge: TokenCharge) -> None:
        """Drop a call that has ended."""
        self._hold(-charge.own)
        for key, _tokens in charge.parts:
            part = self._parts[key]
            part.calls -= 1
            # A part stays as long as one call uses it, whichever was counted for it.
            dropped = max(part.copies - part.calls, 0)
            part.copies -= dropped
            self._hold(-dropped * part.tokens)
            if not part.calls:
                self._parts.pop(key)
        if not self._parts and self.held_tokens < 1:
            # Sums of fractions leave a rest.
            self.held_tokens = 0

    def set_peer(self, incarnation: str, tokens: float) -> None:
        """Replace the tokens of the calls of another daemon."""
        known = self._by_peer.pop(incarnation, 0)
        if tokens:
            self._by_peer[incarnation] = tokens
        self.peer_tokens = max(self.peer_tokens + tokens - known, 0) if self._by_peer else 0

    def _count_free(self) -> float:
        total = self.total_tokens or math.inf
        return max(total - self.held_tokens - self.peer_tokens, 0)

    def _hold(self, tokens: float) -> None:
        self.held_tokens += tokens
        self._budget -= tokens

    def _count_present(self, call: WaitingCall) -> float:
        """Return the tokens of the first parts of a prompt that are at the engine."""
        present: float = 0
        for key, _tokens in _list_prefixes(call.prompt_parts):
            part = self._parts.get(key)
            if part is None or not part.is_present:
                break
            present += part.tokens
        return present


def _list_prefixes(parts: Sequence[tuple[bytes, float]]) -> Iterator[tuple[bytes, float]]:
    """Return the tokens of each part by its id and those of all parts before it.

    An engine shares a part only between prompts that begin alike.
    """
    names = (name for name, _tokens in parts)
    keys = itertools.accumulate(names, lambda first, name: first + PART_SEPARATOR + name)
    for key, (_name, tokens) in zip(keys, parts, strict=True):
        yield key, tokens
