"""Selects the headers that are forwarded to upstreams and callers."""

from collections.abc import Iterable

from ..hop_by_hop import HOP_BY_HOP, read_connection_options
from .header_names import HeaderNames

Headers = list[tuple[bytes, bytes]]

FRAMING = frozenset((b'content-length', b'expect'))


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes:
    """Return the first value of a header, or b'' if it is missing."""
    for key, text in headers:
        if key == name:
            return text
    return b''


def select_request_headers(headers: Headers, header_names: HeaderNames) -> Headers:
    """Return the headers of a request to forward, without those that the relay sets."""
    dropped = HOP_BY_HOP | FRAMING | header_names.reserved | read_connection_options(headers)
    dropped |= {
        header_names.key,
        header_names.customer,
        header_names.expected_upstream,
        header_names.deadline_ms,
    }
    return [(key, text) for key, text in headers if key not in dropped]


def select_answer_headers(headers: Headers) -> Headers:
    """Return the headers of an answer to forward, without those of framing."""
    dropped = HOP_BY_HOP | FRAMING | read_connection_options(headers)
    return [(key, text) for key, text in headers if key not in dropped]
