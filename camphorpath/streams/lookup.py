"""Finds the software version that began a stream which its caller takes up."""

import math
from collections.abc import Awaitable, Callable, Iterable

import attrs

from ..clocks import read_lease_clock
from .history import VersionHistory
from .records import KnownOrigin, Origin, Source, StreamRecords, digest_stream


@attrs.frozen
class Asked:
    """What the other daemons answered when they were asked for the origin of a stream."""

    known: KnownOrigin | None = None
    # Incarnations of the daemons that answered, whether they know the stream or not.
    answered: frozenset[str] = frozenset()


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
    # Returns the seconds for which a stream of a service may have run before it is taken up.
    get_horizon_s: Callable[[str], float] = lambda service: math.inf
    # Returns whether all versions that were registered within the horizon are in `history`.
    is_history_complete: Callable[[], bool] = lambda: True
    ask_peers: Callable[[bytes], Awaitable[Asked]] = _ask_nobody
    # Looks a stream up in the store; leaves out the incarnations of daemons that answered.
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
        return asked.known or await self.read_store(digest, asked.answered)

    def _find_only_version(self, services: Iterable[str]) -> KnownOrigin | None:
        """Return the only origin that a recent stream can have, if there is just one."""
        if not self.is_history_complete():
            return None
        now = read_lease_clock()
        origins = [
            Origin(service, software_version)
            for service in services
            for software_version in self.history.list_since(
                service, now - self.get_horizon_s(service)
            )
        ]
        if len(origins) != 1 or not origins[0].software_version:
            return None
        return KnownOrigin(origins[0], now, Source.ONLY_VERSION)
