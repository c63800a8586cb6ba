"""What may be called, by whom and where: the decoded manifest and the upstreams."""

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
