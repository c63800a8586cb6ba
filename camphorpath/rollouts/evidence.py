"""Counts of answers by version and route, summed over all daemons.

Load pattern: calls of a service arrive at many daemons, each of which sees too few answers of a new
version to judge it.
"""

import collections
import itertools
import math
from collections.abc import Iterable, Mapping

import attrs

from .records import Tally

# Latency levels are half octaves: one level is a factor of 1.41 of the time to the first byte.
LEVELS_PER_OCTAVE = 2
# The level of an answer that took as long as its prompt takes by default.
DEFAULT_LEVEL = 4
# Bounds what one stuck answer adds to a mean: 64 times the default.
MAX_LEVEL = 16
# Daemons of the design target (420), each restarted some times during an order.
MAX_INCARNATIONS = 2000
# Versions times routes of one service that one daemon may count.
MAX_TALLIES = 64
# Upstreams by which one tally may count.
MAX_UPSTREAMS = 4200

# Upstreams by which one daemon states its counts: with ids of 36 characters they take 18 kB of a
# heartbeat, of which datagrams hold 60 kB; of a longer one nothing arrives.
MAX_SHARED_UPSTREAMS = 150

# Whether the version is the target of the order, and the name of the route.
Key = tuple[bool, str]


def get_latency_level(ratio: float) -> int:
    """Return the level (0 to MAX_LEVEL) of a time to the first byte relative to the default.

    Levels are logarithmic, so that their means compare groups of engines of different speeds.
    """
    if ratio <= 0:
        return 0
    level = DEFAULT_LEVEL + round(LEVELS_PER_OCTAVE * math.log2(ratio))
    return max(0, min(level, MAX_LEVEL))


@attrs.define
class Counts:
    """Answers of one or several versions on a route; see `Tally`."""

    answers: int = 0
    bad: int = 0
    slow: int = 0
    bad_by_upstream: collections.Counter[str] = attrs.field(factory=collections.Counter)
    slow_by_upstream: collections.Counter[str] = attrs.field(factory=collections.Counter)
    timed_by_upstream: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def add(self, other: 'Counts | Tally', sign: int = 1) -> None:
        """Add other counts, or subtract them if `sign` is -1."""
        self.answers += sign * other.answers
        self.bad += sign * other.bad
        self.slow += sign * other.slow
        _add_counts(self.bad_by_upstream, other.bad_by_upstream, sign)
        _add_counts(self.slow_by_upstream, other.slow_by_upstream, sign)
        _add_counts(self.timed_by_upstream, other.timed_by_upstream, sign)

    def copy(self) -> 'Counts':
        """Return counts that do not change with these."""
        return Counts(
            self.answers,
            self.bad,
            self.slow,
            self.bad_by_upstream.copy(),
            self.slow_by_upstream.copy(),
            self.timed_by_upstream.copy(),
        )

    def record(self, upstream_id: str, latency_ratio: float | None) -> None:
        """Count an answer; `latency_ratio` is None if it was not measured."""
        self.answers += 1
        if latency_ratio is None:
            return
        level = get_latency_level(latency_ratio)
        self.slow += level
        self.slow_by_upstream[upstream_id] += level
        self.timed_by_upstream[upstream_id] += 1

    def record_bad(self, upstream_id: str) -> None:
        """Count that an answer, which was counted already, is bad."""
        self.bad += 1
        self.bad_by_upstream[upstream_id] += 1


def _add_counts(counter: collections.Counter[str], added: Mapping[str, int], sign: int) -> None:
    if not counter and sign > 0:
        # Twenty times as fast as the loop.
        counter.update(added)
        return
    for upstream_id, count in added.items():
        counter[upstream_id] += sign * count


@attrs.define
class Evidence:
    """The counts for one order: this daemon's, those of each peer, and the sums over all."""

    service: str
    # The target version of the order.
    version: str
    revision: int
    sums: dict[Key, Counts] = attrs.field(factory=dict)
    # Changes of the counts so far.
    change_count: int = 0
    _own: dict[tuple[str, str], Counts] = attrs.field(factory=dict)
    # By incarnation of the peer, then by version and route. Those of ended peers are kept.
    _peers: dict[str, dict[tuple[str, str], Tally]] = attrs.field(factory=dict)

    def record_answer(
        self, version: str, route: str, upstream_id: str, latency_ratio: float | None
    ) -> None:
        """Count an answer that this daemon got."""
        own = self._own.setdefault((version, route), Counts())
        own.record(upstream_id, latency_ratio)
        self._get_sum(version, route).record(upstream_id, latency_ratio)

    def record_bad(self, version: str, route: str, upstream_id: str) -> None:
        """Count that an answer, which was counted already, is bad."""
        own = self._own.get((version, route))
        if own is None or own.bad >= own.answers:
            # The answer was counted for an earlier order.
            return
        own.record_bad(upstream_id)
        self._get_sum(version, route).record_bad(upstream_id)

    def share(self) -> list[Tally]:
        """Return this daemon's counts, of so many upstreams that they fit in a heartbeat."""
        return [self._make_tally(*key, counts) for key, counts in self._own.items()]

    def apply(self, incarnation: str, tally: Tally) -> None:
        """Replace a count of a peer by a newer one; heartbeats may arrive out of order."""
        if incarnation not in self._peers and len(self._peers) >= MAX_INCARNATIONS:
            return
        known = self._peers.setdefault(incarnation, {})
        key = tally.version, tally.route
        before = known.get(key)
        if not _is_valid(tally) or (before is None and len(known) >= MAX_TALLIES):
            return
        if tally == before:
            return
        if before is not None and (tally.answers < before.answers or tally.bad < before.bad):
            return
        total = self._get_sum(tally.version, tally.route)
        if before is not None:
            total.add(before, -1)
        total.add(tally)
        known[key] = tally

    def count_target(self) -> tuple[int, int]:
        """Return the answers of the target version and the bad ones among them."""
        found = [counts for (is_target, _route), counts in self.sums.items() if is_target]
        return sum(counts.answers for counts in found), sum(counts.bad for counts in found)

    def count_own_target(self) -> tuple[int, int]:
        """Return the same of the answers that this daemon got."""
        found = [own for (version, _route), own in self._own.items() if version == self.version]
        return sum(counts.answers for counts in found), sum(counts.bad for counts in found)

    def copy_sums(self) -> dict[Key, Counts]:
        """Return a copy of the sums, to be compared with later ones."""
        return {key: counts.copy() for key, counts in self.sums.items()}

    def _make_tally(self, version: str, route: str, counts: Counts) -> Tally:
        bad_by_upstream = _take_first(counts.bad_by_upstream)
        slow_by_upstream = _take_first(counts.slow_by_upstream)
        return Tally(
            service=self.service,
            version=version,
            route=route,
            revision=self.revision,
            answers=counts.answers,
            bad=sum(bad_by_upstream.values()),
            slow=sum(slow_by_upstream.values()),
            bad_by_upstream=bad_by_upstream,
            slow_by_upstream=slow_by_upstream,
            timed_by_upstream=_take_first(counts.timed_by_upstream),
        )

    def _get_sum(self, version: str, route: str) -> Counts:
        """Return a sum that is about to change."""
        self.change_count += 1
        return self.sums.setdefault((version == self.version, route), Counts())


def _take_first(counter: Mapping[str, int]) -> dict[str, int]:
    """Return the counts of the upstreams that were counted first, so that later sums never fall."""
    return dict(itertools.islice(counter.items(), MAX_SHARED_UPSTREAMS))


def sum_counts(group: Iterable[Counts]) -> Counts:
    """Return the sum of some counts."""
    total = Counts()
    for counts in group:
        total.add(counts)
    return total


def subtract_sums(sums: Mapping[Key, Counts], before: Mapping[Key, Counts]) -> dict[Key, Counts]:
    """Return what was counted since `before`."""
    rest = {}
    for key, counts in sums.items():
        earlier = before.get(key)
        # Later sums never fall, so that equal ones are of the same answers.
        is_changed = earlier is None or (counts.answers, counts.bad) != (
            earlier.answers,
            earlier.bad,
        )
        rest[key] = _subtract(counts, earlier or Counts()) if is_changed else Counts()
    return rest


def _subtract(counts: Counts, earlier: Counts) -> Counts:
    return Counts(
        counts.answers - earlier.answers,
        counts.bad - earlier.bad,
        counts.slow - earlier.slow,
        _subtract_counter(counts.bad_by_upstream, earlier.bad_by_upstream),
        _subtract_counter(counts.slow_by_upstream, earlier.slow_by_upstream),
        _subtract_counter(counts.timed_by_upstream, earlier.timed_by_upstream),
    )


def _subtract_counter(
    counter: collections.Counter[str], earlier: collections.Counter[str]
) -> collections.Counter[str]:
    # `Counter.subtract` takes three times as long.
    return collections.Counter(
        {name: count - earlier.get(name, 0) for name, count in counter.items()}
    )


def _is_valid(tally: Tally) -> bool:
    """Return whether a daemon can have counted this; one bad report must not decide an order."""
    if not 0 <= tally.bad <= tally.answers:
        return False
    timed = tally.timed_by_upstream
    if max(len(tally.bad_by_upstream), len(timed)) > MAX_UPSTREAMS:
        return False
    if sum(tally.bad_by_upstream.values()) != tally.bad or sum(timed.values()) > tally.answers:
        return False
    if sum(tally.slow_by_upstream.values()) != tally.slow:
        return False
    return all(
        slow <= MAX_LEVEL * timed.get(upstream_id, 0)
        for upstream_id, slow in tally.slow_by_upstream.items()
    )
