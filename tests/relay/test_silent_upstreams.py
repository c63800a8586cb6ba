"""Sound upstreams that are silent for a second or two in the middle of a call."""

from camphorpath.schema import camphorpath_pb2 as pb

from .support import make_request, open_relay, open_upstream, read_to_end, run
from .test_streams import stream_events


def list_events(context):
    return [record.name for record in context.events.select(pb.TimelineRequest())]


def test_cut_answer_is_logged_as_cut():
    """Guards against logs that report a refusal to a caller whose answer was cut."""

    async def test():
        handle = stream_events([1], ends=False)
        async with open_upstream(handle) as upstream, open_relay(upstream) as (context, port):
            _received, is_reset = await read_to_end(port, make_request(b'/once/x'))
            names = list_events(context)
        assert is_reset
        assert 'answer_cut' in names
        assert 'request_refused' not in names

    run(test)
