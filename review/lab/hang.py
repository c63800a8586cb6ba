"""A runner whose answer has no end, and the requests of others at the same daemon meanwhile."""

import asyncio
import os
import pathlib
import sys

from lab import TROUBLE, Daemon, Runner, Store, World, find_free_ports, read_message

LAB = pathlib.Path(__file__).resolve().parent

ZONES = {'riga-a': 'riga', 'liepaja-a': 'kurzeme', 'daugavpils-a': 'latgale'}
# Route, and time limit of the requester, by what the runner sends.
REQUESTS = {'events': ('/draft/', 12.0), 'chunks': ('/order/', 1.2)}
# For so long the others are watched after the request.
WATCH_S = 15.0
BOOKING_TIMEOUT_S = 1.2
SLACK_S = 0.5
REQUESTERS = 12


def make_manifest():
    common = {
        'hostname': 'a.example', 'max_attempts': 1, 'auth_exempt': True, 'session_affinity': False,
        'stream_resume': False,
    }
    return {
        'version': 7,
        'routes': [
            {'name': 'r-book', 'prefix': '/book/', 'route_type': 'non_idempotent', 'priority': 2,
             'timeout_ms': 1200, 'target_latency_ms': 250, 'service': 'ledger', **common},
            {'name': 'r-order', 'prefix': '/order/', 'route_type': 'non_idempotent', 'priority': 2,
             'timeout_ms': 1200, 'target_latency_ms': 250, 'service': 'scribe', **common},
            {'name': 'r-draft', 'prefix': '/draft/', 'route_type': 'streaming', 'priority': 1,
             'timeout_ms': 12000, 'target_latency_ms': 800, 'itl_target_ms': 250,
             'service': 'scribe', **common},
        ],
        'services': [
            {'name': 'ledger', 'health_path': '/healthz', 'max_connections': 110},
            {'name': 'scribe', 'health_path': '/healthz', 'max_connections': 370},
        ],
        'limits': {
            'max_header_bytes': 16384, 'max_body_bytes': 4194304,
            'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
        },
    }


async def play(folder, kind):
    world = World(folder, ZONES)
    record = world.record
    others = []
    try:
        store_host = world.make_host()
        hosts = [world.make_host() for _ in ZONES]
        runner_hosts = [world.make_host() for _ in range(4)]
        names = ('frontend', 'ready', 'control_plane', 'directory_service', 'internal')
        free = find_free_ports([store_host, *hosts, *runner_hosts], len(names) + 2)
        ports = dict(zip(names, free))
        store_port, runner_port = free[5:7]
        store = Store(record)
        await store.start(store_host, store_port)
        store.put('op', 'config', make_manifest())
        for number, (zone, host) in enumerate(zip(ZONES, runner_hosts)):
            runner = Runner(record, f'i-book{number}', 'ledger', zone)
            await runner.start(host, runner_port)
            store.put('servers', runner.runner_id, runner.entry())
        writer = Runner(record, 'i-draft', 'scribe', 'riga-a', slots=5)
        writer.address = f'{runner_hosts[3]}:{runner_port}'
        others.append(
            await asyncio.create_subprocess_exec(
                sys.executable, str(LAB / 'flood.py'), 'runner', runner_hosts[3], str(runner_port),
                writer.runner_id, kind,
            )
        )
        store.put('servers', writer.runner_id, writer.entry())
        seeds = [f'{host}:{ports["control_plane"]}' for host in hosts]
        for zone, host in zip(ZONES, hosts):
            world.daemons.append(
                Daemon(world, f'edge-{zone}-1', zone, host, ports, seeds, f'{store_host}:{store_port}')
            )
        for daemon in world.daemons:
            await daemon.start()
        await world.wait_ready(world.daemons)
        await asyncio.sleep(1.5)
        return await measure(world, others, kind)
    finally:
        for process in others:
            if process.returncode is None:
                process.kill()
                await process.wait()
        await world.close(keep_logs=bool(os.environ.get('KEEP')))


async def measure(world, others, kind):
    path, limit_s = REQUESTS[kind]
    record = world.record
    daemon = world.daemons[0]
    stopping = asyncio.Event()
    started = record.now()
    # Of the bookings sent to the daemon: how many, unanswered at the timeout, and half a second later.
    counts = {'sent': 0, 'at_timeout': 0, 'later': 0}
    silent = []

    async def book():
        """Send one booking after the other on a kept channel; after a failure, on a new one."""
        reader = None
        while not stopping.is_set():
            attempt = world.make_attempt()
            counts['sent'] += 1
            sent_at = record.now()
            answer = None
            try:
                async with asyncio.timeout(BOOKING_TIMEOUT_S + SLACK_S):
                    if reader is None:
                        reader, writer = await asyncio.open_connection(*daemon.front)
                    writer.write(
                        f'POST /book/{attempt} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {attempt}'
                        '\r\nX-Deadline-Ms: 1200\r\nContent-Length: 2\r\n\r\n{}'.encode()
                    )
                    answer = await read_message(reader)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                answer = None
            took = record.now() - sent_at
            counts['at_timeout'] += took > BOOKING_TIMEOUT_S
            counts['later'] += answer is None and took > BOOKING_TIMEOUT_S
            status = 'nothing' if answer is None else answer[0].split(' ')[1]
            record.write(f'requester sent {attempt} to {daemon.name} at {sent_at:.3f}, got {status}')
            if answer is None and reader is not None:
                writer.close()
                reader = None
            await asyncio.sleep(0.1)

    async def check_ready():
        while not stopping.is_set():
            asked_at = record.now()
            if not await daemon.is_ready():
                silent.append(asked_at)
                record.write(f'{daemon.name} did not answer the readiness check of {asked_at:.3f}')
            await asyncio.sleep(max(asked_at + 1 - record.now(), 0))

    async def disturb():
        if not TROUBLE:
            return
        attempt = world.make_attempt()
        await asyncio.sleep(2)
        record.write(f'requester sends {attempt} to {path} at {daemon.name}')
        process = await asyncio.create_subprocess_exec(
            sys.executable, str(LAB / 'flood.py'), 'requester', daemon.host,
            str(daemon.ports['frontend']), attempt, str(limit_s), path,
            stdout=asyncio.subprocess.PIPE,
        )
        others.append(process)
        text = (await process.stdout.read()).decode().strip()
        await process.wait()
        record.write(f'the requester of {attempt} read for {text}, then left')

    async with asyncio.TaskGroup() as group:
        for _ in range(REQUESTERS):
            group.create_task(book())
        group.create_task(check_ready())
        group.create_task(disturb())
        await asyncio.sleep(started + 2 + WATCH_S - record.now())
        stopping.set()
    text = (
        f'{counts["sent"]} bookings to {daemon.name}, {counts["at_timeout"]} unanswered at the timeout '
        f'of their route, {counts["later"]} half a second later; {len(silent)} readiness checks unanswered'
    )
    record.write(text)
    print(text)
    return not (counts['later'] >= 8 and counts['later'] > counts['at_timeout'] / 2)

