"""One edge daemon: callers, upstreams and peers on a machine that keeps nothing."""

from .daemon import run_edge
from .settings import Bounds, EdgeSettings

__all__ = ('Bounds', 'EdgeSettings', 'run_edge')
