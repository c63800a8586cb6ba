"""Continuous batching of the engine stand-in: streams, prefix cache and step times."""

import asyncio
import json
import math
import random
import time
from collections import Counter, OrderedDict
from collections.abc import AsyncIterator
from typing import Any

import anyio
import attrs

from .faults import Faults
from .loads import LoadHistory
from .prompts import BLOCK_TOKENS, count_tokens, hash_blocks, make_digest, make_token

# Prefill is cut into parts of this size, between which all streams decode one token.
PREFILL_CHUNK_TOKENS = 512
MAX_CATCH_UP_S = 0.1
MAX_CACHE_EVENTS = 100_000
DONE_CHUNK = b'data: [DONE]\n\n'


@attrs.frozen
class EngineOptions:
    """Speed and memory of an engine; rates in tokens per second, `decode_rate` for a batch of 1."""

    prefill_rate: float = 4000.0
    decode_rate: float = 40.0
    batch_slowdown: float = 0.02
    speed: float = 1.0
    cache_blocks: int = 4096
    load_lag_s: float = 0
    events_lag_s: float = 0
    events_gap: float = 0
    resumable: bool = False
    keep_streams_s: float = 30.0
    models: str = ''
    load_s: float = 0
    orders_lag_s: float = 0
    seed: int = 1


@attrs.define
class Stream:
    """One request in the engine; `body` holds the bytes of its answer so far, if streamed."""

    stream_id: str
    request_id: str
    digest: str
    blocks: list[int]
    prompt_tokens: int
    max_tokens: int
    is_chat: bool
    is_streamed: bool
    model: str
    to_prefill: int = 0
    prefilled: int = 0
    produced: int = 0
    started: bool = False
    cancelled: bool = False
    ended_at: float = math.inf
    ends: list[int] = attrs.field(factory=list)
    body: bytearray = attrs.field(factory=bytearray)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def is_over(self) -> bool:
        """Return whether the engine has stopped working on the stream."""
        return self.ended_at < math.inf

    def append(self, chunk: bytes) -> None:
        """Add one event to the body."""
        self.body += chunk
        self.ends.append(len(self.body))
        self.signal()

    def signal(self) -> None:
        """Wake those who wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_over(self) -> None:
        """Return when the engine has stopped working on the stream."""
        while not self.is_over():
            await self._changed.wait()

    def is_cut(self, limit: int) -> bool:
        """Return whether an answer limited to `limit` events (-1: not limited) ends here."""
        return 0 <= limit <= len(self.ends)

    async def read(self, position: int, limit: int) -> AsyncIterator[bytes]:
        """Yield the body from byte `position`, at most up to the end of event `limit`."""
        while True:
            end = len(self.body)
            if self.is_cut(limit):
                end = self.ends[limit - 1] if limit else 0
            if position < end:
                yield bytes(self.body[position:end])
                position = end
                continue
            if self.is_cut(limit) or self.is_over():
                return
            await self._changed.wait()

    def make_chunk(self, content: str, finish: str | None = None) -> bytes:
        """Return one server-sent event with part of the answer."""
        choice: dict[str, Any] = {'index': 0, 'finish_reason': finish}
        if self.is_chat:
            choice['delta'] = {'content': content}
        else:
            choice['text'] = content
        kind = 'chat.completion.chunk' if self.is_chat else 'text_completion'
        event = {'id': self.stream_id, 'object': kind, 'model': self.model, 'choices': [choice]}
        return f'data: {json.dumps(event)}\n\n'.encode()

    def make_whole(self) -> bytes:
        """Return the plain answer."""
        content = ''.join(make_token(self.digest, index) for index in range(self.produced))
        choice: dict[str, Any] = {'index': 0, 'finish_reason': 'length'}
        if self.is_chat:
            choice['message'] = {'role': 'assistant', 'content': content}
        else:
            choice['text'] = content
        usage = {'prompt_tokens': self.prompt_tokens, 'completion_tokens': self.produced}
        kind = 'chat.completion' if self.is_chat else 'text_completion'
        found = {'id': self.stream_id, 'object': kind, 'model': self.model, 'usage': usage}
        return json.dumps({**found, 'choices': [choice]}).encode()


@attrs.define
class PrefixCache:
    """Hashed prompt blocks, least recently used first, and the events about them."""

    options: EngineOptions
    _random: random.Random
    _blocks: OrderedDict[int, None] = attrs.field(factory=OrderedDict)
    _events: list[tuple[float, dict[str, Any]]] = attrs.field(factory=list)
    _count: int = 0

    def count_cached(self, blocks: list[int]) -> int:
        """Return the number of leading blocks in the cache."""
        for index, block in enumerate(blocks):
            if block not in self._blocks:
                return index
        return len(blocks)

    def store(self, blocks: list[int]) -> None:
        """Store or renew blocks; removes the least recently used above the limit."""
        for block in blocks:
            if block not in self._blocks:
                self._record('stored', block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.options.cache_blocks:
            removed, _ = self._blocks.popitem(last=False)
            self._record('removed', removed)

    def read_events(self, after: int) -> list[dict[str, Any]]:
        """Return the events above `after` that are old enough to be published."""
        before = time.monotonic() - self.options.events_lag_s
        return [event for at, event in self._events if at <= before and event['number'] > after]

    def _record(self, kind: str, block: int) -> None:
        self._count += 1
        if self._random.random() < self.options.events_gap:
            return
        event = {'number': self._count, 'kind': kind, 'block': block}
        self._events.append((time.monotonic(), event))
        del self._events[:-MAX_CACHE_EVENTS]


@attrs.define
class Batch:
    """The streams of one engine and the loop that works on them; it admits all that arrive."""

    options: EngineOptions
    faults: Faults
    incarnation: str = ''
    streams: dict[str, Stream] = attrs.field(factory=dict)
    active: list[Stream] = attrs.field(factory=list)
    executions: Counter = attrs.field(factory=Counter)
    digests: Counter = attrs.field(factory=Counter)
    prefills: Counter = attrs.field(factory=Counter)
    counts: Counter = attrs.field(factory=Counter)
    cache: PrefixCache = attrs.field(init=False)
    loads: LoadHistory = attrs.field(init=False)
    _random: random.Random = attrs.field(init=False)
    _arrived: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self._random = random.Random(self.options.seed)
        self.restart()

    def restart(self) -> None:
        """Lose all streams and the cache and take a new incarnation, as after a crash."""
        for stream in self.active:
            self._end(stream)
            stream.cancelled = True
        self.active = []
        self.streams = {}
        self.incarnation = f'engine-{self._random.getrandbits(32):08x}'
        self.cache = PrefixCache(self.options, self._random)
        self.loads = LoadHistory(self.options.load_lag_s)
        self.record_load()

    def add(self, stream: Stream) -> None:
        """Admit a stream."""
        self._forget_old()
        self.streams[stream.stream_id] = stream
        self.active.append(stream)
        self.executions[stream.request_id] += 1
        self.digests[stream.digest] += 1
        self.counts['max_batch'] = max(self.counts['max_batch'], len(self.active))
        self.record_load()
        self._arrived.set()

    def cancel(self, stream: Stream) -> None:
        """Stop the work on a stream; its prefill is counted as wasted."""
        if stream.is_over():
            return
        stream.cancelled = True
        self.active.remove(stream)
        self.counts['cancelled'] += 1
        self.counts['tokens_prefilled_cancelled'] += stream.prefilled
        self._end(stream)

    def record_load(self) -> None:
        """Keep the present load for the reports."""
        running = [stream for stream in self.active if stream.started]
        self.loads.record(
            {
                'incarnation': self.incarnation,
                'draining': self.faults.draining,
                'running': len(running),
                'waiting': len(self.active) - len(running),
                'tokens': sum(stream.prompt_tokens + stream.max_tokens for stream in self.active),
            },
            stale=self.faults.load_stale,
        )

    async def run(self) -> None:
        """Work on the batch in steps until cancelled."""
        due = time.monotonic()
        while True:
            if not self.active:
                self._arrived = asyncio.Event()
                await self._arrived.wait()
                due = time.monotonic()
            await self.faults.wait_until(lambda faults: not faults.hang)
            # A process that was paused or hung does not make up for more than this time.
            due = max(due, time.monotonic() - MAX_CATCH_UP_S)
            prefilling = self._start_step()
            due += self._time_step(prefilling) * self.faults.slow / self.options.speed
            await anyio.sleep(max(due - time.monotonic(), 0))
            self._finish_step(prefilling)

    def _start_step(self) -> Stream | None:
        """Start all streams that wait; return the one to prefill in this step."""
        for stream in self.active:
            if not stream.started:
                self._start(stream)
        return next((other for other in self.active if other.to_prefill), None)

    def _time_step(self, prefilling: Stream | None) -> float:
        """Return the time of a step at speed 1 in seconds."""
        seconds: float = 0
        if prefilling is not None:
            tokens = min(prefilling.to_prefill, PREFILL_CHUNK_TOKENS)
            seconds += tokens / self.options.prefill_rate
        decoding = [other for other in self.active if not other.to_prefill]
        if decoding:
            growth = 1 + self.options.batch_slowdown * (len(decoding) - 1)
            seconds += growth / self.options.decode_rate
        return seconds

    def _start(self, stream: Stream) -> None:
        stream.started = True
        cached = self.cache.count_cached(stream.blocks) * BLOCK_TOKENS
        # The last token of a prompt is always computed, to produce the first of the answer.
        stream.to_prefill = max(stream.prompt_tokens - cached, 1)
        self.counts['tokens_cached'] += stream.prompt_tokens - stream.to_prefill
        self.record_load()

    def _finish_step(self, prefilling: Stream | None) -> None:
        decoding = [other for other in self.active if other.started and not other.to_prefill]
        if prefilling is not None and not prefilling.is_over():
            self._prefill(prefilling)
        for stream in decoding:
            self._decode(stream)

    def _prefill(self, stream: Stream) -> None:
        done = min(stream.to_prefill, PREFILL_CHUNK_TOKENS)
        stream.to_prefill -= done
        stream.prefilled += done
        self.counts['tokens_prefilled'] += done
        self.prefills[stream.request_id] += done
        if not stream.to_prefill:
            self.cache.store(stream.blocks)

    def _decode(self, stream: Stream) -> None:
        token = make_token(stream.digest, stream.produced)
        stream.produced += 1
        self.counts['tokens_decoded'] += 1
        is_last = stream.produced >= stream.max_tokens
        if stream.is_streamed:
            stream.append(stream.make_chunk(token, 'length' if is_last else None))
        if not is_last:
            return
        if stream.is_streamed:
            stream.append(DONE_CHUNK)
        self.active.remove(stream)
        self.counts['completed'] += 1
        self._end(stream)

    def _end(self, stream: Stream) -> None:
        stream.ended_at = time.monotonic()
        stream.signal()
        self.record_load()

    def _forget_old(self) -> None:
        before = time.monotonic() - self.options.keep_streams_s
        self.streams = {
            name: stream for name, stream in self.streams.items() if stream.ended_at > before
        }


def make_stream(name: str, request_id: str, prompt: bytes, **details: Any) -> Stream:
    """Return a stream for a prompt."""
    return Stream(
        name,
        request_id,
        make_digest(prompt),
        hash_blocks(prompt),
        count_tokens(prompt),
        **details,
    )
