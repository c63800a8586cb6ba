"""Decodes the settings file that the platform writes for each process."""

import os
import pathlib

import yaml

from ..clocks import MS_PER_S
from ..edge.settings import DEFAULT_STORE_WRITES_PER_S, Bounds, EdgeSettings
from ..errors import PlatformError, UserError
from .fields import Fields

SETTINGS_VARIABLE = 'CAMPHORPATH_CONFIG'


def load_edge_settings(path: str = '') -> EdgeSettings:
    """Return the settings of a file, by default of the one that CAMPHORPATH_CONFIG names.

    Raises UserError if there is no such file or it cannot be decoded.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, '')
    if not path:
        raise UserError(f'no settings file: give one, or set {SETTINGS_VARIABLE}', step='settings')
    try:
        document = yaml.safe_load(pathlib.Path(path).read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise UserError(f'{path}: {error}', step='settings') from error
    try:
        return decode_settings(document)
    except PlatformError as error:
        raise UserError(f'{path}: {error.message}', step='settings') from error


def decode_settings(document: object) -> EdgeSettings:
    """Return the settings of a decoded file; raise PlatformError that names an invalid field."""
    fields = Fields(document, '')
    listen = fields.section('listen_addresses')
    machine = fields.section('limits')
    platform = fields.section('platform')
    ports = fields.items('internal_port_range')
    if not ports or not isinstance(ports[0], int):
        raise PlatformError(
            'internal_port_range is not a list that starts with a port number', step='decode'
        )
    return EdgeSettings(
        name=fields.text('node_name'),
        zone=fields.text('zone'),
        region=fields.text('region'),
        regions=fields.mapping('zones'),
        host=fields.text('ip_address'),
        callers_address=listen.text('frontend'),
        ready_address=listen.text('ready'),
        directory_address=listen.text('directory_service'),
        control_address=listen.text('control_plane'),
        heartbeat_port=ports[0],
        seeds=tuple(fields.texts('seed_nodes')),
        is_first_start=fields.flag('is_bootstrap'),
        # The quota is a fraction of a core that is `core_count` times as fast as a typical core.
        cores=machine.number('cpu_quota') * machine.number('core_count', 1),
        memory_mb=_decode_optional(machine, 'memory_mb') or 0,
        leaves_region=fields.flag('leaves_region'),
        store_url=f'http://{platform.text("address")}',
        store_writes_per_s=platform.number('writes_per_s', DEFAULT_STORE_WRITES_PER_S),
        bounds=_decode_bounds(fields.section('bounds')),
    )


def _decode_bounds(fields: Fields) -> Bounds:
    return Bounds(
        stop_limit_s=fields.number('grace_period_s'),
        max_address_ttl_s=fields.number('ttl_max_s'),
        retry_ratio=fields.number('retry_budget_ratio'),
        retry_window_s=fields.number('retry_window_s'),
        retry_allowance=fields.number('retry_allowance'),
        quota_window_s=fields.number('quota_window_s'),
        quota_overshoot=fields.number('quota_overshoot'),
        quota_allowance=fields.number('quota_allowance'),
        canary_share=_decode_optional(fields, 'canary_share'),
        canary_allowance=_decode_optional(fields, 'canary_allowance'),
        rollback_timeout_s=_decode_optional(fields, 'rollback_timeout_ms', MS_PER_S),
    )


def _decode_optional(fields: Fields, name: str, units_per_s: float = 1) -> float | None:
    """Return a number divided by `units_per_s`, or None if it is missing or null."""
    return fields.number(name) / units_per_s if fields.has(name) else None
