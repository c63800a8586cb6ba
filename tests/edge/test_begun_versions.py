# ruff: noqa: F811
"""The versions at which a daemon may begin streams, and what others take them for."""

import anyio
import attrs
import httpx
import pytest

from camphorpath.edge.begun_versions import (
    MAX_REFRESH_DELAY_S,
    PART,
    REFRESH_INTERVAL_S,
    ROW_RETENTION_S,
    TABLE,
    BegunVersions,
    decode_row,
)
from camphorpath.events import EventLog
from camphorpath.platform.store import MetadataStore

# The fixtures of a store with a scripted clock.
from .test_stream_store import HORIZON_S, NEW, OLD, clock, store  # noqa: F401

pytestmark = pytest.mark.anyio


@attrs.define
class Daemon:
    """A daemon with a row, and the origins that are registered for it."""

    store: object
    incarnation: str = 'me-1'
    registered: list = attrs.field(factory=lambda: [OLD])
    is_complete: bool = True
    begun: BegunVersions = attrs.field(init=False)

    @begun.default
    def _make_begun(self):
        return BegunVersions(
            store=MetadataStore('http://store', httpx.MockTransport(self.store.answer)),
            events=EventLog(self.incarnation, capacity=10),
            incarnation=self.incarnation,
            list_registered=lambda: self.registered,
            is_history_complete=lambda: self.is_complete,
            get_horizon_s=lambda _service: HORIZON_S,
            get_restored=anyio.Event,
            read_clock=self.store.clock.read,
        )

    async def try_begin(self, origin):
        return await self.begun.try_begin(origin.service, origin.software_version)

    def read_row(self):
        return decode_row(self.store.rows[TABLE, PART, f'{self.incarnation}.0'])


async def test_streams_begin_only_at_origins_that_the_row_states(store):
    """Guards against streams of versions that nobody can learn once their daemon is lost."""
    daemon = Daemon(store)
    assert await daemon.try_begin(OLD)
    store.status = 503
    assert await daemon.try_begin(OLD)
    assert not await daemon.try_begin(NEW)
    assert not await daemon.try_begin(attrs.evolve(NEW, software_version=''))
    store.status = 200
    store.clock.now += 2
    assert await daemon.try_begin(NEW)
    # No stream has begun at the unknown version, so that it keeps none from being taken up.
    assert daemon.read_row().origins == {OLD, NEW}


async def test_daemon_without_a_row_begins_streams_at_registered_versions(store):
    """Guards against a daemon that serves no streams as it started while the store is away."""
    store.status = 503
    daemon = Daemon(store)
    assert await daemon.try_begin(OLD)
    assert not await daemon.try_begin(attrs.evolve(OLD, software_version=''))


async def test_stream_that_began_at_an_unknown_version_is_written_once_the_store_is_back(store):
    """Guards against streams that are taken for ones of the version in an older row."""
    daemon = Daemon(store)
    unknown = attrs.evolve(OLD, software_version='')
    assert await daemon.try_begin(OLD)
    store.status = 503
    # No other upstream was left for it.
    assert not await daemon.try_begin(unknown)
    daemon.begun.begin(unknown.service, unknown.software_version)
    assert not await daemon.try_begin(unknown)
    store.status = 200
    await store.clock.run(daemon.begun.follow, 2)
    assert daemon.read_row().origins == {OLD, unknown}


async def test_lost_daemon_without_a_row_may_have_begun_streams_at_all_versions(store):
    """Guards against streams that are joined as the daemon that began them had no row."""
    other = Daemon(store, 'other-1')
    await other.try_begin(OLD)
    reader = Daemon(store, registered=[OLD, NEW])
    reader.begun.record_member('lost-1')
    assert await reader.begun.list_lost(frozenset()) == {OLD, NEW}
    assert await reader.begun.list_lost(frozenset(['lost-1'])) == {OLD}
    reader.is_complete = False
    assert await reader.begun.list_lost(frozenset()) is None
    reader.store.clock.now += HORIZON_S + 1
    assert await reader.begun.list_lost(frozenset()) == {OLD}
    # Daemons that are long gone take no memory.
    assert not reader.begun._heard


async def test_unreadable_row_counts_as_one_of_all_registered_versions(store):
    """Guards against take-ups that are all refused, or joined, beside a row of another writer."""
    await Daemon(store, 'other-1').try_begin(OLD)
    store.rows[TABLE, PART, 'lost-1.0'] = b'\xff'
    reader = Daemon(store)
    assert await reader.begun.list_lost(frozenset()) == {OLD}
    reader.registered = [OLD, NEW]
    assert await reader.begun.list_lost(frozenset()) == {OLD, NEW}
    assert await reader.begun.list_lost(frozenset(['lost-1'])) == {OLD}
    store.clock.now += HORIZON_S + REFRESH_INTERVAL_S + MAX_REFRESH_DELAY_S - 1
    assert await reader.begun.list_lost(frozenset()) == {OLD, NEW}
    store.clock.now += ROW_RETENTION_S
    assert await reader.begun.list_lost(frozenset()) == set()
    await reader.try_begin(NEW)
    assert (TABLE, PART, 'lost-1.0') not in store.rows
