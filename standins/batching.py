"""Simulated continuous batching of the engine stand-in: streams, prefix cache, step times."""

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
from .prompts import BLOCK_TOKENS, count_tokens, hash_blocks, make_digest, make_token
from .report_history import ReportHistory

# Prefill is split into chunks of this size; in each step all other streams decode one token.
PREFILL_CHUNK_TOKENS = 512
MAX_CATCH_UP_S = 0.1
MAX_CACHE_EVENTS = 100_000
FINAL_EVENT = b'data: [DONE]\n\n'


@attrs.frozen
class EngineOptions:
    """Options of an engine; rates are in tokens per second, `decode_rate` is for a batch of 1.

    `events_gap` is the share of cache events that are omitted, `keep_streams_s` how long an ended
    stream can be resumed, `load_s` how long loading an artifact takes.
    """

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
    """One request in the engine; `body` holds the bytes of a streamed answer so far.

    `event_ends` are the positions in `body` after each event.
    """

    stream_id: str
    request_id: str
    digest: str
    blocks: list[int]
    prompt_tokens: int
    max_tokens: int
    is_chat: bool
    is_streamed: bool
    model: str
    tokens_to_prefill: int = 0
    prefilled_tokens: int = 0
    produced_tokens: int = 0
    started: bool = False
    cancelled: bool = False
    ended_at: float = math.inf
    event_ends: list[int] = attrs.field(factory=list)
    body: bytearray = attrs.field(factory=bytearray)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def has_ended(self) -> bool:
        """Return whether the engine no longer works on the stream."""
        return self.ended_at < math.inf

    def append(self, chunk: bytes) -> None:
        """Append one event to the body."""
        self.body += chunk
        self.event_ends.append(len(self.body))
        self.signal()

    def signal(self) -> None:
        """Wake the tasks that wait for a change of the stream."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_ended(self) -> None:
        """Return when the engine no longer works on the stream."""
        while not self.has_ended():
            await self._changed.wait()

    def reaches_limit(self, limit: int) -> bool:
        """Return whether the body has at least `limit` events; False for -1 (no limit)."""
        return 0 <= limit <= len(self.event_ends)

    async def read(self, position: int, limit: int) -> AsyncIterator[bytes]:
        """Yield the body from byte `position`, at most up to the end of event `limit`."""
        while True:
            end = len(self.body)
            if self.reaches_limit(limit):
                end = self.event_ends[limit - 1] if limit else 0
            if position < end:
                yield bytes(self.body[position:end])
                position = end
                continue
            if self.reaches_limit(limit) or self.has_ended():
                return
            await self._changed.wait()

    def make_chunk(self, content: str, finish_reason: str | None = None) -> bytes:
        """Return a server-sent event with a part of the answer."""
        choice: dict[str, Any] = {'index': 0, 'finish_reason': finish_reason}
        if self.is_chat:
            choice['delta'] = {'content': content}
        else:
            choice['text'] = content
        kind = 'chat.completion.chunk' if self.is_chat else 'text_completion'
        event = {'id': self.stream_id, 'object': kind, 'model': self.model, 'choices': [choice]}
        return f'data: {json.dumps(event)}\n\n'.encode()

    def make_json_answer(self) -> bytes:
        """Return the complete answer as a JSON document."""
        content = ''.join(make_token(self.digest, index) for index in range(self.produced_tokens))
        choice: dict[str, Any] = {'index': 0, 'finish_reason': 'length'}
        if self.is_chat:
            choice['message'] = {'role': 'assistant', 'content': content}
        else:
            choice['text'] = content
        usage = {'prompt_tokens': self.prompt_tokens, 'completion_tokens': self.produced_tokens}
        kind = 'chat.completion' if self.is_chat else 'text_completion'
        answer = {'id': self.stream_id, 'object': kind, 'model': self.model, 'usage': usage}
        return json.dumps({**answer, 'choices': [choice]}).encode()


@attrs.define
class PrefixCache:
    """Hashes of cached prompt blocks, least recently used first, and the cache events."""

    options: EngineOptions
    _random: random.Random
    _blocks: OrderedDict[int, None] = attrs.field(factory=OrderedDict)
    _events: list[tuple[float, dict[str, Any]]] = attrs.field(factory=list)
    _event_count: int = 0

    def count_cached(self, blocks: list[int]) -> int:
        """Return the number of leading blocks in the cache."""
        for index, block in enumerate(blocks):
            if block not in self._blocks:
                return index
        return len(blocks)

    def store(self, blocks: list[int]) -> None:
        """Store blocks or mark them as used; evict the least recently used ones above the limit."""
        for block in blocks:
            if block not in self._blocks:
                self._record('stored', block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.options.cache_blocks:
            removed, _ = self._blocks.popitem(last=False)
            self._record('removed', removed)

    def read_events(self, after: int) -> list[dict[str, Any]]:
        """Return the events numbered above `after` that are at least `events_lag_s` old."""
        cutoff = time.monotonic() - self.options.events_lag_s
        return [event for at, event in self._events if at <= cutoff and event['number'] > after]

    def _record(self, kind: str, block: int) -> None:
        self._event_count += 1
        if self._random.random() < self.options.events_gap:
            return
        event = {'number': self._event_count, 'kind': kind, 'block': block}
        self._events.append((time.monotonic(), event))
        del self._events[:-MAX_CACHE_EVENTS]


@attrs.define
class Batch:
    """The streams of one engine and the loop that processes them; every stream is admitted."""

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
    load_reports: ReportHistory = attrs.field(init=False)
    _random: random.Random = attrs.field(init=False)
    _stream_added: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self._random = random.Random(self.options.seed)
        self.restart()

    def restart(self) -> None:
        """Discard all streams and the cache and start a new incarnation, as after a crash."""
        for stream in self.active:
            self._end(stream)
            stream.cancelled = True
        self.active = []
        self.streams = {}
        self.incarnation = f'engine-{self._random.getrandbits(32):08x}'
        self.cache = PrefixCache(self.options, self._random)
        self.load_reports = ReportHistory(self.options.load_lag_s)
        self.record_load()

    def add(self, stream: Stream) -> None:
        """Admit a stream."""
        self._evict_ended_streams()
        self.streams[stream.stream_id] = stream
        self.active.append(stream)
        self.executions[stream.request_id] += 1
        self.digests[stream.digest] += 1
        self.counts['max_batch'] = max(self.counts['max_batch'], len(self.active))
        self.record_load()
        self._stream_added.set()

    def cancel(self, stream: Stream) -> None:
        """Cancel a stream; its prefilled tokens are counted as cancelled."""
        if stream.has_ended():
            return
        stream.cancelled = True
        self.active.remove(stream)
        self.counts['cancelled'] += 1
        self.counts['tokens_prefilled_cancelled'] += stream.prefilled_tokens
        self._end(stream)

    def record_load(self) -> None:
        """Record the current load for the load reports."""
        running = [stream for stream in self.active if stream.started]
        self.load_reports.record(
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
        """Process the batch in steps until cancelled."""
        due = time.monotonic()
        while True:
            if not self.active:
                self._stream_added = asyncio.Event()
                await self._stream_added.wait()
                due = time.monotonic()
            await self.faults.wait_until(lambda faults: not faults.hang)
            # A process that was suspended or hung catches up on at most this time.
            due = max(due, time.monotonic() - MAX_CATCH_UP_S)
            prefilling = self._start_step()
            due += self._compute_step_s(prefilling) * self.faults.slow / self.options.speed
            await anyio.sleep(max(due - time.monotonic(), 0))
            self._finish_step(prefilling)

    def _start_step(self) -> Stream | None:
        """Start all waiting streams; return the one to prefill in this step, or None."""
        for stream in self.active:
            if not stream.started:
                self._start_stream(stream)
        return next((candidate for candidate in self.active if candidate.tokens_to_prefill), None)

    def _compute_step_s(self, prefilling: Stream | None) -> float:
        """Return the duration of a step at speed 1 in seconds."""
        seconds: float = 0
        if prefilling is not None:
            tokens = min(prefilling.tokens_to_prefill, PREFILL_CHUNK_TOKENS)
            seconds += tokens / self.options.prefill_rate
        decoding = [stream for stream in self.active if not stream.tokens_to_prefill]
        if decoding:
            slowdown = 1 + self.options.batch_slowdown * (len(decoding) - 1)
            seconds += slowdown / self.options.decode_rate
        return seconds

    def _start_stream(self, stream: Stream) -> None:
        stream.started = True
        cached = self.cache.count_cached(stream.blocks) * BLOCK_TOKENS
        # The last prompt token is always computed, as it yields the first token of the answer.
        stream.tokens_to_prefill = max(stream.prompt_tokens - cached, 1)
        self.counts['tokens_cached'] += stream.prompt_tokens - stream.tokens_to_prefill
        self.record_load()

    def _finish_step(self, prefilling: Stream | None) -> None:
        decoding = [
            candidate
            for candidate in self.active
            if candidate.started and not candidate.tokens_to_prefill
        ]
        if prefilling is not None and not prefilling.has_ended():
            self._prefill(prefilling)
        for stream in decoding:
            self._decode(stream)

    def _prefill(self, stream: Stream) -> None:
        chunk_tokens = min(stream.tokens_to_prefill, PREFILL_CHUNK_TOKENS)
        stream.tokens_to_prefill -= chunk_tokens
        stream.prefilled_tokens += chunk_tokens
        self.counts['tokens_prefilled'] += chunk_tokens
        self.prefills[stream.request_id] += chunk_tokens
        if not stream.tokens_to_prefill:
            self.cache.store(stream.blocks)

    def _decode(self, stream: Stream) -> None:
        token = make_token(stream.digest, stream.produced_tokens)
        stream.produced_tokens += 1
        self.counts['tokens_decoded'] += 1
        is_last = stream.produced_tokens >= stream.max_tokens
        if stream.is_streamed:
            stream.append(stream.make_chunk(token, 'length' if is_last else None))
        if not is_last:
            return
        if stream.is_streamed:
            stream.append(FINAL_EVENT)
        self.active.remove(stream)
        self.counts['completed'] += 1
        self._end(stream)

    def _end(self, stream: Stream) -> None:
        stream.ended_at = time.monotonic()
        stream.signal()
        self.record_load()

    def _evict_ended_streams(self) -> None:
        cutoff = time.monotonic() - self.options.keep_streams_s
        self.streams = {
            stream_id: stream
            for stream_id, stream in self.streams.items()
            if stream.ended_at > cutoff
        }


def make_stream(stream_id: str, request_id: str, prompt: bytes, **details: Any) -> Stream:
    """Return a stream for a prompt."""
    return Stream(
        stream_id,
        request_id,
        make_digest(prompt),
        hash_blocks(prompt),
        count_tokens(prompt),
        **details,
    )
