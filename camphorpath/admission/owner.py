"""The admission owner: grants the upstream slots of the services that its daemon owns.

Each service has one owner among the daemons. Home daemons, the ones that accept requests and
dispatch them, register their requests with it.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from ..errors import CamphorpathError
from ..events import Event, EventLog
from ..schema import camphorpath_pb2 as pb
from ..upstreams.load import LoadReport
from .context import SYSTEM_CLOCKS, Clocks, Context
from .fleet import FleetView
from .grants import dispatch
from .losses import (
    record_reported_losses,
    resolve_all_losses,
    resolve_polled_loss,
    resolve_unanswered_losses,
)
from .ownership import Ownership
from .requests import (
    check_request,
    disconnect_home,
    enqueue_request,
    refuse_digests,
    release_request,
    withdraw_request,
)
from .service import REGISTRATION_WAIT_S, ServiceState
from .session import HomeSession
from .status import list_queues, list_upstreams
from .suspects import Suspects
from .timers import TimerQueue
from .upstream import Upstream

REFRESH_INTERVAL_S = 0.1

ReadLoad = Callable[[str], Awaitable[LoadReport]]


class AdmissionOwner:
    """The services that this daemon owns, and the sessions of the home daemons."""

    def __init__(
        self,
        membership: Any,
        versions: Any,
        table: Any,
        events: EventLog,
        *,
        read_load: ReadLoad,
        clocks: Clocks = SYSTEM_CLOCKS,
    ) -> None:
        """Start without services; tests pass their own `clocks`."""
        self.events = events
        self.services: dict[str, ServiceState] = {}
        self._membership = membership
        self._versions = versions
        self._read_load = read_load
        self._ownership = Ownership(membership)
        self._timers = TimerQueue()
        self._sessions: dict[str, HomeSession] = {}
        self._vms: list[Any] = []
        self._pollers: dict[tuple[str, str], anyio.CancelScope] = {}
        self._tasks: TaskGroup | None = None
        self._suspects = Suspects(table, events)
        self._context = Context(
            events=events,
            clock=clocks.lease,
            wall_clock=clocks.wall,
            suspects=self._suspects,
            add_timer=self._timers.add,
            is_confirmed=self.is_confirmed,
            view=FleetView(versions.current.fleet),
        )

    def open_session(
        self, info: pb.MemberInfo, send: Callable[[pb.AdmissionDown], None]
    ) -> HomeSession:
        """Open the session of a home daemon; an earlier one of the same incarnation is closed."""
        previous = self._sessions.get(info.incarnation)
        if previous is not None:
            previous.close()
        session = HomeSession(self, info, send)
        self._sessions[info.incarnation] = session
        return session

    def close_session(self, session: HomeSession) -> None:
        """Remove a closed session with its waiting requests; called by the session."""
        if self._sessions.get(session.incarnation) is session:
            self._sessions.pop(session.incarnation)
        self.events.emit(Event.HOME_LOST, home=session.incarnation)
        for state in self.services.values():
            disconnect_home(state, session)

    def is_confirmed(self, service: str) -> bool:
        """Return whether every live member has registered its requests for a service here."""
        for info in self._membership.live():
            session = self._sessions.get(info.incarnation)
            if session is None or service not in session.services:
                return False
        return True

    def enqueue(self, session: HomeSession, enqueue: pb.Enqueue) -> None:
        """Queue a request of a home daemon, or refuse it."""
        state = self._get_state(enqueue.service)
        if state:
            enqueue_request(state, session, enqueue)
        elif enqueue.service in self._context.view.services:
            session.send_not_owner(enqueue.service)
        else:
            text = f'unknown service {enqueue.service}'
            session.refuse(
                pb.Refused(request_id=enqueue.request_id, reason='unknown_service', text=text)
            )

    def release(self, release: pb.Release) -> None:
        """Free the slot of a request."""
        for state in self.services.values():
            if release.request_id in state.running:
                release_request(state, release)
                return

    def withdraw(self, session: HomeSession, request_id: str) -> None:
        """Remove a request that its home daemon no longer wants to run."""
        for state in self.services.values():
            if request_id in state.queue.entries or request_id in state.running:
                withdraw_request(state, session, request_id)
                return

    def record_lost(self, lost: pb.LostRequests) -> None:
        """Record what a home daemon knows of requests that may have crashed upstreams."""
        services = {request.service for request in lost.lost}
        for service in services:
            state = self._get_state(service)
            if state is not None:
                refuse_digests(state, record_reported_losses(state, lost.lost))

    def register(self, session: HomeSession, registered: pb.Registered) -> None:
        """Record that a home daemon has sent all its requests for some services."""
        self.events.emit(Event.HOME_REGISTERED, home=session.incarnation)
        services = frozenset(registered.services)
        for removed in (session.services - services) & self.services.keys():
            disconnect_home(self.services[removed], session)
        session.services = services
        for service in services:
            state = self._get_state(service)
            if state is None:
                session.send_not_owner(service)
                continue
            self._remove_unregistered(state, session)
            dispatch(state)

    def refresh(self) -> None:
        """Apply changes of the membership and of the configuration."""
        self._ownership.refresh()
        fleet = self._versions.current.fleet
        if fleet is not self._context.view.fleet:
            self._context.view = FleetView(fleet)
            for state in self.services.values():
                state.policy_state.view = self._context.view
            self._apply_vms_to_services()
        for name in list(self.services):
            if name not in self._context.view.services or not self._ownership.is_owned_here(name):
                self._release_service(name)
        for name in self._context.view.services:
            self._get_state(name)
        for state in self.services.values():
            state.log_unresponsive()
            refuse_digests(state, resolve_unanswered_losses(state))

    def apply_vm_list(self, vms: list[Any]) -> None:
        """Apply the VM list.

        Every daemon keeps the list, even one without services: it may become an owner at a time
        when the list cannot be read.
        """
        self._vms = [vm for vm in vms if vm.role == 'upstream']
        self._apply_vms_to_services()

    def apply_report(
        self,
        state: ServiceState,
        upstream: Upstream,
        report: LoadReport,
        polled_at: float | None = None,
    ) -> None:
        """Apply an upstream's answer to a poll that was sent at `polled_at` (default: now)."""
        polled_at = self._context.clock() if polled_at is None else polled_at
        restarted = upstream.is_restarted(report)
        refused = state.apply_report(upstream, report, polled_at)
        refused += resolve_polled_loss(state, upstream, polled_at, restarted=restarted)
        refuse_digests(state, refused)
        state.update_slow_upstreams(upstream.vm.pool)
        dispatch(state)

    def run_due_timers(self) -> None:
        """Check the services and requests whose timers are due on the lease clock."""
        for service, request_id in self._timers.pop_due(self._context.clock()):
            state = self.services.get(service)
            if state is None:
                continue
            if not request_id:
                dispatch(state)
            elif request_id in state.queue.entries or request_id in state.running:
                check_request(state, request_id)

    def status(self) -> tuple[list[pb.QueueStatus], list[pb.UpstreamStatus]]:
        """Return the queues and upstreams of the services owned here."""
        states = list(self.services.values())
        owner = self._membership.incarnation
        queues = [queue for state in states for queue in list_queues(state, owner)]
        return queues, [upstream for state in states for upstream in list_upstreams(state)]

    async def run(self) -> None:
        """Poll upstreams, run timers and follow membership changes until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._suspects.run)
            tasks.start_soon(self._run_timers)
            while True:
                self.refresh()
                self._start_pollers(tasks)
                await anyio.sleep(REFRESH_INTERVAL_S)

    def _get_state(self, name: str) -> ServiceState | None:
        """Return the state of a service that this daemon owns, or None; created at first use."""
        state = self.services.get(name)
        if state is not None:
            return state
        if name not in self._context.view.services or not self._ownership.is_owned_here(name):
            return None
        now = self._context.clock()
        state = ServiceState(name, self._context, now)
        self.services[name] = state
        state.apply_vm_list([vm for vm in self._vms if vm.service == name])
        self._timers.add(now + REGISTRATION_WAIT_S, name, '')
        self.events.emit(Event.OWNER_CHANGED, service=name, owner=self._membership.incarnation)
        if self._tasks is not None:
            self._tasks.start_soon(self._suspects.load, name)
        return state

    def _release_service(self, name: str) -> None:
        resolve_all_losses(self.services.pop(name))
        keys = [key for key in self._pollers if key[0] == name]
        for key in keys:
            self._pollers.pop(key).cancel()
        for session in list(self._sessions.values()):
            session.send_not_owner(name)

    def _remove_unregistered(self, state: ServiceState, session: HomeSession) -> None:
        # The home daemon has registered all that it runs; its other requests have ended.
        home = session.incarnation
        for running in list(state.running.values()):
            if running.session is None and running.home == home:
                state.remove_running(running)

    def _apply_vms_to_services(self) -> None:
        for name, state in self.services.items():
            state.apply_vm_list([vm for vm in self._vms if vm.service == name])

    async def _run_timers(self) -> None:
        while True:
            self.run_due_timers()
            await self._timers.wait(self._context.clock())

    def _start_pollers(self, tasks: TaskGroup) -> None:
        wanted = {
            (state.name, name): (state, upstream)
            for state in self.services.values()
            for name, upstream in state.upstreams.items()
        }
        for key in list(self._pollers):
            if key not in wanted:
                self._pollers.pop(key).cancel()
        for key, (state, upstream) in wanted.items():
            if key not in self._pollers:
                self._pollers[key] = anyio.CancelScope()
                tasks.start_soon(self._poll, self._pollers[key], state, upstream)

    async def _poll(
        self, scope: anyio.CancelScope, state: ServiceState, upstream: Upstream
    ) -> None:
        with scope:
            while self.services.get(state.name) is state:
                interval_s = state.settings.load_interval
                await self._poll_once(state, upstream)
                await anyio.sleep(interval_s)

    async def _poll_once(self, state: ServiceState, upstream: Upstream) -> None:
        report = None
        polled_at, url = self._context.clock(), upstream.url
        with anyio.move_on_after(state.settings.load_limit):
            try:
                report = await self._read_load(url)
            except CamphorpathError:
                report = None
        # During the poll the service may have moved to another owner or the address have changed.
        is_current = self.services.get(state.name) is state and upstream.url == url
        if report is not None and is_current:
            self.apply_report(state, upstream, report, polled_at)
