"""Quarantine for calls that crash upstreams.

A call may crash every upstream that runs it, because of its whole content or because of one part of
its prompt that it shares with calls that are otherwise different. Such calls may come at any
daemon. After a few crashes they are not sent to further upstreams, but for single ones that show
whether they still crash upstreams.

An upstream that crashes takes all of its calls with it, and calls with a crashing part share their
other parts with sound calls. So a part is suspected only if no call with it was answered lately,
and of the explanations of the same crashes the one that matches the fewest calls is taken.

A part may crash upstreams at any moment of an answer, so only a complete answer shows that the
parts of its call are sound. An answer in progress shows it of crashes that came earlier in theirs.
"""

import collections
import contextlib
import math
from collections.abc import Iterator

import attrs

from .crashes import AnswerProgress, Crash, Pattern, QuarantinedPattern

# Upstreams that calls with the same pattern may crash before they are quarantined.
CRASH_LIMIT = 3
# Crashes are counted for this time; a crashed upstream restarts within seconds.
CRASH_RETENTION_S = 60.0
MAX_CRASHES = 1000
# Digests of calls and parts of all crashes together.
MAX_CRASH_TRAITS = 9000
# Suspected parts of a crash; callers choose the number of parts of a prompt.
MAX_CRASH_PARTS = 256
# Parts of a pattern; bounds its heartbeats and its row. Fewer parts match more calls.
MAX_PATTERN_PARTS = 48
# A pattern is kept for this time after the last crash.
PATTERN_RETENTION_S = 1800.0
# Time from the last crash to a call that is sent as a probe; it doubles with each failed probe.
PROBE_INTERVAL_S = 30.0
MAX_PROBE_DOUBLINGS = 6
# After this time without an outcome another call may be sent as a probe.
PROBE_TIMEOUT_S = 15.0
# Patterns that daemons pass on to each other, the latest ones; bounds the size of heartbeats.
MAX_SHARED_PATTERNS = 16
# A part of which a call was answered within this time is not suspected.
ANSWER_RETENTION_S = 60.0
MAX_ANSWERED_PARTS = 20000


@attrs.define
class _Hold:
    """Since when calls with a pattern are held back."""

    crashed_at: float
    failed_probes: int = 0
    probed_at: float = -math.inf
    # Read from the metadata store, which does not tell when the last crash was.
    is_from_store: bool = False

    def may_probe(self, now: float) -> bool:
        """Return whether a call may be sent as a probe."""
        doublings = min(self.failed_probes, MAX_PROBE_DOUBLINGS)
        probe_at = self.crashed_at + PROBE_INTERVAL_S * 2**doublings
        return now >= max(probe_at, self.probed_at + PROBE_TIMEOUT_S)


@attrs.frozen
class PatternChange:
    """A pattern that was added or removed because of what this daemon saw itself."""

    pattern: Pattern
    is_added: bool


@attrs.define
class Quarantine:
    """Recent crashes, the patterns of quarantined calls, and the parts that are known as sound."""

    # Instants of the crashes, the latest one last.
    _crashes: dict[Crash, float] = attrs.field(factory=dict)
    # The crashes by digest of their call and of each part; dicts as ordered sets.
    _crashes_by_trait: dict[bytes, dict[Crash, None]] = attrs.field(factory=dict)
    # The number of traits of all crashes.
    _trait_count: int = 0
    # The pattern with the last crash is the last one.
    _patterns: dict[Pattern, _Hold] = attrs.field(factory=dict)
    # Instant of the last answer by digest of a part, or of a call that was suspected; the oldest
    # first.
    _answered_at: collections.OrderedDict[bytes, float] = attrs.field(
        factory=collections.OrderedDict
    )
    # Answers that upstreams are writing to calls of this daemon.
    _answers: set[AnswerProgress] = attrs.field(factory=set)
    # Crashes seen by this daemon that were not announced to the others yet.
    _unannounced_crashes: list[Crash] = attrs.field(factory=list)
    # Suspected calls and parts that were answered here, not announced to the others yet; a dict as
    # an ordered set.
    _unannounced_cleared: dict[bytes, None] = attrs.field(factory=dict)
    _changes: list[PatternChange] = attrs.field(factory=list)
    # Upstreams with a crash that a pattern explains; None if it has to be determined anew.
    _explained: set[str] | None = None
    # Patterns that were added since the start.
    added_count: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether nothing is suspected."""
        return not (self._crashes or self._patterns)

    def record_crash(
        self, crash: Crash, now: float, *, is_from_peer: bool, is_probe: bool = False
    ) -> None:
        """Count a crash; `is_from_peer` if another daemon announced it.

        Connections also break for other reasons, so calls are quarantined only after crashes of
        several upstreams without a success in between.
        """
        pattern = self._find_pattern(crash.digest, crash.parts)
        crash = attrs.evolve(crash, parts=self._select_parts(crash.parts, MAX_CRASH_PARTS))
        self._forget_crash(crash)
        self._crashes[crash] = now
        for trait in crash.traits:
            self._crashes_by_trait.setdefault(trait, {})[crash] = None
        self._trait_count += len(crash.traits)
        self._answered_at.pop(crash.digest, None)
        while len(self._crashes) > MAX_CRASHES or self._trait_count > MAX_CRASH_TRAITS:
            self._forget_crash(next(iter(self._crashes)))
        if not is_from_peer:
            self._unannounced_crashes.append(crash)
        if pattern is not None:
            hold = self._patterns.pop(pattern)
            self._patterns[pattern] = hold
            hold.crashed_at = now
            hold.is_from_store = False
            hold.failed_probes += is_probe
            self._list_explained().add(crash.upstream)
        if pattern is None or pattern.digest:
            self._add_patterns(crash, now, is_from_peer=is_from_peer)

    @contextlib.contextmanager
    def track_answer(self, answer: AnswerProgress) -> Iterator[None]:
        """Take an answer in progress as evidence for the prompt parts of its call meanwhile."""
        self._answers.add(answer)
        try:
            yield
        finally:
            self._answers.discard(answer)

    def record_answer(self, parts: frozenset[bytes], now: float) -> None:
        """Record that a call was answered completely, which clears its prompt parts."""
        for part in parts:
            self._clear_part(part, now, is_from_peer=False)

    def record_success(self, digest: bytes, now: float) -> None:
        """Clear a call that was answered completely."""
        self._clear_call(digest, now, is_from_peer=False)

    def apply_cleared(self, digest: bytes, now: float) -> None:
        """Clear a call or a part, as another daemon announced it."""
        self._clear_call(digest, now, is_from_peer=True)
        self._clear_part(digest, now, is_from_peer=True)

    def is_quarantined(self, digest: bytes, parts: frozenset[bytes]) -> bool:
        """Return whether a call must not be sent to further upstreams at present."""
        return self._find_pattern(digest, parts) is not None

    def find_probe_pattern(
        self, digest: bytes, parts: frozenset[bytes], now: float
    ) -> Pattern | None:
        """Return the pattern of which a call may be sent as a probe, or None."""
        found = [pattern for pattern in self._patterns if pattern.matches(digest, parts)]
        if len(found) == 1 and self._patterns[found[0]].may_probe(now):
            return found[0]
        return None

    def start_probe(self, pattern: Pattern, now: float) -> None:
        """Record that a call with a pattern is sent as a probe."""
        self._patterns[pattern].probed_at = now

    @property
    def crash_count(self) -> int:
        """The number of crashes that are remembered."""
        return len(self._crashes)

    def share_patterns(self, now: float) -> list[QuarantinedPattern]:
        """Return the patterns to pass on to other daemons."""
        return [
            QuarantinedPattern(pattern, now - hold.crashed_at, hold.failed_probes)
            for pattern, hold in list(self._patterns.items())[-MAX_SHARED_PATTERNS:]
            if not hold.is_from_store
        ]

    def list_patterns(self) -> list[Pattern]:
        """Return all patterns that are held."""
        return list(self._patterns)

    def adopt_stored(self, pattern: Pattern, now: float) -> None:
        """Apply a pattern of the metadata store, unless it is known."""
        if pattern in self._patterns:
            return
        self._adopt(pattern, _Hold(now, is_from_store=True))

    def adopt(self, shared: QuarantinedPattern, now: float) -> None:
        """Apply a pattern that another daemon has."""
        pattern = shared.pattern
        crashed_at = now - shared.age_s
        hold = self._patterns.get(pattern)
        if hold is not None and not hold.is_from_store:
            hold.crashed_at = max(hold.crashed_at, crashed_at)
            hold.failed_probes = max(hold.failed_probes, shared.failed_probes)
            return
        if crashed_at > now - PATTERN_RETENTION_S:
            self._patterns.pop(pattern, None)
            self._adopt(pattern, _Hold(crashed_at, shared.failed_probes))

    def expire(self, now: float) -> list[Pattern]:
        """Remove what is older than its retention time; return the removed patterns."""
        for crash, crashed_at in list(self._crashes.items()):
            if crashed_at > now - CRASH_RETENTION_S:
                break
            self._forget_crash(crash)
        while self._answered_at:
            part, answered_at = next(iter(self._answered_at.items()))
            is_recent = answered_at > now - ANSWER_RETENTION_S
            if is_recent and len(self._answered_at) <= MAX_ANSWERED_PARTS:
                break
            self._answered_at.pop(part)
        expired = [
            pattern
            for pattern, hold in self._patterns.items()
            if hold.crashed_at <= now - PATTERN_RETENTION_S
        ]
        for pattern in expired:
            self._remove_pattern(pattern, is_from_peer=True)
        return expired

    def drain_crashes(self) -> list[Crash]:
        """Remove and return the crashes to announce to the other daemons."""
        crashes = self._unannounced_crashes
        self._unannounced_crashes = []
        return crashes

    def drain_cleared(self) -> list[bytes]:
        """Remove and return the digests of calls and parts that are no longer suspected."""
        cleared = list(self._unannounced_cleared)
        self._unannounced_cleared = {}
        return cleared

    def drain_changes(self) -> list[PatternChange]:
        """Remove and return the patterns that were added or removed because of what was seen here.

        Those that follow from reports of other daemons are left out.
        """
        changes = self._changes
        self._changes = []
        return changes

    def _adopt(self, pattern: Pattern, hold: _Hold) -> None:
        """Add a pattern without the parts of which a call was answered lately.

        These are announced as cleared.
        """
        cleared = {
            trait for trait in (pattern.digest, *pattern.parts) if trait in self._answered_at
        }
        self._unannounced_cleared.update(dict.fromkeys(cleared))
        rest = Pattern(pattern.digest, pattern.parts - cleared)
        if pattern.digest in cleared or not (rest.digest or rest.parts):
            return
        self._add_pattern(rest, hold, is_from_peer=True)

    def _find_pattern(self, digest: bytes, parts: frozenset[bytes]) -> Pattern | None:
        for pattern in self._patterns:
            if pattern.matches(digest, parts):
                return pattern
        return None

    def _list_suspected(self, parts: frozenset[bytes]) -> frozenset[bytes]:
        """Return the parts of which no call was answered lately."""
        return frozenset(part for part in parts if part not in self._answered_at)

    def _select_parts(self, parts: frozenset[bytes], limit: int) -> frozenset[bytes]:
        """Return the suspected parts; if they exceed a limit, those with the most crashes."""
        suspected = self._list_suspected(parts)
        if len(suspected) <= limit:
            return suspected
        # All daemons choose the same ones of equal parts.
        ranked = sorted(
            suspected, key=lambda part: (-len(self._crashes_by_trait.get(part, ())), part)
        )
        return frozenset(ranked[:limit])

    def _forget_crash(self, crash: Crash) -> None:
        if self._crashes.pop(crash, None) is None:
            return
        self._trait_count -= len(crash.traits)
        for trait in crash.traits:
            crashes = self._crashes_by_trait[trait]
            crashes.pop(crash)
            if not crashes:
                self._crashes_by_trait.pop(trait)

    def _add_patterns(self, crash: Crash, now: float, *, is_from_peer: bool) -> None:
        """Add the patterns that explain the latest crash and enough earlier ones."""
        candidates = self._find_candidates(crash)
        while candidates:
            pattern = max(candidates, key=_count_conditions)
            self._add_pattern(pattern, _Hold(now), is_from_peer=is_from_peer)
            candidates = self._find_candidates(crash)
        for pattern in list(self._patterns):
            if pattern.digest and self._has_crash_of_another_call(pattern):
                wider = Pattern(b'', pattern.parts)
                self._add_pattern(wider, _Hold(now), is_from_peer=is_from_peer)

    def _has_crash_of_another_call(self, pattern: Pattern) -> bool:
        """Return whether another call with the parts of a pattern of a single call has crashed."""
        if not pattern.parts:
            return False
        crashes = self._crashes_by_trait.get(next(iter(pattern.parts)), {})
        return any(
            crash.digest != pattern.digest and pattern.parts <= crash.parts for crash in crashes
        )

    def _find_candidates(self, latest: Crash) -> list[Pattern]:
        """Return the patterns of the latest crash that explain enough crashes of several upstreams.

        Crashes of upstreams that another pattern explains do not count.
        """
        candidates = []
        suspected = self._list_suspected(latest.parts)
        for trait in (latest.digest, *suspected):
            crashes = list(self._crashes_by_trait.get(trait, ()))
            if len(crashes) < CRASH_LIMIT:
                continue
            if trait == latest.digest:
                # A call with the same content but another prompt is no repetition.
                crashes = [
                    crash for crash in crashes if self._list_suspected(crash.parts) == suspected
                ]
            explained = self._list_explained()
            longest = max(
                (answer.events for answer in self._answers if answer.has_part(trait)), default=0
            )
            crashes = [
                crash
                for crash in crashes
                if crash.upstream not in explained and crash.events >= longest
            ]
            if len({crash.upstream for crash in crashes}) >= CRASH_LIMIT:
                candidates.append(self._find_common(crashes))
        return candidates

    def _list_explained(self) -> set[str]:
        if self._explained is None:
            self._explained = {
                crash.upstream
                for crash in self._crashes
                if self._find_pattern(crash.digest, crash.parts) is not None
            }
        return self._explained

    def _find_common(self, crashes: list[Crash]) -> Pattern:
        """Return what the calls of several crashes have in common."""
        digests = {crash.digest for crash in crashes}
        common = frozenset.intersection(*(crash.parts for crash in crashes))
        parts = self._select_parts(common, MAX_PATTERN_PARTS)
        return Pattern(digests.pop() if len(digests) == 1 else b'', parts)

    def _add_pattern(self, pattern: Pattern, hold: _Hold, *, is_from_peer: bool) -> None:
        """Add a pattern in place of the ones that it covers, unless another one covers it."""
        if any(other.covers(pattern) for other in self._patterns):
            return
        for other in list(self._patterns):
            if pattern.covers(other):
                self._remove_pattern(other, is_from_peer=is_from_peer)
        self._patterns[pattern] = hold
        self._explained = None
        self.added_count += 1
        if not is_from_peer:
            self._changes.append(PatternChange(pattern, is_added=True))

    def _remove_pattern(self, pattern: Pattern, *, is_from_peer: bool) -> _Hold:
        if not is_from_peer:
            self._changes.append(PatternChange(pattern, is_added=False))
        self._explained = None
        return self._patterns.pop(pattern)

    def _clear_call(self, digest: bytes, now: float, *, is_from_peer: bool) -> None:
        # A call with the same content but other prompt parts says nothing of these parts.
        crashes = [
            crash
            for crash in self._crashes_by_trait.get(digest, ())
            if crash.digest == digest and not self._list_suspected(crash.parts)
        ]
        patterns = [
            pattern
            for pattern in self._patterns
            if pattern.digest == digest and not self._list_suspected(pattern.parts)
        ]
        for crash in crashes:
            self._forget_crash(crash)
        for pattern in patterns:
            self._remove_pattern(pattern, is_from_peer=is_from_peer)
        if not (crashes or patterns):
            return
        # A peer that misses the announcement will pass the pattern on.
        self._answered_at[digest] = now
        if not is_from_peer:
            self._unannounced_cleared[digest] = None

    def _clear_part(self, part: bytes, now: float, *, is_from_peer: bool) -> None:
        is_suspected = part not in self._answered_at and self._is_suspected(part)
        self._answered_at.pop(part, None)
        self._answered_at[part] = now
        if not is_suspected:
            return
        for pattern in list(self._patterns):
            if part not in pattern.parts:
                continue
            hold = self._remove_pattern(pattern, is_from_peer=is_from_peer)
            rest = pattern.parts - {part}
            if rest or pattern.digest:
                wider = Pattern(pattern.digest, rest)
                self._add_pattern(wider, hold, is_from_peer=is_from_peer)
        if not is_from_peer:
            self._unannounced_cleared[part] = None

    def _is_suspected(self, part: bytes) -> bool:
        return part in self._crashes_by_trait or any(
            part in pattern.parts for pattern in self._patterns
        )


def _count_conditions(pattern: Pattern) -> int:
    return len(pattern.parts) + bool(pattern.digest)
