"""Decodes the manifest of the platform into a routing table."""

import math
from collections.abc import Callable, Iterable

from ..errors import PlatformError
from ..routing import CallerLimits, CallKind, Customer, Route, RoutingTable, Service
from .fields import Fields, decode_fields
from .wire import CALL_KINDS

MS_PER_S = 1000
UNIT_TOKENS = 'tokens'
# Versions are sent to peers as 64-bit numbers.
MAX_VERSION = 18446744073709551615


def decode_manifest(text: bytes) -> RoutingTable:
    """Return the routing table of a manifest; raise PlatformError that names an invalid field."""
    fields = decode_fields(text)
    services = [_decode_service(entry) for entry in fields.objects('services')]
    return RoutingTable(
        version=int(fields.number('version')),
        routes=tuple(_decode_route(entry) for entry in fields.objects('routes')),
        services={service.name: service for service in services},
        limits=_decode_limits(fields.section('limits')),
        customers=_decode_customers(fields) if fields.has('tenants') else None,
    )


def list_manifest_faults(text: bytes) -> list[str]:
    """Return why a manifest cannot be used, one line for each entry; empty if it can be decoded."""
    try:
        fields = decode_fields(text)
        version = fields.whole('version', highest=MAX_VERSION)
        routes, services = fields.objects('routes'), fields.objects('services')
        customers, limits = fields.objects('tenants'), fields.section('limits')
    except PlatformError as error:
        return [error.message]
    faults = [] if version else ['version is 0']
    faults += _list_faults(_decode_route, routes)
    faults += _list_faults(_decode_service, services)
    faults += _list_faults(_decode_customer, customers)
    faults += _list_faults(lambda entry: entry.texts('api_keys'), customers)
    faults += _list_faults(_decode_limits, [limits])
    if faults:
        return faults
    keys = [key for entry in customers for key in entry.texts('api_keys')]
    return [] if len(keys) == len(set(keys)) else ['a key stands twice']


def _list_faults(decode: Callable[[Fields], object], entries: Iterable[Fields]) -> list[str]:
    faults = []
    for entry in entries:
        try:
            decode(entry)
        except PlatformError as error:
            faults.append(error.message)
    return faults


def read_manifest_version(text: bytes) -> int | None:
    """Return the version of a manifest, or None if it cannot be read."""
    try:
        return decode_fields(text).whole('version', highest=MAX_VERSION)
    except PlatformError:
        # The caller rejects and logs the manifest when it decodes it.
        return None


def _decode_route(fields: Fields) -> Route:
    kind = CALL_KINDS.get(fields.text('route_type'))
    if kind is None:
        raise PlatformError(f'unknown route type of route {fields.text("name")}', step='decode')
    timeout_s = fields.number('timeout_ms') / MS_PER_S
    return Route(
        name=fields.text('name'),
        host=fields.text('hostname').lower(),
        prefix=fields.text('prefix'),
        kind=kind,
        timeout_s=timeout_s,
        objective_s=fields.number('target_latency_ms', timeout_s * MS_PER_S) / MS_PER_S,
        priority=int(fields.number('priority', 0)),
        max_attempts=max(1, int(fields.number('max_attempts', 1))),
        needs_key=not fields.flag('auth_exempt'),
        is_resumable=kind is CallKind.STREAM and fields.flag('stream_resume'),
        # The field is named after the time between two tokens, but limits the time between events.
        max_event_gap_s=(fields.number('itl_target_ms', 0) or math.inf) / MS_PER_S,
        targets=_decode_targets(fields),
    )


def _decode_targets(fields: Fields) -> tuple[tuple[str, float], ...]:
    if fields.has('traffic_split'):
        targets = tuple(
            (entry.text('service'), entry.number('weight'))
            for entry in fields.objects('traffic_split')
        )
        if not targets:
            raise PlatformError('traffic_split of a route is empty', step='decode')
        return targets
    return ((fields.text('service'), 1.0),)


def _decode_service(fields: Fields) -> Service:
    return Service(
        name=fields.text('name'),
        max_connections=int(fields.number('max_connections', 0)),
        is_engine=fields.has('inference_engine'),
        memory_tokens=fields.number('kv_capacity_tokens', 0),
    )


def _decode_limits(fields: Fields) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        max_head_bytes=int(fields.number('max_header_bytes', defaults.max_head_bytes)),
        max_body_bytes=int(fields.number('max_body_bytes', defaults.max_body_bytes)),
        head_timeout_s=fields.number('header_timeout_ms', defaults.head_timeout_s * MS_PER_S)
        / MS_PER_S,
        idle_timeout_s=fields.number('idle_timeout_ms', defaults.idle_timeout_s * MS_PER_S)
        / MS_PER_S,
    )


def _decode_customers(fields: Fields) -> dict[str, Customer]:
    customers = {}
    for entry in fields.objects('tenants'):
        customer = _decode_customer(entry)
        for key in entry.texts('api_keys'):
            customers[key] = customer
    return customers


def _decode_customer(entry: Fields) -> Customer:
    return Customer(
        name=entry.text('name'),
        priority=int(entry.number('priority', 0)),
        rate=entry.number('rate_per_s', 0),
        burst=entry.number('burst_size', 0),
        counts_tokens=entry.has('unit') and entry.text('unit') == UNIT_TOKENS,
        # The field is named after uncached prompts, but applies to each request without a token
        # header.
        default_units=entry.number('uncached_tokens', 0),
    )
