"""Client of the VM list."""

import anyio
import attrs
import httpx
import orjson

from ..errors import PlatformError
from ..events import Event, EventLog
from ..schema import camphorpath_pb2 as pb
from .records import Json, Vm

READ_TIMEOUT_S = 5.0
READ_ERRORS = (httpx.HTTPError, OSError, ValueError, TypeError, KeyError, AttributeError)
ROLES = frozenset(('entry', 'upstream'))
STATES = frozenset(('live', 'leaving'))


class VmList:
    """Reads the list of live and leaving VMs, which lags behind their actual state."""

    def __init__(
        self,
        settings: pb.Platform,
        events: EventLog,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Create the HTTP client; it connects at the first read."""
        self._settings = settings
        self._events = events
        self._is_stale = False
        self._client = httpx.AsyncClient(
            base_url=settings.vm_list_url,
            timeout=READ_TIMEOUT_S,
            transport=transport,
            trust_env=False,
        )

    async def read(self) -> list[Vm]:
        """Return the list; raise PlatformError if it cannot be read completely."""
        try:
            vms = await self._read()
        except READ_ERRORS as error:
            problem = f'cannot read the VM list: {error or type(error).__name__}'
            if not self._is_stale:
                self._events.emit(Event.VM_LIST_STALE, problem=problem)
            self._is_stale = True
            raise PlatformError(
                problem, step='GET /vms', peer=self._settings.vm_list_url
            ) from error
        self._is_stale = False
        return vms

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _read(self) -> list[Vm]:
        with anyio.fail_after(READ_TIMEOUT_S):
            response = await self._client.get('/vms')
        response.raise_for_status()
        return [_read_vm(document) for document in orjson.loads(response.content)['vms']]


def _read_vm(document: Json) -> Vm:
    # Unknown fields, which a newer platform may send, are ignored.
    names = {field.name for field in attrs.fields(Vm)}
    texts = {name: text for name, text in document.items() if name in names}
    if not all(isinstance(text, str) for text in texts.values()):
        raise TypeError('a field of a VM is not a string')
    vm = Vm(**texts)
    if vm.role not in ROLES or vm.state not in STATES:
        raise ValueError(f'VM {vm.name} has an unknown role or state: {vm.role!r}, {vm.state!r}')
    return vm
