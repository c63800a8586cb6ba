"""Small stand-ins for upstreams and the platform, run as separate processes."""
