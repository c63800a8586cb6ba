"""Stand-ins for runners: of plain requests, and of streams."""

import asyncio
import json
import random
import time

from .http import make_answer, make_head, make_json, read_request, reset


class Runner:
    """A sound runner; `plan_failure` may make it answer a request with a status of its own."""

    def __init__(self, name, service, zone, *, slots=6, work_s=0.02):
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.work_s, self.version = slots, work_s, 'v1'
        self.born = int(time.time() * 1000)
        self.active, self.arrivals, self.writers = 0, [], set()
        self.is_leaving = False
        self.plan_failure = lambda request: None

    async def start(self, address):
        self.address = address
        host, _, port = address.rpartition(':')
        self.server = await asyncio.start_server(self._serve, host, int(port))

    def make_entry(self):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slot_count': self.slots,
            'runner_state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': self.born,
        }

    def exit(self):
        """End as a process does: nothing listens, and open channels end."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._serve_request(request, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _make_headers(self, attempt):
        named = {'X-Attempt-Id': attempt, 'Keep-Alive': 'timeout=10'}
        return {**named, 'Server-Leaving': 1} if self.is_leaving else named

    async def _serve_request(self, request, writer):
        """Answer a request; return whether the channel may serve more."""
        writer.write(await self._answer(request))
        await writer.drain()
        return True

    async def _answer(self, request):
        if request.path == '/camphorpath/report':
            document = {'phase': 'combined', 'models': [], 'born': self.born}
            return make_json(200, {**document, 'active_count': self.active, 'queued_count': 0})
        if request.path == '/healthz':
            return make_answer(200, b'', {'X-Runner-Id': self.name})
        attempt = request.headers.get('x-attempt-id', '')
        named = self._make_headers(attempt)
        if request.headers.get('x-expected-runner', self.name) != self.name:
            return make_answer(421, b'', {**named, 'X-Runner-Id': self.name})
        if not attempt:
            return make_answer(400, b'', {**named, 'X-Not-Executed': 1})
        if self.active >= self.slots:
            self.arrivals.append((time.monotonic(), attempt, 'rejected'))
            return make_answer(503, b'', {**named, 'X-Not-Executed': 1})
        self.arrivals.append((time.monotonic(), attempt, 'run'))
        self.active += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.active -= 1
        # It may have begun to leave meanwhile.
        named = self._make_headers(attempt)
        named['X-Runner-Signature'] = f'{self.name}.{attempt}'
        named['X-Runner-Load'] = f'{self.active},0,{self.slots}'
        failure = self.plan_failure(request)
        if failure is not None:
            return make_answer(failure, b'failed', named)
        return make_answer(200, f'{self.name} {attempt}'.encode(), named)


class StreamRunner(Runner):
    """A runner of streams of numbered events; a path ends with their number: `/draft/KEY/30`.

    It may start again under its id, as another version. It breaks a share of its streams off.
    """

    event_pause_s = 0.05

    def __init__(self, *names, break_share=0.0, **changes):
        super().__init__(*names, **changes)
        self.break_share = break_share

    async def restart(self, version):
        """Crash and start again under the id and at the address, as another version."""
        self.exit()
        await asyncio.sleep(0.5)
        self.version, self.born, self.active = version, int(time.time() * 1000), 0
        await self.start(self.address)

    async def _serve_request(self, request, writer):
        if not request.path.startswith('/draft/') or 'x-attempt-id' not in request.headers:
            return await super()._serve_request(request, writer)
        attempt = request.headers['x-attempt-id']
        named = self._make_headers(attempt)
        if request.headers.get('x-expected-runner', self.name) != self.name:
            writer.write(make_answer(421, b'', {**named, 'X-Runner-Id': self.name}))
            return True
        if self.active >= self.slots:
            writer.write(make_answer(503, b'', {**named, 'X-Not-Executed': 1}))
            return True
        self.arrivals.append((time.monotonic(), attempt, 'run'))
        self.active += 1
        born = self.born
        try:
            return await self._stream(request, attempt, named, writer)
        finally:
            if born == self.born:
                self.active -= 1

    async def _stream(self, request, attempt, named, writer):
        total = int(request.path.rpartition('/')[2])
        first = int(request.headers.get('last-event-id') or 0) + 1
        broken_at = 0
        if first == 1 and random.random() < self.break_share:
            broken_at = random.randint(3, total - 3)
        named['X-Runner-Signature'] = f'{self.name}.{attempt}'
        named |= {'Content-Type': 'text/event-stream', 'Transfer-Encoding': 'chunked'}
        await asyncio.sleep(self.work_s)
        writer.write(make_head(200, named))
        for number in range(first, total + 1):
            if number == broken_at:
                reset(writer)
                return False
            text = json.dumps({'runner': self.name, 'version': self.version, 'number': number})
            event = f'id: {number}\ndata: {text}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_pause_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True
