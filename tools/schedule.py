"""The schedule of a soak run: calls and faults, both generated from the seed alone."""

import random
from collections.abc import Iterator

import attrs

ZONES = ('riga-a', 'liepaja-a', 'daugavpils-a')
DAEMONS = tuple(f'{zone}-{index}' for zone in ZONES for index in range(2))
ENGINES = ('scribe-0', 'scribe-1', 'scribe-2', 'scribe-3')
SERVICES = ('ledger-0', 'ledger-1')
CUSTOMERS = ('riga-undertakers', 'parishes', 'textile-care')
CRASH_MARKER = 'CRASH-THE-ENGINE'
# The last part of a run has no new faults, so that their consequences are seen.
QUIET_END_S = 6
SHORTEST_FAULT_S = 1.0
LONGEST_FAULT_S = 8.0
MEAN_FAULT_GAP_S = 1.6
CALLS_PER_S = 22
BURST_CALLS = 90
BURST_S = 1.5
MEAN_BURST_GAP_S = 12
PERCENT = 100
PERCENT_DOUBLED = 20
PERCENT_REPEATED = 30

# Kinds with their relative frequency and possible targets.
FAULT_KINDS: tuple[tuple[str, int, tuple[str, ...]], ...] = (
    ('kill_daemon', 4, DAEMONS),
    ('pause_daemon', 4, DAEMONS),
    ('stop_daemon', 3, DAEMONS),
    ('stop_two_daemons', 1, DAEMONS),
    ('table_down', 2, ('platform',)),
    ('table_slow', 2, ('platform',)),
    ('table_loses_answers', 2, ('platform',)),
    ('table_writes_late', 2, ('platform',)),
    ('objects_down', 1, ('platform',)),
    ('vm_list_down', 1, ('platform',)),
    ('vm_list_old', 1, ('platform',)),
    ('kill_upstream', 3, ENGINES + SERVICES),
    ('slow_upstream', 2, ENGINES + SERVICES),
    ('truncate', 2, ENGINES),
    ('refuse', 2, ENGINES + SERVICES),
    ('hang', 2, ENGINES + SERVICES),
    ('late', 1, ENGINES + SERVICES),
    ('drain', 2, ENGINES + SERVICES),
    ('leave', 2, ENGINES + SERVICES),
    ('cut_after_effect', 3, SERVICES),
    ('propose', 3, ('operators',)),
)


@attrs.frozen
class Fault:
    """One fault: it begins at `at_s` after the start and lasts `lasts_s`."""

    at_s: float
    kind: str
    target: str
    lasts_s: float
    # Chooses details of the fault, 0 to 1.
    detail: float


@attrs.frozen
class PlannedCall:
    """One call: `extra` copies of it follow, the first after `extra_after_s`."""

    at_s: float
    kind: str
    zone: str
    customer: str
    number: int
    tokens: int
    words: int
    streamed: bool
    timeout_s: float
    extra: int
    extra_after_s: float


def plan_faults(seed: int, duration_s: float) -> list[Fault]:
    """Return the faults of a run; some come in pairs at the same moment."""
    generator = random.Random(f'faults {seed}')
    faults: list[Fault] = []
    at_s = 2.0
    while at_s < duration_s - QUIET_END_S:
        for _ in range(2 if generator.randrange(PERCENT) < PERCENT_DOUBLED else 1):
            faults.append(_plan_fault(generator, at_s))
        at_s += generator.expovariate(1 / MEAN_FAULT_GAP_S)
    return faults


def plan_calls(seed: int, duration_s: float) -> list[PlannedCall]:
    """Return the calls of a run in the order of their times."""
    generator = random.Random(f'calls {seed}')
    times = [generator.uniform(0, duration_s) for _ in range(int(CALLS_PER_S * duration_s))]
    start_s = generator.expovariate(1 / MEAN_BURST_GAP_S)
    while start_s < duration_s - BURST_S:
        times.extend(start_s + generator.uniform(0, BURST_S) for _ in range(BURST_CALLS))
        start_s += generator.expovariate(1 / MEAN_BURST_GAP_S)
    times.sort()
    calls = [_plan_call(generator, at_s, number) for number, at_s in enumerate(times)]
    crashers = generator.sample(range(len(calls)), max(1, int(duration_s / 30)))
    for index in crashers:
        calls[index] = attrs.evolve(calls[index], kind='crasher', extra=5, extra_after_s=1)
    return calls


def list_kinds() -> Iterator[str]:
    """Yield the kinds of faults."""
    for kind, _, _ in FAULT_KINDS:
        yield kind


def _plan_fault(generator: random.Random, at_s: float) -> Fault:
    weights = [weight for _, weight, _ in FAULT_KINDS]
    kind, _, targets = generator.choices(FAULT_KINDS, weights)[0]
    return Fault(
        at_s=at_s,
        kind=kind,
        target=generator.choice(targets),
        lasts_s=generator.uniform(SHORTEST_FAULT_S, LONGEST_FAULT_S),
        detail=generator.random(),
    )


def _plan_call(generator: random.Random, at_s: float, number: int) -> PlannedCall:
    kind = generator.choices(('draft', 'reservation', 'lookup', 'owned'), (55, 25, 12, 8))[0]
    extra = 0
    if generator.randrange(PERCENT) < PERCENT_REPEATED:
        extra = generator.choice((1, 2))
    return PlannedCall(
        at_s=at_s,
        kind=kind,
        zone=generator.choice(ZONES),
        customer=generator.choices(CUSTOMERS, (3, 3, 4))[0],
        number=number,
        tokens=generator.choice((10, 40, 100, 300)),
        words=generator.choice((10, 40, 400)),
        streamed=generator.choice((True, True, False)),
        timeout_s=generator.choice((0.5, 2, 8, 20)),
        extra=extra if kind in {'reservation', 'owned'} else 0,
        extra_after_s=generator.choice((0, 0.05, 0.5, 3)),
    )
