"""The schedule of calls and faults of a soak run, generated from the seed alone."""

import random
from collections.abc import Iterator

import attrs

ZONES = ('riga-a', 'liepaja-a', 'daugavpils-a')
DAEMONS = tuple(f'{zone}-{index}' for zone in ZONES for index in range(2))
ENGINES = ('scribe-0', 'scribe-1', 'scribe-2', 'scribe-3')
SERVICES = ('ledger-0', 'ledger-1')
CUSTOMERS = ('riga-undertakers', 'parishes', 'textile-care')
CRASH_MARKER = 'CRASH-THE-ENGINE'
# No fault begins in the last part of a run, so that the effects of earlier ones are observed.
FAULT_FREE_END_S = 6
MIN_FAULT_S = 1.0
MAX_FAULT_S = 8.0
MEAN_FAULT_GAP_S = 1.6
BASE_CALLS_PER_S = 22
CALLS_PER_BURST = 90
BURST_DURATION_S = 1.5
MEAN_BURST_GAP_S = 12
PERCENT = 100
PAIRED_FAULTS_PERCENT = 20
REPEATED_CALLS_PERCENT = 30

# Each kind of fault with its weight and its possible targets.
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
    """One fault, `at_s` seconds after the start of the run and `lasts_s` seconds long."""

    at_s: float
    kind: str
    target: str
    lasts_s: float
    # Selects the variant of the fault, 0 to 1.
    variant: float


@attrs.frozen
class PlannedCall:
    """One call, followed by `copies` copies of it at intervals of `copy_interval_s`."""

    at_s: float
    kind: str
    zone: str
    customer: str
    number: int
    tokens: int
    prompt_words: int
    streamed: bool
    timeout_s: float
    copies: int
    copy_interval_s: float


def plan_faults(seed: int, duration_s: float) -> list[Fault]:
    """Return the faults of a run; some occur in pairs at the same moment."""
    rng = random.Random(f'faults {seed}')
    faults: list[Fault] = []
    at_s = 2.0
    while at_s < duration_s - FAULT_FREE_END_S:
        for _ in range(2 if rng.randrange(PERCENT) < PAIRED_FAULTS_PERCENT else 1):
            faults.append(_plan_fault(rng, at_s))
        at_s += rng.expovariate(1 / MEAN_FAULT_GAP_S)
    return faults


def plan_calls(seed: int, duration_s: float) -> list[PlannedCall]:
    """Return the calls of a run, ordered by time."""
    rng = random.Random(f'calls {seed}')
    times = [rng.uniform(0, duration_s) for _ in range(int(BASE_CALLS_PER_S * duration_s))]
    start_s = rng.expovariate(1 / MEAN_BURST_GAP_S)
    while start_s < duration_s - BURST_DURATION_S:
        times.extend(start_s + rng.uniform(0, BURST_DURATION_S) for _ in range(CALLS_PER_BURST))
        start_s += rng.expovariate(1 / MEAN_BURST_GAP_S)
    times.sort()
    calls = [_plan_call(rng, at_s, number) for number, at_s in enumerate(times)]
    crashers = rng.sample(range(len(calls)), max(1, int(duration_s / 30)))
    for index in crashers:
        calls[index] = attrs.evolve(calls[index], kind='crasher', copies=5, copy_interval_s=1)
    return calls


def list_fault_kinds() -> Iterator[str]:
    """Yield the kinds of faults."""
    for kind, _, _ in FAULT_KINDS:
        yield kind


def _plan_fault(rng: random.Random, at_s: float) -> Fault:
    weights = [weight for _, weight, _ in FAULT_KINDS]
    kind, _, targets = rng.choices(FAULT_KINDS, weights)[0]
    return Fault(
        at_s=at_s,
        kind=kind,
        target=rng.choice(targets),
        lasts_s=rng.uniform(MIN_FAULT_S, MAX_FAULT_S),
        variant=rng.random(),
    )


def _plan_call(rng: random.Random, at_s: float, number: int) -> PlannedCall:
    kind = rng.choices(('draft', 'reservation', 'lookup', 'owned'), (55, 25, 12, 8))[0]
    copies = 0
    if rng.randrange(PERCENT) < REPEATED_CALLS_PERCENT:
        copies = rng.choice((1, 2))
    return PlannedCall(
        at_s=at_s,
        kind=kind,
        zone=rng.choice(ZONES),
        customer=rng.choices(CUSTOMERS, (3, 3, 4))[0],
        number=number,
        tokens=rng.choice((10, 40, 100, 300)),
        prompt_words=rng.choice((10, 40, 400)),
        streamed=rng.choice((True, True, False)),
        timeout_s=rng.choice((0.5, 2, 8, 20)),
        copies=copies if kind in {'reservation', 'owned'} else 0,
        copy_interval_s=rng.choice((0, 0.05, 0.5, 3)),
    )
