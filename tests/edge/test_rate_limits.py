import contextlib
import itertools
import re

import anyio

from ..relay.support import ask, make_answer, make_request, open_upstream, run
from .fleet import open_fleet

LIMIT_PER_S = 1.5
# Bound of the users' pages: in this time an upstream gets one and a half times what its limit
# allows, and some requests more, once the daemons have been told for MAX_REACTION_S.
WINDOW_S = 4.0
MAX_REACTION_S = 0.5
BOUND = 1.5 * LIMIT_PER_S * WINDOW_S + 5
CALL_INTERVAL_S = 0.08
ANSWER_S = 0.05
ATTEMPT = re.compile(rb'\r\nattempt: (\S+)')


class LimitedUpstream:
    """Answers each request, states a limit meanwhile, and records when requests arrived."""

    def __init__(self, limit=b'%.1f' % LIMIT_PER_S):
        self.limit = limit
        self.arrivals = []

    async def handle(self, upstream, reader, writer):
        while True:
            head = await upstream.read_request(reader)
            self.arrivals.append(anyio.current_time())
            await anyio.sleep(ANSWER_S)
            extra = b'Rate-Limit: %b\r\n' % self.limit if self.limit else b''
            attempt = ATTEMPT.search(head.lower()).group(1)
            writer.write(make_answer(attempt=attempt, extra=extra))
            await writer.drain()

    def count_most(self, window_s):
        """Return the most requests of any window after the daemons had time to react."""
        first_told_at = self.arrivals[0] + ANSWER_S
        later = [at for at in self.arrivals if at >= first_told_at + MAX_REACTION_S]
        return max(
            (sum(1 for at in later if start <= at < start + window_s) for start in later),
            default=0,
        )


async def call_each(daemons, duration_s):
    """Call each daemon at short intervals; return the number of answers by status."""
    counts = {}
    numbers = itertools.count(1)

    async def call(daemon):
        with contextlib.suppress(OSError):
            request = make_request(b'/read/x', attempt=b'%d' % next(numbers))
            status, _head, _body = await ask(daemon.port, request)
            counts[status] = counts.get(status, 0) + 1

    until = anyio.current_time() + duration_s
    async with anyio.create_task_group() as group:
        while anyio.current_time() < until:
            for daemon in daemons:
                group.start_soon(call, daemon)
            await anyio.sleep(CALL_INTERVAL_S * len(daemons))
    return counts


def test_upstream_gets_more_requests_than_the_limit_that_it_named():
    """Guards against daemons that together send more than an upstream says that it takes."""

    async def test():
        limited = LimitedUpstream()
        async with open_upstream(limited.handle) as upstream, open_fleet(upstream) as daemons:
            await call_each(daemons, WINDOW_S + 1.5)
        assert limited.count_most(WINDOW_S) <= BOUND

    run(test)


def test_limit_outlives_the_loss_of_its_owner():
    """Guards against daemons that forget the limit of an upstream with the daemon that owned it."""

    async def test():
        limited = LimitedUpstream()
        async with open_upstream(limited.handle) as upstream, open_fleet(upstream) as daemons:
            await call_each(daemons, 2)
            daemons[0].is_stopped = True
            lost_at = anyio.current_time()
            counts = await call_each(daemons[1:], WINDOW_S)
        assert limited.count_most(WINDOW_S) <= BOUND
        # The loss is noticed after a second, and the new owner starts without requests.
        served = [at for at in limited.arrivals if at > lost_at]
        assert len(served) >= LIMIT_PER_S
        assert counts[200] >= LIMIT_PER_S

    run(test)
