"""Builds, runs and gracefully stops an edge daemon."""

import contextlib
import random
import secrets
import signal
from collections.abc import Callable

import anyio
import anyio.abc
import attrs
import httpx
import orjson

from ..clocks import read_lease_clock
from ..cluster.follower import MAX_CONFIRMATION_AGE_S, Follower
from ..cluster.heartbeats import HeartbeatSocket
from ..cluster.members import Members
from ..cluster.state_transfer import make_state_client
from ..errors import PlatformError, TableOutcomeUnknown, TableUnavailable
from ..events import Event, EventLog
from ..memory.bounds import make_bounds
from ..placement.budget import RetryBudget
from ..placement.quota import QuotaBounds, QuotaLedger
from ..placement.scheduler import Scheduler
from ..platform.fields import decode_fields
from ..platform.reports import REPORT_FORMAT
from ..platform.store import MetadataStore
from ..platform.wire import HEADER_NAMES
from ..relay.context import RelayContext
from ..relay.egress import emit_egress_changes
from ..relay.memory import relieve_memory
from ..relay.metrics import RelayMetrics
from ..relay.reports import ReportReader
from ..relay.server import serve_calls, serve_pages
from ..relay.sockets import open_listener
from ..relay.upstream import UpstreamPool
from ..routing import Upstream
from ..schema import camphorpath_pb2 as pb
from .begun_versions import BegunVersions, list_recent
from .customers import report_customers
from .entry_reads import EntryReads
from .history_reads import HistoryReads
from .output import LogOutput
from .pages import (
    make_control_handler,
    make_directory_handler,
    make_metrics_handler,
    make_readiness_handler,
)
from .quarantine import QuarantineSync
from .rollouts import RolloutSync, connect_rollouts
from .settings import EdgeSettings
from .state import DaemonState
from .stream_copies import StreamCopies
from .stream_queries import StreamQueries
from .streams import StreamStore
from .version_news import VersionNews, list_begun_versions

MEMBER_TABLE = 'camphorpath-members'
METRICS_PORT = 9100
TIMER_INTERVAL_S = 0.05
IDLE_CHECK_INTERVAL_S = 1.0
# If the timer task runs this late, the process was suspended in between.
MIN_SUSPENSION_S = 0.6
MEMBER_RETRY_DELAY_S = 1.0
# After a restore of the store, the daemons write their rows within this time, not all at once.
MAX_REWRITE_DELAY_S = 2.0
# Fraction of the time until it is killed for which a stopping daemon still accepts calls, as
# callers cache its address for some seconds.
ACCEPT_FRACTION = 0.3
# Longest such time: only a call that was sent in the first three seconds may be cut at the end.
MAX_ACCEPT_S = 2.5
# Time after which idle connections of callers are closed, as a multiple of the time for accepting.
CLOSE_IDLE_RATIO = 1.25
# A stopping daemon exits this long before it would be killed. In the first half of this time it
# answers the calls that are still in progress.
STOP_MARGIN_S = 0.4
# Largest such fraction of the time until it is killed: a call may only be cut in its last sixth.
MAX_STOP_MARGIN_FRACTION = 0.125
INCARNATION_SUFFIX_BYTES = 4


@attrs.define(kw_only=True)
class EdgeDaemon:
    """The components of one running daemon."""

    settings: EdgeSettings
    relay: RelayContext
    state: DaemonState
    follower: Follower
    store: MetadataStore
    heartbeats: HeartbeatSocket
    quarantine: QuarantineSync
    # None if orders to move services are ignored.
    rollouts: RolloutSync | None = None
    streams: StreamStore
    begun_versions: BegunVersions
    stream_queries: StreamQueries
    stream_copies: StreamCopies
    peers: httpx.AsyncClient

    async def close(self) -> None:
        """Close all connections to the store and to peers."""
        self.heartbeats.close()
        await self.store.close()
        await self.peers.aclose()


def build_edge(settings: EdgeSettings) -> EdgeDaemon:
    """Return a daemon whose components are set up but not yet running."""
    incarnation = f'{settings.name}-{secrets.token_hex(INCARNATION_SUFFIX_BYTES)}'
    events = EventLog(incarnation, capacity=0)
    bounds = settings.bounds
    members = Members(settings.host, bounds.stopped_retention_s)
    relay = RelayContext(
        header_names=HEADER_NAMES,
        scheduler=Scheduler(name=settings.name, zone=settings.zone, regions=settings.regions),
        quota=QuotaLedger(
            QuotaBounds(
                window_s=bounds.quota_window_s,
                overshoot=bounds.quota_overshoot,
                allowance=bounds.quota_allowance,
            ),
            settings.is_first_start,
        ),
        budget=RetryBudget(bounds.retry_ratio, bounds.retry_window_s, bounds.retry_allowance),
        pool=UpstreamPool(),
        reports=ReportReader(REPORT_FORMAT),
        events=events,
        metrics=RelayMetrics(),
        get_budget_share=lambda: state.compute_budget_share(),
    )
    relay.memory.apply_bounds(make_bounds(settings.memory_mb))
    relay.quota.start(read_lease_clock())
    relay.scheduler.egress.is_enabled = settings.leaves_region
    relay.scheduler.customers.read_demand = relay.quota.get_demand
    state = DaemonState(settings=settings, incarnation=incarnation, relay=relay, members=members)
    store = MetadataStore(settings.store_url)
    peers = make_state_client()
    heartbeats = HeartbeatSocket(settings.host, settings.heartbeat_port)
    relay.pool.on_connected = relay.scheduler.egress.record_connect
    relay.on_leaving = _make_leaving_handler(state, heartbeats)
    follower = Follower(
        store=store,
        rows=state.rows,
        events=events,
        peers=peers,
        is_watcher=state.is_watcher,
        on_store_disruption=state.record_store_failure,
        announce=lambda changes, after: heartbeats.send(
            state.make_announcement(changes, after), members.hosts
        ),
        on_hosts=members.add_hosts,
        is_same_region=lambda zone: settings.regions.get(zone) == settings.region,
    )
    relay.is_prober = state.is_prober
    relay.is_current = follower.is_manifest_current
    state.read_store_age = follower.store_age
    relay.read_store_age = follower.store_age
    streams = StreamStore(
        records=relay.origins.records,
        history=relay.origins.history,
        store=store,
        events=events,
        settings=settings,
        incarnation=incarnation,
        count_actives=lambda: sum(map(len, state.assignment.actives.values())),
        is_version_writer=state.is_version_writer,
        list_registered=state.list_versions,
        is_ambiguous=relay.origins.is_ambiguous,
        get_horizon_s=relay.origins.services.get_horizon_s,
        get_restored=lambda: state.restored,
        is_view_confirmed=lambda: follower.store_age() <= MAX_CONFIRMATION_AGE_S,
        services=relay.origins.services,
        share_version=VersionNews(state, heartbeats).send,
    )
    stream_queries = StreamQueries(relay.origins.records, state, heartbeats)
    relay.origins.ask_peers = stream_queries.ask
    relay.origins.read_store = streams.find
    history_reads = HistoryReads(
        events,
        record_registered=streams.record_registered,
        reads=(follower.read_upstreams, streams.read_versions, streams.read_targets),
    )
    process_reads = HistoryReads(
        events, record_registered=streams.record_registered, reads=(follower.read_upstreams,)
    )
    relay.look_up_process = EntryReads(process_reads.confirm, lambda: follower.store_up).look_up

    async def confirm_history() -> bool:
        return await history_reads.confirm() and streams.is_history_complete()

    relay.origins.confirm_history = confirm_history
    return EdgeDaemon(
        settings=settings,
        relay=relay,
        state=state,
        follower=follower,
        store=store,
        heartbeats=heartbeats,
        quarantine=QuarantineSync(relay, state, heartbeats, store),
        rollouts=connect_rollouts(state, follower, heartbeats, store),
        streams=streams,
        begun_versions=_make_begun_versions(state, store, streams),
        stream_queries=stream_queries,
        stream_copies=StreamCopies(relay.origins.records, state, heartbeats),
        peers=peers,
    )


def _make_begun_versions(
    state: DaemonState, store: MetadataStore, streams: StreamStore
) -> BegunVersions:
    """Return the versions at which this daemon begins streams; calls announce them from now on."""
    origins = state.relay.origins
    begun_versions = BegunVersions(
        store=store,
        events=state.relay.events,
        incarnation=state.incarnation,
        list_registered=lambda: list_recent(origins.history, origins.services, read_lease_clock()),
        is_history_complete=streams.is_history_complete,
        get_horizon_s=origins.services.get_horizon_s,
        get_restored=lambda: state.restored,
    )

    async def may_begin(service: str, software_version: str) -> bool:
        if not await begun_versions.try_begin(service, software_version):
            return False
        if not streams.is_stated(service, software_version):
            await streams.announce_version(service, software_version)
        return streams.is_stated(service, software_version)

    async def announce_version(service: str, software_version: str) -> None:
        if not begun_versions.begin(service, software_version):
            await streams.announce_version(service, software_version)
            return
        async with anyio.create_task_group() as group:
            group.start_soon(begun_versions.announce)
            group.start_soon(streams.announce_version, service, software_version)

    origins.may_begin = may_begin
    origins.announce_version = announce_version
    origins.list_lost = begun_versions.list_lost
    return begun_versions


async def run_edge(settings: EdgeSettings, output: LogOutput) -> None:
    """Run a daemon until SIGTERM or SIGINT, then shut it down gracefully."""
    daemon = build_edge(settings)
    relay = daemon.relay
    try:
        async with anyio.create_task_group() as group:
            stop = anyio.Event()
            group.start_soon(_watch_signals, daemon, stop)
            group.start_soon(output.run)
            _start_servers(daemon, group)
            _start_tasks(daemon, group)
            relay.events.emit(
                Event.DAEMON_STARTED,
                name=settings.name,
                zone=settings.zone,
                first_start=settings.is_first_start,
            )
            await stop.wait()
            await _shut_down(daemon)
            group.cancel_scope.cancel()
    finally:
        with anyio.CancelScope(shield=True):
            await daemon.close()
        relay.events.emit(Event.DAEMON_STOPPED, name=settings.name, in_progress=relay.in_progress)
        output.flush()


def _start_tasks(daemon: EdgeDaemon, group: anyio.abc.TaskGroup) -> None:
    if daemon.rollouts is None:
        group.start_soon(daemon.follower.watch_manifest)
    else:
        group.start_soon(daemon.rollouts.follow, daemon.follower.watch_manifest)
        group.start_soon(daemon.rollouts.write_phases)
    for task in (
        daemon.follower.watch_upstreams,
        daemon.follower.follow_peers,
        daemon.quarantine.write_rows,
        daemon.quarantine.rewrite_rows,
        daemon.streams.follow_versions,
        daemon.streams.write_records,
        daemon.begun_versions.follow,
    ):
        group.start_soon(task)
    for run_task in (
        _send_heartbeats,
        _run_timers,
        _close_idle_upstream_connections,
        _register_member,
    ):
        group.start_soon(run_task, daemon)
    group.start_soon(daemon.heartbeats.receive, _make_receiver(daemon))


def _start_servers(daemon: EdgeDaemon, group: anyio.abc.TaskGroup) -> None:
    settings = daemon.settings
    state = daemon.state
    handlers = (
        (settings.ready_address, make_readiness_handler(state)),
        (settings.directory_address, make_directory_handler(state)),
        (settings.control_address, make_control_handler(state)),
        (f'{settings.host}:{METRICS_PORT}', make_metrics_handler(daemon.relay)),
    )
    for address, handle in handlers:
        group.start_soon(serve_pages, open_listener(address), handle, group, daemon.relay.events)
    group.start_soon(serve_calls, daemon.relay, open_listener(settings.callers_address), group)


def _make_receiver(daemon: EdgeDaemon) -> Callable[[pb.EdgeHeartbeat], None]:
    def receive(heartbeat: pb.EdgeHeartbeat) -> None:
        if heartbeat.name == daemon.settings.name:
            return
        address = f'{heartbeat.host}:{daemon.settings.control_port}'
        if daemon.rollouts is not None:
            daemon.rollouts.handle_news(heartbeat)
        # A message with `news` is an announcement and has no loads and no sequence number.
        if heartbeat.HasField('news'):
            if daemon.rollouts is not None and not daemon.rollouts.is_informed:
                # The upstreams of a version that was reverted must not be used.
                return
            daemon.follower.apply_announced_rows(heartbeat, address)
            daemon.state.apply_announcement(heartbeat)
            daemon.stream_queries.handle_query(heartbeat)
            daemon.stream_queries.handle_answer(heartbeat)
            for version in list_begun_versions(heartbeat):
                daemon.streams.learn_begun(
                    version.service, version.software_version, is_written=version.is_written
                )
            daemon.stream_copies.handle_copies(heartbeat)
            return
        daemon.begun_versions.record_member(heartbeat.incarnation)
        daemon.state.apply_heartbeat(heartbeat)
        daemon.follower.record_peer(heartbeat, address)

    return receive


def _make_leaving_handler(
    state: DaemonState, heartbeats: HeartbeatSocket
) -> Callable[[Upstream], None]:
    """Return the handler for upstreams that report in an answer that they are leaving."""

    def announce_leaving(upstream: Upstream) -> None:
        if not state.mark_leaving(upstream.upstream_id, upstream.incarnation, 'answer'):
            return
        leaving = pb.LeavingUpstream(
            upstream=upstream.upstream_id, incarnation=upstream.incarnation
        )
        revision = state.rows.upstreams_revision
        announcement = state.make_announcement(pb.SharedState(leaving=[leaving]), revision)
        heartbeats.send(announcement, state.members.hosts)

    return announce_leaving


async def _watch_signals(daemon: EdgeDaemon, stop: anyio.Event) -> None:
    try:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as received:
            async for number in received:
                if number == signal.SIGHUP:
                    # Addresses and limits do not change while the process runs: nothing to reload.
                    daemon.relay.events.emit(Event.SETTINGS_RELOADED, name=daemon.settings.name)
                    continue
                stop.set()
    finally:
        # The default action would end the process before its stop is complete.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


async def _send_heartbeats(daemon: EdgeDaemon) -> None:
    """Send heartbeats and expire members that no longer send theirs, until cancelled."""
    state = daemon.state
    for seed in daemon.settings.seeds:
        state.members.add_host(seed.rpartition(':')[0])
    seeds = [seed for seed in daemon.settings.seeds if seed != daemon.settings.control_address]
    while True:
        state.is_store_up = not daemon.follower.is_store_failing
        state.expire()
        daemon.heartbeats.send(state.make_heartbeat(), state.members.hosts)
        daemon.follower.wake_polling()
        await anyio.sleep(state.heartbeat_interval_s)
        is_informed = daemon.rollouts is None or daemon.rollouts.is_informed
        needs_manifest = daemon.relay.routing_table is None and not daemon.follower.store_up
        if needs_manifest and is_informed and seeds:
            # The store is unavailable, but a peer may have the manifest.
            seeds.append(seeds.pop(0))
            await daemon.follower.fetch_from(seeds[0])


async def _run_timers(daemon: EdgeDaemon) -> None:
    """Run periodic work such as placing waiting calls, and detect suspension of the process."""
    last = read_lease_clock()
    while True:
        await anyio.sleep(TIMER_INTERVAL_S)
        now = read_lease_clock()
        if now - last > MIN_SUSPENSION_S:
            daemon.relay.events.emit(Event.DAEMON_PAUSED, seconds=round(now - last, 2))
            daemon.state.members.extend_deadlines(now - last)
            # Heartbeats that were queued in the socket may confirm state that is outdated by now.
            daemon.follower.mark_unconfirmed()
            daemon.streams.record_suspension(now - last)
        last = now
        daemon.state.expire_upstreams()
        daemon.relay.scheduler.expire(now)
        report_customers(daemon.relay, now)
        emit_egress_changes(daemon.relay, now)
        relieve_memory(daemon.relay, now)
        daemon.quarantine.update(now)
        if daemon.rollouts is not None:
            daemon.rollouts.update(now)
        daemon.stream_copies.send()


async def _close_idle_upstream_connections(daemon: EdgeDaemon) -> None:
    while True:
        await anyio.sleep(IDLE_CHECK_INTERVAL_S)
        daemon.relay.pool.close_idle(read_lease_clock())


async def _register_member(daemon: EdgeDaemon) -> None:
    """Write the member row of this daemon; read those of the others and the quarantine once.

    The row is written again after each restore of the store, as it may be lost. The others are not
    read again: they may be outdated.
    """
    restored = daemon.state.restored
    await _write_member_row(daemon)
    await _read_shared_tables(daemon)
    while not daemon.relay.is_stopping:
        await restored.wait()
        await anyio.sleep(random.uniform(0, MAX_REWRITE_DELAY_S))
        restored = daemon.state.restored
        await _write_member_row(daemon)


async def _write_member_row(daemon: EdgeDaemon) -> None:
    settings = daemon.settings
    content = orjson.dumps({'host': settings.host, 'zone': settings.zone})
    while True:
        try:
            await daemon.store.write_row(MEMBER_TABLE, settings.name, content)
        except (TableUnavailable, TableOutcomeUnknown):
            # The write is idempotent and can be repeated.
            await anyio.sleep(MEMBER_RETRY_DELAY_S)
            continue
        return


async def _read_shared_tables(daemon: EdgeDaemon) -> None:
    """Read the member rows of the other daemons and the rows of the quarantine."""
    while True:
        try:
            await daemon.quarantine.read_rows()
            rows = await daemon.store.read_table(MEMBER_TABLE)
        except TableUnavailable:
            # Nothing depends on these rows at once.
            await anyio.sleep(MEMBER_RETRY_DELAY_S)
            continue
        for row in rows.rows:
            daemon.state.members.add_host(_read_host(row.value))
        return


def _read_host(content: bytes | None) -> str:
    try:
        return decode_fields(content or b'').text('host')
    except PlatformError:
        # Skips unreadable rows: the empty host is not a valid address.
        return ''


@attrs.frozen(kw_only=True)
class StopTimes:
    """The steps of a planned stop, in seconds after its begin."""

    # New calls are refused.
    accept_s: float
    # Idle connections of callers are closed.
    close_idle_s: float
    # Calls in progress are cancelled.
    cancel_s: float
    # For the answers to them, and to leave the other daemons.
    margin_s: float


def plan_stop(stop_limit_s: float) -> StopTimes:
    """Return the steps of a stop of a process that is killed after `stop_limit_s` seconds."""
    accept_s = min(ACCEPT_FRACTION * stop_limit_s, MAX_ACCEPT_S)
    margin_s = min(STOP_MARGIN_S, MAX_STOP_MARGIN_FRACTION * stop_limit_s)
    return StopTimes(
        accept_s=accept_s,
        close_idle_s=accept_s * CLOSE_IDLE_RATIO,
        cancel_s=stop_limit_s - margin_s,
        margin_s=margin_s,
    )


async def _shut_down(daemon: EdgeDaemon) -> None:
    """Accept calls for a while longer, then refuse them and wait for those in progress."""
    relay = daemon.relay
    began_at = read_lease_clock()
    relay.is_stopping = True
    for caller in relay.connections:
        caller.is_draining = True
    times = plan_stop(daemon.settings.bounds.stop_limit_s)
    relay.refuse_from = began_at + times.accept_s
    relay.events.emit(Event.DAEMON_STOPPING, in_progress=relay.in_progress)
    daemon.heartbeats.send(daemon.state.make_heartbeat(), daemon.state.members.hosts)
    daemon.state.reassign()
    with anyio.move_on_after(times.cancel_s):
        await anyio.sleep(times.close_idle_s)
        await _wait_until_callers_left(relay)
    relay.cancel_calls()
    with anyio.move_on_after(times.margin_s / 2):
        await _wait_until_callers_left(relay)
    daemon.stream_copies.send()
    await daemon.streams.flush(times.margin_s / 4)
    with contextlib.suppress(TableUnavailable, TableOutcomeUnknown):
        # If the row remains, the others merely send heartbeats to a host that no longer listens.
        with anyio.move_on_after(times.margin_s / 4):
            await daemon.store.write_row(MEMBER_TABLE, daemon.settings.name, None)


async def _wait_until_callers_left(relay: RelayContext) -> None:
    """Return when no connection of a caller is left; close those that are idle."""
    while relay.connections:
        _close_idle_callers(relay)
        await anyio.sleep(TIMER_INTERVAL_S)


def _close_idle_callers(relay: RelayContext) -> None:
    """Close the callers' connections that have no request in progress and no input pending."""
    for caller in list(relay.connections):
        if caller.is_idle and not caller.connection.has_input():
            caller.connection.finish_sending()
            caller.connection.close()
