"""Edge daemons in this process, which exchange heartbeats and serve callers on plain sockets."""

import contextlib

import anyio
import attrs

from camphorpath.clocks import read_lease_clock
from camphorpath.cluster.members import Members
from camphorpath.edge.quarantine import QuarantineSync
from camphorpath.edge.state import DaemonState
from camphorpath.relay.server import serve_calls
from camphorpath.relay.sockets import open_listener

from ..relay.support import make_context, make_entries
from .test_state import SETTINGS

REGIONS = {'a': 'region-a', 'b': 'region-b', 'c': 'region-c'}
HEARTBEAT_INTERVAL_S = 0.25
TIMER_INTERVAL_S = 0.02


@attrs.define
class Datagrams:
    """Keeps the datagrams that a daemon sends."""

    sent: list = attrs.field(factory=list)

    def send(self, heartbeat, _hosts):
        self.sent.append(heartbeat)


@attrs.define
class RunningDaemon:
    """One daemon of the fleet; those that are stopped send and receive no heartbeats."""

    state: DaemonState
    port: int
    is_stopped: bool = False
    datagrams: Datagrams = attrs.field(factory=Datagrams)
    quarantine: QuarantineSync = attrs.field(init=False)

    @quarantine.default
    def _make_quarantine(self):
        # The rows are not written in these tests, so there is no store.
        return QuarantineSync(self.state.relay, self.state, self.datagrams, None)

    @property
    def name(self):
        return self.state.settings.name


def make_state(zone, entries):
    """Return the state of the only daemon of a zone, which is the only one of its region."""
    relay = make_context(())
    relay.scheduler.name = f'daemon-{zone}'
    relay.scheduler.zone = zone
    relay.scheduler.regions = REGIONS
    number = list(REGIONS).index(zone) + 1
    settings = attrs.evolve(
        SETTINGS,
        name=f'daemon-{zone}',
        zone=zone,
        region=REGIONS[zone],
        regions=REGIONS,
        host=f'10.0.0.{number}',
        callers_address=f'10.0.0.{number}:1',
    )
    state = DaemonState(
        settings=settings,
        incarnation=f'daemon-{zone}-1',
        relay=relay,
        members=Members(settings.host),
    )
    state.rows.is_listed = True
    for entry in entries:
        state.view.put(entry)
    state._has_upstream_changes = True
    state.reassign()
    return state


def exchange_heartbeats(daemons):
    """Deliver one heartbeat of each running daemon to all others."""
    running = [daemon for daemon in daemons if not daemon.is_stopped]
    for sender in running:
        heartbeat = sender.state.make_heartbeat()
        for receiver in running:
            receiver.state.apply_heartbeat(heartbeat)


async def _send_heartbeats(daemons):
    while True:
        for daemon in daemons:
            daemon.state.expire()
        exchange_heartbeats(daemons)
        await anyio.sleep(HEARTBEAT_INTERVAL_S)


def deliver_announcements(daemons):
    """Deliver what the running daemons announced to all others."""
    running = [daemon for daemon in daemons if not daemon.is_stopped]
    for sender in running:
        for announcement in sender.datagrams.sent:
            for receiver in running:
                if receiver is not sender:
                    receiver.state.apply_announcement(announcement)
    for daemon in daemons:
        daemon.datagrams.sent.clear()


async def _run_timers(daemons):
    while True:
        await anyio.sleep(TIMER_INTERVAL_S)
        now = read_lease_clock()
        for daemon in daemons:
            daemon.state.relay.scheduler.expire(now)
            daemon.quarantine.update(now)
        deliver_announcements(daemons)


@contextlib.asynccontextmanager
async def open_fleet(*upstreams):
    """Serve callers at one daemon in each of three regions; all upstreams are in the first."""
    entries = make_entries(upstreams)
    daemons = []
    async with anyio.create_task_group() as group:
        for zone in REGIONS:
            state = make_state(zone, entries)
            listener = open_listener('127.0.0.1:0')
            group.start_soon(serve_calls, state.relay, listener, group)
            daemons.append(RunningDaemon(state, listener.getsockname()[1]))
        exchange_heartbeats(daemons)
        group.start_soon(_send_heartbeats, daemons)
        group.start_soon(_run_timers, daemons)
        yield daemons
        group.cancel_scope.cancel()
