"""Idempotency claims: a non-idempotent call runs at most once per key."""

from .claims import Claims
from .records import Claim, ClaimKey, RecordedAnswer

__all__ = ('Claim', 'ClaimKey', 'Claims', 'RecordedAnswer')
