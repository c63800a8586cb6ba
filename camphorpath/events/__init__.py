"""Numbered events: the catalogue, the log, and the buffer that the timeline reads."""

from .buffer import EventLog
from .catalogue import Event

__all__ = ('Event', 'EventLog')
