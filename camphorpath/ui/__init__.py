"""The command line."""

from .start import main

__all__ = ('main',)
