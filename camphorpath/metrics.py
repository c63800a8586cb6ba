"""The metrics of one daemon; their names contain the units."""

import attrs
from aioprometheus import Counter, Gauge, Registry, Summary
from aioprometheus.renderer import render


def _make_counter(registry: Registry, name: str, text: str) -> Counter:
    return Counter(name, text, registry=registry)


class Metrics:
    """The metrics of one daemon in a registry of their own."""

    def __init__(self) -> None:
        """Create and register the metrics."""
        registry = Registry()
        self.registry = registry
        self.requests = _make_counter(
            registry, 'camphorpath_requests_total', 'Final answers by service, tier and outcome.'
        )
        self.dispatches = _make_counter(
            registry, 'camphorpath_dispatches_total', 'Requests sent to upstreams by service.'
        )
        self.relayed = _make_counter(
            registry, 'camphorpath_relayed_bytes_total', 'Answer bytes by service and route.'
        )
        self.in_progress = Gauge(
            'camphorpath_in_progress_requests', 'Accepted, unanswered requests.', registry=registry
        )
        self.duration = Summary(
            'camphorpath_call_seconds', 'Arrival to the end of the answer.', registry=registry
        )

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the body and headers of a scrape response in the Prometheus text format."""
        body, headers = render(self.registry, [])
        return body, dict(headers)


@attrs.frozen
class CallLabels:
    """The labels of a finished call."""

    service: str
    tier: str
    outcome: str

    def as_dict(self) -> dict[str, str]:
        """Return the labels in the form that aioprometheus expects."""
        return attrs.asdict(self)
