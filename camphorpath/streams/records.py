"""What a daemon knows of the upstreams that began streams."""

import enum
import hashlib
from collections.abc import Callable

import attrs

DIGEST_BYTES = 8
# Bounds the memory; the oldest records are dropped first.
MAX_RECORD_COUNT = 100_000


@enum.unique
class Source(enum.Enum):
    """From where the origin of a stream is known."""

    OWN = 'own'
    PEER = 'peer'
    STORE = 'store'
    # No other version of the service was registered since the stream can have begun.
    ONLY_VERSION = 'only_version'


@attrs.frozen
class Origin:
    """The service and the software version that brought the first event of a stream."""

    service: str
    # Empty if unknown.
    software_version: str


@attrs.frozen
class KnownOrigin:
    """An origin, and since when and from where this daemon knows it."""

    origin: Origin
    # On the lease clock.
    known_since: float
    source: Source


def digest_stream(stream_id: bytes) -> bytes:
    """Return the digest of the attempt id of the call that brought the first event of a stream."""
    return hashlib.blake2b(stream_id, digest_size=DIGEST_BYTES).digest()


@attrs.define
class StreamRecords:
    """The origins of streams that began here, or of which this daemon learned, by digest."""

    _known: dict[bytes, KnownOrigin] = attrs.field(factory=dict)
    # Records of this daemon that were not written to the store, oldest first.
    _unwritten: dict[bytes, KnownOrigin] = attrs.field(factory=dict)

    @property
    def has_unwritten(self) -> bool:
        """Whether any record was not written to the store."""
        return bool(self._unwritten)

    def record(self, stream_id: bytes, origin: Origin, now: float) -> None:
        """Record a stream that begins, or goes on, at an upstream to which this daemon sent it."""
        digest = digest_stream(stream_id)
        known = KnownOrigin(origin, now, Source.OWN)
        self._put(digest, known)
        self._unwritten.pop(digest, None)
        self._unwritten[digest] = known

    def adopt(self, digest: bytes, origin: Origin, now: float, source: Source) -> KnownOrigin:
        """Keep what a peer or the store says of a stream; return what is known of it now."""
        known = self._known.get(digest)
        if known is None:
            known = KnownOrigin(origin, now, source)
            self._put(digest, known)
        return known

    def find(self, digest: bytes) -> KnownOrigin | None:
        """Return what is known of a stream, or None."""
        return self._known.get(digest)

    def drain_unwritten(self, is_wanted: Callable[[str], bool]) -> dict[bytes, Origin]:
        """Return and forget the unwritten records of the services that are wanted."""
        drained = {
            digest: known.origin
            for digest, known in self._unwritten.items()
            if is_wanted(known.origin.service)
        }
        for digest in drained:
            self._unwritten.pop(digest)
        return drained

    def expire(self, before: float) -> None:
        """Drop the records from before an instant."""
        for records in (self._known, self._unwritten):
            outdated = []
            for digest, known in records.items():
                if known.known_since >= before:
                    # The others are younger.
                    break
                outdated.append(digest)
            for digest in outdated:
                records.pop(digest)

    def _put(self, digest: bytes, known: KnownOrigin) -> None:
        self._known.pop(digest, None)
        self._known[digest] = known
        while len(self._known) > MAX_RECORD_COUNT:
            oldest = next(iter(self._known))
            self._known.pop(oldest)
            self._unwritten.pop(oldest, None)
