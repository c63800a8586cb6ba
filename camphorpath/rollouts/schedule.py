"""When an order may move its service, when the move is complete, and when it is too late."""

import attrs

from .records import RolloutOrder

# A version is not called good before this part of the duration: a fault may begin late.
MIN_CANARY_SHARE = 1 / 2
# Calls at the old runners get the longest time limit of their routes to end, or this part of the
# duration if that is shorter.
MAX_MOVE_SHARE = 1 / 3
# A move that begins late gets at least this part of its time, as the order counts as missed
# otherwise.
LATE_MOVE_SHARE = 1 / 2
# Part of the duration that is kept for the transaction of a phase; twice if all goes well, for a
# writer that dies or a store that is slow.
MARGIN_SHARE = 0.08
# An order is reverted for lack of evidence this part of the margin before its end: after the last
# completion, so that a daemon that did not hear of a move does not revert it.
REVERT_MARGIN_SHARE = 0.7


@attrs.frozen
class Schedule:
    """The instants of one order, on the lease clock."""

    order: RolloutOrder
    # Longest time limit of the routes to the service in seconds; infinite if unknown.
    time_limit_s: float

    @property
    def move_s(self) -> float:
        """Seconds that calls at the old runners get to end."""
        return min(self.time_limit_s, MAX_MOVE_SHARE * self.order.duration_s)

    @property
    def completes_by(self) -> float:
        """Instant from which a move is complete, however late it began."""
        return self.order.ends_at - self._margin_s

    @property
    def reverts_at(self) -> float:
        """Instant from which an order without enough evidence is reverted."""
        return self.order.ends_at - REVERT_MARGIN_SHARE * self._margin_s

    def may_move(self, now: float) -> bool:
        """Return whether a good version may get all new calls.

        The move begins as late as its time allows, so that a fault that begins late is found while
        the share of the version is capped.
        """
        earliest = self.order.written_at + MIN_CANARY_SHARE * self.order.duration_s
        usual = self.completes_by - self._margin_s - self.move_s
        latest = self.completes_by - LATE_MOVE_SHARE * self.move_s
        return max(earliest, usual) <= now <= latest

    def get_completion(self, moved_at: float) -> float:
        """Return the instant at which a move that began at `moved_at` is complete."""
        return min(moved_at + self.move_s, self.completes_by)

    @property
    def _margin_s(self) -> float:
        return MARGIN_SHARE * self.order.duration_s
