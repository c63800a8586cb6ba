"""The whole path in one process works at all."""

import pytest

from standins.prompts import expect_content, read_content

from .support import make_chat

pytestmark = pytest.mark.anyio


async def test_calls_are_served_from_every_home(world):
    """Guards against a home that cannot reach the owner of a service in another daemon."""
    daemons = await world.start(3, engines=['e0', 'e1'], services=['s0'])
    for index, running in enumerate(daemons):
        answer = await world.chat(running)
        assert read_content(answer.content) == expect_content(make_chat())
        booked = await world.book(running, f'key-{index}')
        assert booked.status_code == 200, booked.text
    assert len(world.upstreams['s0'].history) == 3
