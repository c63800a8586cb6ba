"""Carries out the schedule of faults on a deployment and keeps what was done."""

import collections
import math
import signal
import sys
import time
import types
from collections.abc import Callable

import anyio
import attrs
import httpx

from camphorpath.errors import UserError
from camphorpath.schema import camphorpath_pb2 as pb
from camphorpath.ui.operator import call_daemon

from .deployment import DaemonPlan, Deployment, Running, UpstreamPlan
from .history import Leaving, Lifetime, Proposal
from .schedule import CRASH_MARKER, DAEMONS, Fault

# Fewer serving daemons are not left by faults.
FEWEST_DAEMONS = 2
WATCH_INTERVAL_S = 0.2
MS_PER_S = 1000
MODERATE = 0.5

PLATFORM_FAULTS = types.MappingProxyType(
    {
        'table_down': ({'down': True}, {'down': False}),
        'table_slow': ({'slow_ms': 700}, {'slow_ms': 0}),
        'table_loses_answers': ({'lose_share': MODERATE}, {'lose_share': 0}),
        'table_writes_late': (
            {'next_writes': ['late', 'none', 'lose', 'drop', 'late', 'none', 'late', 'lose']},
            {'next_writes': []},
        ),
        'objects_down': ({'objects_down': True}, {'objects_down': False}),
        'vm_list_down': ({'vms_down': True}, {'vms_down': False}),
        'vm_list_old': ({'vm_lag_s': 4}, {'vm_lag_s': 0}),
    }
)
UPSTREAM_FAULTS = types.MappingProxyType(
    {
        'slow_upstream': ({'slow': 8}, {'slow': 1}),
        'truncate': ({'truncate_after': 5, 'share': MODERATE}, {'truncate_after': -1, 'share': 1}),
        'refuse': ({'refuse': True, 'share': MODERATE}, {'refuse': False, 'share': 1}),
        'hang': ({}, {'hang': ''}),
        'late': ({'late_s': 1}, {'late_s': 0}),
        'drain': ({'draining': True}, {'draining': False}),
        'cut_after_effect': (
            {'cut_after_effect': True, 'share': MODERATE},
            {'cut_after_effect': False, 'share': 1},
        ),
    }
)
# Upstreams leave for longer than the time in which this must be known everywhere.
LEAVE_EXTRA_S = 5
HANGS = ('before', 'after', 'all')


@attrs.define
class Injector:
    """The faults of one run; `done` counts them by kind, `skipped` those without a target."""

    deployment: Deployment
    plans: dict[str, UpstreamPlan]
    known_urls: list[str]
    render_fleet: Callable[[float], str]
    began: float = 0
    done: collections.Counter = attrs.Factory(collections.Counter)
    skipped: collections.Counter = attrs.Factory(collections.Counter)
    lifetimes: list[Lifetime] = attrs.Factory(list)
    proposals: list[Proposal] = attrs.Factory(list)
    problems: list[str] = attrs.Factory(list)
    is_ending: bool = False
    _lives: dict[str, Lifetime] = attrs.Factory(dict)
    _paused: dict[str, Running] = attrs.Factory(dict)
    _processes: list[tuple[Lifetime, Running]] = attrs.Factory(list)
    _since: dict[tuple[str, str], float] = attrs.Factory(dict)
    _marks: list[tuple[str, str, float, float]] = attrs.Factory(list)
    _vms_hidden: list[tuple[float, float]] = attrs.Factory(list)
    # Faults in force by kind and upstream.
    _active: collections.Counter = attrs.Factory(collections.Counter)
    _starts: int = 0
    _lock: anyio.Lock = attrs.Factory(anyio.Lock)

    def note_daemon(self, name: str) -> None:
        """Begin the lifetime of a daemon that was just started."""
        running = self.deployment.daemons[name]
        life = Lifetime(name, running.url, time.time())
        self.lifetimes.append(life)
        self._lives[name] = life
        self._processes.append((life, running))
        if running.url not in self.known_urls:
            self.known_urls.append(running.url)

    def start_upstream(self, name: str, port: str = '0') -> None:
        """Start an upstream; each process has its own seed and so its own incarnation."""
        self._starts += 1
        plan = self.plans[name]
        options = ('--seed', str(self._starts), '--journal', self.journal(name), '--port', port)
        if plan.kind == 'engine':
            options = (*options, '--crash-marker', CRASH_MARKER)
        else:
            options = (*options, '--name', f'{name}-{self._starts}')
        self.deployment.start_upstream(attrs.evolve(plan, options=(*plan.options, *options)))

    def journal(self, name: str) -> str:
        """Return the file with the executions of an upstream."""
        return str(self.deployment.folder / f'{name}.executions')

    def list_serving(self) -> list[str]:
        """Return the daemons that run and are neither stopped nor paused."""
        return [
            name
            for name, life in self._lives.items()
            if life.ended == math.inf
            and life.stopped == math.inf
            and life.killed == math.inf
            and name not in self._paused
        ]

    async def run(self, faults: list[Fault]) -> None:
        """Carry out the faults; returns when all have ended."""
        self.began = time.monotonic()
        async with anyio.create_task_group() as group:
            for fault in faults:
                await anyio.sleep(max(0, self.began + fault.at_s - time.monotonic()))
                group.start_soon(self._inject, fault)

    async def watch(self) -> None:
        """Note the ends of processes and start engines that crashed again, until cancelled."""
        while True:
            self._note_ends()
            for name, running in list(self.deployment.upstreams.items()):
                if running.process.poll() is not None and not self.is_ending:
                    await self._restart_upstream(name, 0)
            await anyio.sleep(WATCH_INTERVAL_S)

    async def settle(self) -> None:
        """End all faults that are still in force."""
        for running in self._paused.values():
            running.process.send_signal(signal.SIGCONT)
        await self.deployment.set_platform_faults(
            down=False, slow_ms=0, lose_share=0, next_writes=[], objects_down=False,
            vms_down=False, vm_lag_s=0,
        )  # fmt: skip

    async def stop_all(self, limit_s: float) -> None:
        """Stop all daemons gracefully and wait for their ends."""
        for life, running in self._processes:
            if life.ended == math.inf and life.stopped == math.inf and life.killed == math.inf:
                life.stopped = time.time()
                running.process.terminate()
        with anyio.move_on_after(limit_s):
            for _, running in self._processes:
                await _wait_process(running)
        self._note_ends()
        for life, running in self._processes:
            if running.process.poll() is None:
                self.problems.append(f'{life.name} did not end {limit_s} s after its planned stop')

    def list_processes(self) -> list[tuple[Lifetime, Running]]:
        """Return all daemon processes of the run."""
        return self._processes

    def list_leavings(self) -> list[Leaving]:
        """Return when upstreams were marked; a mark that cannot be read does not count yet."""
        marks = self._marks.copy()
        marks.extend((name, how, since, math.inf) for (name, how), since in self._since.items())
        leavings = []
        for name, how, since, until in marks:
            if how == 'leave':
                for hidden_since, hidden_until in sorted(self._vms_hidden):
                    if hidden_since <= since + LEAVE_EXTRA_S and hidden_until >= since:
                        since = hidden_until
            leavings.append(Leaving(name, since, until))
        return leavings

    async def _inject(self, fault: Fault) -> None:
        act = getattr(self, f'_{fault.kind}', None)
        try:
            if fault.kind in PLATFORM_FAULTS:
                is_done = await self._fault_platform(fault)
            elif fault.kind in UPSTREAM_FAULTS:
                is_done = await self._fault_upstream(fault)
            else:
                is_done = await act(fault)
        except httpx.HTTPError:
            # The upstream crashed meanwhile.
            is_done = False
        counter = self.done if is_done else self.skipped
        counter[fault.kind] += 1

    def _may_lose(self, name: str) -> bool:
        return name in self.list_serving() and len(self.list_serving()) > FEWEST_DAEMONS

    async def _kill_daemon(self, fault: Fault) -> bool:
        name = fault.target
        life = self._lives[name]
        if life.ended < math.inf or life.killed < math.inf:
            return False
        if life.stopped == math.inf and name not in self._paused and not self._may_lose(name):
            return False
        running = self.deployment.daemons[name]
        life.killed = time.time()
        running.process.kill()
        await _wait_process(running)
        self._note_ends()
        await self._replace_daemon(fault, running)
        return True

    async def _replace_daemon(self, fault: Fault, former: Running) -> None:
        """Start a daemon of the same name after a while, sometimes at the same address."""
        name = fault.target
        if fault.detail < MODERATE:
            await self.deployment.set_vm_state(name, 'gone')
        await anyio.sleep(fault.lasts_s / 2)
        if self.is_ending:
            return
        plan = DaemonPlan(name, former.zone)
        is_same_address = MODERATE / 2 < fault.detail < 3 * MODERATE / 2
        self.deployment.start_daemon(plan, former if is_same_address else None)
        self.note_daemon(name)
        await self.deployment.publish_vms()

    async def _pause_daemon(self, fault: Fault) -> bool:
        name = fault.target
        life = self._lives[name]
        if not self._may_lose(name):
            return False
        running = self.deployment.daemons[name]
        self._paused[name] = running
        self.deployment.pause(name)
        await anyio.sleep(fault.lasts_s)
        self._paused.pop(name, None)
        if life.ended == math.inf:
            running.process.send_signal(signal.SIGCONT)
        return True

    async def _stop_daemon(self, fault: Fault) -> bool:
        return await self._stop_names(fault, [fault.target])

    async def _stop_two_daemons(self, fault: Fault) -> bool:
        other = DAEMONS[(DAEMONS.index(fault.target) + 1) % len(DAEMONS)]
        return await self._stop_names(fault, [fault.target, other])

    async def _stop_names(self, fault: Fault, names: list[str]) -> bool:
        chosen = [name for name in names if self._may_lose(name)]
        async with anyio.create_task_group() as group:
            for name in chosen:
                self._lives[name].stopped = time.time()
                self.deployment.stop(name)
                group.start_soon(self._await_stop, attrs.evolve(fault, target=name))
        return bool(chosen)

    async def _await_stop(self, fault: Fault) -> None:
        life, running = self._lives[fault.target], self.deployment.daemons[fault.target]
        await _wait_process(running)
        self._note_ends()
        if life.killed == math.inf:
            await self._replace_daemon(fault, running)

    async def _fault_platform(self, fault: Fault) -> bool:
        begin, end = PLATFORM_FAULTS[fault.kind]
        since = time.time()
        await self.deployment.set_platform_faults(**begin)
        await anyio.sleep(fault.lasts_s)
        await self.deployment.set_platform_faults(**end)
        if fault.kind.startswith('vm_list'):
            self._vms_hidden.append((since, time.time()))
        return True

    async def _fault_upstream(self, fault: Fault) -> bool:
        name = fault.target
        begin, end = UPSTREAM_FAULTS[fault.kind]
        if fault.kind == 'truncate' and fault.detail < MODERATE:
            begin = {**begin, 'truncate': 'clean'}
            end = {**end, 'truncate': 'cut'}
        if fault.kind == 'hang':
            begin = {'hang': HANGS[int(fault.detail * len(HANGS))]}
        running = self.deployment.upstreams[name]
        self._active[fault.kind, name] += 1
        await self.deployment.set_upstream_faults(name, **begin)
        if fault.kind == 'drain':
            self._mark(name, 'drain')
            await anyio.sleep(LEAVE_EXTRA_S)
        await anyio.sleep(fault.lasts_s)
        self._active[fault.kind, name] -= 1
        if self._active[fault.kind, name]:
            # The other fault of this kind ends it.
            return True
        if fault.kind == 'drain':
            self._unmark(name, 'drain')
        if self.deployment.upstreams[name] is running:
            await self.deployment.set_upstream_faults(name, **end)
        return True

    async def _leave(self, fault: Fault) -> bool:
        name = fault.target
        await self.deployment.set_vm_state(name, 'leaving')
        self._mark(name, 'leave')
        await anyio.sleep(fault.lasts_s + LEAVE_EXTRA_S)
        self._unmark(name, 'leave')
        await self.deployment.set_vm_state(name, 'live')
        return True

    def _mark(self, name: str, how: str) -> None:
        self._since.setdefault((name, how), time.time())

    def _unmark(self, name: str, how: str) -> None:
        since = self._since.pop((name, how), None)
        if since is not None:
            self._marks.append((name, how, since, time.time()))

    async def _kill_upstream(self, fault: Fault) -> bool:
        running = self.deployment.upstreams[fault.target]
        if running.process.poll() is not None:
            return False
        running.process.kill()
        if fault.detail < MODERATE:
            # The watch starts it again soon; otherwise it stays away for a while.
            return True
        await self._restart_upstream(fault.target, fault.lasts_s / 2)
        return True

    async def _restart_upstream(self, name: str, after_s: float) -> None:
        async with self._lock:
            running = self.deployment.upstreams[name]
            if running.process.poll() is None and not after_s:
                return
            await _wait_process(running)
            await anyio.sleep(after_s)
            if self.is_ending:
                return
            self._unmark(name, 'drain')
            port = '0'
            if self._starts % 2:
                port = running.url.rpartition(':')[2]
            await anyio.to_thread.run_sync(self.start_upstream, name, port)
            await self.deployment.publish_vms()

    async def _propose(self, fault: Fault) -> bool:
        serving = self.list_serving()
        token = self.deployment.operator_token
        names = [serving[int(fault.detail * len(serving))], serving[-1]]
        addresses = [self.deployment.daemons[name].peers_address for name in names]
        try:
            shown = await call_daemon(
                addresses[0],
                token,
                lambda stub, metadata: stub.ShowConfig(pb.ShowConfigRequest(), metadata=metadata),
            )
        except UserError:
            return False
        async with anyio.create_task_group() as group:
            for number, address in enumerate(addresses):
                reason = f'change {fault.at_s:.3f} of operator {number}'
                group.start_soon(self._propose_one, fault, shown, address, reason)
        return True

    async def _propose_one(
        self, fault: Fault, shown: pb.ConfigVersion, address: str, reason: str
    ) -> None:
        request = pb.ProposeRequest(
            base_version=shown.version,
            text=self.render_fleet(fault.detail),
            reason=reason,
            author='soak',
        )
        try:
            reply = await call_daemon(
                address,
                self.deployment.operator_token,
                lambda stub, metadata: stub.Propose(request, metadata=metadata),
            )
        except UserError as error:
            self.proposals.append(Proposal(reason, shown.version, time.time(), problem=str(error)))
            return
        self.proposals.append(
            Proposal(
                reason,
                shown.version,
                time.time(),
                reply.accepted,
                reply.committed,
                reply.version,
                reply.problem,
            )
        )

    def _note_ends(self) -> None:
        for life, running in self._processes:
            code = running.process.poll()
            if code is None or life.ended < math.inf:
                continue
            life.ended = time.time()
            life.exit_code = code
            if life.killed == math.inf and life.stopped == math.inf:
                self.problems.append(f'{life.name} ended by itself with exit code {code}')
                sys.stderr.write(f'{life.name} ended by itself\n')


async def _wait_process(running: Running) -> None:
    await anyio.to_thread.run_sync(running.process.wait, abandon_on_cancel=True)
