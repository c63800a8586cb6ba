"""The HTTP side towards callers: heads, refusals, relay and addresses."""

from .application import make_application
from .context import CallContext, Progress

__all__ = ('CallContext', 'Progress', 'make_application')
