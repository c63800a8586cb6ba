"""Injects the scheduled faults into a deployment and records what was injected."""

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

from .deployment import DaemonPlan, Deployment, RunningProcess, UpstreamPlan
from .history import Leaving, Lifetime, Proposal
from .schedule import CRASH_MARKER, DAEMONS, Fault

# Faults never leave fewer serving daemons than this.
MIN_SERVING_DAEMONS = 2
WATCH_INTERVAL_S = 0.2
MS_PER_S = 1000
HALF = 0.5

PLATFORM_FAULTS = types.MappingProxyType(
    {
        'table_down': ({'down': True}, {'down': False}),
        'table_slow': ({'slow_ms': 700}, {'slow_ms': 0}),
        'table_loses_answers': ({'lose_share': HALF}, {'lose_share': 0}),
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
        'truncate': ({'truncate_after': 5, 'share': HALF}, {'truncate_after': -1, 'share': 1}),
        'refuse': ({'refuse': True, 'share': HALF}, {'refuse': False, 'share': 1}),
        'hang': ({}, {'hang': ''}),
        'late': ({'late_s': 1}, {'late_s': 0}),
        'drain': ({'draining': True}, {'draining': False}),
        'cut_after_effect': (
            {'cut_after_effect': True, 'share': HALF},
            {'cut_after_effect': False, 'share': 1},
        ),
    }
)
# Added to the duration of a leaving period, so that it outlasts history.MAX_LEAVING_NOTICE_S.
LEAVE_MARGIN_S = 5
HANGS = ('before', 'after', 'all')


@attrs.define
class Injector:
    """The faults of one run.

    `injected_counts` counts them by kind, `skipped_counts` those without a target; `problems` lists
    daemons that exited unexpectedly or did not stop in time.
    """

    deployment: Deployment
    plans: dict[str, UpstreamPlan]
    known_urls: list[str]
    render_fleet: Callable[[float], str]
    started_at: float = 0
    injected_counts: collections.Counter = attrs.Factory(collections.Counter)
    skipped_counts: collections.Counter = attrs.Factory(collections.Counter)
    lifetimes: list[Lifetime] = attrs.Factory(list)
    proposals: list[Proposal] = attrs.Factory(list)
    problems: list[str] = attrs.Factory(list)
    is_ending: bool = False
    _lifetimes_by_name: dict[str, Lifetime] = attrs.Factory(dict)
    _suspended: dict[str, RunningProcess] = attrs.Factory(dict)
    _processes: list[tuple[Lifetime, RunningProcess]] = attrs.Factory(list)
    _marked_at: dict[tuple[str, str], float] = attrs.Factory(dict)
    _ended_marks: list[tuple[str, str, float, float]] = attrs.Factory(list)
    _vm_list_outages: list[tuple[float, float]] = attrs.Factory(list)
    # Number of faults in force by kind and upstream.
    _active_counts: collections.Counter = attrs.Factory(collections.Counter)
    _upstream_starts: int = 0
    _restart_lock: anyio.Lock = attrs.Factory(anyio.Lock)

    def record_daemon_start(self, name: str) -> None:
        """Record the start of a daemon process and make its URL known to callers."""
        running = self.deployment.daemons[name]
        lifetime = Lifetime(name, running.url, time.time())
        self.lifetimes.append(lifetime)
        self._lifetimes_by_name[name] = lifetime
        self._processes.append((lifetime, running))
        if running.url not in self.known_urls:
            self.known_urls.append(running.url)

    def start_upstream(self, name: str, port: str = '0') -> None:
        """Start an upstream; each process gets its own seed, hence its own incarnation."""
        self._upstream_starts += 1
        plan = self.plans[name]
        options = (
            '--seed',
            str(self._upstream_starts),
            '--journal',
            self.journal(name),
            '--port',
            port,
        )
        if plan.kind == 'engine':
            options = (*options, '--crash-marker', CRASH_MARKER)
        else:
            options = (*options, '--name', f'{name}-{self._upstream_starts}')
        self.deployment.start_upstream(attrs.evolve(plan, options=(*plan.options, *options)))

    def journal(self, name: str) -> str:
        """Return the path of the file with the executions of an upstream."""
        return str(self.deployment.folder / f'{name}.executions')

    def list_serving(self) -> list[str]:
        """Return the names of the daemons that run and are neither stopping nor suspended."""
        return [
            name
            for name, lifetime in self._lifetimes_by_name.items()
            if lifetime.ended == math.inf
            and lifetime.stopped == math.inf
            and lifetime.killed == math.inf
            and name not in self._suspended
        ]

    async def run(self, faults: list[Fault]) -> None:
        """Inject the faults at their times; return when all have ended."""
        self.started_at = time.monotonic()
        async with anyio.create_task_group() as group:
            for fault in faults:
                await anyio.sleep(max(0, self.started_at + fault.at_s - time.monotonic()))
                group.start_soon(self._inject, fault)

    async def watch(self) -> None:
        """Record exits of processes and restart upstreams that ended, until cancelled."""
        while True:
            self._record_exits()
            for name, running in list(self.deployment.upstreams.items()):
                if running.process.poll() is not None and not self.is_ending:
                    await self._restart_upstream(name, 0)
            await anyio.sleep(WATCH_INTERVAL_S)

    async def end_faults(self) -> None:
        """End all faults that are still in force."""
        for running in self._suspended.values():
            running.process.send_signal(signal.SIGCONT)
        await self.deployment.set_platform_faults(
            down=False, slow_ms=0, lose_share=0, next_writes=[], objects_down=False,
            vms_down=False, vm_lag_s=0,
        )  # fmt: skip

    async def stop_all(self, timeout_s: float) -> None:
        """Stop all daemons gracefully and wait up to `timeout_s` until they exit."""
        for lifetime, running in self._processes:
            if (
                lifetime.ended == math.inf
                and lifetime.stopped == math.inf
                and lifetime.killed == math.inf
            ):
                lifetime.stopped = time.time()
                running.process.terminate()
        with anyio.move_on_after(timeout_s):
            for _, running in self._processes:
                await _wait_exit(running)
        self._record_exits()
        for lifetime, running in self._processes:
            if running.process.poll() is None:
                self.problems.append(
                    f'{lifetime.name} did not exit within {timeout_s} s of its planned stop'
                )

    def list_processes(self) -> list[tuple[Lifetime, RunningProcess]]:
        """Return all daemon processes of the run."""
        return self._processes

    def list_leavings(self) -> list[Leaving]:
        """Return the periods in which upstreams were marked as leaving.

        While the VM list cannot be read or is out of date, daemons cannot see a new mark on it, so
        such a period starts when the list can be read again.
        """
        marks = self._ended_marks.copy()
        marks.extend(
            (name, cause, since, math.inf) for (name, cause), since in self._marked_at.items()
        )
        leavings = []
        for name, cause, since, until in marks:
            if cause == 'leave':
                for hidden_since, hidden_until in sorted(self._vm_list_outages):
                    if hidden_since <= since + LEAVE_MARGIN_S and hidden_until >= since:
                        since = hidden_until
            leavings.append(Leaving(name, since, until))
        return leavings

    async def _inject(self, fault: Fault) -> None:
        inject = getattr(self, f'_{fault.kind}', None)
        try:
            if fault.kind in PLATFORM_FAULTS:
                is_injected = await self._inject_platform_fault(fault)
            elif fault.kind in UPSTREAM_FAULTS:
                is_injected = await self._inject_upstream_fault(fault)
            else:
                is_injected = await inject(fault)
        except httpx.HTTPError:
            # The upstream crashed in the meantime.
            is_injected = False
        counter = self.injected_counts if is_injected else self.skipped_counts
        counter[fault.kind] += 1

    def _can_lose(self, name: str) -> bool:
        return name in self.list_serving() and len(self.list_serving()) > MIN_SERVING_DAEMONS

    async def _kill_daemon(self, fault: Fault) -> bool:
        name = fault.target
        lifetime = self._lifetimes_by_name[name]
        if lifetime.ended < math.inf or lifetime.killed < math.inf:
            return False
        if (
            lifetime.stopped == math.inf
            and name not in self._suspended
            and not self._can_lose(name)
        ):
            return False
        running = self.deployment.daemons[name]
        lifetime.killed = time.time()
        running.process.kill()
        await _wait_exit(running)
        self._record_exits()
        await self._start_replacement(fault, running)
        return True

    async def _start_replacement(self, fault: Fault, previous: RunningProcess) -> None:
        """Start a daemon of the same name after half the fault's duration.

        `fault.variant` determines whether its VM is missing from the list meanwhile and whether the
        new daemon keeps the address; both may hold.
        """
        name = fault.target
        if fault.variant < HALF:
            await self.deployment.set_vm_state(name, 'gone')
        await anyio.sleep(fault.lasts_s / 2)
        if self.is_ending:
            return
        plan = DaemonPlan(name, previous.zone)
        keeps_address = HALF / 2 < fault.variant < 3 * HALF / 2
        self.deployment.start_daemon(plan, previous if keeps_address else None)
        self.record_daemon_start(name)
        await self.deployment.publish_vms()

    async def _pause_daemon(self, fault: Fault) -> bool:
        name = fault.target
        lifetime = self._lifetimes_by_name[name]
        if not self._can_lose(name):
            return False
        running = self.deployment.daemons[name]
        self._suspended[name] = running
        self.deployment.suspend(name)
        await anyio.sleep(fault.lasts_s)
        self._suspended.pop(name, None)
        if lifetime.ended == math.inf:
            running.process.send_signal(signal.SIGCONT)
        return True

    async def _stop_daemon(self, fault: Fault) -> bool:
        return await self._stop_daemons(fault, [fault.target])

    async def _stop_two_daemons(self, fault: Fault) -> bool:
        other = DAEMONS[(DAEMONS.index(fault.target) + 1) % len(DAEMONS)]
        return await self._stop_daemons(fault, [fault.target, other])

    async def _stop_daemons(self, fault: Fault, names: list[str]) -> bool:
        stopped_names = [name for name in names if self._can_lose(name)]
        async with anyio.create_task_group() as group:
            for name in stopped_names:
                self._lifetimes_by_name[name].stopped = time.time()
                self.deployment.stop(name)
                group.start_soon(self._wait_stopped, attrs.evolve(fault, target=name))
        return bool(stopped_names)

    async def _wait_stopped(self, fault: Fault) -> None:
        lifetime, running = (
            self._lifetimes_by_name[fault.target],
            self.deployment.daemons[fault.target],
        )
        await _wait_exit(running)
        self._record_exits()
        if lifetime.killed == math.inf:
            await self._start_replacement(fault, running)

    async def _inject_platform_fault(self, fault: Fault) -> bool:
        begin, end = PLATFORM_FAULTS[fault.kind]
        since = time.time()
        await self.deployment.set_platform_faults(**begin)
        await anyio.sleep(fault.lasts_s)
        await self.deployment.set_platform_faults(**end)
        if fault.kind.startswith('vm_list'):
            self._vm_list_outages.append((since, time.time()))
        return True

    async def _inject_upstream_fault(self, fault: Fault) -> bool:
        name = fault.target
        begin, end = UPSTREAM_FAULTS[fault.kind]
        if fault.kind == 'truncate' and fault.variant < HALF:
            begin = {**begin, 'truncate': 'clean'}
            end = {**end, 'truncate': 'cut'}
        if fault.kind == 'hang':
            begin = {'hang': HANGS[int(fault.variant * len(HANGS))]}
        running = self.deployment.upstreams[name]
        self._active_counts[fault.kind, name] += 1
        await self.deployment.set_upstream_faults(name, **begin)
        if fault.kind == 'drain':
            self._mark(name, 'drain')
            await anyio.sleep(LEAVE_MARGIN_S)
        await anyio.sleep(fault.lasts_s)
        self._active_counts[fault.kind, name] -= 1
        if self._active_counts[fault.kind, name]:
            # Another fault of this kind is still in force and ends it later.
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
        await anyio.sleep(fault.lasts_s + LEAVE_MARGIN_S)
        self._unmark(name, 'leave')
        await self.deployment.set_vm_state(name, 'live')
        return True

    def _mark(self, name: str, cause: str) -> None:
        self._marked_at.setdefault((name, cause), time.time())

    def _unmark(self, name: str, cause: str) -> None:
        since = self._marked_at.pop((name, cause), None)
        if since is not None:
            self._ended_marks.append((name, cause, since, time.time()))

    async def _kill_upstream(self, fault: Fault) -> bool:
        running = self.deployment.upstreams[fault.target]
        if running.process.poll() is not None:
            return False
        running.process.kill()
        if fault.variant < HALF:
            # `watch` restarts it at once; otherwise it stays down for a while.
            return True
        await self._restart_upstream(fault.target, fault.lasts_s / 2)
        return True

    async def _restart_upstream(self, name: str, after_s: float) -> None:
        async with self._restart_lock:
            running = self.deployment.upstreams[name]
            if running.process.poll() is None and not after_s:
                return
            await _wait_exit(running)
            await anyio.sleep(after_s)
            if self.is_ending:
                return
            self._unmark(name, 'drain')
            port = '0'
            if self._upstream_starts % 2:
                port = running.url.rpartition(':')[2]
            await anyio.to_thread.run_sync(self.start_upstream, name, port)
            await self.deployment.publish_vms()

    async def _propose(self, fault: Fault) -> bool:
        serving = self.list_serving()
        token = self.deployment.operator_token
        names = [serving[int(fault.variant * len(serving))], serving[-1]]
        addresses = [self.deployment.daemons[name].peers_address for name in names]
        try:
            current = await call_daemon(
                addresses[0],
                token,
                lambda stub, metadata: stub.ShowConfig(pb.ShowConfigRequest(), metadata=metadata),
            )
        except UserError:
            return False
        async with anyio.create_task_group() as group:
            for number, address in enumerate(addresses):
                reason = f'change {fault.at_s:.3f} of operator {number}'
                group.start_soon(self._send_proposal, fault, current, address, reason)
        return True

    async def _send_proposal(
        self, fault: Fault, current: pb.ConfigVersion, address: str, reason: str
    ) -> None:
        request = pb.ProposeRequest(
            base_version=current.version,
            text=self.render_fleet(fault.variant),
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
            self.proposals.append(
                Proposal(reason, current.version, time.time(), problem=str(error))
            )
            return
        self.proposals.append(
            Proposal(
                reason,
                current.version,
                time.time(),
                reply.accepted,
                reply.committed,
                reply.version,
                reply.problem,
            )
        )

    def _record_exits(self) -> None:
        for lifetime, running in self._processes:
            code = running.process.poll()
            if code is None or lifetime.ended < math.inf:
                continue
            lifetime.ended = time.time()
            lifetime.exit_code = code
            if lifetime.killed == math.inf and lifetime.stopped == math.inf:
                self.problems.append(f'{lifetime.name} exited unexpectedly with exit code {code}')
                sys.stderr.write(f'{lifetime.name} exited unexpectedly with exit code {code}\n')


async def _wait_exit(running: RunningProcess) -> None:
    await anyio.to_thread.run_sync(running.process.wait, abandon_on_cancel=True)
