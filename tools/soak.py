"""Randomized fault-injection run (soak) of real processes, and the checks of what it recorded."""

import argparse
import collections
import datetime
import json
import os
import pathlib
import random
import shutil
import sys
import time
from collections.abc import Iterable, Iterator

import anyio
import attrs
import httpx
import yaml

from camphorpath.schema import camphorpath_pb2 as pb
from camphorpath.ui.operator import call_daemon
from standins.prompts import make_digest, read_prompt

from .callers import AddressBook
from .demo import load_fleet
from .deployment import DaemonPlan, Deployment, UpstreamPlan
from .history import CHECKS, Execution, History, LogEvent, Violation, list_evidence
from .injector import Injector
from .load import Load, make_chat
from .schedule import DAEMONS, ENGINES, SERVICES, ZONES, plan_calls, plan_faults

KEEP_ADDRESSES_S = 3
CALL_TIMEOUT_S = 45
RECOVERY_WAIT_S = 6
MAX_REPEATED_KEYS = 60
STOP_TIMEOUT_S = 100
RSS_INTERVAL_S = 2
LAG_INTERVAL_S = 0.1
MAX_RSS_MB = 256
BYTES_PER_MB = 1 << 20
MAX_SHOWN_VIOLATIONS = 12
MAX_SHOWN_EVENTS = 30
# Texts that a daemon logs only if the program has a fault.
FAULT_MARKERS = ('Traceback', 'AssertionError', 'never retrieved', 'Unhandled', 'never awaited')


def make_fleet() -> dict:
    """Return the example fleet with so few slots that bursts overload it."""
    fleet = load_fleet('vainags')
    fleet['keep_addresses'] = f'{KEEP_ADDRESSES_S}s'
    engine_service, booking_service = fleet['services']
    engine_service['max_waiting'] = 30
    for pool in engine_service['pools']:
        pool.update(slots=4, prefill_rate=20000, decode_rate=150)
    booking_service['pools'][0]['slots'] = 6
    booking_service['pools'][1]['slots'] = 6
    fleet['rollouts'][1] = {
        'name': 'ledger-new', 'service': 'ledger', 'pool': 'new', 'share': '50%',
    }  # fmt: skip
    return fleet


def render_fleet(variant: float) -> str:
    """Return a changed configuration as YAML.

    `variant` (0 to 1) sets the limit on waiting requests and the shares of the rollouts, which
    moves keys between the pools.
    """
    fleet = make_fleet()
    fleet['services'][0]['max_waiting'] = 20 + int(variant * 30)
    for rollout in fleet['rollouts']:
        rollout['share'] = f'{int(variant * 100)}%'
    return yaml.safe_dump({'fleet': fleet}, sort_keys=False)


def plan_upstreams() -> Iterator[UpstreamPlan]:
    """Yield the upstreams to start: engines and booking services."""
    for index, name in enumerate(ENGINES):
        options = ('--decode-rate', '200', '--prefill-rate', '20000', '--load-lag-s', '0.3')
        pool = 'old' if index < 2 else 'new'
        yield UpstreamPlan(name, 'scribe', pool, ZONES[index % len(ZONES)], 'engine', options)
    for index, name in enumerate(SERVICES):
        pool = ('old', 'new')[index]
        yield UpstreamPlan(name, 'ledger', pool, ZONES[index], 'service', ('--work-s', '0.05'))


@attrs.define
class Soak:
    """One soak run: the deployment, its fault injector, and peaks measured during the run."""

    seed: int
    duration_s: float
    deployment: Deployment
    injector: Injector
    max_rss_by_daemon_mb: collections.Counter = attrs.Factory(collections.Counter)
    versions: dict[int, str] = attrs.Factory(dict)
    max_lag_s: float = 0

    async def start(self) -> None:
        """Start all processes and propose the first configuration."""
        self.deployment.start_platform()
        for name in self.injector.plans:
            self.injector.start_upstream(name)
        for name in DAEMONS:
            self.deployment.start_daemon(DaemonPlan(name, name.rpartition('-')[0]))
            self.injector.record_daemon_start(name)
        await self.deployment.publish_vms()
        await self.deployment.propose_fleet()
        await self.deployment.wait_serving()

    async def run(self) -> Load:
        """Run calls and faults, then end all faults, repeat bookings and stop all daemons.

        Return the load with the records of all calls.
        """
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=100)
        timeout = httpx.Timeout(CALL_TIMEOUT_S, connect=2)
        client = httpx.AsyncClient(trust_env=False, timeout=timeout, limits=limits)
        known = self.injector.known_urls
        started_at = time.monotonic()
        async with client, anyio.create_task_group() as watchers:
            load = Load(client, {zone: AddressBook(client, known, zone) for zone in ZONES}, known)
            watchers.start_soon(self.injector.watch)
            watchers.start_soon(self._watch_memory)
            watchers.start_soon(self._watch_lag)
            async with anyio.create_task_group() as group:
                group.start_soon(load.run, plan_calls(self.seed, self.duration_s))
                group.start_soon(self.injector.run, plan_faults(self.seed, self.duration_s))
            print_line(f'calls and faults finished after {time.monotonic() - started_at:.0f} s')
            await self.injector.end_faults()
            await anyio.sleep(RECOVERY_WAIT_S)
            serving_names = self.injector.list_serving()
            await load.probe([self.deployment.daemons[name].url for name in serving_names])
            repeated_records = await load.repeat_bookings(MAX_REPEATED_KEYS)
            counts = collections.Counter(
                (record.outcome, record.reason) for record in repeated_records
            )
            print_line(f'outcomes of repeated keys after the faults: {dict(counts)}')
            await self._read_versions()
            print_line(f'stopping all daemons after {time.monotonic() - started_at:.0f} s')
            self.injector.is_ending = True
            await self.injector.stop_all(STOP_TIMEOUT_S)
            watchers.cancel_scope.cancel()
        return load

    def collect(self, load: Load) -> History:
        """Return the history of the run; the times of calls are converted to seconds since 1970."""
        offset = time.time() - time.monotonic()
        crashers = [
            call for call in plan_calls(self.seed, self.duration_s) if call.kind == 'crasher'
        ]
        digests = (make_digest(read_prompt(make_chat(call))) for call in crashers)
        events = sorted(self._read_events(), key=lambda event: event.at)
        return History(
            records=[
                attrs.evolve(record, started=record.started + offset, ended=record.ended + offset)
                for record in load.records
            ],
            executions=sorted(self._read_executions(), key=lambda execution: execution.at),
            events=events,
            leavings=self.injector.list_leavings(),
            proposals=self.injector.proposals,
            versions=self.versions,
            lifetimes=self.injector.lifetimes,
            ranks={tier['name']: tier['rank'] for tier in self.deployment.fleet['tiers']},
            keep_addresses_s=KEEP_ADDRESSES_S,
            crash_digests=frozenset(digests),
        )

    def check_processes(self) -> Iterator[Violation]:
        """Yield a violation for each process that ended, logged a fault or used too much memory."""
        for problem in self.injector.problems:
            yield Violation('process', problem)
        for name in DAEMONS:
            for line in (self.deployment.folder / f'{name}.log').read_text().splitlines():
                if any(word in line for word in FAULT_MARKERS) or '"exception"' in line:
                    yield Violation('log', f'{name}: {line[:500]}')
            if self.max_rss_by_daemon_mb[name] > MAX_RSS_MB:
                yield Violation(
                    'memory', f'{name} used {self.max_rss_by_daemon_mb[name]} MB of memory'
                )

    async def _read_versions(self) -> None:
        name = self.injector.list_serving()[0]
        listed = await call_daemon(
            self.deployment.daemons[name].peers_address,
            self.deployment.operator_token,
            lambda stub, metadata: stub.ListVersions(pb.ListVersionsRequest(), metadata=metadata),
        )
        self.versions = {entry.version: entry.reason for entry in listed.versions}

    async def _watch_memory(self) -> None:
        while True:
            for name, running in self.deployment.daemons.items():
                if running.process.poll() is None:
                    used_mb = read_rss_mb(running.process.pid)
                    self.max_rss_by_daemon_mb[name] = max(self.max_rss_by_daemon_mb[name], used_mb)
            await anyio.sleep(RSS_INTERVAL_S)

    async def _watch_lag(self) -> None:
        """Measure the delay of the callers' event loop, which the recorded times include."""
        while True:
            due = time.monotonic() + LAG_INTERVAL_S
            await anyio.sleep(LAG_INTERVAL_S)
            self.max_lag_s = max(self.max_lag_s, time.monotonic() - due)

    def _read_events(self) -> Iterator[LogEvent]:
        for name in DAEMONS:
            for line in self.deployment.read_log(name):
                if 'event' not in line:
                    continue
                yield LogEvent(
                    datetime.datetime.fromisoformat(line['time']).timestamp(),
                    line['incarnation'],
                    line['event'],
                    line['request_id'],
                    line['upstream'],
                    line,
                )

    def _read_executions(self) -> Iterator[Execution]:
        for name in self.injector.plans:
            path = pathlib.Path(self.injector.journal(name))
            for line in path.read_text().splitlines() if path.exists() else ():
                yield Execution(upstream=name, **json.loads(line))


def read_rss_mb(pid: int) -> int:
    """Return the resident memory of a process in MB."""
    pages = int(pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') // BYTES_PER_MB


def print_report(
    soak: Soak, history: History, checks: dict[str, int], violations: list[Violation]
) -> None:
    """Print outcomes, faults, measurements and violations, the latter with their log events."""
    kinds = collections.Counter(
        (record.kind, record.outcome, record.reason) for record in history.records
    )
    for (kind, outcome, reason), count in sorted(kinds.items()):
        print_line(f'{kind:12} {outcome:20} {reason:28} {count}')
    print_line(f'attempts {len(history.records)}, executions {len(history.executions)}')
    print_line(f'faults: {dict(sorted(soak.injector.injected_counts.items()))}')
    print_line(
        f'faults skipped for lack of a target: {dict(sorted(soak.injector.skipped_counts.items()))}'
    )
    numbers = collections.Counter(event.number for event in history.events)
    print_line(f'log events by number: {dict(sorted(numbers.items()))}')
    print_line(
        f'proposals: {[(item.base, item.version, item.problem) for item in history.proposals]}'
    )
    print_line(f'items checked by property: {checks}')
    print_line(f'peak resident memory in MB: {dict(sorted(soak.max_rss_by_daemon_mb.items()))}')
    print_line(f'longest event-loop delay of the callers in s: {soak.max_lag_s:.2f}')
    names = collections.Counter(violation.name for violation in violations)
    print_line(f'violations: {dict(names) or "none"}')
    for name in names:
        for violation in [item for item in violations if item.name == name][:MAX_SHOWN_VIOLATIONS]:
            print_line(f'VIOLATION {violation.name} {violation.request_id}: {violation.text}')
            for event in list_evidence(history, violation)[:MAX_SHOWN_EVENTS]:
                extra = {
                    name: text
                    for name, text in event.fields.items()
                    if name not in {'time', 'level', 'daemon', 'event', 'request_id', 'incarnation'}
                }
                place = f'{event.at:.3f} {event.incarnation} {event.number}'
                print_line(f'    {place} {event.request_id} {extra}')


def write_history(folder: pathlib.Path, history: History) -> None:
    """Write records, proposals, lifetimes and leaving periods as JSON lines beside the logs."""
    parts: dict[str, Iterable] = {
        'records': history.records,
        'proposals': history.proposals,
        'lifetimes': history.lifetimes,
        'leavings': history.leavings,
    }
    for name, rows in parts.items():
        lines = [json.dumps(attrs.asdict(row)) for row in rows]
        (folder / f'{name}.jsonl').write_text('\n'.join(lines))


async def run_soak(seed: int, duration_s: float) -> int:
    """Run one soak; return the exit code, 1 if a property was violated."""
    random.seed(seed)
    fleet = make_fleet()
    plans = {plan.name: plan for plan in plan_upstreams()}
    with Deployment(fleet, seed) as deployment:
        soak = Soak(seed, duration_s, deployment, Injector(deployment, plans, [], render_fleet))
        print_line(f'seed {seed}, {duration_s:g} s, logs in {deployment.folder}')
        await soak.start()
        load = await soak.run()
        history = soak.collect(load)
    all_violations = list(soak.check_processes())
    checks = {}
    for name, check in CHECKS:
        count, violations = check(history)
        checks[name] = count
        all_violations.extend(violations)
    print_report(soak, history, checks, all_violations)
    if all_violations:
        write_history(deployment.folder, history)
        print_line(f'failed; logs, records and executions remain in {deployment.folder}')
        return 1
    shutil.rmtree(deployment.folder)
    print_line('no violations')
    return 0


def print_line(line: str) -> None:
    """Print a line and flush the output."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def main() -> int:
    """Run a soak from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--duration-s', type=float, default=60)
    options = parser.parse_args()
    return anyio.run(run_soak, options.seed, options.duration_s)


if __name__ == '__main__':
    sys.exit(main())
