"""The orders of one service: compare, order, and let the reports decide."""

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
from .engine import Engine
from .lease import Lease

# At most this many engines of a service are asked for their state at once.
MAX_READS = 32


@attrs.frozen
class EngineControl:
    """The control side of engines: their states by base URL, and orders."""

    read_state: Callable[[str], Awaitable[EngineState]]
    give_order: Callable[[str, Order], Awaitable[bool]]


@attrs.frozen
class Step:
    """The next order to one engine."""

    upstream: Upstream
    engine: Engine
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
    engines: dict[str, Engine] = attrs.field(factory=dict)
    _term: int = 0

    async def reconcile(self) -> None:
        """Read the states of all engines and give each the order that it needs next, if any.

        Failures of the table and of engines end or shorten the round; the next one goes on.
        """
        await self._read_states()
        if not any(self._needs_order(one) for one in self._list_upstreams()):
            self.lease.end('no order is needed')
            return
        try:
            await self._give_orders()
        except PlatformError:
            # Without the table there is no order. The lease lapses unless it is renewed in time.
            return

    async def _give_orders(self) -> None:
        if not self.may_order() or not await self.lease.keep():
            return
        if self.lease.number != self._term:
            # A former owner's orders may still be on their way into the reports.
            self._term = self.lease.number
            for engine in self.engines.values():
                engine.unsettle()
            return
        for step in list(self._plan()):
            if not await self.lease.keep() or self.lease.number != self._term:
                return
            if await self.budget.spend(self._fleet, step.change.size, self._count_wanted()):
                await self._give(step)

    async def _give(self, step: Step) -> None:
        upstream, engine, change = step.upstream, step.engine, step.change
        order_id = f'{engine.state.incarnation}/{change.label}'
        order = Order(change.kind, change.details, self.lease.number, order_id)
        # Checked after the last wait before the order: the daemon may have been paused in between.
        if not self._has_right() or not self._may_change(upstream):
            return
        engine.begin_order(change.label, order_id, self.clock())
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
            engine.order = ''
            self.lease.end(f'{upstream.name} refused its number')

    def _has_right(self) -> bool:
        return self.lease.is_held() and self.lease.table.is_up and self.may_order()

    def _plan(self) -> Iterator[Step]:
        """Yield one order for each engine that may be changed now, within each pool's share."""
        changing = collections.Counter(
            upstream.vm.pool
            for upstream in self._list_upstreams()
            if self.engines[upstream.name].is_changing
        )
        for upstream in self._list_upstreams():
            engine = self.engines[upstream.name]
            pool = upstream.vm.pool
            if not engine.is_settled or not self._may_change(upstream):
                continue
            change = self._choose_change(engine, upstream.pool)
            if change is None or changing[pool] >= self._count_limit(upstream.pool):
                continue
            changing[pool] += 1
            yield Step(upstream, engine, change)

    def _choose_change(self, engine: Engine, pool: pb.Pool) -> Change | None:
        changes = find_changes(engine.state, pool)
        now = self.clock()
        return next((one for one in changes if engine.may_repeat(one.label, now)), None)

    def _count_limit(self, pool: pb.Pool) -> int:
        pools = [one.vm.pool for one in self._list_upstreams() if one.vm.state == 'live']
        return max(int(pools.count(pool.name) * pool.change_share), 1)

    def _count_wanted(self) -> int:
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
        """Return whether an engine is live and not leaving, by all that admission knows."""
        known = self.admission.upstreams.get(upstream.name)
        limit_s = self.admission.settings.load_limit
        return known is upstream and upstream.is_usable(self.clock(), limit_s)

    @property
    def _fleet(self) -> pb.Fleet:
        return self.admission.context.view.fleet

    def _list_upstreams(self) -> list[Upstream]:
        found = self.admission.upstreams.values()
        return [one for one in found if one.name in self.engines]

    async def _read_states(self) -> None:
        upstreams = dict(self.admission.upstreams)
        for gone in self.engines.keys() - upstreams.keys():
            self.engines.pop(gone)
        limiter = anyio.CapacityLimiter(MAX_READS)
        async with anyio.create_task_group() as tasks:
            for upstream in upstreams.values():
                self.engines.setdefault(upstream.name, Engine())
                tasks.start_soon(self._read_state, upstream, limiter)

    async def _read_state(self, upstream: Upstream, limiter: anyio.CapacityLimiter) -> None:
        engine = self.engines[upstream.name]
        async with limiter:
            try:
                state = await self.control.read_state(upstream.url)
            except UpstreamError:
                return
        engine.take_state(state)
        if not engine.is_settled:
            return
        has_changes = bool(find_changes(state, upstream.pool))
        if engine.had_changes and not has_changes:
            self._emit(Event.ENGINE_RECONCILED, upstream)
        engine.had_changes = has_changes

    def _emit(self, event: Event, upstream: Upstream, **fields: object) -> None:
        self.events.emit(event, '', upstream.name, service=self.admission.name, **fields)
