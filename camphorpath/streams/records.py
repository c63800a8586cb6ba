"""What a daemon knows of the upstreams that began streams."""

import enum
import hashlib
import itertools
from collections.abc import Callable

import attrs

DIGEST_BYTES = 8
# Bounds the memory, for own records and learned ones each; the oldest are dropped first.
MAX_RECORD_COUNT = 100_000


@enum.unique
class Source(enum.Enum):
    """From where the origin of a stream is known."""

    OWN = 'own'
    PEER = 'peer'
    STORE = 'store'
    # No other version of the service was registered since the stream can have begun.
    ONLY_VERSION = 'only_version'
    # All daemons that are gone have begun streams at this version only.
    ONLY_BEGUN = 'only_begun'


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
    # The incarnation of the other daemon that recorded it; empty if unknown.
    holder: str = ''
    # Rises with each record of its holder.
    number: int = 0


def digest_stream(stream_id: bytes) -> bytes:
    """Return the digest of the attempt id of the call that brought the first event of a stream."""
    return hashlib.blake2b(stream_id, digest_size=DIGEST_BYTES).digest()


@attrs.define
class StreamRecords:
    """The origins of streams that began here, or of which this daemon learned, by digest."""

    _own: dict[bytes, KnownOrigin] = attrs.field(factory=dict)
    # What others say of streams that did not begin here.
    _learned: dict[bytes, KnownOrigin] = attrs.field(factory=dict)
    # Records of this daemon that were not written to the store, oldest first.
    _unwritten: dict[bytes, KnownOrigin] = attrs.field(factory=dict)
    # Records of this daemon that were not sent to other daemons, oldest first.
    _uncopied: dict[bytes, KnownOrigin] = attrs.field(factory=dict)
    _last_number: int = 0

    @property
    def has_unwritten(self) -> bool:
        """Whether any record was not written to the store."""
        return bool(self._unwritten)

    @property
    def has_own(self) -> bool:
        """Whether there are records of this daemon."""
        return bool(self._own)

    def record(self, stream_id: bytes, origin: Origin, now: float) -> None:
        """Record a stream that begins, or goes on, at an upstream to which this daemon sent it."""
        digest = digest_stream(stream_id)
        self._last_number += 1
        known = KnownOrigin(origin, now, Source.OWN, number=self._last_number)
        self._learned.pop(digest, None)
        for records in (self._own, self._unwritten, self._uncopied):
            records.pop(digest, None)
            records[digest] = known
        self._limit(self._own)

    def adopt(self, digest: bytes, stated: KnownOrigin) -> KnownOrigin:
        """Keep what a peer or the store says of a stream; return what is known of it now.

        A later record of the same daemon replaces an earlier one. The version is unknown if daemons
        disagree.
        """
        known = self.find(digest)
        if known is None:
            self._learned[digest] = stated
            self._limit(self._learned)
            return stated
        if known.source is Source.OWN:
            return known
        if known.holder and known.holder == stated.holder:
            if stated.number > known.number:
                self._learned[digest] = stated
        elif known.origin != stated.origin:
            unknown = Origin(known.origin.service, '')
            self._learned[digest] = attrs.evolve(known, origin=unknown, holder='')
        return self._learned[digest]

    def find(self, digest: bytes) -> KnownOrigin | None:
        """Return what is known of a stream, or None."""
        return self._own.get(digest) or self._learned.get(digest)

    def list_own(self, limit: int) -> dict[bytes, KnownOrigin]:
        """Return the latest records of this daemon, latest first."""
        return dict(itertools.islice(reversed(self._own.items()), limit))

    def drain_uncopied(self) -> dict[bytes, KnownOrigin]:
        """Return the records that were not sent to other daemons; they count as sent from now."""
        drained = self._uncopied
        self._uncopied = {}
        return drained

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
        for records in (self._own, self._learned, self._unwritten, self._uncopied):
            outdated = []
            for digest, known in records.items():
                if known.known_since >= before:
                    # The others are younger.
                    break
                outdated.append(digest)
            for digest in outdated:
                records.pop(digest)

    def _limit(self, records: dict[bytes, KnownOrigin]) -> None:
        while len(records) > MAX_RECORD_COUNT:
            oldest = next(iter(records))
            records.pop(oldest)
            self._unwritten.pop(oldest, None)
            self._uncopied.pop(oldest, None)
