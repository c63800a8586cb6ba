"""A runner that fails part of its orders answers 503 to orders that it has run, without the mark."""

import asyncio
import collections
import json
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lab-2'))

import lab  # noqa: E402

RUNNER_COUNT = 3
RUN_S = 16.0
ORDER_INTERVAL_S = 0.1
# The dose of the site file: a grey runner fails this share of its requests for this time.
FAILED_SHARE = 0.45
GREY_FROM_S = 3.0
GREY_FOR_S = 6.5
MAX_TRIES = 2
DEADLINE_MS = 1200
# Statuses that promise that a request has not run.
PROMISES = frozenset((408, 421, 429, 503))


class Runner(lab.StreamUpstream):
    """A sound application runner; a grey one fails part of the orders after it has run them."""

    is_grey = False

    async def _answer_booking(self, attempt, writer):
        if not self.is_grey or self.rng.random() >= FAILED_SHARE:
            return await super()._answer_booking(attempt, writer)
        await asyncio.sleep(self.event_interval_s)
        self.failed.add(attempt)
        body = b'failed after the order was placed'
        headers = self._make_headers(attempt) | {'Content-Length': len(body)}
        writer.write(lab.make_head(503, headers) + body)
        await writer.drain()
        return True


async def main(record):
    rng = random.Random()
    # Runs by order and by attempt, and the attempts that were answered with a promise.
    runs, attempts_run, promised = collections.Counter(), collections.Counter(), []
    failed = set()
    async with lab.fleets.open_fleet(3) as fleet:

        def note_run(runner, request):
            attempt = request.headers['x-attempt-id']
            order = json.loads(request.body)['order']
            runs[order] += 1
            attempts_run[attempt] += 1
            record.log(f'{attempt} of order {order} runs at {runner.upstream_id}')

        for number in range(RUNNER_COUNT):
            runner = Runner(
                f'i-ledger-{number}', 'ledger', 'abc'[number % 3], '1', random.Random(number)
            )
            runner.framings = ('chunked',)
            runner.on_run, runner.failed = note_run, failed
            host = fleet.make_host()
            await runner.start(f'{host}:{lab.fleets.find_free_ports([host], 1)[0]}')
            fleet.upstreams.append(runner)
            fleet.register(runner)
        await fleet.start_daemons()
        await asyncio.sleep(2.0)

        async def place(order):
            """Place an order as requesters do: once more only after a promise of "not run"."""
            for _ in range(MAX_TRIES):
                attempt = lab.make_attempt_id(rng)
                address = rng.choice(await lab.resolve(fleet, rng.choice('abc')) or [''])
                if not address:
                    return
                headers = [
                    ('Host', 'a.example'),
                    ('X-Attempt-Id', attempt),
                    ('X-Deadline-Ms', str(DEADLINE_MS)),
                ]
                body = json.dumps({'order': order}).encode()
                answer = await lab.call(address, 'POST', f'/book/{order}', headers, body)
                signature = answer.headers.get('x-runner-signature', 'none')
                record.log(
                    f'{attempt} of order {order}: {answer.status} {answer.end}, '
                    f'signature {signature}'
                )
                if answer.status not in PROMISES:
                    return
                promised.append(attempt)
                await asyncio.sleep(float(answer.headers.get('retry-after', 0.05)))

        orders = []
        began_at = record.now()
        while (since_s := record.now() - began_at) < RUN_S:
            is_time = GREY_FROM_S <= since_s < GREY_FROM_S + GREY_FOR_S
            fleet.upstreams[0].is_grey = lab.HAS_TROUBLE and is_time
            orders.append(asyncio.create_task(place(f'order-{len(orders)}')))
            await asyncio.sleep(ORDER_INTERVAL_S)
        await asyncio.gather(*orders)
        for daemon in fleet.daemons:
            daemon.check_running()
    refused = [attempt for attempt in promised if attempts_run[attempt]]
    twice = [order for order, count in runs.items() if count > 1]
    record.log(
        f'{len(orders)} orders; {len(failed)} failed at the grey runner after they were run; '
        f'{len(refused)} attempts were answered with a promise of "not run" and had run; '
        f'{len(twice)} orders were placed twice: '
        + ('REFUSED is broken' if refused else 'REFUSED holds')
    )
    return lab.BROKEN if refused else lab.HELD


lab.run_case(FOLDER, main)
