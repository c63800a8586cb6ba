"""The overhead of the scheduler: added first-token time, processor time, control traffic."""

import time

import anyio
import attrs
import httpx

from .callers import CallRecord, call_model, make_client
from .demo import load_fleet
from .deployment import Deployment
from .measurement_run import REGISTRATION_WAIT_S, make_headers, start_deployment
from .procfs import TrafficMeter, read_cpu_s, read_memory_bytes
from .summary import make_percentiles
from .workload import ScaledDeployment, find_capacity, scale_fleet

PROBE_COUNT = 300
WARM_UP_COUNT = 20
STREAM_COUNT = 24
TOKENS_PER_STREAM = 400
MS_PER_S = 1000
US_PER_S = 1_000_000


async def measure_idle(plan: ScaledDeployment, seconds: float) -> dict:
    """Return the overhead in an idle deployment; control traffic is measured for `seconds`."""
    plan = _equalise_speeds(plan)
    _, share = find_capacity(plan, 0)
    fleet = scale_fleet(load_fleet(plan.name), plan, share, {})
    with Deployment(fleet) as deployment:
        await start_deployment(deployment, plan, 0)
        await anyio.sleep(REGISTRATION_WAIT_S)
        overhead = {
            'control': await _measure_control(deployment, plan, seconds),
            'first_token': await _measure_first_token(deployment, plan),
            'streaming': await _measure_streaming(deployment, plan),
        }
        overhead['memory_after_mib'] = {
            name: _read_memory_mib(running.process.pid)
            for name, running in deployment.daemons.items()
        }
    return overhead


def _equalise_speeds(plan: ScaledDeployment) -> ScaledDeployment:
    """Return the deployment with all engines at speed 1.

    Otherwise the time added by a daemon would include differences between the engines.
    """
    return attrs.evolve(plan, engines=[attrs.evolve(engine, speed=1) for engine in plan.engines])


async def _measure_control(deployment: Deployment, plan: ScaledDeployment, seconds: float) -> dict:
    """Return bytes of TCP payload, processor share and memory of each idle daemon.

    `bytes_per_s` covers both directions by group of the remote address; `sent_bytes_per_s` is the
    total that a daemon sends.
    """
    groups = {deployment.platform.url.removeprefix('http://'): 'platform'}
    groups.update((running.peers_address, 'peers') for running in deployment.daemons.values())
    groups.update(
        (running.url.removeprefix('http://'), 'upstreams')
        for running in deployment.upstreams.values()
    )
    meters = {
        name: TrafficMeter(running.process.pid) for name, running in deployment.daemons.items()
    }
    usage = {name: read_cpu_s(meter.pid) for name, meter in meters.items()}
    started_at = time.monotonic()
    async with anyio.create_task_group() as group:
        for meter in meters.values():
            group.start_soon(meter.watch, seconds)
    elapsed = time.monotonic() - started_at
    return {
        name: {
            'bytes_per_s': {
                group: round(count / elapsed) for group, count in meter.sum_by(groups).items()
            },
            'sent_bytes_per_s': round(sum(meter.sent.values()) / elapsed),
            'cpu_share': round((read_cpu_s(meter.pid) - usage[name]) / elapsed, 4),
            'memory_mib': _read_memory_mib(meter.pid),
        }
        for name, meter in meters.items()
    }


async def _measure_first_token(deployment: Deployment, plan: ScaledDeployment) -> dict:
    """Return first-token times of calls made directly and through each daemon in turn."""
    engine = deployment.upstreams[f'{plan.service}-0'].url
    daemons = {name: running.url for name, running in deployment.daemons.items()}
    delays_by_target: dict[str, list[float]] = {'direct': [], **{name: [] for name in daemons}}
    async with make_client() as client:
        for probe in range(PROBE_COUNT + WARM_UP_COUNT):
            for name, url in (('direct', engine), *daemons.items()):
                seconds = await _call(client, url, plan, f'probe {probe}', tokens=1)
                if probe >= WARM_UP_COUNT:
                    delays_by_target[name].append(seconds)
    percentiles = {name: make_percentiles(delays) for name, delays in delays_by_target.items()}
    return {
        'ms': percentiles,
        'added_p95_ms': {
            name: round(percentiles[name]['p95'] - percentiles['direct']['p95'], 2)
            for name in daemons
        },
        'added_p50_ms': {
            name: round(percentiles[name]['p50'] - percentiles['direct']['p50'], 2)
            for name in daemons
        },
    }


async def _measure_streaming(deployment: Deployment, plan: ScaledDeployment) -> dict:
    """Return processor microseconds per streamed token, by the home daemon of all calls."""
    costs_by_home = {}
    async with make_client() as client:
        for name, running in deployment.daemons.items():
            before = {
                key: read_cpu_s(daemon.process.pid) for key, daemon in deployment.daemons.items()
            }
            async with anyio.create_task_group() as group:
                for number in range(STREAM_COUNT):
                    text = f'{name} stream {number}'
                    group.start_soon(_call, client, running.url, plan, text, TOKENS_PER_STREAM)
            used = {
                key: read_cpu_s(daemon.process.pid) - before[key]
                for key, daemon in deployment.daemons.items()
            }
            per_token = US_PER_S / (STREAM_COUNT * TOKENS_PER_STREAM)
            costs_by_home[name] = {
                'home_us_per_token': round(used[name] * per_token, 1),
                'all_daemons_us_per_token': round(sum(used.values()) * per_token, 1),
            }
    return costs_by_home


async def _call(
    client: httpx.AsyncClient, url: str, plan: ScaledDeployment, text: str, tokens: int
) -> float:
    record = CallRecord(kind='probe', customer=plan.customers[0].name)
    document = {
        'model': plan.model,
        'stream': True,
        'max_tokens': tokens,
        'messages': [{'role': 'user', 'content': text}],
    }
    await call_model(client, url, document, record, make_headers(record.customer))
    if record.outcome != 'complete':
        raise RuntimeError(f'call on an idle deployment was not served: {record}')
    return record.first - record.started


def _read_memory_mib(pid: int) -> float:
    return round(read_memory_bytes(pid) / (1 << 20), 1)
