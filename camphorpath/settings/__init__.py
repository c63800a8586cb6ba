"""Settings and fleet configuration: YAML text to checked messages of the schema."""

from .faults import Fault, SettingsError
from .loader import load_settings, parse_fleet, read_defaults

__all__ = ('Fault', 'SettingsError', 'load_settings', 'parse_fleet', 'read_defaults')
