"""Checks the headers of a request and applies defaults from the configuration."""

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
IDEMPOTENCY_KEY_PATTERN = re.compile(r'[\x21-\x7e]{1,128}')
TIMEOUT_PATTERN = re.compile(r'([0-9]{1,9}(?:\.[0-9]{1,6})?)(ms|s|m|h)')
SECONDS_PER_UNIT = types.MappingProxyType({'ms': 0.001, 's': 1, 'm': 60, 'h': 3600})
MAX_SHOWN_CHARACTERS = 80
BEARER = 'bearer '
# Headers for camphorpath itself or for one connection, which are not forwarded to upstreams.
PRIVATE_HEADERS = frozenset(
    (
        'camphorpath-customer',
        'camphorpath-tier',
        'camphorpath-timeout',
        'camphorpath-deadline',
        'camphorpath-request-id',
        'host',
        'content-length',
        # Authenticates the customer at camphorpath; upstreams must not see the token.
        'authorization',
    )
)


@attrs.frozen
class CallerHeaders:
    """The headers of a request; names are in lower case."""

    pairs: list[tuple[str, str]]

    def get(self, name: str) -> str:
        """Return the value of a header, or an empty string; raise Refusal if it appears twice."""
        values = [text for key, text in self.pairs if key == name]
        if len(values) > 1:
            raise _refuse_header(name, 'appears more than once')
        return values[0].strip() if values else ''

    def select_forwarded(self) -> list[tuple[str, str]]:
        """Return the headers to forward to the upstream."""
        return [(key, text) for key, text in self.pairs if key not in PRIVATE_HEADERS]


def read_headers(scope: dict) -> CallerHeaders:
    """Return the headers of an ASGI scope."""
    return CallerHeaders(
        [(key.decode('latin-1').lower(), text.decode('latin-1')) for key, text in scope['headers']]
    )


def find_customer(fleet: pb.Fleet, headers: CallerHeaders) -> pb.Customer:
    """Return the customer of a request; raise Refusal if it is unknown or not authenticated.

    A customer that has a token configured is identified only by that token, any other one by the
    camphorpath-customer header or the default.
    """
    requested = headers.get('camphorpath-customer')
    digest = _hash_token(headers.get('authorization'))
    for customer in fleet.customers:
        if not digest or customer.token_sha256 != digest:
            continue
        if requested and requested != customer.name:
            raise _refuse_header('camphorpath-customer', 'differs from the token', requested)
        return customer
    wanted_name = requested or fleet.default_customer
    for customer in fleet.customers:
        if customer.name == wanted_name:
            return _check_no_token(customer)
    raise Refusal(
        'unknown_customer', f'no customer "{wanted_name}" is configured', status=STATUS_FORBIDDEN
    )


def find_tier(
    fleet: pb.Fleet, headers: CallerHeaders, customer: pb.Customer, service: pb.Service
) -> pb.Tier:
    """Return the tier of a request; raise Refusal if it is unknown or above the customer's tier."""
    allowed = _get_tier(fleet, customer.tier)
    for rule in find_exceptions(fleet, customer.name, service.name):
        if rule.tier:
            allowed = _get_tier(fleet, rule.tier)
    requested = headers.get('camphorpath-tier')
    if not requested:
        default = _get_tier(fleet, service.default_tier) if service.default_tier else allowed
        return default if default.rank > allowed.rank else allowed
    tier = _get_tier(fleet, requested)
    if tier.rank < allowed.rank:
        raise Refusal(
            'tier_not_allowed',
            f'customer "{customer.name}" may use tier "{allowed.name}" or lower, not "{requested}"',
            status=STATUS_FORBIDDEN,
        )
    return tier


def find_deadline(
    fleet: pb.Fleet, headers: CallerHeaders, customer: str, service: str, tier: pb.Tier
) -> float:
    """Return the deadline of the complete answer, in seconds on the lease clock; raise Refusal.

    If the request has both a timeout and a deadline header, the earlier instant counts.
    """
    timeout_s = tier.answer_timeout
    for rule in find_exceptions(fleet, customer, service):
        timeout_s = rule.answer_timeout or timeout_s
    timeout = headers.get('camphorpath-timeout')
    if timeout:
        timeout_s = _parse_timeout(timeout)
    instant = headers.get('camphorpath-deadline')
    if instant:
        timeout_s = min(timeout_s, _parse_instant(instant)) if timeout else _parse_instant(instant)
    if timeout_s <= 0:
        raise Refusal('deadline_passed', 'the deadline is in the past', status=STATUS_BAD_REQUEST)
    return read_lease_clock() + timeout_s


def find_idempotency_key(headers: CallerHeaders) -> str:
    """Return the idempotency key, or an empty string; raise Refusal if it is malformed."""
    key = headers.get('idempotency-key')
    if key and not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        raise _refuse_header('idempotency-key', 'must have 1 to 128 visible ASCII characters')
    return key


def _hash_token(authorization: str) -> str:
    if not authorization.lower().startswith(BEARER):
        return ''
    return hashlib.sha256(authorization[len(BEARER) :].strip().encode()).hexdigest()


def _check_no_token(customer: pb.Customer) -> pb.Customer:
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
        raise _refuse_header(
            'camphorpath-timeout', 'must be a number with the unit ms, s, m or h', text
        )
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
    quoted_text = f' "{text[:MAX_SHOWN_CHARACTERS]}"' if text else ''
    return Refusal(
        'bad_header',
        f'header {name}{quoted_text} {problem}',
        status=STATUS_BAD_REQUEST,
        step='accept',
    )
