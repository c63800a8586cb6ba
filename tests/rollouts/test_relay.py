from camphorpath.clocks import read_lease_clock
from camphorpath.rollouts.records import Phase, RolloutOrder
from camphorpath.rollouts.registry import Rollouts
from tests.relay.support import (
    answer_with,
    ask,
    make_answer,
    make_request,
    open_relay,
    open_upstream,
    read_to_end,
    run,
)
from tests.relay.test_streams import HEAD, make_chunk, make_event

from .fleet import BOUNDS


def count_answers(rollouts):
    return {tally.version: (tally.answers, tally.bad) for tally in rollouts.share_tallies()}


def test_answers_are_counted_and_a_reverted_version_gets_no_call():
    """Guards against bad answers that are not seen: errors that a retry hides, broken streams."""
    broken = HEAD + make_chunk(make_event(1))
    good = make_answer()

    async def test():
        async with (
            open_upstream(answer_with(make_answer(status=b'500 X'), broken), 'v2') as new,
            open_upstream(answer_with(good, good), 'v1') as old,
            open_relay(new, old) as (context, port),
        ):
            now = read_lease_clock()
            rollouts = context.scheduler.rollouts = Rollouts(BOUNDS)
            rollouts.record_registered({'llm': list(context.scheduler.slots.values())})
            rollouts.start(RolloutOrder('llm', 'v2', 7, now, 12), now)
            rollouts.update(now, 1)
            assert (await ask(port, make_request()))[0] == 200
            assert count_answers(rollouts) == {'v2': (1, 1), 'v1': (1, 0)}
            await read_to_end(port, make_request(b'/stream/x'))
            assert sum(tally.bad for tally in rollouts.share_tallies()) == 2
            assert len(new.requests) == 2
            rollouts.apply_phase('llm', 7, Phase.REVERTED, now)
            assert (await ask(port, make_request()))[0] == 200
            assert (len(new.requests), len(old.requests)) == (2, 2)

    run(test)
