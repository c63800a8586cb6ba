"""The workload of a measurement: deployments scaled to one machine, and the planned calls."""

import bisect
import functools
import itertools
import random
import types
from collections.abc import Mapping, Sequence

import attrs

from .deployment import DaemonPlan, UpstreamPlan

# Every BURST_INTERVAL_S the arrival rate is BURST_FACTOR times its base for BURST_DURATION_S.
BURST_INTERVAL_S = 10
BURST_DURATION_S = 1
BURST_FACTOR = 3
# Bounds of log-uniform distributions, which span two orders of magnitude.
OUTPUT_TOKENS_RANGE = (4, 400)
PROMPT_TOKENS_RANGE = (40, 4000)
BYTES_PER_TOKEN = 4
# The prompts of a family have this share of their length in common, as a prefix.
SHARED_PREFIX_SHARE = 0.75
FAMILIES_PER_CUSTOMER = 6
BATCH_SLOWDOWN = 0.02


@attrs.frozen
class CustomerMix:
    """The share of one customer in the arrivals, and the factor applied to its prompt sizes."""

    name: str
    tier: str
    share: float
    prompt_factor: float = 1


@attrs.frozen
class TierLimits:
    """Limits within which an answer of a tier is useful, in seconds from the arrival of a call."""

    first_token: float
    answer_timeout: float


@attrs.frozen
class EnginePlan:
    """One engine: its pool, its zone, and its speed relative to the rates of the pool."""

    pool: str
    zone: str
    speed: float


@attrs.frozen
class PoolPlan:
    """Slots and rates of one pool in tokens per second.

    The rates are those in the configuration and also the actual ones of an engine of speed 1.
    """

    slots: int
    prefill_rate: float
    decode_rate: float


@attrs.frozen(kw_only=True)
class ScaledDeployment:
    """An example deployment on one machine.

    `rollout` is the rollout whose share is set so that all pools reach their capacity at the same
    load; `eligible` names the tiers or customers that it covers. `plain_service` is the service
    whose calls are not model calls.
    """

    name: str
    service: str
    model: str
    plain_service: str
    plain_read: str
    plain_write: str
    zones: Mapping[str, float]
    pools: Mapping[str, PoolPlan]
    engines: Sequence[EnginePlan]
    customers: Sequence[CustomerMix]
    tiers: Mapping[str, TierLimits]
    rollout: str
    eligible: frozenset[str]
    plain_zones: Sequence[str]

    @property
    def top_tier(self) -> str:
        """The highest tier."""
        return next(iter(self.tiers))

    def daemons(self) -> list[DaemonPlan]:
        """Return one daemon in each zone."""
        return [DaemonPlan(f'{zone}-1', zone) for zone in self.zones]

    def upstreams(self, load_lag_s: float) -> list[UpstreamPlan]:
        """Return the engines, and the services of the old and the new path."""
        plans = []
        for index, engine in enumerate(self.engines):
            pool = self.pools[engine.pool]
            options = (
                ('--prefill-rate', pool.prefill_rate),
                ('--decode-rate', pool.decode_rate),
                ('--batch-slowdown', BATCH_SLOWDOWN),
                ('--speed', engine.speed),
                ('--load-lag-s', load_lag_s),
            )
            arguments = tuple(str(word) for word in itertools.chain.from_iterable(options))
            name = f'{self.service}-{index}'
            plans.append(
                UpstreamPlan(name, self.service, engine.pool, engine.zone, 'engine', arguments)
            )
        for pool_name, zone in zip(('old', 'new'), self.plain_zones, strict=True):
            name = f'{self.plain_service}-{pool_name}'
            plans.append(UpstreamPlan(name, self.plain_service, pool_name, zone, 'service'))
        return plans

    def is_covered(self, customer: CustomerMix) -> bool:
        """Return whether the rollout covers the customer."""
        return customer.name in self.eligible or customer.tier in self.eligible


VAINAGS = ScaledDeployment(
    name='vainags',
    service='scribe',
    model='scribe-agreements',
    plain_service='ledger',
    plain_read='/services/ledger/lookup/',
    plain_write='/services/ledger/reservations',
    zones=types.MappingProxyType({'riga-a': 0.5, 'liepaja-a': 0.3, 'daugavpils-a': 0.2}),
    pools=types.MappingProxyType({'old': PoolPlan(8, 4000, 40), 'new': PoolPlan(12, 7000, 55)}),
    engines=(
        EnginePlan('old', 'riga-a', 1.0),
        EnginePlan('old', 'riga-a', 0.7),
        EnginePlan('old', 'liepaja-a', 1.0),
        EnginePlan('old', 'daugavpils-a', 1.2),
        EnginePlan('new', 'riga-a', 1.0),
        EnginePlan('new', 'liepaja-a', 0.8),
    ),
    customers=(
        CustomerMix('riga-undertakers', 'burial', 0.13, 0.5),
        CustomerMix('kurzeme-undertakers', 'burial', 0.08, 0.5),
        CustomerMix('latgale-undertakers', 'burial', 0.03, 0.5),
        CustomerMix('parishes', 'office', 0.4),
        CustomerMix('textile-care', 'notes', 0.36),
    ),
    tiers=types.MappingProxyType(
        {
            'burial': TierLimits(1.5, 15),
            'office': TierLimits(1.8, 30),
            'notes': TierLimits(10, 40),
        }
    ),
    rollout='scribe-new',
    eligible=frozenset(('office', 'notes')),
    plain_zones=('riga-a', 'liepaja-a'),
)

BLUEMAHOE = ScaledDeployment(
    name='bluemahoe',
    service='loom-llm',
    model='loom-llm',
    plain_service='order-desk',
    plain_read='/services/order-desk/stock/',
    plain_write='/services/order-desk/wire-orders',
    zones=types.MappingProxyType({'kingston-a': 0.4, 'montego-a': 0.4, 'mandeville-a': 0.2}),
    pools=types.MappingProxyType({'old': PoolPlan(6, 3000, 35), 'new': PoolPlan(10, 6500, 50)}),
    engines=(
        EnginePlan('old', 'kingston-a', 1.0),
        EnginePlan('old', 'montego-a', 0.8),
        EnginePlan('old', 'mandeville-a', 1.2),
        EnginePlan('new', 'kingston-a', 1.0),
        EnginePlan('new', 'montego-a', 0.8),
    ),
    customers=(
        CustomerMix('order-office', 'orders', 0.14, 0.5),
        CustomerMix('export-desk', 'orders', 0.05, 0.5),
        CustomerMix('looms', 'shop-floor', 0.35, 0.5),
        CustomerMix('supervisors', 'shop-floor', 0.16, 0.5),
        CustomerMix('pattern-room', 'patterns', 0.3, 1.5),
    ),
    tiers=types.MappingProxyType(
        {
            'orders': TierLimits(1.5, 15),
            'shop-floor': TierLimits(1.8, 30),
            'patterns': TierLimits(20, 40),
        }
    ),
    rollout='loom-llm-new',
    eligible=frozenset(('supervisors', 'pattern-room')),
    plain_zones=('kingston-a', 'montego-a'),
)

DEPLOYMENTS = types.MappingProxyType({'vainags': VAINAGS, 'bluemahoe': BLUEMAHOE})


@attrs.frozen
class PlannedCall:
    """One planned call, `due` seconds after the start of the run. A plain call has no prompt."""

    due: float
    customer: str
    tier: str
    zone: str
    family: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    number: int = 0

    def make_document(self, model: str) -> dict:
        """Return the body of the model call."""
        size = self.prompt_tokens * BYTES_PER_TOKEN
        shared = _repeat_phrase(f'{self.customer}/{self.family} ', int(size * SHARED_PREFIX_SHARE))
        own = _repeat_phrase(f'call {self.number} of {self.customer} ', size - len(shared))
        return {
            'model': model,
            'stream': True,
            'max_tokens': self.output_tokens,
            'messages': [
                {'role': 'system', 'content': shared},
                {'role': 'user', 'content': own},
            ],
        }


def plan_calls(
    deployment: ScaledDeployment, rate: float, duration_s: float, seed: int
) -> list[PlannedCall]:
    """Return the calls of a run ordered by time; they do not depend on the policy."""
    rng = random.Random(f'{deployment.name} {seed}')
    shares = list(itertools.accumulate(customer_mix.share for customer_mix in deployment.customers))
    zones, weights = list(deployment.zones), list(deployment.zones.values())
    calls = []
    for number, due in enumerate(_draw_arrivals(rng, rate, duration_s)):
        point = rng.random() * shares[-1]
        customer = deployment.customers[bisect.bisect_right(shares, point)]
        prompt = _draw_log_uniform(rng, PROMPT_TOKENS_RANGE) * customer.prompt_factor
        calls.append(
            PlannedCall(
                due,
                customer.name,
                customer.tier,
                rng.choices(zones, weights)[0],
                family=int(rng.triangular(0, FAMILIES_PER_CUSTOMER, 0)),
                prompt_tokens=round(prompt),
                output_tokens=round(_draw_log_uniform(rng, OUTPUT_TOKENS_RANGE)),
                number=number,
            )
        )
    return calls


def find_capacity(deployment: ScaledDeployment, cached_share: float) -> tuple[float, float]:
    """Return the calls per second at load 1, and the share of the rollout that balances the pools.

    On an engine with all slots busy, a call costs its uncached prompt tokens divided by the prefill
    rate, plus its output tokens divided by the rate of the whole batch. `cached_share` is the
    assumed share of prompt tokens found in the cache.
    """
    capacity: dict[str, float] = dict.fromkeys(deployment.pools, 0)
    for engine in deployment.engines:
        seconds = sum(
            customer.share
            * _estimate_seconds(deployment.pools[engine.pool], customer, cached_share)
            for customer in deployment.customers
        ) / sum(customer.share for customer in deployment.customers)
        capacity[engine.pool] += engine.speed / seconds
    pool = deployment.pools[deployment.engines[0].pool]
    work_by_customer = {
        customer.name: customer.share * _estimate_seconds(pool, customer, cached_share)
        for customer in deployment.customers
    }
    covered_work = sum(
        work_by_customer[customer.name]
        for customer in deployment.customers
        if deployment.is_covered(customer)
    )
    covered_share = covered_work / sum(work_by_customer.values())
    total = sum(capacity.values())
    share = min(1, capacity['new'] / total / covered_share)
    new_pool_share = share * covered_share
    return min(capacity['new'] / new_pool_share, capacity['old'] / (1 - new_pool_share)), share


def scale_fleet(
    fleet: dict, deployment: ScaledDeployment, share: float, timeouts: Mapping[str, float]
) -> dict:
    """Set the rates, limits and rollout share of the measurement in `fleet` and return it."""
    for tier in fleet['tiers']:
        limits = deployment.tiers[tier['name']]
        tier['first_token'] = f'{limits.first_token}s'
        tier['answer_timeout'] = f'{timeouts.get(tier["name"], limits.answer_timeout)}s'
    for service in fleet['services']:
        if service['name'] != deployment.service:
            continue
        for pool in service['pools']:
            plan = deployment.pools[pool['name']]
            pool.update(
                slots=plan.slots, prefill_rate=plan.prefill_rate, decode_rate=plan.decode_rate
            )
    for rollout in fleet['rollouts']:
        if rollout['name'] == deployment.rollout:
            rollout['share'] = f'{share:.0%}'
    # An exception with an answer timeout would give a customer other limits than its tier has.
    fleet['exceptions'] = [rule for rule in fleet['exceptions'] if 'answer_timeout' not in rule]
    return fleet


def _estimate_seconds(pool: PoolPlan, customer: CustomerMix, cached_share: float) -> float:
    batch_rate = pool.slots * pool.decode_rate / (1 + BATCH_SLOWDOWN * (pool.slots - 1))
    prefill_s = _mean_prompt(customer) * (1 - cached_share) / pool.prefill_rate
    return prefill_s + _mean_log_uniform(OUTPUT_TOKENS_RANGE) / batch_rate


def _mean_prompt(customer: CustomerMix) -> float:
    return _mean_log_uniform(PROMPT_TOKENS_RANGE) * customer.prompt_factor


def _draw_arrivals(rng: random.Random, rate: float, duration_s: float) -> list[float]:
    # Poisson thinning: arrivals at the highest rate, each kept with the relative rate at its time.
    mean_factor = 1 + (BURST_FACTOR - 1) * BURST_DURATION_S / BURST_INTERVAL_S
    base_rate = rate / mean_factor
    arrivals = []
    now = rng.expovariate(base_rate * BURST_FACTOR)
    while now < duration_s:
        is_burst = now % BURST_INTERVAL_S >= BURST_INTERVAL_S - BURST_DURATION_S
        if is_burst or rng.random() < 1 / BURST_FACTOR:
            arrivals.append(now)
        now += rng.expovariate(base_rate * BURST_FACTOR)
    return arrivals


def _draw_log_uniform(rng: random.Random, bounds: tuple[float, float]) -> float:
    low, high = bounds
    return low * (high / low) ** rng.random()


@functools.cache
def _mean_log_uniform(bounds: tuple[float, float]) -> float:
    rng = random.Random(0)
    count = 100_000
    return sum(_draw_log_uniform(rng, bounds) for _ in range(count)) / count


def _repeat_phrase(phrase: str, size: int) -> str:
    return (phrase * (size // len(phrase) + 1))[:size]
