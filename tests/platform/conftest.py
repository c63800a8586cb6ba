import pytest

from camphorpath.events import EventLog
from camphorpath.platform import Table
from camphorpath.schema import camphorpath_pb2 as pb


@pytest.fixture
def settings(platform):
    return pb.Platform(
        table_url=platform.url,
        object_store_url=platform.url,
        vm_list_url=platform.url,
        table_timeout=5,
    )


@pytest.fixture
def events():
    return EventLog('a')


@pytest.fixture
async def table(settings, events):
    table = Table(settings, events)
    yield table
    await table.close()
