"""The reports in which upstreams state what they are."""

from ..relay.reports import ReportFormat
from .fields import decode_fields


def decode_incarnation(body: bytes) -> int:
    """Return the incarnation of the upstream, 0 if it states none; raise PlatformError."""
    return decode_fields(body).whole('born', 0)


def decode_memory(body: bytes) -> float:
    """Return the tokens that the upstream can hold, 0 if it states none; raise PlatformError."""
    return decode_fields(body).number('kv_total_tokens', 0)


REPORT_FORMAT = ReportFormat(
    path=b'/camphorpath/report',
    decode_incarnation=decode_incarnation,
    decode_memory=decode_memory,
)
