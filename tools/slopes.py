"""Measures how costs in one process grow with the size of a fleet, for the capacity page."""

import gc
import pathlib
import statistics
import tempfile
import time
import tracemalloc

import yaml
from loguru import logger

from camphorpath.events import EventLog
from camphorpath.members import Membership
from camphorpath.schema import camphorpath_pb2 as pb
from camphorpath.settings import parse_fleet
from tests.admission.fakes import Bench

from .demo import load_fleet

UPSTREAM_COUNTS = (10, 100, 1000)
MEMBER_COUNTS = (10, 50, 200)
CUSTOMER_COUNTS = (5, 50, 520)
DECISION_COUNT = 400
HEARTBEAT_ROUNDS = 5
US_PER_S = 1_000_000


def measure_slopes() -> dict:
    """Return all costs by size; logging is off, as its cost depends on where the log is written."""
    logger.remove()
    return {
        'decision': {count: _measure_decisions(count) for count in UPSTREAM_COUNTS},
        'membership': {count: _measure_members(count) for count in MEMBER_COUNTS},
        'settings': {count: _measure_settings(count) for count in CUSTOMER_COUNTS},
    }


def _measure_decisions(count: int) -> dict:
    """Return microseconds for a request (enqueue including the grant, and release) and a report.

    Half of the slots are held by other requests; load reports come from the owner itself.
    """
    bench = Bench(vms=[f'u{index}' for index in range(count)], pool={'slots': 8})
    for index in range(count * 4):
        bench.enqueue(prefix_blocks=range(index % 50, index % 50 + 8))
    enqueue_times_s, release_times_s = [], []
    for index in range(DECISION_COUNT):
        started_at = time.perf_counter()
        request_id = bench.enqueue(prefix_blocks=range(index % 50, index % 50 + 8))
        granted_at = time.perf_counter()
        bench.release(request_id, first_byte=0.1, duration=1, output_tokens=40)
        enqueue_times_s.append(granted_at - started_at)
        release_times_s.append(time.perf_counter() - granted_at)
    started_at = time.perf_counter()
    bench.report_all()
    reports_s = time.perf_counter() - started_at
    return {
        'enqueue_and_grant_us': round(statistics.median(enqueue_times_s) * US_PER_S, 1),
        'release_us': round(statistics.median(release_times_s) * US_PER_S, 1),
        'report_us': round(reports_s / count * US_PER_S, 1),
    }


def _measure_members(count: int) -> dict:
    """Return memory by member and processor time per second for heartbeats in one daemon.

    This covers recording received heartbeats and building the answers, without gRPC.
    """
    with tempfile.TemporaryDirectory() as folder:
        token = pathlib.Path(folder) / 'token'
        token.write_text('0' * 32)
        settings = pb.Daemon(
            name='a-1', zone='a', peers_address='127.0.0.1:1', peer_token_file=str(token)
        )
        gc.collect()
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        membership = Membership(settings, EventLog(capacity=1))
        infos = [
            pb.MemberInfo(
                incarnation=f'm-{index}-00000000',
                name=f'm-{index}',
                zone='a',
                peers_address=f'127.0.0.1:{index + 2}',
                callers_address=f'127.0.0.1:{index + 2}',
            )
            for index in range(count)
        ]
        for info in infos:
            membership.observe(info)
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        started_at = time.perf_counter()
        for _ in range(HEARTBEAT_ROUNDS):
            for info in infos:
                membership.observe(info)
                membership.own_info().SerializeToString()
        heartbeats_s = (time.perf_counter() - started_at) / HEARTBEAT_ROUNDS
        started_at = time.perf_counter()
        membership.choose_owner('scribe')
        owner_s = time.perf_counter() - started_at
    heartbeat_bytes = infos[-1].ByteSize()
    return {
        'memory_bytes_per_member': round((after - before) / count),
        'beats_ms_per_s': round(heartbeats_s * 1000, 3),
        'choose_owner_us': round(owner_s * US_PER_S, 1),
        'beat_message_bytes': heartbeat_bytes,
    }


def _measure_settings(count: int) -> dict:
    """Return the size of a configuration with `count` customers and the time to parse it."""
    fleet = load_fleet('vainags')
    example_customers = fleet['customers']
    fleet['customers'] = [
        {
            **example_customers[index % len(example_customers)],
            'name': f'customer-{index}',
            'token_sha256': f'{index:064x}',
        }
        if index >= len(example_customers)
        else example_customers[index]
        for index in range(count)
    ]
    text = yaml.safe_dump({'fleet': fleet}, sort_keys=False)
    started_at = time.perf_counter()
    parsed = parse_fleet(text, 'sizes')
    return {
        'yaml_bytes': len(text),
        'message_bytes': parsed.ByteSize(),
        'parse_ms': round((time.perf_counter() - started_at) * 1000, 1),
    }
