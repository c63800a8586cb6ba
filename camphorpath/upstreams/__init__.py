"""Calls to upstreams and their load reports."""
