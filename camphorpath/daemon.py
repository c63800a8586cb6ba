"""Builds a daemon from its settings, runs its components and stops it gracefully."""

import signal
import socket

import anyio
import anyio.abc
import attrs
import httpx
from loguru import logger

from .admission import AdmissionClient, AdmissionOwner
from .calls import CallContext, RequestsInProgress, open_listener, serve_callers
from .calls.request_ids import SeenIds
from .claims import Claims
from .errors import PlatformError
from .events import Event, EventLog
from .handlers import make_handlers
from .members import Membership
from .metrics import Metrics
from .orders import Orders
from .orders.service import EngineControl
from .peers import Handlers, serve_peers
from .platform import ObjectStore, Table, VmList
from .schema import camphorpath_pb2 as pb
from .settings import parse_fleet
from .upstreams import EngineState, Order, give_order, make_client, read_engine_state, read_load
from .versions import ConfigVersions

VM_LIST_INTERVAL_S = 2
# During a platform outage a stopping daemon gives up recording answers after this time. A request
# that repeats an idempotency key is then refused because the outcome was not recorded.
CLAIM_DRAIN_TIMEOUT_S = 60


@attrs.define(kw_only=True)
class Daemon:
    """The components of one daemon."""

    settings: pb.Daemon
    events: EventLog
    table: Table
    objects: ObjectStore
    vm_list: VmList
    membership: Membership
    versions: ConfigVersions
    owner: AdmissionOwner
    admission: AdmissionClient
    claims: Claims
    orders: Orders
    client: httpx.AsyncClient
    progress: RequestsInProgress = attrs.Factory(RequestsInProgress)

    async def close(self) -> None:
        """Close the connections to the platform and the peers."""
        self.membership.peers.close()
        for client in (self.table, self.objects, self.vm_list):
            await client.close()


def build_daemon(settings: pb.Daemon, client: httpx.AsyncClient) -> Daemon:
    """Return a daemon whose components are connected to each other but do not run yet."""
    events = EventLog(capacity=settings.limits.max_events)
    table = Table(settings.platform, events)
    objects = ObjectStore(settings.platform, events)
    vm_list = VmList(settings.platform, events)
    membership = Membership(settings, events)
    events.incarnation = membership.incarnation
    versions = ConfigVersions(
        table=table,
        vm_list=vm_list,
        membership=membership,
        events=events,
        parse_fleet=parse_fleet,
    )

    async def poll_load(base_url: str):
        return await read_load(client, base_url)

    owner = AdmissionOwner(
        membership=membership,
        versions=versions,
        table=table,
        events=events,
        read_load=poll_load,
    )
    return Daemon(
        settings=settings,
        events=events,
        table=table,
        objects=objects,
        vm_list=vm_list,
        membership=membership,
        versions=versions,
        owner=owner,
        admission=AdmissionClient(membership=membership, owner=owner, events=events),
        claims=Claims(table=table, objects=objects, membership=membership, events=events),
        orders=Orders(
            membership=membership,
            versions=versions,
            owner=owner,
            table=table,
            events=events,
            control=make_engine_control(client),
        ),
        client=client,
    )


def make_engine_control(client: httpx.AsyncClient) -> EngineControl:
    """Return the control interface of engines, called through an HTTP client."""

    async def read_state(base_url: str) -> EngineState:
        return await read_engine_state(client, base_url)

    async def send_order(base_url: str, order: Order) -> bool:
        return await give_order(client, base_url, order)

    return EngineControl(read_state, send_order)


async def run_daemon(
    settings: pb.Daemon,
    stop: anyio.Event,
    *,
    task_status: anyio.abc.TaskStatus[Daemon] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run a daemon until `stop` is set and every accepted request has been answered.

    Reports the daemon through `task_status` once it listens on both addresses. Port 0 selects any
    free port; the settings of the reported daemon hold the actual ports.
    """
    effective = pb.Daemon()
    effective.CopyFrom(settings)
    listener = open_listener(effective.callers_address, effective.limits.read_timeout)
    effective.callers_address = _replace_port(effective.callers_address, listener.getsockname()[1])
    async with make_client() as client:
        daemon = build_daemon(effective, client)
        try:
            await _run_components(daemon, listener, stop, task_status)
        finally:
            with anyio.CancelScope(shield=True):
                await daemon.close()
    daemon.events.emit(Event.DAEMON_STOPPED, name=settings.name)


async def watch_signals(stop: anyio.Event) -> None:
    """Set `stop` at the first SIGTERM or SIGINT; later signals have no effect."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            stop.set()


async def _run_components(
    daemon: Daemon,
    listener: socket.socket,
    stop: anyio.Event,
    task_status: anyio.abc.TaskStatus[Daemon],
) -> None:
    closing = anyio.Event()
    async with anyio.create_task_group() as group:
        context = _make_context(daemon, group)
        port = await group.start(serve_peers, daemon.settings, _make_handlers(daemon))
        daemon.settings.peers_address = _replace_port(daemon.settings.peers_address, port)
        for component in (
            daemon.membership,
            daemon.versions,
            daemon.owner,
            daemon.admission,
            daemon.claims,
            daemon.orders,
        ):
            group.start_soon(_run_component, component)
        group.start_soon(_poll_vm_list, daemon)
        async with anyio.create_task_group() as callers:
            await callers.start(serve_callers, context, listener, closing)
            daemon.events.emit(
                Event.DAEMON_STARTED, name=daemon.settings.name, zone=daemon.settings.zone
            )
            task_status.started(daemon)
            await stop.wait()
            await _drain(daemon)
            closing.set()
        group.cancel_scope.cancel()


async def _run_component(component: object) -> None:
    """Run a component until cancelled.

    Raises AssertionError if it returns: a daemon must not continue without one of its components.
    """
    await component.run()
    raise AssertionError(f'{type(component).__name__} has ended')


def _replace_port(address: str, port: int) -> str:
    return f'{address.rpartition(":")[0]}:{port}'


async def _drain(daemon: Daemon) -> None:
    """Wait until no caller holds an old address list and all accepted requests are answered.

    Callers keep an address list for `keep_addresses`; requests may run for any length of time.
    """
    daemon.membership.announce_stop()
    daemon.events.emit(Event.DAEMON_STOPPING, in_progress=daemon.progress.count)
    await anyio.sleep(daemon.versions.current.fleet.keep_addresses)
    await daemon.progress.wait_idle()
    with anyio.move_on_after(CLAIM_DRAIN_TIMEOUT_S):
        await daemon.claims.drain()
    await daemon.versions.leave()


def _make_context(daemon: Daemon, group: anyio.abc.TaskGroup) -> CallContext:
    return CallContext(
        settings=daemon.settings,
        membership=daemon.membership,
        versions=daemon.versions,
        admission=daemon.admission,
        claims=daemon.claims,
        client=daemon.client,
        events=daemon.events,
        metrics=Metrics(),
        seen_ids=SeenIds(daemon.settings.limits.max_seen_ids),
        task_group=group,
        requests_in_progress=daemon.progress,
    )


async def _poll_vm_list(daemon: Daemon) -> None:
    while True:
        try:
            vms = await daemon.vm_list.read()
        except PlatformError as error:
            logger.debug('reading the VM list failed: {}', error)
        else:
            daemon.membership.apply_vm_list(vms)
            daemon.owner.apply_vm_list(vms)
        await anyio.sleep(VM_LIST_INTERVAL_S)


def _make_handlers(daemon: Daemon) -> Handlers:
    return make_handlers(
        daemon.events,
        daemon.membership,
        daemon.versions,
        daemon.owner,
        daemon.orders,
        daemon.table,
    )
