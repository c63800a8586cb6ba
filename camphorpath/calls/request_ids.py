"""Request ids: each one names the only daemon incarnation that may dispatch the request."""

import collections
import itertools
import re
import time

import attrs

from ..errors import Outcome, Refusal

# Ids issued further in the future are refused: evicting one would expire all valid ids.
MAX_CLOCK_SKEW_S = 60
ID_PATTERN = re.compile(
    r'(?P<incarnation>[a-z0-9_-]{1,100})\.(?P<issued>[0-9]{1,12})\.(?P<suffix>[A-Za-z0-9_-]{1,64})'
)
RESERVED_PATTERN = re.compile('h[0-9]+')
STATUS_BAD_REQUEST = 400
STATUS_CONFLICT = 409


@attrs.frozen
class RequestId:
    """A request id: incarnation of the home daemon, time of issue and suffix.

    `issued_at` is in whole seconds since 1970.
    """

    incarnation: str
    issued_at: int
    suffix: str

    def __str__(self) -> str:
        """Return the text form of the id."""
        return f'{self.incarnation}.{self.issued_at}.{self.suffix}'


def make_prefix(incarnation: str) -> str:
    """Return the prefix with which a caller may form ids for the daemon `incarnation`."""
    return f'{incarnation}.{int(time.time())}'


def parse_request_id(text: str) -> RequestId:
    """Parse an id of the form `<incarnation>.<seconds>.<suffix>`; raise Refusal otherwise."""
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
    """A bounded set of the ids that this process has accepted.

    An id is accepted at most once. When the oldest id is evicted, all ids issued at or before its
    time of issue expire, so that an evicted id cannot be accepted again.
    """

    def __init__(self, capacity: int) -> None:
        """Keep at most `capacity` ids."""
        self._capacity = capacity
        self._newest_evicted_at = 0
        self._seen: collections.OrderedDict[RequestId, None] = collections.OrderedDict()
        self._counter = itertools.count()

    def issue(self, incarnation: str) -> RequestId:
        """Return a new id of this process and record it as accepted."""
        issued_at = max(int(time.time()), self._newest_evicted_at + 1)
        request_id = RequestId(incarnation, issued_at, f'h{next(self._counter)}')
        self._record(request_id)
        return request_id

    def accept(self, request_id: RequestId, incarnation: str) -> None:
        """Record an id formed by a caller; raise Refusal if this process may not dispatch it."""
        if request_id.incarnation != incarnation:
            raise _refuse_outcome_unknown(
                'other_home',
                f'only the daemon incarnation {request_id.incarnation} may run this request',
            )
        if request_id in self._seen:
            raise _refuse_outcome_unknown(
                'duplicate_request_id', 'this request id has been used before'
            )
        if request_id.issued_at <= self._newest_evicted_at:
            raise _refuse_outcome_unknown(
                'request_id_expired',
                'this request id is too old to tell whether it was used before',
            )
        if RESERVED_PATTERN.fullmatch(request_id.suffix):
            raise Refusal(
                'bad_request_id',
                'suffixes of the form h<number> are reserved',
                status=STATUS_BAD_REQUEST,
            )
        self._record(request_id)

    def discard(self, request_id: RequestId) -> None:
        """Allow an id to be used again; only for a request that provably was not run."""
        self._seen.pop(request_id, None)

    def _record(self, request_id: RequestId) -> None:
        self._seen[request_id] = None
        if len(self._seen) > self._capacity:
            oldest, _ = self._seen.popitem(last=False)
            self._newest_evicted_at = max(self._newest_evicted_at, oldest.issued_at)


def _refuse_outcome_unknown(reason: str, message: str) -> Refusal:
    return Refusal(
        reason, message, outcome=Outcome.OUTCOME_UNKNOWN, status=STATUS_CONFLICT, step='accept'
    )
