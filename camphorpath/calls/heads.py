"""The head of a request: headers checked, with defaults from the configuration."""

import datetime
import hashlib
import re
import types

import attrs

from ..clocks import read_lease_clock
from ..errors import Refusal
from ..schema import camphorpath_pb2 as pb
from .rules import find_exceptions

STATUS_BAD_REQUEST = 400
STATUS_UNAUTHORIZED = 401
STATUS_FORBIDDEN = 403
KEY_PATTERN = re.compile(r'[\x21-\x7e]{1,128}')
TIMEOUT_PATTERN = re.compile(r'([0-9]{1,9}(?:\.[0-9]{1,6})?)(ms|s|m|h)')
SECONDS_PER_UNIT = types.MappingProxyType({'ms': 0.001, 's': 1, 'm': 60, 'h': 3600})
MAX_SHOWN = 80
BEARER = 'bearer '
# Headers that concern only camphorpath or one connection and are not passed to upstreams.
PRIVATE_HEADERS = frozenset(
    (
        'camphorpath-customer',
        'camphorpath-tier',
        'camphorpath-timeout',
        'camphorpath-deadline',
        'camphorpath-request-id',
        'host',
        'content-length',
        # It proves the customer to camphorpath; upstreams must not learn it.
        'authorization',
    )
)


@attrs.frozen
class CallerHeaders:
    """The headers of a request, names in lower case."""

    pairs: list[tuple[str, str]]

    def get(self, name: str) -> str:
        """Return the value of a header, or an empty text; raise Refusal if it stands twice."""
        found = [text for key, text in self.pairs if key == name]
        if len(found) > 1:
            raise _refuse_header(name, 'stands more than once')
        return found[0].strip() if found else ''

    def passed_on(self) -> list[tuple[str, str]]:
        """Return the headers that go to the upstream."""
        return [(key, text) for key, text in self.pairs if key not in PRIVATE_HEADERS]


def read_headers(scope: dict) -> CallerHeaders:
    """Return the headers of an ASGI scope."""
    return CallerHeaders(
        [(key.decode('latin-1').lower(), text.decode('latin-1')) for key, text in scope['headers']]
    )


def find_customer(fleet: pb.Fleet, headers: CallerHeaders) -> pb.Customer:
    """Return the customer of a request.

    A customer with a token is only taken from that token; the header names the others.
    """
    named = headers.get('camphorpath-customer')
    digest = _hash_token(headers.get('authorization'))
    for customer in fleet.customers:
        if not digest or customer.token_sha256 != digest:
            continue
        if named and named != customer.name:
            raise _refuse_header('camphorpath-customer', 'differs from the token', named)
        return customer
    wanted = named or fleet.default_customer
    for customer in fleet.customers:
        if customer.name == wanted:
            return _check_open(customer)
    raise Refusal(
        'unknown_customer', f'no customer "{wanted}" is configured', status=STATUS_FORBIDDEN
    )


def find_tier(
    fleet: pb.Fleet, headers: CallerHeaders, customer: pb.Customer, service: pb.Service
) -> pb.Tier:
    """Return the tier of a request; it is never above the highest tier of its customer."""
    allowed = _get_tier(fleet, customer.tier)
    for rule in find_exceptions(fleet, customer.name, service.name):
        if rule.tier:
            allowed = _get_tier(fleet, rule.tier)
    named = headers.get('camphorpath-tier')
    if not named:
        default = _get_tier(fleet, service.default_tier) if service.default_tier else allowed
        return default if default.rank > allowed.rank else allowed
    tier = _get_tier(fleet, named)
    if tier.rank < allowed.rank:
        raise Refusal(
            'tier_not_allowed',
            f'customer "{customer.name}" may use tier "{allowed.name}" and lower, not "{named}"',
            status=STATUS_FORBIDDEN,
        )
    return tier


def find_deadline(
    fleet: pb.Fleet, headers: CallerHeaders, customer: str, service: str, tier: pb.Tier
) -> float:
    """Return the instant by which the whole answer is due, in seconds on the lease clock."""
    timeout_s = tier.answer_timeout
    for rule in find_exceptions(fleet, customer, service):
        timeout_s = rule.answer_timeout or timeout_s
    text = headers.get('camphorpath-timeout')
    if text:
        timeout_s = _parse_timeout(text)
    instant = headers.get('camphorpath-deadline')
    if instant:
        timeout_s = min(timeout_s, _parse_instant(instant)) if text else _parse_instant(instant)
    if timeout_s <= 0:
        raise Refusal('deadline_passed', 'the deadline is in the past', status=STATUS_BAD_REQUEST)
    return read_lease_clock() + timeout_s


def find_key(headers: CallerHeaders) -> str:
    """Return the checked idempotency key, or an empty text."""
    key = headers.get('idempotency-key')
    if key and not KEY_PATTERN.fullmatch(key):
        raise _refuse_header('idempotency-key', 'needs 1 to 128 visible ASCII characters')
    return key


def _hash_token(authorization: str) -> str:
    if not authorization.lower().startswith(BEARER):
        return ''
    return hashlib.sha256(authorization[len(BEARER) :].strip().encode()).hexdigest()


def _check_open(customer: pb.Customer) -> pb.Customer:
    if not customer.token_sha256:
        return customer
    raise Refusal(
        'customer_not_proven',
        f'customer "{customer.name}" must send its bearer token',
        status=STATUS_UNAUTHORIZED,
    )


def _get_tier(fleet: pb.Fleet, name: str) -> pb.Tier:
    for tier in fleet.tiers:
        if tier.name == name:
            return tier
    raise _refuse_header('camphorpath-tier', 'is not a configured tier', name)


def _parse_timeout(text: str) -> float:
    match = TIMEOUT_PATTERN.fullmatch(text)
    if match is None:
        raise _refuse_header('camphorpath-timeout', 'needs a number and ms, s, m or h', text)
    return float(match.group(1)) * SECONDS_PER_UNIT[match.group(2)]


def _parse_instant(text: str) -> float:
    try:
        instant = datetime.datetime.fromisoformat(text)
    except ValueError:
        raise _refuse_header('camphorpath-deadline', 'is not an RFC 3339 instant', text) from None
    if instant.tzinfo is None:
        raise _refuse_header('camphorpath-deadline', 'has no offset from UTC', text)
    return (instant - datetime.datetime.now(datetime.UTC)).total_seconds()


def _refuse_header(name: str, problem: str, text: str = '') -> Refusal:
    shown = f' "{text[:MAX_SHOWN]}"' if text else ''
    return Refusal(
        'bad_header', f'header {name}{shown} {problem}', status=STATUS_BAD_REQUEST, step='accept'
    )
