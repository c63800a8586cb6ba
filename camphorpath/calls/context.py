"""State and services that all calls of a daemon share."""

import anyio
import anyio.abc
import attrs
import httpx

from ..admission import AdmissionClient
from ..claims import Claims
from ..events import EventLog
from ..members import Membership
from ..metrics import Metrics
from ..schema import camphorpath_pb2 as pb
from ..versions import Versions
from .request_ids import SeenIds


class RequestsInProgress:
    """Counts the accepted requests that have not been answered."""

    def __init__(self) -> None:
        """Start at zero."""
        self.count = 0
        self._idle = anyio.Event()
        self._idle.set()

    def __enter__(self) -> None:
        """Count a request as in progress."""
        if not self.count:
            self._idle = anyio.Event()
        self.count += 1

    def __exit__(self, *exc_info: object) -> None:
        """Count a request as finished."""
        self.count -= 1
        if not self.count:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Return when no request is in progress."""
        while self.count:
            await self._idle.wait()


@attrs.define(kw_only=True)
class CallContext:
    """The components of the daemon that calls use."""

    settings: pb.Daemon
    membership: Membership
    versions: Versions
    admission: AdmissionClient
    claims: Claims
    client: httpx.AsyncClient
    events: EventLog
    metrics: Metrics
    seen_ids: SeenIds
    # Runs calls whose answer must be recorded even if their caller disconnects.
    task_group: anyio.abc.TaskGroup
    requests_in_progress: RequestsInProgress = attrs.Factory(RequestsInProgress)
