import asyncio
import base64
import contextlib

import anyio
import httpx
import orjson
import pytest

from camphorpath.errors import (
    HistoryCompacted,
    RowsChanged,
    TableOutcomeUnknown,
    TableUnavailable,
)
from camphorpath.platform.revisions import make_revision
from camphorpath.platform.store import MetadataStore, RowWrite

from ..relay.support import flood_connections, watch_event_loop


def make_row(key, content=b'x', revision=1, **fields):
    return {
        'table_name': 't',
        'part': '',
        'key': key,
        'value': base64.b64encode(content).decode(),
        'row_version': revision,
        **fields,
    }


def run(test, answer):
    """Run a test, within 10 s, with a store client whose requests `answer` replies to."""

    async def run_with_timeout():
        store = MetadataStore('http://store', httpx.MockTransport(answer))
        with anyio.fail_after(10):
            await test(store)
        await store.close()

    anyio.run(run_with_timeout)


def reply(document, status=200):
    return httpx.Response(status, content=orjson.dumps(document))


def test_pages_are_joined():
    """Guards against rows beyond the first page that count as removed."""

    def answer(request):
        if request.url.params.get('range_start') == 'a\0':
            return reply({'rows': [make_row('b')], 'row_version': 8, 'has_more': False})
        return reply({'rows': [make_row('a')], 'row_version': 7, 'has_more': True})

    async def test(store):
        rows = await store.read_table('t')
        assert [row.key for row in rows.rows] == ['a', 'b']
        assert rows.revision == 7

    run(test, answer)


def test_pages_that_do_not_advance_are_an_outage():
    """Guards against a daemon that reads the same page without end and runs out of memory."""
    page = {'rows': [make_row('a')], 'row_version': 7, 'has_more': True}

    async def test(store):
        with pytest.raises(TableUnavailable):
            await store.read_table('t')

    run(test, lambda request: reply(page))


def test_rows_of_a_part_are_read():
    """Guards against a lookup that reads the rows of another part."""

    def answer(request):
        row = make_row(request.url.params['part'])
        return reply({'rows': [row], 'row_version': 7, 'has_more': False})

    async def test(store):
        assert [row.key for row in (await store.read_table('t', 'p')).rows] == ['p']
        assert [row.key for row in (await store.read_table('t')).rows] == ['']

    run(test, answer)


@pytest.mark.parametrize('states_more', [True, False])
def test_pages_of_parts_are_joined(states_more):
    """Guards against streams of a daemon that is gone beyond the first page of parts."""
    parts = [f'p{number:04}' for number in range(2500)]

    def answer(request):
        after = request.url.params.get('after_revision', '')
        assert request.url.path == '/camphorpath/rows-parts'
        left = [part for part in parts if part > after]
        more = {'has_more': len(left) > 1000} if states_more else {}
        return reply({'parts': left[:1000], **more})

    async def test(store):
        assert await store.list_parts('t') == parts

    run(test, answer)


@pytest.mark.parametrize(
    'document',
    [{'parts': ['a', 'b'], 'has_more': True}, {'parts': 5}, {}, {'parts': ['a'] * 1000}],
)
def test_parts_that_do_not_advance_or_are_missing_are_an_outage(document):
    """Guards against a daemon that reads the same page of parts without end."""

    async def test(store):
        with pytest.raises(TableUnavailable):
            await store.list_parts('t')

    run(test, lambda request: reply(document))


def test_rows_of_a_transaction_are_in_one_part():
    """Guards against rows of a batch that are written in part, or to another part."""
    bodies = []

    def answer(request):
        bodies.append(orjson.loads(request.content))
        return reply({'row_version': 5, 'server_time_ms': 7500})

    async def test(store):
        written = await store.write_rows('t', 'p', {'a': b'1', 'b': b''}, ('c',))
        assert written.store_time_s == 7.5
        await store.write_row('t', 'k', None)

    run(test, answer)
    place = {'table_name': 't', 'part': 'p'}
    assert bodies[0] == {
        'expected_revision': [],
        'write': [
            {**place, 'key': 'a', 'value': base64.b64encode(b'1').decode()},
            {**place, 'key': 'b', 'value': ''},
        ],
        'remove': [{**place, 'key': 'c'}],
    }
    removed = {'table_name': 't', 'part': '', 'key': 'k'}
    assert bodies[1] == {'expected_revision': [], 'write': [], 'remove': [removed]}


@pytest.mark.parametrize(
    ('stated', 'store_time_s'),
    [
        ({'server_time_ms': 7500}, 7.5),
        ({'server_time_ms': 0}, 0),
        ({}, None),
        ({'server_time_ms': '7500'}, None),
        ({'server_time_ms': True}, None),
        ({'server_time_ms': -1}, None),
        ({'server_time_ms': 1e300}, None),
        ({'server_time_ms': [1]}, None),
    ],
)
def test_missing_or_odd_store_time_is_tolerated(stated, store_time_s):
    """Guards against an outage, or ages of centuries, because of an odd time of the store."""

    async def test(store):
        assert (await store.read_table('t')).store_time_s == store_time_s
        assert (await store.write_rows('t', '', {'a': b'1'})).store_time_s == store_time_s

    run(test, lambda request: reply({'rows': [], 'row_version': 1, **stated}))


def test_write_with_an_unreadable_answer_has_an_effect():
    """Guards against a write that counts as not made although the store confirmed it."""

    async def test(store):
        assert (await store.write_rows('t', '', {'a': b'1'})).store_time_s is None

    run(test, lambda request: httpx.Response(200, content=b'x'))


WRITES = (
    RowWrite('t', 'k', b'1', make_revision(3, 7)),
    RowWrite('u', 'k', b'2', 0),
    RowWrite('u', 'l', b'3'),
)


def test_conditions_of_a_transaction_over_two_tables():
    """Guards against a phase that replaces another one, as its condition is missing or wrong."""
    bodies = []

    def answer(request):
        bodies.append(orjson.loads(request.content))
        return reply_in_era(3, {'row_version': 9})

    async def test(store):
        assert (await store.commit_rows(WRITES)).revision == make_revision(3, 9)

    run(test, answer)
    first = {'table_name': 't', 'part': '', 'key': 'k'}
    second = {'table_name': 'u', 'part': '', 'key': 'k'}
    assert bodies[0]['expected_revision'] == [
        {**first, 'row_version': 7},
        {**second, 'row_version': 0},
    ]
    values = [(row['table_name'], row['key'], row['value']) for row in bodies[0]['write']]
    assert values == [('t', 'k', 'MQ=='), ('u', 'k', 'Mg=='), ('u', 'l', 'Mw==')]


@pytest.mark.parametrize(
    ('status', 'era', 'expected'),
    [
        (412, 3, RowsChanged),
        (503, 3, TableUnavailable),
        (429, 3, TableUnavailable),
        (500, 3, TableOutcomeUnknown),
        (200, 4, TableOutcomeUnknown),
    ],
)
def test_transaction_that_was_not_made_is_told_from_one_that_may_have_been(status, era, expected):
    """Guards against a phase that counts as stored or not stored against the facts."""

    async def test(store):
        with pytest.raises(expected):
            await store.commit_rows(WRITES)

    run(test, lambda request: reply_in_era(era, {'row_version': 9}, status))


def test_change_between_two_pages_is_not_skipped():
    """Guards against calls to an upstream whose row was removed while a long table was read."""

    def answer(request):
        if request.url.path.endswith('rows-feed'):
            after = int(request.url.params['after_revision'])
            rows = [make_row('a', revision=8, is_deleted=True)] if after < 8 else []
            return reply({'rows': rows, 'row_version': 8})
        if request.url.params.get('range_start') == 'a\0':
            return reply({'rows': [make_row('b')], 'row_version': 8, 'has_more': False})
        return reply({'rows': [make_row('a')], 'row_version': 7, 'has_more': True})

    async def test(store):
        listed = await store.read_table('t')
        changes = await store.read_changes('t', listed.revision, 0)
        assert [(row.key, row.value) for row in changes.rows] == [('a', None)]

    run(test, answer)


def test_removed_and_unreadable_rows():
    """Guards against one malformed row that makes all others unreadable."""

    def answer(request):
        rows = [
            make_row('gone', is_deleted=True),
            make_row('bad', value='%%%'),
            make_row('good', b'1', 5),
        ]
        return reply({'rows': rows, 'row_version': 9})

    async def test(store):
        rows = (await store.read_changes('t', 3, 1)).rows
        assert [row.value for row in rows] == [None, b'', b'1']

    run(test, answer)


@pytest.mark.parametrize('status', [429, 500, 503])
def test_error_status_means_no_effect(status):
    """Guards against a write that counts as made although the store refused it."""

    async def test(store):
        with pytest.raises(TableUnavailable):
            await store.read_table('t')
        with pytest.raises(TableUnavailable):
            await store.write_row('t', 'k', b'1')

    run(test, lambda request: reply({}, status))


def test_dropped_history_is_reported():
    """Guards against missed changes because the feed continues after a gap."""

    async def test(store):
        with pytest.raises(HistoryCompacted):
            await store.read_changes('t', 3, 1)

    run(test, lambda request: reply({}, 410))


def test_write_without_answer_is_unsure():
    """Guards against a write that counts as not made although it may have been."""

    def answer(request):
        raise httpx.ReadError('reset')

    async def test(store):
        with pytest.raises(TableOutcomeUnknown):
            await store.write_row('t', 'k', None)

    run(test, answer)


@pytest.mark.parametrize(
    'content', [b'', b'[]', b'{"rows": 5}', b'{"rows": [], "row_version": {}}']
)
def test_unreadable_answer_is_an_outage(content):
    """Guards against an unexpected exception when the store sends a malformed answer."""

    async def test(store):
        with pytest.raises(TableUnavailable):
            await store.read_table('t')

    run(test, lambda request: httpx.Response(200, content=content))


@contextlib.asynccontextmanager
async def open_store(send):
    """Serve an answer with `send(writer)` over a real connection; yield a client for it."""

    async def accept(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        with contextlib.suppress(ConnectionError):
            await send(writer)
        writer.close()

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    store = MetadataStore('http://{}:{}'.format(*server.sockets[0].getsockname()[:2]))
    try:
        yield store
    finally:
        await store.close()
        server.close()


ANSWER = orjson.dumps({'rows': [make_row('a', b'x' * 150000)], 'row_version': 2})
HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(ANSWER)


@pytest.mark.anyio
async def test_long_answer_over_a_slow_link_is_read_completely():
    """Guards against a store that counts as unavailable while it sends a long manifest."""

    async def send(writer):
        writer.write(HEAD)
        for start in range(0, len(ANSWER), 32768):
            writer.write(ANSWER[start : start + 32768])
            await writer.drain()
            await asyncio.sleep(0.25)

    async with open_store(send) as store:
        rows = await store.read_changes('t', 1, 0)
    assert rows.rows[0].value == b'x' * 150000


@pytest.mark.anyio
async def test_answer_that_stalls_times_out():
    """Guards against a daemon that waits for a store that stopped sending."""

    async def send(writer):
        writer.write(HEAD + ANSWER[:500])
        await asyncio.sleep(5)

    async with open_store(send) as store:
        began_at = anyio.current_time()
        with pytest.raises(TableUnavailable):
            await store.read_changes('t', 1, 0)
        assert anyio.current_time() - began_at < 2


@pytest.mark.anyio
async def test_answer_that_trickles_times_out():
    """Guards against a daemon that keeps waiting for a store that sends single bytes."""

    async def send(writer):
        writer.write(HEAD)
        for _ in range(30):
            writer.write(b' ')
            await writer.drain()
            await asyncio.sleep(0.2)

    async with open_store(send) as store:
        began_at = anyio.current_time()
        with pytest.raises(TableUnavailable):
            await store.read_changes('t', 1, 0)
        assert anyio.current_time() - began_at < 4


@pytest.mark.parametrize('era', ['-1', '65536', 'x', ''])
def test_invalid_era_is_an_outage(era):
    """Guards against a daemon that ends because of a header of the store."""

    async def test(store):
        with pytest.raises(TableUnavailable):
            await store.read_table('t')

    content = orjson.dumps({'rows': [], 'row_version': 1})
    run(test, lambda request: httpx.Response(200, content=content, headers={'store-era': era}))


def reply_in_era(era, document, status=200):
    content = orjson.dumps(document)
    return httpx.Response(status, content=content, headers={'store-era': str(era)})


def test_revisions_rise_across_a_restore():
    """Guards against changes that count as old, as their versions were given out before."""

    async def read_revisions(era):
        row = make_row('a', revision=3)
        store = MetadataStore(
            'http://store',
            httpx.MockTransport(lambda _: reply_in_era(era, {'rows': [row], 'row_version': 9})),
        )
        rows = await store.read_table('t')
        return rows.rows[0].revision, rows.revision

    revisions = [revision for era in (1, 2, 65535) for revision in anyio.run(read_revisions, era)]
    assert revisions == sorted(revisions)
    assert revisions[:2] == [3, 9]
    assert revisions[-1] < 1 << 64


def test_changes_after_a_restore_lead_to_a_full_read():
    """Guards against changes that are skipped, as the last version was given out again."""
    queried = []

    def answer(request):
        if request.url.path.endswith('rows-get'):
            return reply_in_era(2, {'rows': [], 'row_version': 5})
        queried.append(request.url.params['after_revision'])
        return reply_in_era(3 if len(queried) > 1 else 2, {'rows': [], 'row_version': 7})

    async def test(store):
        listed = await store.read_table('t')
        changes = await store.read_changes('t', listed.revision, 0)
        with pytest.raises(HistoryCompacted):
            await store.read_changes('t', changes.revision, 0)
        assert queried == ['5', '7']

    run(test, answer)


def test_answer_from_before_a_restore_is_an_outage():
    """Guards against rows of before a restore that arrive after it."""

    def answer(request):
        era = 3 if request.url.path.endswith('rows-get') else 2
        return reply_in_era(era, {'rows': [make_row('a', revision=8)], 'row_version': 8})

    async def test(store):
        listed = await store.read_table('t')
        with pytest.raises(TableUnavailable) as raised:
            await store.read_changes('t', listed.revision, 0)
        assert not isinstance(raised.value, HistoryCompacted)

    run(test, answer)


def test_pages_from_before_and_after_a_restore_are_not_joined():
    """Guards against upstreams that are missing, as half of the table was read before a restore."""

    def answer(request):
        if 'range_start' in request.url.params:
            return reply_in_era(2, {'rows': [make_row('b')], 'row_version': 8})
        return reply_in_era(1, {'rows': [make_row('a')], 'row_version': 7, 'has_more': True})

    async def test(store):
        with pytest.raises(TableUnavailable):
            await store.read_table('t')

    run(test, answer)


@pytest.mark.parametrize('version', [-1, 1 << 48])
def test_invalid_version_is_an_outage(version):
    """Guards against a version that reads as one of another era."""

    async def test(store):
        with pytest.raises(TableUnavailable):
            await store.read_table('t')

    run(test, lambda request: reply({'rows': [], 'row_version': version}))


@pytest.mark.parametrize('listing', ['rows', 'parts'])
def test_listing_whose_pages_do_not_end_is_an_outage(listing):
    """Guards against a daemon that joins pages until it runs out of memory."""

    def answer(request):
        start = request.url.params.get('range_start') or request.url.params.get('after_revision')
        first = int((start or '0').rstrip('\0')) + 1
        names = [f'{number:0100}' for number in range(first, first + 500)]
        if listing == 'parts':
            return reply({'parts': names, 'has_more': True})
        rows = [make_row(name, b'x' * 1500) for name in names]
        return reply({'rows': rows, 'row_version': 7, 'has_more': True})

    async def test(store):
        read = store.read_table if listing == 'rows' else store.list_parts
        for _ in range(2):
            with pytest.raises(TableUnavailable, match='too long'):
                await read('t')

    run(test, answer)


def test_changes_that_exceed_an_answer_lead_to_a_full_read():
    """Guards against a daemon that cannot catch up as its changes are too many for one answer."""

    def answer(request):
        if request.url.path.endswith('rows-feed'):
            return reply({'rows': [make_row('a', bytes(4 << 20), revision=8)], 'row_version': 8})
        return reply({'rows': [make_row('a', b'1', revision=8)], 'row_version': 8})

    async def test(store):
        with pytest.raises(HistoryCompacted, match='exceeds'):
            await store.read_changes('t', 7, 0)
        assert (await store.read_table('t')).rows[0].value == b'1'

    run(test, answer)


def test_long_listing_is_read_completely():
    """Guards against a limit that refuses the listings of large deployments."""
    names = [f'{number:06}' for number in range(10000)]

    def answer(request):
        start = request.url.params.get('range_start', '').rstrip('\0')
        first = names.index(start) + 1 if start else 0
        rows = [make_row(name, b'x' * 600) for name in names[first : first + 500]]
        has_more = first + 500 < len(names)
        return reply({'rows': rows, 'row_version': 7, 'has_more': has_more})

    async def test(store):
        assert [row.key for row in (await store.read_table('t')).rows] == names

    run(test, answer)


@pytest.mark.anyio
async def test_endless_listing_in_short_chunks_does_not_stop_the_daemon():
    """Guards against a store whose answer keeps the daemon from answering its callers."""
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    with flood_connections(head, b'1\r\n \r\n' * 40000) as flood:
        store = MetadataStore(f'http://{flood.host}:{flood.port}')
        async with watch_event_loop() as longest:
            with pytest.raises(TableUnavailable):
                await store.read_table('t')
            with pytest.raises(TableOutcomeUnknown):
                await store.write_row('t', 'a', b'x')
        await store.close()
    assert longest[0] < 0.25
