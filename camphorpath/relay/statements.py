"""Reads what upstreams state about themselves in the headers of their answers."""

import math
import re

from ..placement.pace import is_plausible
from .headers import Headers, find_header

STATUS_UNAVAILABLE = 503
RETRY_AFTER = b'retry-after'
# Higher rates count as not stated; sums of them must stay finite.
MAX_RATE_PER_S = 1e6
# Running and waiting calls; longer numbers count as not stated.
LOAD = re.compile(rb'([0-9]{1,6}),([0-9]{1,6})(?:,|$)')
# The fourth figure of the same header, and what it states for work that takes as long as usual.
PACE_INDEX = 3
USUAL_PACE = 100
PACE = re.compile(rb'[0-9]{1,6}(?:\.[0-9]{1,6})?')
MAX_SHOWN_BYTES = 20


def read_load(text: bytes) -> int | None:
    """Return the number of running and waiting calls in a load header; None if it has none."""
    found = LOAD.match(text)
    return None if found is None else int(found.group(1)) + int(found.group(2))


def read_pace(text: bytes) -> float | None:
    """Return the pace in a load header, 1 for work that takes as long as usual; None without one.

    Raises ValueError if the figure is no number or out of range.
    """
    figures = text.split(b',')
    if len(figures) <= PACE_INDEX:
        return None
    figure = figures[PACE_INDEX].strip()
    pace = float(figure) / USUAL_PACE if PACE.fullmatch(figure) else 0
    if not is_plausible(pace):
        raise ValueError(f'not a pace: {figure[:MAX_SHOWN_BYTES]!r}')
    return pace


def read_rate(text: bytes) -> float | None:
    """Return the requests per second in a rate limit header; None if it has no valid rate."""
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if 0 <= rate <= MAX_RATE_PER_S else None


def read_backoff(status: int, headers: Headers) -> float:
    """Return the seconds for which an upstream asks for no calls; 0 if it does not ask."""
    if status != STATUS_UNAVAILABLE:
        return 0
    try:
        seconds = float(find_header(headers, RETRY_AFTER) or 0)
    except ValueError:
        # Dates are ignored; the deployments send seconds.
        return 0
    return seconds if math.isfinite(seconds) else 0
