"""Calls between the connections of callers and those of upstreams."""
