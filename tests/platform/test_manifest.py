import math

import orjson
import pytest

from camphorpath.errors import PlatformError
from camphorpath.platform.entries import decode_upstream
from camphorpath.platform.manifest import decode_manifest
from camphorpath.platform.reports import decode_memory
from camphorpath.routing import CallKind

ROUTE = {
    'name': 'r1',
    'hostname': 'Shop.example',
    'prefix': '/a/',
    'route_type': 'streaming',
    'timeout_ms': 6000,
    'target_latency_ms': 600,
    'priority': 1,
    'service': 'llm',
    'max_attempts': 2,
    'stream_resume': True,
}
ENTRY = {
    'service': 'llm',
    'address': '10.0.0.9:8080',
    'zone': 'a',
    'slot_count': 5,
    'runner_state': 'ready',
    'born': 7,
    'unknown': [1],
}


def decode(**fields):
    document = {'version': 3, 'routes': [ROUTE], 'services': [{'name': 'llm'}], **fields}
    return decode_manifest(orjson.dumps(document))


def test_route_is_decoded():
    """Guards against times in the wrong unit, and host names that are matched with their case."""
    route = decode().find_route('shop.example', '/a/b')
    assert (route.timeout_s, route.objective_s) == (6, 0.6)
    assert (route.kind, route.is_resumable, route.needs_key) == (CallKind.STREAM, True, True)
    assert route.targets == (('llm', 1.0),)


@pytest.mark.parametrize(('given', 'max_gap_s'), [({}, math.inf), (0, math.inf), (250, 0.25)])
def test_max_event_gap_is_decoded(given, max_gap_s):
    """Guards against streams that exceed a limit which the manifest does not set, or sets to 0."""
    route = ROUTE if given == {} else {**ROUTE, 'itl_target_ms': given}
    assert decode(routes=[route]).find_route('shop.example', '/a/b').max_event_gap_s == max_gap_s


def test_empty_traffic_split_is_rejected():
    """Guards against a route without a target, on which the first call fails."""
    route = {**ROUTE, 'service': None, 'traffic_split': []}
    with pytest.raises(PlatformError, match='traffic_split'):
        decode(routes=[route])


def test_traffic_split_replaces_the_service():
    """Guards against calls that all go to one service of a traffic split."""
    split = [{'service': 'old', 'weight': 90}, {'service': 'new', 'weight': 10}]
    route = {**ROUTE, 'service': None, 'traffic_split': split}
    assert decode(routes=[route]).routes[0].targets == (('old', 90), ('new', 10))


def test_customers_are_found_by_each_key():
    """Guards against refusing a valid API key of a customer that has several."""
    customer = {'name': 'c', 'api_keys': ['k1', 'k2'], 'unit': 'tokens', 'rate_per_s': 5}
    table = decode(tenants=[customer])
    assert table.find_customer('k2').name == 'c'
    assert table.find_customer('k2').counts_tokens
    assert table.find_customer('k3') is None
    assert decode().customers is None


@pytest.mark.parametrize(
    'fields',
    [
        {'version': 'x'},
        {'routes': {}},
        {'routes': [{**ROUTE, 'route_type': 'other'}]},
        {'routes': [{**ROUTE, 'timeout_ms': True}]},
        {'tenants': [{'api_keys': ['k']}]},
    ],
)
def test_invalid_manifest_is_rejected(fields):
    """Guards against a manifest that is applied in part."""
    with pytest.raises(PlatformError):
        decode(**fields)


def test_entry_is_decoded():
    """Guards against an upstream with a wrong address or slot count."""
    upstream = decode_upstream('i-1', orjson.dumps(ENTRY))
    assert (upstream.address, upstream.slots, upstream.is_leaving) == ('10.0.0.9:8080', 5, False)
    assert upstream.incarnation == 7


@pytest.mark.parametrize(
    'text',
    [
        b'',
        b'\xff\xfe',
        b'[]',
        orjson.dumps({**ENTRY, 'runner_state': 'lost'}),
        orjson.dumps({**ENTRY, 'address': 'nowhere'}),
        orjson.dumps({**ENTRY, 'address': 5}),
        orjson.dumps({**ENTRY, 'slot_count': '5'}),
        orjson.dumps({**ENTRY, 'born': 'now'}),
        orjson.dumps({name: ENTRY[name] for name in ENTRY if name != 'zone'}),
    ],
)
def test_invalid_entry_is_rejected(text):
    """Guards against calls to the address in a malformed entry of another writer."""
    with pytest.raises(PlatformError):
        decode_upstream('i-1', text)


def test_memory_of_engines_is_decoded():
    """Guards against engines without a bound as a field is read under another name."""
    services = [{'name': 'llm', 'kv_capacity_tokens': 793319}, {'name': 'other'}]
    table = decode(services=services)
    assert [service.memory_tokens for service in table.services.values()] == [793319, 0]
    assert decode_memory(b'{"born": 7, "kv_used_tokens": 5, "kv_total_tokens": 557809}') == 557809
    assert decode_memory(b'{"born": 7}') == 0
