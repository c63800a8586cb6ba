"""Measures a small deployment on this machine: load, faults, idle overhead, cost by fleet size."""

import argparse
import collections
import json
import pathlib
import statistics
import subprocess
import sys
import time
from collections.abc import Sequence

import anyio
import attrs

from .measurement_run import RunOptions, run_once
from .overhead import measure_idle
from .plots import plot_goodput
from .slopes import measure_slopes
from .summary import summarise, summarise_windows
from .workload import DEPLOYMENTS

ROOT = pathlib.Path(__file__).parents[1]
RESULTS = ROOT / 'results'
WINDOW_S = 2.5
FAULTS = ('', 'straggler', 'zone', 'platform', 'daemon')


async def run_loads(options: argparse.Namespace) -> None:
    """Run every policy with every seed, seed by seed; print and write the results."""
    policies = options.compare or [options.policy]
    seeds = options.seeds or [options.seed]
    summaries = []
    for seed in seeds:
        for policy in policies:
            run = RunOptions(
                deployment=options.deployment,
                seed=seed,
                load=options.load,
                policy=policy,
                duration_s=options.duration_s,
                fault=options.fault,
                fault_at_s=options.fault_at_s,
                fault_s=options.fault_s,
                load_lag_s=options.load_lag_s,
                cached_share=options.cached_share,
            )
            result = await run_once(run)
            summary = summarise(result)
            summary['commit'] = read_commit()
            if run.fault:
                top = result.deployment.top_tier
                summary['windows'] = summarise_windows(result, top, WINDOW_S)
            summaries.append(summary)
            _write_result(
                f'{run.deployment}-{run.load:g}-{policy}-{seed}-{run.fault or "none"}',
                {**summary, 'calls': [_convert_record(record) for record in result.records]},
            )
            _print_run(summary)
    if len(summaries) > 1:
        _print_comparison(summaries)
    plot_goodput(summaries, RESULTS / f'goodput-{options.deployment}-{options.load:g}.png')


def read_commit() -> str:
    """Return the commit of the measured tree, marked as dirty if it has changes."""
    command = ['git', 'describe', '--always', '--dirty', '--abbrev=10']
    return subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, check=False
    ).stdout.strip()


def _convert_record(record: object) -> dict:
    skipped = {'gaps', 'body', 'key'}
    fields = attrs.asdict(record, filter=lambda field, _value: field.name not in skipped)
    return {
        name: round(content, 4) if isinstance(content, float) else content
        for name, content in fields.items()
    }


def _write_result(name: str, document: dict) -> None:
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f'{name}-{int(time.time())}.json'
    path.write_text(json.dumps(document, indent=1))


def _print_run(summary: dict) -> None:
    settings = summary['settings']
    _print_line(
        f'{settings["deployment"]} load {settings["load"]:g} seed {settings["seed"]} '
        f'{settings["policy"]} {settings["fault"]} commit {summary["commit"]}'
    )
    _print_line(
        f'  {"tier":12}{"offered":>8}{"goodput":>8}{"late":>6}'
        f'{"first p50":>11}{"p95":>8}{"p99":>8}{"gap p50":>9}{"p95":>8}{"p99":>8} ms'
    )
    for name, tier in summary['tiers'].items():
        first, gap = tier['first_token_ms'], tier['token_gap_ms']
        _print_line(
            f'  {name:12}{tier["offered"]:8}{tier["goodput"]:8}{tier["late"]:6}'
            f'{first["p50"]:11.0f}{first["p95"]:8.0f}{first["p99"]:8.0f}'
            f'{gap["p50"]:9.1f}{gap["p95"]:8.1f}{gap["p99"]:8.1f}  {tier["outcomes"]}'
        )
    for key in (
        'total_goodput', 'wasted_prefill_tokens', 'wasted_prefill_by_cause', 'prefilled_tokens',
        'cached_share', 'bytes_between_regions', 'balance', 'plain', 'caller_lag_p99_ms',
        'cpu_shares',
    ):  # fmt: skip
        _print_line(f'  {key}: {summary[key]}')
    for window in summary.get('windows', ()):
        first = window['first_token_ms']
        _print_line(
            f'  from {window["from_s"]:+6.1f} s: {window["goodput"]}/{window["offered"]}, '
            f'first token p50 {first["p50"]:.0f} p95 {first["p95"]:.0f} ms'
        )


def _print_comparison(summaries: Sequence[dict]) -> None:
    groups = collections.defaultdict(list)
    for summary in summaries:
        groups[summary['settings']['policy']].append(summary)
    _print_line('median (min to max) over the seeds; goodput as a share of the offered load')
    for policy, results in groups.items():
        cells = [
            f'{tier} {_format_goodput([result["tiers"][tier] for result in results])}'
            for tier in results[0]['tiers']
        ]
        goodput = [result['total_goodput'] / max(result['total_offered'], 1) for result in results]
        between = [result['bytes_between_regions']['between'] for result in results]
        cells.append(f'all {_format_spread(goodput, 3)}')
        cells.append(
            f'wasted prefill {_format_spread([item["wasted_prefill_tokens"] for item in results])}'
        )
        cells.append(f'bytes between regions {_format_spread(between)}')
        cells.append(f'cached {_format_spread([result["cached_share"] for result in results], 3)}')
        _print_line(f'  {policy}: {"; ".join(cells)}')


def _format_goodput(tiers: Sequence[dict]) -> str:
    return _format_spread([tier['goodput'] / max(tier['offered'], 1) for tier in tiers], 3)


def _format_spread(numbers: Sequence[float], digits: int = 0) -> str:
    low, middle, high = min(numbers), statistics.median(numbers), max(numbers)
    return f'{middle:.{digits}f} ({low:.{digits}f} to {high:.{digits}f})'


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


async def run(options: argparse.Namespace) -> None:
    """Run the kind of measurement that the options select."""
    if options.idle:
        overhead = await measure_idle(DEPLOYMENTS[options.deployment], options.duration_s)
        document = {'commit': read_commit(), 'deployment': options.deployment, **overhead}
    elif options.sizes:
        document = {'commit': read_commit(), **measure_slopes()}
    else:
        await run_loads(options)
        return
    _write_result('idle' if options.idle else 'sizes', document)
    _print_line(json.dumps(document, indent=1))


def main() -> None:
    """Run a measurement from the command line."""
    defaults = RunOptions()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--deployment', choices=tuple(DEPLOYMENTS), default=defaults.deployment)
    parser.add_argument('--seed', type=int, default=defaults.seed)
    parser.add_argument('--seeds', type=int, nargs='+')
    parser.add_argument('--load', type=float, default=defaults.load)
    parser.add_argument(
        '--policy', default=defaults.policy, help='a policy; "least_load+notes=8" sets a timeout'
    )
    parser.add_argument('--compare', nargs='+', metavar='POLICY')
    parser.add_argument('--duration-s', type=float, default=defaults.duration_s)
    parser.add_argument('--fault', choices=FAULTS, default=defaults.fault)
    parser.add_argument('--fault-at-s', type=float, default=defaults.fault_at_s)
    parser.add_argument('--fault-s', type=float, default=defaults.fault_s)
    parser.add_argument('--load-lag-s', type=float, default=defaults.load_lag_s)
    parser.add_argument('--cached-share', type=float, default=defaults.cached_share)
    parser.add_argument('--idle', action='store_true')
    parser.add_argument('--sizes', action='store_true')
    anyio.run(run, parser.parse_args())


if __name__ == '__main__':
    main()
