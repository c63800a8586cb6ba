"""Numbered events: the catalogue, the log and the buffer behind the time line."""

from .buffer import EventLog
from .catalogue import Event

__all__ = ('Event', 'EventLog')
