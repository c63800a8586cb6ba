# ruff: noqa: F811
"""Versions of streams that the rows of versions do not tell, or no longer."""

import pytest

from camphorpath.edge.streams import MAX_KNOWN_ROW_AGE_S
from camphorpath.streams.lookup import OriginLookup

# The fixtures of a store with a scripted clock.
from .test_stream_store import HORIZON_S, OLD, Daemon, clock, store  # noqa: F401

pytestmark = pytest.mark.anyio


@pytest.fixture
def horizon(monkeypatch):
    monkeypatch.setattr(
        'camphorpath.streams.services.ResumableServices.get_horizon_s',
        lambda _self, _service: HORIZON_S,
    )


async def find_at(daemon, monkeypatch):
    """Return the version at which a daemon lets an unknown stream go on, or None."""
    monkeypatch.setattr('camphorpath.streams.lookup.read_lease_clock', daemon.store.clock.read)

    async def confirm():
        daemon.streams.record_registered()
        await daemon.streams.read_versions()
        return daemon.streams.is_history_complete()

    found = await OriginLookup(history=daemon.history, confirm_history=confirm).find(b'1', ['llm'])
    return found and found.origin.software_version


async def test_stream_of_a_process_that_has_not_registered_is_not_taken_for_the_only_version(
    store,
    horizon,
    monkeypatch,
):
    """Guards against a stream of an unknown version that goes on at the only known one."""
    first = Daemon(store, registered={('llm', 'v1')})
    await first.follow(2)
    other = Daemon(store, 'other-1', registered={('llm', 'v1')}, is_writer=False)
    await other.follow(2)
    assert await find_at(other, monkeypatch) == 'v1'
    # The process that answers has restarted, and its entry is still that of before.
    await first.streams.announce_version('llm', '')
    assert await find_at(other, monkeypatch) is None


async def test_version_that_returns_after_a_while_is_announced_again(
    store,
    horizon,
    monkeypatch,
):
    """Guards against a row that is too old to tell that streams began at its version lately."""
    first = Daemon(store, registered={('llm', 'v1')}, is_writer=False)
    # It learns the store's time.
    await first.follow(1)
    await first.streams.announce_version('llm', 'v2')
    store.clock.now += 2 * HORIZON_S
    # An upstream of the version was registered for a moment; a stream began at it.
    await first.streams.announce_version('llm', 'v2')
    started = Daemon(store, 'started-1', registered={('llm', 'v1')}, is_writer=False)
    await started.follow(1)
    assert await find_at(started, monkeypatch) is None


async def test_old_row_does_not_replace_what_is_known_of_a_newer_one(store):
    """Guards against announcements that are repeated though the version has a fresh row."""
    writer = Daemon(store, 'writer-1', registered={('llm', 'v1')})
    await writer.follow(1)
    writer.streams._version_rows.clear()
    await writer.streams.announce_version('llm', 'v1')
    await writer.follow(MAX_KNOWN_ROW_AGE_S + 60)
    daemon = Daemon(store, is_writer=False)
    await daemon.follow(1)
    writes = len(store.writes)
    await daemon.streams.announce_version('llm', 'v1')
    assert len(store.writes) == writes


async def test_version_of_a_stream_that_began_in_the_pause_after_a_failure_is_written_later(
    store,
):
    """Guards against a version that is forgotten as the write of another one has failed."""
    daemon = Daemon(store, is_writer=False)
    await daemon.follow(1)
    store.status = 503
    await daemon.streams.announce_version('llm', 'v3')
    await daemon.streams.announce_version('llm', 'v4')
    store.status = 200
    await daemon.follow(3)
    assert {('llm', 'v3'), ('llm', 'v4')} <= set(store.list_versions())


async def test_announced_version_that_a_restore_lost_is_written_again(store):
    """Guards against rows that state all versions though a daemon had announced one more."""
    store.era = 1
    writer = Daemon(store, 'writer-1', registered={('llm', 'v1')})
    daemon = Daemon(store, registered={('llm', 'v1')}, is_writer=False)
    await writer.follow(2)
    await daemon.follow(2)
    copy = dict(store.rows)
    await daemon.streams.announce_version('llm', 'v3')
    assert ('llm', 'v3') in store.list_versions()
    store.rows, store.era = copy, 2
    for other in (daemon, writer, daemon):

        def restore(other=other):
            store.clock.on_advance = lambda: None
            other.restore()

        store.clock.on_advance = restore
        await other.follow(5)
    started = Daemon(store, 'started-1', registered={('llm', 'v1')}, is_writer=False)
    await started.follow(1)
    is_known = ('llm', 'v3') in started.history.list_last_seen()
    assert is_known or not started.streams.is_history_complete()


async def test_streams_are_written_while_a_restore_may_have_lost_versions(store):
    """Guards against streams that no other daemon can continue, as it cannot know all versions."""
    store.era = 2
    daemon = Daemon(store, registered={('llm', 'v1')}, is_writer=False)
    await daemon.follow(2)
    assert not daemon.streams.is_history_complete()
    digest = daemon.begin(1, OLD)
    await daemon.write(2)
    assert digest in store.list_origins()
