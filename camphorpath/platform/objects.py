"""Client of the object store."""

import anyio
import httpx

from ..errors import PlatformError
from ..events import EventLog
from ..schema import camphorpath_pb2 as pb

# Allows for a slow transfer of an object as large as the largest answer.
TRANSFER_TIMEOUT_S = 10.0


class ObjectStore:
    """Reads and writes objects by name; the part of a name before the first slash is the bucket."""

    def __init__(
        self,
        settings: pb.Platform,
        events: EventLog,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Create the HTTP client; it connects at the first operation."""
        self._settings = settings
        self._events = events
        self._client = httpx.AsyncClient(
            base_url=settings.object_store_url,
            timeout=TRANSFER_TIMEOUT_S,
            transport=transport,
            trust_env=False,
        )

    async def get(self, name: str) -> bytes | None:
        """Return the object, or None if it does not exist; raise PlatformError."""
        response = await self._send('GET', name)
        if response.status_code == httpx.codes.NOT_FOUND:
            return None
        return self._expect_success(response).content

    async def put(self, name: str, data: bytes) -> None:
        """Store the object; raise PlatformError, after which it may or may not have been stored."""
        self._expect_success(await self._send('PUT', name, data))

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _send(self, method: str, name: str, body: bytes | None = None) -> httpx.Response:
        try:
            with anyio.fail_after(TRANSFER_TIMEOUT_S):
                return await self._client.request(method, f'/{name}', content=body)
        except (httpx.HTTPError, OSError, TimeoutError) as error:
            problem = f'no answer from the object store: {type(error).__name__}'
            raise PlatformError(
                problem, step=f'{method} {name}', peer=self._settings.object_store_url
            ) from error

    def _expect_success(self, response: httpx.Response) -> httpx.Response:
        if response.is_success:
            return response
        raise PlatformError(
            f'the object store answered with status {response.status_code}',
            step=response.request.method,
            peer=self._settings.object_store_url,
        )
