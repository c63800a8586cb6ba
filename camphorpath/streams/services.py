"""The services at which streams that callers take up can have begun."""

import math
from collections.abc import Iterable, Iterator
from collections.abc import Set as AbstractSet

import attrs

from ..routing import CallKind, Route
from .targets import RouteTarget

# A stream is taken up no later than this many timeouts of its route after its first event: its
# caller may have taken it up before.
HORIZON_TIMEOUTS = 2
# For daemons and upstreams that learn late of a removed upstream.
HORIZON_MARGIN_S = 10.0

# Host and prefix of a route.
Place = tuple[str, str]


@attrs.frozen
class StreamPath:
    """The path of a call that takes a stream up, and the route that it has now."""

    host: str
    path: str
    # That of the route.
    prefix: str


@attrs.define
class ResumableServices:
    """The services to which resumable routes lead or have led lately."""

    _longest_timeouts_s: dict[str, float] = attrs.field(factory=dict)
    # The services of each resumable route, by host and prefix.
    _targets: dict[Place, frozenset[str]] = attrs.field(factory=dict)
    # The routes of streams that are not resumable, by host and prefix.
    _unresumable: dict[Place, Route] = attrs.field(factory=dict)
    # Since when routes of other kinds are known here without a break, on the lease clock.
    _plain_since: dict[Place, float] = attrs.field(factory=dict)
    # Services of routes that lead to several ones.
    _shared: frozenset[str] = frozenset()
    # When a route ceased to lead to a service, on the lease clock, by host, prefix and service.
    _dropped_at: dict[tuple[str, str, str], float] = attrs.field(factory=dict)
    # Since when each of these routes is resumable, on the lease clock; streams of its paths that
    # began before are not known. Minus infinity if there can be none.
    _since: dict[Place, float] = attrs.field(factory=dict)
    # Routes of the first manifest for which no other daemon has told that.
    _unconfirmed: set[Place] = attrs.field(factory=set)
    # Since when a route of the first manifest is resumable, unless another daemon tells it; None
    # for the time of the manifest.
    _first_since: float | None = -math.inf
    # Whether the routes of a manifest are known.
    _is_applied: bool = False

    @property
    def has_unconfirmed(self) -> bool:
        """Whether other daemons may know for longer than this one that a route is resumable."""
        return bool(self._unconfirmed)

    def apply_routes(self, routes: Iterable[Route], now: float) -> None:
        """Replace the routes by those of a newer manifest."""
        former = self._targets
        former_unresumable = self._unresumable
        self._take_routes(routes, now)
        self._update_since(self._targets.keys() - former.keys(), now)
        for place, services in former.items():
            self._drop(place, services - self._targets.get(place, frozenset()), now)
        # Their streams may be taken up on the routes to which their paths belong now.
        for place in former_unresumable.keys() - self._unresumable.keys() - self._targets.keys():
            route = former_unresumable[place]
            for service in dict(route.targets):
                self._learn_timeout(service, route.timeout_s)
                self._drop(place, [service], now)
        for place, services in self._targets.items():
            for service in services:
                self._dropped_at.pop((*place, service), None)

    def learn_target(self, target: RouteTarget, now: float) -> None:
        """Add a target that another daemon knew; `dropped_s` is on the lease clock.

        One that no route leads to any more was dropped at an unknown time until now. `since_s` is
        on the lease clock, too.
        """
        self._learn_timeout(target.service, target.timeout_s)
        place = target.host, target.prefix
        if target.dropped_s is None:
            if not self._is_applied:
                # The manifest will tell whether the route leads to it.
                services = self._targets.get(place, frozenset())
                self._targets[place] = services | {target.service}
            self._learn_since(place, target.since_s, now)
        dropped_at = now if target.dropped_s is None else target.dropped_s
        if target.service not in self._targets.get(place, frozenset()):
            self._dropped_at.setdefault((*place, target.service), dropped_at)
        elif target.dropped_s is not None:
            # Another daemon has seen a manifest that this one has missed.
            self._since[place] = max(self._since[place], dropped_at)

    def complete_load(self, now: float, *, is_new: bool) -> None:
        """Take routes that no other daemon knows for ones that became resumable now.

        `is_new` tells that no daemon has run before: then no streams can have begun.
        """
        if is_new:
            self._unconfirmed.clear()
            return
        self._first_since = None
        self._since.update(dict.fromkeys(self._unconfirmed, now))

    def list_targets(self) -> list[RouteTarget]:
        """Return the targets of the routes, and the dropped ones; times on the lease clock."""
        targets = [
            RouteTarget(*place, service, self._longest_timeouts_s[service], since_s=since)
            for place, since in self._since.items()
            for service in self._targets[place]
        ]
        targets += [
            RouteTarget(*key, self._longest_timeouts_s[key[-1]], dropped_at)
            for key, dropped_at in self._dropped_at.items()
        ]
        return targets

    def forget_target(self, target: RouteTarget) -> None:
        """Forget a dropped target."""
        self._dropped_at.pop((target.host, target.prefix, target.service), None)

    def get_horizon_s(self, service: str) -> float:
        """Return the seconds for which a stream may have run when its caller takes it up."""
        return HORIZON_TIMEOUTS * self._longest_timeouts_s.get(service, 0) + HORIZON_MARGIN_S

    def list_services(self) -> frozenset[str]:
        """Return the services to which resumable routes have led since the start."""
        return frozenset(self._longest_timeouts_s)

    def list_dropped(self, now: float) -> frozenset[str]:
        """Return the services at which streams may have begun on a route that left them since."""
        return frozenset(service for _host, _prefix, service in self._iterate_dropped(now))

    def list_candidates(self, path: StreamPath, now: float) -> frozenset[str] | None:
        """Return the services at which a stream of a path may have begun; None if any may be one.

        Streams that began while the route was not resumable left no trace, and the paths of one
        that became resumable lately may have belonged to any other route.
        """
        place = path.host, path.prefix
        if place not in self._targets or self._is_recent(self._since[place], now):
            return None
        return self._targets[place].union(
            service
            for host, prefix, service in self._iterate_dropped(now)
            if _is_below(path, host, prefix) and len(prefix) >= len(path.prefix)
        )

    def has_streams(self, path: StreamPath, now: float) -> bool:
        """Return whether recent streams of a path may have begun on any resumable route.

        `path` belongs to a route of another kind, at least now.
        """
        places = {(host, prefix) for host, prefix, _service in self._iterate_dropped(now)}
        plain_since = self._plain_since.get((path.host, path.prefix), now)
        if self._is_recent(plain_since, now):
            # The path may have belonged to the route of a shorter prefix.
            places |= self._targets.keys()
        return any(_is_below(path, *place) for place in places)

    def is_shared(self, service: str, now: float) -> bool:
        """Return whether a stream of a service may be taken for one of another service."""
        if service in self._shared or self.list_dropped(now):
            return True
        return self._is_recent(max(self._since.values(), default=-math.inf), now)

    def _is_recent(self, since: float, now: float) -> bool:
        """Return whether streams from before an instant may still be taken up."""
        longest_s = max(map(self.get_horizon_s, self._longest_timeouts_s), default=0)
        return now - since <= longest_s

    def _learn_since(self, place: Place, since: float | None, now: float) -> None:
        """Learn since when a route is resumable; None if another daemon does not tell it."""
        if place not in self._targets:
            return
        if place in self._unconfirmed:
            # The other daemon has known the route for longer.
            self._unconfirmed.remove(place)
            self._since.pop(place)
        known = self._since.get(place)
        if since is None:
            since = now if known is None else known
        # The other daemon may have seen a manifest that this one has missed.
        self._since[place] = since if known is None else max(known, since)

    def _take_routes(self, routes: Iterable[Route], now: float) -> None:
        plain_since = self._plain_since
        self._plain_since = {}
        self._targets = {}
        self._unresumable = {}
        for route in routes:
            place = route.host, route.prefix
            if route.kind is not CallKind.STREAM:
                self._plain_since[place] = plain_since.get(place, now)
                continue
            if not route.is_resumable:
                self._unresumable[place] = route
                continue
            self._targets[place] = frozenset(dict(route.targets))
            for service in self._targets[place]:
                self._learn_timeout(service, route.timeout_s)
        split = (services for services in self._targets.values() if len(services) > 1)
        self._shared = frozenset().union(*split)

    def _update_since(self, added: AbstractSet[Place], now: float) -> None:
        since = now
        if not self._is_applied:
            self._unconfirmed |= added
            if self._first_since is not None:
                since = self._first_since
        self._is_applied = True
        self._unconfirmed &= self._targets.keys()
        self._since = {place: self._since.get(place, since) for place in self._targets}

    def _drop(self, place: Place, services: Iterable[str], now: float) -> None:
        for service in services:
            self._dropped_at[*place, service] = now

    def _iterate_dropped(self, now: float) -> Iterator[tuple[str, str, str]]:
        for key, dropped_at in self._dropped_at.items():
            if now <= dropped_at + self.get_horizon_s(key[-1]):
                yield key

    def _learn_timeout(self, service: str, timeout_s: float) -> None:
        longest_s = self._longest_timeouts_s.get(service, 0)
        self._longest_timeouts_s[service] = max(longest_s, timeout_s)


def _is_below(path: StreamPath, host: str, prefix: str) -> bool:
    return path.host == host and path.path.startswith(prefix)
