"""Plays seeded runs by hand: `python -m tests.processes --seeds 1-50`."""

import argparse
import asyncio
import pathlib

import attrs

from .soak import Plan, run
from .take_ups import TakeUps

# What may be left out of a run.
PARTS = [field.name for field in attrs.fields(Plan) if field.name.startswith('has_')]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', default='1-5')
    parser.add_argument('--duration-s', type=float, default=30)
    parser.add_argument('--daemons', type=int, default=5)
    parser.add_argument('--upstreams', type=int, default=4)
    parser.add_argument('--callers', type=int, default=16)
    parser.add_argument('--trouble-interval-s', type=float, default=1.2)
    parser.add_argument('--timeout-ms', type=int, default=3000, help='timeout of streams')
    parser.add_argument('--without', choices=PARTS, action='append', default=[])
    parser.add_argument('--without-version-changes', action='store_true')
    parser.add_argument('--records', type=pathlib.Path, help='folder for the records and logs')
    options = parser.parse_args()
    first, _, last = options.seeds.partition('-')
    left_out = {*options.without}
    if options.without_version_changes:
        left_out.add('has_version_changes')
    has_faults = False
    take_ups = TakeUps()
    for seed in range(int(first), int(last or first) + 1):
        plan = Plan(
            seed=seed,
            duration_s=options.duration_s,
            daemon_count=options.daemons,
            upstream_count=options.upstreams,
            caller_count=options.callers,
            trouble_interval_s=options.trouble_interval_s,
            timeout_ms=options.timeout_ms,
            **dict.fromkeys(left_out, False),
        )
        folder = options.records and options.records / f'{seed}'
        if folder:
            folder.mkdir(parents=True, exist_ok=True)
        outcome = asyncio.run(run(plan, folder))
        print(f'seed {seed}: {outcome.summarize()}', flush=True)
        for fault in outcome.faults[:10]:
            print('  ', fault, flush=True)
        take_ups.merge(outcome.take_ups)
        has_faults = has_faults or bool(outcome.faults)
        if options.records:
            (folder / 'record.txt').write_text('\n'.join([*outcome.record, *outcome.faults]))
    print(f'all: {take_ups.summarize()}')
    raise SystemExit(has_faults)


main()
