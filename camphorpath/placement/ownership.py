"""Assignment of upstreams to the daemons that own their slots.

In large fleets a daemon's share of an upstream would be below one slot. So only a few daemons, the
active ones, accept calls, and each upstream has one owner that knows its free slots exactly. All
daemons compute the same assignment from the same members, without coordination.
"""

from collections.abc import Iterable, Mapping, Sequence

import attrs

from ..hashing import rendezvous_score
from ..routing import Upstream

# Slots that one active daemon owns. More slots serve bursts better; fewer limit the damage when a
# daemon is lost, and the load of a small machine.
SLOTS_PER_ACTIVE = 60
# Slots that one full core can serve: streams at 30 calls per second use about half of it.
SLOTS_PER_CORE = 60


@attrs.frozen
class Candidate:
    """A daemon that may become active."""

    name: str
    zone: str
    cores: float


@attrs.frozen
class Assignment:
    """Active daemons by region, and the owner of each upstream by its id."""

    actives: Mapping[str, tuple[str, ...]] = attrs.field(factory=dict)
    owners: Mapping[str, str] = attrs.field(factory=dict)

    def is_active(self, name: str) -> bool:
        """Return whether a daemon accepts calls."""
        return any(name in names for names in self.actives.values())

    def list_away(self, name: str) -> frozenset[str]:
        """Return the active daemons of the regions in which a daemon is not active."""
        away = [names for names in self.actives.values() if name not in names]
        return frozenset(peer for names in away for peer in names)


def assign(
    candidates: Iterable[Candidate], upstreams: Sequence[Upstream], regions: Mapping[str, str]
) -> Assignment:
    """Return the assignment; it is empty if there are no candidates."""
    actives = choose_actives(candidates, upstreams, regions)
    return Assignment(actives, assign_owners(actives, upstreams, regions))


def choose_actives(
    candidates: Iterable[Candidate], upstreams: Iterable[Upstream], regions: Mapping[str, str]
) -> dict[str, tuple[str, ...]]:
    """Return the active daemons by region.

    `regions` maps availability zones to regions. The zones of a region share their upstreams:
    otherwise callers in a zone without upstreams would get only slots lent by other zones.
    """
    by_region: dict[str, list[Candidate]] = {}
    for member in candidates:
        by_region.setdefault(regions.get(member.zone, member.zone), []).append(member)
    slots: dict[str, int] = {}
    for upstream in upstreams:
        region = regions.get(upstream.zone, upstream.zone)
        slots[region] = slots.get(region, 0) + upstream.slots
    return {
        region: _choose_region_actives(region, by_region[region], slots.get(region, 0))
        for region in sorted(by_region)
    }


def assign_owners(
    actives: Mapping[str, tuple[str, ...]],
    upstreams: Sequence[Upstream],
    regions: Mapping[str, str],
) -> dict[str, str]:
    """Return the owner of each upstream by its id: an active daemon, of its region if possible."""
    owners: dict[str, str] = {}
    all_actives = tuple(name for names in actives.values() for name in names)
    if not all_actives:
        return owners
    for service in sorted({upstream.service for upstream in upstreams}):
        group = [upstream for upstream in upstreams if upstream.service == service]
        eligible = {
            upstream.upstream_id: actives.get(regions.get(upstream.zone, upstream.zone))
            or all_actives
            for upstream in group
        }
        _assign_service_owners(group, eligible, owners)
    return owners


def _choose_region_actives(region: str, members: list[Candidate], slots: int) -> tuple[str, ...]:
    """Return members that together can serve the slots, at least one; largest machines first."""
    ranked = sorted(
        members,
        key=lambda member: (-member.cores, rendezvous_score(region, member.name), member.name),
    )
    chosen = []
    capacity: float = 0
    for member in ranked:
        if chosen and capacity >= slots:
            break
        chosen.append(member.name)
        capacity += min(SLOTS_PER_ACTIVE, SLOTS_PER_CORE * member.cores)
    return tuple(chosen)


def _assign_service_owners(
    group: list[Upstream], eligible: Mapping[str, tuple[str, ...]], owners: dict[str, str]
) -> None:
    """Distribute the upstreams of one service evenly among their eligible daemons."""
    counts: dict[str, int] = {}
    for upstream in sorted(group, key=lambda upstream: upstream.upstream_id):
        owner = min(
            (counts.get(name, 0), rendezvous_score(upstream.upstream_id, name), name)
            for name in eligible[upstream.upstream_id]
        )[-1]
        counts[owner] = counts.get(owner, 0) + 1
        owners[upstream.upstream_id] = owner
