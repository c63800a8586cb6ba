"""Finds out which process of an upstream answers on a connection."""

from collections.abc import Callable

import anyio
import attrs
import h11
from loguru import logger

from ..errors import NotSent, PlatformError
from ..routing import Upstream
from .upstream import MAX_SKIPPED_HEADS, UpstreamConnection

# Covers one lost packet, which is sent again after 0.2 s.
REPORT_TIMEOUT_S = 0.25
MAX_REPORT_BYTES = 262144
# After a report without an incarnation, new streams begin without another one for this time.
REPORT_PAUSE_S = 2.0
STATUS_OK = 200


@attrs.frozen(kw_only=True)
class ReportFormat:
    """Where upstreams of a platform report their state, and how it states their incarnation."""

    path: bytes
    # Returns the incarnation in the body of a report, 0 if it states none; raises PlatformError.
    decode_incarnation: Callable[[bytes], int]
    # Returns the tokens that the upstream can hold, 0 if the report states none; raises
    # PlatformError.
    decode_memory: Callable[[bytes], float] = lambda body: 0


@attrs.frozen
class ProcessIdentity:
    """What the process at the other end of a connection says of itself."""

    # 0 if it is unknown.
    incarnation: int
    # Why it is unknown; empty otherwise.
    problem: str = ''
    # Whether the connection ended instead.
    is_lost: bool = False


@attrs.define
class ReportReader:
    """Asks upstreams for reports, and remembers those that state no incarnation."""

    report_format: ReportFormat
    # Called with the tokens that an upstream can hold, by its report; 0 if it states none.
    on_memory: Callable[[Upstream, float], None] = lambda upstream, tokens: None
    _is_fault_logged: bool = False
    # Instants until which new streams begin without a report, by upstream and incarnation.
    _pauses: dict[tuple[str, int], float] = attrs.field(factory=dict)

    def is_paused(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream stated no incarnation within REPORT_PAUSE_S."""
        return now < self._pauses.get(upstream.key, 0)

    async def identify(
        self, conn: UpstreamConnection, upstream: Upstream, now: float
    ) -> ProcessIdentity:
        """Ask the process on an idle connection for its incarnation; `now` is on the lease clock.

        It takes up to REPORT_TIMEOUT_S seconds. Afterwards the connection is idle again, or has to
        be closed if `make_reusable` returns false. If it is cancelled, it has to be closed.
        """
        identity = ProcessIdentity(0, f'no report within {REPORT_TIMEOUT_S} s')
        with anyio.move_on_after(REPORT_TIMEOUT_S):
            identity = await self._read_identity(conn, upstream)
        # An idle connection may have been closed at any time.
        if not identity.incarnation and not (identity.is_lost and conn.was_used):
            self._pauses = {key: until for key, until in self._pauses.items() if now < until}
            self._pauses[upstream.key] = now + REPORT_PAUSE_S
        return identity

    async def _read_identity(self, conn: UpstreamConnection, upstream: Upstream) -> ProcessIdentity:
        headers = [(b'host', upstream.address.encode())]
        request = h11.Request(method=b'GET', target=self.report_format.path, headers=headers)
        try:
            conn.send(request, b'')
            body = await _read_report(conn)
            incarnation = self.report_format.decode_incarnation(body)
        except PlatformError as error:
            return ProcessIdentity(0, str(error))
        except (NotSent, OSError, h11.RemoteProtocolError) as error:
            return ProcessIdentity(0, repr(error), is_lost=True)
        if incarnation == upstream.incarnation:
            self._apply_memory(upstream, body)
        return ProcessIdentity(incarnation, '' if incarnation else 'the report states none')

    def _apply_memory(self, upstream: Upstream, body: bytes) -> None:
        """Pass on the memory in a report; the first one that cannot be read is logged."""
        try:
            tokens = self.report_format.decode_memory(body)
        except PlatformError as error:
            if not self._is_fault_logged:
                logger.warning('memory in the report of {}: {}', upstream.upstream_id, error)
            self._is_fault_logged = True
            return
        self.on_memory(upstream, tokens)


async def _read_report(conn: UpstreamConnection) -> bytes:
    """Return the body of a report; raise OSError, h11.RemoteProtocolError or PlatformError."""
    status = await _read_status(conn)
    body = bytearray()
    while True:
        event = await conn.read_event(MAX_REPORT_BYTES)
        if isinstance(event, h11.EndOfMessage):
            break
        if not isinstance(event, h11.Data):
            raise h11.RemoteProtocolError('connection closed inside a report')
        body += event.data
    if status != STATUS_OK:
        raise PlatformError(f'the report was answered with status {status}', step='report')
    return bytes(body)


async def _read_status(conn: UpstreamConnection) -> int:
    for _ in range(MAX_SKIPPED_HEADS):
        event = await conn.read_event()
        if isinstance(event, h11.InformationalResponse):
            continue
        if isinstance(event, h11.Response):
            return event.status_code
        raise h11.RemoteProtocolError('connection closed without a report')
    raise h11.RemoteProtocolError(f'no report in the first {MAX_SKIPPED_HEADS} response heads')
