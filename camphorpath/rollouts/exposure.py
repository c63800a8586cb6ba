"""How many requests one daemon may send to the new version of a service.

Load pattern: all daemons send to a version that may be bad, and none knows at once what the others
sent. Each keeps to its part, so that the sum over all stays below the limits of the deployment.
"""

import collections
import random

import attrs

from .records import RolloutBounds, RolloutOrder

# Part of the share and of the allowance that daemons use. A daemon that restarts does not know
# what it sent before, nor does a part of the network know what another part sends.
SHARE_USE = 0.7
ALLOWANCE_USE = 0.5
# Part of the above that is used for new calls; the rest is for streams that began at the new
# version and have to go on there.
NEW_CALLS_USE = 0.9
# Part of the allowance that may be used at once, for early evidence. The rest follows evenly until
# PACED_SHARE of the duration has passed, so that a fault that begins late meets requests.
EARLY_ALLOWANCE = 0.4
PACED_SHARE = 0.6
# Peers of a daemon that starts are heard within about this time: fleets of 200 daemons send each
# second. A daemon that starts and finds an order older than this one may have started with others.
PEERS_KNOWN_AFTER_S = 1.0
# Without an update for this time the daemon was frozen, and may have missed a verdict.
MAX_UPDATE_AGE_S = 1.0
# A daemon that hears no peer for this part of the time in which a bad version must be left may be
# cut off from verdicts. With 5 s these are at least two heartbeats, of which it hears many.
MAX_SILENCE_PART = 0.5


def get_division_start(order: RolloutOrder, now: float, started_at: float) -> float:
    """Return when a daemon that learns of an order may use its part of the allowance.

    `started_at` is when the daemon started.
    """
    is_late = now - order.written_at > PEERS_KNOWN_AFTER_S
    return max(started_at + PEERS_KNOWN_AFTER_S, now) if is_late else now


@attrs.define
class Exposure:
    """The requests of one daemon to a service since an order; instants are on the lease clock."""

    order: RolloutOrder
    bounds: RolloutBounds
    # Instant from which peers are expected to be heard.
    heard_at: float
    # Instant from which the number of daemons is known well enough to divide the allowance.
    divides_at: float
    # The most daemons that took calls at a time: a part of the network that sees fewer daemons
    # must not use more.
    active_count: int = 0
    # Whether all other daemons have stopped as planned, so that none can be missed.
    is_alone: bool = False
    updated_at: float = -MAX_UPDATE_AGE_S
    # Requests that were sent, to all versions and to the target version.
    sent: int = 0
    sent_to_target: int = 0
    # Calls that were placed at the target version and not sent yet.
    pending: int = 0
    sent_by_upstream: collections.Counter[str] = attrs.field(factory=collections.Counter)
    # Rounds the part of this daemon: with many daemons it is below one request for each, and is
    # kept on average.
    _rounding: float = attrs.field(factory=random.random)

    def has_room(self, now: float, *, is_new: bool) -> bool:
        """Return whether a call may be placed at the target version.

        A new call is one that does not continue a stream; at least every second one goes to the
        other versions, to which the target is compared.
        """
        if not self.active_count or now - self.updated_at > MAX_UPDATE_AGE_S:
            return False
        if self.is_cut_off(now):
            return False
        used = self.sent_to_target + self.pending
        part = self._get_part(now)
        if is_new:
            if used > self.sent - self.sent_to_target:
                return False
            part *= NEW_CALLS_USE
        return used + 1 <= part + self._rounding

    def is_cut_off(self, now: float) -> bool:
        """Return whether this daemon has peers but may have missed their verdict."""
        max_silence_s = MAX_SILENCE_PART * self.bounds.rollback_timeout_s
        has_peers = self.active_count > 1 and not self.is_alone
        return has_peers and now - self.heard_at > max_silence_s

    def record_send(self, target_id: str | None) -> None:
        """Count a request; `target_id` is its upstream if that has the target version."""
        self.sent += 1
        if target_id is not None:
            self.end_pending()
            self.sent_to_target += 1
            self.sent_by_upstream[target_id] += 1

    def end_pending(self) -> None:
        """Count that a placed call was sent or given up, unless it is older."""
        self.pending = max(self.pending - 1, 0)

    def _get_part(self, now: float) -> float:
        """Return the requests to the target version that are this daemon's part."""
        share = SHARE_USE * self.bounds.canary_share * self.sent
        if now < self.divides_at:
            # Daemons that start together would each take the whole allowance.
            return share
        elapsed = (now - self.order.written_at) / (PACED_SHARE * self.order.duration_s)
        paced = max(0, min(elapsed, 1)) * (1 - EARLY_ALLOWANCE)
        allowance = ALLOWANCE_USE * self.bounds.canary_allowance * (EARLY_ALLOWANCE + paced)
        return allowance / self.active_count + share
