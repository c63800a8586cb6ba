"""Streams of which some have a prompt part that crashes each runner, and the check of its rule."""

import asyncio
import json
import random

import lab

CONTACT_TIMEOUT_S = lab.fleets.BOUNDS['contact_timeout_ms'] / 1000
RUNNER_COUNT = 8
RUN_S = 35.0
CALL_INTERVAL_S = 0.06
# The dose of the pages, 0.05 of the requests for 22 s: each twentieth request is deadly.
DEADLY_INTERVAL = 20
DEADLY_FROM_S = 4.0
DEADLY_FOR_S = 22.0
RESTART_S = 2.0
EVENT_COUNT = 8
DEADLY_PART = 'dead0001'
# Of the rule: the crash after which, with the contact time-out, at most so many may still arrive.
COUNTED_CRASH = 5
TOLERATED_ARRIVALS = 3


# As the most urgent kind of the small deployments: a stream that is sent once and not resumed.
ROUTES = (
    lab.fleets.make_route(
        'sheet',
        '/sheet/',
        'llm',
        priority=0,
        target_latency_ms=600,
        stream_resume=False,
        max_attempts=1,
    ),
)


class Runner(lab.StreamUpstream):
    """A sound runner, but its process ends once it has begun to write on the deadly part."""

    async def _stream(self, request, attempt, writer):
        if DEADLY_PART not in request.headers.get('x-prompt-prefix', ''):
            return await super()._stream(request, attempt, writer)
        self.on_deadly(self, request)
        await asyncio.sleep(self.event_interval_s)
        first = int(request.headers.get('last-event-id') or 0) + 1
        event = f'id: {first}\ndata: {json.dumps({"attempt": attempt})}\n\n'.encode()
        headers = self._make_headers(attempt)
        headers |= {'Content-Type': 'text/event-stream', 'Transfer-Encoding': 'chunked'}
        # Else the runner ends after the head, before its first event.
        chunk = b'%x\r\n%b\r\n' % (len(event), event) if self.writes_event else b''
        writer.write(lab.make_head(200, headers) + chunk)
        await writer.drain()
        await asyncio.sleep(self.event_interval_s)
        self.on_crash(self)
        return False


async def play(record, *, writes_event, choose_parts):
    """Send streams; `choose_parts` returns the entries of the shared parts of a prompt."""
    rng = random.Random()
    crashes, arrivals, sound = [], [], []
    async with lab.fleets.open_fleet(3, routes=ROUTES) as fleet:
        record.log(f'{len(fleet.daemons)} daemons, {RUNNER_COUNT} runners')
        tasks = set()

        def spawn(work):
            task = asyncio.create_task(work)
            tasks.add(task)
            task.add_done_callback(tasks.discard)

        def note_arrival(runner, request):
            arrivals.append(record.now())
            attempt = request.headers['x-attempt-id']
            last = request.headers.get('last-event-id', '-')
            record.log(f'{attempt} with the part reaches {runner.upstream_id}, after event {last}')

        def crash(runner):
            if runner.is_up:
                crashes.append(record.now())
                lost = max(runner.running - 1, 0)
                record.log(f'crash {len(crashes)}: {runner.upstream_id}, with {lost} other runs')
                spawn(restart(runner))

        async def restart(runner):
            # As those of a killed process, its channels are closed by the kernel.
            runner.crash(is_reset=False)
            await asyncio.sleep(RESTART_S)
            await runner.start(runner.address)
            fleet.register(runner)

        for number in range(RUNNER_COUNT):
            runner = Runner(
                f'i-llm-{number}', 'llm', 'abc'[number % 3], '1', random.Random(number), slots=6
            )
            runner.framings = ('chunked',)
            runner.on_deadly, runner.on_crash = note_arrival, crash
            runner.writes_event = writes_event
            host = fleet.make_host()
            await runner.start(f'{host}:{lab.fleets.find_free_ports([host], 1)[0]}')
            fleet.upstreams.append(runner)
            fleet.register(runner)
        await fleet.start_daemons()
        await asyncio.sleep(2.0)

        async def send(is_deadly):
            attempt = lab.make_attempt_id(rng)
            own = f'{rng.getrandbits(32):08x}'
            parts = [*choose_parts(rng, is_deadly=is_deadly), f'{own}:100']
            address = rng.choice(await lab.resolve(fleet, rng.choice('abc')) or [''])
            if not address:
                return
            headers = [
                ('Host', 'a.example'),
                ('X-Attempt-Id', attempt),
                ('X-Model', 'm'),
                ('X-Token-Count', f'{_count_tokens(parts)},30'),
                ('X-Prompt-Prefix', ','.join(parts)),
                ('X-Deadline-Ms', '8000'),
            ]
            path = f'/sheet/{own}/{EVENT_COUNT}'
            answer = await lab.call(address, 'POST', path, headers, own.encode())
            events = answer.body.count(b'\n\n')
            kind = 'deadly' if is_deadly else 'sound'
            record.log(f'{attempt} {kind}: {answer.status} {answer.end}, {events} events')
            if not is_deadly:
                sound.append((record.now(), answer.status == 200 and answer.end == 'complete'))

        count = 0
        began_at = record.now()
        while (since_s := record.now() - began_at) < RUN_S:
            is_time = DEADLY_FROM_S <= since_s < DEADLY_FROM_S + DEADLY_FOR_S
            count += is_time
            is_deadly = lab.HAS_TROUBLE and is_time and count % DEADLY_INTERVAL == 0
            spawn(send(is_deadly))
            await asyncio.sleep(CALL_INTERVAL_S)
        await asyncio.sleep(1.0)
        for daemon in fleet.daemons:
            daemon.check_running()
    late = []
    if len(crashes) >= COUNTED_CRASH:
        counted_from = crashes[COUNTED_CRASH - 1] + CONTACT_TIMEOUT_S
        late = [arrival for arrival in arrivals if arrival > counted_from]
    served = sum(is_served for _at, is_served in sound)
    is_broken = len(late) > TOLERATED_ARRIVALS
    record.log(
        f'{len(crashes)} crashes; {len(late)} requests with the part reached runners later than '
        f'{CONTACT_TIMEOUT_S} s after crash {COUNTED_CRASH} ({TOLERATED_ARRIVALS} are allowed); '
        f'{served} of {len(sound)} sound streams were served whole: '
        + ('BUDGET is broken' if is_broken else 'BUDGET holds')
    )
    if not lab.HAS_TROUBLE and served < len(sound):
        record.log('a sound stream failed without trouble')
        return lab.BROKEN
    return lab.BROKEN if is_broken else lab.HELD


def _count_tokens(parts):
    return sum(int(part.partition(':')[2]) for part in parts)
