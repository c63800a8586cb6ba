"""Seeded runs of real daemons under releases, kills, freezes, cuts and faults of the store."""

import asyncio
import functools
import random
import signal
import time

import attrs

from camphorpath.edge.streams import MAX_SEEN_LAG_S
from camphorpath.streams.services import HORIZON_MARGIN_S, HORIZON_TIMEOUTS

from . import orders as service_orders
from .callers import DEADLINE_S, Caller, count_take_ups, list_run_faults
from .fleet import ROUTES, make_manifest, make_route, open_fleet
from .releases import OLD, SHARES, list_releases
from .take_ups import TakeUps, judge_try, measure_take_ups

SETTLE_S = 2.0
# Services between which a manifest may move the routes of streams.
SERVICES = ('llm', 'spare')
# Part of the paths that a route of a longer prefix may take.
LONGER_PREFIX = '/draft/a/'
# A process handles signals from its start, but not while its interpreter starts.
SIGNAL_DELAY_S = 1.0


@attrs.frozen(kw_only=True)
class Plan:
    """How large and how rough a run is."""

    seed: int
    duration_s: float = 30.0
    daemon_count: int = 5
    upstream_count: int = 4
    caller_count: int = 16
    # Mean pause between two troubles.
    trouble_interval_s: float = 1.2
    # Whether upstreams restart under their ids at another version.
    has_version_changes: bool = True
    # Timeout of the routes of streams.
    timeout_ms: int = 3000
    # Whether streams of another kind, with a longer timeout, come on a route of their own.
    has_second_kind: bool = True
    # Whether several releases may run at the same time.
    has_overlapping_releases: bool = True
    # Whether manifests end and restore the right of a route to resume streams, and add and remove
    # routes of longer prefixes, perhaps while all daemons are down.
    has_route_changes: bool = True
    # Whether upstreams that restart under their ids may be registered after they serve.
    has_late_entries: bool = True
    # Whether versions pass by and return after daemons may have forgotten them, and the store is
    # away for long while versions change; both only with overlapping releases.
    has_returning_version: bool = True
    has_long_store_loss: bool = True
    # Whether a service of its own is moved to good and bad versions by orders.
    has_orders: bool = True

    @property
    def longest_timeout_ms(self):
        """The timeout of the second kind of streams."""
        return self.timeout_ms * 3 // 2

    @property
    def forget_s(self):
        """The time after which daemons may forget that a version was registered."""
        horizon_s = HORIZON_TIMEOUTS * self.longest_timeout_ms / 1000 + HORIZON_MARGIN_S
        return horizon_s + MAX_SEEN_LAG_S


@attrs.define
class Outcome:
    """What the callers of a run saw."""

    faults: list
    streams: list
    bookings: list
    record: list
    exit_codes: list
    take_ups: TakeUps
    orders: list

    def summarize(self):
        taken_up, gone_on = count_take_ups(self.streams)
        complete = sum(stream.is_complete for stream in self.streams)
        return (
            f'{len(self.streams)} streams, {complete} complete, {taken_up} take-ups, '
            f'{gone_on} went on, {len(self.bookings)} bookings, '
            f'{sum(booking.status is None for booking in self.bookings)} unanswered, '
            f'{len(self.faults)} faults, exit codes {self.exit_codes}; {self.take_ups.summarize()}'
            f'; orders: {[order.describe() for order in self.orders]}'
        )


async def run(plan, folder=None):
    """Play a run and return its outcome."""
    routes = make_routes(plan)
    async with open_fleet(plan.daemon_count, plan.seed, routes=routes, folder=folder) as fleet:
        for number in range(plan.upstream_count):
            await fleet.add_upstream(OLD, zone='abc'[number % 3], **SHARES)
        for zone in 'ab':
            await fleet.add_upstream(OLD, service='spare', zone=zone, **SHARES)
            await fleet.add_upstream(OLD, service='ledger', zone=zone, repeat_share=0.05)
        runs = []
        old = await service_orders.add_upstreams(fleet, OLD, runs) if plan.has_orders else []
        await fleet.start_daemons()
        await asyncio.sleep(SETTLE_S)
        callers = [_make_caller(fleet, number, plan) for number in range(plan.caller_count)]
        until = fleet.now() + plan.duration_s
        async with asyncio.TaskGroup() as group:
            for caller in callers:
                group.create_task(_call(fleet, caller, plan, until))
            troubles = Troubles(fleet, plan)
            group.create_task(troubles.play(until))
            if plan.has_orders:
                for number in range(service_orders.CALLER_COUNT):
                    callers.append(_make_caller(fleet, f'moved/{number}', plan))
                    calling = service_orders.call_service(fleet, callers[-1], until)
                    group.create_task(calling)
                play = service_orders.play_orders(fleet, plan, until, old, runs)
                playing = group.create_task(play)
            for release in list_releases(fleet, plan, until, troubles.kill_all):
                group.create_task(release)
        for caller in callers:
            caller.close()
        streams = [stream for caller in callers for stream in caller.streams]
        bookings = [booking for caller in callers for booking in caller.bookings]
        faults = [fault for stream in streams for fault in stream.list_faults()]
        faults += list_run_faults(callers, fleet.upstreams)
        faults += [fault for daemon in fleet.daemons for fault in daemon.list_faults()]
        codes = [code for daemon in fleet.daemons for code in daemon.exit_codes if code != -9]
        orders = playing.result() if plan.has_orders else []
        faults += [fault for order in orders for fault in order.list_faults()]
        take_ups = measure_take_ups(streams)
        return Outcome(faults, streams, bookings, fleet.record, codes, take_ups, orders)


def make_routes(plan, *, service=SERVICES[0], is_resumable=True, has_longer_prefix=False):
    """Return the routes of a manifest; those of streams lead to a service."""
    changes = {'service': service, 'timeout_ms': plan.timeout_ms}
    routes = [route | (changes if route['service'] in SERVICES else {}) for route in ROUTES]
    if not is_resumable:
        routes[0] |= {'stream_resume': False}
    if plan.has_orders:
        service = service_orders.SERVICE
        routes.append(make_route('move', service_orders.PATH, service, timeout_ms=plan.timeout_ms))
    if plan.has_second_kind:
        routes.append(make_route('tale', '/tale/', service, timeout_ms=plan.longest_timeout_ms))
    if has_longer_prefix:
        other = SERVICES[1] if service == SERVICES[0] else SERVICES[0]
        routes.append(make_route('longer', LONGER_PREFIX, other, timeout_ms=plan.timeout_ms))
    return routes


def _make_caller(fleet, number, plan):
    rng = random.Random(f'{plan.seed}/{number}')
    is_slow = isinstance(number, int) and number % 8 == 7
    return Caller(
        rng,
        fleet.choose_address,
        read_pause_s=0.3 if is_slow else 0.0,
        read_bytes=256 if is_slow else 65536,
        log=fleet.log,
        judge_try=functools.partial(judge_try, fleet),
        # Daemons may forget a stream that is older.
        deadline_s=min(DEADLINE_S, HORIZON_TIMEOUTS * plan.timeout_ms / 1000),
    )


async def _call(fleet, caller, plan, until):
    while fleet.now() < until:
        if caller.rng.random() < 0.3:
            # Calls that are alike and crash upstreams are refused.
            await caller.book(f'/book/{caller.rng.getrandbits(40):x}')
        is_resumable = caller.rng.random() < 0.85
        total = caller.rng.randint(5, 60)
        path = _choose_path(caller.rng, plan) if is_resumable else '/once/'
        await caller.fetch_stream(path, total, is_resumable=is_resumable)
        await asyncio.sleep(caller.rng.uniform(0, 0.2))


def _choose_path(rng, plan):
    if plan.has_second_kind and rng.random() < 0.4:
        return '/tale/'
    if plan.has_route_changes and rng.random() < 0.5:
        return LONGER_PREFIX
    return '/draft/'


@attrs.define
class Troubles:
    """Breaks, kills, stops, freezes, cuts and faults of the store, at random instants."""

    fleet: object
    plan: Plan
    rng: random.Random = attrs.field(init=False)
    _is_restarting_all: bool = False
    _manifest_version: int = 7
    # What the newest manifest states of the routes of streams, as arguments of `make_routes`.
    _route_changes: dict = attrs.field(factory=dict)
    _tasks: set = attrs.field(factory=set)

    def __attrs_post_init__(self):
        self.rng = random.Random(f'{self.plan.seed}/troubles')

    async def play(self, until):
        troubles = [
            self._kill,
            self._kill,
            self.kill_all,
            self._stop,
            self._freeze,
            self._freeze,
            self._cut_store,
            self._cut_peers,
            self._cut_peers,
            self._cut_off,
            self._cut_off,
            self._crash_upstream,
            self._crash_upstream,
            self._stall_upstream,
            self._refuse_calls,
            self._send_hangups,
            self._change_manifests,
            self._restart_all,
            self._fail_store,
            self._restore_store,
        ]
        if self.plan.has_route_changes:
            troubles += [self._change_routes, self._change_routes_while_down]
        while self.fleet.now() < until:
            await asyncio.sleep(self.rng.expovariate(1 / self.plan.trouble_interval_s))
            trouble = self.rng.choice(troubles)
            self.fleet.log(f'trouble: {trouble.__name__}')
            task = asyncio.get_running_loop().create_task(trouble())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    def _choose(self):
        running = [daemon for daemon in self.fleet.daemons if daemon.is_running]
        return self.rng.choice(running) if running else None

    async def _kill(self):
        daemon = self._choose()
        if daemon is not None:
            await self._kill_for(daemon, self.rng.uniform(0.1, 3))

    async def kill_all(self):
        """Kill all daemons, and start each again after a random time."""
        await asyncio.gather(
            *(
                self._kill_for(daemon, self.rng.uniform(0.1, 2))
                for daemon in self.fleet.daemons
                if daemon.is_running
            )
        )

    async def _kill_for(self, daemon, down_s):
        self.fleet.log(f'{daemon.name} is killed')
        process = daemon.process
        await daemon.kill()
        await asyncio.sleep(down_s)
        if daemon.process is process:
            await daemon.start()

    async def _stop(self):
        daemon = self._choose()
        if daemon is not None:
            await self._restart(daemon)

    async def _restart_all(self):
        """Restart the daemons one after the other."""
        if self._is_restarting_all:
            return
        self._is_restarting_all = True
        for daemon in self.fleet.daemons:
            if daemon.is_running and not daemon.is_frozen:
                await self._restart(daemon)
                await asyncio.sleep(self.rng.uniform(0.5, 1.5))
        self._is_restarting_all = False

    async def _restart(self, daemon):
        self.fleet.log(f'{daemon.name} gets SIGTERM')
        process = daemon.process
        daemon.send_signal(15)
        code = await process.wait()
        daemon.exit_codes.append(code)
        await asyncio.sleep(0.1)
        if daemon.process is process:
            await daemon.start()

    async def _freeze(self):
        daemon = self._choose()
        if daemon is None or daemon.is_frozen:
            return
        self.fleet.log(f'{daemon.name} is frozen')
        daemon.freeze()
        await asyncio.sleep(self.rng.uniform(0.3, 5))
        daemon.thaw()
        self.fleet.log(f'{daemon.name} goes on')

    async def _cut_store(self):
        daemon = self._choose()
        if daemon is not None:
            await self._cut(daemon, has_store_cut=True)

    async def _cut_peers(self):
        daemon = self._choose()
        if daemon is not None:
            await self._cut(daemon, has_peers_cut=True)

    async def _cut_off(self):
        daemon = self._choose()
        if daemon is not None:
            await self._cut(daemon, has_store_cut=True, has_peers_cut=True)

    async def _cut(self, daemon, *, has_store_cut=False, has_peers_cut=False):
        self.fleet.log(f'{daemon.name} is cut: store {has_store_cut}, peers {has_peers_cut}')
        if has_peers_cut:
            daemon.cut_peers()
        if has_store_cut and has_peers_cut:
            await asyncio.sleep(self.rng.choice((0, 0, 0.5, 2.5)))
        if has_store_cut:
            daemon.cut_store()
        await asyncio.sleep(self.rng.uniform(0.5, 6))
        if self.rng.random() < 0.5:
            daemon.heal_store()
            await asyncio.sleep(self.rng.choice((0, 0.5)))
        daemon.heal_peers()
        daemon.heal_store()
        self.fleet.log(f'{daemon.name} is connected')

    async def _crash_upstream(self):
        upstream = self._choose_upstream('llm', 'ledger')
        if upstream is None:
            return
        is_reset = self.rng.random() < 0.5
        self.fleet.log(f'{upstream.upstream_id} crashes, is_reset {is_reset}')
        upstream.crash(is_reset=is_reset)
        await asyncio.sleep(self.rng.uniform(0.1, 2))
        await upstream.start(upstream.address)
        self.fleet.register(upstream)

    def _choose_upstream(self, *services):
        upstreams = [
            upstream
            for upstream in self.fleet.upstreams
            if upstream.service in services and upstream.is_up and not upstream.is_leaving
        ]
        return self.rng.choice(upstreams) if upstreams else None

    async def _stall_upstream(self):
        upstream = self._choose_upstream('llm', 'ledger')
        if upstream is not None:
            stall_s = self.rng.uniform(0.2, 3)
            self.fleet.log(f'{upstream.upstream_id} stalls for {stall_s:.1f} s')
            upstream.stalled_until = time.monotonic() + stall_s

    async def _refuse_calls(self):
        upstream = self._choose_upstream('llm', 'ledger')
        if upstream is not None:
            rest_s = self.rng.uniform(0.2, 2)
            self.fleet.log(f'{upstream.upstream_id} refuses calls for {rest_s:.1f} s')
            upstream.refusing_until = time.monotonic() + rest_s

    async def _send_hangups(self):
        for _ in range(self.rng.randint(1, 5)):
            daemon = self._choose()
            if daemon is not None and time.monotonic() - daemon.started_at > SIGNAL_DELAY_S:
                self.fleet.log(f'{daemon.name} gets SIGHUP')
                daemon.send_signal(signal.SIGHUP)
            await asyncio.sleep(self.rng.choice((0, 0.1)))

    async def _change_manifests(self):
        """Move the routes of streams to another service and back, several times."""
        for _ in range(self.rng.randint(1, 3)):
            self._publish_manifest(service=self.rng.choice(SERVICES))
            await asyncio.sleep(self.rng.uniform(0, 1))
        self._publish_manifest(service=SERVICES[0])

    async def _change_routes(self):
        """Change which streams may be resumed, or the prefixes of routes, and undo it later."""
        change = self.rng.choice(('is_resumable', 'has_longer_prefix'))
        self._publish_manifest(**{change: change != 'is_resumable'})
        await asyncio.sleep(self.rng.uniform(0.3, 4))
        self._publish_manifest(**{change: change == 'is_resumable'})

    async def _change_routes_while_down(self):
        killing = asyncio.create_task(self.kill_all())
        # By then all have ended, and none has started.
        await asyncio.sleep(0.05)
        await self._change_routes()
        await killing

    def _publish_manifest(self, **changes):
        self._manifest_version += self.rng.randint(1, 3)
        self._route_changes |= changes
        routes = make_routes(self.plan, **self._route_changes)
        manifest = make_manifest(self._manifest_version, routes, SERVICES)
        self.fleet.store.put('op', 'config', manifest)
        self.fleet.log(f'manifest {self._manifest_version}: {self._route_changes}')

    async def _fail_store(self):
        store = self.fleet.store
        if store.mode != 'up':
            return
        mode = self.rng.choice(
            ('refusing', 'away', 'hanging', 'slow', 'lost', 'endless_head', 'endless_body')
        )
        self.fleet.log(f'the store is {mode}')
        if mode == 'slow':
            store.delay_s = self.rng.uniform(0.05, 0.9)
        elif mode == 'lost':
            store.lost_writes = 10
        else:
            store.set_mode(mode)
        await asyncio.sleep(self.rng.uniform(0.5, 5))
        store.delay_s = 0.004
        store.set_mode('up')
        self.fleet.log('the store is up')

    async def _restore_store(self):
        store = self.fleet.store
        if store.mode != 'up':
            return
        store.set_mode('away')
        self.fleet.log('the store is away')
        await asyncio.sleep(self.rng.uniform(0, 2))
        age_s = self.rng.uniform(1, 12)
        store.restore(age_s)
        store.set_mode('up')
        self.fleet.log(f'the store is back from a copy of {age_s:.1f} s ago')
