"""Decodes the entries with which upstreams register in the metadata store."""

import re

from ..addresses import is_ipv4_address
from ..errors import PlatformError
from ..routing import Upstream
from .fields import MAX_NAME_CHARS, Fields, decode_fields
from .wire import STATE_LEAVING, STATES

MAX_SHOWN_CHARS = 40
# More slots than any upstream has. Daemons report free slots to each other, and more of them take
# calls the more slots there are.
MAX_SLOTS = 4096
MAX_PORT = 65535
PORT = re.compile('[0-9]{1,5}')
# Ids are sent in headers.
UPSTREAM_ID = re.compile(f'[!-~]{{1,{MAX_NAME_CHARS}}}')


def decode_upstream(upstream_id: str, text: bytes) -> Upstream:
    """Return the upstream that an entry describes; raise PlatformError if the entry is invalid.

    An entry may come from another writer. The upstream returned can be connected to, named in a
    header and sent to peers, and has 1 to MAX_SLOTS slots.
    """
    if not UPSTREAM_ID.fullmatch(upstream_id):
        raise PlatformError('the id is not visible ASCII or too long', step='decode')
    fields = decode_fields(text)
    state = fields.text('runner_state')
    if state not in STATES:
        raise PlatformError(f'unknown state {state[:MAX_SHOWN_CHARS]!r}', step='decode')
    host, port = _split_address(fields.text('address'))
    return Upstream(
        upstream_id=upstream_id,
        service=fields.name('service'),
        host=host,
        port=port,
        zone=fields.name('zone'),
        slots=max(1, fields.whole('slot_count', highest=MAX_SLOTS)),
        is_leaving=state == STATE_LEAVING,
        incarnation=fields.whole('born', 0),
        sequence=fields.whole('sequence', 0),
        software_version=_read_software_version(fields),
    )


def _read_software_version(fields: Fields) -> str:
    """Return the version of the software, or an empty string if the entry states no valid one."""
    try:
        return fields.name('version')
    except PlatformError:
        # The upstream can serve, but no stream of another one may go on there.
        return ''


def _split_address(address: str) -> tuple[str, int]:
    """Return an IPv4 address and a port from 1 to MAX_PORT; raise PlatformError."""
    host, _, digits = address.rpartition(':')
    port = int(digits) if PORT.fullmatch(digits) else 0
    if not is_ipv4_address(host) or not 1 <= port <= MAX_PORT:
        raise PlatformError(f'{address[:MAX_SHOWN_CHARS]!r} is not an address', step='decode')
    return host, port
