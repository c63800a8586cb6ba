"""One daemon: its parts built from the settings, run, and stopped gracefully."""

import signal

import anyio
import anyio.abc
import attrs
import httpx
from hypercorn.asyncio import serve
from hypercorn.config import Config
from loguru import logger

from .admission import AdmissionClient, AdmissionOwner
from .calls import CallContext, make_application
from .calls.identity import SeenIds
from .claims import Claims
from .errors import PlatformError
from .events import Event, EventLog
from .handlers import make_handlers
from .members import Membership
from .metrics import Metrics
from .peers import Handlers, serve_peers
from .platform import ObjectStore, Table, VmList
from .schema import camphorpath_pb2 as pb
from .settings import parse_fleet
from .upstreams import make_client, read_load
from .versions import Versions

VM_LIST_INTERVAL_S = 2
# In a platform outage a stopping daemon gives up recording answers after this time; a repeated
# key is then told that the outcome was not recorded.
RECORD_LIMIT_S = 60
# Connections of callers without a complete head are closed after this time.
HEAD_TIMEOUT_S = 10
BACKLOG = 512


@attrs.define(kw_only=True)
class Daemon:
    """The parts of one running daemon."""

    settings: pb.Daemon
    events: EventLog
    table: Table
    objects: ObjectStore
    vm_list: VmList
    membership: Membership
    versions: Versions
    owner: AdmissionOwner
    admission: AdmissionClient
    claims: Claims
    client: httpx.AsyncClient


@attrs.frozen
class CallersServer:
    """The end of the HTTP server towards callers: asked for, and reached."""

    closing: anyio.Event = attrs.Factory(anyio.Event)
    closed: anyio.Event = attrs.Factory(anyio.Event)


def build_daemon(settings: pb.Daemon, client: httpx.AsyncClient) -> Daemon:
    """Return a daemon whose parts are connected but not yet running."""
    events = EventLog(capacity=settings.limits.max_events)
    table = Table(settings.platform, events)
    objects = ObjectStore(settings.platform, events)
    vm_list = VmList(settings.platform, events)
    membership = Membership(settings, events)
    events.incarnation = membership.incarnation
    versions = Versions(
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
        vm_list=vm_list,
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
        client=client,
    )


async def run_daemon(settings: pb.Daemon, stop: anyio.Event) -> None:
    """Run a daemon until `stop` is set and every accepted request has been answered."""
    async with make_client() as client:
        daemon = build_daemon(settings, client)
        async with anyio.create_task_group() as group:
            context = _make_context(daemon, group)
            callers = CallersServer()
            await group.start(serve_peers, settings, _make_handlers(daemon))
            for part in (
                daemon.membership,
                daemon.versions,
                daemon.owner,
                daemon.admission,
                daemon.claims,
            ):
                group.start_soon(part.run)
            group.start_soon(_poll_vm_list, daemon)
            group.start_soon(_serve_callers, context, callers)
            daemon.events.emit(Event.DAEMON_STARTED, name=settings.name, zone=settings.zone)
            try:
                await stop.wait()
                await _drain(daemon, context)
            finally:
                callers.closing.set()
            await callers.closed.wait()
            group.cancel_scope.cancel()
        await daemon.table.close()
    daemon.events.emit(Event.DAEMON_STOPPED, name=settings.name)


async def watch_signals(stop: anyio.Event) -> None:
    """Set `stop` at the first SIGTERM or SIGINT; later ones change nothing."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            stop.set()


async def _drain(daemon: Daemon, context: CallContext) -> None:
    """Wait out the longest kept address answer and every accepted request, however long it runs."""
    daemon.membership.begin_stop()
    daemon.events.emit(Event.DAEMON_STOPPING, in_progress=context.progress.count)
    await anyio.sleep(daemon.versions.current.fleet.keep_addresses)
    await context.progress.wait_idle()
    with anyio.move_on_after(RECORD_LIMIT_S):
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
        seen=SeenIds(daemon.settings.limits.max_seen_ids),
        task_group=group,
    )


async def _poll_vm_list(daemon: Daemon) -> None:
    while True:
        try:
            vms = await daemon.vm_list.read()
        except PlatformError as error:
            logger.debug('VM list not read: {}', error)
        else:
            daemon.membership.set_candidates(vms)
        await anyio.sleep(VM_LIST_INTERVAL_S)


async def _serve_callers(context: CallContext, callers: CallersServer) -> None:
    config = Config()
    config.bind = [context.settings.callers_address]
    config.accesslog = None
    config.errorlog = None
    config.loglevel = 'CRITICAL'
    config.backlog = BACKLOG
    config.keep_alive_timeout = HEAD_TIMEOUT_S
    config.h11_max_incomplete_size = context.settings.limits.max_head
    # Requests are finished before the server is closed, so it has nothing left to wait for.
    config.graceful_timeout = 1
    # A cancelled hypercorn raises an error of its own, so it is asked to end instead.
    with anyio.CancelScope(shield=True):
        await serve(
            make_application(context),
            config,
            shutdown_trigger=callers.closing.wait,
            mode='asgi',
        )
    callers.closed.set()


def _make_handlers(daemon: Daemon) -> Handlers:
    return make_handlers(
        daemon.events, daemon.membership, daemon.versions, daemon.owner, daemon.table
    )
