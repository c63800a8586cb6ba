import sys

import anyio
import httpx
import orjson
import pytest

from camphorpath.errors import PlatformError
from camphorpath.platform import ObjectStore, Vm, VmList
from camphorpath.schema import camphorpath_pb2 as pb
from standins.platform import Platform

pytestmark = pytest.mark.anyio


async def test_objects_are_stored_unchanged(platform, settings, events):
    """Guards against a recorded answer that is altered in the object store."""
    objects = ObjectStore(settings, events)
    body = bytes(range(256)) * 1024
    assert await objects.get('answers/1') is None
    await objects.put('answers/1', body)
    assert await objects.get('answers/1') == body
    platform.change_faults(objects_down=True)
    with pytest.raises(PlatformError):
        await objects.get('answers/1')
    await objects.close()


async def test_vm_list_lags(events):
    """Guards against a stand-in whose VM list lags less than that of the platform."""
    now = [100.0]
    platform = Platform(clock=lambda: now[0])
    transport = httpx.ASGITransport(platform)
    vms = VmList(pb.Platform(vm_list_url='http://platform'), events, transport)
    platform.change_faults(vm_lag_s=10)
    platform.replace_vms([{'name': 'a', 'role': 'entry', 'address': '127.0.0.1:1', 'extra': 1}])
    assert await vms.read() == []
    now[0] += 10
    assert await vms.read() == [Vm('a', 'entry', '127.0.0.1:1')]


async def test_unreadable_vm_list_raises_and_emits_one_event(platform, settings, events):
    """Guards against a VM of unknown role that is used as an upstream, and repeated log lines."""
    vms = VmList(settings, events)
    platform.replace_vms([{'name': 'a', 'role': 'other', 'address': '127.0.0.1:1'}])
    for _ in range(2):
        with pytest.raises(PlatformError):
            await vms.read()
    assert len(events.select(pb.TimelineRequest())) == 1
    await vms.close()


async def test_script_reports_its_port_and_accepts_faults():
    """Guards against a stand-in that tools cannot start, control or stop."""
    command = [sys.executable, '-m', 'standins.platform', '--port', '0', '--seed', '3']
    async with await anyio.open_process(command, stderr=None) as process:
        word, port = (await process.stdout.receive()).split()
        assert word == b'ready'
        async with httpx.AsyncClient(base_url=f'http://127.0.0.1:{int(port)}') as client:
            answer = await client.post('/admin/faults', json={'down': True})
            assert answer.json()['down']
            answer = await client.post('/v3/kv/range', json={'key': 'YQ=='})
            assert (answer.status_code, answer.json()['applied']) == (503, False)
            assert (await client.get('/admin/counters')).json()['reads'] == 1
            assert (await client.post('/admin/faults', json={'no': 1})).status_code == 400
        process.terminate()
        assert await process.wait() == 0


DEEP = b'[' * 1020 + b']' * 1020
VALID_VM = {'name': 'a', 'role': 'entry', 'address': '127.0.0.1:1'}


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'{"vms": 5}',
        b'{"vms": [5]}',
        b'{"vms": [null]}',
        b'{"vms": [{"name": "a"}]}',
        b'{"vms": [%s]}' % DEEP,
        b'[' * 100_000,
        orjson.dumps({'vms': [{**VALID_VM, 'address': 5}]}),
        orjson.dumps({'vms': [{**VALID_VM, 'state': []}]}),
        orjson.dumps({'vms': [{**VALID_VM, 'zone': 1e300}]}),
    ],
)
async def test_odd_vm_list_is_a_platform_error(events, body):
    """Guards against an odd entry of the VM list that ends the daemon that reads it."""
    transport = httpx.MockTransport(lambda request: httpx.Response(200, content=body))
    vms = VmList(pb.Platform(vm_list_url='http://platform'), events, transport)
    with pytest.raises(PlatformError):
        await vms.read()
    await vms.close()
