import ipaddress

import pytest

from camphorpath.addresses import is_ipv4_address

HOSTS = (
    *(
        '10.0.0.1',
        '0.0.0.0',
        '255.255.255.255',
        '127.1',
        '1',
        '0x7f.0.0.1',
        '010.0.0.1',
        '10.0.0.01',
    ),
    *(
        '256.0.0.1',
        '1.2.3.4.5',
        '1.2.3.',
        '',
        ' 10.0.0.1',
        '10.0.0.1 ',
        '10.0.0.1\n',
        '10.0.0.1:80',
    ),
    *('::1', 'localhost', '10.0.0.1\0', '1\u0660.0.0.1', '-1.0.0.1', '1e1.0.0.1', '10.0.0.1/32'),
)


@pytest.mark.parametrize('host', HOSTS)
def test_only_complete_addresses_are_accepted(host):
    """Guards against accepting a host that is resolved by DNS or parsed as another address."""
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        assert not is_ipv4_address(host)
    else:
        assert is_ipv4_address(host)


def test_check_is_cheap(monkeypatch):
    """Guards against a slow check, in pure Python, for each datagram of a large fleet."""
    monkeypatch.setattr(ipaddress, 'IPv4Address', None)
    assert is_ipv4_address('10.0.0.1')
