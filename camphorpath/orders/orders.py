"""Runs one task for each service that this daemon owns, which gives orders to its engines."""

from collections.abc import Callable, Iterable
from typing import Any

import anyio

from ..admission import AdmissionOwner
from ..clocks import read_lease_clock
from ..events import EventLog
from ..platform import Table
from ..schema import camphorpath_pb2 as pb
from .budget import WeightBudget
from .changes import iterate_missing_artifacts
from .lease import Lease
from .service import EngineControl, ServiceOrders

RECONCILE_INTERVAL_S = 1.0


class Orders:
    """Brings the engines of the services that this daemon owns to the desired state."""

    def __init__(
        self,
        membership: Any,
        versions: Any,
        owner: AdmissionOwner,
        table: Table,
        events: EventLog,
        *,
        control: EngineControl,
        clock: Callable[[], float] = read_lease_clock,
    ) -> None:
        """Give no orders before `run`; `clock` is replaced in tests."""
        self.services: dict[str, ServiceOrders] = {}
        self._membership = membership
        self._versions = versions
        self._owner = owner
        self._table = table
        self._events = events
        self._control = control
        self._clock = clock
        self._budget = WeightBudget(table, events, clock)

    async def run(self) -> None:
        """Reconcile the services that this daemon owns until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                for name in self._owner.services.keys() - self.services.keys():
                    if self.open_service(name):
                        tasks.start_soon(self._run_service, name)
                await anyio.sleep(RECONCILE_INTERVAL_S)

    def open_service(self, name: str) -> bool:
        """Create the state of an owned service; return False if its upstreams take no orders."""
        admission = self._owner.services[name]
        if admission.settings.kind == 'plain':
            return False
        self.services[name] = ServiceOrders(
            admission=admission,
            lease=Lease(name, self._membership.incarnation, self._table, self._events, self._clock),
            budget=self._budget,
            events=self._events,
            control=self._control,
            may_order=lambda: self._may_order(name),
            clock=self._clock,
        )
        return True

    async def reconcile(self, name: str) -> bool:
        """Run one round for a service; return False if the daemon does not own it any more."""
        service = self.services[name]
        if self._owner.services.get(name) is not service.admission:
            service.lease.end('this daemon does not own the service any more')
            self.services.pop(name)
            return False
        await service.reconcile()
        return True

    def complete_status(self, upstreams: Iterable[pb.UpstreamStatus]) -> None:
        """Fill in role, loaded and missing artifacts, and pending order of the engines."""
        for status in upstreams:
            service = self.services.get(status.service)
            engine = service.engines.get(status.name) if service else None
            if engine is None or engine.state is None:
                continue
            upstream = service.admission.upstreams.get(status.name)
            if upstream is None:
                continue
            loaded = sorted(engine.state.loaded.items())
            status.artifacts.extend(f'{key[1]}@{version}' for key, version in loaded)
            missing = iterate_missing_artifacts(engine.state, upstream.pool)
            status.missing.extend(f'{artifact.name}@{artifact.version}' for artifact in missing)
            status.role = engine.state.role
            status.order = engine.pending_order_id

    async def _run_service(self, name: str) -> None:
        while True:
            if not await self.reconcile(name):
                return
            await anyio.sleep(RECONCILE_INTERVAL_S)

    def _may_order(self, name: str) -> bool:
        """Return whether this daemon owns the service and runs the configuration in force."""
        owner = self._membership.choose_owner(name)
        is_owner = owner.incarnation == self._membership.incarnation
        return is_owner and not self._versions.refuse_reason()
