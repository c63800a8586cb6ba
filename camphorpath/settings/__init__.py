"""Parses and validates the settings and the fleet configuration (YAML to protobuf messages)."""

from .faults import Fault, SettingsError
from .loader import load_settings, parse_fleet, read_defaults

__all__ = ('Fault', 'SettingsError', 'load_settings', 'parse_fleet', 'read_defaults')
