"""Orders to engines: load artifacts and change roles until each engine matches the settings."""

from .orders import Orders

__all__ = ('Orders',)
