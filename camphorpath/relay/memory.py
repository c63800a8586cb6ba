"""Ends slow readers under memory pressure, and reports what the daemon buffers."""

from ..events import Event
from ..placement.engine_limits import pop_blocked
from .context import RelayContext

MS_PER_S = 1000
# Interval of the event that calls do not fit into engines.
BLOCKED_INTERVAL_S = 1.0


def relieve_memory(context: RelayContext, now: float) -> None:
    """End readers without progress while too much is buffered, and log what has changed."""
    if now >= context.blocked_reported_at + BLOCKED_INTERVAL_S:
        context.blocked_reported_at = now
        _report_blocked(context)
    ledger = context.memory
    was_under_pressure = ledger.is_under_pressure
    ledger.relieve()
    if ledger.is_under_pressure != was_under_pressure:
        event = (
            Event.MEMORY_PRESSURE_BEGUN if ledger.is_under_pressure else Event.MEMORY_PRESSURE_ENDED
        )
        by_kind = {kind.value: size for kind, size in ledger.count_by_kind().items()}
        context.events.emit(event, limit=round(ledger.bounds.buffered_bytes), **by_kind)
    for reader in ledger.pop_ended():
        context.metrics.ended_readers.inc(
            {'kind': reader.kind.value, 'reason': reader.end_reason.value}
        )
        context.events.emit(
            Event.SLOW_READER_ENDED,
            kind=reader.kind.value,
            reason=reader.end_reason.value,
            buffered=reader.buffered_bytes,
            idle_ms=round(reader.idle_s * MS_PER_S),
        )


def update_memory_metrics(context: RelayContext) -> None:
    """Set the metrics of the buffered bytes and of the tokens at upstreams."""
    engine_tokens = context.metrics.engine_tokens
    # Upstreams that were removed are left out.
    engine_tokens.values.clear()
    for upstream_id, slots in context.scheduler.slots.items():
        memory = slots.memory
        if memory.total_tokens:
            used = memory.held_tokens + memory.peer_tokens
            engine_tokens.set({'upstream': upstream_id}, round(used))
    for kind, size in context.memory.count_by_kind().items():
        context.metrics.buffered_bytes.set({'kind': kind.value}, size)


def _report_blocked(context: RelayContext) -> None:
    for service, tokens in pop_blocked(context.scheduler.slots.values()).items():
        context.events.emit(Event.ENGINE_MEMORY_FULL, service=service, tokens=round(tokens))
