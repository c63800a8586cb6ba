"""Orders to engines: load artifacts and change roles until each engine is as configured."""

from .orders import Orders

__all__ = ('Orders',)
