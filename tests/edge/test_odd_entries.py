"""Odd entries of another writer among those of the upstreams of a running daemon."""

import base64
import contextlib

import anyio
import attrs
import httpx
import orjson
import pytest
from loguru import logger

from camphorpath.cluster.follower import Follower
from camphorpath.platform.store import MetadataStore
from camphorpath.platform.wire import UPSTREAM_TABLE
from camphorpath.relay.server import serve_calls
from camphorpath.relay.sockets import open_listener
from camphorpath.schema import camphorpath_pb2 as pb

from ..relay.support import (
    answer_with,
    ask,
    make_answer,
    make_request,
    open_upstream,
    run,
    wait_for,
)
from .fleet import make_state

NESTING = b'[' * 100_000 + b']' * 100_000
# Deeper than Python can render, but not deeper than what the decoder accepts.
DECODED_NESTING = b'[' * 1020 + b']' * 1020
FIELDS = {'runner_state': 'ready', 'service': 'llm', 'zone': 'a', 'slot_count': 4, 'born': 7}


def make_entry(address, **fields):
    return orjson.dumps({**FIELDS, 'address': address, **fields})


ODD_ENTRIES = {
    'a port out of range': make_entry('127.0.0.1:70000'),
    'a port too large': make_entry(f'127.0.0.1:{"9" * 5000}'),
    'a host with a null': make_entry('127.0.0.1\0:80'),
    'a number too large': make_entry('127.0.0.1:9', slot_count=10**18),
    'a start too late': make_entry('127.0.0.1:9', born=1e300),
    'very deeply nested': NESTING,
    'a deeply nested field': make_entry('127.0.0.1:9').replace(b'"a"', DECODED_NESTING),
}


@attrs.define
class OddStore:
    """A store of one table that sends the rows that changed since a revision."""

    rows: list = attrs.field(factory=list)
    revision: int = 1

    def put(self, *rows):
        self.revision += 1
        self.rows += [{'row_version': self.revision, **row} for row in rows]

    async def answer(self, request):
        if request.url.params['table_name'] != UPSTREAM_TABLE:
            return self._reply([])
        if request.url.path.endswith('rows-get'):
            return self._reply(self.rows)
        after = int(request.url.params['after_revision'])
        with anyio.move_on_after(0.2):
            while self.revision <= after:  # noqa: ASYNC110  there is no event
                await anyio.sleep(0.01)
        return self._reply(
            [row for row in self.rows if not row['row_version'] or row['row_version'] > after]
        )

    def _reply(self, rows):
        body = {'rows': rows, 'row_version': self.revision, 'has_more': False}
        return httpx.Response(200, content=orjson.dumps(body))


def make_raw_row(key, content, **fields):
    value = base64.b64encode(content).decode()
    return {'table_name': UPSTREAM_TABLE, 'part': '', 'key': key, 'value': value, **fields}


@contextlib.asynccontextmanager
async def open_daemon(odd_store):
    """Serve callers at a daemon that follows a store; yield its state and its port."""
    state = make_state('a', [])
    store = MetadataStore('http://store', httpx.MockTransport(odd_store.answer))
    async with httpx.AsyncClient() as peers, anyio.create_task_group() as group:
        follower = Follower(
            store=store,
            rows=state.rows,
            events=state.relay.events,
            peers=peers,
            is_watcher=lambda: True,
            on_store_disruption=lambda: None,
            announce=lambda changes, after: state.make_announcement(changes, after),
            on_hosts=lambda hosts: None,
            is_same_region=lambda zone: True,
        )
        listener = open_listener('127.0.0.1:0')
        group.start_soon(follower.watch_upstreams)
        group.start_soon(serve_calls, state.relay, listener, group)
        yield state, listener.getsockname()[1]
        # The heartbeat loop of a daemon ends if its upstreams cannot be reported.
        state.make_heartbeat().SerializeToString()
        group.cancel_scope.cancel()
    listener.close()
    await store.close()


def get_addresses(state):
    return {entry.upstream.address for entry in state.relay.scheduler.slots.values()}


@pytest.mark.parametrize('problem', ODD_ENTRIES)
def test_odd_entry_ends_no_daemon_and_hides_no_change(problem):
    """Guards against one odd entry that ends the daemons which read it or call its address."""

    async def test():
        first, second = answer_with(make_answer()), answer_with(make_answer(b'later'))
        async with open_upstream(first) as one, open_upstream(second) as two:
            store = OddStore()
            # The odd entry is named so that calls would be sent to it first.
            store.put(make_raw_row('a', ODD_ENTRIES[problem]))
            async with open_daemon(store) as (state, port):
                await wait_for(lambda: state.rows.upstreams_revision == 2, 3)
                refused = await ask(port, make_request())
                assert refused[0] == 503
                store.put(make_raw_row('b', make_entry(f'127.0.0.1:{one.port}')))
                await wait_for(lambda: get_addresses(state) == {f'127.0.0.1:{one.port}'}, 3)
                status, _head, body = await ask(port, make_request())
                assert (status, body) == (200, b'ok')
                # An upstream that was valid before gets no calls while its entry is odd.
                store.put(make_raw_row('b', ODD_ENTRIES[problem]))
                await wait_for(lambda: not get_addresses(state), 3)
                store.put(make_raw_row('c', make_entry(f'127.0.0.1:{two.port}')))
                await wait_for(lambda: bool(get_addresses(state)), 3)
                status, _head, body = await ask(port, make_request())
                assert (status, body) == (200, b'later')

    run(test)


@pytest.mark.parametrize(
    'fields', [{'value': None}, {'value': 'é'}, {'value': 5}, {'key': None}, {'row_version': 1e30}]
)
def test_odd_row_hides_no_change(fields):
    """Guards against daemons that stop following the upstreams for one row that cannot be read."""

    async def test():
        store = OddStore()
        store.put(
            make_raw_row('a', make_entry('10.0.0.1:1')),
            {**make_raw_row('odd', make_entry('10.0.0.2:1')), **fields},
        )
        async with open_daemon(store) as (state, _port):
            await wait_for(lambda: '10.0.0.1:1' in get_addresses(state), 3)
            store.put(make_raw_row('b', make_entry('10.0.0.3:1')))
            await wait_for(lambda: '10.0.0.3:1' in get_addresses(state), 3)
            store.put(make_raw_row('a', b'', is_deleted=True))
            await wait_for(lambda: '10.0.0.1:1' not in get_addresses(state), 3)

    run(test)


def test_odd_entry_is_logged_once():
    """Guards against a line in the log for each rewrite of an odd entry."""
    records = []
    handler = logger.add(lambda message: records.append(message.record))
    state = make_state('a', [])
    for revision in range(1, 4):
        state._apply_upstream('i-1', ODD_ENTRIES['a port out of range'], revision)
    logger.remove(handler)
    lines = [record for record in records if record['message'] == 'upstream_entry_invalid']
    assert len(lines) == 1
    state._apply_upstream('i-1', None, 4)
    assert not state._invalid_checksums


@pytest.mark.parametrize('problem', ODD_ENTRIES)
def test_daemon_that_holds_an_odd_entry_sends_heartbeats(problem):
    """Guards against a number of an entry that ends each daemon which reports it to its peers."""
    state = make_state('a', [])
    state._apply_upstream('i-1', ODD_ENTRIES[problem], 1)
    state.reassign()
    assert state.make_heartbeat().SerializeToString()
    for upstream in state.view.all():
        assert pb.LeavingUpstream(incarnation=upstream.incarnation)
