"""Calls that crash the upstreams that run them.

Answers a call that ends each upstream on which it begins and comes again, at any daemon: after a
few crashes it gets no further upstream for a while.
"""

import collections
import hashlib

import attrs

# Upstreams that one call may end before it is held back.
CRASH_LIMIT = 3
# A crash counts for this time, in seconds; an upstream is back after some seconds.
KEPT_S = 60.0
MAX_CALLS = 10000
DIGEST_BYTES = 12


@attrs.frozen
class Crash:
    """One call and the incarnation of an upstream that ended while it ran there."""

    digest: bytes
    upstream: str


def digest_call(target: bytes, key: bytes, body: bytes) -> bytes:
    """Return what a call has in common with its repetitions."""
    parts = b'%d %d ' % (len(target), len(key)) + target + key + body
    return hashlib.blake2b(parts, digest_size=DIGEST_BYTES).digest()


@attrs.define
class Quarantine:
    """The crashes of the last time, by call, the calls with the oldest ones first."""

    _crashes: collections.OrderedDict[bytes, dict[str, float]] = attrs.field(
        factory=collections.OrderedDict
    )
    # Crashes seen here that the other daemons were not told of yet.
    _untold: list[Crash] = attrs.field(factory=list)
    # Calls that were suspected and answered here, of which the others were not told yet.
    _cleared: list[bytes] = attrs.field(factory=list)

    @property
    def is_empty(self) -> bool:
        """Whether no call is suspected."""
        return not self._crashes

    def note_crash(self, crash: Crash, now: float, *, is_told: bool) -> None:
        """Count a crash; `is_told` if another daemon saw it.

        Connections also break for other reasons: only crashes of several upstreams, with no success
        between them, count against a call.
        """
        ended = self._crashes.setdefault(crash.digest, {})
        self._crashes.move_to_end(crash.digest)
        ended[crash.upstream] = now
        if not is_told:
            self._untold.append(crash)
        while len(self._crashes) > MAX_CALLS:
            self._crashes.popitem(last=False)

    def note_success(self, digest: bytes, *, is_told: bool) -> None:
        """Forget the crashes of a call that was answered; `is_told` if another daemon saw it."""
        if self._crashes.pop(digest, None) is not None and not is_told:
            self._cleared.append(digest)

    def holds(self, digest: bytes, now: float) -> bool:
        """Return whether a call gets no further upstream for now."""
        ended = self._crashes.get(digest, {})
        return sum(1 for at in ended.values() if at > now - KEPT_S) >= CRASH_LIMIT

    def list_calls(self) -> list[bytes]:
        """Return the digests of the calls that are suspected."""
        return list(self._crashes)

    def expire(self, now: float) -> None:
        """Forget old crashes."""
        while self._crashes:
            digest, ended = next(iter(self._crashes.items()))
            if max(ended.values()) > now - KEPT_S:
                return
            self._crashes.pop(digest)

    def take_untold(self) -> list[Crash]:
        """Return the crashes that the others have to be told of, once."""
        untold = self._untold
        self._untold = []
        return untold

    def take_cleared(self) -> list[bytes]:
        """Return the calls that the others need not suspect any more, once."""
        cleared = self._cleared
        self._cleared = []
        return cleared
