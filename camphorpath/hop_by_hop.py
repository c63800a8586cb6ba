"""Hop-by-hop headers, which apply to one connection and are not forwarded."""

HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


def read_connection_options(raw: list[tuple[bytes, bytes]]) -> set[bytes]:
    """Return the lower-case header names that the Connection headers list as hop-by-hop."""
    return {
        option.strip().lower()
        for name, text in raw
        if name.lower() == b'connection'
        for option in text.split(b',')
    }
