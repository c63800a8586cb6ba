"""Bounds what a daemon buffers for slow callers and slow upstreams."""
