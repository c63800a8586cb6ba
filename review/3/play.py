"""A machine that was cut off takes its state from restarted peers and keeps a runner that left."""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lab'))

from lab import (  # noqa: E402
    BOUNDS, TROUBLE, Daemon, DatagramLink, Link, Runner, Store, World, fetch, find_free_ports, run,
)

ZONES = {'riga-a': 'riga', 'liepaja-a': 'kurzeme', 'daugavpils-a': 'latgale'}
# The last one is the machine that is cut off; it is the only one of its region.
MACHINES = ('riga-a',) * 4 + ('liepaja-a',) * 3 + ('daugavpils-a',)
CUT_S = 11.5
# The planned restarts of all others: one machine after the other, a second apart.
ROLL_AT_S = (0.5, 1.5, 2.5, 3.5, 4.5, 5.5, 6.5)
# Before the first of them has started again.
LEAVES_AT_S = 3.2
RUNNER_EXIT_S = 16.5
END_S = 17.5
TOUCH_S = BOUNDS['contact_timeout_ms'] / 1000
DRAIN_S = BOUNDS['drain_timeout_ms'] / 1000


def make_manifest():
    route = {
        'name': 'r-book', 'hostname': 'a.example', 'prefix': '/book/',
        'route_type': 'non_idempotent', 'timeout_ms': 1200, 'target_latency_ms': 250,
        'priority': 2, 'service': 'ledger', 'max_attempts': 1, 'auth_exempt': True,
        'session_affinity': False, 'stream_resume': False,
    }
    return {
        'version': 7,
        'routes': [route],
        'services': [{'name': 'ledger', 'health_path': '/healthz', 'max_connections': 110}],
        'limits': {
            'max_header_bytes': 16384, 'max_body_bytes': 4194304,
            'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
        },
    }


async def open_links(links, loop, machine, hosts, common, own, store, store_port):
    """Put a forwarder on each way between the machine and the others, and to the store."""
    for host in hosts:
        pairs = (
            ((host, own['internal']), (host, common['internal'])),
            ((machine, common['internal']), (machine, own['internal'])),
        )
        for listen, target in pairs:
            if any(listen == known for known, _link in links['datagrams']):
                continue
            link = DatagramLink(target)
            await loop.create_datagram_endpoint(lambda link=link: link, local_addr=listen)
            links['datagrams'].append((listen, link))
        for name, at, to in (('control_plane', own, common),):
            links['streams'].append(Link((host, at[name]), (host, to[name])))
    links['streams'].append(
        Link((machine, common['control_plane']), (machine, own['control_plane']))
    )
    links['streams'].append(Link((store[0], store_port), store))
    for link in links['streams']:
        await link.open()


async def play():
    world = World(HERE, ZONES)
    record = world.record
    loop = asyncio.get_running_loop()
    try:
        store_host = world.make_host()
        hosts = [world.make_host() for _ in MACHINES]
        runner_hosts = [world.make_host() for _ in range(4)]
        names = ('frontend', 'ready', 'control_plane', 'directory_service', 'internal')
        free = find_free_ports([store_host, *hosts, *runner_hosts], 2 * len(names) + 3)
        common = dict(zip(names, free))
        # The ports of the machine that is cut off differ: forwarders listen on the common ones.
        own = {**common, 'internal': free[5], 'control_plane': free[6]}
        store_port, cut_store_port, runner_port = free[10:13]

        store = Store(record)
        await store.start(store_host, store_port)
        store.put('op', 'config', make_manifest())
        zones = ('riga-a', 'liepaja-a', 'daugavpils-a', 'daugavpils-a')
        runners = [Runner(record, f'i-{n}', 'ledger', zone, work_s=0.1) for n, zone in enumerate(zones)]
        for runner, host in zip(runners, runner_hosts):
            await runner.start(host, runner_port)
            store.put('servers', runner.runner_id, runner.entry())
        leaver = runners[-1]

        links = {'datagrams': [], 'streams': []}
        await open_links(
            links, loop, hosts[-1], hosts[:-1], common, own, (store_host, store_port),
            cut_store_port,
        )
        for number, (zone, host) in enumerate(zip(MACHINES, hosts)):
            is_cut = host == hosts[-1]
            ports = own if is_cut else common
            seeds = [f'{seed}:{ports["control_plane"]}' for seed in hosts[:3]]
            store_address = f'{store_host}:{cut_store_port if is_cut else store_port}'
            world.daemons.append(
                Daemon(world, f'edge-{zone}-{number}', zone, host, ports, seeds, store_address)
            )
        for daemon in world.daemons:
            await daemon.start()
        await world.wait_ready(world.daemons)
        await asyncio.sleep(2.5)
        return await measure(world, store, leaver, links)
    finally:
        await world.close(keep_logs=bool(os.environ.get('KEEP')))


async def measure(world, store, leaver, links):
    record = world.record
    machine = world.daemons[-1]
    sent = {}
    cut_until = None
    start = record.now()
    stopping = asyncio.Event()

    async def request(zone):
        """Ask one daemon for addresses, send one booking there, and note the answer."""
        addresses = []
        nearest = sorted(world.daemons, key=lambda daemon: daemon.zone != zone)
        for daemon in nearest[:3]:
            addresses = await daemon.resolve(zone)
            if addresses:
                break
        if not addresses:
            return
        host, port = addresses[0].split(':')
        attempt = world.make_attempt()
        sent[attempt] = (record.now(), host)
        headers = {'X-Attempt-Id': attempt, 'X-Deadline-Ms': '1200'}
        answer = await fetch(
            (host, int(port)), f'/book/{attempt}', headers=headers, method='POST', body=b'{}'
        )
        status = None if answer is None else answer[0]
        record.write(f'requester sent {attempt} to {host} at {sent[attempt][0]:.3f}, got {status}')

    async def send_requests(zone):
        async with asyncio.TaskGroup() as group:
            while not stopping.is_set():
                group.create_task(request(zone))
                await asyncio.sleep(0.05)

    async def restart(daemon, at_s):
        await asyncio.sleep(at_s)
        daemon.send_signal(signal.SIGTERM)
        await daemon.wait()
        await asyncio.sleep(0.1)
        await daemon.start()

    async def cut():
        nonlocal cut_until
        if not TROUBLE:
            return
        record.write(f'{machine.name} is cut off')
        for _listen, link in links['datagrams']:
            link.is_cut = True
        for link in links['streams']:
            link.cut()
        await asyncio.sleep(CUT_S)
        for link in links['streams']:
            link.heal()
        for _listen, link in links['datagrams']:
            link.is_cut = False
        cut_until = record.now()
        record.write(f'{machine.name} is connected again')

    async with asyncio.TaskGroup() as group:
        group.create_task(cut())
        for daemon, at_s in zip(world.daemons[:-1], ROLL_AT_S):
            group.create_task(restart(daemon, at_s))
        for zone in ZONES:
            group.create_task(send_requests(zone))
        await asyncio.sleep(LEAVES_AT_S)
        store.put('servers', leaver.runner_id, None)
        removed_at = record.now()
        await asyncio.sleep(start + RUNNER_EXIT_S - record.now())
        leaver.exit()
        record.write(f'runner {leaver.runner_id} has left')
        await asyncio.sleep(start + END_S - record.now())
        stopping.set()

    by_host = {daemon.host: daemon for daemon in world.daemons}
    late = []
    for attempt, run_at in leaver.runs:
        sent_at, host = sent[attempt]
        if sent_at <= removed_at + DRAIN_S:
            continue
        daemon = by_host[host]
        disturbed = list(daemon.disturbed_at)
        if daemon is machine and cut_until is not None:
            disturbed.append(cut_until)
        if any(at - 0.2 <= sent_at <= at + TOUCH_S for at in disturbed):
            continue
        if daemon is machine and cut_until is not None and sent_at < cut_until + TOUCH_S:
            continue
        late.append((attempt, sent_at, run_at, daemon.name))
    for attempt, sent_at, run_at, name in late:
        record.write(
            f'DRAIN: {attempt} sent at {sent_at:.3f} to {name}, in touch, run at {run_at:.3f} by '
            f'{leaver.runner_id}, removed at {removed_at:.3f}'
        )
    record.write(f'{len(sent)} requests, {len(late)} reached the runner too late')
    print(f'{len(sent)} requests, {len(late)} too late at {leaver.runner_id}')
    return not late


run(play)
