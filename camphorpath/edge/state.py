"""The view that one daemon has of the manifest, the upstreams and the other daemons."""

import math
import zlib
from collections.abc import Callable

import anyio
import attrs

from ..clocks import read_lease_clock
from ..cluster.follower import MAX_CONFIRMATION_AGE_S
from ..cluster.loads import decode_load, encode_load
from ..cluster.members import Member, Members
from ..cluster.quarantine import decode_quarantined, encode_quarantined, make_row_key
from ..cluster.shared import SharedRows
from ..cluster.watchers import choose_watchers
from ..errors import PlatformError
from ..events import Event
from ..hashing import rendezvous_score
from ..placement.budget import share_allowance
from ..placement.crashes import Crash, Pattern
from ..placement.engine_limits import apply_services
from ..placement.ownership import Assignment, Candidate, assign_owners, choose_actives
from ..placement.quota import QuotaReport
from ..platform.entries import decode_upstream
from ..platform.manifest import decode_manifest
from ..platform.revisions import get_era
from ..relay.context import RelayContext
from ..routing import UpstreamView
from ..schema import camphorpath_pb2 as pb
from .customers import apply_served
from .settings import EdgeSettings

# A longer announcement carries the revisions only. A datagram that is split into several packets is
# lost if any of them is, and one daemon would send the manifest to the whole fleet over its link.
MAX_ANNOUNCEMENT_BYTES = 1200


def _list_assignment_inputs(member: Member | None) -> tuple[object, ...]:
    """Return what the assignment of owners depends on; empty if the daemon takes no calls."""
    if member is None or not member.heartbeat.ready or member.heartbeat.stopping:
        return ()
    return member.heartbeat.zone, member.heartbeat.cores


@attrs.define(kw_only=True)
class DaemonState:
    """The state that a daemon reports in its heartbeats and updates from those of its peers."""

    settings: EdgeSettings
    incarnation: str
    relay: RelayContext
    members: Members
    view: UpstreamView = attrs.field(factory=UpstreamView)
    rows: SharedRows = attrs.field(init=False)
    assignment: Assignment = attrs.field(factory=Assignment)
    # Whether the last call to the store did not fail.
    is_store_up: bool = True
    # Returns the seconds since the manifest and upstreams held here were confirmed by the store.
    read_store_age: Callable[[], float] = lambda: math.inf
    # Set, and replaced, when the store was restored from a copy.
    restored: anyio.Event = attrs.field(factory=anyio.Event)
    # Returns the orders to move services for a heartbeat; none if such orders are ignored.
    share_rollouts: Callable[[], list[pb.RolloutNews]] = list
    _sequence: int = 0
    # Checksums of undecodable entries by upstream id, so that each is logged once.
    _invalid_checksums: dict[str, int] = attrs.field(factory=dict)
    _was_ready: bool = False
    # Whether upstreams have changed since owners were assigned and passed to the scheduler.
    _has_upstream_changes: bool = False

    def __attrs_post_init__(self) -> None:
        """Subscribe to changes of the manifest and the upstreams."""
        self.rows = SharedRows(
            self._apply_manifest,
            self._apply_upstream,
            on_upstreams_applied=self._reassign_if_changed,
            on_restored=self._handle_restore,
            on_outdated_manifest=lambda version, revision: self.relay.events.emit(
                Event.MANIFEST_OUTDATED,
                version=version,
                revision=revision,
                held=self.rows.manifest.version,
            ),
            on_outdated_upstreams=lambda count: self.relay.events.emit(
                Event.ROWS_OUTDATED, rows=count, held=self.rows.upstreams_revision
            ),
        )

    @property
    def is_ready(self) -> bool:
        """Whether callers should send calls to this daemon."""
        return (
            self.relay.routing_table is not None
            and self.rows.is_listed
            and not self.relay.is_stopping
        )

    @property
    def heartbeat_interval_s(self) -> float:
        """The seconds between the heartbeats of this daemon."""
        is_active = self.assignment.is_active(self.settings.name)
        return self.members.choose_interval(is_active=is_active)

    def make_heartbeat(self) -> pb.EdgeHeartbeat:
        """Return the next heartbeat of this daemon."""
        self._sequence += 1
        settings = self.settings
        now = read_lease_clock()
        quota_report = self.relay.quota.make_report(
            now, self.heartbeat_interval_s, len(self.members.list_running_hosts())
        )
        heartbeat = pb.EdgeHeartbeat(
            name=settings.name,
            incarnation=self.incarnation,
            sequence=self._sequence,
            host=settings.host,
            zone=settings.zone,
            callers_address=settings.callers_address,
            cores=settings.cores,
            ready=self.is_ready,
            stopping=self.relay.is_stopping,
            store_up=self.is_store_up,
            manifest_revision=self.rows.manifest.revision,
            manifest_version=self.rows.manifest.version,
            upstreams_revision=self.rows.upstreams_revision,
            upstreams_complete_since=self.rows.complete_since,
            used=quota_report.used,
            quota_demand=quota_report.demand,
            interval=self.heartbeat_interval_s,
            waiting=self.relay.scheduler.count_waiting(),
            store_age=self._encode_store_age(),
            served=self.relay.scheduler.customers.share_served(),
        )
        borrowers = max(sum(len(names) for names in self.assignment.actives.values()) - 1, 1)
        heartbeat.refused.update(self.relay.scheduler.count_refused(now))
        for upstream_id, load in self.relay.scheduler.report_loads(borrowers, now).items():
            heartbeat.loads.append(encode_load(upstream_id, load, now))
        heartbeat.quarantined.extend(self._encode_quarantined(now))
        heartbeat.rollouts.extend(self.share_rollouts())
        return heartbeat

    def make_announcement(self, changes: pb.SharedState, after: int) -> pb.EdgeHeartbeat:
        """Return the announcement of changes after the upstreams revision `after`."""
        settings = self.settings
        heartbeat = pb.EdgeHeartbeat(
            name=settings.name,
            incarnation=self.incarnation,
            host=settings.host,
            zone=settings.zone,
            manifest_revision=self.rows.manifest.revision,
            manifest_version=self.rows.manifest.version,
            upstreams_revision=self.rows.upstreams_revision,
            upstreams_complete_since=self.rows.complete_since,
            store_age=self._encode_store_age(),
            news=changes,
            news_after=after,
        )
        if heartbeat.ByteSize() > MAX_ANNOUNCEMENT_BYTES:
            heartbeat.news.Clear()
            heartbeat.news.SetInParent()
        return heartbeat

    def make_quarantine_announcement(self) -> pb.EdgeHeartbeat:
        """Return the announcement of the latest patterns of quarantined calls that fit."""
        heartbeat = self.make_announcement(pb.SharedState(), self.rows.upstreams_revision)
        for quarantined in reversed(self._encode_quarantined(read_lease_clock())):
            if heartbeat.ByteSize() + quarantined.ByteSize() > MAX_ANNOUNCEMENT_BYTES:
                break
            heartbeat.quarantined.append(quarantined)
        return heartbeat

    def apply_heartbeat(self, heartbeat: pb.EdgeHeartbeat) -> None:
        """Update members, loads and quota from the heartbeat of another daemon."""
        if heartbeat.name == self.settings.name:
            return
        now = read_lease_clock()
        before = self.members.known.get(heartbeat.name)
        inputs_before = _list_assignment_inputs(before)
        replaced = self.members.observe(heartbeat, now)
        if replaced is not None:
            self._discard_member_reports(replaced)
        member = self.members.known.get(heartbeat.name)
        if member is None or member.heartbeat is not heartbeat:
            # The heartbeat arrived out of order and is outdated.
            return
        if before is None or replaced is not None:
            self.relay.events.emit(
                Event.MEMBER_JOINED, member=heartbeat.incarnation, address=heartbeat.callers_address
            )
        self._adopt_quarantined(heartbeat)
        if not heartbeat.store_up:
            self.record_store_failure()
        report = QuotaReport(
            used=dict(heartbeat.used),
            demand=dict(heartbeat.quota_demand),
            interval_s=heartbeat.interval,
        )
        self.relay.quota.apply_report(heartbeat.incarnation, report, now, heartbeat.name)
        apply_served(self.relay, heartbeat, now)
        loads = {load.upstream: decode_load(load, now) for load in heartbeat.loads}
        changed = self.relay.scheduler.apply_loads(
            heartbeat.name,
            heartbeat.incarnation,
            loads,
            heartbeat.waiting,
            refused=heartbeat.refused,
            now=now,
            lent_until=member.lost_at(),
        )
        for slots in changed:
            self.relay.events.emit(
                Event.UPSTREAM_LIMITED,
                '',
                slots.upstream.upstream_id,
                rate=slots.rate_limit.rate,
                source=heartbeat.name,
            )
        if _list_assignment_inputs(member) != inputs_before:
            self.reassign()

    def apply_announcement(self, heartbeat: pb.EdgeHeartbeat) -> None:
        """Apply what another daemon announces about leaving upstreams and crashes."""
        for leaving in heartbeat.news.leaving:
            self.mark_leaving(leaving.upstream, leaving.incarnation, heartbeat.name)
        quarantine = self.relay.quarantine
        for crash in heartbeat.news.crashes:
            reported = Crash(crash.digest, crash.upstream, frozenset(crash.parts), crash.events)
            quarantine.record_crash(reported, read_lease_clock(), is_from_peer=True)
        for digest in heartbeat.news.cleared:
            quarantine.apply_cleared(digest, read_lease_clock())
        self._adopt_quarantined(heartbeat)

    def record_store_failure(self) -> None:
        """Take the store for lost if it confirmed the state held here to nobody lately.

        Else one daemon is cut off from it, or stood still, while upstreams reach it.
        """
        if self.read_store_age() > MAX_CONFIRMATION_AGE_S:
            self.view.mark_store_unstable(read_lease_clock())

    def expire(self) -> None:
        """Remove members without recent heartbeats, and upstreams whose grace period is over."""
        now = read_lease_clock()
        lost = self.members.expire(now)
        for member in lost:
            self._discard_member_reports(member)
            silent_s = round(now - member.heard_at, 2)
            self.relay.events.emit(
                Event.MEMBER_LOST, member=member.heartbeat.incarnation, silent_s=silent_s
            )
        self.expire_upstreams()
        self.rows.expire(now)
        self.relay.origins.expire(now)
        if lost or self._was_ready != self.is_ready:
            self.reassign()

    def expire_upstreams(self) -> None:
        """Remove the upstreams whose entries lapsed and did not come back in time."""
        gone = self.view.expire(read_lease_clock())
        for upstream_id in gone:
            self.relay.events.emit(Event.UPSTREAM_GONE, '', upstream_id, reason='not back')
        if gone:
            self._has_upstream_changes = True
            self.reassign()

    def reassign(self) -> None:
        """Choose the active daemons and, if they or the upstreams changed, assign the owners.

        Active daemons are those that take calls. The scheduler has the new assignment when this
        returns.
        """
        self._was_ready = self.is_ready
        candidates = self.members.list_candidates()
        settings = self.settings
        if self.is_ready:
            candidates.append(Candidate(settings.name, settings.zone, settings.cores))
        usable = [upstream for upstream in self.view.all() if not upstream.is_leaving]
        actives = choose_actives(candidates, usable, settings.regions)
        if actives != self.assignment.actives:
            self.relay.events.emit(
                Event.ACTIVES_CHANGED,
                actives=sorted(name for names in actives.values() for name in names),
                members=len(candidates),
            )
        elif not self._has_upstream_changes:
            return
        self._has_upstream_changes = False
        owners = assign_owners(actives, usable, settings.regions)
        self.assignment = Assignment(actives, owners)
        scheduler, table = self.relay.scheduler, self.relay.routing_table
        scheduler.set_upstreams(self.view.all(), self.assignment)
        if table is not None:
            apply_services(scheduler.slots.values(), table.services)

    def is_watcher(self) -> bool:
        """Return whether this daemon polls the store for changes and announces them."""
        return self.settings.name in choose_watchers(
            self.assignment.actives, self._list_connected()
        )

    def is_version_writer(self) -> bool:
        """Return whether this daemon keeps the registered software versions in the store."""
        return self.get_rank('versions') == 0

    def get_rank(self, task: str) -> int:
        """Return how many daemons that reach the store come before this one for a task."""
        own, connected = self.settings.name, self._list_connected()
        if own not in connected:
            return len(connected)
        own_score = rendezvous_score(task, own)
        return sum(rendezvous_score(task, name) > own_score for name in connected)

    def list_versions(self) -> set[tuple[str, str]]:
        """Return service and software version of the registered upstreams, also of leaving ones."""
        return {(upstream.service, upstream.software_version) for upstream in self.view.all()}

    def _list_connected(self) -> list[str]:
        """Return the names of the daemons that reach the store.

        If no daemon does, a few keep trying and the others probe it at intervals: all names.
        """
        own = self.settings.name
        heartbeats = [member.heartbeat for member in self.members.known.values()]
        connected = [heartbeat.name for heartbeat in heartbeats if heartbeat.store_up]
        if self.is_store_up:
            connected.append(own)
        return connected or [own, *(heartbeat.name for heartbeat in heartbeats)]

    def compute_budget_share(self) -> float:
        """Return the fraction of the retry allowance that this daemon may use."""
        actives = sum(map(len, self.assignment.actives.values()))
        is_active = self.assignment.is_active(self.settings.name)
        return share_allowance(len(self.members.hosts) + 1, actives, is_active=is_active)

    def is_prober(self, pattern: Pattern) -> bool:
        """Return whether this daemon tries whether calls with a pattern still crash upstreams.

        One of the daemons that take calls does it, so that few calls are sent.
        """
        names = [name for group in self.assignment.actives.values() for name in group]
        key = make_row_key(pattern)
        best = max(names, key=lambda name: rendezvous_score(key, name), default='')
        return best == self.settings.name

    def list_addresses(self, zone: str, region: str) -> list[str]:
        """Return the addresses of the daemons that a caller in a zone should connect to.

        These are the active daemons of its region, or of all regions if it has none.
        """
        actives = self.assignment.actives
        names = actives.get(self.settings.regions.get(zone, region))
        if not names:
            names = tuple(name for group in actives.values() for name in group)
        known = {
            name: member.heartbeat.callers_address for name, member in self.members.known.items()
        }
        known[self.settings.name] = self.settings.callers_address
        return [known[name] for name in names if name in known]

    def _handle_restore(self, before: int, after: int) -> None:
        self.relay.events.emit(Event.STORE_RESTORED, before=get_era(before), era=get_era(after))
        self.view.mark_restored(read_lease_clock())
        self.restored.set()
        self.restored = anyio.Event()

    def _apply_manifest(self, content: bytes, revision: int) -> None:
        relay = self.relay
        current = relay.routing_table.version if relay.routing_table else 0
        try:
            table = decode_manifest(content)
        except PlatformError as error:
            relay.events.emit(Event.MANIFEST_REJECTED, revision=revision, problem=str(error))
            return
        if table.version < current:
            relay.events.emit(Event.MANIFEST_REJECTED, revision=revision, problem='older version')
            return
        relay.apply_routing_table(table)
        relay.events.emit(
            Event.MANIFEST_TAKEN,
            version=table.version,
            revision=revision,
            before=current,
            routes=len(table.routes),
            content_bytes=len(content),
        )

    def _apply_upstream(self, key: str, content: bytes | None, revision: int) -> None:
        if content is not None:
            self._put_upstream(key, content, revision)
            return
        self._invalid_checksums.pop(key, None)
        # Any removal is a change: while the store is unstable, the view may restore upstreams that
        # were removed shortly before.
        self._has_upstream_changes = True
        if self.view.remove(key, read_lease_clock()):
            self.relay.events.emit(
                Event.UPSTREAM_GONE, '', key, reason='removed', revision=revision
            )

    def _put_upstream(self, key: str, content: bytes, revision: int) -> None:
        events = self.relay.events
        try:
            upstream = decode_upstream(key, content)
        except PlatformError as error:
            self._has_upstream_changes = True
            self.view.remove(key, read_lease_clock())
            checksum = zlib.crc32(content)
            if self._invalid_checksums.get(key) != checksum:
                self._invalid_checksums[key] = checksum
                events.emit(
                    Event.UPSTREAM_ENTRY_INVALID, '', key, problem=str(error), revision=revision
                )
            return
        self._invalid_checksums.pop(key, None)
        self.relay.origins.history.record(
            upstream.service, upstream.software_version, read_lease_clock()
        )
        if self.view.is_outdated(upstream):
            events.emit(Event.ROWS_OUTDATED, '', key, rows=1, held=self.rows.upstreams_revision)
        if self.view.put(upstream):
            self._has_upstream_changes = True
            events.emit(
                Event.UPSTREAM_LEAVING if upstream.is_leaving else Event.UPSTREAM_FOUND,
                '',
                key,
                address=upstream.address,
                service=upstream.service,
                software_version=upstream.software_version,
                revision=revision,
            )

    def _reassign_if_changed(self) -> None:
        """Reassign owners once after a batch of rows has been applied."""
        if self._has_upstream_changes:
            self.reassign()

    def _encode_quarantined(self, now: float) -> list[pb.QuarantinedCalls]:
        return [encode_quarantined(shared) for shared in self.relay.quarantine.share_patterns(now)]

    def _adopt_quarantined(self, heartbeat: pb.EdgeHeartbeat) -> None:
        now = read_lease_clock()
        for message in heartbeat.quarantined:
            shared = decode_quarantined(message)
            if shared is not None:
                self.relay.quarantine.adopt(shared, now)
        self.relay.recheck_quarantine()

    def _encode_store_age(self) -> float:
        """Return the store age for a heartbeat; -1 if the state was never confirmed."""
        age_s = self.read_store_age()
        return age_s if math.isfinite(age_s) else -1

    def mark_leaving(self, upstream_id: str, incarnation: int, source: str) -> bool:
        """Mark an upstream as leaving, as reported by `source`; return whether that changed it."""
        if not self.view.mark_leaving(upstream_id, incarnation):
            return False
        self._has_upstream_changes = True
        self.relay.events.emit(Event.UPSTREAM_LEAVING, '', upstream_id, source=source)
        self.reassign()
        return True

    def _discard_member_reports(self, member: Member) -> None:
        self.relay.quota.remove_daemon(
            member.heartbeat.incarnation,
            read_lease_clock(),
            has_ended=member.heartbeat.stopping,
        )
        self.relay.scheduler.remove_daemon(member.heartbeat.incarnation)
