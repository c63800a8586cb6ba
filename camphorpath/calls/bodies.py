"""Reads request bodies within limits, and the fields of model calls that admission needs."""

import contextlib
import hashlib
import json
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import anyio.lowlevel
import attrs

from ..errors import Refusal
from ..schema import camphorpath_pb2 as pb

STATUS_BAD_REQUEST = 400
STATUS_TIMEOUT = 408
STATUS_TOO_LARGE = 413
STATUS_WRONG_TYPE = 415
# English prose has about four bytes per token; the estimate only needs the order of magnitude.
BYTES_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 256
PREFIX_BLOCK_BYTES = 1024
MAX_PREFIX_BLOCK_COUNT = 64
# A slow mobile connection is several times as fast.
MIN_BODY_BYTES_PER_S = 4096
# Token counts are 32-bit fields of the messages between daemons.
MAX_TOKENS = 0xFFFFFFFF
MAX_SHOWN_CHARACTERS = 80
HASH_BYTES = 8


class CallerLeft(Exception):
    """The caller closed its connection before its request was complete or answered."""


@attrs.frozen
class ModelCall:
    """The fields of a model call that scheduling needs.

    `prompt_tokens` is an estimate, `output_tokens` the limit that the caller set or a default.
    `prefix_blocks` has one hash for each block of the prompt.
    """

    model: str
    streamed: bool
    prompt_tokens: int
    output_tokens: int
    prefix_blocks: list[int]


async def read_body(receive: Callable[[], Awaitable[dict]], limits: pb.Limits) -> bytes:
    """Return the complete body.

    Raises Refusal if the body is too large or too slow, CallerLeft if the caller disconnects.

    Each wait for a part is limited to `read_timeout`. The whole body is limited to `read_timeout`
    plus the time that the received bytes take at MIN_BODY_BYTES_PER_S; otherwise a caller that
    sends single bytes now and then could hold a request for days.
    """
    body = bytearray()
    more = True
    started_at = anyio.current_time()
    while more:
        due_at = started_at + limits.read_timeout + len(body) / MIN_BODY_BYTES_PER_S
        message: dict | None = None
        with anyio.move_on_at(min(due_at, anyio.current_time() + limits.read_timeout)):
            message = await receive()
        if message is None:
            raise Refusal(
                'body_too_slow',
                f'no part of the body for {limits.read_timeout:g} s, or fewer than '
                f'{MIN_BODY_BYTES_PER_S} bytes/s on average',
                status=STATUS_TIMEOUT,
            )
        if message['type'] == 'http.disconnect':
            raise CallerLeft
        body += message.get('body', b'')
        if len(body) > limits.max_body:
            raise Refusal(
                'body_too_large',
                f'the body has more than {limits.max_body} bytes',
                status=STATUS_TOO_LARGE,
            )
        more = message.get('more_body', False)
    return bytes(body)


class RequestReceiver:
    """Wraps the ASGI callable `receive` of a request; sets `body_ended` at the end of the body."""

    def __init__(self, receive: Callable[[], Awaitable[dict]]) -> None:
        """Pass on the messages of `receive`."""
        self._receive = receive
        self.body_ended = anyio.Event()

    async def __call__(self) -> dict:
        """Return the next message."""
        message = await self._receive()
        if message['type'] == 'http.disconnect' or not message.get('more_body', False):
            self.body_ended.set()
        return message


@contextlib.asynccontextmanager
async def discard_body(receive: Callable[[], Awaitable[dict]]) -> AsyncIterator[None]:
    """Read and discard the rest of the request body while an answer is sent.

    The HTTP server passes body parts through a short queue. If nothing reads from it, the server
    and the task that sends the answer block each other for ever.
    """

    async def discard() -> None:
        while (await receive())['type'] != 'http.disconnect':
            # While the queue is never empty, receive() returns without letting other tasks run.
            await anyio.lowlevel.checkpoint()

    failure: Exception | None = None
    async with anyio.create_task_group() as group:
        group.start_soon(discard)
        try:
            yield
        except Exception as error:
            # Raised after the task group, which would wrap it in an exception group.
            failure = error
        group.cancel_scope.cancel()
    if failure is not None:
        raise failure


def read_model_call(content_type: str, body: bytes) -> ModelCall:
    """Return the fields of a chat or completion call; raise Refusal if the body is not valid."""
    if content_type.partition(';')[0].strip().lower() != 'application/json':
        raise Refusal(
            'wrong_content_type',
            f'model calls need content-type application/json, not '
            f'"{content_type[:MAX_SHOWN_CHARACTERS]}"',
            status=STATUS_WRONG_TYPE,
        )
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        raise _refuse_body('the body is not valid JSON') from None
    if not isinstance(document, dict):
        raise _refuse_body('the body is not a JSON object')
    model = document.get('model')
    if not isinstance(model, str):
        raise _refuse_body('"model" is missing or not a string')
    streamed = document.get('stream', False)
    if not isinstance(streamed, bool):
        raise _refuse_body('"stream" is not true or false')
    output_tokens = document.get('max_completion_tokens') or document.get('max_tokens')
    if output_tokens is None:
        output_tokens = DEFAULT_OUTPUT_TOKENS
    if not isinstance(output_tokens, int) or isinstance(output_tokens, bool) or output_tokens < 1:
        raise _refuse_body('"max_tokens" is not a positive integer')
    prompt = _collect_prompt(document)
    return ModelCall(
        model=model,
        streamed=streamed,
        prompt_tokens=len(prompt) // BYTES_PER_TOKEN + 1,
        output_tokens=min(output_tokens, MAX_TOKENS),
        prefix_blocks=hash_prefix_blocks(prompt),
    )


def hash_prefix_blocks(prompt: bytes) -> list[int]:
    """Return one hash for each full block of the prompt, over the prefix that ends with it."""
    prefix_hash = hashlib.blake2b(digest_size=HASH_BYTES)
    blocks: list[int] = []
    for start in range(0, len(prompt) - PREFIX_BLOCK_BYTES + 1, PREFIX_BLOCK_BYTES):
        if len(blocks) == MAX_PREFIX_BLOCK_COUNT:
            break
        prefix_hash.update(prompt[start : start + PREFIX_BLOCK_BYTES])
        blocks.append(int.from_bytes(prefix_hash.digest(), 'big'))
    return blocks


def _collect_prompt(document: dict) -> bytes:
    messages = document.get('messages')
    if messages is None:
        prompt = document.get('prompt')
        if prompt is None:
            raise _refuse_body('"messages" or "prompt" is missing')
        text = prompt if isinstance(prompt, str) else json.dumps(prompt)
        return text.encode('utf-8', 'surrogatepass')
    if not isinstance(messages, list):
        raise _refuse_body('"messages" is not a list')
    return ''.join(
        f'{message.get("role")}\0{message.get("content")}\0'
        if isinstance(message, dict)
        else json.dumps(message)
        for message in messages
    ).encode('utf-8', 'surrogatepass')


def _refuse_body(problem: str) -> Refusal:
    return Refusal('bad_body', problem, status=STATUS_BAD_REQUEST, step='accept')
