"""Checks of the host addresses that peers and the store report."""

import socket


def is_ipv4_address(host: str) -> bool:
    """Return whether a host is an IPv4 address.

    A host name would cause a DNS lookup for each datagram that is sent to it.
    """
    try:
        # Called for each received datagram; the ipaddress module takes ten times as long.
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return False
    return True
