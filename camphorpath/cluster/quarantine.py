"""Encodes the patterns of quarantined calls in heartbeats and in rows of the metadata store."""

import orjson

from ..hashing import digest_bytes
from ..placement.crashes import Pattern, QuarantinedPattern
from ..schema import camphorpath_pb2 as pb


def encode_quarantined(shared: QuarantinedPattern) -> pb.QuarantinedCalls:
    """Return a pattern for a heartbeat."""
    return pb.QuarantinedCalls(
        digest=shared.pattern.digest,
        parts=sorted(shared.pattern.parts),
        age=shared.age_s,
        failed_probes=shared.failed_probes,
    )


def decode_quarantined(message: pb.QuarantinedCalls) -> QuarantinedPattern | None:
    """Return the pattern in a heartbeat, or None if it would match every call.

    The time on the way is not known; it makes the last crash look later.
    """
    pattern = Pattern(message.digest, frozenset(message.parts))
    if not (pattern.digest or pattern.parts):
        return None
    return QuarantinedPattern(pattern, max(message.age, 0), message.failed_probes)


def make_row_key(pattern: Pattern) -> str:
    """Return the key of the row of a pattern."""
    return digest_bytes(b'|'.join((pattern.digest, *sorted(pattern.parts)))).hex()


def encode_row(pattern: Pattern) -> bytes:
    """Return the content of the row of a pattern."""
    parts = [part.hex() for part in sorted(pattern.parts)]
    return orjson.dumps({'digest': pattern.digest.hex(), 'parts': parts})


def decode_row(content: bytes | None) -> Pattern | None:
    """Return the pattern of a row, or None if the row is unreadable or would match every call."""
    try:
        document = orjson.loads(content or b'{}')
        pattern = Pattern(
            bytes.fromhex(document['digest']), frozenset(map(bytes.fromhex, document['parts']))
        )
    except (KeyError, TypeError, ValueError):
        return None
    return pattern if pattern.digest or pattern.parts else None
