"""Streams begin at a daemon that is cut off, at a runner that has just restarted as a new version."""

import asyncio
import itertools
import json
import pathlib
import time

from lab3.fleet import Fleet, make_manifest, make_route, play
from lab3.http import read_head
from lab3.runner import StreamRunner

ZONES = {'a': 'region-a', 'b': 'region-b', 'c': 'region-c'}
ROUTES = [
    make_route(
        'draft', '/draft/', 'llm', route_type='streaming', timeout_ms=6000,
        target_latency_ms=600, itl_target_ms=300, priority=1, max_attempts=2,
        session_affinity=True, stream_resume=True,
    )
]
# Standard days cut machines off for 12 s, and the store turns machines away for 9 s.
CUT_S = 8.0
# Share of its streams that the new runner resets, as `answer_lost` with x = 0.4.
BREAK_SHARE = 0.4
EVENTS = 16
STREAM_PAUSE_S = 0.06
# Streams that began this long before the end of the cut are taken up during it.
LAST_BEGIN_S = 1.6


class Stream:
    """What a client got of a stream, over its two attempts."""

    def __init__(self, key):
        self.key, self.events, self.tries = key, [], []


async def send(stream, address, attempt, resumes):
    """Send one attempt; add its events; return whether the stream is complete."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    last = stream.events[-1]['number'] if stream.events else 0
    lines = [
        f'POST /draft/{stream.key}/{EVENTS} HTTP/1.1', 'Host: a.example',
        f'X-Attempt-Id: {attempt}', 'X-Deadline-Ms: 6000', 'X-Model: m',
        'X-Token-Count: 400,120', f'X-Prompt-Prefix: aa01:60,{attempt[-8:]}:340',
    ]
    if last:
        lines += [f'Last-Event-Id: {last}', f'Resumes: {resumes}']
    writer.write(('\r\n'.join([*lines, 'Content-Length: 0', '', ''])).encode())
    status, count = None, 0
    try:
        async with asyncio.timeout(6):
            found = await read_head(reader)
            status = found and int(found[0].split(' ')[1])
            while status == 200:
                size = int(await reader.readuntil(b'\r\n'), 16)
                part = await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    return True
                for event in part.decode().split('\n\n')[:-1]:
                    stream.events.append(json.loads(event.partition('data: ')[2]))
                    count += 1
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False
    finally:
        stream.tries.append((attempt, address, status, count))
        writer.close()
    return False


async def fetch(fleet, number, first, other, streams):
    """Fetch a stream from a daemon, and take it up at another one if it breaks off."""
    stream = Stream(f'{number:04x}')
    streams.append(stream)
    attempt = f'0a{number:014x}'
    complete = await send(stream, first.get_address('frontend'), attempt, '')
    if not complete and stream.events:
        await asyncio.sleep(0.1)
        await send(stream, other.get_address('frontend'), f'0b{number:014x}', attempt)
    versions = list(dict.fromkeys(event['version'] for event in stream.events))
    fleet.log(f'stream {stream.key}: tries {stream.tries}, versions {versions}')


async def case(fleet: Fleet, has_trouble):
    for number in range(3):
        share = BREAK_SHARE if number == 2 else 0.0
        runner = StreamRunner(f'i-llm-{number}', 'llm', 'abc'[number], slots=5, break_share=share)
        await fleet.add_runner(runner)
    await fleet.start(ZONES, {'a': 1, 'b': 1, 'c': 1}, make_manifest(7, ROUTES))
    await asyncio.sleep(6)
    streams, tasks, numbers = [], [], itertools.count(1)
    cut_daemon, other = fleet.daemons[2], fleet.daemons[0]
    until = time.monotonic() + CUT_S
    if has_trouble:
        cut_daemon.cut_off()
        fleet.log(f'{cut_daemon.name} is cut off from the store and the other daemons')
    await asyncio.sleep(2)
    runner = fleet.runners[2]
    await runner.restart('v2')
    fleet.store.put('servers', runner.name, runner.make_entry())
    fleet.log(f'{runner.name} has started again as v2, and is registered')
    await asyncio.sleep(1)
    while time.monotonic() < until - LAST_BEGIN_S:
        tasks.append(
            asyncio.create_task(fetch(fleet, next(numbers), cut_daemon, other, streams))
        )
        await asyncio.sleep(STREAM_PAUSE_S)
    await asyncio.gather(*tasks)
    cut_daemon.heal()
    fleet.log(f'{cut_daemon.name} reaches the store and the other daemons')
    mixed = [s for s in streams if len({event['version'] for event in s.events}) > 1]
    taken_up = sum(len(stream.tries) > 1 for stream in streams)
    fleet.log(f'{len(streams)} streams, {taken_up} taken up, {len(mixed)} hold two versions')
    # ORDER: more than two streams.
    return len(mixed) > 2


play(case, pathlib.Path(__file__).parent)
