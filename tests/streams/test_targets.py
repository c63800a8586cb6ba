import pytest
from hypothesis import given
from hypothesis import strategies as st

from camphorpath.errors import PlatformError
from camphorpath.streams import RouteTarget
from camphorpath.streams.targets import decode_target, encode_target

NAMES = st.text(st.characters(exclude_categories=('Cs',)), max_size=30)


TIMES = st.none() | st.integers(0, 1 << 40)


@given(NAMES, NAMES, NAMES, st.integers(0, 1 << 40), TIMES, TIMES)
def test_target_is_read_as_it_was_written(host, prefix, service, timeout_ms, dropped_ms, since_ms):
    """Guards against services that a daemon misses after its start."""
    dropped_s = None if dropped_ms is None else dropped_ms / 1000
    since_s = None if since_ms is None else since_ms / 1000
    target = RouteTarget(host, prefix, service, timeout_ms / 1000, dropped_s, since_s)
    assert decode_target(encode_target(target)) == target


def test_keys_of_targets_differ():
    """Guards against two targets that overwrite each other's row."""
    names = [('a', 'b', 'c'), ('ab', '', 'c'), ('a', 'bc', ''), ('', 'ab', 'c')]
    assert len({RouteTarget(*parts, 1).key for parts in names}) == len(names)


@pytest.mark.parametrize(
    'content',
    [
        None,
        b'{"host": "h", "prefix": "p", "service": "s", "timeout_ms": 1, "dropped_ms": null, '
        b'"since_ms": "1"}',
        b'x',
        b'[]',
        b'{"host": "h", "prefix": "p", "service": "s", "timeout_ms": 1}',
        b'{"host": "h", "prefix": "p", "service": 1, "timeout_ms": 1, "dropped_ms": 1}',
        b'{"host": "h", "prefix": "p", "service": "s", "timeout_ms": null, "dropped_ms": 1}',
        b'{"host": "h", "prefix": "p", "service": "s", "timeout_ms": -1, "dropped_ms": 1}',
        b'{"host": "h", "prefix": "p", "service": "s", "timeout_ms": 1, "dropped_ms": true}',
        b'{"host": "h", "prefix": "p", "service": "s", "timeout_ms": "1", "dropped_ms": 1}',
    ],
)
def test_unreadable_target_is_rejected(content):
    """Guards against a daemon that ends because of a row that another writer left."""
    with pytest.raises(PlatformError):
        decode_target(content)


def test_target_of_an_older_build_is_read():
    """Guards against a service that is missed, as its row does not state since when it counts."""
    row = b'{"host": "h", "prefix": "p", "service": "s", "timeout_ms": 1000, "dropped_ms": null}'
    assert decode_target(row) == RouteTarget('h', 'p', 's', 1)
