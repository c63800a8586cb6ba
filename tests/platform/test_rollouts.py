import orjson
import pytest

from camphorpath.errors import PlatformError
from camphorpath.platform.rollouts import OrderRow, decode_order, make_status_write
from camphorpath.rollouts.records import Phase, RolloutOrder

ORDER = {'service': 'a', 'to': 'v2', 'duration_s': 12}


def test_order_and_its_status():
    """Guards against names on the wire that the operator does not know."""
    assert decode_order('rollout/a', orjson.dumps(ORDER)) == OrderRow('a', 'v2', 12)
    order = RolloutOrder('a', 'v2', 1, 0, 12)
    states = {phase: orjson.loads(make_status_write(order, phase).content) for phase in Phase}
    assert states[Phase.CANARY] == {'service': 'a', 'to': 'v2', 'runner_state': 'in_progress'}
    assert [states[phase]['runner_state'] for phase in list(Phase)[1:]] == [
        'in_progress',
        'completed',
        'reverted',
    ]
    assert make_status_write(order, Phase.CANARY).key == 'rollout/a'


@pytest.mark.parametrize(
    'change',
    [
        {'service': 'b'},
        {'service': None},
        {'to': ''},
        {'to': 5},
        {'to': 'v' * 300},
        {'duration_s': 0},
        {'duration_s': -1},
        {'duration_s': '12'},
        {'duration_s': True},
        {'duration_s': 1e300},
        {'duration_s': None},
    ],
)
def test_odd_order_is_rejected(change):
    """Guards against an order that is guessed from bad fields."""
    with pytest.raises(PlatformError):
        decode_order('rollout/a', orjson.dumps({**ORDER, **change}))
