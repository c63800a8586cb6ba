"""Finds the software version that began a stream which its caller takes up."""

from collections.abc import Awaitable, Callable, Iterable

import attrs

from ..clocks import read_lease_clock
from ..errors import TableUnavailable
from .history import VersionHistory
from .records import KnownOrigin, Origin, Source, StreamRecords, digest_stream
from .services import ResumableServices


@attrs.frozen
class Asked:
    """What the other daemons answered when they were asked for the origin of a stream."""

    known: KnownOrigin | None = None
    # Incarnations of the daemons that answered, whether they know the stream or not.
    answered: frozenset[str] = frozenset()
    # Whether they were not asked, as too many streams were asked for.
    is_given_up: bool = False


async def _ask_nobody(_digest: bytes) -> Asked:
    """Return no answer; for a daemon without peers."""
    return Asked()


async def _read_nothing(_digest: bytes, _answered: frozenset[str]) -> None:
    """Return no record; for a daemon without a store."""


@attrs.define(kw_only=True)
class OriginLookup:
    """The records of this daemon, and the ways to those of the others."""

    records: StreamRecords = attrs.field(factory=StreamRecords)
    history: VersionHistory = attrs.field(factory=VersionHistory)
    services: ResumableServices = attrs.field(factory=ResumableServices)
    # Returns whether all versions that were registered within the horizon are in `history`.
    is_history_complete: Callable[[], bool] = lambda: True
    ask_peers: Callable[[bytes], Awaitable[Asked]] = _ask_nobody
    # Looks a stream up in the store, but for the rows of the incarnations that answered; raises
    # TableUnavailable.
    read_store: Callable[[bytes, frozenset[str]], Awaitable[KnownOrigin | None]] = _read_nothing

    async def find(self, stream_id: bytes, services: Iterable[str]) -> KnownOrigin | None:
        """Return the origin of a stream that began at one of the services; None if it is unknown.

        `stream_id` is the attempt id of the call that brought its first event; empty if the caller
        did not state it.
        """
        digest = digest_stream(stream_id)
        found = self.records.find(digest) if stream_id else None
        found = found or self._find_only_version(services)
        if found is not None or not stream_id:
            return found
        asked = await self.ask_peers(digest)
        if asked.known is not None:
            return asked.known
        if asked.is_given_up:
            # The store would have to be read for all daemons.
            return None
        try:
            return await self.read_store(digest, asked.answered)
        except TableUnavailable:
            # Logged where it was raised.
            return None

    def is_ambiguous(self, service: str) -> bool:
        """Return whether only records tell the version that began a recent stream of a service."""
        now = read_lease_clock()
        since = now - self.services.get_horizon_s(service)
        return self.history.is_mixed(service, since) or self.services.is_shared(service, now)

    def expire(self, now: float) -> None:
        """Drop the records of streams that are too old to be taken up."""
        services = self.services.list_services()
        longest_s = max(map(self.services.get_horizon_s, services), default=0)
        self.records.expire(now - longest_s)

    def _find_only_version(self, services: Iterable[str]) -> KnownOrigin | None:
        """Return the only origin that a recent stream can have, if there is just one."""
        if not self.is_history_complete():
            return None
        now = read_lease_clock()
        candidates = self.services.list_dropped(now).union(services)
        origins = [
            Origin(service, software_version)
            for service in candidates
            for software_version in self.history.list_since(
                service, now - self.services.get_horizon_s(service)
            )
        ]
        if len(origins) != 1 or not origins[0].software_version:
            return None
        return KnownOrigin(origins[0], now, Source.ONLY_VERSION)
