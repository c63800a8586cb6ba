import attrs
import pytest

from camphorpath.cluster.members import Members
from camphorpath.edge.beliefs import MAX_NEWS_BYTES, Beliefs
from camphorpath.edge.settings import Bounds, EdgeSettings
from camphorpath.placement.ownership import Assignment
from camphorpath.schema import camphorpath_pb2 as pb

from ..cluster.test_members import make_beat
from ..placement.test_ownership import make_upstream
from ..relay.support import make_context

BOUNDS = Bounds(
    stop_limit_s=8,
    max_keep_s=5,
    retry_ratio=0.2,
    retry_window_s=10,
    retry_allowance=56,
    quota_window_s=8,
    quota_overshoot=0.1,
    quota_allowance=1000,
)
SETTINGS = EdgeSettings(
    name='me',
    zone='a',
    region='r',
    regions={'a': 'r'},
    host='10.0.0.1',
    callers_address='10.0.0.1:1',
    ready_address='10.0.0.1:2',
    directory_address='10.0.0.1:3',
    control_address='10.0.0.1:4',
    heartbeat_port=5,
    seeds=(),
    is_first_start=True,
    cores=1,
    store_url='http://10.0.0.9:1',
    bounds=BOUNDS,
)


@pytest.fixture
def beliefs():
    return Beliefs(
        settings=SETTINGS,
        incarnation='me-1',
        relay=make_context(()),
        members=Members(SETTINGS.host),
    )


def test_late_heartbeat_of_an_ended_process_changes_nothing(beliefs):
    """Guards against slots that are lent to the calls of a process that was replaced."""
    beliefs.take_beat(make_beat(incarnation='old', host='10.0.0.2'))
    beliefs.take_beat(make_beat(incarnation='new', host='10.0.0.2'))
    late = make_beat(incarnation='old', host='10.0.0.2', sequence=9, waiting={'llm': 3})
    beliefs.take_beat(late)
    assert beliefs.members.known['d1'].beat.incarnation == 'new'
    scheduler = beliefs.relay.scheduler
    scheduler.set_upstreams([make_upstream(1)], Assignment({}, {'i-1': 'me'}))
    assert not scheduler.report_loads(1, 0)['i-1'].borrower


def test_long_announcement_names_the_revisions_only(beliefs):
    """Guards against a manifest that goes to the whole fleet over the link of one daemon."""
    news = pb.SharedState(manifest=pb.PackedManifest(packed=b'x' * 2000, revision=7))
    beliefs.rows.take_manifest(b'x', 7)
    beat = beliefs.make_news(news, 0)
    assert beat.ByteSize() <= MAX_NEWS_BYTES
    assert beat.HasField('news')
    assert beat.manifest_revision == 7


def test_upstream_that_leaves_is_news_once(beliefs):
    """Guards against announcements that answer each other without end."""
    beliefs.view.put(attrs.evolve(make_upstream(1), incarnation=3))
    assert beliefs.note_leaving('i-1', 3, 'answer')
    assert not beliefs.note_leaving('i-1', 3, 'd1')
