from camphorpath.routing import CallKind
from camphorpath.streams import ResumableServices
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
