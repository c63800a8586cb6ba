"""HTTP interface for callers: request checks, dispatch, answers, refusals and addresses."""

from .context import CallContext, RequestsInProgress
from .server import open_listener, serve_callers

__all__ = ('CallContext', 'RequestsInProgress', 'open_listener', 'serve_callers')
