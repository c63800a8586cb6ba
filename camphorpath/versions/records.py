"""Rows of the transactional table with the configuration and the registered members."""

import json
from typing import Any

from attrs import asdict, define, field, frozen

from ..platform import Row
from ..schema import camphorpath_pb2 as pb

CURRENT_KEY = 'config/current'
# Written in every transaction that changes the rows under MEMBERS_PREFIX.
EPOCH_KEY = 'members-epoch'
MEMBERS_PREFIX = 'members/'
# The registered members at each epoch: a member without contact may still use an older set.
VIEWS_PREFIX = 'views/'
# Fenced members that may still run; deleted once they certainly no longer serve.
FENCED_PREFIX = 'fenced/'
VERSIONS_PREFIX = 'config/v/'


def make_version_key(version: int) -> str:
    """Return the key of the row with the text of a version."""
    return f'{VERSIONS_PREFIX}{version:08d}'


def make_view_key(epoch: int) -> str:
    """Return the key of the row with the members of an epoch."""
    return f'{VIEWS_PREFIX}{epoch:08d}'


@frozen
class FleetVersion:
    """An activated version of the configuration; version 0 if none was activated."""

    version: int = 0
    fleet: pb.Fleet = field(factory=pb.Fleet)
    text: str = ''
    token: str = ''


@frozen
class CurrentRecord:
    """The row config/current; `time` is in seconds since 1970."""

    version: int = 0
    token: str = ''
    time: float = 0


@frozen
class VersionRecord:
    """The row of one version; `time` is in seconds since 1970."""

    text: str
    reason: str
    author: str
    time: float
    token: str


@frozen
class MemberRecord:
    """Registration of an incarnation; `epoch` is the one that its registration began.

    `started` is in seconds since 1970.
    """

    name: str
    peers_address: str
    callers_address: str
    started: float
    epoch: int


@frozen
class EpochRecord:
    """The registered incarnations; each change of their set begins a new epoch."""

    epoch: int = 0
    members: tuple[str, ...] = ()


@frozen
class FencedRecord:
    """A fenced member that may still run.

    It may have read the member set of any epoch from `oldest` to `newest`. Without contact it
    serves for at most `wait_s` seconds.
    """

    name: str
    peers_address: str
    oldest: int
    newest: int
    wait_s: float


@define
class FleetState:
    """The rows that a coordinator reads from the table.

    `members` and `fenced` are by incarnation; `views` holds the registered incarnations by epoch.
    """

    current: CurrentRecord
    current_revision: int
    epoch: EpochRecord
    epoch_revision: int
    members: dict[str, MemberRecord]
    views: dict[int, frozenset[str]]
    fenced: dict[str, FencedRecord]


def encode_record(record: Any) -> bytes:
    """Return the record as JSON."""
    return json.dumps(asdict(record), separators=(',', ':')).encode()


def decode_record(record_type: type, row: Row | None) -> Any:
    """Return the record in a row; a record of defaults if there is no row."""
    return record_type(**json.loads(row.value)) if row else record_type()


def decode_epoch(row: Row | None) -> EpochRecord:
    """Return the epoch in a row; epoch 0 without members if there is no row."""
    record = decode_record(EpochRecord, row)
    return EpochRecord(record.epoch, tuple(record.members))


def get_revision(row: Row | None) -> int:
    """Return the revision for a Check; 0 if there is no row."""
    return row.revision if row else 0
