"""A small deployment on loopback: daemons and stand-ins, each a process of its own."""

import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping, Sequence

import anyio
import attrs
import httpx
import yaml

START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 30
POLL_S = 0.05


@attrs.frozen
class UpstreamPlan:
    """One upstream to start: a name, its place, and options of its stand-in."""

    name: str
    service: str
    pool: str
    zone: str
    kind: str
    options: tuple[str, ...] = ()


@attrs.frozen
class DaemonPlan:
    """One daemon to start."""

    name: str
    zone: str


@attrs.define
class Running:
    """A started process and where it is reached."""

    process: subprocess.Popen
    url: str
    peers_address: str = ''
    zone: str = ''


def pick_port(host: str) -> int:
    """Return a port of `host` that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Deployment:
    """Processes of one deployment; leaving the context ends them all."""

    def __init__(self, fleet: Mapping[str, object], seed: int = 1, log_level: str = 'INFO') -> None:
        """Prepare a deployment with the fleet configuration `fleet` (the `fleet:` part)."""
        self.fleet = fleet
        self.seed = seed
        self.log_level = log_level
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='camphorpath-'))
        self.upstreams: dict[str, Running] = {}
        self.daemons: dict[str, Running] = {}
        self.platform: Running | None = None
        self._vms: dict[str, dict[str, str]] = {}
        self._tokens = {'peer': secrets.token_hex(16), 'operator': secrets.token_hex(16)}
        for name, token in self._tokens.items():
            (self.folder / f'{name}.token').write_text(token)

    def __enter__(self) -> 'Deployment':
        """Return the deployment."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Kill what still runs."""
        for running in self._list_running():
            if running.process.poll() is None:
                running.process.kill()
            running.process.wait()

    @property
    def operator_token(self) -> str:
        """The operator's token."""
        return self._tokens['operator']

    @property
    def operator_token_file(self) -> str:
        """The file with the operator's token."""
        return str(self.folder / 'operator.token')

    def start_platform(self) -> None:
        """Start the stand-in of the platform."""
        self.platform = self._start_standin('platform', ('--seed', str(self.seed)))

    def start_upstream(self, plan: UpstreamPlan) -> None:
        """Start an upstream and put it on the VM list."""
        running = self._start_standin(plan.kind, ('--seed', str(self.seed), *plan.options))
        running.zone = plan.zone
        self.upstreams[plan.name] = running
        self._vms[plan.name] = {
            'name': plan.name,
            'role': 'upstream',
            'address': running.url.removeprefix('http://'),
            'peers_address': '',
            'service': plan.service,
            'pool': plan.pool,
            'zone': plan.zone,
            # A restarted upstream on a leaving VM stays on it.
            'state': self._vms.get(plan.name, {}).get('state', 'live'),
        }

    def start_daemon(self, plan: DaemonPlan, former: Running | None = None) -> None:
        """Start a daemon, at the addresses of `former` if given, and put it on the VM list."""
        assert self.platform is not None
        callers = f'127.0.0.1:{pick_port("127.0.0.1")}'
        peers = f'127.0.0.1:{pick_port("127.0.0.1")}'
        if former is not None:
            callers, peers = former.url.removeprefix('http://'), former.peers_address
        settings = {
            'daemon': {
                'name': plan.name,
                'zone': plan.zone,
                'callers_address': callers,
                'peers_address': peers,
                'peer_token_file': str(self.folder / 'peer.token'),
                'operator_token_file': self.operator_token_file,
                'log_level': self.log_level,
                'platform': {
                    'table_url': self.platform.url,
                    'object_store_url': self.platform.url,
                    'vm_list_url': self.platform.url,
                },
            }
        }
        path = self.folder / f'{plan.name}.yaml'
        path.write_text(yaml.safe_dump(settings))
        log = (self.folder / f'{plan.name}.log').open('ab')
        process = subprocess.Popen(
            [sys.executable, '-m', 'camphorpath', 'serve', str(path)], stderr=log, stdout=log
        )
        self.daemons[plan.name] = Running(process, f'http://{callers}', peers, plan.zone)
        self._vms[plan.name] = {
            'name': plan.name,
            'role': 'entry',
            'address': callers,
            'peers_address': peers,
            'service': '',
            'pool': '',
            'zone': plan.zone,
            'state': 'live',
        }

    async def publish_vms(self) -> None:
        """Write the VM list to the platform."""
        async with httpx.AsyncClient(trust_env=False) as client:
            reply = await client.put(
                f'{self.platform.url}/admin/vms', json={'vms': list(self._vms.values())}
            )
            reply.raise_for_status()

    async def set_vm_state(self, name: str, state: str) -> None:
        """Mark a VM `live` or `leaving`, or take it off the list with `gone`."""
        if state == 'gone':
            self._vms.pop(name, None)
        else:
            self._vms[name]['state'] = state
        await self.publish_vms()

    async def set_platform_faults(self, **faults: object) -> None:
        """Set faults of the platform."""
        await self._post(f'{self.platform.url}/admin/faults', faults)

    async def set_upstream_faults(self, name: str, **faults: object) -> None:
        """Set faults of an upstream."""
        await self._post(f'{self.upstreams[name].url}/faults', faults)

    async def propose_fleet(self, reason: str = 'first configuration') -> None:
        """Propose the fleet configuration through the first daemon, as an operator would."""
        path = self.folder / 'fleet.yaml'
        path.write_text(yaml.safe_dump({'fleet': dict(self.fleet)}, sort_keys=False))
        daemon = next(iter(self.daemons.values()))
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            done = await anyio.run_process(
                [
                    sys.executable, '-m', 'camphorpath', 'config', 'propose', str(path),
                    '--daemon', daemon.peers_address, '--token-file', self.operator_token_file,
                    '--base', '0', '--reason', reason, '--author', 'tools',
                ],
                check=False,
            )  # fmt: skip
            if not done.returncode:
                return
            if time.monotonic() > deadline:
                raise RuntimeError(f'configuration not accepted: {done.stderr.decode()}')
            await anyio.sleep(POLL_S * 10)

    async def wait_serving(self, names: Sequence[str] = ()) -> None:
        """Wait until the named daemons (all by default) serve calls."""
        async with httpx.AsyncClient(trust_env=False) as client:
            for name in names or list(self.daemons):
                await self._wait_healthy(client, name)

    def kill(self, name: str) -> None:
        """End a process at once."""
        self._find(name).process.kill()

    def pause(self, name: str) -> None:
        """Suspend a process."""
        os.kill(self._find(name).process.pid, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a suspended process go on."""
        os.kill(self._find(name).process.pid, signal.SIGCONT)

    def stop(self, name: str) -> None:
        """Ask a process for a graceful stop."""
        self._find(name).process.terminate()

    async def wait_stopped(self, name: str) -> int:
        """Wait for the end of a process; return its exit code."""
        with anyio.fail_after(STOP_TIMEOUT_S):
            return await anyio.to_thread.run_sync(
                self._find(name).process.wait, abandon_on_cancel=True
            )

    def read_log(self, name: str) -> list[dict]:
        """Return the log of a daemon, one document a line."""
        lines = (self.folder / f'{name}.log').read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]

    def _find(self, name: str) -> Running:
        return self.daemons.get(name) or self.upstreams[name]

    def _list_running(self) -> list[Running]:
        found = [*self.daemons.values(), *self.upstreams.values()]
        return [*found, self.platform] if self.platform else found

    def _start_standin(self, kind: str, options: Sequence[str]) -> Running:
        process = subprocess.Popen(
            [sys.executable, '-m', f'standins.{kind}', '--port', '0', *options],
            stdout=subprocess.PIPE,
        )
        word, _, port = process.stdout.readline().decode().strip().partition(' ')
        if word != 'ready':
            raise RuntimeError(f'stand-in {kind} did not start')
        return Running(process, f'http://127.0.0.1:{port}')

    async def _wait_healthy(self, client: httpx.AsyncClient, name: str) -> None:
        reason = 'no answer'
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                reply = await client.get(f'{self.daemons[name].url}/camphorpath/health')
            except httpx.HTTPError:
                await anyio.sleep(POLL_S)
                continue
            found = reply.json()
            reason = found['reason']
            if found['serving'] and found['version']:
                return
            await anyio.sleep(POLL_S)
        raise RuntimeError(f'{name} does not serve: {reason}')

    async def _post(self, url: str, document: Mapping[str, object]) -> None:
        async with httpx.AsyncClient(trust_env=False) as client:
            (await client.post(url, json=document)).raise_for_status()
