"""Acceptance and activation of the fleet-wide configuration."""

from .records import FleetVersion
from .versions import Versions

__all__ = ('FleetVersion', 'Versions')
