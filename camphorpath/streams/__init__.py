"""The software versions that began streams, as streams can go on only at the same version."""

from .history import VersionHistory
from .lookup import Asked, OriginLookup
from .records import KnownOrigin, Origin, Source, StreamRecords, digest_stream
from .services import ResumableServices, StreamPath
from .targets import RouteTarget

__all__ = (
    'Asked',
    'KnownOrigin',
    'Origin',
    'OriginLookup',
    'ResumableServices',
    'RouteTarget',
    'Source',
    'StreamPath',
    'StreamRecords',
    'VersionHistory',
    'digest_stream',
)
