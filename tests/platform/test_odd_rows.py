"""Rows that another writer left in a table of the metadata store."""

import base64

import anyio
import httpx
import hypothesis
import hypothesis.strategies as st
import orjson
import pytest

from camphorpath.errors import PlatformError, TableUnavailable
from camphorpath.platform.entries import decode_upstream
from camphorpath.platform.store import MetadataStore
from camphorpath.schema import camphorpath_pb2 as pb

from .test_manifest import ENTRY
from .test_odd_entries import VALUES
from .test_store import make_row

REVISION = 9


def read_rows(body):
    """Return the rows of a listing and of the changes whose answer has the given body."""

    async def read():
        store = MetadataStore(
            'http://store', httpx.MockTransport(lambda request: httpx.Response(200, content=body))
        )
        listed, changes = await store.read_table('t'), await store.read_changes('t', 1, 0)
        await store.close()
        return listed, changes

    return anyio.run(read)


def make_answer(*rows, revision=REVISION):
    return orjson.dumps({'rows': rows, 'row_version': revision, 'has_more': False})


ROW = make_row('odd', revision=5)
NO_VALUE = {name: ROW[name] for name in ROW if name != 'value'}
NO_VERSION = {name: ROW[name] for name in ROW if name != 'row_version'}
NO_KEY = {name: ROW[name] for name in ROW if name != 'key'}


@pytest.mark.parametrize('value', [None, 5, 1e300, [], {}, True, 'é', '%%%', 'abc', '\0'])
def test_row_with_an_unreadable_value_is_empty(value):
    """Guards against one row whose value is no base64 and that makes all others unreadable."""
    for rows in read_rows(make_answer(make_row('a'), {**ROW, 'value': value}, make_row('b'))):
        assert [row.key for row in rows.rows] == ['a', 'odd', 'b']
        with pytest.raises(PlatformError):
            decode_upstream('odd', rows.rows[1].value)


def test_row_without_a_value_is_empty():
    """Guards against one row without a value that makes all others unreadable."""
    for rows in read_rows(make_answer(NO_VALUE, make_row('a'))):
        assert [(row.key, row.value) for row in rows.rows] == [('odd', b''), ('a', b'x')]


@pytest.mark.parametrize(
    'row',
    [NO_VERSION, *({**ROW, 'row_version': found} for found in (None, 'x', -1, 1e300, [], {}))],
)
def test_row_without_a_valid_revision_is_as_new_as_the_answer(row):
    """Guards against a revision that peers cannot be sent, or that hides all later changes."""
    for rows in read_rows(make_answer(row, make_row('a'))):
        assert [(found.key, found.revision) for found in rows.rows] == [('odd', REVISION), ('a', 1)]


@pytest.mark.parametrize(
    'row', [NO_KEY, *({**ROW, 'key': key} for key in (None, 5, [], {})), 5, None]
)
def test_row_without_a_key_is_skipped_and_counted(row):
    """Guards against one row that cannot be named and makes all others unreadable."""
    for rows in read_rows(make_answer(make_row('a'), row, make_row('b'))):
        assert [found.key for found in rows.rows] == ['a', 'b']
        assert rows.skipped_count == 1
        assert rows.revision == REVISION


@pytest.mark.parametrize('revision', [None, 'x', -1, 1e300, 2**63, [], {}])
def test_answer_without_a_valid_revision_is_an_outage(revision):
    """Guards against changes that are skipped, or a daemon that ends, for a revision too large."""
    with pytest.raises(TableUnavailable):
        read_rows(make_answer(make_row('a'), revision=revision))


ROW_FIELDS = {name: st.just(ROW[name]) | VALUES for name in ROW}
ODD_ROWS = st.fixed_dictionaries({}, optional={**ROW_FIELDS, 'is_deleted': VALUES}) | VALUES


@hypothesis.given(st.lists(ODD_ROWS, max_size=4), st.integers(0, 4))
def test_any_row_leaves_the_others_readable(odd, position):
    """Guards against a row of another writer that hides those of the upstreams."""
    good = make_row('good', orjson.dumps(ENTRY), 7)
    listing = [*odd[:position], good, *odd[position:]]
    for rows in read_rows(make_answer(*listing)):
        found = [row for row in rows.rows if row.key == 'good' and row.revision == 7]
        assert base64.b64decode(good['value']) in [row.value for row in found]
        for row in rows.rows:
            pb.SharedRow(key=row.key, content=row.value or b'', revision=row.revision)
        assert len(rows.rows) + rows.skipped_count == len(listing)


@hypothesis.given(st.binary(max_size=200) | VALUES.map(orjson.dumps))
def test_any_answer_of_the_store_is_rows_or_an_outage(body):
    """Guards against an answer that ends the daemon."""
    try:
        read_rows(body)
    except TableUnavailable:
        return
