"""A small deployment on loopback; each daemon and each stand-in is a separate process."""

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
POLL_INTERVAL_S = 0.05


@attrs.frozen
class UpstreamPlan:
    """One upstream to start; `kind` is the stand-in module, `options` are its arguments."""

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
class RunningProcess:
    """A started process and its addresses."""

    process: subprocess.Popen
    url: str
    peers_address: str = ''
    zone: str = ''


def find_free_port(host: str) -> int:
    """Return a port that is free on `host`; another process may still take it before use."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Deployment:
    """The processes of one deployment; leaving the context kills those that still run."""

    def __init__(self, fleet: Mapping[str, object], seed: int = 1, log_level: str = 'INFO') -> None:
        """Create folder and tokens; `fleet` is the `fleet:` section of the configuration."""
        self.fleet = fleet
        self.seed = seed
        self.log_level = log_level
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='camphorpath-'))
        self.upstreams: dict[str, RunningProcess] = {}
        self.daemons: dict[str, RunningProcess] = {}
        self.platform: RunningProcess | None = None
        self._vms: dict[str, dict[str, str]] = {}
        self._tokens = {'peer': secrets.token_hex(16), 'operator': secrets.token_hex(16)}
        for name, token in self._tokens.items():
            (self.folder / f'{name}.token').write_text(token)

    def __enter__(self) -> 'Deployment':
        """Return the deployment."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Kill the processes that still run and wait for their exit."""
        for running in self._list_running():
            if running.process.poll() is None:
                running.process.kill()
            running.process.wait()

    @property
    def operator_token(self) -> str:
        """The token of the operator."""
        return self._tokens['operator']

    @property
    def operator_token_file(self) -> str:
        """The path of the file with the token of the operator."""
        return str(self.folder / 'operator.token')

    def start_platform(self) -> None:
        """Start the stand-in of the platform."""
        self.platform = self._start_standin('platform', ('--seed', str(self.seed)))

    def start_upstream(self, plan: UpstreamPlan) -> None:
        """Start an upstream and add it to the VM list, which is not published yet."""
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
            # An upstream that restarts on a leaving VM remains leaving.
            'state': self._vms.get(plan.name, {}).get('state', 'live'),
        }

    def start_daemon(self, plan: DaemonPlan, previous: RunningProcess | None = None) -> None:
        """Start a daemon, at the addresses of `previous` if given, and add it to the VM list."""
        assert self.platform is not None
        callers_address = f'127.0.0.1:{find_free_port("127.0.0.1")}'
        peers_address = f'127.0.0.1:{find_free_port("127.0.0.1")}'
        if previous is not None:
            callers_address, peers_address = (
                previous.url.removeprefix('http://'),
                previous.peers_address,
            )
        settings = {
            'daemon': {
                'name': plan.name,
                'zone': plan.zone,
                'callers_address': callers_address,
                'peers_address': peers_address,
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
        self.daemons[plan.name] = RunningProcess(
            process, f'http://{callers_address}', peers_address, plan.zone
        )
        self._vms[plan.name] = {
            'name': plan.name,
            'role': 'entry',
            'address': callers_address,
            'peers_address': peers_address,
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
        """Mark a VM as `live` or `leaving`, or remove it if `gone`, and publish the VM list."""
        if state == 'gone':
            self._vms.pop(name, None)
        else:
            self._vms[name]['state'] = state
        await self.publish_vms()

    async def set_platform_faults(self, **faults: object) -> None:
        """Set faults of the platform stand-in."""
        await self._post_json(f'{self.platform.url}/admin/faults', faults)

    async def set_upstream_faults(self, name: str, **faults: object) -> None:
        """Set faults of the stand-in of an upstream."""
        await self._post_json(f'{self.upstreams[name].url}/faults', faults)

    async def propose_fleet(self, reason: str = 'first configuration') -> None:
        """Propose the fleet configuration through the first daemon with the operator command.

        Raise RuntimeError if it is not accepted within `START_TIMEOUT_S`.
        """
        path = self.folder / 'fleet.yaml'
        path.write_text(yaml.safe_dump({'fleet': dict(self.fleet)}, sort_keys=False))
        daemon = next(iter(self.daemons.values()))
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            result = await anyio.run_process(
                [
                    sys.executable, '-m', 'camphorpath', 'config', 'propose', str(path),
                    '--daemon', daemon.peers_address, '--token-file', self.operator_token_file,
                    '--base', '0', '--reason', reason, '--author', 'tools',
                ],
                check=False,
            )  # fmt: skip
            if not result.returncode:
                return
            if time.monotonic() > deadline:
                raise RuntimeError(f'fleet configuration not accepted: {result.stderr.decode()}')
            await anyio.sleep(POLL_INTERVAL_S * 10)

    async def wait_serving(self, names: Sequence[str] = ()) -> None:
        """Wait until the named daemons (all by default) serve calls; raise RuntimeError if not."""
        async with httpx.AsyncClient(trust_env=False) as client:
            for name in names or list(self.daemons):
                await self._wait_healthy(client, name)

    def kill(self, name: str) -> None:
        """Kill a process (SIGKILL)."""
        self._find_process(name).process.kill()

    def suspend(self, name: str) -> None:
        """Suspend a process (SIGSTOP)."""
        os.kill(self._find_process(name).process.pid, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process (SIGCONT)."""
        os.kill(self._find_process(name).process.pid, signal.SIGCONT)

    def stop(self, name: str) -> None:
        """Request the graceful stop of a process (SIGTERM)."""
        self._find_process(name).process.terminate()

    async def wait_stopped(self, name: str) -> int:
        """Wait for the exit of a process; return its exit code or raise TimeoutError."""
        with anyio.fail_after(STOP_TIMEOUT_S):
            return await anyio.to_thread.run_sync(
                self._find_process(name).process.wait, abandon_on_cancel=True
            )

    def read_log(self, name: str) -> list[dict]:
        """Return the entries of a daemon's log."""
        lines = (self.folder / f'{name}.log').read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]

    def _find_process(self, name: str) -> RunningProcess:
        return self.daemons.get(name) or self.upstreams[name]

    def _list_running(self) -> list[RunningProcess]:
        processes = [*self.daemons.values(), *self.upstreams.values()]
        return [*processes, self.platform] if self.platform else processes

    def _start_standin(self, kind: str, options: Sequence[str]) -> RunningProcess:
        process = subprocess.Popen(
            [sys.executable, '-m', f'standins.{kind}', '--port', '0', *options],
            stdout=subprocess.PIPE,
        )
        word, _, port = process.stdout.readline().decode().strip().partition(' ')
        if word != 'ready':
            raise RuntimeError(f'stand-in {kind} did not report that it is ready')
        return RunningProcess(process, f'http://127.0.0.1:{port}')

    async def _wait_healthy(self, client: httpx.AsyncClient, name: str) -> None:
        reason = 'no answer'
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                reply = await client.get(f'{self.daemons[name].url}/camphorpath/health')
            except httpx.HTTPError:
                await anyio.sleep(POLL_INTERVAL_S)
                continue
            health = reply.json()
            reason = health['reason']
            if health['serving'] and health['version']:
                return
            await anyio.sleep(POLL_INTERVAL_S)
        raise RuntimeError(f'daemon {name} does not serve calls: {reason}')

    async def _post_json(self, url: str, document: Mapping[str, object]) -> None:
        async with httpx.AsyncClient(trust_env=False) as client:
            (await client.post(url, json=document)).raise_for_status()
