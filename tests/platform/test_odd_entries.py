"""Entries that another writer left among those of the upstreams, and odd manifests."""

import socket

import hypothesis
import hypothesis.strategies as st
import orjson
import pytest

from camphorpath.errors import PlatformError
from camphorpath.platform.entries import MAX_SLOTS, decode_upstream
from camphorpath.platform.manifest import decode_manifest
from camphorpath.schema import camphorpath_pb2 as pb

from .test_manifest import ENTRY, ROUTE

DIGITS = b'1' + b'0' * 400
DEEPEST_DECODED = 1024


def nest(depth):
    return b'[' * depth + b']' * depth


def set_raw(document, name, raw):
    """Return a document as JSON with the field `name` replaced by the JSON text `raw`."""
    return orjson.dumps({**document, name: '@'}).replace(b'"@"', raw)


def make_json(scalars):
    return st.recursive(
        scalars,
        lambda children: (
            st.lists(children, max_size=3)
            | st.dictionaries(st.text(max_size=5), children, max_size=3)
        ),
        max_leaves=5,
    )


NUMBERS = st.integers(-(2**64), 2**64 - 1) | st.floats(allow_nan=False, allow_infinity=False)
TEXTS = st.text(max_size=20)
VALUES = make_json(st.none() | st.booleans() | NUMBERS.filter(lambda n: n > -(2**63)) | TEXTS)
ADDRESSES = st.tuples(
    st.sampled_from(['10.0.0.9', '', 'localhost', '10.0.0', '::1', '10.0.0.9:1', '٣.1.1.1'])
    | TEXTS,
    st.integers(-5, 10**6).map(str) | st.sampled_from(['', '٨٠', '9' * 5000, '1e3']) | TEXTS,
).map(':'.join)
FIELD_VALUES = {name: st.just(ENTRY[name]) | VALUES for name in ENTRY}
FIELD_VALUES['address'] |= ADDRESSES
ENTRIES = st.fixed_dictionaries({}, optional=FIELD_VALUES)
KEYS = st.just('i-1') | st.text(max_size=250)


def check_upstream(upstream):
    """Fail unless an upstream can be connected to, named in a header and sent to peers."""
    socket.inet_pton(socket.AF_INET, upstream.host)
    assert 1 <= upstream.port <= 65535
    assert 1 <= upstream.slots <= MAX_SLOTS
    pb.LeavingUpstream(upstream=upstream.upstream_id, incarnation=upstream.incarnation)
    assert upstream.upstream_id.isascii()
    assert upstream.upstream_id.isprintable()
    assert upstream.upstream_id == upstream.upstream_id.strip()
    assert upstream.service.isprintable()
    assert upstream.zone.isprintable()


@pytest.mark.parametrize(
    ('problem', 'text'),
    [
        ('a port out of range', orjson.dumps({**ENTRY, 'address': '10.0.0.9:65536'})),
        ('a port of zero', orjson.dumps({**ENTRY, 'address': '10.0.0.9:0'})),
        ('a negative port', orjson.dumps({**ENTRY, 'address': '10.0.0.9:-1'})),
        ('a port too large', orjson.dumps({**ENTRY, 'address': f'10.0.0.9:{"9" * 5000}'})),
        ('a port in other digits', orjson.dumps({**ENTRY, 'address': '10.0.0.9:٨٠'})),
        ('a host name', orjson.dumps({**ENTRY, 'address': 'upstream.example:80'})),
        ('a host with a null', orjson.dumps({**ENTRY, 'address': '10.0.0.9\0:80'})),
        ('an IPv6 host', orjson.dumps({**ENTRY, 'address': '::1:80'})),
        ('a number of slots too large', set_raw(ENTRY, 'slot_count', b'4294967296')),
        ('a huge number of slots', set_raw(ENTRY, 'slot_count', DIGITS)),
        ('a fraction of slots', orjson.dumps({**ENTRY, 'slot_count': 2.5})),
        ('a number too large', set_raw(ENTRY, 'born', b'1%s' % (b'0' * 30))),
        ('a number beyond 64 bits', set_raw(ENTRY, 'born', str(2**63).encode())),
        ('a number beyond doubles', set_raw(ENTRY, 'born', b'1e400')),
        ('a fraction of a start', orjson.dumps({**ENTRY, 'born': 1.5})),
        ('a deeply nested field', set_raw(ENTRY, 'zone', nest(DEEPEST_DECODED - 1))),
        ('a very deeply nested field', set_raw(ENTRY, 'zone', nest(100_000))),
        ('a very deeply nested unknown field', set_raw(ENTRY, 'extra', nest(100_000))),
        ('nesting only', nest(100_000)),
        ('control characters', orjson.dumps({**ENTRY, 'zone': 'a\r\nb'})),
        ('a lone surrogate', set_raw(ENTRY, 'zone', rb'"\ud800"')),
        ('a very long text', orjson.dumps({**ENTRY, 'service': 'x' * 100_000})),
    ],
)
def test_entry_with_a_value_out_of_range_is_rejected(problem, text):
    """Guards against one odd entry that ends every daemon that reads it or calls its address."""
    with pytest.raises(PlatformError):
        decode_upstream('i-1', text)


@pytest.mark.parametrize('key', ['', 'i\r\nX: 1', 'i\0', ' i', 'i-\u00fc', 'i' * 201, '\x7f'])
def test_id_that_no_header_can_carry_is_rejected(key):
    """Guards against a daemon that ends as the request to an upstream cannot be written."""
    with pytest.raises(PlatformError):
        decode_upstream(key, orjson.dumps(ENTRY))


def test_deeply_nested_unknown_field_is_ignored():
    """Guards against an upstream that is lost because of a field that nothing reads."""
    text = set_raw(ENTRY, 'extra', nest(500))
    assert decode_upstream('i-1', text).address == ENTRY['address']


@pytest.mark.parametrize(
    'version', [None, '', 1, 1.5, True, ['v1'], {'name': 'v1'}, 'v' * 201, 'v1\r\n', 'v\0']
)
def test_odd_software_version_is_unknown(version):
    """Guards against an odd version that equals the one of another upstream, or loses a service."""
    text = orjson.dumps({**ENTRY, 'version': version})
    assert decode_upstream('i-1', text).software_version == ''


@pytest.mark.parametrize('version', ['v1', 'v1 ', 'V1', 'v' * 200, 'vé'])
def test_software_version_is_taken_as_it_stands(version):
    """Guards against versions that are cut or rewritten so that two of them become equal."""
    text = orjson.dumps({**ENTRY, 'version': version})
    assert decode_upstream('i-1', text).software_version == version


@hypothesis.given(KEYS, ENTRIES)
def test_any_entry_is_a_valid_upstream_or_an_error(key, document):
    """Guards against a value of an entry that raises something else, or is out of range."""
    try:
        upstream = decode_upstream(key, orjson.dumps(document))
    except PlatformError:
        return
    check_upstream(upstream)


@hypothesis.given(KEYS, st.binary(max_size=200) | VALUES.map(orjson.dumps))
def test_any_bytes_are_a_valid_upstream_or_an_error(key, text):
    """Guards against bytes of another writer that raise something else."""
    try:
        upstream = decode_upstream(key, text)
    except PlatformError:
        return
    check_upstream(upstream)


@pytest.mark.parametrize(
    'text',
    [
        nest(100_000),
        set_raw({'routes': []}, 'version', b'1e300'),
        set_raw({'routes': []}, 'version', DIGITS),
        orjson.dumps({'version': 1, 'routes': [{**ROUTE, 'priority': 1e300}]}),
        orjson.dumps({'version': 1, 'routes': [{**ROUTE, 'timeout_ms': 1e300}]}),
        orjson.dumps({'version': 1, 'limits': {'max_header_bytes': 1e300}}),
    ],
)
def test_manifest_with_a_number_too_large_is_rejected(text):
    """Guards against a manifest that ends every daemon instead of being rejected."""
    with pytest.raises(PlatformError):
        decode_manifest(text)


ROUTE_FIELDS = {name: st.just(ROUTE[name]) | VALUES for name in ROUTE}
MANIFESTS = st.fixed_dictionaries(
    {},
    optional={
        'version': st.just(1) | VALUES,
        'routes': st.lists(st.fixed_dictionaries(ROUTE_FIELDS), max_size=2) | VALUES,
        'services': st.lists(st.fixed_dictionaries({'name': VALUES}), max_size=2) | VALUES,
        'limits': st.fixed_dictionaries({'max_body_bytes': VALUES}) | VALUES,
        'tenants': st.lists(
            st.fixed_dictionaries({'name': TEXTS, 'api_keys': VALUES, 'rate_per_s': VALUES}),
            max_size=2,
        )
        | VALUES,
    },
)


@hypothesis.given(st.binary(max_size=200) | MANIFESTS.map(orjson.dumps))
def test_any_manifest_is_decoded_or_an_error(text):
    """Guards against a manifest that raises something else."""
    try:
        table = decode_manifest(text)
    except PlatformError:
        return
    assert table.version >= 0
