"""Claims, recorded answers and their encoding in table rows."""

import base64
import enum
import json
from collections.abc import Iterable
from typing import Any

import attrs

ROW_KEY_PREFIX = 'claims/'
DECODE_ERRORS = (ValueError, KeyError, TypeError)


def _to_tuples(headers: Iterable[Iterable[str]]) -> tuple[tuple[str, ...], ...]:
    return tuple(tuple(pair) for pair in headers)


@enum.unique
class RowState(enum.Enum):
    """The state of the call as recorded in the row of its claim."""

    OPEN = 'open'
    ANSWERED = 'answered'
    # The call ended and its outcome is not known.
    UNKNOWN = 'unknown'
    # The call was not sent and the key is free. The row blocks late inserts until it expires.
    RELEASED = 'released'


@attrs.frozen
class ClaimKey:
    """An idempotency key and its scope; service and customer contain no slash."""

    service: str
    customer: str
    key: str

    def build_row_key(self) -> str:
        """Return the key of the table row."""
        return f'{ROW_KEY_PREFIX}{self.service}/{self.customer}/{self.key}'


@attrs.frozen
class RecordedAnswer:
    """A complete answer of a service, replayed to every later request with the key."""

    status: int
    headers: tuple[tuple[str, str], ...] = attrs.field(converter=_to_tuples)
    body: bytes


@attrs.define(eq=False)
class Claim:
    """The right to send one call, or the recorded answer of the call that was sent.

    If `answer` is set, the holder must not send the call.
    """

    row_key: str
    token: str
    answer: RecordedAnswer | None = None


@attrs.frozen
class ClaimRow:
    """The content of a row; `expires_at` is in seconds since 1970.

    The answer is in the row, in the object store as `object_name`, or absent.
    """

    token: str
    digest: str
    owner: str
    expires_at: float
    state: RowState = RowState.OPEN
    answer: RecordedAnswer | None = None
    object_name: str = ''


def encode_row(row: ClaimRow) -> bytes:
    """Encode a row as JSON."""
    document = attrs.asdict(row, recurse=False) | {'state': row.state.value, 'answer': None}
    if row.answer:
        document['answer'] = _answer_to_json(row.answer)
    return json.dumps(document).encode()


def decode_row(raw: bytes) -> ClaimRow:
    """Decode a row from JSON; unknown fields are ignored.

    An unreadable row is returned as one of unknown outcome with an empty digest that never
    expires, so that its key stays blocked.
    """
    try:
        return _row_from_json(json.loads(raw))
    except DECODE_ERRORS:
        return ClaimRow(
            token='', digest='', owner='', expires_at=float('inf'), state=RowState.UNKNOWN
        )


def encode_answer(answer: RecordedAnswer) -> bytes:
    """Encode an answer as JSON, as it is stored in the object store."""
    return json.dumps(_answer_to_json(answer)).encode()


def decode_answer(raw: bytes) -> RecordedAnswer:
    """Decode an answer from JSON."""
    return _answer_from_json(json.loads(raw))


def _row_from_json(document: dict[str, Any]) -> ClaimRow:
    names = [field.name for field in attrs.fields(ClaimRow)]
    known = {name: document[name] for name in names if name in document}
    known['state'] = RowState(document['state'])
    if document.get('answer'):
        known['answer'] = _answer_from_json(document['answer'])
    return ClaimRow(**known)


def _answer_to_json(answer: RecordedAnswer) -> dict[str, Any]:
    body = base64.b64encode(answer.body).decode('ascii')
    return {'status': answer.status, 'headers': answer.headers, 'body': body}


def _answer_from_json(document: dict[str, Any]) -> RecordedAnswer:
    return RecordedAnswer(
        status=document['status'],
        headers=document['headers'],
        body=base64.b64decode(document['body']),
    )
