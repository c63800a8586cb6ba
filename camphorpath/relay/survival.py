"""Finds out whether the process of an upstream outlived an answer that ended with its connection.

The kernel closes the connections of a killed process like the process itself closes one at the end
of such an answer. So only a process that goes on shows that it has sent the whole answer.
"""

import enum

import anyio

from ..clocks import read_lease_clock
from ..errors import NotSent
from ..routing import Upstream
from .context import RelayContext
from .reports import ReportReader
from .upstream import UpstreamConnection, UpstreamPool

# The kernel closes the connections of a killed process before its listening socket.
PROCESS_EXIT_S = 0.05
# Reports that are asked for, as a packet may be lost or an idle connection closed.
MAX_TRIES = 2


@enum.unique
class Survival(enum.Enum):
    """Whether a process went on after the end of its answer."""

    GOES_ON = 'goes_on'
    ENDED = 'ended'
    UNKNOWN = 'unknown'


async def check_survival(
    context: RelayContext, conn: UpstreamConnection, upstream: Upstream
) -> Survival:
    """Return whether the process at the other end of a connection that has ended goes on.

    A report is the best evidence, as a process that is being killed answers no more. An upstream
    that is not known to report is taken to go on if it listens. It takes 0.5 s if the upstream is
    silent, and 1.2 s if it cannot be reached.
    """
    try:
        survival = await _compare_incarnation(context, conn, upstream)
        return survival or await _look_for_listener(context.pool, upstream)
    except NotSent as error:
        is_refused = isinstance(error.__cause__, ConnectionRefusedError)
        return Survival.ENDED if is_refused else Survival.UNKNOWN


async def _compare_incarnation(
    context: RelayContext, conn: UpstreamConnection, upstream: Upstream
) -> Survival | None:
    """Return what the report of an upstream shows, None if it may report none; raise NotSent."""
    reports = context.reports
    if reports is None:
        return None
    if conn.incarnation:
        reported = await _ask_for_incarnation(reports, context.pool, upstream)
        if not reported:
            return Survival.UNKNOWN
        return Survival.GOES_ON if reported == conn.incarnation else Survival.ENDED
    if not upstream.incarnation or reports.is_paused(upstream, read_lease_clock()):
        return None
    reported = await _ask_for_incarnation(reports, context.pool, upstream)
    if not reported:
        return None
    # Another one does not show an end, as the entry may be older than the answer.
    return Survival.GOES_ON if reported == upstream.incarnation else Survival.UNKNOWN


async def _ask_for_incarnation(
    reports: ReportReader, pool: UpstreamPool, upstream: Upstream
) -> int:
    """Return the incarnation that an upstream reports now, 0 if it reports none; raise NotSent."""
    incarnation = 0
    for _ in range(MAX_TRIES):
        conn = await _acquire_connection(pool, upstream)
        is_asked = False
        try:
            identity = await reports.identify(conn, upstream, read_lease_clock())
            conn.incarnation = identity.incarnation or conn.incarnation
            is_asked = True
        finally:
            pool.release(conn, is_complete=is_asked)
        incarnation = identity.incarnation
        if incarnation:
            break
    return incarnation


async def _acquire_connection(pool: UpstreamPool, upstream: Upstream) -> UpstreamConnection:
    """Return an idle or new connection; raise NotSent after a refusal or two timeouts."""
    try:
        return await pool.acquire(upstream, is_recent=False)
    except NotSent as error:
        if not isinstance(error.__cause__, TimeoutError):
            raise
    return await pool.acquire(upstream, is_recent=False)


async def _look_for_listener(pool: UpstreamPool, upstream: Upstream) -> Survival:
    """Return whether an upstream listens; raise NotSent if that cannot be found out."""
    await anyio.sleep(PROCESS_EXIT_S)
    is_listening = await pool.is_listening(upstream)
    return Survival.GOES_ON if is_listening else Survival.ENDED
