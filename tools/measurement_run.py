"""One run of a measurement: a deployment, an open-loop load, a fault, and the final counters."""

import collections
import itertools
import json
import time
from collections.abc import Iterable, Mapping

import anyio
import attrs
import httpx

from .callers import AddressBook, CallRecord, call_model, call_service, make_client
from .demo import load_fleet
from .deployment import Deployment, RunningProcess
from .procfs import read_cpu_s, read_own_cpu_s
from .summary import EngineCounts, RunResult
from .workload import (
    DEPLOYMENTS,
    PlannedCall,
    ScaledDeployment,
    find_capacity,
    plan_calls,
    scale_fleet,
)

# The owner grants no slots before the home daemons have registered and load reports are due.
REGISTRATION_WAIT_S = 4
DRAIN_MARGIN_S = 5
PLAIN_CALL_INTERVAL_S = 0.5
LAG_SAMPLE_INTERVAL_S = 0.01
MAX_CONNECT_TRIES = 6
STRAGGLER_SLOWDOWN = 10.0


@attrs.frozen(kw_only=True)
class RunOptions:
    """The parameters of one run; `policy` may set timeouts of tiers, as in `least_load+notes=8`.

    `cached_share` is the share of prompt tokens assumed to be cached in the calculation of load 1.
    """

    deployment: str = 'vainags'
    seed: int = 1
    load: float = 1
    policy: str = 'camphorpath'
    duration_s: float = 30
    fault: str = ''
    fault_at_s: float = 10
    fault_s: float = 10
    load_lag_s: float = 0.3
    cached_share: float = 0.3
    log_level: str = 'INFO'


def split_policy(policy: str) -> tuple[str, dict[str, float]]:
    """Return the name of a policy and the timeouts in seconds that it sets, by tier."""
    name, *timeouts = policy.split('+')
    pairs = (pair.split('=') for pair in timeouts)
    return name, {tier: float(seconds) for tier, seconds in pairs}


async def run_once(options: RunOptions) -> RunResult:
    """Run one load against a new deployment and return the result."""
    plan = DEPLOYMENTS[options.deployment]
    rate, share = find_capacity(plan, options.cached_share)
    policy, timeouts = split_policy(options.policy)
    fleet = scale_fleet(load_fleet(plan.name), plan, share, timeouts)
    for service in fleet['services']:
        if service['name'] == plan.service:
            service['policy'] = policy
    with Deployment(fleet, options.seed, options.log_level) as deployment:
        await start_deployment(deployment, plan, options.load_lag_s)
        await anyio.sleep(REGISTRATION_WAIT_S)
        load = Load(deployment, plan, options)
        cpu_s_before = {
            name: read_cpu_s(running.process.pid) for name, running in iterate_running(deployment)
        }
        own_cpu_s_before = read_own_cpu_s()
        load.started_at = time.monotonic()
        await load.run(plan_calls(plan, rate * options.load, options.duration_s, options.seed))
        seconds = time.monotonic() - load.started_at
        shares = {
            name: round((read_cpu_s(running.process.pid) - cpu_s_before[name]) / seconds, 3)
            for name, running in iterate_running(deployment)
            if running.process.poll() is None
        }
        shares['callers'] = round((read_own_cpu_s() - own_cpu_s_before) / seconds, 3)
        load.engines.update(await read_engines(deployment, plan))
        return RunResult(
            deployment=plan,
            records=load.records,
            plain_records=load.plain_records,
            engines=list(load.engines.values()),
            zones_by_daemon={running.url: running.zone for running in deployment.daemons.values()},
            regions={
                zone: region['name'] for region in fleet['regions'] for zone in region['zones']
            },
            settings={
                **attrs.asdict(options),
                'rate_at_load_1': round(rate, 3),
                'rollout_share': round(share, 3),
            },
            started_at=load.started_at,
            fault_at=options.fault_at_s,
            caller_lag_s=load.find_lag(),
            events=count_events(deployment),
            cpu_shares=shares,
        )


async def start_deployment(
    deployment: Deployment, plan: ScaledDeployment, load_lag_s: float
) -> None:
    """Start all processes of a scaled deployment and wait until the daemons serve."""
    deployment.start_platform()
    for upstream in plan.upstreams(load_lag_s):
        deployment.start_upstream(upstream)
    for daemon in plan.daemons():
        deployment.start_daemon(daemon)
    await deployment.publish_vms()
    await deployment.propose_fleet()
    await deployment.wait_serving()


def iterate_running(deployment: Deployment) -> Iterable[tuple[str, RunningProcess]]:
    """Yield the daemons and upstreams that run."""
    for name, running in itertools.chain(deployment.daemons.items(), deployment.upstreams.items()):
        if running.process.poll() is None:
            yield name, running


async def read_engines(
    deployment: Deployment, plan: ScaledDeployment, zone: str = ''
) -> dict[str, EngineCounts]:
    """Return the counters of the running engines in `zone`, or in all zones by default."""
    counts_by_engine = {}
    async with make_client() as client:
        for index, engine in enumerate(plan.engines):
            name = f'{plan.service}-{index}'
            running = deployment.upstreams[name]
            if running.process.poll() is not None or (zone and engine.zone != zone):
                continue
            stats = (await client.get(f'{running.url}/stats')).json()
            counts_by_engine[name] = EngineCounts(
                name=name,
                zone=engine.zone,
                speed=engine.speed * plan.pools[engine.pool].decode_rate,
                counts={key: count for key, count in stats.items() if isinstance(count, int)},
                prefills=stats['prefills'],
                executions=stats['executions'],
            )
    return counts_by_engine


def count_events(deployment: Deployment) -> dict[str, int]:
    """Return how often each event occurs in the logs of the daemons."""
    counts: collections.Counter = collections.Counter()
    for name in deployment.daemons:
        counts.update(str(line.get('message', '')) for line in deployment.read_log(name))
    return dict(sorted(counts.items()))


class Load:
    """The open-loop load of one run and its records."""

    def __init__(self, deployment: Deployment, plan: ScaledDeployment, options: RunOptions) -> None:
        """Prepare the load of a running deployment."""
        self.deployment = deployment
        self.plan = plan
        self.options = options
        self.records: list[CallRecord] = []
        self.plain_records: list[CallRecord] = []
        self.engines: dict[str, EngineCounts] = {}
        self.started_at: float = 0
        self._lags: list[float] = []
        self._books: Mapping[str, AddressBook] = {}

    async def run(self, calls: list[PlannedCall]) -> None:
        """Make the calls at their times, then wait for answers up to the longest timeout."""
        known = [running.url for running in self.deployment.daemons.values()]
        longest_s = max(limits.answer_timeout for limits in self.plan.tiers.values())
        with anyio.move_on_after(self.options.duration_s + longest_s + DRAIN_MARGIN_S):
            async with make_client() as client, anyio.create_task_group() as side:
                self._books = {zone: AddressBook(client, known, zone) for zone in self.plan.zones}
                side.start_soon(self._sample_lag)
                side.start_soon(self._inject_fault)
                async with anyio.create_task_group() as group:
                    group.start_soon(self._call_plain, client)
                    for call in calls:
                        await anyio.sleep_until(self.started_at + call.due)
                        group.start_soon(self._call, client, call)
                side.cancel_scope.cancel()

    def find_lag(self) -> float:
        """Return the 99th percentile of the delay of the callers' event loop in seconds."""
        return sorted(self._lags)[len(self._lags) * 99 // 100] if self._lags else 0

    async def _call(self, client: httpx.AsyncClient, call: PlannedCall) -> None:
        record = CallRecord(
            kind='model',
            customer=call.customer,
            tier=call.tier,
            zone=call.zone,
            due=self.started_at + call.due,
            prompt_tokens=call.prompt_tokens,
            output_tokens=call.output_tokens,
        )
        self.records.append(record)
        document = call.make_document(self.plan.model)
        record.body_bytes = len(json.dumps(document))
        book = self._books[call.zone]
        for attempt in range(MAX_CONNECT_TRIES):
            url = await book.choose()
            record.tries = attempt + 1
            record.reason = ''
            headers = make_headers(call.customer, call.tier)
            await call_model(client, url, document, record, headers)
            if record.reason not in {'ConnectError', 'ConnectTimeout'}:
                return
            book.remove(url)

    async def _call_plain(self, client: httpx.AsyncClient) -> None:
        zones = itertools.cycle(self.plan.zones)
        writer, reader = self.plan.customers[0].name, self.plan.customers[3].name
        end_at = self.started_at + self.options.duration_s
        number = 0
        due = self.started_at
        async with anyio.create_task_group() as group:
            while due < end_at:
                await anyio.sleep_until(due)
                zone = next(zones)
                group.start_soon(self._call_service, client, zone, reader, 'GET', number)
                group.start_soon(self._call_service, client, zone, writer, 'POST', number)
                number += 1
                due += PLAIN_CALL_INTERVAL_S

    async def _call_service(
        self, client: httpx.AsyncClient, zone: str, customer: str, method: str, number: int
    ) -> None:
        record = CallRecord(kind=method, customer=customer, zone=zone)
        self.plain_records.append(record)
        headers = make_headers(customer)
        path, document = f'{self.plan.plain_read}{number}', None
        if method == 'POST':
            path, document = self.plan.plain_write, {'cloth': number}
            headers['Idempotency-Key'] = f'{self.plan.name}-{number}'
        url = await self._books[zone].choose()
        await call_service(client, url, method, path, document, record, headers)

    async def _sample_lag(self) -> None:
        while True:
            before = time.monotonic()
            await anyio.sleep(LAG_SAMPLE_INTERVAL_S)
            self._lags.append(time.monotonic() - before - LAG_SAMPLE_INTERVAL_S)

    async def _inject_fault(self) -> None:
        options = self.options
        if not options.fault:
            return
        await anyio.sleep_until(self.started_at + options.fault_at_s)
        match options.fault:
            case 'straggler':
                engine = f'{self.plan.service}-0'
                await self.deployment.set_upstream_faults(engine, slow=STRAGGLER_SLOWDOWN)
            case 'zone':
                await self._kill_zone(next(iter(self.plan.zones)))
            case 'daemon':
                self.deployment.kill(next(iter(self.deployment.daemons)))
            case 'platform':
                await self.deployment.set_platform_faults(down=True)
                await anyio.sleep(options.fault_s)
                await self.deployment.set_platform_faults(down=False)

    async def _kill_zone(self, zone: str) -> None:
        self.engines.update(await read_engines(self.deployment, self.plan, zone))
        for name, running in iterate_running(self.deployment):
            if running.zone == zone:
                self.deployment.kill(name)


def make_headers(customer: str, tier: str = '') -> dict[str, str]:
    """Return the headers of a customer of the examples.

    Without a tier header, a call runs in the default tier of the service if that is lower than the
    customer's. Calls that are judged by the limits of the customer's tier must therefore name it.
    """
    headers = {'Authorization': f'Bearer demo-{customer}'}
    if tier:
        headers['Camphorpath-Tier'] = tier
    return headers
