"""Addresses and starts of the daemons of a run."""

import random

import pytest

from . import fleet as fleets
from .fleet import open_fleet, reserve_net

pytestmark = pytest.mark.anyio


def test_concurrent_fleets_have_addresses_of_their_own(monkeypatch):
    """Guards against daemons that cannot listen as those of another test run use their ports."""
    seed = random.SystemRandom().random()
    monkeypatch.setattr(fleets, 'ADDRESSES', random.Random(seed))
    with reserve_net() as first:
        monkeypatch.setattr(fleets, 'ADDRESSES', random.Random(seed))
        with reserve_net() as second:
            assert first != second


async def test_daemon_that_ends_at_its_start_is_reported():
    """Guards against a wait for a process that has ended, which looks like a slow start."""
    async with open_fleet(1) as fleet:
        fleet.daemons[0].settings_path.write_text('{}')
        await fleet.daemons[0].start()
        with pytest.raises(AssertionError, match='edge-a-0 ended by itself with'):
            await fleet.wait_ready(fleet.daemons)
