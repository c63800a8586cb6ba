"""Prompts and expected answers of the engine stand-in, shared with tests that check answers."""

import hashlib
import json
from typing import Any

TOKEN_BYTES = 4
BLOCK_TOKENS = 16
BLOCK_BYTES = TOKEN_BYTES * BLOCK_TOKENS
HASH_BYTES = 8
DIGEST_CHARACTERS = 16
DEFAULT_MAX_TOKENS = 16


def read_prompt(request: dict[str, Any]) -> bytes:
    """Return the prompt of a request: its text, or the role and content of each message."""
    messages = request.get('messages')
    if messages is not None:
        lines = [f'{message["role"]}: {message["content"]}' for message in messages]
        return '\n'.join(lines).encode()
    return str(request['prompt']).encode()


def count_tokens(prompt: bytes) -> int:
    """Return the number of tokens of a prompt: its bytes divided by 4, rounded up, at least 1."""
    return max(1, -(-len(prompt) // TOKEN_BYTES))


def hash_blocks(prompt: bytes) -> list[int]:
    """Return the chained 64-bit hashes of the complete 64-byte blocks of a prompt."""
    hashes = []
    last = b''
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = prompt[start : start + BLOCK_BYTES]
        last = hashlib.blake2b(last + block, digest_size=HASH_BYTES).digest()
        hashes.append(int.from_bytes(last, 'big'))
    return hashes


def make_digest(prompt: bytes) -> str:
    """Return the digest of a prompt, which every token of its answer contains."""
    return hashlib.sha256(prompt).hexdigest()[:DIGEST_CHARACTERS]


def make_token(digest: str, index: int) -> str:
    """Return the token of an answer at `index`."""
    return f'{digest}:{index} '


def expect_content(request: dict[str, Any]) -> str:
    """Return the content of the complete answer to a request."""
    digest = make_digest(read_prompt(request))
    count = request.get('max_tokens', DEFAULT_MAX_TOKENS)
    return ''.join(make_token(digest, index) for index in range(count))


def read_content(stream: bytes) -> str:
    """Return the content of a streamed answer; raise ValueError if its final event is missing."""
    events = stream.decode().split('\n\n')
    if events[-2:] != ['data: [DONE]', '']:
        raise ValueError('the stream does not end with the final event')
    content = ''
    for event in events[:-2]:
        choice = json.loads(event.removeprefix('data: '))['choices'][0]
        content += choice['text'] if 'text' in choice else choice['delta']['content']
    return content
