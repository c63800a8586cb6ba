import pytest

from camphorpath.events import EventLog
from camphorpath.placement.slots import Slots
from camphorpath.relay.loads import apply_load
from camphorpath.schema import camphorpath_pb2 as pb

from ..placement.test_ownership import make_upstream


@pytest.mark.parametrize(
    ('text', 'pace'), [(b'1,2,5', 1), (b'1,2,5,250', 2.5), (b'1,2,5,112.5,9', 1.125)]
)
def test_pace_is_the_fourth_figure(text, pace):
    """Guards against a pace that is taken for another figure."""
    slots = Slots(make_upstream(1))
    apply_load(slots, text, 5, EventLog('test'))
    assert slots.pace.estimate(5) == pace
    assert slots.unaccounted_calls == 3


@pytest.mark.parametrize(
    'figure', [b'', b'nan', b'-5', b'0', b'1e308', b'9' * 400, b'\xb2', b'1_0', b'inf']
)
def test_bad_pace_is_logged_once_and_the_other_figures_count(figure):
    """Guards against a faulty figure that is believed, or that fills the log."""
    slots, events = Slots(make_upstream(1)), EventLog('test')
    for _ in range(3):
        apply_load(slots, b'1,2,5,' + figure, 5, events)
    assert not slots.pace.is_stated
    assert slots.unaccounted_calls == 3
    assert len(events.select(pb.TimelineRequest())) == 1


def test_valid_and_bad_paces_in_turn_are_logged_once():
    """Guards against an upstream that adds a line to the log with every second answer."""
    slots, events = Slots(make_upstream(1)), EventLog('test')
    for _ in range(3):
        apply_load(slots, b'1,2,5,250', 5, events)
        apply_load(slots, b'1,2,5,fast', 5, events)
    assert len(events.select(pb.TimelineRequest())) == 1
