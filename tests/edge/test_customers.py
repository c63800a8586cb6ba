from camphorpath.clocks import read_lease_clock
from camphorpath.cluster.members import Members
from camphorpath.edge.customers import report_customers
from camphorpath.edge.state import DaemonState

from ..cluster.test_members import make_heartbeat
from ..placement.test_customers import make_shares
from ..relay.support import make_context
from .test_state import SETTINGS


def test_each_customer_above_its_share_and_each_odd_daemon_is_logged_once():
    """Guards against a log that is flooded while a customer stays above its share."""
    relay = make_context(())
    relay.scheduler.customers = make_shares()
    members = Members(SETTINGS.host)
    state = DaemonState(settings=SETTINGS, incarnation='me-1', relay=relay, members=members)
    customers = relay.scheduler.customers
    opened_at = read_lease_clock()
    # The scheduler updates the shares before it places the first call.
    customers.update(opened_at, [])
    waiting = [customers.open_account(name, opened_at) for name in 'ab']
    waiting[0].record_placement(100)
    waiting[1].new_refusals = 3
    assert dict(state.make_heartbeat().served) == {'a': 100, 'b': 0}
    for sequence in range(1, 4):
        state.apply_heartbeat(make_heartbeat(sequence=sequence, served={'a': -1}))
    # The reports of the peer are stamped with the lease clock.
    waited_at = read_lease_clock()
    for tick in range(20):
        customers.update(waited_at, waiting)
        report_customers(relay, waited_at + tick / 4)
    names = [event.name for event in relay.events._records]
    assert [name for name in names if 'peer' in name or 'share' in name] == [
        'bad_peer',
        'customer_above_share',
        'customer_within_share',
    ]
    assert list(relay.metrics.customer_tokens.values.store.values()) == [100, 0]
    assert list(relay.metrics.customer_refusals.values.store.values()) == [0, 3]
