"""Chooses the daemons that poll the metadata store and announce its changes to the others."""

from collections.abc import Collection, Mapping

from ..hashing import rendezvous_score

# Fewest watchers: one may be cut off from the network while another one is suspended.
MIN_WATCHER_COUNT = 3


def choose_watchers(
    actives: Mapping[str, Collection[str]], connected: Collection[str]
) -> frozenset[str]:
    """Return the watchers among `connected`, the daemons that reach the store.

    Each region in `actives` has one among its active daemons, which take calls: they send
    heartbeats often, and a region that loses contact with the others still has a watcher.
    """
    ranked = sorted(connected, key=lambda name: rendezvous_score('watcher', name))
    chosen = []
    for names in actives.values():
        ranked_in_region = [name for name in ranked if name in names]
        chosen.extend(ranked_in_region[:1])
    # Active daemons have the faster links.
    active = {name for group in actives.values() for name in group}
    ranked.sort(key=lambda name: name not in active)
    for name in ranked:
        if len(chosen) >= MIN_WATCHER_COUNT:
            break
        if name not in chosen:
            chosen.append(name)
    return frozenset(chosen)
