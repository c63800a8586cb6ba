"""Checks that involve several keys and cannot be expressed as the rule of one field."""

import re
from collections.abc import Iterator, Sequence

from google.protobuf.message import Message

from ..schema import camphorpath_pb2 as pb
from .document import Document

_SHA256 = re.compile('[0-9a-f]{64}')
_OVERRIDE_FIELDS = ('tier', 'answer_timeout', 'max_running', 'pool', 'refuse')


def check_settings(settings: pb.Settings, document: Document) -> None:
    """Report all faults that involve more than one key."""
    if not (settings.HasField('daemon') or settings.HasField('fleet')):
        document.report('', 'holds neither "daemon" nor "fleet"')
    _check_references(settings, document)
    if settings.HasField('daemon'):
        _check_daemon(settings, document)
    if not settings.HasField('fleet'):
        return
    fleet = settings.fleet
    _check_membership(fleet.membership, document)
    _check_unique(_list_paths('fleet.tiers', fleet.tiers, 'rank'), document)
    _check_unique(_list_zones(fleet), document)
    _check_unique(_list_models(fleet), document)
    _check_customers(fleet, document)
    _check_weight_store(fleet, document)
    pools = {
        service.name: {pool.name for pool in service.pools}
        for index, service in enumerate(fleet.services)
        if document.is_valid(f'fleet.services[{index}].pools')
    }
    for index, service in enumerate(fleet.services):
        _check_service(service, f'fleet.services[{index}]', document)
    for index, rollout in enumerate(fleet.rollouts):
        path = f'fleet.rollouts[{index}]'
        _check_pool(rollout, path, pools.get(rollout.service), document)
    for index, rule in enumerate(fleet.exceptions):
        path = f'fleet.exceptions[{index}]'
        _check_exception(rule, path, document)
        _check_pool(rule, path, pools.get(rule.service), document)


def _check_references(settings: pb.Settings, document: Document) -> None:
    names: dict[str, set[str]] = {}
    for path, target, name in document.references:
        if not document.is_valid(target):
            continue
        if target not in names:
            names[target] = {entry.name for entry in _resolve(settings, target)}
        if name not in names[target]:
            document.report(path, f'is not in {target}')


def _resolve(message: Message, path: str) -> Sequence[Message]:
    for part in path.split('.'):
        message = getattr(message, part)
    return message


def _check_daemon(settings: pb.Settings, document: Document) -> None:
    daemon = settings.daemon
    if daemon.callers_address and daemon.callers_address == daemon.peers_address:
        document.report('daemon.peers_address', 'is also the callers_address')
    if not settings.HasField('fleet') or not daemon.zone:
        return
    if not document.is_valid('fleet.regions'):
        return
    if daemon.zone not in {zone for region in settings.fleet.regions for zone in region.zones}:
        document.report('daemon.zone', 'is in no region of fleet.regions')


def _check_membership(membership: pb.Membership, document: Document) -> None:
    # A member must not be declared lost between two heartbeats.
    _check_longer(membership, 'fleet.membership', ('beat_interval', 'dead_after'), document)
    # A fenced daemon must have stopped serving before a change is accepted without it.
    _check_longer(membership, 'fleet.membership', ('contact_limit', 'fence_wait'), document)


def _check_longer(message: Message, path: str, fields: tuple[str, str], document: Document) -> None:
    """Report the second of two duration fields unless it is longer than the first."""
    low, high = fields
    if not document.is_valid(f'{path}.{low}', f'{path}.{high}'):
        return
    first = getattr(message, low)
    second = getattr(message, high)
    if second <= first:
        document.report(f'{path}.{high}', f'{second:g}s is not above {low}, {first:g}s')


def _check_unique(entries: Iterator[tuple[str, object]], document: Document) -> None:
    """Report values that occur at several paths; duplicates in one list are reported earlier."""
    first_paths: dict[object, str] = {}
    for path, label in entries:
        if not document.is_valid(path):
            continue
        first = first_paths.setdefault(label, path)
        if first != path:
            document.report(path, f'{label} is already used by {first}')


def _list_paths(path: str, entries: Sequence[Message], field: str) -> Iterator[tuple[str, object]]:
    for index, entry in enumerate(entries):
        yield f'{path}[{index}].{field}', getattr(entry, field)


def _list_zones(fleet: pb.Fleet) -> Iterator[tuple[str, object]]:
    for index, region in enumerate(fleet.regions):
        for zone_index, zone in enumerate(region.zones):
            yield f'fleet.regions[{index}].zones[{zone_index}]', zone


def _list_models(fleet: pb.Fleet) -> Iterator[tuple[str, object]]:
    for index, service in enumerate(fleet.services):
        for model_index, model in enumerate(service.models):
            yield f'fleet.services[{index}].models[{model_index}]', model


def _check_customers(fleet: pb.Fleet, document: Document) -> None:
    for path, digest in _list_paths('fleet.customers', fleet.customers, 'token_sha256'):
        if digest and not _SHA256.fullmatch(digest):
            document.report(path, 'expected 64 lower-case hexadecimal digits')
    tokens = _list_paths('fleet.customers', fleet.customers, 'token_sha256')
    _check_unique((pair for pair in tokens if pair[1]), document)


def _check_service(service: pb.Service, path: str, document: Document) -> None:
    _check_longer(service, path, ('load_interval', 'load_limit'), document)
    if document.is_valid(f'{path}.default_pool', f'{path}.pools'):
        if service.default_pool not in {pool.name for pool in service.pools}:
            document.report(f'{path}.default_pool', f'is not in {path}.pools')
    if service.kind == 'model':
        if not service.models and document.is_valid(f'{path}.models'):
            document.report(f'{path}.models', 'is required for a service of kind model')
        if service.operations:
            document.report(f'{path}.operations', 'has no effect on a service of kind model')
    elif service.kind == 'plain' and service.models:
        document.report(f'{path}.models', 'has no effect on a service of kind plain')
    _check_operations(service, path, document)
    _check_engine_fields(service, path, document)


def _check_engine_fields(service: pb.Service, path: str, document: Document) -> None:
    if service.kind != 'plain':
        return
    for pool_path, _ in _list_paths(f'{path}.pools', service.pools, 'name'):
        for field in ('artifacts', 'role'):
            field_path = f'{pool_path.removesuffix(".name")}.{field}'
            if field_path in document.nodes:
                document.report(field_path, 'has no effect on a service of kind plain')


def _check_weight_store(fleet: pb.Fleet, document: Document) -> None:
    # A load takes its whole size from the budget at once, so the budget must be able to hold it.
    if not fleet.weight_store_rate or not document.is_valid('fleet.weight_store_burst'):
        return
    if not fleet.weight_store_burst:
        document.report('fleet.weight_store_burst', 'must be above 0 with a weight_store_rate')
        return
    for index, service in enumerate(fleet.services):
        for pool_index, pool in enumerate(service.pools):
            path = f'fleet.services[{index}].pools[{pool_index}].artifacts'
            for size_path, size in _list_paths(path, pool.artifacts, 'size'):
                if size > fleet.weight_store_burst and document.is_valid(size_path):
                    document.report(size_path, 'is above fleet.weight_store_burst')


def _check_operations(service: pb.Service, path: str, document: Document) -> None:
    seen: set[tuple[str, str]] = set()
    for index, operation in enumerate(service.operations):
        operation_path = f'{path}.operations[{index}].path'
        if operation.path and not operation.path.startswith('/'):
            document.report(operation_path, 'must begin with "/"')
        pair = (operation.method, operation.path)
        if all(pair) and pair in seen:
            document.report(operation_path, f'occurs twice for {operation.method}')
        seen.add(pair)


def _check_pool(
    entry: pb.Rollout | pb.ExceptionRule, path: str, pools: set[str] | None, document: Document
) -> None:
    # A missing or unknown service is reported separately.
    if entry.pool and pools is not None and entry.pool not in pools:
        document.report(f'{path}.pool', f'is not a pool of service {entry.service}')


def _check_exception(rule: pb.ExceptionRule, path: str, document: Document) -> None:
    if not document.is_valid(path):
        return
    given = {field for field in _OVERRIDE_FIELDS if f'{path}.{field}' in document.nodes}
    if not given:
        document.report(path, f'overrides nothing; give one of {", ".join(_OVERRIDE_FIELDS)}')
    if not any(f'{path}.{field}' in document.nodes for field in ('customer', 'service')):
        document.report(path, 'needs a customer or a service')
    if rule.pool and f'{path}.service' not in document.nodes:
        document.report(f'{path}.pool', 'needs the service of the pool')
    # The message does not distinguish 0 from an absent key, so the override would have no effect.
    is_ineffective = 'max_running' in given and not rule.max_running
    if is_ineffective and document.is_valid(f'{path}.max_running'):
        document.report(f'{path}.max_running', 'must be above 0 in an exception')
