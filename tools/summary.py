"""The summary of a run: goodput, delays, wasted work and bytes, from calls and engine counters."""

import collections
import statistics
from collections.abc import Iterable, Mapping, Sequence

import attrs
from hdrh.histogram import HdrHistogram

from .callers import CallRecord
from .workload import ScaledDeployment

MAX_DELAY_US = 600_000_000
US_PER_S = 1_000_000
PERCENTILES = (50, 95, 99)


@attrs.define(kw_only=True)
class EngineCounts:
    """The counters of one engine; `prefills` (tokens) and `executions` are by request id."""

    name: str
    zone: str
    speed: float
    counts: dict[str, int]
    prefills: dict[str, int]
    executions: dict[str, int]


@attrs.define(kw_only=True)
class RunResult:
    """The records and counters of one run; `started_at` and the times of calls are monotonic.

    `fault_at` is in seconds from `started_at`.
    """

    deployment: ScaledDeployment
    records: list[CallRecord]
    plain_records: list[CallRecord]
    engines: list[EngineCounts]
    zones_by_daemon: Mapping[str, str]
    regions: Mapping[str, str]
    settings: dict
    started_at: float
    fault_at: float = 0
    caller_lag_s: float = 0
    events: dict[str, int] = attrs.Factory(dict)
    cpu_shares: dict[str, float] = attrs.Factory(dict)


def summarise(result: RunResult) -> dict:
    """Return the summary of a run as a JSON document."""
    return {
        'settings': result.settings,
        'tiers': {
            tier: _summarise_tier(
                result, [record for record in result.records if record.tier == tier], tier
            )
            for tier in result.deployment.tiers
        },
        'total_offered': len(result.records),
        'total_goodput': sum(is_useful(result.deployment, record) for record in result.records),
        **_summarise_waste(result),
        'bytes_between_regions': _count_region_bytes(result),
        'balance': _summarise_balance(result.engines),
        'plain': _count_outcomes(result.plain_records),
        'caller_lag_p99_ms': round(result.caller_lag_s * 1000, 1),
        'events': result.events,
        'cpu_shares': result.cpu_shares,
    }


def is_useful(deployment: ScaledDeployment, record: CallRecord) -> bool:
    """Return whether an answer is complete and within the tier's limits, measured from arrival."""
    limits = deployment.tiers[record.tier]
    return (
        record.outcome == 'complete'
        and record.first - record.due <= limits.first_token
        and record.ended - record.due <= limits.answer_timeout
    )


def make_percentiles(seconds: Iterable[float]) -> dict[str, float]:
    """Return the count and the percentiles, in milliseconds, of delays in seconds."""
    histogram = HdrHistogram(1, MAX_DELAY_US, 3)
    for delay_s in seconds:
        histogram.record_value(max(1, round(delay_s * US_PER_S)))
    percentiles_ms = {
        f'p{rank}': histogram.get_value_at_percentile(rank) / 1000 for rank in PERCENTILES
    }
    return {'count': histogram.get_total_count(), **percentiles_ms}


def summarise_windows(result: RunResult, tier: str, width_s: float) -> list[dict]:
    """Return goodput and first-token times of a tier by windows of arrival time.

    Windows are `width_s` long and start relative to the fault.
    """
    windows = collections.defaultdict(list)
    for record in result.records:
        if record.tier == tier:
            windows[int((record.due - result.started_at - result.fault_at) // width_s)].append(
                record
            )
    return [
        {
            'from_s': index * width_s,
            'offered': len(records),
            'goodput': sum(is_useful(result.deployment, record) for record in records),
            'first_token_ms': make_percentiles(
                record.first - record.due for record in records if record.outcome == 'complete'
            ),
        }
        for index, records in sorted(windows.items())
    ]


def _summarise_tier(result: RunResult, records: Sequence[CallRecord], tier: str) -> dict:
    complete = [record for record in records if record.outcome == 'complete']
    useful = [record for record in complete if is_useful(result.deployment, record)]
    return {
        'offered': len(records),
        'goodput': len(useful),
        'late': len(complete) - len(useful),
        'outcomes': _count_outcomes(records),
        'first_token_ms': make_percentiles(record.first - record.due for record in complete),
        'token_gap_ms': make_percentiles(gap for record in complete for gap in record.gaps),
        'output_tokens': sum(record.output_tokens for record in useful),
    }


def _count_outcomes(records: Iterable[CallRecord]) -> dict[str, int]:
    counts = collections.Counter(
        f'{record.outcome}:{record.reason}' if record.reason else record.outcome
        for record in records
    )
    return dict(sorted(counts.items()))


def _summarise_waste(result: RunResult) -> dict:
    prefills: collections.Counter = collections.Counter()
    for engine in result.engines:
        prefills.update(engine.prefills)
    by_cause: collections.Counter = collections.Counter()
    records_by_id = {record.request_id: record for record in result.records}
    for request_id, tokens in prefills.items():
        record = records_by_id.get(request_id)
        if record is None:
            by_cause['unknown_request'] += tokens
        elif not is_useful(result.deployment, record):
            cause = 'late' if record.outcome == 'complete' else record.reason
            by_cause[cause or record.outcome] += tokens
    prefilled = sum(engine.counts['tokens_prefilled'] for engine in result.engines)
    cached = sum(engine.counts['tokens_cached'] for engine in result.engines)
    cancelled = sum(engine.counts['tokens_prefilled_cancelled'] for engine in result.engines)
    return {
        'prefilled_tokens': prefilled,
        'decoded_tokens': sum(engine.counts['tokens_decoded'] for engine in result.engines),
        'wasted_prefill_tokens': sum(by_cause.values()),
        'wasted_prefill_by_cause': dict(by_cause),
        'cancelled_prefill_tokens': cancelled,
        'cached_share': round(cached / max(cached + prefilled, 1), 4),
    }


def _count_region_bytes(result: RunResult) -> dict[str, int]:
    zones = {
        request_id: engine.zone for engine in result.engines for request_id in engine.executions
    }
    between = 0
    total = 0
    for record in result.records:
        upstream_zone = zones.get(record.request_id)
        if upstream_zone is None:
            continue
        size = record.body_bytes + record.answer_bytes
        total += size
        home_zone = result.zones_by_daemon[record.daemon]
        if result.regions[home_zone] != result.regions[upstream_zone]:
            between += size
    return {'between': between, 'total': total}


def _summarise_balance(engines: Sequence[EngineCounts]) -> dict:
    work = [engine.counts['tokens_decoded'] / engine.speed for engine in engines]
    mean = statistics.fmean(work)
    return {
        'calls': {engine.name: sum(engine.executions.values()) for engine in engines},
        'decoded': {engine.name: engine.counts['tokens_decoded'] for engine in engines},
        'prefilled': {engine.name: engine.counts['tokens_prefilled'] for engine in engines},
        'max_over_mean_decoded_per_speed': round(max(work) / mean, 3) if mean else 0,
    }
