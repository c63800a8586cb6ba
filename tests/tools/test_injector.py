import math

import anyio
import attrs
import pytest

from tools import injector
from tools.injector import Injector
from tools.schedule import Fault


@attrs.define
class FakeDeployment:
    upstreams: dict = attrs.field(factory=lambda: {'scribe-2': object()})
    drains: list = attrs.field(factory=list)

    async def set_upstream_faults(self, name, **faults):
        self.drains.append(faults['draining'])


@pytest.mark.anyio
async def test_a_drain_lasts_until_the_last_of_overlapping_ones_ends(monkeypatch):
    """Guards against a drain that ends early, with a mark for an upstream that takes work again."""
    monkeypatch.setattr(injector, 'LEAVE_EXTRA_S', 0)
    deployment = FakeDeployment()
    chaos = Injector(deployment, {}, [], str)
    first = Fault(0, 'drain', 'scribe-2', 0.02, 0)
    second = attrs.evolve(first, lasts_s=0.06)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(chaos._fault_upstream, first)
        tasks.start_soon(chaos._fault_upstream, second)
        await anyio.sleep(0.04)
        assert deployment.drains == [True, True]
        assert [leaving.until for leaving in chaos.list_leavings()] == [math.inf]
    assert deployment.drains == [True, True, False]
    assert len(chaos.list_leavings()) == 1
