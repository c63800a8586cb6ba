"""Demo: a small Vainags deployment in which a daemon is killed and one is stopped under load."""

import argparse
import collections
import pathlib
import random
import shutil
import sys
import time
from collections.abc import Iterable

import anyio
import httpx
import yaml

from .callers import AddressBook, CallRecord, book, call_model, call_service, make_client
from .deployment import DaemonPlan, Deployment, UpstreamPlan

ROOT = pathlib.Path(__file__).parents[1]
ZONES = ('riga-a', 'liepaja-a', 'daugavpils-a')
LOAD_DURATION_S = 14
KILL_AT_S = 3
STOP_AT_S = 6
KEEP_ADDRESSES_S = 3
# Interval between calls of each kind from each zone.
CALL_INTERVAL_S = 0.25
DAEMONS_PER_ZONE = 2
MODEL = 'scribe-agreements'


def load_fleet(deployment: str) -> dict:
    """Return the `fleet:` part of an example deployment."""
    path = ROOT / 'examples' / deployment / 'fleet.yaml'
    return yaml.safe_load(path.read_text(encoding='utf-8'))['fleet']


def plan_upstreams() -> Iterable[UpstreamPlan]:
    """Yield three engines and two booking services."""
    for index, zone in enumerate(ZONES):
        pool = 'new' if index == 2 else 'old'
        yield UpstreamPlan(
            f'scribe-{index}', 'scribe', pool, zone, 'engine',
            ('--decode-rate', '200', '--prefill-rate', '20000', '--load-lag-s', '0.3'),
        )  # fmt: skip
    for index, pool in enumerate(('old', 'new')):
        yield UpstreamPlan(f'ledger-{index}', 'ledger', pool, ZONES[index], 'service')


class Demo:
    """The load of the demo and the records of its calls."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        """Prepare the load for a running deployment."""
        self.deployment = deployment
        self.records: list[CallRecord] = []
        self.random = random.Random(seed)
        self.numbers = iter(range(1, sys.maxsize))

    async def run(self) -> None:
        """Make calls from all zones while one daemon is killed and one stopped gracefully."""
        known_urls = [running.url for running in self.deployment.daemons.values()]
        async with make_client() as client, anyio.create_task_group() as group:
            for zone in ZONES:
                addresses = AddressBook(client, known_urls, zone)
                group.start_soon(self._load_zone, group, client, addresses)
            group.start_soon(self._inject_faults)

    async def _inject_faults(self) -> None:
        await anyio.sleep(KILL_AT_S)
        self.deployment.kill('riga-a-1')
        await anyio.sleep(STOP_AT_S - KILL_AT_S)
        self.deployment.stop('liepaja-a-1')

    async def _load_zone(
        self, group: anyio.abc.TaskGroup, client: httpx.AsyncClient, addresses: AddressBook
    ) -> None:
        end_at = time.monotonic() + LOAD_DURATION_S
        while time.monotonic() < end_at:
            group.start_soon(self._draft, client, addresses)
            group.start_soon(self._reserve, client, addresses)
            group.start_soon(self._look_up, client, addresses)
            await anyio.sleep(CALL_INTERVAL_S)

    async def _draft(self, client: httpx.AsyncClient, addresses: AddressBook) -> None:
        number = next(self.numbers)
        record = CallRecord(kind='draft', customer='riga-undertakers', zone=addresses.zone)
        document = {
            'model': MODEL,
            'stream': True,
            'max_tokens': self.random.choice((20, 60, 400)),
            'messages': [{'role': 'user', 'content': f'loan agreement {number} ' * 20}],
        }
        self.records.append(record)
        headers = _make_headers(record.customer)
        while not record.status:
            url = await addresses.choose()
            record.reason = ''
            await call_model(client, url, document, record, headers)
            if record.reason != 'ConnectError':
                return
            addresses.remove(url)

    async def _reserve(self, client: httpx.AsyncClient, addresses: AddressBook) -> None:
        number = next(self.numbers)
        record = CallRecord(
            kind='reservation',
            customer='kurzeme-undertakers',
            key=f'cloth-{number}',
            zone=addresses.zone,
        )
        self.records.append(record)
        headers = _make_headers(record.customer)
        path = '/services/ledger/reservations'
        await book(client, addresses, path, {'cloth': number}, record, headers)

    async def _look_up(self, client: httpx.AsyncClient, addresses: AddressBook) -> None:
        record = CallRecord(kind='lookup', customer='parishes', zone=addresses.zone)
        self.records.append(record)
        path = f'/services/ledger/lookup/{next(self.numbers)}'
        headers = _make_headers('parishes')
        while not record.status:
            url = await addresses.choose()
            record.reason = ''
            await call_service(client, url, 'GET', path, None, record, headers)
            if record.reason != 'ConnectError':
                return
            addresses.remove(url)


def _make_headers(customer: str) -> dict[str, str]:
    return {'Authorization': f'Bearer demo-{customer}'}


async def count_executions(deployment: Deployment) -> collections.Counter:
    """Return how often the booking services executed each key."""
    counts: collections.Counter = collections.Counter()
    async with make_client() as client:
        for name, running in deployment.upstreams.items():
            if not name.startswith('ledger'):
                continue
            executions = (await client.get(f'{running.url}/history')).json()
            counts.update(entry['key'] for entry in executions)
    return counts


def find_violations(
    records: list[CallRecord], executions: collections.Counter, stopped_url: str
) -> list[str]:
    """Return descriptions of the guarantees to callers that were violated."""
    violations = [
        f'{key} was executed {count} times' for key, count in executions.items() if count > 1
    ]
    violations.extend(
        f'{record.kind} {record.request_id}: cut off by the graceful stop'
        for record in records
        if record.outcome == 'broken' and record.daemon == stopped_url
    )
    for record in records:
        if record.outcome == 'wrong':
            violations.append(f'{record.kind} {record.request_id}: incomplete or wrong answer')
        if record.kind != 'reservation':
            continue
        if record.outcome == 'complete' and not executions[record.key]:
            violations.append(f'{record.key}: answered but never executed')
        if record.outcome == 'not_run' and record.tries == 1 and executions[record.key]:
            violations.append(f'{record.key}: answered "not run" but executed')
    if not any(record.outcome == 'complete' for record in records):
        violations.append('no call was served')
    return violations


async def run_demo(seed: int) -> int:
    """Run the demo; return the exit code."""
    fleet = load_fleet('vainags')
    fleet['keep_addresses'] = f'{KEEP_ADDRESSES_S}s'
    started_at = time.monotonic()
    with Deployment(fleet, seed) as deployment:
        deployment.start_platform()
        for plan in plan_upstreams():
            deployment.start_upstream(plan)
        for zone in ZONES:
            for index in range(DAEMONS_PER_ZONE):
                deployment.start_daemon(DaemonPlan(f'{zone}-{index}', zone))
        await deployment.publish_vms()
        await deployment.propose_fleet()
        await deployment.wait_serving()
        _print_line(
            f'{len(deployment.daemons)} daemons serving after {time.monotonic() - started_at:.1f} s'
        )
        demo = Demo(deployment, seed)
        await demo.run()
        exit_code = await deployment.wait_stopped('liepaja-a-1')
        executions = await count_executions(deployment)
    violations = find_violations(demo.records, executions, deployment.daemons['liepaja-a-1'].url)
    if exit_code:
        violations.append(f'the graceful stop ended with exit code {exit_code}')
    _print_summary(demo.records, executions)
    for violation in violations:
        _print_line(f'VIOLATION: {violation}')
    if violations:
        _print_line(f'logs and settings remain in {deployment.folder}')
    else:
        shutil.rmtree(deployment.folder)
    _print_line(
        f'{"failed" if violations else "no violations"} after {time.monotonic() - started_at:.1f} s'
    )
    return int(bool(violations))


def _print_summary(records: list[CallRecord], executions: collections.Counter) -> None:
    counts = collections.Counter((record.kind, record.outcome, record.reason) for record in records)
    for (kind, outcome, reason), count in sorted(counts.items()):
        _print_line(f'{kind:12} {outcome:20} {reason:24} {count}')
    _print_line(f'{"reservation":12} {"executions":20} {"":24} {sum(executions.values())}')


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def main() -> int:
    """Run the demo from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    return anyio.run(run_demo, parser.parse_args().seed)


if __name__ == '__main__':
    sys.exit(main())
