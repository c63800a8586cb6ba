"""Moves the traffic of a service to the upstreams of another software version."""
