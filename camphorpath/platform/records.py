"""Records of the platform and their JSON encoding."""

import base64
from collections.abc import Sequence
from typing import Any, Literal

from attrs import frozen

Json = dict[str, Any]


@frozen
class Row:
    """A row of the table; `revision` is at least 1 and changes with every write of the row."""

    key: str
    value: bytes
    revision: int


@frozen
class Check:
    """A transaction condition: the row has this revision, or does not exist if it is 0."""

    key: str
    revision: int


@frozen
class Write:
    """A write in a transaction; a value of None deletes the row."""

    key: str
    value: bytes | None


@frozen
class Vm:
    """An entry of the VM list."""

    name: str
    role: Literal['entry', 'upstream']
    address: str
    peers_address: str = ''
    service: str = ''
    pool: str = ''
    zone: str = ''
    state: Literal['live', 'leaving'] = 'live'


def encode(raw: bytes | str) -> str:
    """Return a key or value in base64, as it is sent."""
    content = raw.encode() if isinstance(raw, str) else raw
    return base64.b64encode(content).decode('ascii')


def read_row(document: Json) -> Row:
    """Return the row of a `kvs` entry."""
    return Row(
        key=base64.b64decode(document['key']).decode(),
        value=base64.b64decode(document.get('value', '')),
        revision=int(document['mod_revision']),
    )


def build_compare(check: Check) -> Json:
    """Return a comparison of the modification revision; 0 matches a key that does not exist."""
    return {
        'key': encode(check.key),
        'target': 'MOD',
        'result': 'EQUAL',
        'modRevision': str(check.revision),
    }


def build_operation(write: Write) -> Json:
    """Return the operation that puts or deletes a row."""
    if write.value is None:
        return {'requestDeleteRange': {'key': encode(write.key)}}
    return {'requestPut': {'key': encode(write.key), 'value': encode(write.value)}}


def build_insert(write: Write) -> Json:
    """Return a nested transaction that puts the row if it does not exist, and else reads it."""
    return {
        'requestTxn': {
            'compare': [build_compare(Check(write.key, 0))],
            'success': [build_operation(write)],
            'failure': [{'requestRange': {'key': encode(write.key)}}],
        },
    }


def build_transaction(checks: Sequence[Check], writes: Sequence[Write]) -> Json:
    """Return a transaction that makes all writes if all checks hold."""
    return {
        'compare': [build_compare(check) for check in checks],
        'success': [build_operation(write) for write in writes],
        'failure': [],
    }


def build_range(prefix: str, limit: int, after: str) -> Json:
    """Return the request for the rows under a prefix, in key order, that follow `after`."""
    first = prefix if after < prefix else f'{after}\0'
    # The range ends at the prefix with its last byte incremented; keys are ASCII.
    end = f'{prefix[:-1]}{chr(ord(prefix[-1]) + 1)}'
    return {'key': encode(first), 'range_end': encode(end), 'limit': str(limit)}
