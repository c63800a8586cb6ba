"""Which daemons take calls, and which of them owns the slots of each upstream.

Answers fleets in which each daemon's share of an upstream would be below one slot: few daemons
take all calls, and each upstream has one owner that knows its free slots exactly. All daemons
compute the assignment from the same members, so nobody has to be asked.
"""

from collections.abc import Iterable, Mapping, Sequence

import attrs

from ..hashing import hash_pair
from ..routing import Upstream

# Slots that one active daemon owns. More make better use of bursts; fewer limit what the loss of a
# daemon costs and what one small machine must carry.
SLOTS_PER_ACTIVE = 60
# Slots that a whole core carries: streams of 30 calls a second take about half of it.
SLOTS_PER_CORE = 60


@attrs.frozen
class Candidate:
    """A daemon that could take calls."""

    name: str
    zone: str
    cores: float


@attrs.frozen
class Assignment:
    """Active daemons by region, and the owner of each upstream by its id."""

    actives: Mapping[str, tuple[str, ...]] = attrs.field(factory=dict)
    owners: Mapping[str, str] = attrs.field(factory=dict)

    def is_active(self, name: str) -> bool:
        """Return whether a daemon takes calls."""
        return any(name in names for names in self.actives.values())


def assign(
    candidates: Iterable[Candidate], upstreams: Sequence[Upstream], regions: Mapping[str, str]
) -> Assignment:
    """Return the assignment; without candidates there is neither an active daemon nor an owner."""
    actives = choose_actives(candidates, upstreams, regions)
    return Assignment(actives, assign_owners(actives, upstreams, regions))


def choose_actives(
    candidates: Iterable[Candidate], upstreams: Iterable[Upstream], regions: Mapping[str, str]
) -> dict[str, tuple[str, ...]]:
    """Return the active daemons by region.

    The availability zones of a region, given by `regions`, share their upstreams: callers of a zone
    without any would otherwise get only what the others lend.
    """
    by_region: dict[str, list[Candidate]] = {}
    for member in candidates:
        by_region.setdefault(regions.get(member.zone, member.zone), []).append(member)
    slots: dict[str, int] = {}
    for upstream in upstreams:
        region = regions.get(upstream.zone, upstream.zone)
        slots[region] = slots.get(region, 0) + upstream.slots
    return {
        region: _choose_actives(region, by_region[region], slots.get(region, 0))
        for region in sorted(by_region)
    }


def assign_owners(
    actives: Mapping[str, tuple[str, ...]],
    upstreams: Sequence[Upstream],
    regions: Mapping[str, str],
) -> dict[str, str]:
    """Return the owner of each upstream by its id, an active daemon of its region if there is."""
    owners: dict[str, str] = {}
    everywhere = tuple(name for names in actives.values() for name in names)
    if not everywhere:
        return owners
    for service in sorted({upstream.service for upstream in upstreams}):
        group = [upstream for upstream in upstreams if upstream.service == service]
        near = {
            upstream.upstream_id: actives.get(regions.get(upstream.zone, upstream.zone))
            or everywhere
            for upstream in group
        }
        _assign_owners(group, near, owners)
    return owners


def _choose_actives(region: str, members: list[Candidate], slots: int) -> tuple[str, ...]:
    """Return the members that together can carry so many slots, one at least."""
    ranked = sorted(
        members, key=lambda member: (-member.cores, hash_pair(region, member.name), member.name)
    )
    chosen = []
    carried: float = 0
    for member in ranked:
        if chosen and carried >= slots:
            break
        chosen.append(member.name)
        carried += min(SLOTS_PER_ACTIVE, SLOTS_PER_CORE * member.cores)
    return tuple(chosen)


def _assign_owners(
    group: list[Upstream], near: Mapping[str, tuple[str, ...]], owners: dict[str, str]
) -> None:
    """Give the upstreams of one service to the active daemons near them, evenly."""
    counts: dict[str, int] = {}
    for upstream in sorted(group, key=lambda one: one.upstream_id):
        owner = min(
            (counts.get(name, 0), hash_pair(upstream.upstream_id, name), name)
            for name in near[upstream.upstream_id]
        )[-1]
        counts[owner] = counts.get(owner, 0) + 1
        owners[upstream.upstream_id] = owner
