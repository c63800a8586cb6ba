"""The state of one service at its admission owner: its requests and its upstreams."""

import collections
import math
from collections.abc import Collection, Iterator
from typing import Any

import attrs

from ..events import Event
from ..schema import camphorpath_pb2 as pb
from ..upstreams.load import LoadReport
from .choice import PolicyState
from .context import Context
from .queue import WaitingQueue
from .records import RunningRequest, WaitingRequest
from .speed import estimate_work
from .stragglers import PROBE_INTERVAL_S, find_slow_changes
from .upstream import Upstream

GRANT_VALID_S = 1
# A new owner waits this long for the home daemons to register the requests that already run.
REGISTRATION_WAIT_S = 2
# An upstream that refused a request or lost its connection receives none for this long.
REFUSAL_COOLDOWN_S = 2
# A running request of a lost home daemon is counted until this long after its deadline, unless a
# load report shows earlier that it has ended.
ORPHAN_MARGIN_S = 10
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 30


@attrs.define(eq=False)
class ServiceState:
    """The queue, the running requests and the upstreams of one service.

    A request belongs to its home daemon, the one that accepted it and alone may dispatch it.
    """

    name: str
    context: Context
    owned_since: float
    queue: WaitingQueue = attrs.field(init=False)
    policy_state: PolicyState = attrs.field(init=False)
    running: dict[str, RunningRequest] = attrs.field(factory=dict)
    upstreams: dict[str, Upstream] = attrs.field(factory=dict)
    pools: dict[str, list[Upstream]] = attrs.field(factory=dict)
    reservations: dict[str, Upstream] = attrs.field(factory=dict)
    running_by_customer: collections.Counter[str] = attrs.field(factory=collections.Counter)
    # Counts of running requests by pool and tier rank.
    running_by_tier: dict[str, collections.Counter[int]] = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )
    sequence: int = 0
    _speeds_compared_at: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create an empty queue and the state of the selection policies."""
        self.queue = WaitingQueue()
        self.policy_state = PolicyState(self.context.view)

    @property
    def settings(self) -> pb.Service:
        """Return the settings of the service in the active configuration version."""
        return self.context.view.services[self.name]

    def may_grant(self) -> bool:
        """Return whether all members have registered their requests or the wait for it is over."""
        waited = self.context.clock() - self.owned_since
        return waited >= REGISTRATION_WAIT_S or self.context.is_confirmed(self.name)

    def find_usable(self, pool: str) -> list[Upstream]:
        """Return the upstreams of a pool that may receive requests now."""
        now, limit = self.context.clock(), self.settings.load_limit
        return [upstream for upstream in self.pools.get(pool, ()) if upstream.is_usable(now, limit)]

    def is_customer_at_limit(self, customer: str) -> bool:
        """Return whether a customer has reached its limit of running requests."""
        limit = self.context.view.customer_limit(self.name, customer)
        return bool(limit) and self.running_by_customer[customer] >= limit

    def is_service_at_limit(self) -> bool:
        """Return whether the service has reached its limit of running requests."""
        limit = self.context.view.service_limit(self.name)
        return bool(limit) and len(self.running) >= limit

    def is_suspect(self, entry: WaitingRequest) -> bool:
        """Return whether the request is a crash suspect, which has to run alone."""
        return self.context.suspects.count(self.name, entry.enqueue.digest) > 0

    def find_preemptible(self, rank: int) -> Iterator[RunningRequest]:
        """Yield the running requests of lower tiers that may be preempted, on any upstream.

        This includes upstreams that are leaving or unresponsive. No request is shed while a lower
        tier runs, even where the freed slot could not be used by another request.
        """
        for running in self.running.values():
            if running.rank > rank and running.may_be_preempted:
                yield running

    def add_waiting(self, session: Any, enqueue: pb.Enqueue) -> WaitingRequest:
        """Add a request to the queue; return its entry."""
        now = self.context.clock()
        pool = self.context.view.pool(self.name, enqueue.pool)
        work_s = estimate_work(pool, enqueue.prompt_tokens, enqueue.output_tokens)
        self.sequence += 1
        entry = WaitingRequest(
            enqueue,
            session,
            now,
            now + enqueue.time_left,
            self.sequence,
            work_s,
            prefill_s=estimate_work(pool, enqueue.prompt_tokens, 0),
            first_token_deadline=now
            + enqueue.first_token_left
            + self.context.view.allowed_first_token_delay(enqueue.tier),
        )
        self.queue.add(entry)
        return entry

    def remove_waiting(self, request_id: str) -> WaitingRequest | None:
        """Remove a request from the queue and cancel its reservation; return it, None if absent."""
        self.cancel_reservation(request_id)
        return self.queue.remove(request_id)

    def refuse(self, entry: WaitingRequest, reason: str, text: str, retry_after: float = 0) -> None:
        """Remove a waiting request from the queue and send its home daemon a refusal."""
        self.remove_waiting(entry.request_id)
        entry.session.refuse(
            pb.Refused(
                request_id=entry.request_id, reason=reason, text=text, retry_after=retry_after
            )
        )

    def cancel_reservation(self, request_id: str) -> None:
        """Cancel the reservation of the upstream that was being emptied for a crash suspect."""
        upstream = self.reservations.pop(request_id, None)
        if upstream is not None:
            upstream.reserved_for = ''

    def add_running(self, running: RunningRequest) -> None:
        """Count a request as running; its upstream may be unknown as yet."""
        assert running.request_id not in self.running, running.request_id
        self.running[running.request_id] = running
        self.running_by_customer[running.enqueue.customer] += 1
        self.running_by_tier[running.enqueue.pool][running.rank] += 1
        upstream = self.upstreams.get(running.upstream)
        if upstream is not None:
            upstream.add(running)

    def remove_running(self, running: RunningRequest) -> None:
        """Stop counting a running request."""
        self.running.pop(running.request_id)
        _decrease(self.running_by_customer, running.enqueue.customer)
        _decrease(self.running_by_tier[running.enqueue.pool], running.rank)
        upstream = self.upstreams.get(running.upstream)
        if upstream is not None:
            upstream.remove(running, self.context.wall_clock())

    def mark_orphaned(self, running: RunningRequest) -> None:
        """Detach a running request from its lost home daemon.

        It is counted until a load report shows that it has ended, or until its extended deadline.
        """
        running.session = None
        extended_deadline = running.deadline + ORPHAN_MARGIN_S
        running.deadline = extended_deadline
        self.context.add_timer(extended_deadline, self.name, running.request_id)

    def preempt(self, running: RunningRequest, waiting_for: str) -> None:
        """Order a request to stop; its slot becomes free when its home daemon releases it."""
        running.is_preempted = True
        self.context.events.emit(
            Event.PREEMPTED, running.request_id, running.upstream, waiting=waiting_for
        )
        running.session.preempt(running.request_id)

    def apply_vm_list(self, vms: list[Any]) -> None:
        """Apply the VM list of this service.

        An upstream that is no longer listed is kept while requests run there.
        """
        listed = {vm.name: vm for vm in vms}
        for name, upstream in list(self.upstreams.items()):
            if name in listed:
                continue
            if upstream.vm.state == 'live':
                self._log_leaving(name, 'vm_list')
            upstream.vm = attrs.evolve(upstream.vm, state='leaving')
            if not upstream.running and upstream.loss is None:
                self.upstreams.pop(name)
        for vm in vms:
            self._apply_vm(vm)
        self.pools = {}
        for upstream in self.upstreams.values():
            self.pools.setdefault(upstream.vm.pool, []).append(upstream)

    def apply_report(self, upstream: Upstream, report: LoadReport, polled_at: float) -> list[str]:
        """Apply a load report, the answer to a poll sent at `polled_at` on the lease clock.

        Return the digests of requests that are refused from now on.
        """
        refused = []
        if upstream.is_restarted(report):
            # Requests granted after the last answer may run on the new incarnation. Where one does
            # not, its home daemon reports the loss.
            lost = [
                running
                for running in upstream.running.values()
                if running.granted_at <= upstream.answered_at
            ]
            refused = self.record_upstream_crash(upstream, lost, 'restarted')
            for running in lost:
                self.remove_running(running)
            upstream.prefixes.clear()
        was_leaving = upstream.is_leaving
        upstream.apply_report(report, self.context.clock(), polled_at)
        if upstream.is_leaving and not was_leaving:
            self._log_leaving(upstream.name, 'report')
        for orphan in list(upstream.find_ended(self.context.clock())):
            self.remove_running(orphan)
        return refused

    def log_unresponsive(self) -> None:
        """Log each upstream once when its last report has become too old for grants."""
        oldest = self.context.clock() - self.settings.load_limit
        for upstream in self.upstreams.values():
            is_unresponsive = upstream.report is not None and upstream.polled_at < oldest
            if is_unresponsive and not upstream.is_unresponsive:
                self.context.events.emit(Event.UPSTREAM_SILENT, '', upstream.name)
            upstream.is_unresponsive = is_unresponsive

    def record_upstream_crash(
        self, upstream: Upstream, lost: Collection[RunningRequest], cause: str
    ) -> list[str]:
        """Record the requests that ran on a crashed upstream as crash suspects.

        Return the digests of those that are refused from now on.
        """
        self.context.events.emit(
            Event.UPSTREAM_LOST, '', upstream.name, cause=cause, running=len(lost)
        )
        limit = self.settings.crash_limit
        refused = []
        for running in lost:
            digest = running.enqueue.digest
            count = self.context.suspects.record(
                self.name, digest, limit, was_alone=running.is_alone
            )
            if count >= limit:
                refused.append(digest)
        return refused

    def update_slow_upstreams(self, pool: str) -> None:
        """Mark upstreams of a pool as slow, or as restored, by comparison with each other.

        A slow upstream receives only probes.
        """
        now = self.context.clock()
        if now < self._speeds_compared_at.get(pool, 0) + self.settings.load_interval:
            return
        self._speeds_compared_at[pool] = now
        for upstream in find_slow_changes(self.pools.get(pool, []), now):
            upstream.is_slow = not upstream.is_slow
            upstream.next_probe_at = now + PROBE_INTERVAL_S
            event = Event.UPSTREAM_SLOW if upstream.is_slow else Event.UPSTREAM_RESTORED
            self.context.events.emit(event, '', upstream.name, factor=upstream.speed.factor)

    def estimate_start(self, entry: WaitingRequest) -> float | None:
        """Return the estimated seconds until a waiting request starts; None without upstreams.

        The estimate assumes that all requests of its tier precede it and that half of the running
        work is done.
        """
        upstreams = self.find_usable(entry.enqueue.pool)
        if not upstreams:
            return None
        slots = sum(upstream.pool.slots for upstream in upstreams)
        ahead_s = self.queue.work_ahead(entry.enqueue.pool, entry.rank) - entry.work_s
        running_s = sum(upstream.work_s for upstream in upstreams) / 2
        factor = min(upstream.speed.factor for upstream in upstreams)
        return factor * max(ahead_s + running_s, 0) / slots

    def estimate_next_slot(self, entry: WaitingRequest) -> float | None:
        """Return the estimated seconds until a slot is free; None without upstreams.

        Occupied slots become free one after the other, so the requests ahead have only to start.
        `estimate_start` gives the time until they have ended, too long for a first token.
        """
        upstreams = self.find_usable(entry.enqueue.pool)
        if not upstreams:
            return None
        slots = sum(upstream.slots for upstream in upstreams)
        running = sum(len(upstream.running) for upstream in upstreams)
        if running < slots:
            return 0
        mean_s = sum(upstream.work_s for upstream in upstreams) / running
        ahead_s = self.queue.work_ahead(entry.enqueue.pool, entry.rank) - entry.work_s
        factor = min(upstream.speed.factor for upstream in upstreams)
        return factor * max(ahead_s + mean_s, 0) / slots

    def estimate_retry(self, entry: WaitingRequest) -> float:
        """Return the seconds after which a refused caller should retry."""
        start = self.estimate_start(entry)
        return (
            MAX_RETRY_AFTER_S
            if start is None
            else min(max(start, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        )

    def _log_leaving(self, name: str, source: str) -> None:
        self.context.events.emit(Event.UPSTREAM_LEAVING, '', name, source=source)

    def _apply_vm(self, vm: Any) -> None:
        pool = self.context.view.pool(self.name, vm.pool)
        if pool is None:
            return
        upstream = self.upstreams.get(vm.name)
        if upstream is not None:
            if vm.state != upstream.vm.state and vm.state != 'live':
                self._log_leaving(vm.name, 'vm_list')
            if vm.address != upstream.vm.address:
                # The new address is another process, to which the last report does not apply.
                upstream.polled_at = -math.inf
            upstream.vm = vm
            upstream.pool = pool
            return
        upstream = Upstream(vm, pool)
        self.upstreams[vm.name] = upstream
        self.context.events.emit(Event.UPSTREAM_FOUND, '', vm.name, pool=vm.pool)
        if vm.state != 'live':
            self._log_leaving(vm.name, 'vm_list')
        # Home daemons may have registered these requests before the VM list was read.
        for running in self.running.values():
            if running.upstream == vm.name:
                upstream.add(running)


def _decrease(counter: collections.Counter[Any], key: Any) -> None:
    counter[key] -= 1
    if not counter[key]:
        counter.pop(key)
