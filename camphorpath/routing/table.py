"""The routes, services and customers of one manifest version."""

from collections.abc import Mapping

import attrs

from .records import CallerLimits, Customer, Route, Service


@attrs.frozen(kw_only=True)
class RoutingTable:
    """One manifest version, with an index of its routes."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits
    # Customers by API key; None if callers send no keys.
    customers: Mapping[str, Customer] | None
    _index: dict[tuple[str, str], Route] = attrs.field(init=False)

    @_index.default
    def _index_routes(self) -> dict[tuple[str, str], Route]:
        return {(route.host, route.prefix): route for route in self.routes}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the host and the longest matching path prefix, or None.

        Prefixes match whole path segments only.
        """
        end = path.rfind('/')
        while end >= 0:
            route = self._index.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def find_customer(self, key: str) -> Customer | None:
        """Return the customer that holds a key, or None."""
        return self.customers.get(key) if self.customers else None
