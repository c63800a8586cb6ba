"""Two of three runners of a service leave after one daemon was stopped and started."""

import asyncio
import pathlib
import signal
import time

from lab3.fleet import BOUNDS, Fleet, make_manifest, make_route, play
from lab3.http import Channel
from lab3.runner import Runner, StreamRunner

ZONES = {'a': 'region-a', 'b': 'region-b', 'c': 'region-c'}
ROUTES = [
    make_route('book', '/book/', 'desk'),
    make_route('draft', '/draft/', 'llm', route_type='streaming', timeout_ms=6000),
]
DRAIN_S = BOUNDS['drain_timeout_ms'] / 1000
# Clients of each daemon: so many that a call is at the first runner as its entry is removed.
CALLERS = 8
# A runner whose entry was removed serves on for this long, and then exits.
SERVES_ON_S = DRAIN_S + 0.4
# The first runner leaves so long after the daemon is ready again; the pause to the second one.
FIRST_LEAVES_S = 0.2
PAUSE_S = 0.85
TOLD_S = 0.01
# Differences between the clocks' readings in this process and on the way.
MEASURE_S = 0.02


async def send_bookings(fleet, daemon, sent, until):
    channel = Channel(daemon.get_address('frontend'))
    while time.monotonic() < until:
        attempt = f'{daemon.name}-{len(sent):05}'
        sent[attempt] = time.monotonic()
        headers = {'Host': 'a.example', 'X-Attempt-Id': attempt, 'X-Deadline-Ms': 1200}
        answer = await channel.send('POST', f'/book/{attempt}', headers, b'x' * 64, limit_s=1.2)
        fleet.log(f'{attempt} is answered {answer[0] if answer else None}')
        await asyncio.sleep(0.005)
    channel.close()


async def case(fleet: Fleet, has_trouble):
    for number in range(3):
        await fleet.add_runner(Runner(f'i-desk-{number}', 'desk', 'abc'[number], work_s=0.0225))
    for number in range(9):
        # Idle; as many as on the site, of which two runners leave.
        await fleet.add_runner(StreamRunner(f'i-llm-{number}', 'llm', 'abc'[number % 3], slots=4))
    await fleet.start(ZONES, {'a': 1, 'b': 1, 'c': 1}, make_manifest(7, ROUTES))
    await asyncio.sleep(5)
    sent, left_at = {}, {}
    restarted = fleet.daemons[2]
    if has_trouble:
        restarted.send(signal.SIGTERM)
        await restarted.process.wait()
        await restarted.start()
        await restarted.wait_ready()
        fleet.log(f'{restarted.name} is ready again')
    until = time.monotonic() + FIRST_LEAVES_S + PAUSE_S + SERVES_ON_S + 1.5
    calls = [
        asyncio.create_task(send_bookings(fleet, daemon, sent, until))
        for daemon in fleet.daemons[:2]
        for _ in range(CALLERS)
    ]
    for index, pause_s in ((0, FIRST_LEAVES_S), (1, PAUSE_S)):
        await asyncio.sleep(pause_s)
        runner = fleet.runners[index]
        left_at[runner.name] = fleet.store.put('servers', runner.name, None)
        # It says so with its answers from when the store has told the daemons.
        asyncio.get_running_loop().call_later(TOLD_S, setattr, runner, 'is_leaving', True)
        fleet.log(f'the entry of {runner.name} is removed; it serves on for {SERVES_ON_S} s')
        asyncio.get_running_loop().call_later(SERVES_ON_S, runner.exit)
    await asyncio.gather(*calls)
    late = []
    for runner in fleet.runners[:2]:
        for at, attempt, what in runner.arrivals:
            late_s = sent[attempt] - left_at[runner.name]
            if late_s > DRAIN_S + MEASURE_S:
                late.append(late_s)
                fleet.log(
                    f'LATE: {attempt} was sent {late_s:.3f} s after {runner.name} had left, '
                    f'reached it {at - left_at[runner.name]:.3f} s after, {what}'
                )
    fleet.log(f'{len(sent)} bookings, {len(late)} reached a runner later than {DRAIN_S} s after')
    return bool(late)


play(case, pathlib.Path(__file__).parent)
