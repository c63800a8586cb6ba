"""State that the calls of a daemon share."""

import contextlib
import math
from collections.abc import Awaitable, Callable, Iterator

import anyio
import attrs

from ..buffers import BufferPool
from ..clocks import read_lease_clock
from ..events import EventLog
from ..memory.ledger import MemoryLedger
from ..placement.budget import RetryBudget
from ..placement.crashes import Pattern
from ..placement.engine_limits import apply_services
from ..placement.quarantine import Quarantine
from ..placement.quota import QuotaLedger
from ..placement.quota_queue import QuotaQueue
from ..placement.scheduler import Scheduler
from ..rollouts.registry import Rollouts
from ..routing import CallerLimits, RoutingTable, Upstream
from ..streams import OriginLookup
from .caller import CallerConnection, CallerRequest
from .header_names import HeaderNames
from .headers import Headers
from .metrics import RelayMetrics
from .reports import ReportReader
from .upstream import UpstreamPool


async def _look_up_nothing(_upstream_id: str, _incarnation: int) -> None:
    """Read no entries; for a daemon without a store."""


@attrs.define(kw_only=True)
class RelayContext:
    """The components that calls use, and the calls in progress."""

    header_names: HeaderNames
    scheduler: Scheduler
    quota: QuotaLedger
    budget: RetryBudget
    pool: UpstreamPool
    # What is buffered for callers and upstreams.
    memory: MemoryLedger = attrs.field(factory=MemoryLedger)
    # None if upstreams report no incarnation; then their entries tell their versions.
    reports: ReportReader | None = None
    quarantine: Quarantine = attrs.field(factory=Quarantine)
    # The software versions that began streams.
    origins: OriginLookup = attrs.field(factory=OriginLookup)
    # Orders to move services to other versions, which the scheduler obeys; None to ignore orders.
    rollouts: Rollouts | None = None
    events: EventLog
    metrics: RelayMetrics
    # Returns this daemon's share of the retry allowance.
    get_budget_share: Callable[[], float]
    # Called for an upstream whose answer states that it is leaving.
    on_leaving: Callable[[Upstream], None] = lambda upstream: None
    # Brings the entries up to date for an incarnation of an upstream that none describes.
    look_up_process: Callable[[str, int], Awaitable[None]] = _look_up_nothing
    # Returns whether this daemon may send a call with a pattern that is in quarantine as a probe.
    is_prober: Callable[[Pattern], bool] = lambda pattern: True
    # None before the first manifest is received.
    routing_table: RoutingTable | None = None
    # Returns whether `routing_table` is of the newest manifest, as far as this daemon knows.
    is_current: Callable[[], bool] = lambda: True
    # Returns the seconds since the store confirmed the upstreams held here; infinite if never.
    read_store_age: Callable[[], float] = lambda: math.inf
    is_stopping: bool = False
    # Instant from which a stopping daemon refuses new calls, on the lease clock.
    refuse_from: float | None = None
    # Calls without a final answer.
    in_progress: int = 0
    connections: set[CallerConnection] = attrs.field(factory=set)
    # The calls that wait for units of `quota`.
    quota_queue: QuotaQueue = attrs.field(init=False)
    # When calls that did not fit into engines were logged last, on the lease clock.
    blocked_reported_at: float = -math.inf
    # Set when the calls in progress are cancelled at the end of a stop.
    is_cancelling: bool = False
    # Cancel scopes of the calls without a final answer.
    _scopes: set[anyio.CancelScope] = attrs.field(factory=set)
    # Called when more calls are in quarantine.
    _quarantine_watchers: set[Callable[[], None]] = attrs.field(factory=set)
    _checked_pattern_count: int = 0
    _routing_table_replaced: anyio.Event = attrs.field(factory=anyio.Event)

    @quota_queue.default
    def _make_quota_queue(self) -> QuotaQueue:
        return QuotaQueue(self.quota)

    def __attrs_post_init__(self) -> None:
        """Give the roll-outs to the scheduler and the bounds on memory to the connections."""
        self.pool.memory = self.memory
        if self.rollouts is not None:
            self.scheduler.rollouts = self.rollouts

    @property
    def buffers(self) -> BufferPool:
        """Parts of answers that are held until they can be passed on."""
        return self.memory.answers

    @property
    def limits(self) -> CallerLimits:
        """The current limits on the requests of callers."""
        return self.routing_table.limits if self.routing_table else CallerLimits()

    def is_urgent(self, target: bytes, headers: Headers) -> bool:
        """Return whether a request is for a route of the most urgent priority."""
        table = self.routing_table
        if table is None:
            return False
        request = CallerRequest(b'', target, headers, b'')
        route = table.find_route(request.host, request.path)
        return route is not None and route.priority == min(each.priority for each in table.routes)

    def apply_routing_table(self, table: RoutingTable) -> None:
        """Replace the routing table by that of a newer manifest."""
        self.routing_table = table
        now = read_lease_clock()
        self.origins.services.apply_routes(table.routes, now)
        customers = (table.customers or {}).values()
        self.quota.set_customers(customers, now)
        self.scheduler.customers.apply_customers(customers)
        apply_services(self.scheduler.slots.values(), table.services)
        self._routing_table_replaced.set()
        self._routing_table_replaced = anyio.Event()

    async def wait_for_newer_routing_table(self) -> None:
        """Return when the routing table was replaced."""
        await self._routing_table_replaced.wait()

    def begin_call(self) -> None:
        """Count a call as in progress."""
        self.in_progress += 1

    def finish_call(self) -> None:
        """Count a call as ended."""
        self.in_progress -= 1

    @contextlib.contextmanager
    def limit_call_time(self, seconds: float) -> Iterator[None]:
        """Cancel a call after so many seconds, or when `cancel_calls` is called."""
        with anyio.move_on_after(seconds) as scope:
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)

    @contextlib.contextmanager
    def watch_quarantine(self, check: Callable[[], None]) -> Iterator[None]:
        """Call `check` whenever more calls are in quarantine."""
        self._quarantine_watchers.add(check)
        try:
            yield
        finally:
            self._quarantine_watchers.discard(check)

    def recheck_quarantine(self) -> None:
        """Call the watchers of the quarantine if patterns were added since the last time."""
        if self.quarantine.added_count == self._checked_pattern_count:
            return
        self._checked_pattern_count = self.quarantine.added_count
        for check in list(self._quarantine_watchers):
            check()

    def cancel_calls(self) -> None:
        """Cancel the calls in progress, so that they get a final answer."""
        self.is_cancelling = True
        for scope in list(self._scopes):
            scope.cancel()
