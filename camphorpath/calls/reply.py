"""Sends the answer to one caller over ASGI."""

import contextlib
from collections.abc import Awaitable, Callable, Sequence

import anyio

from ..errors import Refusal
from ..upstreams import UpstreamAnswer
from .refusals import render_error_event, render_refusal

# Engines send one event per token and one that ends the stream.
EVENT_DATA_FIELD = b'data:'

# How long a refused caller may go on sending its body before the answer is ended.
REQUEST_DRAIN_TIMEOUT_S = 2


class AnswerAborted(Exception):
    """Raised out of the application to make the server close the connection abnormally.

    The end-of-body marker is then not sent, so that no client takes the answer for complete.
    """


class Reply:
    """The answer to one request; asserts that status and headers are sent only once."""

    def __init__(self, send: Callable[[dict], Awaitable[None]], request_id: str) -> None:
        """Send messages through the ASGI callable `send`."""

        async def send_if_open(message: dict) -> None:
            # A lost connection is reported by `http.disconnect` as well, which ends the call.
            with contextlib.suppress(OSError):
                await send(message)

        self._send = send_if_open
        self.request_id = request_id
        self.started = False
        # True once the last part was passed to the server.
        self.is_complete = False
        self.sent_bytes = 0
        self.part_count = 0
        self.event_count = 0

    async def send_headers(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send the status and the headers, including the request id."""
        assert not self.started, f'headers of {self.request_id} sent twice'
        self.started = True
        encoded = [
            (name.lower().encode('latin-1'), text.encode('latin-1')) for name, text in headers
        ]
        encoded.append((b'camphorpath-request-id', self.request_id.encode()))
        await self._send({'type': 'http.response.start', 'status': status, 'headers': encoded})

    async def send_part(self, part: bytes, *, more: bool = True) -> None:
        """Send a part of the body; `more` is False for the last one."""
        self.sent_bytes += len(part)
        self.part_count += 1
        # Set before the send, because the server reports a disconnect as soon as the answer ends.
        self.is_complete = self.is_complete or not more
        await self._send({'type': 'http.response.body', 'body': part, 'more_body': more})

    async def send_whole(
        self, status: int, headers: Sequence[tuple[str, str]], body: bytes
    ) -> None:
        """Send a complete answer."""
        other_headers = [pair for pair in headers if pair[0].lower() != 'content-length']
        await self.send_headers(status, [*other_headers, ('content-length', str(len(body)))])
        await self.send_part(body, more=False)

    async def relay_stream(self, answer: UpstreamAnswer) -> None:
        """Relay a stream chunk by chunk; raise Truncated before the end marker if it is cut off."""
        await self.send_headers(answer.status, answer.headers)
        async for chunk in answer.chunks():
            self.event_count += chunk.count(EVENT_DATA_FIELD)
            await self.send_part(chunk)
        await self.send_part(b'', more=False)

    async def refuse(
        self,
        refusal: Refusal,
        addresses: Sequence[dict[str, str]] = (),
        body_ended: anyio.Event | None = None,
    ) -> None:
        """Send a refusal.

        If the headers were already sent, send an error event and raise AnswerAborted, so that the
        stream does not look complete.

        Otherwise wait for `body_ended`, up to REQUEST_DRAIN_TIMEOUT_S, before ending the answer.
        When the answer ends, the server closes the connection, and the kernel resets a
        connection that is closed with unread data, so that the caller may never read the refusal.
        """
        if self.started:
            await self.send_part(render_error_event(refusal, self.request_id))
            raise AnswerAborted
        self.started = True
        rendered = render_refusal(refusal, self.request_id, addresses)
        await self._send(
            {
                'type': 'http.response.start',
                'status': rendered.status,
                'headers': rendered.headers,
            }
        )
        await self.send_part(rendered.body)
        if body_ended is not None:
            with anyio.move_on_after(REQUEST_DRAIN_TIMEOUT_S):
                await body_ended.wait()
        await self.send_part(b'', more=False)
