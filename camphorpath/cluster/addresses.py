"""Addresses of machines, as other daemons and rows of the store name them."""

import ipaddress


def is_address(host: str) -> bool:
    """Return whether a host is an IPv4 address; a name would be looked up for each datagram."""
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
