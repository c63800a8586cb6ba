"""Logs for which services calls begin or cease to leave the region of this daemon."""

from ..events import Event
from .context import RelayContext


def emit_egress_changes(context: RelayContext, now: float) -> None:
    """Emit an event for each change since the last time."""
    for change in context.scheduler.egress.pop_changes(now):
        context.events.emit(
            Event.CALLS_LEAVE_REGION if change.is_leaving else Event.CALLS_STAY_IN_REGION,
            service=change.service,
            calls=change.departures,
            regions=','.join(change.regions),
        )
