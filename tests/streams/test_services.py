import pytest

from camphorpath.routing import CallKind
from camphorpath.streams import ResumableServices, RouteTarget
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


def make_target(service, timeout_s=8, dropped_s=None):
    return RouteTarget('h', '/s/', service, timeout_s, dropped_s)


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
