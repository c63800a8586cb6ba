"""The software versions that began streams, as streams can go on only at the same version."""

from .history import VersionHistory
from .records import KnownOrigin, Origin, Source, StreamRecords, digest_stream

__all__ = (
    'KnownOrigin',
    'Origin',
    'Source',
    'StreamRecords',
    'VersionHistory',
    'digest_stream',
)
