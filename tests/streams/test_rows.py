import pytest
from hypothesis import given
from hypothesis import strategies as st

from camphorpath.errors import PlatformError
from camphorpath.streams import Origin, digest_stream
from camphorpath.streams.rows import (
    HEAD,
    MAX_ROW_BYTES,
    MAX_ROW_COUNT,
    OwnRows,
    VersionRow,
    decode_row,
    decode_version_row,
    encode_row,
    encode_version_row,
    make_version_key,
)

NAMES = st.text(st.characters(exclude_categories=['Cs']), max_size=200)
ORIGINS = st.builds(Origin, NAMES, NAMES)
DIGESTS = st.binary(min_size=8, max_size=8)
ROW = encode_row({b'12345678': Origin('llm', 'v1'), b'abcdefgh': Origin('llm', 'v2')}, 7.5)


@given(st.dictionaries(DIGESTS, ORIGINS, max_size=20), st.integers(1, 1 << 50))
def test_row_is_read_as_it_was_written(origins, last_ms):
    """Guards against streams that go on at another software version after a kill."""
    row = decode_row(encode_row(origins, last_ms / 1000))
    assert row.origins == origins
    assert row.last_s == pytest.approx(last_ms / 1000)


def test_row_without_a_time_of_the_store_is_readable():
    """Guards against records that are lost, as the store stated no time."""
    row = decode_row(encode_row({b'12345678': Origin('llm', '')}, None))
    assert row.last_s is None
    assert row.origins == {b'12345678': Origin('llm', '')}


@pytest.mark.parametrize('size', [size for size in range(len(ROW)) if size != HEAD.size])
def test_row_that_is_cut_off_is_rejected(size):
    """Guards against a wrong software version from a damaged row."""
    try:
        origins = decode_row(ROW[:size]).origins
    except PlatformError:
        return
    # Cut between two origins.
    assert origins.items() < decode_row(ROW).origins.items()


@given(st.binary(max_size=80))
def test_any_content_is_read_or_rejected(content):
    """Guards against a daemon that ends because of a row that another writer left."""
    for damaged in (content, b'\1' + content):
        try:
            decode_row(damaged)
        except PlatformError as error:
            assert error.message


@pytest.mark.parametrize('content', [None, b'', b'{}', b'\2' + ROW[1:], ROW[:-1], ROW + b'x'])
def test_unreadable_row_is_rejected_with_a_reason(content):
    """Guards against rows of another format that are read as streams."""
    with pytest.raises(PlatformError):
        decode_row(content)


@given(NAMES, NAMES, st.none() | st.integers(0, 1 << 50))
def test_version_row_is_read_as_it_was_written(service, software_version, seen_ms):
    """Guards against versions that a daemon misses after its start."""
    row = VersionRow(service, software_version, None if seen_ms is None else seen_ms / 1000)
    found = decode_version_row(encode_version_row(row))
    assert (found.service, found.software_version) == (service, software_version)
    assert found.seen_s == (None if seen_ms is None else pytest.approx(seen_ms / 1000))


@given(st.none() | st.integers(1, 1 << 15), st.none() | st.integers(0, 1 << 50))
def test_version_row_states_its_era(era, complete_since_ms):
    """Guards against versions of a copy that count as all versions after a restore."""
    complete_since_s = None if complete_since_ms is None else complete_since_ms / 1000
    found = decode_version_row(
        encode_version_row(VersionRow('llm', 'v1', 1.0, era, complete_since_s))
    )
    assert found.era == era
    assert found.complete_since_s == (
        None if complete_since_ms is None else pytest.approx(complete_since_s)
    )


def test_version_row_of_an_older_build_has_no_known_era():
    """Guards against rows without an era that are rejected, or taken for ones of this era."""
    row = decode_version_row(b'{"service": "s", "version": "v", "seen_ms": 1000}')
    assert row == VersionRow('s', 'v', 1.0, None, None)


def test_keys_of_versions_differ():
    """Guards against two versions that overwrite each other's row."""
    pairs = [('a', 'b'), ('ab', ''), ('', 'ab'), ('a', '')]
    assert len({make_version_key(*pair) for pair in pairs}) == len(pairs)


@pytest.mark.parametrize(
    'content',
    [
        None,
        b'x',
        b'[]',
        b'5',
        b'{"service": "s", "version": "v"}',
        b'{"service": 1, "version": "v", "seen_ms": 1}',
        b'{"service": "s", "version": null, "seen_ms": 1}',
        b'{"service": "s", "version": "v", "seen_ms": "1"}',
        b'{"service": "s", "version": "v", "seen_ms": true}',
        b'{"service": "s", "version": "v", "seen_ms": 1, "era": true}',
        b'{"service": "s", "version": "v", "seen_ms": 1, "era": "2"}',
        b'{"service": "s", "version": "v", "seen_ms": 1, "complete_since_ms": "1"}',
    ],
)
def test_unreadable_version_row_is_rejected(content):
    """Guards against a daemon that ends because of a row that another writer left."""
    with pytest.raises(PlatformError):
        decode_version_row(content)


def list_rows(rows):
    return rows.list_unwritten(lambda _: False, MAX_ROW_COUNT)


def test_rows_hold_at_most_512_bytes():
    """Guards against rows that the store refuses, and transactions that get too long."""
    rows = OwnRows()
    for number in range(500):
        origin = Origin('llm', f'v{number % 3}')
        rows.add({digest_stream(b'%d' % number): origin}, 100)
    contents = [encode_row(row.origins, 1) for row in list_rows(rows)]
    assert max(map(len, contents)) <= MAX_ROW_BYTES
    assert len(contents) == 9
    assert sum(len(decode_row(content).origins) for content in contents) == 500


def test_rows_of_a_store_that_is_away_are_bounded():
    """Guards against a daemon that runs out of memory while the store is away."""
    rows = OwnRows()
    for number in range(MAX_ROW_COUNT + 9):
        rows.add({digest_stream(b'%d' % number): Origin('llm', 'v1')}, 100 + 2 * number)
    unwritten = rows.list_unwritten(lambda _: False, 2 * MAX_ROW_COUNT)
    assert len(unwritten) == MAX_ROW_COUNT
    assert digest_stream(b'%d' % (MAX_ROW_COUNT + 8)) in unwritten[-1].origins
