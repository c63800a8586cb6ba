"""The time without an event after which a stream counts as stalled.

To tell a slow engine from one that hangs, the time depends on the limits of the route and its
callers and on the gaps between events that the stream has had, instead of being fixed.
"""

import math

from ..routing import Route

# Callers give up a stream without an event after this many objectives, this many event gaps of the
# route, or this time, whichever is longest.
CALLER_TIMEOUT_OBJECTIVES = 4
CALLER_TIMEOUT_GAPS = 8
MIN_CALLER_TIMEOUT_S = 2.0
# Part of the caller's timeout after which the stream is resumed at another upstream; the rest is
# for the first event there.
STALL_TIMEOUT_SHARE = 0.6
# A later event gap of a stream may be this many times as long as its longest one so far.
MAX_GAP_GROWTH = 2


def get_stall_timeout(route: Route, longest_event_gap_s: float) -> float:
    """Return the seconds without an event after which to resume a stream elsewhere."""
    caller_timeout_s = max(CALLER_TIMEOUT_OBJECTIVES * route.objective_s, MIN_CALLER_TIMEOUT_S)
    if math.isfinite(route.max_event_gap_s):
        caller_timeout_s = max(caller_timeout_s, CALLER_TIMEOUT_GAPS * route.max_event_gap_s)
    return min(
        max(STALL_TIMEOUT_SHARE * caller_timeout_s, MAX_GAP_GROWTH * longest_event_gap_s),
        caller_timeout_s,
    )
