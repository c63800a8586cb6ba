"""The admission owner's view of one upstream."""

import collections
import math
from collections.abc import Iterator
from typing import Any

import attrs

from ..schema import camphorpath_pb2 as pb
from ..upstreams.load import LoadReport
from .prefixes import PrefixTracker
from .records import RunningRequest, WaitingRequest
from .speed import Speed

# Assumed bound on the clock difference between VMs when reports are compared with grants.
MAX_CLOCK_SKEW_S = 0.25
# Number of recent releases that are kept for the comparison with reports.
MAX_RELEASE_COUNT = 1000


@attrs.frozen
class ConnectionLoss:
    """A lost connection whose cause is not known; `lost_at` is on the lease clock.

    `ran_alone` maps each digest that ran there to whether it ran alone. The digests in
    `new_suspects` were not suspects before.
    """

    lost_at: float
    ran_alone: dict[str, bool] = attrs.field(factory=dict)
    new_suspects: set[str] = attrs.field(factory=set)


@attrs.define(eq=False)
class Upstream:
    """A VM that runs requests: its report, the requests granted to it and its learned speed.

    `vm` is the VM's entry in the VM list. `foreign` counts reported requests that this owner did
    not grant. `reserved_for` is the id of the crash suspect for which the upstream is being
    emptied, and `is_exclusive` is set while one runs there alone. `polled_at` is the time of the
    first poll that was answered with the current report, which is treated as no newer;
    `answered_at` is the time of the last answer. Both are on the lease clock. `is_unresponsive` is
    set while the log shows this state. A slow upstream (`is_slow`) receives only probes, the next
    one from `next_probe_at`.
    """

    vm: Any
    pool: pb.Pool = attrs.field(
        on_setattr=lambda upstream, _attribute, pool: upstream.apply_pool(pool)
    )
    running: dict[str, RunningRequest] = attrs.field(factory=dict)
    report: LoadReport | None = None
    polled_at: float = -math.inf
    answered_at: float = -math.inf
    refusing_until: float = -math.inf
    foreign: int = 0
    tokens: int = 0
    work_s: float = 0
    prefixes: PrefixTracker = attrs.field(factory=PrefixTracker)
    speed: Speed = attrs.field(factory=Speed)
    is_unresponsive: bool = False
    is_slow: bool = False
    next_probe_at: float = 0
    reserved_for: str = ''
    is_exclusive: bool = False
    loss: ConnectionLoss | None = None
    slots: int = attrs.field(init=False)
    max_tokens: int = attrs.field(init=False)
    prefill_rate: float = attrs.field(init=False)
    decode_rate: float = attrs.field(init=False)
    _releases: collections.deque[tuple[float, float]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_RELEASE_COUNT)
    )

    def __attrs_post_init__(self) -> None:
        """Copy the settings of the pool."""
        self.apply_pool(self.pool)

    @property
    def name(self) -> str:
        """Return the name of the VM."""
        return self.vm.name

    @property
    def url(self) -> str:
        """Return the base URL for requests."""
        return f'http://{self.vm.address}'

    @property
    def occupied(self) -> int:
        """Return the number of requests that run there, including foreign ones."""
        return len(self.running) + self.foreign

    @property
    def is_leaving(self) -> bool:
        """Return whether the VM list or the report marks the upstream as leaving."""
        return self.vm.state != 'live' or (self.report is not None and self.report.draining)

    def apply_pool(self, pool: pb.Pool) -> pb.Pool:
        """Copy the settings that every decision reads, since protobuf access is slower."""
        self.slots = pool.slots
        self.max_tokens = pool.max_tokens
        self.prefill_rate = pool.prefill_rate
        self.decode_rate = pool.decode_rate
        return pool

    def describe(self, now: float, load_limit: float) -> str:
        """Return the state for operators; only `live` and `slow` upstreams may receive requests."""
        if self.vm.state != 'live':
            return 'leaving'
        if self.report is not None and self.report.draining:
            return 'draining'
        if now - self.polled_at > load_limit:
            return 'silent'
        if now < self.refusing_until:
            return 'refusing'
        return 'slow' if self.is_slow else 'live'

    def is_usable(self, now: float, load_limit: float) -> bool:
        """Return whether the upstream may receive requests."""
        return (
            now - self.polled_at <= load_limit
            and now >= self.refusing_until
            and self.vm.state == 'live'
            and not (self.report is None or self.report.draining)
        )

    def has_room(self, entry: WaitingRequest) -> bool:
        """Return whether the request fits into the free slots and tokens."""
        occupied = len(self.running) + self.foreign
        if occupied >= self.slots or self.is_exclusive:
            return not occupied
        if self.reserved_for and self.reserved_for != entry.request_id:
            return False
        limit = self.max_tokens
        return not (limit and occupied and self.tokens + entry.tokens > limit)

    def fits(self, entry: WaitingRequest, occupied: int, tokens: int) -> bool:
        """Return whether the request would fit beside `occupied` requests with `tokens` in all."""
        if not occupied:
            return True
        limit = self.max_tokens
        return occupied < self.slots and not (limit and tokens + entry.tokens > limit)

    def add(self, running: RunningRequest) -> None:
        """Count a granted request."""
        assert running.request_id not in self.running, running.request_id
        self.running[running.request_id] = running
        self.tokens += running.tokens
        self.work_s += running.work_s
        self.is_exclusive = self.is_exclusive or running.is_alone

    def remove(self, running: RunningRequest, ended_wall_at: float) -> None:
        """Stop counting a request that ended at `ended_wall_at`, in seconds since 1970."""
        self.running.pop(running.request_id)
        self.tokens -= running.tokens
        self.work_s -= running.work_s
        self._releases.append((running.granted_wall_at, ended_wall_at))
        if running.is_alone:
            self.is_exclusive = False

    def apply_report(self, report: LoadReport, now: float, polled_at: float) -> None:
        """Apply a report received at `now` that answers a poll sent at `polled_at`.

        A request granted by this owner that may have run at the time of the report is assumed to
        be included, so that only the requests in excess of these count as foreign.
        """
        if not self._is_repeated(report):
            self.polled_at = polled_at
        self.report = report
        self.answered_at = now
        earliest, latest = report.as_of - MAX_CLOCK_SKEW_S, report.as_of + MAX_CLOCK_SKEW_S
        own_count = sum(running.granted_wall_at <= latest for running in self.running.values())
        own_count += sum(
            granted <= latest and released >= earliest for granted, released in self._releases
        )
        self.foreign = max(0, report.running + report.waiting - own_count)

    def _is_repeated(self, report: LoadReport) -> bool:
        # An upstream that no longer updates its report repeats the same time. The comparison is
        # for equality only, since the upstream's clock may have been set back.
        if self.report is None or self.polled_at == -math.inf or self.is_restarted(report):
            return False
        return self.report.as_of == report.as_of

    def is_restarted(self, report: LoadReport) -> bool:
        """Return whether a report is of another incarnation than the last one."""
        return self.report is not None and self.report.incarnation != report.incarnation

    def find_ended(self, now: float) -> Iterator[RunningRequest]:
        """Yield the requests of lost home daemons that have ended by the newest report.

        A report counts requests without naming them. As many as are missing from it have ended;
        requests whose home daemon is connected are assumed to run. A request whose deadline has
        passed is yielded in any case.
        """
        orphans = [running for running in self.running.values() if running.session is None]
        if not orphans or self.report is None:
            return
        latest = self.report.as_of - MAX_CLOCK_SKEW_S
        own_count = sum(running.granted_wall_at <= latest for running in self.running.values())
        missing = own_count - self.report.running - self.report.waiting
        for orphan in orphans:
            if orphan.deadline < now:
                yield orphan
            elif missing > 0 and orphan.granted_wall_at <= latest:
                missing -= 1
                yield orphan
