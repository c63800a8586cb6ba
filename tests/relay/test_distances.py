from camphorpath.events import Event
from camphorpath.placement.records import WaitingCall
from camphorpath.relay.egress import emit_egress_changes
from camphorpath.schema import camphorpath_pb2 as pb

from ..placement.test_ownership import make_upstream
from .support import answer_with, ask, make_answer, make_request, open_relay, open_upstream, run


def test_sends_are_counted_by_distance_and_departures_logged():
    """Guards against traffic between regions that nobody sees."""

    async def test():
        async with open_upstream(answer_with(make_answer())) as upstream:
            async with open_relay(upstream) as (context, port):
                await ask(port, make_request(headers=b'Key: secret\r\n'))
        assert context.metrics.by_distance.get({'distance': 'same_zone'}) == 1
        call = WaitingCall(
            call_id='c1',
            service='llm',
            rank=(0, 0),
            arrived_at=0,
            objective_at=1,
            wait_until=1,
            deadline=1,
            prompt_tokens=1,
            output_tokens=1,
            on_decision=print,
        )
        context.scheduler.egress.record_placement(call, make_upstream(1, 'far'), 0)
        for now in (1, 9):
            emit_egress_changes(context, now)
        numbers = [record.number for record in context.events.select(pb.TimelineRequest())]
        assert numbers[-2:] == [Event.CALLS_LEAVE_REGION, Event.CALLS_STAY_IN_REGION]

    run(test)
