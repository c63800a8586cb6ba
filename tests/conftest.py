import anyio
import pytest

from standins.platform import Platform, serve_platform


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@pytest.fixture
async def platform(anyio_backend):
    """Serve the platform stand-in on an ephemeral loopback port; its address is `platform.url`."""
    with anyio.fail_after(60):
        async with serve_platform(Platform()) as served:
            yield served
