"""Majorities over the sets of members that a fenced member may have read."""

from collections.abc import Set as AbstractSet

from .records import FencedRecord, FleetState


def is_majority(subset: AbstractSet[str], full_set: AbstractSet[str]) -> bool:
    """Tell whether `subset` holds more than half of `full_set`."""
    return 2 * len(subset & full_set) > len(full_set)


def has_lost_quorum(record: FencedRecord, confirmed: AbstractSet[str], state: FleetState) -> bool:
    """Tell whether every majority that a fenced member can hear contains a confirmed member.

    Without the table, a member serves while it hears a majority of the set that it read last. That
    set may be older than the current one and lack daemons that replaced others since. So the
    confirmed members must hold a majority of each set that it may have read. Returns False if the
    set of one of these epochs is no longer stored.
    """
    for epoch in range(record.oldest, record.newest + 1):
        view = state.views.get(epoch)
        if view is None or not is_majority(confirmed, view):
            return False
    return True
