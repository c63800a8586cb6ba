"""Ends slow readers under memory pressure, and reports what the daemon buffers."""

from ..events import Event
from .context import RelayContext

MS_PER_S = 1000


def relieve_memory(context: RelayContext) -> None:
    """End readers without progress while too much is buffered, and log what has changed."""
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
    """Set the metric of the buffered bytes."""
    for kind, size in context.memory.count_by_kind().items():
        context.metrics.buffered_bytes.set({'kind': kind.value}, size)
