"""Measures how often streams that callers take up go on where they can."""

import bisect
import collections
import json
import time

import attrs

# New streams at the same daemon this long before and after a take-up are compared with it.
NEIGHBOUR_S = 1.0
# A take-up needs so many upstreams of its software version that serve.
MIN_SERVING = 2
STATUS_OK = 200


@attrs.frozen
class Chance:
    """Whether a try could succeed when its call was sent."""

    # Whether the daemon ran and reached the others and the store.
    is_daemon_in_touch: bool
    is_store_up: bool
    # Whether upstreams of the version of the stream served; true for a new stream.
    is_version_served: bool


@attrs.define
class Share:
    """How many of some tries got an event or the end of their stream."""

    tried: int = 0
    succeeded: int = 0

    def add(self, *, is_success):
        self.tried += 1
        self.succeeded += is_success

    def merge(self, other):
        self.tried += other.tried
        self.succeeded += other.succeeded

    def __str__(self):
        share = f'{self.succeeded / self.tried:.2f}' if self.tried else 'no'
        return f'{self.succeeded} of {self.tried} ({share})'


@attrs.define
class TakeUps:
    """The take-ups of runs that could go on, and new streams at the same daemons and times."""

    gone_on: Share = attrs.field(factory=Share)
    begun: Share = attrs.field(factory=Share)
    # Take-ups that could go on but for the store, which was away, slow or sent no answers.
    without_store: Share = attrs.field(factory=Share)
    # Why take-ups that could go on did not, with the store and without it.
    reasons: collections.Counter = attrs.field(factory=collections.Counter)
    reasons_without_store: collections.Counter = attrs.field(factory=collections.Counter)
    # Why the other take-ups could not go on.
    excluded: collections.Counter = attrs.field(factory=collections.Counter)

    def merge(self, other):
        self.gone_on.merge(other.gone_on)
        self.begun.merge(other.begun)
        self.without_store.merge(other.without_store)
        self.reasons += other.reasons
        self.reasons_without_store += other.reasons_without_store
        self.excluded += other.excluded

    def summarize(self):
        return (
            f'of the take-ups that could go on {self.gone_on} did, of the new streams beside them '
            f'{self.begun} began; not: {dict(self.reasons.most_common())}; without the store '
            f'{self.without_store}, not: {dict(self.reasons_without_store.most_common())}; '
            f'could not: {dict(self.excluded.most_common())}'
        )


def judge_try(fleet, path, stream, tried):
    """Return the chance of a try that is about to be sent."""
    daemon = next(daemon for daemon in fleet.daemons if daemon.address == tried.daemon)
    links = [daemon.store_link, *(link for links in daemon.peer_links.values() for link in links)]
    is_in_touch = (
        daemon.is_running and not daemon.is_frozen and not any(link.is_cut for link in links)
    )
    is_served = True
    if tried.last_event_id:
        document = stream.events[-1].document
        is_served = _is_service_of(fleet, path, document['service']) and (
            _count_serving(fleet, document['service'], document['version']) >= MIN_SERVING
        )
    return Chance(is_in_touch, fleet.store.is_sound, is_served)


def measure_take_ups(streams):
    """Return how many take-ups of streams that may be resumed went on, of those that could."""
    measured = TakeUps()
    tries = [tried for stream in streams if stream.is_resumable for tried in stream.tries]
    # Instants of the take-ups that are counted, by daemon.
    taken_up_at = collections.defaultdict(list)
    for tried in tries:
        if not tried.last_event_id:
            continue
        if not _could_succeed(tried):
            measured.excluded[_describe_obstacle(tried)] += 1
            continue
        share, reasons = measured.gone_on, measured.reasons
        if tried.chance.is_store_up:
            taken_up_at[tried.daemon].append(tried.started_at)
        else:
            share, reasons = measured.without_store, measured.reasons_without_store
        is_success = _has_succeeded(tried)
        share.add(is_success=is_success)
        if not is_success:
            reasons[_describe_failure(tried)] += 1
    for instants in taken_up_at.values():
        instants.sort()
    for tried in tries:
        if tried.last_event_id or not (_could_succeed(tried) and tried.chance.is_store_up):
            continue
        instants = taken_up_at.get(tried.daemon, [])
        place = bisect.bisect_left(instants, tried.started_at - NEIGHBOUR_S)
        if place < len(instants) and instants[place] <= tried.started_at + NEIGHBOUR_S:
            measured.begun.add(is_success=_has_succeeded(tried))
    return measured


def _could_succeed(tried):
    chance = tried.chance
    return chance is not None and chance.is_daemon_in_touch and chance.is_version_served


def _has_succeeded(tried):
    return bool(tried.event_count) or tried.end == 'complete'


def _describe_obstacle(tried):
    if tried.chance is None:
        return 'no connection'
    return 'version not served' if tried.chance.is_daemon_in_touch else 'daemon out of touch'


def _describe_failure(tried):
    if tried.status is None:
        return f'no answer, {tried.end}'
    if tried.status == STATUS_OK:
        return f'no event, {tried.end}'
    return f'{tried.status} {tried.body.decode(errors="replace").strip()}'


def _is_service_of(fleet, path, service):
    """Return whether the newest manifest leads a path to a service and lets streams go on."""
    manifest = _read_row(fleet.store, 'op', 'config')
    routes = [route for route in manifest['routes'] if path.startswith(route['prefix'])]
    route = max(routes, key=lambda route: len(route['prefix']))
    return route['stream_resume'] and route['service'] == service


def _count_serving(fleet, service, software_version):
    """Return how many upstreams of a version serve and are registered as they are."""
    now = time.monotonic()
    return sum(
        upstream.service == service
        and upstream.software_version == software_version
        and upstream.is_up
        and not upstream.is_draining
        and now > max(upstream.stalled_until, upstream.refusing_until)
        and _read_row(fleet.store, 'servers', upstream.upstream_id) == upstream.make_entry()
        for upstream in fleet.upstreams
    )


def _read_row(store, table, key):
    row = store.rows.get((table, '', key))
    return None if row is None else json.loads(row.content)
