"""Detection of upstreams that are much slower than the others of their pool."""

import statistics
from collections.abc import Sequence, Set

from .upstream import Upstream

SLOW_RATIO = 3
RESTORE_RATIO = 1.5
MIN_UPSTREAMS_PER_SLOW = 3  # at most one upstream in three may be marked as slow
PROBE_INTERVAL_S = 5


def measure_slowness(upstream: Upstream, now: float) -> float:
    """Return the ratio of measured to estimated time, over completed and running requests.

    The elapsed time of a running request is a lower bound. The upper quartile of these is used, so
    that one answer much longer than expected has no effect when many requests run.
    """
    ratios = sorted(
        (
            (now - running.granted_at) / running.work_s
            for running in upstream.running.values()
            if running.session is not None
        ),
        reverse=True,
    )
    running_ratio = ratios[len(ratios) // 4] if ratios else 0
    if not upstream.speed.samples:
        return max(1, running_ratio)
    return max(upstream.speed.factor, running_ratio)


def find_slow_changes(upstreams: Sequence[Upstream], now: float) -> list[Upstream]:
    """Return the upstreams of one pool to mark as slow or to restore; `is_slow` is not changed."""
    slowness = {upstream.name: measure_slowness(upstream, now) for upstream in upstreams}
    measured = {upstream.name for upstream in upstreams if upstream.speed.samples}
    changes = []
    slow_count = sum(upstream.is_slow for upstream in upstreams)
    slowest_first = sorted(upstreams, key=lambda upstream: -slowness[upstream.name])
    for upstream in slowest_first:
        ratio = _compare_with_others(upstream.name, slowness, measured)
        if upstream.is_slow and ratio < RESTORE_RATIO:
            changes.append(upstream)
        elif not upstream.is_slow and ratio >= SLOW_RATIO:
            if (slow_count + 1) * MIN_UPSTREAMS_PER_SLOW <= len(upstreams):
                slow_count += 1
                changes.append(upstream)
    return changes


def _compare_with_others(name: str, slowness: dict[str, float], measured: Set[str]) -> float:
    # Only upstreams that have completed requests are compared. With configured rates that are too
    # high, the others would make the first ones to complete a request look slow.
    others = [slowness[other] for other in measured if other != name]
    return slowness[name] / statistics.median(others) if others else 1
