"""Reports on the shares of customers: to the log, to the metrics and from other daemons."""

from ..events import Event
from ..relay.context import RelayContext
from ..schema import camphorpath_pb2 as pb


def report_customers(relay: RelayContext, now: float) -> None:
    """Add what customers were served and refused to the metrics, and log who is above its share."""
    shares = relay.scheduler.customers
    for name, tokens, refusals in shares.take_counts():
        relay.metrics.customer_tokens.add({'customer': name}, tokens)
        relay.metrics.customer_refusals.add({'customer': name}, refusals)
    change = shares.take_change(now)
    if change is not None:
        event = Event.CUSTOMER_ABOVE_SHARE if change.is_above else Event.CUSTOMER_WITHIN_SHARE
        relay.events.emit(event, customer=change.customer, overuse=round(change.overuse, 2))


def apply_served(relay: RelayContext, heartbeat: pb.EdgeHeartbeat, now: float) -> None:
    """Apply the tokens that another daemon has served, by customer; log the first unusable ones."""
    is_known = relay.scheduler.customers.apply_report(
        heartbeat.incarnation, dict(heartbeat.served), now
    )
    if not is_known:
        relay.events.emit(
            Event.BAD_PEER, peer=heartbeat.incarnation, problem='unusable counts of served tokens'
        )
