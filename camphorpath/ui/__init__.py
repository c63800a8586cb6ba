"""The command-line interface."""

from .start import main

__all__ = ('main',)
