"""Request ids, which bind each request to the one incarnation that may dispatch it."""

import collections
import itertools
import re
import time

import attrs

from ..errors import Outcome, Refusal

# An id issued this far in the future (seconds) is not one of ours: it would move the expiry floor
# past every honest id.
MAX_CLOCK_SKEW_S = 60
ID_PATTERN = re.compile(
    r'(?P<incarnation>[a-z0-9_-]{1,100})\.(?P<issued>[0-9]{1,12})\.(?P<suffix>[A-Za-z0-9_-]{1,64})'
)
RESERVED_PATTERN = re.compile('h[0-9]+')
STATUS_BAD_REQUEST = 400
STATUS_CONFLICT = 409


@attrs.frozen
class RequestId:
    """A request id: the incarnation of its home, the second it was issued in, and a suffix."""

    incarnation: str
    issued_s: int
    suffix: str

    def __str__(self) -> str:
        """Return the id as callers see it."""
        return f'{self.incarnation}.{self.issued_s}.{self.suffix}'


def make_prefix(incarnation: str) -> str:
    """Return the prefix under which a caller may form ids for the daemon `incarnation`."""
    return f'{incarnation}.{int(time.time())}'


def parse_request_id(text: str) -> RequestId:
    """Read an id of the form `<incarnation>.<seconds>.<suffix>`; raise Refusal otherwise."""
    match = ID_PATTERN.fullmatch(text)
    if match is not None and int(match['issued']) <= time.time() + MAX_CLOCK_SKEW_S:
        return RequestId(match['incarnation'], int(match['issued']), match['suffix'])
    raise Refusal(
        'bad_request_id',
        'Camphorpath-Request-Id must be <request_id_prefix>.<own suffix>; the prefix comes from '
        'GET /camphorpath/addresses, the suffix has 1 to 64 letters, digits, "-" or "_"',
        status=STATUS_BAD_REQUEST,
    )


class SeenIds:
    """The ids that this process has accepted, bounded in number.

    An id is accepted at most once. Forgetting an id raises a floor: ids issued at or before the
    floor are refused, so a forgotten id can never be accepted again.
    """

    def __init__(self, capacity: int) -> None:
        """Keep at most `capacity` ids."""
        self._capacity = capacity
        self._floor_s = 0
        self._seen: collections.OrderedDict[RequestId, None] = collections.OrderedDict()
        self._counter = itertools.count()

    def issue(self, incarnation: str) -> RequestId:
        """Return a new id of this process, already noted as seen."""
        issued_s = max(int(time.time()), self._floor_s + 1)
        request_id = RequestId(incarnation, issued_s, f'h{next(self._counter)}')
        self._note(request_id)
        return request_id

    def accept(self, request_id: RequestId, incarnation: str) -> None:
        """Note an id formed by a caller; raise Refusal if it may not be dispatched here."""
        if request_id.incarnation != incarnation:
            raise _refuse_unknown(
                'other_home',
                f'only the daemon incarnation {request_id.incarnation} may run this request',
            )
        if request_id in self._seen:
            raise _refuse_unknown('duplicate_request_id', 'this request id has been used before')
        if request_id.issued_s <= self._floor_s:
            raise _refuse_unknown(
                'request_id_expired', 'this request id is too old to tell whether it was used'
            )
        if RESERVED_PATTERN.fullmatch(request_id.suffix):
            raise Refusal(
                'bad_request_id',
                'suffixes of the form h<number> are reserved',
                status=STATUS_BAD_REQUEST,
            )
        self._note(request_id)

    def forget(self, request_id: RequestId) -> None:
        """Let an id be used again; only for a request that provably was not run."""
        self._seen.pop(request_id, None)

    def _note(self, request_id: RequestId) -> None:
        self._seen[request_id] = None
        if len(self._seen) > self._capacity:
            oldest, _ = self._seen.popitem(last=False)
            self._floor_s = max(self._floor_s, oldest.issued_s)


def _refuse_unknown(reason: str, message: str) -> Refusal:
    return Refusal(
        reason, message, outcome=Outcome.OUTCOME_UNKNOWN, status=STATUS_CONFLICT, step='accept'
    )
