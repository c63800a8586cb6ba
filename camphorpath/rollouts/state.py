"""One order as one daemon knows it, and which upstreams it leaves to calls.

Load pattern: calls, retries and resumed streams that reach a version which was not confirmed or was
reverted, also while daemons restart, are frozen or hear of a verdict late.
"""

import collections
import zlib
from collections.abc import Collection, Hashable, Mapping

import attrs

from ..placement.records import WaitingCall
from ..placement.slots import Slots
from ..routing import Upstream
from .evidence import Counts, Evidence, Key
from .exposure import Exposure
from .records import Action, Advice, Bar, Phase, Rollout

# Heartbeats carry an order until this long after its end, and an operator may remove its row at
# once. Then it may be forgotten.
RETENTION_S = 60.0
# Evidence is also judged by what was counted within the last seconds.
WINDOW_S = 4.0
# While all new calls go to the new version, also by the last second: with 40 % of 110 answers a
# second bad, the window above found it after 44 to 82 bad answers.
MOVING_WINDOW_S = 1.0
SNAPSHOT_INTERVAL_S = 0.25
# Intervals of judgements while counts change, and otherwise, as the window moves on. Judging costs
# milliseconds with 1,200 upstreams. Updates come each 0.05 s, so that a verdict on slowness is late
# by 0.1 s at most; bad answers are judged at once.
CHANGED_INTERVAL_S = 0.14
UNCHANGED_INTERVAL_S = 0.2
# Phases replace those before them. COMPLETED replaces REVERTED: it was stored when it is applied,
# so that a REVERTED that is not stored is void.
_RANKS = (Phase.CANARY, Phase.MOVING, Phase.REVERTED, Phase.COMPLETED)

# Registered upstreams of a service that are not leaving, by version.
Registered = Mapping[str, int]


@attrs.frozen
class Judgement:
    """When an order was judged last, by what, and with which result."""

    judged_at: float
    change_count: int
    # A change of these is judged at once: the phase, the upstreams of the target version, its bad
    # answers, and which instants of the schedule have passed.
    cause: Hashable
    advice: Advice | None

    def is_valid(self, now: float, change_count: int, cause: Hashable) -> bool:
        """Return whether another judgement may wait."""
        is_changed = change_count != self.change_count
        interval_s = CHANGED_INTERVAL_S if is_changed else UNCHANGED_INTERVAL_S
        return cause == self.cause and now < self.judged_at + interval_s


@attrs.define
class OrderState:
    """What a daemon knows of one order; instants are in seconds on the lease clock."""

    rollout: Rollout
    evidence: Evidence
    exposure: Exposure
    # Versions that earlier orders named and did not complete.
    barred: dict[str, Bar]
    # Whether the row of the order was removed.
    is_cancelled: bool = False
    # Whether a peer was heard since the last update.
    was_heard: bool = False
    judgement: Judgement | None = None
    # Sums of the evidence at earlier instants.
    _snapshots: collections.deque[tuple[float, dict[Key, Counts]]] = attrs.field(
        factory=collections.deque
    )

    @property
    def phase(self) -> Phase:
        """The phase of the order."""
        return self.rollout.phase

    @property
    def version(self) -> str:
        """The target version of the order."""
        return self.rollout.order.version

    @property
    def forget_at(self) -> float:
        """Instant from which an order that ended needs no effect any more."""
        return self.rollout.order.ends_at + RETENTION_S

    def is_forgotten(self, now: float) -> bool:
        """Return whether the order has no effect any more."""
        return now > self.forget_at and (self.is_cancelled or self.phase is Phase.COMPLETED)

    def enter(self, phase: Phase, now: float) -> bool:
        """Enter a phase if it follows the current one; return whether."""
        if _RANKS.index(phase) <= _RANKS.index(self.phase):
            return False
        self.rollout.phase = phase
        self.rollout.phase_since = now
        return True

    def advise(self, action: Action, reason: str) -> Advice:
        """Return an advice on the order."""
        rollout = self.rollout
        return Advice(action, rollout.order, reason, rollout.answers, rollout.bad)

    def snapshot(self, now: float) -> None:
        """Keep the current sums for later."""
        snapshots = self._snapshots
        if not snapshots or now >= snapshots[-1][0] + SNAPSHOT_INTERVAL_S:
            snapshots.append((now, self.evidence.copy_sums()))
        while len(snapshots) > 1 and snapshots[1][0] <= now - WINDOW_S:
            snapshots.popleft()

    def get_sums_before(self, now: float, window_s: float) -> Mapping[Key, Counts]:
        """Return the sums of at least so many seconds ago; empty if there were none."""
        for taken_at, sums in reversed(self._snapshots):
            if taken_at <= now - window_s:
                return sums
        return {}

    def update_exposure(self, now: float, active_count: int) -> None:
        """Note how many daemons take calls, and whether peers were heard."""
        exposure = self.exposure
        exposure.updated_at = now
        exposure.active_count = max(exposure.active_count, active_count)
        if self.was_heard:
            exposure.heard_at = now
            self.was_heard = False

    def list_barred(self, now: float) -> dict[str, Bar]:
        """Return the versions that a newer order leaves without calls."""
        barred = self.list_still_barred(now)
        if self.phase is not Phase.COMPLETED:
            is_reverted = self.phase is Phase.REVERTED and not self.is_cancelled
            barred[self.version] = Bar(self.forget_at, is_reverted)
        return barred

    def list_still_barred(self, now: float) -> dict[str, Bar]:
        """Return the versions of earlier orders that get no calls under this one."""
        return {version: bar for version, bar in self.barred.items() if now <= bar.until}

    def bar(self, barred: Mapping[str, Bar]) -> None:
        """Leave the versions of earlier orders without calls, as another daemon knows them."""
        for version, bar in barred.items():
            known = self.barred.get(version)
            is_known = known is not None and (known.is_reverted or not bar.is_reverted)
            if version != self.version and not is_known:
                self.barred[version] = bar

    def list_candidates(
        self, call: WaitingCall, group: list[Slots], registered: Registered, now: float
    ) -> list[Slots]:
        """Return the upstreams of a group that the phase allows, whether or not the cap is used."""
        if self._bars_others(call, registered, now):
            return [slots for slots in group if self.is_target(slots.upstream)]
        excluded = self._list_excluded(registered, now)
        if not _has_other(registered, excluded):
            # A refusal of all calls would help nobody.
            return group
        return [slots for slots in group if slots.upstream.software_version not in excluded]

    def list_allowed(
        self, call: WaitingCall, group: list[Slots], registered: Registered, now: float
    ) -> list[Slots]:
        """Return the upstreams of a group to which a call may be sent now."""
        candidates = self.list_candidates(call, group, registered, now)
        if not self._is_capped(registered, now):
            return candidates
        if self.exposure.has_room(now, is_new=not call.is_bound):
            found = self._find_least_used(call, candidates)
            if found is not None:
                return [found]
        return [slots for slots in candidates if not self.is_target(slots.upstream)]

    def list_uncapped(
        self, call: WaitingCall, group: list[Slots], registered: Registered, now: float
    ) -> list[Slots]:
        """Return the upstreams of a group to which a call may be sent also without room."""
        candidates = self.list_candidates(call, group, registered, now)
        if not self._is_capped(registered, now):
            return candidates
        return [slots for slots in candidates if not self.is_target(slots.upstream)]

    def may_send(self, upstream: Upstream, registered: Registered, now: float) -> bool:
        """Return whether a call that was placed at an upstream may still be sent there."""
        excluded = self._list_excluded(registered, now)
        return upstream.software_version not in excluded or not _has_other(registered, excluded)

    def is_target(self, upstream: Upstream) -> bool:
        """Return whether an upstream has the target version."""
        return upstream.software_version == self.version

    def _list_in_bar(self, registered: Registered, now: float) -> set[str]:
        """Return the versions of earlier orders that get no calls while others are registered.

        If only they and a target without a verdict are left, an earlier order was completed, which
        this daemon has missed: then those serve that are not known to be bad.
        """
        barred = self.list_still_barred(now)
        if self.phase is Phase.COMPLETED or _has_other(registered, {self.version, *barred}):
            return set(barred)
        return {version for version, bar in barred.items() if bar.is_reverted}

    def _list_excluded(self, registered: Registered, now: float) -> set[str]:
        """Return the versions that get no calls while others are registered."""
        excluded = self._list_in_bar(registered, now)
        if self._bars_target(now):
            excluded.add(self.version)
        return excluded

    def _bars_target(self, now: float) -> bool:
        """Return whether the target version gets no calls while others are registered."""
        if self.phase is Phase.REVERTED:
            return True
        # A daemon that was frozen or cut off may not know of the outcome.
        if self.phase is Phase.MOVING:
            return self.exposure.is_cut_off(now)
        return self.phase is Phase.CANARY and now > self.rollout.order.ends_at

    def _bars_others(self, call: WaitingCall, registered: Registered, now: float) -> bool:
        """Return whether a call goes to the target version only.

        If that has no upstreams any more, others serve.
        """
        if not registered.get(self.version):
            return False
        if self.phase is Phase.MOVING:
            return not (call.is_bound or self.exposure.is_cut_off(now))
        # Later, further versions may serve beside it without an order.
        return self.phase is Phase.COMPLETED and now <= self.forget_at

    def _is_capped(self, registered: Registered, now: float) -> bool:
        """Return whether the target version gets a share of the calls only."""
        if self.phase is not Phase.CANARY or self._bars_target(now):
            return False
        return _has_other(registered, {self.version, *self._list_in_bar(registered, now)})

    def _find_least_used(self, call: WaitingCall, group: list[Slots]) -> Slots | None:
        """Return the upstream of the target version to which this daemon sent the fewest requests.

        Faults must show on several upstreams, so daemons with few requests choose different ones.
        """

        def rank(slots: Slots) -> tuple[int, int]:
            upstream_id = slots.upstream.upstream_id
            mixed = zlib.crc32(f'{call.call_id} {upstream_id}'.encode())
            return self.exposure.sent_by_upstream[upstream_id], mixed

        found = [
            slots
            for slots in group
            if self.is_target(slots.upstream) and call.may_run_at(slots.upstream)
        ]
        return min(found, key=rank, default=None)


def _has_other(registered: Registered, excluded: Collection[str]) -> bool:
    """Return whether upstreams are registered whose version is not excluded."""
    return any(version not in excluded for version in registered)
