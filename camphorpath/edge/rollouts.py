"""Shares the orders to move services with peers, and keeps their phases in the metadata store.

Peers hear of orders, phases and counts in heartbeats, and at once in announcements. Only the phase
in the store is binding: one elected daemon writes it, or else the next one, on the condition that
no other daemon has changed its row since it was read. A transaction whose outcome is unknown is
settled by reading the row again. After a restore of the store from a copy the rows are written
again.
"""

import math
import zlib
from collections.abc import Awaitable, Callable, Mapping, Sequence

import anyio
import attrs
from aioprometheus import Counter, Gauge

from ..clocks import read_lease_clock
from ..cluster.follower import Follower
from ..cluster.heartbeats import HeartbeatSocket
from ..cluster.rollouts import (
    NUMBERS,
    PHASES,
    OrderId,
    PhaseRow,
    check_news,
    decode_order,
    decode_row,
    decode_tallies,
    encode_news,
    encode_row,
    encode_tally,
)
from ..errors import PeerError, PlatformError, RowsChanged, TableOutcomeUnknown, TableUnavailable
from ..events import Event
from ..platform.revisions import get_era
from ..platform.rollouts import decode_order as decode_order_row
from ..platform.rollouts import get_ordered_service, make_status_write
from ..platform.store import MetadataStore, Rows, RowWrite, StoreRow
from ..rollouts.records import Action, Advice, Bar, Phase, RolloutBounds, RolloutOrder, Tally
from ..rollouts.registry import Rollouts
from ..rollouts.schedule import Schedule
from ..rollouts.state import RETENTION_S
from ..routing import RoutingTable
from ..schema import camphorpath_pb2 as pb
from .settings import Bounds
from .state import DaemonState

PHASE_TABLE = 'camphorpath-rollouts'
# Pause after a call to the store that failed; a phase must be stored within the order's duration.
RETRY_DELAY_S = 0.3
# The writer is elected anew at this interval, that of the heartbeats of a small fleet.
ELECTION_INTERVAL_S = 0.25
# Each of this many next daemons writes a phase that the ones before it did not write within this
# time: a killed writer counts as lost after 1 s, or 8 s in a large fleet, and a phase that is late
# by 1 s misses the limit of an order of 12 s.
BACKUP_COUNT = 2
BACKUP_DELAY_S = 0.5
# Without an update for this time the daemon was suspended: updates come each 0.05 s. Then the
# heartbeats that arrive within DRAIN_S may have waited in the socket, and show no contact.
MIN_SUSPENSION_S = 0.6
DRAIN_S = 0.5
# Bytes of counts in a heartbeat, about; the rest is in the next ones. A daemon receives up to 200
# heartbeats a second.
MAX_TALLY_BYTES = 3000
# Counts are sent at once if such a part of this daemon's new answers of the version was bad, which
# is the part that is bad while a service is moved; at this interval at most.
JUMP_SHARE = 0.15
JUMP_INTERVAL_S = 0.1
# An order is shared for this time after its limit, and a removal for this time. Daemons that were
# cut off for longer read the orders from the store.
SHARE_MARGIN_S = 60.0
# Estimates of when an order was written differ by about this much between daemons.
MIN_CORRECTION_S = 0.1
# Bounds the memory for the senders of unreadable news and for unreadable rows that were logged.
MAX_LOGGED = 1000


@attrs.define
class _Held:
    """The newest order of a service, and what is known of its row in the store."""

    # As it was first heard of; it has the revision that the registry and the counts refer to.
    order: RolloutOrder
    # With the newest revision of the order's row.
    order_id: OrderId
    # As last known; the registry forgets completed orders.
    phase: Phase = Phase.CANARY
    # The phase that the store holds for `order_id`; None if it has to be read or written.
    stored: Phase | None = None
    # Since when the store may lack the phase; None if it does not.
    unsettled_since: float | None = None
    # MOVING or COMPLETED, if the registry advises it; the writer applies it once it is stored.
    advised: Phase | None = None
    # This daemon's answers of the target version and bad ones among them, as last sent, and when.
    sent_counts: tuple[int, int] = (0, 0)
    sent_at: float = 0


@attrs.frozen
class _StoredRow:
    """The row of a service as read from the store."""

    revision: int
    # None if the row cannot be read.
    content: PhaseRow | None
    # Estimated instant on the lease clock at which the order was written; None if unknown.
    written_at: float | None = None


@attrs.define
class RolloutMetrics:
    """The metrics of the moves of services, in the registry of the relay."""

    phases: Gauge
    bad: Gauge
    transactions: Counter


def connect_rollouts(
    state: DaemonState, follower: Follower, heartbeats: HeartbeatSocket, store: MetadataStore
) -> 'RolloutSync | None':
    """Let a daemon follow orders and return them, or None if its settings do not enable them."""
    relay = state.relay
    rollouts = make_rollouts(state.settings.bounds, lambda: relay.routing_table)
    if rollouts is None:
        return None
    sync = RolloutSync(rollouts, state, heartbeats, store)
    state.share_rollouts = sync.share_news
    follower.on_orders = sync.apply_orders
    # The scheduler asks these which upstreams a call may use.
    relay.scheduler.rollouts = rollouts
    return sync


def make_rollouts(
    bounds: Bounds, get_routing_table: Callable[[], RoutingTable | None]
) -> Rollouts | None:
    """Return the registry of orders, or None if the settings do not enable them."""
    share, allowance = bounds.canary_share, bounds.canary_allowance
    timeout_s = bounds.rollback_timeout_s
    if share is None or allowance is None or timeout_s is None:
        return None

    def get_time_limit(service: str) -> float:
        table = get_routing_table()
        routes = table.routes if table else ()
        limits = (route.timeout_s for route in routes if service in dict(route.targets))
        return max(limits, default=math.inf)

    return Rollouts(RolloutBounds(share, int(allowance), timeout_s), get_time_limit)


@attrs.define
class RolloutSync:
    """Passes orders and phases between the registry, the peers and the store."""

    rollouts: Rollouts
    state: DaemonState
    heartbeats: HeartbeatSocket
    store: MetadataStore
    metrics: RolloutMetrics = attrs.field(init=False)
    # Whether the phases were read, or a peer that knows the orders in progress was heard.
    is_informed: bool = False
    _held: dict[str, _Held] = attrs.field(factory=dict)
    # Revision of the last removal by service, and when this daemon heard of it.
    _removed: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    # Orders that a restore of the store lost; they go on if they are written again.
    _lost: dict[str, _Held] = attrs.field(factory=dict)
    # The rows by service, as last read.
    _rows: dict[str, _StoredRow] = attrs.field(factory=dict)
    # The store's clock minus the lease clock; None if the store never stated its time.
    _store_offset_s: float | None = None
    _updated_at: float = attrs.field(factory=read_lease_clock)
    # Instant from which heartbeats show contact to peers.
    _drained_at: float = 0
    # The place of this daemon among those that may write, from 0.
    _rank: int = 0
    # Counts as last sent by service, version and route, and the number of the heartbeat.
    _shared: dict[tuple[str, str, str], tuple[tuple[int, int, int], int]] = attrs.field(
        factory=dict
    )
    _share_count: int = 0
    _next_election_at: float = 0
    _restored: anyio.Event = attrs.field(init=False)
    _has_work: anyio.Event = attrs.field(factory=anyio.Event)
    _is_failing: bool = False
    _logged: set[str | int] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Register the metrics."""
        self._restored = self.state.restored
        registry = self.state.relay.metrics.registry
        self.metrics = RolloutMetrics(
            Gauge(
                'camphorpath_rollout_phase',
                'Phase of the newest order to move a service: 1 canary, 2 moving, 3 completed,'
                ' 4 reverted.',
                registry=registry,
            ),
            Gauge(
                'camphorpath_rollout_bad_answers',
                'Bad answers of the version that a service is moved to, as far as known here.',
                registry=registry,
            ),
            Counter(
                'camphorpath_rollout_transactions_total',
                'Transactions of this daemon that write a phase, by result.',
                registry=registry,
            ),
        )

    def apply_orders(self, rows: Rows, is_listing: bool) -> None:
        """Apply the orders of a listing, or the changed ones; both may hold removed rows."""
        listed = set()
        for row in rows.rows:
            service = get_ordered_service(row.key)
            if row.value is None:
                self._cancel(service, row.revision, 'store')
                continue
            # The order that an unreadable one follows stays in force.
            listed.add(service)
            self._apply_order_row(row, rows.answered_at)
        if not is_listing:
            return
        for service in self._held.keys() - listed:
            self._cancel(service, rows.revision, 'listing')

    def handle_news(self, heartbeat: pb.EdgeHeartbeat) -> None:
        """Apply the orders, phases and counts in a heartbeat or an announcement of a peer."""
        now = read_lease_clock()
        self._note_suspension(now)
        is_contact = now >= self._drained_at
        # A daemon that is ready knows the orders in progress; announcements hold single ones.
        self.is_informed = self.is_informed or heartbeat.ready
        tallies: list[Tally] = []
        rows = self.state.rows
        # A daemon that starts knows none.
        newest = max(rows.upstreams_revision, rows.manifest.revision)
        newest = newest or max(heartbeat.upstreams_revision, heartbeat.manifest_revision)
        for news in heartbeat.rollouts:
            try:
                check_news(news, newest)
            except PeerError as error:
                self._log_once(
                    heartbeat.incarnation,
                    Event.ROLLOUT_NEWS_INVALID,
                    sender=heartbeat.incarnation,
                    problem=str(error),
                )
                continue
            if not news.version:
                self._cancel(news.service, news.revision, heartbeat.name)
                continue
            held = self._adopt(decode_order(news, now), heartbeat.name)
            if held is None:
                continue
            self._apply_phase(held, PHASES[news.phase], heartbeat.name, is_contact=is_contact)
            tallies.extend(decode_tallies(news, held.order.revision))
        if is_contact:
            # Also without any: the registry counts on hearing its peers.
            self.rollouts.apply_tallies(heartbeat.incarnation, tallies)

    def share_news(self) -> list[pb.RolloutNews]:
        """Return the orders and removals for the next heartbeat, with this daemon's counts."""
        now = read_lease_clock()
        shared = {
            service: self._encode_held(held, now)
            for service, held in self._held.items()
            if now < held.order.ends_at + SHARE_MARGIN_S
        }
        self._add_tallies(shared)
        removals = [
            pb.RolloutNews(service=service, revision=revision)
            for service, (revision, removed_at) in self._removed.items()
            if now < removed_at + SHARE_MARGIN_S and service not in shared
        ]
        return [*shared.values(), *removals]

    def _add_tallies(self, shared: Mapping[str, pb.RolloutNews]) -> None:
        """Add this daemon's counts to news: changed ones first, then those not sent for longest.

        The others are repeated as datagrams get lost.
        """
        self._share_count += 1
        for service, held in self._held.items():
            held.sent_counts = self.rollouts.count_own(service)
        size = 0
        for tally in sorted(self.rollouts.share_tallies(), key=self._rank_tally):
            news = shared.get(tally.service)
            if news is None or PHASES[news.phase].is_final:
                continue
            news.tallies.append(encode_tally(tally))
            counts = tally.answers, tally.bad, tally.slow
            self._shared[tally.service, tally.version, tally.route] = counts, self._share_count
            size += news.tallies[-1].ByteSize()
            if size > MAX_TALLY_BYTES:
                return

    def _rank_tally(self, tally: Tally) -> tuple[bool, int]:
        key = tally.service, tally.version, tally.route
        counts, number = self._shared.get(key, (None, 0))
        return counts == (tally.answers, tally.bad, tally.slow), number

    def update(self, now: float) -> None:
        """Judge the orders, announce the verdicts reached here and wake the writer."""
        self._note_suspension(now)
        self._updated_at = now
        actives = sum(map(len, self.state.assignment.actives.values()))
        for held in self._held.values():
            held.advised = None
        members = self.state.members
        # Of a daemon that is silent without having said that it stops, this one may be cut off.
        self.rollouts.is_alone = not (members.known or members.list_running_hosts())
        for advice in self.rollouts.update(now, actives):
            self._apply_advice(advice)
        for held in self._held.values():
            self._share_jump(held, now)
        if self._restored.is_set():
            self._restored = self.state.restored
            self._forget_stored()
        if self._held and now >= self._next_election_at:
            self._next_election_at = now + ELECTION_INTERVAL_S
            self._rank = self.state.get_rank('rollouts')
            self._update_metrics()
        if any([self._has_turn(held, now) for held in self._held.values()]):
            self._has_work.set()

    def _share_jump(self, held: _Held, now: float) -> None:
        """Send counts before the next heartbeat if many new answers of a version were bad."""
        answers, bad = self.rollouts.count_own(held.order.service)
        known_answers, known_bad = held.sent_counts
        new_bad = bad - known_bad
        if new_bad <= 0 or new_bad < JUMP_SHARE * (answers - known_answers):
            return
        if now < held.sent_at + JUMP_INTERVAL_S or self._get_phase(held).is_final:
            return
        held.sent_counts = answers, bad
        held.sent_at = now
        news = self._encode_held(held, now)
        for tally in self.rollouts.share_tallies():
            is_target = (tally.service, tally.version) == (held.order.service, held.order.version)
            if is_target and tally.bad and news.ByteSize() < MAX_TALLY_BYTES:
                news.tallies.append(encode_tally(tally))
        self._announce(news)

    async def follow(self, watch_orders: Callable[[], Awaitable[None]]) -> None:
        """Read the phases, then run `watch_orders`, which passes on the orders, until cancelled.

        An order that was reverted must not send calls to its version again after a start.
        """
        while True:
            try:
                await self._read_rows()
            except TableUnavailable as error:
                self._log_failure(error)
                await anyio.sleep(RETRY_DELAY_S)
                continue
            self._is_failing = False
            break
        await watch_orders()

    async def write_phases(self) -> None:
        """Write the phases that the store lacks when it is this daemon's turn."""
        while True:
            await self._has_work.wait()
            self._has_work = anyio.Event()
            try:
                await self._settle_all()
            except RowsChanged:
                # `update` wakes this task again, which then reads the rows first.
                await anyio.sleep(RETRY_DELAY_S)
            except (TableUnavailable, TableOutcomeUnknown) as error:
                # As above.
                self._log_failure(error)
                await anyio.sleep(RETRY_DELAY_S)
                continue
            self._is_failing = False

    def _apply_order_row(self, row: StoreRow, answered_at: float) -> None:
        try:
            found = decode_order_row(row.key, row.value or b'')
        except PlatformError as error:
            self._log_invalid_row(row, error)
            return
        # The watchers get a row as soon as it is written.
        order = RolloutOrder(
            found.service, found.version, row.revision, answered_at, found.duration_s
        )
        self._adopt(order, 'store')

    def _adopt(self, order: RolloutOrder, source: str) -> _Held | None:
        """Take an order, unless a newer one or its removal is known; return None then."""
        service = order.service
        order_id = OrderId(order.version, order.duration_s, order.revision)
        held = self._held.get(service)
        if held is not None and held.order_id.is_same(order_id):
            if order_id.revision > held.order_id.revision:
                # The store was restored, and its row may be an older one.
                held.order_id = order_id
                held.stored = None
            self._correct_time(held, order.written_at)
            return held
        newest = 0 if held is None else held.order_id.revision
        if order.revision <= max(newest, self._removed.get(service, (0, 0))[0]):
            return None
        return self._start(order, order_id, source)

    def _correct_time(self, held: _Held, written_at: float) -> None:
        """Adopt an earlier estimate of when an order was written.

        All estimates are too late: by the way of a message, or by that of a row from a slow store.
        """
        order = held.order
        if written_at > order.written_at - MIN_CORRECTION_S:
            return
        if read_lease_clock() - written_at > order.duration_s + SHARE_MARGIN_S:
            return
        held.order = attrs.evolve(order, written_at=written_at)
        self.rollouts.correct_time(held.order)

    def _start(self, order: RolloutOrder, order_id: OrderId, source: str) -> _Held | None:
        """Begin an order, with the phase that it has if it is known from earlier."""
        service = order.service
        now = read_lease_clock()
        lost = self._lost.pop(service, None)
        if lost is not None and not lost.order_id.is_same(order_id):
            lost = None
        stored = self._find_row(service, order_id)
        known = (stored and stored.written_at, lost and lost.order.written_at)
        written_at = min(filter(None, known), default=order.written_at)
        order = attrs.evolve(order, written_at=min(written_at, order.written_at))
        self._note_suspension(now)
        is_contact = now >= self._drained_at
        if not self.rollouts.start(order, now, is_contact=is_contact):
            self._log_once(
                f'{service}/{order.revision}',
                Event.ROLLOUT_ORDER_INVALID,
                key=service,
                problem='too many orders are in progress',
                revision=order.revision,
            )
            return None
        held = _Held(order, order_id)
        self._held[service] = held
        self.state.relay.events.emit(
            Event.ROLLOUT_STARTED,
            service=service,
            version=order.version,
            revision=order.revision,
            duration_s=order.duration_s,
            age_s=round(now - order.written_at, 2),
            source=source,
        )
        if lost is not None:
            self._apply_phase(held, lost.phase, 'memory', is_contact=is_contact)
        self._bar_earlier(held)
        if stored is not None and stored.content is not None:
            self._apply_phase(held, stored.content.phase, 'store', is_contact=is_contact)
        if source == 'store':
            self._announce(self._encode_held(held, now))
        return held

    def _bar_earlier(self, held: _Held) -> None:
        """Leave the versions of earlier orders without calls, as the row of the service tells.

        It is that of the order, or of an earlier one if this order was not stored yet.
        """
        stored = self._rows.get(held.order.service)
        if stored is None or stored.content is None:
            return
        content = stored.content
        until = held.order.ends_at + RETENTION_S
        barred = {version: Bar(until, is_bad) for version, is_bad in content.barred.items()}
        order_id = content.order_id
        if not order_id.is_same(held.order_id) and content.phase is not Phase.COMPLETED:
            if stored.written_at is not None:
                until = stored.written_at + order_id.duration_s + RETENTION_S
            barred[order_id.version] = Bar(until, content.phase is Phase.REVERTED)
        self.rollouts.bar(held.order.service, barred)

    def _cancel(self, service: str, revision: int, source: str) -> None:
        """Forget the order of a service if it is older than a removal."""
        held = self._held.get(service)
        known = self._removed.get(service, (0, 0))[0]
        if revision <= known or (held is not None and held.order_id.revision > revision):
            return
        now = read_lease_clock()
        self._removed[service] = revision, now
        if held is None:
            return
        phase = self._get_phase(held)
        if get_era(revision) > get_era(held.order_id.revision):
            self._lost[service] = held
        self._held.pop(service)
        self.rollouts.cancel(service, now)
        self.state.relay.events.emit(
            Event.ROLLOUT_CANCELLED,
            service=service,
            version=held.order.version,
            phase=phase.value,
            revision=revision,
            source=source,
        )
        if source in {'store', 'listing'}:
            self._announce(pb.RolloutNews(service=service, revision=revision))

    def _apply_phase(
        self, held: _Held, phase: Phase, source: str, *, is_contact: bool = True
    ) -> None:
        order = held.order
        now = read_lease_clock()
        service, revision = order.service, order.revision
        if self.rollouts.apply_phase(service, revision, phase, now, is_contact=is_contact):
            self.state.relay.events.emit(
                Event.ROLLOUT_PHASE_TAKEN,
                service=order.service,
                version=order.version,
                phase=phase.value,
                source=source,
            )

    def _apply_advice(self, advice: Advice) -> None:
        held = self._held[advice.order.service]
        if advice.action is not Action.REVERT:
            held.advised = advice.action.phase
            return
        self.state.relay.events.emit(
            Event.ROLLOUT_FAULT_FOUND,
            service=advice.order.service,
            version=advice.order.version,
            reason=advice.reason,
            answers=advice.answers,
            bad=advice.bad,
        )
        # At the time limit all daemons come to the verdict, and need not tell each other.
        if read_lease_clock() < Schedule(held.order, 0).reverts_at:
            self._announce(self._encode_held(held, read_lease_clock()))

    def _note_suspension(self, now: float) -> None:
        if now - self._updated_at > MIN_SUSPENSION_S:
            self._drained_at = now + DRAIN_S
            self._updated_at = now

    def _has_turn(self, held: _Held, now: float) -> bool:
        """Return whether this daemon should write the phase of an order now."""
        if self._is_settled(held):
            held.unsettled_since = None
            return False
        if held.unsettled_since is None:
            held.unsettled_since = now
        waited_s = now - held.unsettled_since
        return self._rank <= BACKUP_COUNT and waited_s >= self._rank * BACKUP_DELAY_S

    def _forget_stored(self) -> None:
        for held in self._held.values():
            held.stored = None

    def _is_settled(self, held: _Held) -> bool:
        """Return whether the store holds the phase that it should hold."""
        if held.stored is None or held.stored.is_final:
            return held.stored is not None
        return held.stored is self._get_target(held)

    def _get_target(self, held: _Held) -> Phase:
        """Return the phase that the store should hold, as far as this daemon can tell."""
        phase = self._get_phase(held)
        return phase if phase.is_final else held.advised or phase

    def _get_phase(self, held: _Held) -> Phase:
        rollout = self.rollouts.get(held.order.service)
        if rollout is not None:
            held.phase = rollout.phase
        return held.phase

    async def _read_rows(self) -> None:
        """Read all rows and apply their phases; raise TableUnavailable."""
        found = await self.store.read_table(PHASE_TABLE)
        if found.store_time_s is not None:
            self._store_offset_s = found.store_time_s - found.answered_at
        self.is_informed = True
        self._rows = {row.key: self._decode_row(row) for row in found.rows}
        for service, held in self._held.items():
            held.stored = None
            stored = self._find_row(service, held.order_id)
            if stored is None or stored.content is None:
                continue
            self._bar_earlier(held)
            self._apply_phase(held, stored.content.phase, 'store')
            if stored.content.order_id.revision == held.order_id.revision:
                held.stored = stored.content.phase

    def _decode_row(self, row: StoreRow) -> _StoredRow:
        try:
            content = decode_row(row.value or b'')
        except PlatformError as error:
            self._log_invalid_row(row, error)
            return _StoredRow(row.revision, None)
        written_at = None
        if content.written_store_time_s is not None and self._store_offset_s is not None:
            written_at = content.written_store_time_s - self._store_offset_s
        return _StoredRow(row.revision, content, written_at)

    def _find_row(self, service: str, order_id: OrderId) -> _StoredRow | None:
        """Return the row of an order as last read, or None if it is missing or of another order."""
        stored = self._rows.get(service)
        if stored is None or stored.content is None:
            return None
        return stored if stored.content.order_id.is_same(order_id) else None

    async def _settle_all(self) -> None:
        """Write the phases that the store lacks, without a read if the rows are known.

        Raises RowsChanged, after it tried all orders, TableUnavailable or TableOutcomeUnknown.
        """
        changed: RowsChanged | None = None
        if self._rank or any(held.stored is None for held in self._held.values()):
            # Another daemon may have written them since.
            await self._read_rows()
        for held in list(self._held.values()):
            is_held = self._held.get(held.order.service) is held
            if is_held and self._has_turn(held, read_lease_clock()):
                try:
                    await self._write_phase(held)
                except RowsChanged as error:
                    changed = error
        if changed is not None:
            raise changed

    async def _write_phase(self, held: _Held) -> None:
        order, order_id = held.order, held.order_id
        stored = self._rows.get(order.service)
        target = self._choose_written(held, stored)
        content = self._make_row(order, order_id, target)
        expected = stored.revision if stored else 0
        row = RowWrite(PHASE_TABLE, order.service, encode_row(content), expected)
        revision = await self._commit(held, target, (row, make_status_write(order, target)))
        if self._held.get(order.service) is not held or held.order_id != order_id:
            return
        self._apply_phase(held, target, 'own')
        if revision is not None:
            self._rows[order.service] = _StoredRow(revision, content, order.written_at)
            held.stored = target
        self._announce(self._encode_held(held, read_lease_clock()))

    def _make_row(self, order: RolloutOrder, order_id: OrderId, phase: Phase) -> PhaseRow:
        offset_s = self._store_offset_s
        store_time_s = None if offset_s is None else max(order.written_at + offset_s, 0)
        rollout = self.rollouts.get(order.service)
        counts = (rollout.answers, rollout.bad) if rollout else ()
        barred = self.rollouts.list_barred(order.service, read_lease_clock())
        names = {version: bar.is_reverted for version, bar in barred.items()}
        return PhaseRow(order_id, phase, store_time_s, *counts, barred=names)

    def _choose_written(self, held: _Held, stored: _StoredRow | None) -> Phase:
        """Return the phase to write in place of a stored one.

        Raises RowsChanged if that is of a newer order.
        """
        target = self._get_target(held)
        row = stored.content if stored else None
        if row is None:
            return target
        if row.order_id.is_same(held.order_id):
            # Only its revision is outdated, if the store holds a final phase.
            return row.phase if row.phase.is_final else target
        if row.order_id.revision > held.order_id.revision:
            raise RowsChanged('the store holds a newer order', step=held.order.service)
        return target

    async def _commit(self, held: _Held, phase: Phase, writes: Sequence[RowWrite]) -> int | None:
        """Write a phase; return the revision of its row, or None if it must be read.

        Raises RowsChanged, TableUnavailable or TableOutcomeUnknown; then the row is read first
        before the next attempt.
        """
        held.stored = None
        names = {'service': held.order.service, 'version': held.order.version, 'phase': phase.value}
        result = 'failed'
        try:
            written = await self.store.commit_rows(writes)
            result = 'written'
        except RowsChanged:
            result = 'refused'
            self.state.relay.events.emit(Event.ROLLOUT_PHASE_REFUSED, **names)
            raise
        except TableOutcomeUnknown:
            result = 'unknown'
            raise
        finally:
            self.metrics.transactions.inc({'result': result})
        self.state.relay.events.emit(Event.ROLLOUT_PHASE_WRITTEN, **names)
        return written.revision

    def _encode_held(self, held: _Held, now: float) -> pb.RolloutNews:
        return encode_news(held.order, held.order_id.revision, self._get_phase(held), now)

    def _announce(self, news: pb.RolloutNews) -> None:
        """Send news to all other daemons; without counts they fit in an announcement."""
        announcement = self.state.make_announcement(
            pb.SharedState(), self.state.rows.upstreams_revision
        )
        announcement.rollouts.append(news)
        self.heartbeats.send(announcement, self.state.members.hosts)

    def _update_metrics(self) -> None:
        for service, held in self._held.items():
            labels = {'service': service, 'version': held.order.version}
            self.metrics.phases.set(labels, NUMBERS[self._get_phase(held)])
            rollout = self.rollouts.get(service)
            if rollout is not None:
                self.metrics.bad.set(labels, rollout.bad)

    def _log_failure(self, error: PlatformError) -> None:
        """Log the first failure of the calls to the store until one succeeds."""
        if not self._is_failing:
            self.state.relay.events.emit(Event.ROLLOUT_STORE_FAILED, problem=str(error))
        self._is_failing = True

    def _log_invalid_row(self, row: StoreRow, error: PlatformError) -> None:
        self._log_once(
            zlib.crc32(row.value or b'', zlib.crc32(row.key.encode())),
            Event.ROLLOUT_ORDER_INVALID,
            key=row.key,
            problem=str(error),
            revision=row.revision,
        )

    def _log_once(self, cause: str | int, event: Event, **fields: object) -> None:
        """Log bad input once for each cause."""
        if cause in self._logged or len(self._logged) >= MAX_LOGGED:
            return
        self._logged.add(cause)
        self.state.relay.events.emit(event, **fields)
