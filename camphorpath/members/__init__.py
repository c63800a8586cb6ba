"""Membership by heartbeat, incarnations and the assignment of keys to owners."""

from .membership import Membership

__all__ = ('Membership',)
