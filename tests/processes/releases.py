"""Releases of newer software versions while callers use the upstreams, at random instants."""

import asyncio
import random

OLD, NEW, NEWEST = 'v1', 'v2', 'v3'
# Versions that are registered for moments only.
PASSING, UNSEEN = 'v8', 'v9'
# Troubles of the upstreams of streams, as shares of their answers.
SHARES = {
    'break_share': 0.1,
    'silent_share': 0.05,
    'misplaced_share': 0.03,
    'repeat_share': 0.05,
}
STORE_POLL_S = 0.1


def list_releases(fleet, plan, until, kill_all):
    """Return the coroutines that play the releases of a run; `kill_all` kills all daemons."""
    if not plan.has_overlapping_releases:
        return [_release_in_turn(fleet, plan, until)]
    releases = [
        _release(fleet, plan, until, NEW, 'llm'),
        _release(fleet, plan, until, NEWEST, 'llm'),
        _release(fleet, plan, until, NEW, 'spare'),
    ]
    if plan.has_returning_version:
        releases.append(_return_again(fleet, plan, until, kill_all))
    if plan.has_long_store_loss:
        releases.append(_lose_store(fleet, plan, until, kill_all))
    return releases


async def _release_in_turn(fleet, plan, until):
    """Replace the upstreams one after the other by ones of a newer version, and again."""
    rng = random.Random(f'{plan.seed}/release')
    for version in (NEW, NEWEST):
        await asyncio.sleep(rng.uniform(2, plan.duration_s / 4))
        await _replace_all(fleet, plan, until, version, 'llm', rng)


async def _release(fleet, plan, until, version, service):
    """Replace the upstreams of a service, perhaps while another release does so."""
    rng = random.Random(f'{plan.seed}/release/{service}/{version}')
    await asyncio.sleep(rng.uniform(1, plan.duration_s / 2))
    fleet.log(f'release of {version} at {service}')
    await _replace_all(fleet, plan, until, version, service, rng)


async def _replace_all(fleet, plan, until, version, service, rng):
    for upstream in [upstream for upstream in fleet.upstreams if upstream.service == service]:
        if fleet.now() > until:
            return
        if upstream.software_version == version or not upstream.is_up:
            continue
        if plan.has_overlapping_releases and upstream.is_draining:
            continue
        if rng.random() < 0.3 and plan.has_version_changes:
            await _restart_as(fleet, plan, upstream, version, rng)
        else:
            await fleet.add_upstream(version, service=service, zone=upstream.zone, **SHARES)
            await _drain(fleet, upstream, rng)
        await asyncio.sleep(rng.uniform(0.2, 2.0))


async def _restart_as(fleet, plan, upstream, version, rng):
    """Restart an upstream under its id; its entry may follow some time after it serves."""
    fleet.log(f'{upstream.upstream_id} restarts under its id as {version}')
    if not plan.has_late_entries:
        await fleet.restart_upstream(upstream, version)
        return
    await fleet.restart_upstream(upstream, version, is_registered=False)
    born = upstream.born
    await asyncio.sleep(rng.choice((0, rng.uniform(0.1, 2))))
    if upstream.is_up and upstream.born == born and not upstream.is_draining:
        fleet.register(upstream)


async def _drain(fleet, upstream, rng):
    upstream.is_draining = True
    if rng.random() < 0.5:
        upstream.is_leaving = True
        fleet.register(upstream)
    else:
        fleet.deregister(upstream)

    async def leave():
        await asyncio.sleep(rng.uniform(0.3, 3.0))
        # Its streams are reset, as it exits before their ends.
        upstream.crash()
        fleet.deregister(upstream)

    asyncio.get_running_loop().create_task(leave())


async def _return_again(fleet, plan, until, kill_all):
    """Let a version pass by, and again once daemons may have forgotten it."""
    rng = random.Random(f'{plan.seed}/return')
    await asyncio.sleep(rng.uniform(1, 3))
    while fleet.now() < until:
        zone = rng.choice('abc')
        # It has the streams that begin at it for longer than it is registered.
        upstream = await fleet.add_upstream(PASSING, zone=zone, **SHARES)
        await asyncio.sleep(rng.uniform(0.3, 1.5))
        await _drain(fleet, upstream, rng)
        if rng.random() < 0.5:
            await asyncio.sleep(rng.uniform(0, 0.5))
            fleet.log('all daemons are killed after a version has passed')
            await kill_all()
        pause_s = plan.forget_s + rng.uniform(1, 3)
        if fleet.now() + pause_s > until:
            return
        await asyncio.sleep(pause_s)


async def _lose_store(fleet, plan, until, kill_all):
    """Let versions come and go while the store is away, and kill all daemons then."""
    rng = random.Random(f'{plan.seed}/store')
    store = fleet.store
    await asyncio.sleep(rng.uniform(1, plan.duration_s / 2))
    while store.mode != 'up':  # noqa: ASYNC110  the mode is polled
        await asyncio.sleep(STORE_POLL_S)
    seen = await fleet.add_upstream(PASSING, zone=rng.choice('abc'), **SHARES)
    await asyncio.sleep(rng.uniform(0.05, 1))
    fleet.log('the store is away for long')
    store.set_mode('away')
    await asyncio.sleep(rng.uniform(1, plan.duration_s / 6))
    await _drain(fleet, seen, rng)
    unseen = await fleet.add_upstream(UNSEEN, zone=rng.choice('abc'), **SHARES)
    await asyncio.sleep(rng.uniform(1, plan.duration_s / 6))
    if rng.random() < 0.5:
        await _drain(fleet, unseen, rng)
    if rng.random() < 0.7 and fleet.now() < until:
        fleet.log('all daemons are killed while the store is away')
        killing = asyncio.create_task(kill_all())
        await asyncio.sleep(rng.uniform(0, 2))
        store.set_mode('up')
        await killing
    store.set_mode('up')
    fleet.log('the store is up after long')
