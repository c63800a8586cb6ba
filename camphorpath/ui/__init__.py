"""The command line."""

from .cli import main

__all__ = ('main',)
