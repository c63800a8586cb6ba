"""A request scheduler for upstreams with different hardware and models."""

__version__ = '0.1.0'
