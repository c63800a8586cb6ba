"""Request bodies: bounded reading, and what admission must know of a model call."""

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
# English prose has about four bytes to a token; only the order of magnitude matters here.
BYTES_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 256
BLOCK_BYTES = 1024
MAX_BLOCKS = 64
# Bytes per second; a slow mobile line carries several times as much.
MIN_BODY_RATE = 4096
# Token counts travel in 32 bits.
MAX_TOKENS = 0xFFFFFFFF
MAX_SHOWN = 80
HASH_BYTES = 8


class CallerLeft(Exception):
    """The caller closed its connection before its body was complete."""


@attrs.frozen
class ModelCall:
    """What the scheduler reads of a model call; token counts are estimates."""

    model: str
    streamed: bool
    prompt_tokens: int
    output_tokens: int
    prefix_blocks: list[int]


async def read_body(receive: Callable[[], Awaitable[dict]], limits: pb.Limits) -> bytes:
    """Return the whole body; raise Refusal if it is too large or too slow, CallerLeft if cut.

    Each part may take `read_timeout`, and the whole body as long again as it takes at
    MIN_BODY_RATE: single bytes sent now and then would otherwise hold a request for days.
    """
    body = bytearray()
    more = True
    began = anyio.current_time()
    while more:
        due = began + limits.read_timeout + len(body) / MIN_BODY_RATE
        message: dict | None = None
        with anyio.move_on_at(min(due, anyio.current_time() + limits.read_timeout)):
            message = await receive()
        if message is None:
            raise Refusal(
                'body_too_slow',
                f'the body stopped for {limits.read_timeout:g} s or came below '
                f'{MIN_BODY_RATE} bytes/s',
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


@contextlib.asynccontextmanager
async def discard_body(receive: Callable[[], Awaitable[dict]]) -> AsyncIterator[None]:
    """Read on while an answer is sent that does not need the rest of the body.

    The server hands the parts over through a short queue; when nobody reads it, both the server
    and the sender of the answer wait for ever.
    """

    async def discard() -> None:
        while (await receive())['type'] != 'http.disconnect':
            # A queue that is never empty does not let other tasks run.
            await anyio.lowlevel.checkpoint()

    fault: Exception | None = None
    async with anyio.create_task_group() as group:
        group.start_soon(discard)
        try:
            yield
        except Exception as error:
            # Raised outside of the group, which would wrap it.
            fault = error
        group.cancel_scope.cancel()
    if fault is not None:
        raise fault


def read_model_call(content_type: str, body: bytes) -> ModelCall:
    """Read the fields of a chat or completion call that admission needs; raise Refusal."""
    if content_type.partition(';')[0].strip().lower() != 'application/json':
        raise Refusal(
            'wrong_content_type',
            f'model calls need content-type application/json, not "{content_type[:MAX_SHOWN]}"',
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
        raise _refuse_body('"model" is missing or not a text')
    streamed = document.get('stream', False)
    if not isinstance(streamed, bool):
        raise _refuse_body('"stream" is not true or false')
    output_tokens = document.get('max_completion_tokens') or document.get('max_tokens')
    if output_tokens is None:
        output_tokens = DEFAULT_OUTPUT_TOKENS
    if not isinstance(output_tokens, int) or isinstance(output_tokens, bool) or output_tokens < 1:
        raise _refuse_body('"max_tokens" is not a positive whole number')
    prompt = _collect_prompt(document)
    return ModelCall(
        model=model,
        streamed=streamed,
        prompt_tokens=len(prompt) // BYTES_PER_TOKEN + 1,
        output_tokens=min(output_tokens, MAX_TOKENS),
        prefix_blocks=hash_blocks(prompt),
    )


def hash_blocks(prompt: bytes) -> list[int]:
    """Return one hash a block of the prompt; each covers the whole prefix up to its block."""
    running = hashlib.blake2b(digest_size=HASH_BYTES)
    blocks: list[int] = []
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        if len(blocks) == MAX_BLOCKS:
            break
        running.update(prompt[start : start + BLOCK_BYTES])
        blocks.append(int.from_bytes(running.digest(), 'big'))
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
