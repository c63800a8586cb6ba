"""Quarantine for calls that crash upstreams.

A call may crash every upstream that runs it, because of its whole content or because of one part of
its prompt that it shares with calls that are otherwise different. Such calls may come at any
daemon. After a few crashes they are not sent to further upstreams.

An upstream that crashes takes all of its calls with it, and calls with a crashing part share their
other parts with sound calls. So a part is suspected only if no call with it was answered lately,
and of the explanations of the same crashes the one that matches the fewest calls is taken.
"""

import collections

import attrs

from .crashes import Crash, Pattern

# Upstreams that calls with the same pattern may crash before they are quarantined.
CRASH_LIMIT = 3
# Crashes are counted for this time; a crashed upstream restarts within seconds.
CRASH_RETENTION_S = 60.0
MAX_CRASHES = 1000
# A part of which a call was answered within this time is not suspected.
ANSWER_RETENTION_S = 60.0
MAX_ANSWERED_PARTS = 5000


@attrs.define
class Quarantine:
    """Recent crashes, the patterns of quarantined calls, and the parts that are known as sound."""

    _crashes: dict[Crash, float] = attrs.field(factory=dict)
    # Instant of the last crash by pattern.
    _patterns: dict[Pattern, float] = attrs.field(factory=dict)
    # Instant of the last answer by digest of a part; the oldest first.
    _answered_at: collections.OrderedDict[bytes, float] = attrs.field(
        factory=collections.OrderedDict
    )
    # Crashes seen by this daemon that were not announced to the others yet.
    _unannounced_crashes: list[Crash] = attrs.field(factory=list)
    # Suspected calls and parts that were answered here, not announced to the others yet.
    _unannounced_cleared: list[bytes] = attrs.field(factory=list)

    @property
    def is_empty(self) -> bool:
        """Whether nothing is suspected."""
        return not (self._crashes or self._patterns)

    def record_crash(self, crash: Crash, now: float, *, is_from_peer: bool) -> None:
        """Count a crash; `is_from_peer` if another daemon announced it.

        Connections also break for other reasons, so calls are quarantined only after crashes of
        several upstreams without a success in between.
        """
        self._crashes.pop(crash, None)
        self._crashes[crash] = now
        if len(self._crashes) > MAX_CRASHES:
            self._crashes.pop(next(iter(self._crashes)))
        if not is_from_peer:
            self._unannounced_crashes.append(crash)
        pattern = self._find_pattern(crash.digest, crash.parts)
        if pattern is not None and not pattern.digest:
            self._patterns[pattern] = now
            return
        self._add_patterns(now)

    def record_answer(self, parts: frozenset[bytes], now: float) -> None:
        """Record that an upstream went on answering a call, which clears its prompt parts."""
        for part in parts:
            self._clear_part(part, now, is_from_peer=False)

    def record_success(self, digest: bytes) -> None:
        """Clear a call that was answered completely."""
        self._clear_call(digest, is_from_peer=False)

    def apply_cleared(self, digest: bytes, now: float) -> None:
        """Clear a call or a part, as another daemon announced it."""
        self._clear_call(digest, is_from_peer=True)
        self._clear_part(digest, now, is_from_peer=True)

    def is_quarantined(self, digest: bytes, parts: frozenset[bytes]) -> bool:
        """Return whether a call must not be sent to further upstreams at present."""
        return self._find_pattern(digest, parts) is not None

    @property
    def crash_count(self) -> int:
        """The number of crashes that are remembered."""
        return len(self._crashes)

    def list_patterns(self) -> list[Pattern]:
        """Return the patterns of the quarantined calls."""
        return list(self._patterns)

    def expire(self, now: float) -> None:
        """Remove what is older than its retention time."""
        for crash, crashed_at in list(self._crashes.items()):
            if crashed_at > now - CRASH_RETENTION_S:
                break
            self._crashes.pop(crash)
        for pattern, crashed_at in list(self._patterns.items()):
            if crashed_at <= now - CRASH_RETENTION_S:
                self._patterns.pop(pattern)
        while self._answered_at:
            part, answered_at = next(iter(self._answered_at.items()))
            if (
                answered_at > now - ANSWER_RETENTION_S
                and len(self._answered_at) <= MAX_ANSWERED_PARTS
            ):
                return
            self._answered_at.pop(part)

    def drain_crashes(self) -> list[Crash]:
        """Remove and return the crashes to announce to the other daemons."""
        crashes = self._unannounced_crashes
        self._unannounced_crashes = []
        return crashes

    def drain_cleared(self) -> list[bytes]:
        """Remove and return the digests of calls and parts that are no longer suspected."""
        cleared = self._unannounced_cleared
        self._unannounced_cleared = []
        return cleared

    def _find_pattern(self, digest: bytes, parts: frozenset[bytes]) -> Pattern | None:
        for pattern in self._patterns:
            if pattern.matches(digest, parts):
                return pattern
        return None

    def _list_suspected(self, parts: frozenset[bytes]) -> frozenset[bytes]:
        """Return the parts of which no call was answered lately."""
        return frozenset(part for part in parts if part not in self._answered_at)

    def _add_patterns(self, now: float) -> None:
        """Add the patterns that explain enough of the crashes that no other pattern explains."""
        candidates = self._find_candidates()
        while candidates:
            self._add_pattern(max(candidates, key=_count_conditions), now)
            candidates = self._find_candidates()
        for pattern in list(self._patterns):
            if pattern.digest and self._has_crash_of_another_call(pattern):
                self._add_pattern(Pattern(b'', pattern.parts), now)

    def _has_crash_of_another_call(self, pattern: Pattern) -> bool:
        """Return whether another call with the parts of a pattern of a single call has crashed."""
        return bool(pattern.parts) and any(
            crash.digest != pattern.digest and pattern.parts <= crash.parts
            for crash in self._crashes
        )

    def _find_candidates(self) -> list[Pattern]:
        explained = {
            crash.upstream
            for crash in self._crashes
            if self._find_pattern(crash.digest, crash.parts) is not None
        }
        by_trait: dict[bytes, list[Crash]] = {}
        for crash in self._crashes:
            if crash.upstream in explained:
                continue
            for trait in (crash.digest, *self._list_suspected(crash.parts)):
                by_trait.setdefault(trait, []).append(crash)
        return [
            self._find_common(crashes)
            for crashes in by_trait.values()
            if len({crash.upstream for crash in crashes}) >= CRASH_LIMIT
        ]

    def _find_common(self, crashes: list[Crash]) -> Pattern:
        """Return what the calls of several crashes have in common."""
        digests = {crash.digest for crash in crashes}
        parts = self._list_suspected(frozenset.intersection(*(crash.parts for crash in crashes)))
        return Pattern(digests.pop() if len(digests) == 1 else b'', parts)

    def _add_pattern(self, pattern: Pattern, now: float) -> None:
        """Add a pattern in place of the ones that it covers, unless another one covers it."""
        if any(other.covers(pattern) for other in self._patterns):
            return
        for other in list(self._patterns):
            if pattern.covers(other):
                self._patterns.pop(other)
        self._patterns[pattern] = now

    def _clear_call(self, digest: bytes, *, is_from_peer: bool) -> None:
        crashes = [crash for crash in self._crashes if crash.digest == digest]
        patterns = [pattern for pattern in self._patterns if pattern.digest == digest]
        for crash in crashes:
            self._crashes.pop(crash)
        for pattern in patterns:
            self._patterns.pop(pattern)
        if (crashes or patterns) and not is_from_peer:
            self._unannounced_cleared.append(digest)

    def _clear_part(self, part: bytes, now: float, *, is_from_peer: bool) -> None:
        is_suspected = part not in self._answered_at and self._is_suspected(part)
        self._answered_at.pop(part, None)
        self._answered_at[part] = now
        if not is_suspected:
            return
        for pattern, crashed_at in list(self._patterns.items()):
            if part not in pattern.parts:
                continue
            self._patterns.pop(pattern)
            rest = pattern.parts - {part}
            if rest or pattern.digest:
                self._add_pattern(Pattern(pattern.digest, rest), crashed_at)
        if not is_from_peer:
            self._unannounced_cleared.append(part)

    def _is_suspected(self, part: bytes) -> bool:
        return any(part in crash.parts for crash in self._crashes) or any(
            part in pattern.parts for pattern in self._patterns
        )


def _count_conditions(pattern: Pattern) -> int:
    return len(pattern.parts) + bool(pattern.digest)
