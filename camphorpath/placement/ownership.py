"""Which daemons take calls, and which of them owns the slots of each upstream.

Answers fleets in which each daemon's share of an upstream would be below one slot: few daemons
take all calls, and each upstream has one owner that knows its free slots exactly. All daemons
compute the assignment from the same members, so nobody has to be asked.
"""

import math
from collections.abc import Iterable, Mapping, Sequence

import attrs

from ..hashing import hash_pair
from ..routing import Upstream

# Slots that one active daemon owns. More make better use of bursts; fewer limit what the loss of a
# daemon costs and what one small machine must carry.
SLOTS_PER_ACTIVE = 32


@attrs.frozen
class Candidate:
    """A daemon that could take calls."""

    name: str
    zone: str
    cores: float


@attrs.frozen
class Assignment:
    """Active daemons by zone, and the owner of each upstream by its id."""

    actives: Mapping[str, tuple[str, ...]] = attrs.field(factory=dict)
    owners: Mapping[str, str] = attrs.field(factory=dict)

    def is_active(self, name: str) -> bool:
        """Return whether a daemon takes calls."""
        return any(name in names for names in self.actives.values())


def assign(candidates: Iterable[Candidate], upstreams: Sequence[Upstream]) -> Assignment:
    """Return the assignment; without candidates there is neither an active daemon nor an owner."""
    members = list(candidates)
    zones = sorted({member.zone for member in members})
    actives = {
        zone: _choose_actives([member for member in members if member.zone == zone], upstreams)
        for zone in zones
    }
    everywhere = tuple(name for names in actives.values() for name in names)
    owners: dict[str, str] = {}
    if everywhere:
        for service in sorted({upstream.service for upstream in upstreams}):
            group = [upstream for upstream in upstreams if upstream.service == service]
            _assign_owners(group, actives, everywhere, owners)
    return Assignment(actives, owners)


def _choose_actives(members: list[Candidate], upstreams: Sequence[Upstream]) -> tuple[str, ...]:
    zone = members[0].zone
    slots = sum(upstream.slots for upstream in upstreams if upstream.zone == zone)
    count = max(1, math.ceil(slots / SLOTS_PER_ACTIVE))
    ranked = sorted(
        members, key=lambda member: (-member.cores, hash_pair(zone, member.name), member.name)
    )
    return tuple(member.name for member in ranked[:count])


def _assign_owners(
    group: list[Upstream],
    actives: Mapping[str, tuple[str, ...]],
    everywhere: tuple[str, ...],
    owners: dict[str, str],
) -> None:
    """Give the upstreams of one service to the active daemons of their zones, evenly."""
    counts: dict[str, int] = {}
    for upstream in sorted(group, key=lambda one: one.upstream_id):
        names = actives.get(upstream.zone) or everywhere
        owner = min(
            (counts.get(name, 0), hash_pair(upstream.upstream_id, name), name) for name in names
        )[-1]
        counts[owner] = counts.get(owner, 0) + 1
        owners[upstream.upstream_id] = owner
