import math

import pytest

from camphorpath.routing import CallKind
from camphorpath.streams import ResumableServices, RouteTarget, StreamPath
from camphorpath.streams.services import HORIZON_MARGIN_S

from ..routing.test_table import make_route


def make_stream_route(prefix='/s/', *services, timeout_s=8, is_resumable=True):
    return make_route(
        prefix,
        kind=CallKind.STREAM,
        is_resumable=is_resumable,
        timeout_s=timeout_s,
        targets=tuple((service, 1.0) for service in services),
    )


def test_horizon_covers_the_longest_route_also_of_an_older_manifest():
    """Guards against streams that are older than the time for which versions are remembered."""
    services = ResumableServices()
    services.apply_routes([make_stream_route('/s/', 'llm', timeout_s=9)], 0)
    services.apply_routes([make_stream_route('/s/', 'llm', timeout_s=2)], 1)
    assert services.get_horizon_s('llm') == 2 * 9 + HORIZON_MARGIN_S


def test_dropped_service_is_remembered_for_its_horizon():
    """Guards against a stream that goes on at the service to which its route was moved."""
    services = ResumableServices()
    services.apply_routes([make_stream_route('/s/', 'old')], 0)
    assert not services.is_shared('old', 1)
    services.apply_routes([make_stream_route('/s/', 'new')], 5)
    assert services.list_dropped(5 + services.get_horizon_s('old')) == {'old'}
    assert services.is_shared('new', 6)
    assert not services.list_dropped(6 + services.get_horizon_s('old'))


def test_services_of_one_route_are_shared():
    """Guards against records that are not kept while a canary service serves a part of a route."""
    services = ResumableServices()
    services.apply_routes(
        [make_stream_route('/s/', 'llm', 'canary'), make_stream_route('/t/', 'other')], 0
    )
    assert services.is_shared('llm', 1)
    assert not services.is_shared('other', 1)


def test_routes_that_cannot_be_resumed_do_not_count():
    """Guards against records that nobody can use."""
    services = ResumableServices()
    services.apply_routes([make_stream_route('/s/', 'llm', 'canary', is_resumable=False)], 0)
    assert not services.is_shared('llm', 1)
    assert not services.list_services()


def list_candidates(services, now, prefix='/s/', path='/s/x/1'):
    return services.list_candidates(StreamPath('h', path, prefix), now)


def test_any_service_may_have_begun_a_stream_on_a_route_that_is_not_resumable():
    """Guards against a stream of a route that was resumable, or is not any more."""
    services = ResumableServices()
    services.apply_routes([make_stream_route('/s/', 'llm')], 0)
    assert list_candidates(services, 1) == {'llm'}
    services.apply_routes([make_stream_route('/s/', 'llm', is_resumable=False)], 5)
    assert list_candidates(services, 6) is None
    assert services.is_shared('llm', 6)


def test_service_of_a_longer_prefix_that_was_removed_is_a_candidate_for_its_paths():
    """Guards against a stream that goes on at the service of the shorter prefix."""
    services = ResumableServices()
    routes = [make_stream_route('/s/', 'llm'), make_stream_route('/s/x/', 'other')]
    services.apply_routes(routes, 0)
    services.apply_routes(routes[:1], 5)
    assert list_candidates(services, 6) == {'llm', 'other'}
    assert list_candidates(services, 6, path='/s/y/1') == {'llm'}
    assert list_candidates(services, 6 + services.get_horizon_s('other')) == {'llm'}


def test_route_of_another_host_is_no_candidate():
    """Guards against take-ups that are refused because of a change on another host."""
    services = ResumableServices()
    services.apply_routes([make_stream_route('/s/', 'llm')], 0)
    services.learn_target(RouteTarget('other', '/s/', 'older', 8, 0), 1)
    assert list_candidates(services, 1) == {'llm'}


@pytest.mark.parametrize('is_dropped', [False, True])
def test_streams_may_have_begun_on_the_paths_of_routes_that_are_or_were_resumable(is_dropped):
    """Guards against a take-up that counts as a call of another kind."""
    services = ResumableServices()
    services.apply_routes([make_stream_route('/s/', 'llm')], 0)
    services.apply_routes([] if is_dropped else [make_stream_route('/s/', 'llm')], 5)
    late = 6 + services.get_horizon_s('llm')
    assert services.has_streams(StreamPath('h', '/s/x/1', '/s/x/'), 6)
    assert services.has_streams(StreamPath('h', '/s/x/1', '/s/x/'), late) is not is_dropped
    assert not services.has_streams(StreamPath('h', '/t/x', '/t/'), 6)
    assert not services.has_streams(StreamPath('other', '/s/x/1', '/s/x/'), 6)


def test_calls_of_a_plain_route_below_a_resumable_one_are_not_refused_for_good():
    """Guards against calls with an event id that count as take-ups of long ended streams."""
    services = ResumableServices()
    stream, plain = make_stream_route('/s/', 'llm'), make_route('/s/x/')
    path = StreamPath('h', '/s/x/1', '/s/x/')
    services.apply_routes([stream], 0)
    services.apply_routes([stream, plain], 5)
    services.apply_routes([stream, plain], 9)
    added_for = services.get_horizon_s('llm')
    assert services.has_streams(path, 5 + added_for)
    assert not services.has_streams(path, 6 + added_for)
    services.apply_routes([stream], 100)
    services.apply_routes([stream, plain], 200)
    assert services.has_streams(path, 200 + added_for)
    assert not services.has_streams(path, 201 + added_for)


def test_plain_route_that_was_a_resumable_one_may_have_streams_for_their_horizon():
    """Guards against a take-up that counts as a call after its route changed its kind."""
    services = ResumableServices()
    path = StreamPath('h', '/s/x/1', '/s/x/')
    services.apply_routes([make_route('/s/x/'), make_stream_route('/s/', 'llm')], 0)
    services.apply_routes([make_stream_route('/s/x/', 'llm')], 100)
    services.apply_routes([make_route('/s/x/'), make_stream_route('/s/', 'llm')], 200)
    assert services.has_streams(path, 200 + services.get_horizon_s('llm'))
    assert not services.has_streams(path, 201 + services.get_horizon_s('llm'))


def test_any_service_may_have_begun_a_stream_of_a_route_that_was_added_lately():
    """Guards against a stream that began at a shorter prefix and goes on at the longer one."""
    services = ResumableServices()
    routes = [make_stream_route('/s/', 'llm'), make_stream_route('/s/x/', 'other', timeout_s=2)]
    services.apply_routes(routes[:1], 0)
    services.apply_routes(routes, 5)
    assert list_candidates(services, 6, '/s/x/') is None
    assert list_candidates(services, 6, path='/s/y/1') == {'llm'}
    assert services.is_shared('llm', 6)
    late = 6 + services.get_horizon_s('llm')
    assert list_candidates(services, late, '/s/x/') == {'other'}
    assert not services.is_shared('llm', late)


def test_any_service_may_have_begun_a_stream_of_a_route_that_became_resumable():
    """Guards against streams that left no records and go on at the service of the route now."""
    services = ResumableServices()
    services.apply_routes([make_stream_route('/s/', 'old', is_resumable=False)], 0)
    services.apply_routes([make_stream_route('/s/', 'new')], 5)
    assert list_candidates(services, 6) is None
    assert list_candidates(services, 6 + services.get_horizon_s('new')) == {'new'}


@pytest.mark.parametrize('is_resumable', [False, True])
def test_service_of_a_removed_route_counts_whether_that_was_resumable_or_not(is_resumable):
    """Guards against a stream that goes on at the service of a shorter prefix."""
    services = ResumableServices()
    routes = [
        make_stream_route('/s/', 'llm'),
        make_stream_route('/s/x/', 'other', is_resumable=is_resumable),
    ]
    services.apply_routes(routes, 0)
    services.apply_routes(routes[:1], 5)
    assert list_candidates(services, 6) == {'llm', 'other'}
    assert services.is_shared('llm', 6)
    assert list_candidates(services, 6 + services.get_horizon_s('other')) == {'llm'}


def test_any_service_may_have_begun_a_stream_of_a_route_that_returned():
    """Guards against two manifests in quick succession, the first of which lacks the route."""
    services = ResumableServices()
    routes = [make_stream_route('/s/', 'llm'), make_stream_route('/s/x/', 'other')]
    for now, applied in enumerate((routes, routes[:1], routes)):
        services.apply_routes(applied, now)
    assert list_candidates(services, 3, '/s/x/') is None


@pytest.mark.parametrize('names', [('llm', 'canary'), ('canary',)])
def test_services_of_a_route_that_was_split_or_moved_are_candidates(names):
    """Guards against take-ups that need a record although the route was resumable all along."""
    services = ResumableServices()
    for now, targets in enumerate((('llm',), names)):
        services.apply_routes([make_stream_route('/s/', *targets)], now)
    assert list_candidates(services, 3) == {'llm', 'canary'}


def test_route_that_became_resumable_counts_for_the_longest_timeout_of_all():
    """Guards against streams that began on a route with a longer timeout."""
    services = ResumableServices()
    routes = [make_stream_route('/s/', 'llm', timeout_s=20)]
    services.apply_routes(routes, 0)
    services.apply_routes([*routes, make_stream_route('/s/x/', 'other', timeout_s=1)], 5)
    horizon_s = 2 * 20 + HORIZON_MARGIN_S
    assert list_candidates(services, 5 + horizon_s, '/s/x/') is None
    assert list_candidates(services, 6 + horizon_s, '/s/x/') == {'other'}


def make_target(service, timeout_s=8, dropped_s=None, since_s=None, prefix='/s/'):
    return RouteTarget('h', prefix, service, timeout_s, dropped_s, since_s)


def start(targets, routes, *, is_applied_first, now=5, is_new=False):
    """Return the services of a daemon that starts with some rows and a manifest."""
    services = ResumableServices()
    if is_applied_first:
        services.apply_routes(routes, now)
    for target in targets:
        services.learn_target(target, now)
    services.complete_load(now, is_new=is_new)
    services.apply_routes(routes, now)
    return services


@pytest.mark.parametrize('is_applied_first', [False, True])
def test_route_without_rows_was_added_at_the_start(is_applied_first):
    """Guards against a manifest that changed while all daemons were down."""
    routes = [make_stream_route('/s/', 'llm'), make_stream_route('/s/x/', 'other')]
    targets = [make_target('llm', since_s=-math.inf)]
    services = start(targets, routes, is_applied_first=is_applied_first)
    assert list_candidates(services, 6, path='/s/y/1') == {'llm'}
    assert list_candidates(services, 6, '/s/x/') is None
    assert services.has_unconfirmed
    services.learn_target(make_target('other', since_s=4, prefix='/s/x/'), 7)
    assert not services.has_unconfirmed
    assert list_candidates(services, 4 + services.get_horizon_s('llm'), '/s/x/') is None
    assert list_candidates(services, 4.5 + services.get_horizon_s('llm'), '/s/x/') == {'other'}


@pytest.mark.parametrize('is_applied_first', [False, True])
def test_streams_of_a_new_deployment_are_not_ambiguous(is_applied_first):
    """Guards against records of all streams after the first start of all daemons."""
    routes = [make_stream_route('/s/', 'llm'), make_stream_route('/s/x/', 'other')]
    services = start([], routes, is_applied_first=is_applied_first, is_new=True)
    assert list_candidates(services, 6, '/s/x/') == {'other'}
    assert not services.is_shared('llm', 6)
    services.apply_routes([*routes, make_stream_route('/t/', 'llm')], 7)
    assert services.is_shared('llm', 8)


@pytest.mark.parametrize('is_applied_first', [False, True])
def test_row_that_does_not_state_the_time_counts_for_a_horizon(is_applied_first):
    """Guards against rows of older builds that make services ambiguous for good, or never."""
    routes = [make_stream_route('/s/', 'llm')]
    services = start([make_target('llm')], routes, is_applied_first=is_applied_first)
    assert list_candidates(services, 6) is None
    services.learn_target(make_target('llm'), 20)
    assert list_candidates(services, 6 + services.get_horizon_s('llm')) == {'llm'}


def test_daemon_with_an_older_manifest_learns_of_a_newer_one_from_the_rows():
    """Guards against a take-up at a daemon that has missed a manifest."""
    routes = [make_stream_route('/s/', 'llm'), make_stream_route('/s/x/', 'other')]
    rows = [make_target('llm', since_s=0), make_target('other', since_s=0, prefix='/s/x/')]
    services = start(rows, routes, is_applied_first=False, now=100)
    assert list_candidates(services, 100, '/s/x/') == {'other'}
    services.learn_target(make_target('third', since_s=101, prefix='/s/y/'), 102)
    assert list_candidates(services, 102, path='/s/y/1') == {'llm', 'third'}
    services.learn_target(make_target('other', dropped_s=101, prefix='/s/x/'), 102)
    assert list_candidates(services, 102, '/s/x/') is None


def test_daemon_that_missed_a_break_of_a_route_learns_of_it_from_the_rows():
    """Guards against a daemon that was cut off while a route was removed and added again."""
    routes = [make_stream_route('/s/', 'llm')]
    rows = [make_target('llm', since_s=0)]
    services = start(rows, routes, is_applied_first=False, now=100)
    services.learn_target(make_target('llm', since_s=99), 101)
    assert list_candidates(services, 102) is None


@pytest.mark.parametrize('is_applied_first', [False, True])
def test_service_of_before_the_start_counts_as_dropped(is_applied_first):
    """Guards against a stream that goes on at another service, as its own one is not known."""
    services = ResumableServices()
    route = make_stream_route('/s/', 'new')
    if is_applied_first:
        services.apply_routes([route], 5)
    services.learn_target(make_target('old', timeout_s=20), 5)
    services.apply_routes([route], 5)
    horizon_s = 2 * 20 + HORIZON_MARGIN_S
    assert services.list_dropped(5 + horizon_s) == {'old'}
    assert not services.list_dropped(6 + horizon_s)


@pytest.mark.parametrize('is_applied_first', [False, True])
def test_unchanged_service_of_before_the_start_is_not_dropped(is_applied_first):
    """Guards against take-ups that are refused after each start of a daemon."""
    services = ResumableServices()
    if is_applied_first:
        services.apply_routes([make_stream_route('/s/', 'llm')], 5)
    services.learn_target(make_target('llm', timeout_s=20), 5)
    services.apply_routes([make_stream_route('/s/', 'llm')], 6)
    assert not services.list_dropped(7)
    assert services.get_horizon_s('llm') == 2 * 20 + HORIZON_MARGIN_S


def test_service_that_was_dropped_before_the_start_is_remembered_since_then():
    """Guards against starts of daemons that prolong the time in which a service counts."""
    services = ResumableServices()
    services.apply_routes([make_stream_route('/s/', 'new')], 100)
    services.learn_target(make_target('old', dropped_s=90), 100)
    services.learn_target(make_target('old'), 101)
    services.learn_target(make_target('older', dropped_s=10), 101)
    assert services.list_dropped(90 + services.get_horizon_s('old')) == {'old'}
    assert not services.list_dropped(91 + services.get_horizon_s('old'))


def test_targets_that_are_listed_restore_the_services():
    """Guards against a started daemon that knows other services than the one before."""
    services, started = ResumableServices(), ResumableServices()
    services.apply_routes(
        [make_stream_route('/s/', 'old'), make_stream_route('/t/', 'llm', 'canary')], 0
    )
    services.apply_routes([make_stream_route('/s/', 'new'), make_stream_route('/t/', 'llm')], 5)
    for target in services.list_targets():
        started.learn_target(target, 9)
    assert started.list_dropped(9) == services.list_dropped(9) == {'old', 'canary'}
    assert set(started.list_targets()) == set(services.list_targets())


def test_route_that_returns_to_a_service_has_not_dropped_it():
    """Guards against rows that keep a service as dropped while its route leads to it."""
    services = ResumableServices()
    for now, service in enumerate(('a', 'b', 'a')):
        services.apply_routes([make_stream_route('/s/', service)], now)
    assert {(target.service, target.dropped_s) for target in services.list_targets()} == {
        ('a', None),
        ('b', 2),
    }
