"""Applies the configuration of the fleet to one request: services, exceptions, rollouts."""

import datetime
import hashlib
from collections.abc import Iterable

from ..errors import Refusal
from ..schema import camphorpath_pb2 as pb

STATUS_NOT_FOUND = 404
STATUS_FORBIDDEN = 403
SAFE_METHODS = frozenset(('GET', 'HEAD'))
HASH_BYTES = 8
HASH_RANGE = 1 << (8 * HASH_BYTES)


def find_service(fleet: pb.Fleet, name: str) -> pb.Service:
    """Return the plain service `name`; raise Refusal if there is none."""
    for service in fleet.services:
        if service.name == name and service.kind == 'plain':
            return service
    raise Refusal('unknown_service', f'no service "{name}" is configured', status=STATUS_NOT_FOUND)


def find_model(fleet: pb.Fleet, model: str) -> pb.Service:
    """Return the service that offers `model`; raise Refusal if none does."""
    for service in fleet.services:
        if model in service.models:
            return service
    raise Refusal('unknown_model', f'no model "{model}" is configured', status=STATUS_NOT_FOUND)


def find_exceptions(fleet: pb.Fleet, customer: str, service: str) -> Iterable[pb.ExceptionRule]:
    """Yield the exceptions for a customer's calls to a service, in configuration order."""
    for rule in fleet.exceptions:
        if rule.customer and rule.customer != customer:
            continue
        if rule.service and rule.service != service:
            continue
        yield rule


def is_idempotent(service: pb.Service, method: str, path: str) -> bool:
    """Return whether a call may run more than once without harm.

    The operation with the longest matching path prefix decides. A call that matches no operation
    is idempotent only for GET and HEAD, since repeating any other could book twice.
    """
    if service.kind == 'model':
        return True
    longest_match: pb.Operation | None = None
    for operation in service.operations:
        if operation.method != method or not _has_prefix(path, operation.path):
            continue
        if longest_match is None or len(operation.path) > len(longest_match.path):
            longest_match = operation
    return method in SAFE_METHODS if longest_match is None else longest_match.idempotent


def choose_pool(
    fleet: pb.Fleet, service: pb.Service, customer: str, tier: str, identity: str
) -> str:
    """Return the pool that serves a request: that of an exception, a rollout or the default one.

    `identity` is the idempotency key, or else the request id. Whether a rollout includes the
    request is a function of it, so that a repeated request always goes to the same pool.
    """
    for rule in find_exceptions(fleet, customer, service.name):
        if rule.pool:
            return rule.pool
    for rollout in fleet.rollouts:
        if rollout.service != service.name or not _rollout_applies(rollout, customer, tier):
            continue
        if _hash_share(rollout.name, identity) < rollout.share:
            return rollout.pool
    return service.default_pool


def _rollout_applies(rollout: pb.Rollout, customer: str, tier: str) -> bool:
    if rollout.customers and customer not in rollout.customers:
        return False
    if rollout.tiers and tier not in rollout.tiers:
        return False
    return not rollout.hours or _is_within_hours(rollout.hours)


def _has_prefix(path: str, prefix: str) -> bool:
    stem = prefix.rstrip('/')
    return path == stem or path.startswith(f'{stem}/')


def _hash_share(name: str, identity: str) -> float:
    digest = hashlib.blake2b(f'{name}\0{identity}'.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, 'big') / HASH_RANGE


def _is_within_hours(hours: str) -> bool:
    start, _, end = hours.partition('-')
    now = datetime.datetime.now(datetime.UTC).strftime('%H:%M')
    if start <= end:
        return start <= now < end
    return now >= start or now < end
