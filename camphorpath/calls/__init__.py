"""The HTTP side towards callers: heads, refusals, relay and addresses."""

from .context import CallContext, Progress
from .server import open_listener, serve_callers

__all__ = ('CallContext', 'Progress', 'open_listener', 'serve_callers')
