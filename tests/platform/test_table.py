import httpx
import pytest

from camphorpath.errors import TableOutcomeUnknown, TableUnavailable
from camphorpath.platform import Check, Row, Table, Write
from camphorpath.platform import table as table_module
from camphorpath.schema import camphorpath_pb2 as pb
from standins.platform import serve_platform

pytestmark = pytest.mark.anyio


def names(events):
    return [record.name for record in events.select(pb.TimelineRequest())]


async def test_commit_checks_revisions(table):
    """Guards against a write that ignores a concurrent change of the row."""
    assert await table.commit([Check('a/1', 0)], [Write('a/1', b'one')])
    row = await table.read('a/1')
    assert not await table.commit([Check('a/1', 0)], [Write('a/1', b'two'), Write('a/2', b'')])
    assert await table.read('a/1') == row
    assert await table.read('a/2') is None
    assert await table.commit([Check('a/1', row.revision)], [Write('a/1', None)])
    assert await table.read('a/1') is None


async def test_inserts_of_one_batch_are_independent(table, platform):
    """Guards against an existing row that makes the other inserts of its batch fail."""
    await table.commit([], [Write('a/1', b'old')])
    revision = (await table.read('a/1')).revision
    found = await table.insert_all([Write('a/1', b'new'), Write('a/2', b'new')])
    assert found == [Row('a/1', b'old', revision), None]
    assert platform.counters.writes == 2


async def test_scan_is_bounded_by_prefix_limit_and_start(table):
    """Guards against a scan that reads rows of another kind, or the same page endlessly."""
    await table.commit([], [Write(key, b'') for key in ('a/1', 'a/2', 'a/3', 'a0', 'b/1')])
    assert [row.key for row in await table.scan('a/')] == ['a/1', 'a/2', 'a/3']
    assert [row.key for row in await table.scan('a/', limit=1, after='a/1')] == ['a/2']


async def test_lost_answer_is_unsure_and_took_effect(table, platform, events):
    """Guards against a write with a lost answer that is reported as without effect."""
    platform.change_faults(lose_next=1)
    with pytest.raises(TableOutcomeUnknown) as caught:
        await table.commit([], [Write('a', b'one')])
    assert caught.value.peer == platform.url
    assert not table.is_up
    assert (await table.read('a')).value == b'one'
    assert table.is_up
    assert names(events) == ['table_down', 'table_up']


async def test_error_that_states_no_effect_is_down(table, platform, events):
    """Guards against one event per failed operation during an outage."""
    platform.change_faults(down=True)
    for _ in range(3):
        with pytest.raises(TableUnavailable):
            await table.commit([], [Write('a', b'one')])
        with pytest.raises(TableUnavailable):
            await table.read('a')
    assert names(events) == ['table_down']


async def test_refused_connection_is_down(platform, settings, events):
    """Guards against TableOutcomeUnknown without a connection, which would delay each refusal."""
    async with serve_platform(type(platform)()) as other:
        table = Table(pb.Platform(table_url=other.url, table_timeout=5), events)
        await table.commit([], [Write('a', b'')])
    with pytest.raises(TableUnavailable):
        await table.commit([], [Write('a', b'')])
    await table.close()


@pytest.mark.parametrize('fault', ['slow_ms', 'slow_answer_ms'])
async def test_write_without_answer_in_time_is_unsure(table, settings, platform, fault):
    """Guards against a timeout that counts as a write without effect."""
    await table.read('a')
    settings.table_timeout = 0.1
    platform.change_faults(**{fault: 600_000})
    with pytest.raises(TableOutcomeUnknown):
        await table.commit([], [Write('a', b'')])
    with pytest.raises(TableUnavailable):
        await table.read('a')


async def test_status_503_without_statement_of_effect_is_unsure(table, platform):
    """Guards against a 503 sent after the write took effect that counts as no effect."""
    platform.change_faults(next_writes=['unclear'])
    with pytest.raises(TableOutcomeUnknown):
        await table.commit([], [Write('a', b'one')])
    assert (await table.read('a')).value == b'one'


async def test_other_error_statuses_are_unsure(table, platform):
    """Guards against any error status that counts as no effect."""
    writes = [Write('a', b''), Write('a', b'')]
    with pytest.raises(TableOutcomeUnknown):
        await table.commit([], writes)


async def test_reads_after_an_outage_are_spread(settings, events, platform, monkeypatch):
    """Guards against all daemons reading at the moment at which the table is available again."""
    draws = []

    class Draw:
        def uniform(self, low, high):
            draws.append((low, high))
            return 0

    table = Table(settings, events, rng=Draw())
    await table.read('a')
    platform.change_faults(down=True)
    with pytest.raises(TableUnavailable):
        await table.read('a')
    assert draws == []
    monkeypatch.setattr(table_module, 'MIN_OUTAGE_S', 0)
    platform.change_faults(down=False)
    await table.read('a')
    await table.read('a')
    assert draws == [(0, table_module.RECOVERY_SPREAD_S)] * 2
    await table.close()


@pytest.mark.parametrize('status', [200, 503])
@pytest.mark.parametrize('body', [b'', b'[]', b'{"kvs": [5]}', b'[' * 100_000, b'[' * 1020])
async def test_odd_answer_is_an_outage(events, status, body):
    """Guards against an answer of the table that ends the daemon, such as a deeply nested one."""
    transport = httpx.MockTransport(lambda request: httpx.Response(status, content=body))
    settings = pb.Platform(table_url='http://platform', table_timeout=1)
    table = Table(settings, events, transport=transport)
    with pytest.raises(TableUnavailable):
        await table.read('a')
    await table.close()
