"""Rows of the metadata store that hold the services to which resumable routes lead or have led."""

import attrs
import orjson

from ..errors import PlatformError
from ..hashing import digest_bytes
from .rows import convert_to_ms, read_seconds


@attrs.frozen
class RouteTarget:
    """A service to which a resumable route leads or has led."""

    host: str
    prefix: str
    service: str
    # The longest timeout of the resumable routes that have led to the service.
    timeout_s: float
    # When the route ceased to lead to it, in seconds; None if it leads to it. Rows state it on the
    # store's steady clock, and None also if that is unknown.
    dropped_s: float | None = None
    # Since when the route is resumable without a break, in seconds; rows state it on the store's
    # steady clock, with zero for the begin of that clock or earlier. None if it is unknown.
    since_s: float | None = None

    @property
    def key(self) -> str:
        """The key of its row."""
        return digest_bytes(orjson.dumps([self.host, self.prefix, self.service])).hex()


def encode_target(target: RouteTarget) -> bytes:
    """Return the content of the row of a target."""
    return orjson.dumps(
        {
            'host': target.host,
            'prefix': target.prefix,
            'service': target.service,
            'timeout_ms': convert_to_ms(target.timeout_s),
            'dropped_ms': convert_to_ms(target.dropped_s),
            'since_ms': convert_to_ms(target.since_s),
        }
    )


def decode_target(content: bytes | None) -> RouteTarget:
    """Return a target; raise PlatformError with the reason if it is unreadable."""
    try:
        document = orjson.loads(content or b'{}')
        names = document['host'], document['prefix'], document['service']
        timeout_s = read_seconds(document['timeout_ms'])
        dropped_s = read_seconds(document['dropped_ms'])
        # Older builds do not write it.
        since_s = read_seconds(document.get('since_ms'))
    except (KeyError, TypeError, ValueError) as error:
        raise PlatformError(f'not a row of a target: {error!r}', step='decode') from error
    if not all(isinstance(name, str) for name in names):
        raise PlatformError('the host, the prefix or the service is not a text', step='decode')
    if timeout_s is None or timeout_s < 0:
        raise PlatformError('the timeout is missing or negative', step='decode')
    return RouteTarget(*names, timeout_s, dropped_s, since_s)
