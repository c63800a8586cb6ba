"""What the owner of an upstream lends to other daemons, by the demand that they report.

Answers a load that is uneven over the daemons: calls wait at some, and others own free slots.
"""

import collections
import math
from collections.abc import Iterable, Mapping

import attrs

from .records import WaitingCall
from .slots import Slots

# Share of a round by which the turn of the borrowers advances: the golden ratio visits all parts of
# a round evenly, whatever their number.
TURN_STEP = 0.618034


@attrs.frozen
class Borrowers:
    """The daemons that may borrow slots."""

    count: int
    # Names of the active daemons of other regions.
    away: frozenset[str] = frozenset()


@attrs.define
class PeerDemand:
    """Calls that wait or were refused lately at other daemons."""

    # Names of other daemons and their waiting calls by service, by incarnation of the daemon.
    _waiting: dict[str, tuple[str, Mapping[str, int]]] = attrs.field(factory=dict)
    # The same for calls that were refused in the last seconds.
    _refused: dict[str, tuple[str, Mapping[str, int]]] = attrs.field(factory=dict)

    def apply(
        self, name: str, incarnation: str, waiting: Mapping[str, int], refused: Mapping[str, int]
    ) -> None:
        """Replace the demand of one daemon: calls by service."""
        self._waiting[incarnation] = name, dict(waiting)
        self._refused[incarnation] = name, dict(refused)

    def remove(self, incarnation: str) -> None:
        """Drop the demand of a daemon that has stopped or was lost."""
        self._waiting.pop(incarnation, None)
        self._refused.pop(incarnation, None)

    def count(self, service: str) -> collections.Counter[str]:
        """Return the calls that wait or were refused lately, by name of the daemon."""
        demand: collections.Counter[str] = collections.Counter()
        for reports in (self._waiting, self._refused):
            for name, counts in reports.values():
                if counts.get(service):
                    demand[name] += counts[service]
        return demand

    def list_waiting(self, service: str) -> list[str]:
        """Return the names of the daemons at which calls of a service wait."""
        return sorted(name for name, waiting in self._waiting.values() if waiting.get(service))


def lend_slots(
    slots: Slots,
    waiting: Iterable[WaitingCall],
    demand: PeerDemand,
    borrowers: Borrowers,
    turn: int,
    now: float,
) -> tuple[int, str]:
    """Return how many slots of an upstream are lent, and to which daemon; '' for all.

    Daemons of other regions take turns the more often, the more calls wait or were refused there.
    For them no slot is kept back: their calls would not be served, and the next call here waits for
    a moment only.
    """
    free = count_lendable(slots, waiting, now)
    service = slots.upstream.service
    waiting_names = demand.list_waiting(service) if free else []
    away = {
        name: count
        for name, count in demand.count(service).items()
        if free and name in borrowers.away
    }
    if not away:
        return choose_borrower(max(free - 1, 0), waiting_names, turn, borrowers.count)
    weights = {name: 1 for name in waiting_names} | away
    # The turns of each daemon are spread evenly, and follow the demand as it changes.
    position = math.fmod(turn * TURN_STEP, 1) * sum(weights.values())
    for name, weight in sorted(weights.items()):
        position -= weight
        if position < 0:
            return (free if name in away else free - 1), name
    return free, max(away)


def count_lendable(slots: Slots, waiting: Iterable[WaitingCall], now: float) -> int:
    """Return how many slots of an upstream are free to be lent; 0 if a call here waits for it."""
    if any(slots.could_run(call) for call in waiting):
        return 0
    if not slots.may_lend(now):
        return 0
    return max(slots.count_free(now), 0)


def choose_borrower(
    lendable: int, waiting_daemons: list[str], turn: int, borrower_count: int
) -> tuple[int, str]:
    """Return how many of the lendable slots are lent, and to which daemon; '' for all."""
    if lendable and waiting_daemons:
        return lendable, waiting_daemons[turn % len(waiting_daemons)]
    if borrower_count > 1:
        # Several daemons may borrow at the same moment.
        return (lendable + 1) // 2, ''
    return lendable, ''


def return_slot(slots: Slots, demand: PeerDemand, own_demand: int) -> None:
    """Return a released slot to its owner if that has more demand than the borrower.

    Else the borrower uses it again, as a slot that is returned is idle until the next reports.
    """
    if demand.count(slots.upstream.service)[slots.owner] > own_demand:
        slots.lent = max(slots.lent - 1, 0)


def lend_requests(
    slots: Slots,
    demand_elsewhere: Mapping[str, float],
    own_demand: int,
    peers: Iterable[str],
    turn: int,
    now: float,
) -> dict[str, int]:
    """Return the requests of a rate-limited upstream that are lent, by name of the daemon.

    Daemons with calls that wait or were refused lately get a share by the number of these calls.
    Without any, the other active daemons (`peers`) get what this one leaves.
    """
    demand = dict(demand_elsewhere)
    total = sum(demand.values())
    slots.rate_limit.lent_share = total / (total + own_demand + 1)
    if not slots.may_lend(now):
        return {}
    if not demand:
        demand = dict.fromkeys(peers, math.inf)
    names = sorted(demand)
    first = turn % max(len(names), 1)
    ordered = {name: demand[name] for name in names[first:] + names[:first]}
    return slots.rate_limit.lend(ordered, slots.count_free_slots(now), now)
