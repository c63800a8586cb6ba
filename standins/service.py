"""Stand-in for a booking service, which executes every call that it receives, also repeats."""

import hashlib
import os
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import attrs

from . import faults as fault_settings
from .faults import Faults
from .journal import Journal
from .report_history import ReportHistory
from .serving import Exchange, Server, make_parser, run_script, serve

CRASH_STATUS = 70
# Paths of calls with an effect: bookings, and the orders of an order desk.
EFFECT_PATHS = ('/reservations', '/returns', '/wire-orders')
LOOKUP_PATHS = ('/lookup/', '/stock/')
DIGEST_CHARACTERS = 16


@attrs.define
class Service:
    """One service; `history` lists all executions in order and survives a restart in process."""

    name: str
    faults: Faults
    work_s: float = 0
    load_lag_s: float = 0
    in_process: bool = True
    journal: Journal = attrs.field(factory=Journal)
    server: Server = attrs.field(factory=Server)
    history: list[dict[str, Any]] = attrs.field(factory=list)
    load_reports: ReportHistory = attrs.field(init=False)
    _running_count: int = 0
    _start_count: int = 0

    def __attrs_post_init__(self) -> None:
        self._restart()

    @property
    def url(self) -> str:
        """The base URL."""
        return self.server.url

    @property
    def incarnation(self) -> str:
        """The incarnation, a name that changes with every start."""
        return f'{self.name}-{self._start_count}'

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.path == '/faults':
            await self._set_faults(exchange)
            return
        await self.faults.wait_until(lambda faults: faults.hang != 'all')
        if exchange.path in EFFECT_PATHS or exchange.path.startswith(LOOKUP_PATHS):
            await self._serve_call(exchange)
        elif exchange.path == '/load':
            await exchange.reply(200, self.load_reports.read(stale=self.faults.load_stale))
        elif exchange.path == '/history':
            await exchange.reply(200, self.history)
        elif exchange.path == '/stats':
            await exchange.reply(200, self.read_stats())
        else:
            await exchange.reply(404, {'error': f'no path {exchange.path}'})

    def read_stats(self) -> dict[str, Any]:
        """Return the numbers of executions by key, body digest and request id, and their total."""
        fields = ('key', 'body', 'request_id')
        counts = {name: dict(Counter(entry[name] for entry in self.history)) for name in fields}
        return {**counts, 'executions': len(self.history), 'incarnation': self.incarnation}

    def record_load(self) -> None:
        """Record the current load for the load reports."""
        self.load_reports.record(
            {
                'incarnation': self.incarnation,
                'draining': self.faults.draining,
                'running': self._running_count,
                'waiting': 0,
                'tokens': 0,
            },
            stale=self.faults.load_stale,
        )

    async def _set_faults(self, exchange: Exchange) -> None:
        try:
            self.faults.set_all(exchange.read_json() or {})
        except ValueError as error:
            await exchange.reply(400, {'error': str(error)})
            return
        self.record_load()
        await exchange.reply(200, self.faults.read_all())

    async def _serve_call(self, exchange: Exchange) -> None:
        self._running_count += 1
        self.record_load()
        try:
            await self._process_call(exchange)
        finally:
            self._running_count -= 1
            self.record_load()

    async def _process_call(self, exchange: Exchange) -> None:
        faults = self.faults
        is_hit = faults.draw_hit()
        if is_hit and faults.refuse:
            await exchange.reply(503, {'error': 'the service refuses the call'})
            return
        marker = faults.crash_marker.encode()
        if marker and marker in exchange.body:
            self._crash()
            return
        if is_hit:
            await faults.wait_until(lambda current: current.hang != 'before')
        await anyio.sleep(self.work_s * faults.slow)
        document = self._execute(exchange)
        self.journal.write(
            request_id=exchange.headers.get('camphorpath-request-id', ''),
            key=exchange.headers.get('idempotency-key', ''),
            answer=document,
        )
        if is_hit:
            await faults.wait_until(lambda current: current.hang != 'after')
            await anyio.sleep(faults.late_s)
        if is_hit and faults.cut_after_effect:
            exchange.cut()
            return
        await exchange.reply(200, document)

    def _execute(self, exchange: Exchange) -> dict[str, Any]:
        if exchange.path.startswith(LOOKUP_PATHS):
            item = exchange.path.rpartition('/')[2].encode()
            executions = [entry for entry in self.history if item.decode() in entry['text']]
            return {'item': item.decode(), 'executions': len(executions)}
        number = len(self.history) + 1
        self.history.append(
            {
                'number': number,
                'path': exchange.path,
                'request_id': exchange.headers.get('camphorpath-request-id', ''),
                'key': exchange.headers.get('idempotency-key', ''),
                'body': hashlib.sha256(exchange.body).hexdigest()[:DIGEST_CHARACTERS],
                'text': exchange.body.decode(errors='replace'),
            }
        )
        return {'number': number, 'reservation': f'{self.name}-{number}'}

    def _crash(self) -> None:
        if not self.in_process:
            os._exit(CRASH_STATUS)
        self._restart()
        self.server.abort_connections()

    def _restart(self) -> None:
        self._start_count += 1
        self.load_reports = ReportHistory(self.load_lag_s)
        self.record_load()


@asynccontextmanager
async def run_service(
    name: str = 'service',
    faults: Faults | None = None,
    *,
    port: int = 0,
    in_process: bool = True,
    work_s: float = 0,
    load_lag_s: float = 0,
    journal: str = '',
) -> AsyncIterator[Service]:
    """Serve a booking service on a loopback port (0: any free one) until the context is left."""
    service = Service(
        name, faults or Faults(), work_s, load_lag_s, in_process, journal=Journal(journal)
    )
    async with serve(service.handle, port) as server:
        service.server = server
        yield service


def main() -> None:
    """Run the stand-in from the command line."""
    parser = make_parser('Stand-in for a booking service.')
    parser.add_argument('--name', default=f'service-{os.getpid()}')
    parser.add_argument('--work-s', type=float, default=0)
    parser.add_argument('--load-lag-s', type=float, default=0)
    fault_settings.add_options(parser)
    options = parser.parse_args()
    standin_context = run_service(
        options.name,
        fault_settings.read_options(options),
        port=options.port,
        in_process=False,
        work_s=options.work_s,
        load_lag_s=options.load_lag_s,
        journal=options.journal,
    )
    anyio.run(run_script, standin_context)


if __name__ == '__main__':
    main()
