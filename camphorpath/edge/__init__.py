"""The edge daemon, which connects callers, upstreams and peers and stores nothing on disk."""

from .daemon import run_edge
from .settings import Bounds, EdgeSettings

__all__ = ('Bounds', 'EdgeSettings', 'run_edge')
