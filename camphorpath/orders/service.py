"""Gives orders to the engines of one service until their reports match the configuration."""

import collections
from collections.abc import Awaitable, Callable, Iterator

import anyio
import attrs

from ..admission.service import ServiceState
from ..admission.upstream import Upstream
from ..errors import PlatformError, UpstreamError
from ..events import Event, EventLog
from ..schema import camphorpath_pb2 as pb
from ..upstreams import EngineState, Order
from .budget import WeightBudget
from .changes import Change, find_changes
from .engine import EngineRecord
from .lease import Lease

# Limit of concurrent state requests to the engines of a service.
MAX_CONCURRENT_READS = 32


@attrs.frozen
class EngineControl:
    """The control interface of engines: reads a state, or gives an order, by base URL.

    `give_order` returns False if the engine refuses the fencing number. Both raise UpstreamError.
    """

    read_state: Callable[[str], Awaitable[EngineState]]
    give_order: Callable[[str, Order], Awaitable[bool]]


@attrs.frozen
class PlannedOrder:
    """The next order to one engine."""

    upstream: Upstream
    engine: EngineRecord
    change: Change


@attrs.define(eq=False)
class ServiceOrders:
    """Brings the engines of one service to the desired state while `may_order()` holds."""

    admission: ServiceState
    lease: Lease
    budget: WeightBudget
    events: EventLog
    control: EngineControl
    may_order: Callable[[], bool]
    clock: Callable[[], float]
    engines: dict[str, EngineRecord] = attrs.field(factory=dict)
    _last_fence: int = 0

    async def reconcile(self) -> None:
        """Read the states of all engines and give each the order that it needs next, if any.

        Failures of the table and of engines end or shorten the round; the next round continues.
        """
        await self._read_states()
        if not any(self._needs_order(upstream) for upstream in self._list_upstreams()):
            self.lease.end('no order is needed')
            return
        try:
            await self._send_orders()
        except PlatformError:
            # No orders are given while the table fails. The lease expires unless it is renewed.
            return

    async def _send_orders(self) -> None:
        if not self.may_order() or not await self.lease.acquire_or_renew():
            return
        if self.lease.number != self._last_fence:
            # Orders of the previous owner may not show in the reports yet.
            self._last_fence = self.lease.number
            for engine in self.engines.values():
                engine.invalidate_state()
            return
        for planned_order in list(self._plan_orders()):
            if not await self.lease.acquire_or_renew() or self.lease.number != self._last_fence:
                return
            if await self.budget.spend(
                self._fleet, planned_order.change.size, self._sum_missing_bytes()
            ):
                await self._send_order(planned_order)

    async def _send_order(self, planned_order: PlannedOrder) -> None:
        upstream, engine, change = (
            planned_order.upstream,
            planned_order.engine,
            planned_order.change,
        )
        order_id = f'{engine.state.incarnation}/{change.label}'
        order = Order(change.kind, change.details, self.lease.number, order_id)
        # Checked again after the last await before the order: the daemon may have been suspended
        # in the meantime.
        if not self._may_send_orders() or not self._may_change(upstream):
            return
        engine.record_order(change.label, order_id, self.clock())
        self.events.emit(
            Event.ORDER_GIVEN,
            '',
            upstream.name,
            service=self.admission.name,
            kind=change.kind,
            change=change.label,
            fence=order.fence,
        )
        try:
            is_accepted = await self.control.give_order(upstream.url, order)
        except UpstreamError as error:
            self._emit(Event.ORDER_UNSURE, upstream, problem=error)
            return
        if not is_accepted:
            self._emit(Event.ORDER_STALE, upstream, fence=order.fence)
            engine.pending_order_id = ''
            self.lease.end(f'{upstream.name} refused its fencing number')

    def _may_send_orders(self) -> bool:
        return self.lease.is_held() and self.lease.table.is_up and self.may_order()

    def _plan_orders(self) -> Iterator[PlannedOrder]:
        """Yield one order for each engine that may change now, within `change_share` per pool."""
        changing = collections.Counter(
            upstream.vm.pool
            for upstream in self._list_upstreams()
            if self.engines[upstream.name].is_changing
        )
        for upstream in self._list_upstreams():
            engine = self.engines[upstream.name]
            pool = upstream.vm.pool
            if not engine.is_state_decisive or not self._may_change(upstream):
                continue
            change = self._choose_change(engine, upstream.pool)
            if change is None or changing[pool] >= self._compute_change_limit(upstream.pool):
                continue
            changing[pool] += 1
            yield PlannedOrder(upstream, engine, change)

    def _choose_change(self, engine: EngineRecord, pool: pb.Pool) -> Change | None:
        changes = find_changes(engine.state, pool)
        now = self.clock()
        return next((change for change in changes if engine.may_repeat(change.label, now)), None)

    def _compute_change_limit(self, pool: pb.Pool) -> int:
        pools = [
            upstream.vm.pool for upstream in self._list_upstreams() if upstream.vm.state == 'live'
        ]
        return max(int(pools.count(pool.name) * pool.change_share), 1)

    def _sum_missing_bytes(self) -> int:
        return sum(
            change.size
            for upstream in self._list_upstreams()
            for change in self._list_changes(upstream)
        )

    def _list_changes(self, upstream: Upstream) -> list[Change]:
        state = self.engines[upstream.name].state
        return [] if state is None else find_changes(state, upstream.pool)

    def _needs_order(self, upstream: Upstream) -> bool:
        return self._may_change(upstream) and bool(self._list_changes(upstream))

    def _may_change(self, upstream: Upstream) -> bool:
        """Return whether an engine is usable: known to admission, live and not leaving."""
        known = self.admission.upstreams.get(upstream.name)
        limit_s = self.admission.settings.load_limit
        return known is upstream and upstream.is_usable(self.clock(), limit_s)

    @property
    def _fleet(self) -> pb.Fleet:
        return self.admission.context.view.fleet

    def _list_upstreams(self) -> list[Upstream]:
        upstreams = self.admission.upstreams.values()
        return [upstream for upstream in upstreams if upstream.name in self.engines]

    async def _read_states(self) -> None:
        upstreams = dict(self.admission.upstreams)
        for removed_name in self.engines.keys() - upstreams.keys():
            self.engines.pop(removed_name)
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_READS)
        async with anyio.create_task_group() as tasks:
            for upstream in upstreams.values():
                self.engines.setdefault(upstream.name, EngineRecord())
                tasks.start_soon(self._read_state, upstream, limiter)

    async def _read_state(self, upstream: Upstream, limiter: anyio.CapacityLimiter) -> None:
        engine = self.engines[upstream.name]
        async with limiter:
            try:
                state = await self.control.read_state(upstream.url)
            except UpstreamError:
                return
        engine.apply_state(state)
        if not engine.is_state_decisive:
            return
        has_changes = bool(find_changes(state, upstream.pool))
        if engine.had_changes and not has_changes:
            self._emit(Event.ENGINE_RECONCILED, upstream)
        engine.had_changes = has_changes

    def _emit(self, event: Event, upstream: Upstream, **fields: object) -> None:
        self.events.emit(event, '', upstream.name, service=self.admission.name, **fields)
