"""Logs unexpected errors that end one connection, call or message, but not the daemon."""

import pathlib
import traceback

from .events import Event, EventLog


def log_internal_error(events: EventLog, error: Exception, request_id: str = '') -> None:
    """Log an error and where it arose; of a group of errors, the first one."""
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)
    where = [f'{pathlib.Path(frame.filename).name}:{frame.lineno}' for frame in frames]
    events.emit(Event.INTERNAL_ERROR, request_id, problem=repr(error), where=' > '.join(where))
