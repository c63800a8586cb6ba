"""Finds the software version that began a stream which its caller takes up."""

from collections.abc import Awaitable, Callable, Iterable

import anyio
import attrs

from ..clocks import read_lease_clock
from ..errors import TableUnavailable
from .history import VersionHistory
from .records import KnownOrigin, Origin, Source, StreamRecords, digest_stream
from .services import ResumableServices, StreamPath

# Peers are not asked for a stream whose version the store confirms within this time.
HEAD_START_S = 0.1


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


async def _know_no_lost(_answered: frozenset[str]) -> None:
    """Return that nothing is known of daemons that are gone; for a daemon without a store."""


async def _announce_nothing(_service: str, _software_version: str) -> None:
    """Announce no version; for a daemon without a store."""


async def _begin_anywhere(_service: str, _software_version: str) -> bool:
    """Let streams begin at all versions; for a daemon without a store."""
    return True


async def _confirm_at_once() -> bool:
    """Confirm the versions without a read; for a daemon without a store."""
    return True


@attrs.define(kw_only=True)
class OriginLookup:
    """The records of this daemon, and the ways to those of the others."""

    records: StreamRecords = attrs.field(factory=StreamRecords)
    history: VersionHistory = attrs.field(factory=VersionHistory)
    services: ResumableServices = attrs.field(factory=ResumableServices)
    # Reads the versions that were registered until the begin of the call; returns whether all of
    # them that were registered within the horizon are in `history`.
    confirm_history: Callable[[], Awaitable[bool]] = _confirm_at_once
    # Returns whether other daemons can learn that a stream of a service begins at a version. If
    # not, a stream should begin elsewhere.
    may_begin: Callable[[str, str], Awaitable[bool]] = _begin_anywhere
    # Lets daemons that have not seen a version know that a stream of a service begins at it.
    announce_version: Callable[[str, str], Awaitable[None]] = _announce_nothing
    ask_peers: Callable[[bytes], Awaitable[Asked]] = _ask_nobody
    # Looks a stream up in the store, but for the rows of the incarnations that answered; raises
    # TableUnavailable.
    read_store: Callable[[bytes, frozenset[str]], Awaitable[KnownOrigin | None]] = _read_nothing
    # Returns the origins at which the streams of incarnations that have not answered may have
    # begun, None if that is unknown; it reads the store after its call.
    list_lost: Callable[[frozenset[str]], Awaitable[frozenset[Origin] | None]] = _know_no_lost

    async def find(
        self, stream_id: bytes, services: Iterable[str], path: StreamPath | None = None
    ) -> KnownOrigin | None:
        """Return the origin of a stream; None if it is unknown.

        `stream_id` is the attempt id of the call that brought its first event; empty if the caller
        did not state it. `services` are those of its route now; with a path, it may have begun at
        those of other routes, too.
        """
        found = self.records.find(digest_stream(stream_id)) if stream_id else None
        if found is not None and found.source is Source.OWN:
            return found
        if found is not None:
            # The daemon that recorded the stream may know better by now.
            return await self._find_record(stream_id, services, path)
        if self._find_only_version(services, path) is None:
            return await self._find_record(stream_id, services, path)
        return await self._confirm_only_version(stream_id, services, path)

    async def may_have_begun(self, path: StreamPath) -> bool:
        """Return whether a stream may have begun on a path whose route serves none now."""
        if self.services.has_streams(path, read_lease_clock()):
            return True
        is_confirmed = await self.confirm_history()
        return not is_confirmed or self.services.has_streams(path, read_lease_clock())

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

    async def _confirm_only_version(
        self, stream_id: bytes, services: Iterable[str], path: StreamPath | None
    ) -> KnownOrigin | None:
        """Return the only origin that the stream can have, or what others know of it.

        A version that this daemon has not seen yet may have begun the stream, so the versions are
        read after its caller took it up. The others are asked if that takes long or fails.
        """
        is_read = anyio.Event()
        outcomes: list[KnownOrigin] = []

        async def confirm() -> None:
            is_confirmed = await self.confirm_history()
            found = self._find_only_version(services, path) if is_confirmed else None
            finish(found)
            is_read.set()

        async def find_record() -> None:
            with anyio.move_on_after(HEAD_START_S):
                await is_read.wait()
            finish(await self._find_record(stream_id, services, path))

        def finish(found: KnownOrigin | None) -> None:
            if found is not None:
                outcomes.append(found)
                group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(confirm)
            group.start_soon(find_record)
        return outcomes[0] if outcomes else None

    async def _find_record(
        self, stream_id: bytes, services: Iterable[str], path: StreamPath | None
    ) -> KnownOrigin | None:
        """Return what the peers or the store know of a stream; None if it is unknown."""
        if not stream_id:
            return None
        digest = digest_stream(stream_id)
        asked = await self.ask_peers(digest)
        if asked.known is not None:
            return asked.known
        if asked.is_given_up:
            # The store would have to be read for all daemons.
            return None
        lost: list[frozenset[Origin]] = []

        async def read_lost() -> None:
            lost.append(await self.list_lost(asked.answered) or frozenset())

        async with anyio.create_task_group() as group:
            group.start_soon(read_lost)
            try:
                known = await self.read_store(digest, asked.answered)
            except TableUnavailable:
                # Logged where it was raised. Its record may be in the rows that were not read.
                group.cancel_scope.cancel()
                return None
            if known is not None:
                group.cancel_scope.cancel()
                return known
        return self._choose_only(lost[0], services, path, Source.ONLY_BEGUN)

    def _find_only_version(
        self, services: Iterable[str], path: StreamPath | None
    ) -> KnownOrigin | None:
        """Return the only origin in the history that a recent stream can have, if just one."""
        now = read_lease_clock()
        recent = [
            Origin(service, software_version)
            for service in self.services.list_services().union(services)
            for software_version in self.history.list_since(
                service, now - self.services.get_horizon_s(service)
            )
        ]
        return self._choose_only(recent, services, path, Source.ONLY_VERSION)

    def _choose_only(
        self,
        origins: Iterable[Origin],
        services: Iterable[str],
        path: StreamPath | None,
        source: Source,
    ) -> KnownOrigin | None:
        """Return the only one of some origins that a stream of a path can have, if just one."""
        now = read_lease_clock()
        candidates = frozenset(services)
        if path is not None:
            others = self.services.list_candidates(path, now)
            if others is None:
                return None
            candidates |= others
        possible = [origin for origin in origins if origin.service in candidates]
        if len(possible) != 1 or not possible[0].software_version:
            return None
        return KnownOrigin(possible[0], now, source)
