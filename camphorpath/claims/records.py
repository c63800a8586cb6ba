"""Claims, recorded answers and their form in a table row."""

import base64
import enum
import json
from collections.abc import Iterable
from typing import Any

import attrs

PREFIX = 'claims/'
UNREADABLE = (ValueError, KeyError, TypeError)


def _freeze(headers: Iterable[Iterable[str]]) -> tuple[tuple[str, ...], ...]:
    return tuple(tuple(pair) for pair in headers)


@enum.unique
class State(enum.Enum):
    """What the row of a claim says about the call."""

    OPEN = 'open'
    ANSWERED = 'answered'
    # The call ended and its outcome is not known.
    UNKNOWN = 'unknown'
    # The call was not sent and the key is free. The row keeps late inserts out until it expires.
    RELEASED = 'released'


@attrs.frozen
class ClaimKey:
    """The scope and the text of an idempotency key; service and customer contain no slash."""

    service: str
    customer: str
    key: str

    def build_row_key(self) -> str:
        """Return the key of the table row."""
        return f'{PREFIX}{self.service}/{self.customer}/{self.key}'


@attrs.frozen
class RecordedAnswer:
    """A complete answer of a service, replayed to every later request with the key."""

    status: int
    headers: tuple[tuple[str, str], ...] = attrs.field(converter=_freeze)
    body: bytes


@attrs.define(eq=False)
class Claim:
    """The right to send one call, or the recorded answer of the call that was sent.

    Where `answer` is set the caller must not send.
    """

    row_key: str
    token: str
    answer: RecordedAnswer | None = None


@attrs.frozen
class ClaimRow:
    """The content of a row; `expires_at` is in seconds since 1970.

    The answer is in the row, or under `object_name` in the object store, or absent.
    """

    token: str
    digest: str
    owner: str
    expires_at: float
    state: State = State.OPEN
    answer: RecordedAnswer | None = None
    object_name: str = ''


def encode_row(row: ClaimRow) -> bytes:
    """Return the JSON form of a row."""
    document = attrs.asdict(row, recurse=False) | {'state': row.state.value, 'answer': None}
    if row.answer:
        document['answer'] = _show_answer(row.answer)
    return json.dumps(document).encode()


def decode_row(raw: bytes) -> ClaimRow:
    """Return the row of its JSON form; unknown fields are ignored.

    An unreadable row becomes one of unknown outcome with an empty digest that never expires, so
    that its key stays blocked.
    """
    try:
        return _read_row(json.loads(raw))
    except UNREADABLE:
        return ClaimRow(token='', digest='', owner='', expires_at=float('inf'), state=State.UNKNOWN)


def encode_answer(answer: RecordedAnswer) -> bytes:
    """Return the JSON form of an answer, as it is kept in the object store."""
    return json.dumps(_show_answer(answer)).encode()


def decode_answer(raw: bytes) -> RecordedAnswer:
    """Return the answer of its JSON form."""
    return _read_answer(json.loads(raw))


def _read_row(document: dict[str, Any]) -> ClaimRow:
    names = [field.name for field in attrs.fields(ClaimRow)]
    known = {name: document[name] for name in names if name in document}
    known['state'] = State(document['state'])
    if document.get('answer'):
        known['answer'] = _read_answer(document['answer'])
    return ClaimRow(**known)


def _show_answer(answer: RecordedAnswer) -> dict[str, Any]:
    body = base64.b64encode(answer.body).decode('ascii')
    return {'status': answer.status, 'headers': answer.headers, 'body': body}


def _read_answer(document: dict[str, Any]) -> RecordedAnswer:
    return RecordedAnswer(
        status=document['status'],
        headers=document['headers'],
        body=base64.b64decode(document['body']),
    )
