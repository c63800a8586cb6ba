"""The services at which streams that callers take up can have begun."""

from collections.abc import Iterable

import attrs

from ..routing import Route

# A stream is taken up no later than this many timeouts of its route after its first event: its
# caller may have taken it up before.
HORIZON_TIMEOUTS = 2
# For daemons and upstreams that learn late of a removed upstream.
HORIZON_MARGIN_S = 10.0


@attrs.define
class ResumableServices:
    """The services to which resumable routes lead or have led lately."""

    _longest_timeouts_s: dict[str, float] = attrs.field(factory=dict)
    # The services of each resumable route, by host and prefix.
    _targets: dict[tuple[str, str], frozenset[str]] = attrs.field(factory=dict)
    # Services of routes that lead to several ones.
    _shared: frozenset[str] = frozenset()
    # When a route last ceased to lead to a service, on the lease clock.
    _dropped_at: dict[str, float] = attrs.field(factory=dict)

    def apply_routes(self, routes: Iterable[Route], now: float) -> None:
        """Replace the routes by those of a newer manifest."""
        former = self._targets
        self._targets = {}
        for route in routes:
            if not route.is_resumable:
                continue
            services = frozenset(name for name, _weight in route.targets)
            self._targets[route.host, route.prefix] = services
            for service in services:
                longest_s = self._longest_timeouts_s.get(service, 0)
                self._longest_timeouts_s[service] = max(longest_s, route.timeout_s)
        split = (services for services in self._targets.values() if len(services) > 1)
        self._shared = frozenset().union(*split)
        for key, services in former.items():
            for service in services - self._targets.get(key, frozenset()):
                self._dropped_at[service] = now

    def get_horizon_s(self, service: str) -> float:
        """Return the seconds for which a stream may have run when its caller takes it up."""
        return HORIZON_TIMEOUTS * self._longest_timeouts_s.get(service, 0) + HORIZON_MARGIN_S

    def list_services(self) -> frozenset[str]:
        """Return the services to which resumable routes have led since the start."""
        return frozenset(self._longest_timeouts_s)

    def list_dropped(self, now: float) -> frozenset[str]:
        """Return the services at which streams may have begun on a route that left them since."""
        return frozenset(
            service
            for service, dropped_at in self._dropped_at.items()
            if now <= dropped_at + self.get_horizon_s(service)
        )

    def is_shared(self, service: str, now: float) -> bool:
        """Return whether a stream of a service may be taken for one of another service."""
        return service in self._shared or bool(self.list_dropped(now))
