# ruff: noqa: F811
"""Versions of streams that the rows of versions do not tell, or no longer."""

import itertools

import anyio
import attrs
import pytest

from camphorpath.edge.daemon import _make_receiver, build_edge
from camphorpath.edge.streams import (
    MAX_KNOWN_ROW_AGE_S,
    MAX_SEEN_LAG_S,
    MAX_UNCOVERED_S,
    VERSION_INTERVAL_S,
)
from camphorpath.edge.version_news import VersionNews
from camphorpath.events import Event
from camphorpath.schema import camphorpath_pb2 as pb
from camphorpath.streams.lookup import OriginLookup
from camphorpath.streams.rows import make_version_key

from .test_state import SETTINGS

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


async def test_version_of_a_stream_that_began_during_a_cut_is_announced_after_it(
    store,
    horizon,
    monkeypatch,
):
    """Guards against a version that only a daemon out of touch had still registered."""
    writer = Daemon(store, 'writer-1', registered={('llm', 'v1')})
    await writer.follow(2)
    cut = Daemon(store, registered={('llm', 'v1')}, is_writer=False)
    await cut.follow(2)
    cut.is_confirmed = False
    store.status = 503
    await cut.follow(2 * HORIZON_S)
    await cut.streams.announce_version('llm', 'v1')
    assert not cut.list_events(Event.STREAM_STORE_FAILED)
    store.status = 200
    cut.registered, cut.is_confirmed = {('llm', 'v2')}, True
    await cut.follow(3)
    started = Daemon(store, 'started-1', registered={('llm', 'v2')}, is_writer=False)
    await started.follow(1)
    assert await find_at(started, monkeypatch) is None


async def test_daemon_that_reads_no_rows_announces_no_registered_version(store, horizon):
    """Guards against daemons that all write each version while nothing changes."""
    daemon = Daemon(store, registered={('llm', 'v1')}, is_writer=False)
    await daemon.follow(1)

    def restore():
        store.clock.on_advance = lambda: None
        daemon.restore()

    for second in range(100):
        await daemon.streams.announce_version('llm', 'v1')
        if second == 50:
            store.clock.on_advance = restore
        await daemon.follow(2 * VERSION_INTERVAL_S)
    assert len(store.writes) == 1
    # Streams whose first event comes just after their upstream was removed.
    daemon.registered = set()
    await daemon.streams.announce_version('llm', 'v1')
    assert len(store.writes) == 1
    await daemon.follow(2 * MAX_UNCOVERED_S)
    await daemon.streams.announce_version('llm', 'v1')
    assert len(store.writes) == 2


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


def count_writes(store, software_version, since=0):
    """Return how often the row of a version was written since an instant."""
    key = make_version_key('llm', software_version)
    return sum(
        row['key'] == key for at, body in store.writes if at >= since for row in body['write']
    )


async def find_without_memory(store, monkeypatch):
    """Return the version at which a daemon that has just started lets an unknown stream go on."""
    started = Daemon(store, 'started-1', registered={('llm', 'v2')}, is_writer=False)
    await started.follow(1)
    return await find_at(started, monkeypatch)


async def test_version_that_left_while_the_store_was_away_is_written_when_it_is_back(
    store,
    horizon,
    monkeypatch,
):
    """Guards against rows that are as old as the last contact with the store."""
    writer = Daemon(store, 'writer-1', registered={('llm', 'v1')})
    await writer.follow(2)
    writer.is_confirmed = False
    store.status = 503
    await writer.follow(2 * HORIZON_S)
    writer.registered = {('llm', 'v2')}
    await writer.follow(2)
    writer.is_confirmed = True
    store.status = 200
    since = store.clock.now
    await writer.follow(2)
    assert await find_without_memory(store, monkeypatch) is None
    await writer.follow(HORIZON_S)
    assert count_writes(store, 'v1', since) == 1


async def test_version_that_left_while_nobody_wrote_it_is_written_by_the_next_writer(
    store,
    horizon,
    monkeypatch,
):
    """Guards against a version whose last refresh the writer of the versions did not live to do."""
    ended = Daemon(store, 'ended-1', registered={('llm', 'v1')})
    await ended.follow(2)
    writer = Daemon(store, 'writer-1', registered={('llm', 'v1')}, is_writer=False)
    await writer.follow(2 * HORIZON_S)
    writer.registered = {('llm', 'v2')}
    await writer.follow(1)
    writer.is_writer = True
    await writer.follow(2)
    assert await find_without_memory(store, monkeypatch) is None


async def test_next_writer_does_not_replace_a_row_by_an_older_one(store, horizon):
    """Guards against a writer that saw a version for a shorter time than the one before it."""
    writer = Daemon(store, 'writer-1', registered={('llm', 'v1')}, is_writer=False)
    await writer.follow(2)
    writer.registered = set()
    ended = Daemon(store, 'ended-1', registered={('llm', 'v1')})
    await ended.follow(20)
    rows = store.list_versions()
    writer.is_writer = True
    await writer.follow(2)
    assert store.list_versions() == rows


async def test_version_that_was_registered_between_two_updates_is_written(store):
    """Guards against a version that the writer of the versions saw and did not write."""
    writer = Daemon(store, 'writer-1', registered={('llm', 'v1')})
    await writer.follow(2)
    writer.history.record('llm', 'v3', store.clock.now)
    await writer.follow(1)
    assert ('llm', 'v3') in store.list_versions()
    await writer.follow(HORIZON_S)
    assert count_writes(store, 'v3') == 1


@attrs.define
class News:
    """What a daemon tells the others of versions; they hear it at once."""

    others: list = attrs.field(factory=list)
    sent: list = attrs.field(factory=list)

    def send(self, service, software_version, *, is_written):
        self.sent.append((service, software_version, is_written))
        for other in self.others:
            other.streams.learn_begun(service, software_version, is_written=is_written)


async def test_daemons_learn_at_once_of_streams_of_an_unknown_version(store, horizon):
    """Guards against take-ups that are refused after a kill as others wrote no records."""
    first, other = (
        Daemon(store, name, registered={('llm', 'v1')}, is_writer=False)
        for name in ('first-1', 'other-1')
    )
    first.streams.share_version = News([other]).send
    for daemon in (first, other):
        await daemon.follow(2)
    digest = other.begin(1)
    await other.write()
    assert not store.list_origins('other-1')
    await first.streams.announce_version('llm', '')
    await other.write()
    assert digest in store.list_origins('other-1')


async def test_version_that_another_daemon_has_announced_is_not_written_again(store, horizon):
    """Guards against a write of each daemon whenever an upstream restarts."""
    daemons = [Daemon(store, f'd{number}-1', is_writer=False) for number in range(9)]
    for daemon in daemons:
        daemon.streams.share_version = News([other for other in daemons if other != daemon]).send
        await daemon.follow(1)
    for _second in range(60):
        for daemon in daemons:
            await daemon.streams.announce_version('llm', '')
        store.clock.now += 1
    writes = [at for at, _body in store.writes]
    gaps = [after - before for before, after in itertools.pairwise(writes)]
    assert min(gaps) > MAX_UNCOVERED_S
    assert max(gaps) <= MAX_UNCOVERED_S + MAX_SEEN_LAG_S + 1


async def test_registered_versions_are_not_sent_to_the_other_daemons(store, horizon):
    """Guards against datagrams of all daemons to all others in a release."""
    daemon = Daemon(store, registered={('llm', 'v1'), ('llm', 'v2')}, is_writer=False)
    news = News()
    daemon.streams.share_version = news.send
    await daemon.follow(1)
    await daemon.streams.announce_version('llm', 'v2')
    assert ('llm', 'v2') in store.list_versions()
    assert not news.sent


async def test_version_that_its_daemon_could_not_write_is_written_by_another_one(
    store,
    horizon,
    monkeypatch,
):
    """Guards against a version that is lost with its daemon as it was not written in time."""
    writer = Daemon(store, 'writer-1', registered={('llm', 'v1')})
    await writer.follow(2)
    killed = Daemon(store, 'killed-1', registered={('llm', 'v1')}, is_writer=False)
    await killed.follow(2)
    news = News([writer])
    killed.streams.share_version = news.send
    store.status = 503
    for _ in range(3):
        await killed.streams.announce_version('llm', 'v3')
        store.clock.now += 1.1
    assert news.sent == [('llm', 'v3', False)]
    store.status = 200
    await writer.follow(2)
    started = Daemon(store, 'started-1', registered={('llm', 'v1')}, is_writer=False)
    await started.follow(1)
    assert await find_at(started, monkeypatch) is None


async def test_daemon_without_the_store_tells_the_others_of_an_unknown_version(store, horizon):
    """Guards against a stream of an unknown version that only its daemon knows of."""
    daemon = Daemon(store, registered={('llm', 'v1')}, is_writer=False)
    await daemon.follow(1)
    await daemon.streams.announce_version('llm', '')
    news = News()
    daemon.streams.share_version = news.send
    daemon.is_confirmed = False
    store.status = 503
    await daemon.follow(2 * HORIZON_S)
    for _ in range(3):
        await daemon.streams.announce_version('llm', '')
    assert news.sent == [('llm', '', False)]


async def test_versions_that_begin_while_the_store_is_away_are_all_sent_to_the_other_daemons(
    store,
    horizon,
):
    """Guards against a version that nobody learns of as another one could not be written."""
    daemon = Daemon(store, registered={('llm', 'v1'), ('asr', 'v1')}, is_writer=False)
    await daemon.follow(2)
    news = News()
    daemon.streams.share_version = news.send
    store.status = 503
    for service in ('llm', 'asr'):
        await daemon.streams.announce_version(service, '')
    assert news.sent == [('llm', '', False), ('asr', '', False)]


async def test_unknown_version_is_sent_again_while_the_store_does_not_confirm_the_view(
    store,
    horizon,
    monkeypatch,
):
    """Guards against a stream of an unknown version whose row is too old to tell of it."""
    cut, other = (
        Daemon(store, name, registered={('llm', 'v1')}, is_writer=False)
        for name in ('cut-1', 'other-1')
    )
    cut.streams.share_version = News([other]).send
    for daemon in (cut, other):
        await daemon.follow(2)
    await cut.streams.announce_version('llm', '')
    store.clock.now += 2 * HORIZON_S
    await other.follow(2)
    assert await find_at(other, monkeypatch) == 'v1'
    cut.is_confirmed = False
    await cut.streams.announce_version('llm', '')
    assert await find_at(other, monkeypatch) is None


async def test_streams_that_wait_for_the_same_failing_announcement_are_logged_once(store, horizon):
    """Guards against a log line of each stream while the store is silent."""
    daemon = Daemon(store, registered={('llm', 'v1')}, is_writer=False)
    await daemon.follow(2)
    store.is_hanging = True
    async with anyio.create_task_group() as group:
        for _ in range(50):
            group.start_soon(daemon.streams.announce_version, 'llm', '')
    assert len(daemon.list_events(Event.STREAM_STORE_FAILED)) == 1


async def test_late_news_of_a_written_version_does_not_count_as_its_row(
    store,
    horizon,
    monkeypatch,
):
    """Guards against news that waited in the socket of a suspended daemon, as its row is older."""
    frozen, other = (
        Daemon(store, name, registered={('llm', 'v1')}, is_writer=False)
        for name in ('frozen-1', 'other-1')
    )
    for daemon in (frozen, other):
        await daemon.follow(2)
    await other.streams.announce_version('llm', '')
    store.clock.now += 2 * HORIZON_S
    frozen.is_confirmed = False
    frozen.streams.learn_begun('llm', '', is_written=True)
    frozen.is_confirmed = True
    await frozen.streams.announce_version('llm', '')
    started = Daemon(store, 'started-1', registered={('llm', 'v1')}, is_writer=False)
    await started.follow(1)
    assert await find_at(started, monkeypatch) is None


async def test_unknown_version_is_sent_to_the_other_daemons_by_datagram():
    """Guards against announcements that get lost between the streams and the socket."""
    sender = build_edge(attrs.evolve(SETTINGS, host='127.0.0.1', heartbeat_port=0))
    receiver = build_edge(attrs.evolve(SETTINGS, name='other', host='127.0.0.2', heartbeat_port=0))
    sent = []

    class Socket:
        def send(self, message, hosts):
            sent.append(message.SerializeToString())

    news = VersionNews(sender.state, Socket())
    news.send('llm', '', is_written=False)
    # Odd ones are dropped.
    news.send('llm', 'v\n', is_written=True)
    news.send('', 'v1', is_written=True)
    for datagram in sent:
        _make_receiver(receiver)(pb.EdgeHeartbeat.FromString(datagram))
    assert list(receiver.relay.origins.history.list_last_seen()) == [('llm', '')]
    for daemon in (sender, receiver):
        await daemon.close()


async def test_streams_are_written_while_a_restore_may_have_lost_versions(store):
    """Guards against streams that no other daemon can continue, as it cannot know all versions."""
    store.era = 2
    daemon = Daemon(store, registered={('llm', 'v1')}, is_writer=False)
    await daemon.follow(2)
    assert not daemon.streams.is_history_complete()
    digest = daemon.begin(1, OLD)
    await daemon.write(2)
    assert digest in store.list_origins()
