"""Encodes orders to move services, their phases and counts, in heartbeats and in stored rows."""

import math
import types
from collections.abc import Mapping

import attrs
import orjson

from ..errors import PeerError, PlatformError
from ..platform.fields import MAX_NAME_CHARS, decode_fields
from ..platform.revisions import get_era, get_version
from ..platform.rollouts import MAX_DURATION_S
from ..rollouts.records import Phase, RolloutOrder, Tally
from ..schema import camphorpath_pb2 as pb

# An order in a peer's news may be so many versions of the store ahead of what is known of it: a
# daemon that cannot read a store with 400 writes a second is that far behind after 7 hours.
MAX_VERSION_STEP = 10_000_000

# Numbers of the phases in heartbeats.
PHASES = types.MappingProxyType(
    {1: Phase.CANARY, 2: Phase.MOVING, 3: Phase.COMPLETED, 4: Phase.REVERTED}
)
NUMBERS = types.MappingProxyType({phase: number for number, phase in PHASES.items()})


@attrs.frozen
class OrderId:
    """What tells an order from others of its service, also after a restore of the store."""

    version: str
    duration_s: float
    revision: int

    def is_same(self, other: 'OrderId') -> bool:
        """Return whether two ids are of one order.

        A restore of the store gives another revision to the row of an order, or makes the platform
        write it again. Within an era, another revision is another order.
        """
        if (self.version, self.duration_s) != (other.version, other.duration_s):
            return False
        return self.revision == other.revision or get_era(self.revision) != get_era(other.revision)


@attrs.frozen
class PhaseRow:
    """The content of the row that binds all daemons to the phase of an order."""

    order_id: OrderId
    phase: Phase
    # The store's steady clock when the order was written, in seconds; None if unknown.
    written_store_time_s: float | None
    # Answers of the target version and bad ones among them when the row was written.
    answers: int = 0
    bad: int = 0
    # Versions that earlier orders named and did not complete, and whether they were reverted.
    barred: Mapping[str, bool] = attrs.field(factory=dict)


def encode_row(row: PhaseRow) -> bytes:
    """Return the content of a stored row."""
    return orjson.dumps(
        {
            'version': row.order_id.version,
            'duration_s': row.order_id.duration_s,
            'revision': row.order_id.revision,
            'phase': row.phase.value,
            'written_store_time_s': row.written_store_time_s,
            'answers': row.answers,
            'bad': row.bad,
            'barred': [
                {'version': version, 'is_reverted': is_reverted}
                for version, is_reverted in row.barred.items()
            ],
        }
    )


def decode_row(content: bytes) -> PhaseRow:
    """Return a stored row; raise PlatformError that names the problem."""
    fields = decode_fields(content)
    try:
        phase = Phase(fields.text('phase'))
    except ValueError as error:
        raise PlatformError('unknown phase', step='decode') from error
    has_time = fields.has('written_store_time_s')
    return PhaseRow(
        OrderId(fields.name('version'), fields.number('duration_s'), fields.whole('revision')),
        phase,
        fields.number('written_store_time_s') if has_time else None,
        fields.whole('answers', 0),
        fields.whole('bad', 0),
        {barred.name('version'): barred.flag('is_reverted') for barred in fields.objects('barred')},
    )


def encode_news(order: RolloutOrder, revision: int, phase: Phase, now: float) -> pb.RolloutNews:
    """Return an order and its phase for a heartbeat, without counts.

    `revision` is the newest known one of the order's row.
    """
    return pb.RolloutNews(
        service=order.service,
        version=order.version,
        revision=revision,
        duration=order.duration_s,
        age=max(now - order.written_at, 0),
        phase=NUMBERS[phase],
    )


def encode_tally(tally: Tally) -> pb.RolloutTally:
    """Return counts for a heartbeat; the order is that of the news that holds them."""
    return pb.RolloutTally(
        version=tally.version,
        route=tally.route,
        answers=tally.answers,
        bad=tally.bad,
        slow=tally.slow,
        bad_by_upstream=tally.bad_by_upstream,
        slow_by_upstream=tally.slow_by_upstream,
        timed_by_upstream=tally.timed_by_upstream,
    )


def check_news(news: pb.RolloutNews, newest: int) -> None:
    """Raise PeerError if news cannot be those of an order or of its removal.

    `newest` is the newest revision of the store that is known here or that the peer states.
    """
    if not _is_name(news.service) or not news.revision:
        raise PeerError('the service or the revision is missing or odd', step='decode')
    era_step = get_era(news.revision) - get_era(newest)
    if era_step > 1 or get_version(news.revision) > get_version(newest) + MAX_VERSION_STEP:
        # With such a revision, the orders that follow would look old.
        raise PeerError('the revision is far ahead of the store', step='decode')
    if not news.version:
        return
    if not _is_name(news.version) or news.phase not in PHASES:
        raise PeerError('the version or the phase is odd', step='decode')
    if not (0 < news.duration <= MAX_DURATION_S and 0 <= news.age < math.inf):
        raise PeerError('the duration or the age is out of range', step='decode')


def decode_order(news: pb.RolloutNews, now: float) -> RolloutOrder:
    """Return the order in checked news that arrived at `now`.

    The time on the way is not known; it makes the order look younger.
    """
    return RolloutOrder(
        news.service, news.version, news.revision, now - news.age, duration_s=news.duration
    )


def decode_tallies(news: pb.RolloutNews, revision: int) -> list[Tally]:
    """Return the counts in checked news of an order that is known here under `revision`."""
    return [
        Tally(
            service=news.service,
            version=tally.version,
            route=tally.route,
            revision=revision,
            answers=tally.answers,
            bad=tally.bad,
            slow=tally.slow,
            bad_by_upstream=dict(tally.bad_by_upstream),
            slow_by_upstream=dict(tally.slow_by_upstream),
            timed_by_upstream=dict(tally.timed_by_upstream),
        )
        for tally in news.tallies
    ]


def _is_name(text: str) -> bool:
    return 0 < len(text) <= MAX_NAME_CHARS and text.isprintable()
