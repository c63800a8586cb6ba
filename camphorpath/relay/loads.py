"""Applies the load that an upstream states in its answers."""

from ..events import Event, EventLog
from ..placement.pace import PaceStatement
from ..placement.slots import Slots
from .statements import read_load, read_pace

# Time for which a load that an upstream reported in an answer is used. An upstream that is full by
# its report gets no calls and so cannot report a newer load; after this time a call probes it.
# It must exceed the heartbeat interval of the daemons that accept calls, as their heartbeats report
# the slots that they use: 0.25 s, 1 s with 200 daemons.
LOAD_REPORT_TTL_S = 1.2


def apply_load(slots: Slots, text: bytes, now: float, events: EventLog) -> None:
    """Apply a load header that arrived at `now`; a pace that cannot be read is logged once."""
    load = read_load(text)
    if load is None:
        return
    slots.record_load(load, now, LOAD_REPORT_TTL_S)
    try:
        pace = read_pace(text)
    except ValueError as error:
        if not slots.pace.is_fault_logged:
            events.emit(Event.PACE_INVALID, '', slots.upstream.upstream_id, problem=str(error))
        slots.pace.is_fault_logged = True
        return
    if pace is not None:
        slots.pace.record(PaceStatement(pace, now))
