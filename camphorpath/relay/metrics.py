"""Prometheus metrics of the relay."""

import attrs
from aioprometheus import Counter, Gauge, Histogram, Registry

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


@attrs.define
class RelayMetrics:
    """The metrics of one daemon, in their own registry."""

    registry: Registry = attrs.field(factory=Registry)
    answers: Counter = attrs.field(init=False)
    attempts: Counter = attrs.field(init=False)
    first_byte: Histogram = attrs.field(init=False)
    waits: Histogram = attrs.field(init=False)
    quota_waits: Histogram = attrs.field(init=False)
    quota_refusals: Counter = attrs.field(init=False)
    in_progress: Gauge = attrs.field(init=False)
    customer_tokens: Counter = attrs.field(init=False)
    customer_refusals: Counter = attrs.field(init=False)
    by_distance: Counter = attrs.field(init=False)
    buffered_bytes: Gauge = attrs.field(init=False)
    ended_readers: Counter = attrs.field(init=False)
    engine_tokens: Gauge = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register the metrics."""
        registry = self.registry
        self.answers = Counter(
            'camphorpath_answers_total', 'Final answers by route and outcome.', registry=registry
        )
        self.attempts = Counter(
            'camphorpath_attempts_total', 'Sends to upstreams by result.', registry=registry
        )
        self.first_byte = Histogram(
            'camphorpath_first_byte_seconds',
            'Arrival to the first byte of the answer.',
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.waits = Histogram(
            'camphorpath_wait_seconds',
            'Arrival to the slot.',
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.quota_waits = Histogram(
            'camphorpath_quota_wait_seconds',
            'Acceptance to the units of the quota, for calls of customers with one.',
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        # Its customers are those of the manifests.
        self.quota_refusals = Counter(
            'camphorpath_quota_refusals_total',
            'Calls refused because of the quota, by customer.',
            registry=registry,
        )
        self.by_distance = Counter(
            'camphorpath_calls_by_distance_total',
            'Sends to upstreams by distance: same_zone, same_region or other_region.',
            registry=registry,
        )
        self.in_progress = Gauge(
            'camphorpath_in_progress_calls', 'Calls without a final answer.', registry=registry
        )
        self.customer_tokens = Counter(
            'camphorpath_customer_tokens_total',
            'Tokens of the calls that got a slot, by customer.',
            registry=registry,
        )
        self.buffered_bytes = Gauge(
            'camphorpath_buffered_bytes',
            'Bytes buffered for callers and upstreams: request, answer, to_caller, to_upstream.',
            registry=registry,
        )
        self.ended_readers = Counter(
            'camphorpath_ended_readers_total',
            'Callers and upstreams given up as they read nothing, by kind and reason.',
            registry=registry,
        )
        self.engine_tokens = Gauge(
            'camphorpath_engine_tokens',
            'Tokens of the calls of all daemons at an upstream of which the memory is known.',
            registry=registry,
        )
        self.customer_refusals = Counter(
            'camphorpath_customer_refusals_total',
            'Calls that got no slot in time, by customer.',
            registry=registry,
        )
