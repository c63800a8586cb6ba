"""Daemons as real processes on loopback, each with links of its own to its peers and the store."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

import attrs

from .links import ConnectionLink, DatagramLink
from .messages import fetch
from .store import MetadataStore
from .upstreams import StreamUpstream, close_all

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = {'a': 'region-a', 'b': 'region-b', 'c': 'region-c'}
READY_LIMIT_S = 30.0
# Exit codes of processes that were told to end.
ENDS = frozenset((0, -signal.SIGTERM, -signal.SIGKILL))
END_LIMIT_S = 2.0
# Other tests seed the global generator, so that concurrent test runs would draw the same addresses.
ADDRESSES = random.SystemRandom()
NET_ATTEMPTS = 100
# Port of the first host of a net that marks the net as taken; the daemons use it on other hosts.
RESERVED_PORT = 9100
# Characters of the log of a daemon that ended which an error shows.
SHOWN_LOG_LENGTH = 2000
PORT_NAMES = ('frontend', 'ready', 'control_plane', 'directory_service', 'internal')
BOUNDS = {
    'seed_lag_s': 3,
    'address_reuse_s': 2,
    'contact_timeout_ms': 3000,
    'ack_timeout_ms': 4000,
    'catch_up_s': 4,
    'drain_timeout_ms': 2500,
    'grace_period_s': 8,
    'loss_slack_ms': 200,
    'config_apply_ms': 2500,
    'rollback_slack_ms': 250,
    'max_extension_ms': 5000,
    'retry_budget_ratio': 0.2,
    'retry_window_s': 10,
    'retry_allowance': 56,
    'quota_window_s': 8,
    'quota_overshoot': 0.1,
    'quota_allowance': 190000,
    'recovery_time_s': 12,
    'pass_latency_ms': 200,
    'ttl_max_s': 5,
    'canary_share': 0.1,
    'canary_allowance': 50,
    'rollback_timeout_ms': 5000,
}
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 4194304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


def make_route(name, prefix, service, **changes):
    """Return a route for streams of the manifest."""
    return {
        'name': name,
        'hostname': 'a.example',
        'prefix': prefix,
        'route_type': 'streaming',
        'priority': 1,
        'timeout_ms': 8000,
        'target_latency_ms': 800,
        'itl_target_ms': 250,
        'service': service,
        'max_attempts': 3,
        'auth_exempt': True,
        'session_affinity': True,
        'stream_resume': True,
        **changes,
    }


ROUTES = (
    make_route('draft', '/draft/', 'llm'),
    make_route('once', '/once/', 'llm', stream_resume=False, max_attempts=2),
    make_route(
        'book',
        '/book/',
        'ledger',
        route_type='non_idempotent',
        stream_resume=False,
        session_affinity=False,
        max_attempts=2,
        timeout_ms=1200,
        target_latency_ms=250,
    ),
)


def make_manifest(version, routes=ROUTES, services=()):
    services = sorted({*services, *(route['service'] for route in routes)})
    return {
        'version': version,
        'routes': list(routes),
        'services': [
            {'name': name, 'health_path': '/healthz', 'max_connections': 300} for name in services
        ],
        'limits': LIMITS,
    }


@attrs.define(eq=False)
class Daemon:
    """A daemon, its process, and the links from it to others."""

    name: str
    zone: str
    host: str
    ports: dict
    settings_path: pathlib.Path
    log_path: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    is_frozen: bool = False
    store_link: ConnectionLink | None = None
    # Links to and from each other daemon, by its name.
    peer_links: dict = attrs.field(factory=dict)
    exit_codes: list = attrs.field(factory=list)
    started_at: float = 0.0
    # Whether the run has told the process to end.
    is_ending: bool = False
    is_starting: bool = False

    @property
    def address(self):
        return f'{self.host}:{self.ports["frontend"]}'

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def start(self):
        """Start a process, unless one runs or is being started."""
        if self.is_starting or self.is_running:
            return
        self.is_starting = True
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', ''),
            'CAMPHORPATH_CONFIG': str(self.settings_path),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        self.is_ending = False
        self.started_at = time.monotonic()
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'camphorpath',
                'edge',
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.is_starting = False

    def send_signal(self, number):
        if self.is_running:
            self.is_ending = self.is_ending or number in {signal.SIGTERM, signal.SIGKILL}
            # `Process.send_signal` may reap a process that has just ended; its exit code is lost.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    def list_faults(self):
        """Return how processes have ended otherwise than told."""
        faults = [f'{self.name} exited with {code}' for code in self.exit_codes if code not in ENDS]
        if not self.is_running and not self.is_ending:
            faults.append(f'{self.name} ended by itself with {self.process.returncode}')
        return faults

    async def kill(self):
        self.send_signal(signal.SIGKILL)
        await self.wait()

    async def wait(self):
        self.exit_codes.append(await self.process.wait())
        self.is_frozen = False

    def freeze(self):
        self.send_signal(signal.SIGSTOP)
        self.is_frozen = True

    def thaw(self):
        self.send_signal(signal.SIGCONT)
        self.is_frozen = False

    def cut_store(self):
        self.store_link.cut()

    def heal_store(self):
        self.store_link.heal()

    def cut_peers(self, names=None):
        """Cut the links to and from the daemons named, or to all."""
        for name, links in self.peer_links.items():
            if names is None or name in names:
                for link in links:
                    link.cut()

    def heal_peers(self, names=None):
        for name, links in self.peer_links.items():
            if names is None or name in names:
                for link in links:
                    link.heal()

    def check_running(self):
        """Raise AssertionError with the end of the log if the process has ended by itself."""
        if not self.is_running and not self.is_starting and not self.is_ending:
            log = self.log_path.read_text(errors='replace')[-SHOWN_LOG_LENGTH:]
            message = f'{self.name} ended by itself with {self.process.returncode}: {log}'
            raise AssertionError(message)

    async def is_ready(self):
        answer = await fetch(f'{self.host}:{self.ports["ready"]}', '/camphorpath/readyz')
        return answer is not None and answer[0] == 200

    def measure_memory_mb(self):
        """Return the resident memory of the process, which must run."""
        return self._read_memory_mb('VmRSS:')

    def measure_peak_memory_mb(self):
        """Return the largest resident memory of the process so far, which must run."""
        return self._read_memory_mb('VmHWM:')

    def _read_memory_mb(self, name):
        text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        for line in text.splitlines():
            if line.startswith(name):
                return int(line.split()[1]) / 1024
        return 0.0

    def read_log(self):
        """Return the lines of the log that are documents."""
        documents = []
        for line in self.log_path.read_text(errors='replace').splitlines():
            with contextlib.suppress(ValueError):
                documents.append(json.loads(line))
        return documents


@attrs.define(eq=False)
class Fleet:
    """The store, the daemons and the upstreams of one run."""

    folder: pathlib.Path
    rng: random.Random
    store: MetadataStore
    daemons: list = attrs.field(factory=list)
    upstreams: list = attrs.field(factory=list)
    net: str = ''
    _next_host: int = 100
    _started_at: float = attrs.field(factory=time.monotonic)
    record: list = attrs.field(factory=list)

    def now(self):
        return time.monotonic() - self._started_at

    def log(self, text):
        self.record.append(f'{self.now():8.3f} {text}')

    def make_host(self):
        self._next_host += 1
        return f'{self.net}.{self._next_host}'

    async def add_upstream(
        self, software_version, *, service='llm', zone='a', upstream_id='', **changes
    ):
        """Start and register an upstream; it has an address of its own."""
        upstream_id = upstream_id or f'i-{service}-{len(self.upstreams)}'
        upstream = StreamUpstream(
            upstream_id,
            service,
            zone,
            software_version,
            random.Random(self.rng.random()),
            **changes,
        )
        host = self.make_host()
        await upstream.start(f'{host}:{find_free_ports([host], 1)[0]}')
        self.upstreams.append(upstream)
        self.register(upstream)
        return upstream

    def register(self, upstream):
        self.store.put('servers', upstream.upstream_id, upstream.make_entry())
        self.log(f'{upstream.upstream_id} of {upstream.software_version} is registered')

    def deregister(self, upstream):
        self.store.put('servers', upstream.upstream_id, None)
        self.log(f'{upstream.upstream_id} of {upstream.software_version} is removed')

    async def restart_upstream(self, upstream, software_version=None, *, is_registered=True):
        """Crash an upstream and start it again under its id, perhaps as another version."""
        upstream.crash()
        await asyncio.sleep(0.01)
        upstream.software_version = software_version or upstream.software_version
        await upstream.start(upstream.address)
        if is_registered:
            self.register(upstream)

    async def start_daemons(self):
        for daemon in self.daemons:
            await daemon.start()
        await self.wait_ready(self.daemons)

    async def wait_ready(self, daemons):
        async with asyncio.timeout(READY_LIMIT_S):
            for daemon in daemons:
                while not await daemon.is_ready():
                    daemon.check_running()
                    await asyncio.sleep(0.05)

    def choose_address(self):
        """Return the address of a daemon that runs, frozen or not."""
        running = [daemon for daemon in self.daemons if daemon.is_running]
        return self.rng.choice(running).address if running else None

    async def close(self):
        for daemon in self.daemons:
            if daemon.is_running:
                daemon.thaw()
                daemon.send_signal(signal.SIGKILL)
                await daemon.process.wait()
            for link in itertools.chain([daemon.store_link], *daemon.peer_links.values()):
                link.close()


@contextlib.asynccontextmanager
async def open_fleet(daemon_count, seed=1, *, routes=ROUTES, zones=ZONES, folder=None):
    """Build a fleet with a store and links; its daemons are not started yet."""
    rng = random.Random(seed)
    others = asyncio.all_tasks()
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(_end_tasks, others)
        if folder is None:
            folder = stack.enter_context(tempfile.TemporaryDirectory(prefix='camphorpath-'))
        net = stack.enter_context(reserve_net())
        fleet = Fleet(pathlib.Path(folder), rng, MetadataStore(), net=net)
        store_host = f'{net}.1'
        async with fleet.store.serve(store_host, find_free_ports([store_host], 1)[0]):
            fleet.store.put('op', 'config', make_manifest(7, routes))
            stack.enter_context(close_all(fleet.upstreams))
            try:
                await _add_daemons(fleet, daemon_count, zones)
                yield fleet
            finally:
                await fleet.close()


@contextlib.contextmanager
def reserve_net():
    """Yield the first three parts of loopback addresses that no other fleet uses until the end."""
    for _ in range(NET_ATTEMPTS):
        net = f'127.{ADDRESSES.randint(16, 250)}.{ADDRESSES.randint(1, 250)}'
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as reserved:
            try:
                reserved.bind((f'{net}.1', RESERVED_PORT))
            except OSError:
                continue
            yield net
            return
    message = f'port {RESERVED_PORT} is taken on {NET_ATTEMPTS} loopback addresses'
    raise OSError(message)


async def _end_tasks(others):
    """Wait for the tasks of closed connections, and cancel the rest."""
    await asyncio.sleep(0)
    own = asyncio.all_tasks() - others - {asyncio.current_task()}
    if not own:
        return
    _done, pending = await asyncio.wait(own, timeout=END_LIMIT_S)
    for task in pending:
        task.cancel()
    await asyncio.gather(*own, return_exceptions=True)


async def _add_daemons(fleet, daemon_count, zones):
    hosts = [f'{fleet.net}.{number + 2}' for number in range(daemon_count)]
    names = list(zones)
    free = iter(find_free_ports([f'{fleet.net}.1', *hosts], daemon_count * (len(PORT_NAMES) + 1)))
    for number, host in enumerate(hosts):
        zone = names[number % len(names)]
        name = f'edge-{zone}-{number}'
        daemon = Daemon(
            name=name,
            zone=zone,
            host=host,
            ports={port_name: next(free) for port_name in PORT_NAMES},
            settings_path=fleet.folder / f'{name}.yaml',
            log_path=fleet.folder / f'{name}.log',
        )
        store_host, _, store_port = fleet.store.address.rpartition(':')
        link_port = next(free)
        daemon.store_link = ConnectionLink((store_host, link_port), (store_host, int(store_port)))
        await daemon.store_link.open()
        seeds = [f'{seed}:{daemon.ports["control_plane"]}' for seed in hosts[:3]]
        settings = make_settings(daemon, seeds, f'{store_host}:{link_port}', zones)
        daemon.settings_path.write_text(json.dumps(settings))
        fleet.daemons.append(daemon)
    for daemon in fleet.daemons:
        for other in fleet.daemons:
            if other is not daemon:
                links = await _open_peer_links(daemon, other)
                daemon.peer_links.setdefault(other.name, []).extend(links)
                other.peer_links.setdefault(daemon.name, []).extend(links)


async def _open_peer_links(daemon, other):
    """Forward what a daemon sends to its own ports at the host of another one."""
    connections = ConnectionLink(
        (other.host, daemon.ports['control_plane']), (other.host, other.ports['control_plane'])
    )
    await connections.open()
    datagrams = DatagramLink((other.host, other.ports['internal']))
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: datagrams, local_addr=(other.host, daemon.ports['internal'])
    )
    return [connections, datagrams]


def make_settings(daemon, seeds, store_address, zones):
    listen = {
        name: f'{daemon.host}:{daemon.ports[name]}' for name in PORT_NAMES if name != 'internal'
    }
    return {
        'node_name': daemon.name,
        'daemon_role': 'edge',
        'machine_class': 'edge',
        'served_roles': ['edge', 'control', 'registry'],
        'ip_address': daemon.host,
        'zone': daemon.zone,
        'region': zones[daemon.zone],
        'zones': dict(zones),
        'listen_addresses': listen,
        'internal_port_range': [daemon.ports['internal'], daemon.ports['internal'] + 15],
        'seed_nodes': seeds,
        'is_bootstrap': False,
        'is_counted': False,
        'limits': {'cpu_quota': 0.537, 'core_count': 2, 'memory_mb': 300, 'max_fds': 4100},
        'data_directory': None,
        'heartbeat_interval_ms': 1200,
        'bounds': BOUNDS,
        'platform': {'address': store_address, 'form': 'table', 'writes_per_s': 400},
    }


def find_free_ports(hosts, count):
    """Return ports that are free on all hosts, over TCP and UDP."""
    found = []
    while len(found) < count:
        port = ADDRESSES.randint(20000, 32000)
        if port in found:
            continue
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        found.append(port)
    return found
