"""Membership by heartbeat, incarnations and the choice of owners."""

from .membership import Membership

__all__ = ('Membership',)
