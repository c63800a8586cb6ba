"""Acceptance and activation of the fleet-wide configuration."""

from .records import FleetVersion
from .versions import ConfigVersions

__all__ = ('ConfigVersions', 'FleetVersion')
