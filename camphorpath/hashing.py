"""Rendezvous hashing, and digests of contents."""

import hashlib

SCORE_BYTES = 8
DIGEST_BYTES = 12


def rendezvous_score(key: str, name: str) -> bytes:
    """Return the score of a name for a key.

    It is the same in all daemons, and the scores for different keys are independent.
    """
    return hashlib.blake2b(f'{len(key)}:{key}{name}'.encode(), digest_size=SCORE_BYTES).digest()


def digest_bytes(content: bytes) -> bytes:
    """Return a short digest of a content, the same in all daemons."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()
