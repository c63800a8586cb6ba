"""Selects the headers that are forwarded between callers and upstreams."""

from ..hop_by_hop import HOP_BY_HOP, read_connection_options

REQUEST_ID_HEADER = b'camphorpath-request-id'
# Headers that are not forwarded but set for each call. Without accept-encoding the answer is not
# compressed, so that the end of a stream can be recognized in its raw bytes.
SET_PER_CALL = frozenset(
    (
        b'accept-encoding',
        b'content-length',
        b'expect',
        b'host',
        REQUEST_ID_HEADER,
    )
)


def select_request_headers(headers: list[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    """Return the headers to forward to the upstream.

    Raises UnicodeEncodeError for names that are not ASCII and values that are not Latin-1.
    """
    raw = [(name.encode('ascii'), text.encode('latin-1')) for name, text in headers]
    dropped = HOP_BY_HOP | SET_PER_CALL | read_connection_options(raw)
    return [(name, text) for name, text in raw if name.lower() not in dropped]


def select_answer_headers(raw: list[tuple[bytes, bytes]]) -> list[tuple[str, str]]:
    """Return the headers of an answer to forward to the caller."""
    dropped = HOP_BY_HOP | read_connection_options(raw)
    return [
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in raw
        if name.lower() not in dropped
    ]
