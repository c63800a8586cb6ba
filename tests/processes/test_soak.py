"""Short seeded runs of real daemons; longer ones are started by hand."""

import pytest

from .soak import Plan, run

pytestmark = pytest.mark.anyio

DURATION_S = 8.0


@pytest.mark.parametrize('seed', [1, 2])
async def test_callers_get_whole_streams_in_order_under_troubles(seed, tmp_path):
    plan = Plan(
        seed=seed,
        duration_s=DURATION_S,
        daemon_count=3,
        caller_count=12,
        trouble_interval_s=0.6,
        has_version_changes=False,
        timeout_ms=8000,
        has_second_kind=False,
        has_overlapping_releases=False,
        has_route_changes=False,
        has_late_entries=False,
    )
    outcome = await run(plan, tmp_path)
    assert outcome.faults == []
    assert any(stream.is_complete for stream in outcome.streams)
    assert any(booking.status == 200 for booking in outcome.bookings)
