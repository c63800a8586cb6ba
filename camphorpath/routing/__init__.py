"""The decoded manifest (routes, services, customers, limits) and the registered upstreams."""

from .records import CallerLimits, CallKind, Customer, Route, Service, Upstream
from .table import RoutingTable
from .upstreams import UpstreamView

__all__ = (
    'CallKind',
    'CallerLimits',
    'Customer',
    'Route',
    'RoutingTable',
    'Service',
    'Upstream',
    'UpstreamView',
)
