"""The answer to one caller over ASGI."""

import contextlib
from collections.abc import Awaitable, Callable, Sequence

from ..errors import Refusal
from ..upstreams import UpstreamAnswer
from .refusals import render_error_event, render_refusal

# Engines send one event for each token, and one that ends the stream.
EVENT_MARK = b'data:'


class AnswerBroken(Exception):
    """Raised out of the application so that the server closes the connection abnormally.

    The end-of-body marker is then never sent and no client takes the answer for complete.
    """


class Reply:
    """One answer; it holds that exactly one head is sent."""

    def __init__(self, send: Callable[[dict], Awaitable[None]], request_id: str) -> None:
        """Answer through the ASGI callable `send`."""

        async def send_if_open(message: dict) -> None:
            # The server reports a lost caller as `http.disconnect`, which ends the call.
            with contextlib.suppress(OSError):
                await send(message)

        self._send = send_if_open
        self.request_id = request_id
        self.started = False
        # Set when the last part is handed to the server.
        self.is_complete = False
        self.sent_bytes = 0
        self.parts = 0
        self.events = 0

    async def send_head(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send the status and the headers, with the request id."""
        assert not self.started, f'second head for {self.request_id}'
        self.started = True
        encoded = [
            (name.lower().encode('latin-1'), text.encode('latin-1')) for name, text in headers
        ]
        encoded.append((b'camphorpath-request-id', self.request_id.encode()))
        await self._send({'type': 'http.response.start', 'status': status, 'headers': encoded})

    async def send_part(self, part: bytes, *, more: bool = True) -> None:
        """Send a part of the body; `more` is False for the last one."""
        self.sent_bytes += len(part)
        self.parts += 1
        # Set before the send: the server reports a disconnect as soon as the answer has ended.
        self.is_complete = self.is_complete or not more
        await self._send({'type': 'http.response.body', 'body': part, 'more_body': more})

    async def send_whole(
        self, status: int, headers: Sequence[tuple[str, str]], body: bytes
    ) -> None:
        """Send a complete answer."""
        kept = [pair for pair in headers if pair[0].lower() != 'content-length']
        await self.send_head(status, [*kept, ('content-length', str(len(body)))])
        await self.send_part(body, more=False)

    async def relay_stream(self, answer: UpstreamAnswer) -> None:
        """Pass on a stream chunk by chunk; Truncated comes through before the end marker."""
        await self.send_head(answer.status, answer.headers)
        async for chunk in answer.chunks():
            self.events += chunk.count(EVENT_MARK)
            await self.send_part(chunk)
        await self.send_part(b'', more=False)

    async def refuse(self, refusal: Refusal, addresses: Sequence[dict[str, str]] = ()) -> None:
        """Send a refusal; after the head, end the stream so that it cannot look complete."""
        if self.started:
            await self.send_part(render_error_event(refusal, self.request_id))
            raise AnswerBroken
        self.started = True
        rendered = render_refusal(refusal, self.request_id, addresses)
        await self._send(
            {
                'type': 'http.response.start',
                'status': rendered.status,
                'headers': rendered.headers,
            }
        )
        await self.send_part(rendered.body, more=False)
