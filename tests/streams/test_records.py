from camphorpath.streams import (
    KnownOrigin,
    Origin,
    Source,
    StreamRecords,
    VersionHistory,
    digest_stream,
)
from camphorpath.streams.records import MAX_RECORD_COUNT

V1, V2 = Origin('llm', 'v1'), Origin('llm', 'v2')


def test_own_record_is_not_replaced_by_that_of_others():
    """Guards against an older record of a peer that replaces what this daemon sent itself."""
    records = StreamRecords()
    records.record(b'1', V1, 5)
    assert records.adopt(digest_stream(b'1'), KnownOrigin(V2, 6, Source.PEER)).origin == V1
    assert records.adopt(digest_stream(b'2'), KnownOrigin(V2, 6, Source.STORE)).origin == V2
    assert records.find(digest_stream(b'2')).source is Source.STORE


def test_records_of_a_service_stay_unwritten_until_they_are_wanted():
    """Guards against streams of before a release that nobody knows after a kill."""
    records = StreamRecords()
    records.record(b'1', V1, 5)
    assert not records.drain_unwritten(lambda service: False)
    assert records.drain_unwritten(lambda service: service == 'llm') == {digest_stream(b'1'): V1}
    assert not records.drain_unwritten(lambda service: True)
    assert records.find(digest_stream(b'1'))


def test_old_records_are_dropped():
    """Guards against memory that grows with the streams, and records that outlive their use."""
    records = StreamRecords()
    records.record(b'1', V1, 5)
    records.record(b'2', V1, 6)
    records.record(b'1', V1, 7)
    records.expire(7)
    assert records.find(digest_stream(b'1'))
    assert not records.find(digest_stream(b'2'))
    assert len(records.drain_unwritten(lambda service: True)) == 1
    for number in range(MAX_RECORD_COUNT + 1):
        records.record(b'n%d' % number, V1, 8)
    assert not records.find(digest_stream(b'1'))


def test_version_that_was_registered_within_the_horizon_counts():
    """Guards against streams that are taken for ones of the only version that is left."""
    history = VersionHistory()
    history.record('llm', 'v1', 10)
    history.record('llm', 'v2', 30)
    history.record('other', 'v9', 30)
    history.record('llm', 'v1', 5)
    assert history.list_since('llm', 10) == {'v1', 'v2'}
    assert history.is_mixed('llm', 10)
    assert not history.is_mixed('llm', 11)
    history.expire(20)
    assert set(history.list_last_seen()) == {('llm', 'v2'), ('other', 'v9')}


def test_later_record_of_a_daemon_replaces_an_earlier_one():
    """Guards against a version that its daemon no longer states."""
    records = StreamRecords()
    digest = digest_stream(b'1')
    records.adopt(digest, KnownOrigin(V1, 5, Source.PEER, 'daemon-1', 2))
    records.adopt(digest, KnownOrigin(V2, 6, Source.PEER, 'daemon-1', 1))
    assert records.find(digest).origin == V1
    records.adopt(digest, KnownOrigin(Origin('llm', ''), 4, Source.PEER, 'daemon-1', 3))
    assert records.find(digest).origin == Origin('llm', '')


def test_version_stays_unknown_once_daemons_disagreed():
    """Guards against the choice of the version that was stated last."""
    records = StreamRecords()
    digest = digest_stream(b'1')
    for number, (daemon, origin) in enumerate((('a', V1), ('b', V1), ('b', V2), ('a', V1))):
        records.adopt(digest, KnownOrigin(origin, 5, Source.PEER, daemon, number))
    assert records.find(digest).origin == Origin('llm', '')


def test_own_record_replaces_what_was_learned():
    """Guards against a daemon that trusts others more than what it sent itself."""
    records = StreamRecords()
    records.adopt(digest_stream(b'1'), KnownOrigin(V2, 5, Source.PEER, 'daemon-1', 1))
    records.record(b'1', V1, 6)
    known = records.find(digest_stream(b'1'))
    assert (known.origin, known.source) == (V1, Source.OWN)
    assert records.drain_uncopied() == records.list_own(10) == {digest_stream(b'1'): known}
    assert not records.drain_uncopied()
