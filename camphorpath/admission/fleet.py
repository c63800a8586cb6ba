"""Indexed lookups in the fleet configuration for admission decisions."""

import math

import attrs

from ..schema import camphorpath_pb2 as pb

BYTES_PER_MIB = 1048576


@attrs.define
class FleetView:
    """The fleet configuration of one version with indexes."""

    fleet: pb.Fleet
    services: dict[str, pb.Service] = attrs.field(init=False)
    weights: dict[str, float] = attrs.field(init=False)
    tiers: dict[str, pb.Tier] = attrs.field(init=False)
    _regions: dict[str, str] = attrs.field(init=False)
    _limits: dict[tuple[str, str], int] = attrs.field(init=False)
    _routes: dict[tuple[str, str], tuple[float, float]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Build the indexes."""
        fleet = self.fleet
        self.services = {service.name: service for service in fleet.services}
        self.weights = {customer.name: customer.weight for customer in fleet.customers}
        self.tiers = {tier.name: tier for tier in fleet.tiers}
        self._regions = {zone: region.name for region in fleet.regions for zone in region.zones}
        self._limits = {
            ('', customer.name): customer.max_running
            for customer in fleet.customers
            if customer.max_running
        }
        for rule in fleet.exceptions:
            # A rule for a tier sets that tier's timeout and no limit on a customer.
            if rule.max_running and not rule.tier:
                self._limits[rule.service, rule.customer] = rule.max_running

    def pool(self, service: str, name: str) -> pb.Pool | None:
        """Return a pool of a service, or None."""
        found = self.services.get(service)
        pools = () if found is None else found.pools
        return next((pool for pool in pools if pool.name == name), None)

    def allowed_first_token_delay(self, tier_name: str) -> float:
        """Return by how many seconds a first token may exceed its target; inf if unlimited."""
        tier = self.tiers.get(tier_name)
        if tier is None or not tier.refuse_late_first_token:
            return math.inf
        return (tier.refuse_late_first_token - 1) * tier.first_token

    def customer_limit(self, service: str, customer: str) -> int:
        """Return how many requests of a customer may run in a service; 0 is unlimited."""
        own = self._limits.get((service, customer), 0)
        return own or self._limits.get(('', customer), 0)

    def service_limit(self, service: str) -> int:
        """Return how many requests may run in a service; 0 is unlimited."""
        return self._limits.get((service, ''), 0)

    def find_route(self, first: str, second: str) -> tuple[float, float]:
        """Return the round-trip time between two zones and the price per byte, both in seconds."""
        key = first, second
        found = self._routes.get(key)
        if found is None:
            found = self._compute_route(first, second)
            self._routes[key] = found
        return found

    def _compute_route(self, first: str, second: str) -> tuple[float, float]:
        links = self.fleet.links
        if first == second:
            return 2 * links.same_zone, 0
        if self._regions.get(first) == self._regions.get(second):
            return 2 * links.between_zones, 0
        return 2 * links.between_regions, self.fleet.region_price / BYTES_PER_MIB
