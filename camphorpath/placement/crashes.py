"""Crashes of upstreams, and what the calls that may have caused them have in common."""

from collections.abc import Iterable

import attrs

from ..hashing import DIGEST_BYTES, digest_bytes


def digest_call(target: bytes, key: bytes, body: bytes) -> bytes:
    """Return a digest that is equal for repetitions of a call."""
    parts = b'%d %d ' % (len(target), len(key)) + target + key + body
    return digest_bytes(parts)


def digest_parts(service: str, part_ids: Iterable[bytes]) -> frozenset[bytes]:
    """Return the digests of the prompt parts of a call, which differ between services."""
    prefix = f'{len(service)} {service}'.encode()
    return frozenset(digest_bytes(prefix + part_id) for part_id in part_ids)


def join_digests(digests: Iterable[bytes]) -> bytes:
    """Return digests one after the other, which takes less memory than a set."""
    return b''.join(digests)


@attrs.frozen
class Crash:
    """A call and the incarnation of an upstream that crashed while running it."""

    digest: bytes
    upstream: str
    # Digests of its prompt parts.
    parts: frozenset[bytes] = frozenset()
    # Whole events of its answer that had arrived from the upstream.
    events: int = 0

    @property
    def traits(self) -> tuple[bytes, ...]:
        """The digests of the call and of its prompt parts, each once."""
        return (self.digest, *(self.parts - {self.digest}))


@attrs.define(eq=False)
class AnswerProgress:
    """How much of the answer to a call has arrived from its upstream."""

    # Digests of the prompt parts of the call, one after the other.
    parts: bytes
    # Whole events.
    events: int = 0

    def has_part(self, part: bytes) -> bool:
        """Return whether the call has a prompt part."""
        at = self.parts.find(part)
        while at > 0 and at % DIGEST_BYTES:
            at = self.parts.find(part, at + 1)
        return at >= 0


@attrs.frozen
class Pattern:
    """What calls have in common that crash upstreams."""

    # Digest of the only call to which the pattern applies; empty for any call.
    digest: bytes
    # Digests of prompt parts that a call must all have.
    parts: frozenset[bytes]

    def matches(self, digest: bytes, parts: frozenset[bytes]) -> bool:
        """Return whether a call has the pattern."""
        return self.digest in {b'', digest} and self.parts <= parts

    def covers(self, other: 'Pattern') -> bool:
        """Return whether each call with the other pattern has this one, too."""
        return self.matches(other.digest, other.parts)


@attrs.frozen
class QuarantinedPattern:
    """A pattern of quarantined calls, as daemons pass it on to each other."""

    pattern: Pattern
    # Seconds since the last crash.
    age_s: float
    # Calls with the pattern that were sent since, each of which crashed another upstream.
    failed_probes: int = 0
