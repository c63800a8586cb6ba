"""Stand-in for an engine: model calls in a continuous batch, and the control interface."""

import argparse
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import attrs

from . import faults as fault_settings
from .artifacts import Artifacts
from .batching import Batch, EngineOptions, Stream, make_stream
from .faults import Faults
from .journal import Journal
from .prompts import DEFAULT_MAX_TOKENS, read_prompt
from .serving import JSON_TYPE, Exchange, Server, make_parser, run_script, serve

CRASH_STATUS = 70
CALL_PATHS = ('/v1/chat/completions', '/v1/completions')
STREAM_ID_HEADER = b'stream-id'
STREAM_TYPE = (b'content-type', b'text/event-stream; charset=utf-8')


@attrs.define
class Engine:
    """One engine; after a crash an `in_process` one starts a new incarnation and does not exit."""

    batch: Batch
    faults: Faults
    in_process: bool = True
    server: Server = attrs.field(factory=Server)
    models: set[str] = attrs.field(factory=set)
    orders: list[dict[str, Any]] = attrs.field(factory=list)
    artifacts: Artifacts = attrs.field(init=False)
    journal: Journal = attrs.field(factory=Journal)
    _highest_fence: int = 0
    _stream_count: int = 0

    def __attrs_post_init__(self) -> None:
        self.artifacts = self._make_artifacts()

    @property
    def url(self) -> str:
        """The base URL."""
        return self.server.url

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.path == '/faults':
            await self._set_faults(exchange)
            return
        await self.faults.wait_until(lambda faults: faults.hang != 'all')
        if exchange.path in CALL_PATHS:
            await self._serve_call(exchange)
        elif exchange.path.startswith('/streams/'):
            await self._serve_stream(exchange)
        else:
            await self._serve_control(exchange)

    def crash(self) -> None:
        """Exit the process, or in process drop all connections and state."""
        if not self.in_process:
            os._exit(CRASH_STATUS)
        self.batch.restart()
        self.artifacts = self._make_artifacts()
        self.server.abort_connections()

    def read_stats(self) -> dict[str, Any]:
        """Return the counters since the start, over all incarnations."""
        batch = self.batch
        names = ('tokens_prefilled', 'tokens_prefilled_cancelled', 'tokens_cached')
        counts = {name: batch.counts[name] for name in names}
        others = ('tokens_decoded', 'max_batch', 'completed', 'cancelled')
        counts.update({name: batch.counts[name] for name in others})
        return {
            **counts,
            'incarnation': batch.incarnation,
            'running': len(batch.active),
            'executions': dict(batch.executions),
            'digests': dict(batch.digests),
            'prefills': dict(batch.prefills),
            'orders': self.orders,
        }

    def _make_artifacts(self) -> Artifacts:
        options = self.batch.options
        return Artifacts(self.batch.incarnation, load_s=options.load_s, lag_s=options.orders_lag_s)

    async def _set_faults(self, exchange: Exchange) -> None:
        try:
            self.faults.set_all(exchange.read_json() or {})
        except ValueError as error:
            await exchange.reply(400, {'error': str(error)})
            return
        self.batch.record_load()
        await exchange.reply(200, self.faults.read_all())

    async def _serve_control(self, exchange: Exchange) -> None:
        if exchange.path == '/orders' and exchange.method == 'POST':
            await self._accept_order(exchange)
            return
        read_document = {
            '/load': self._read_load,
            '/orders': lambda: self.artifacts.read(stale=self.faults.orders_stale),
            '/stats': self.read_stats,
            '/v1/models': self._read_models,
            '/cache_events': lambda: self._read_cache_events(exchange),
        }.get(exchange.path)
        if read_document is None:
            await exchange.reply(404, {'error': f'no path {exchange.path}'})
            return
        await exchange.reply(200, read_document())

    def _read_load(self) -> dict[str, Any]:
        return self.batch.load_reports.read(stale=self.faults.load_stale)

    def _read_models(self) -> dict[str, Any]:
        models = [{'id': name, 'object': 'model'} for name in sorted(self.models)]
        return {'object': 'list', 'data': models}

    def _read_cache_events(self, exchange: Exchange) -> dict[str, Any]:
        events = self.batch.cache.read_events(int(exchange.query.get('after', '0')))
        return {'incarnation': self.batch.incarnation, 'events': events}

    async def _accept_order(self, exchange: Exchange) -> None:
        order = exchange.read_json()
        if not isinstance(order, dict) or not is_count(order.get('fence')):
            await exchange.reply(400, {'error': 'an order needs a fence'})
            return
        if order['fence'] < self._highest_fence and not self.faults.ignore_fences:
            await exchange.reply(409, {'error': 'old fence', 'highest': self._highest_fence})
            return
        if self.faults.lose_orders == 'before':
            exchange.cut()
            return
        self._highest_fence = max(self._highest_fence, order['fence'])
        self.orders.append(order)
        self._apply_order(order)
        if self.faults.lose_orders == 'after':
            exchange.cut()
            return
        await exchange.reply(202, {'accepted': True})

    def _apply_order(self, order: dict[str, Any]) -> None:
        details = order.get('details', {})
        self.artifacts.apply_order(order.get('kind', ''), details, stale=self.faults.orders_stale)
        model = details.get('model')
        if order.get('kind') == 'load_model' and model:
            self.models.add(model)
        if order.get('kind') == 'unload_model':
            self.models.discard(model)

    async def _serve_call(self, exchange: Exchange) -> None:
        is_hit = self.faults.draw_hit()
        if is_hit and self.faults.late_s:
            await anyio.sleep(self.faults.late_s)
        if is_hit and self.faults.refuse:
            await exchange.reply(503, {'error': {'message': 'the engine refuses the call'}})
            return
        try:
            stream = self._parse_stream(exchange)
        except (ValueError, KeyError, TypeError) as error:
            await exchange.reply(400, {'error': {'message': f'bad request: {error}'}})
            return
        if stream.model not in self.models and self.models:
            await exchange.reply(404, {'error': {'message': f'no model {stream.model}'}})
            return
        self.batch.add(stream)
        self.journal.write(request_id=stream.request_id, digest=stream.digest)
        marker = self.faults.crash_marker.encode()
        if marker and marker in exchange.body:
            self.crash()
            return
        max_events = self.faults.truncate_after if is_hit else -1
        try:
            await self._answer(exchange, stream, max_events)
        finally:
            if not (self.batch.options.resumable and stream.is_streamed):
                self.batch.cancel(stream)

    def _parse_stream(self, exchange: Exchange) -> Stream:
        document = exchange.read_json()
        if not isinstance(document, dict):
            raise ValueError('the body is not a JSON object')
        max_tokens = document.get('max_tokens', DEFAULT_MAX_TOKENS)
        if not is_count(max_tokens) or not max_tokens:
            raise ValueError('max_tokens is not a positive integer')
        self._stream_count += 1
        request_id = exchange.headers.get('camphorpath-request-id', '')
        stream_id = request_id or f'{self.batch.incarnation}-{self._stream_count}'
        if stream_id in self.batch.streams:
            stream_id = f'{stream_id}.{self._stream_count}'
        return make_stream(
            stream_id,
            request_id,
            read_prompt(document),
            max_tokens=max_tokens,
            is_chat=exchange.path == CALL_PATHS[0],
            is_streamed=bool(document.get('stream')),
            model=str(document.get('model', '')),
        )

    async def _answer(self, exchange: Exchange, stream: Stream, max_events: int) -> None:
        if stream.is_streamed:
            await self._send_stream(exchange, stream, 0, max_events)
            return
        await stream.wait_ended()
        if stream.cancelled:
            await exchange.reply(409, {'error': {'message': 'the stream was cancelled'}})
            return
        body = stream.make_json_answer()
        length = (b'content-length', str(len(body)).encode())
        stream_id = (STREAM_ID_HEADER, stream.stream_id.encode())
        await exchange.start(200, [JSON_TYPE, length, stream_id])
        if max_events >= 0:
            await exchange.write(body[: len(body) // 2])
            return
        await exchange.write(body)
        await exchange.finish()

    async def _send_stream(
        self, exchange: Exchange, stream: Stream, position: int, max_events: int
    ) -> None:
        """Send the body from `position`, up to the end of event `max_events` (-1: all).

        Without `finish`, the server closes the connection without ending the body.
        """
        await exchange.start(200, [STREAM_TYPE, (STREAM_ID_HEADER, stream.stream_id.encode())])
        async for chunk in stream.read(position, max_events):
            await exchange.write(chunk)
        is_finished = (
            self.faults.truncate == 'clean'
            if stream.reaches_limit(max_events)
            else not stream.cancelled
        )
        if is_finished:
            await exchange.finish()

    async def _serve_stream(self, exchange: Exchange) -> None:
        stream_id = exchange.path.split('/')[2]
        stream = self.batch.streams.get(stream_id)
        if stream is None:
            await exchange.reply(404, {'error': f'no stream {stream_id}'})
        elif exchange.path.endswith('/cancel'):
            self.batch.cancel(stream)
            await exchange.reply(200, {'cancelled': stream.cancelled})
        elif self.batch.options.resumable and stream.is_streamed:
            await self._send_stream(exchange, stream, int(exchange.query.get('from', '0')), -1)
        else:
            await exchange.reply(409, {'error': f'{stream_id} cannot be resumed'})


@asynccontextmanager
async def run_engine(
    options: EngineOptions | None = None,
    faults: Faults | None = None,
    *,
    port: int = 0,
    in_process: bool = True,
    journal: str = '',
) -> AsyncIterator[Engine]:
    """Serve an engine on a loopback port (0: any free one) until the context is left."""
    options = options or EngineOptions()
    faults = faults or Faults()
    models = {name for name in options.models.split(',') if name}
    engine = Engine(
        Batch(options, faults), faults, in_process, models=models, journal=Journal(journal)
    )
    async with anyio.create_task_group() as group:
        group.start_soon(engine.batch.run)
        async with serve(engine.handle, port) as server:
            engine.server = server
            yield engine
        group.cancel_scope.cancel()


def is_count(candidate: Any) -> bool:
    """Return whether a JSON value is a non-negative integer."""
    return isinstance(candidate, int) and not isinstance(candidate, bool) and candidate >= 0


def main() -> None:
    """Run the stand-in from the command line."""
    parser = make_parser('Stand-in for an engine.')
    for field in attrs.fields(EngineOptions):
        option = f'--{field.name.replace("_", "-")}'
        if field.name == 'seed':
            continue
        if field.type is bool:
            parser.add_argument(option, action='store_true')
        else:
            parser.add_argument(option, type=field.type, default=field.default)
    fault_settings.add_options(parser)
    options = parser.parse_args()
    anyio.run(run_script, _open_engine(options))


def _open_engine(options: argparse.Namespace) -> Any:
    names = [field.name for field in attrs.fields(EngineOptions)]
    return run_engine(
        EngineOptions(**{name: getattr(options, name) for name in names}),
        fault_settings.read_options(options),
        port=options.port,
        in_process=False,
        journal=options.journal,
    )


if __name__ == '__main__':
    main()
