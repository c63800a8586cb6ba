"""Compares a new version with the old ones beside it on the same routes.

Load pattern: a new version fails or slows down from its start, later, under load or on one route,
while crashes and slowness also occur that both versions share or that one upstream has.
"""

import collections
import math
from collections.abc import Iterable, Mapping

import attrs

from .evidence import Counts, Key, subtract_sums, sum_counts

# Fewer bad answers can be chance; a version that fails half of its answers reaches this after about
# ten, far below the 50 bad answers from which the time to react is counted.
MIN_BAD_ANSWERS = 5
# Bad answers at other upstreams than the worst one; with 2, a good version with one bad runner was
# reverted in a test, since the old one had no bad answer among 200 by chance.
MIN_BAD_ELSEWHERE = 3
# Standard errors between the shares of bad answers. The test is repeated several times a second
# over all routes.
BAD_SCORE = 3.3
# While new calls go to the new version only, the old one is not measured beside it: faults that
# both would share count against the new one. So this share must be bad, without the worst upstream.
# It has to be a multiple of the old one's share before the move; a score would never be high after
# few answers of the old one.
MOVING_BAD_SHARE = 0.15
MOVING_BAD_FACTOR = 3.0
MOVING_MIN_BAD_ELSEWHERE = 5
# The same among the answers of the last second only: with 20 answers of a route and 5 % bad ones at
# any version, 5 bad ones would come about once in 300 seconds.
SUDDEN_MIN_BAD_ELSEWHERE = 8
# From this score on, a version is not called good, if so many answers were bad at other upstreams
# than the worst one, or at its only one.
SUSPECT_SCORE = 1.0
SUSPECT_BAD_ELSEWHERE = 1
SUSPECT_BAD_ALONE = 2
# With few answers, also from this share of bad ones on, if it is such a multiple of the share of
# the other versions: a score is low then.
SUSPECT_SHARE = 0.15
SUSPECT_FACTOR = 2.0
# Answers of the target version for a good verdict: this part of all answers of the service, within
# two bounds. Below the lower one nothing was measured; above the upper one more add little, since a
# version that fails half of its answers is found before. A service with little traffic gives few
# answers, but then a bad version gets few requests too.
GOOD_SHARE = 0.25
MIN_GOOD_ANSWERS = 2
MAX_GOOD_ANSWERS = 20
# Levels are half octaves, see `evidence.get_latency_level`: twice as slow.
SLOW_LEVELS = 2.0
SUSPECT_LEVELS = 1.5
# Three times as slow. All upstreams take more load while a service is moved.
MOVING_SLOW_LEVELS = 3.2
SLOW_SCORE = 3.2
# The same without the slowest upstream.
REST_SCORE = 2.0
# Answers with a measured time, below which no version is called slow.
MIN_TIMED_ANSWERS = 15
# Engines of one version differ by a factor of four, which are four levels: the standard deviation
# of a uniform distribution over them.
ENGINE_DEVIATION = 1.15
# Deviation of single answers of one engine, mostly by the calls beside them.
ANSWER_DEVIATION = 1.5
# The correction for continuity in a comparison of counts.
CONTINUITY = 0.5
SQUARE = 2


@attrs.frozen
class Comparison:
    """The counts of one route, of the target version and of the others."""

    route: str
    target: Counts
    others: Counts


@attrs.frozen
class Latency:
    """The latency levels of a version, with each upstream as one sample."""

    mean: float
    # Of the mean.
    variance: float
    upstream_count: int


def pair_counts(sums: Mapping[Key, Counts]) -> list[Comparison]:
    """Return the routes on which the target version answered, with the counts of both sides."""
    return [
        Comparison(route, counts, sums.get((False, route), Counts()))
        for (is_target, route), counts in sums.items()
        if is_target and counts.answers > 0
    ]


def find_fault(
    sums: Mapping[Key, Counts],
    before: Mapping[Key, Counts],
    upstream_count: int,
    *,
    is_moving: bool,
) -> str:
    """Return why the target version is bad; empty if it is not known to be.

    Judges all counts, since a fault may be rare, and those since `before`, since it may begin late.
    `upstream_count` is the number of registered upstreams of the target version.
    """
    known = pair_counts(sums)
    recent = pair_counts(subtract_sums(sums, before))
    if is_moving:
        # The others get no new calls: compare with all that they answered before.
        others = {pair.route: pair.others for pair in known}
        recent = [attrs.evolve(pair, others=others[pair.route]) for pair in recent]
    for group in (*_list_groups(known), *_list_groups(recent)):
        fault = _find_failures(group, upstream_count, is_moving=is_moving)
        fault = fault or _find_slowness(group, upstream_count, is_moving=is_moving)
        if fault:
            return fault
    return ''


def find_sudden_failures(
    sums: Mapping[Key, Counts], latest: Mapping[Key, Counts], upstream_count: int
) -> str:
    """Return why a version that gets all new calls is bad by its answers since `latest` alone.

    Compares as `find_fault` does during the move; empty if it is not known to be bad.
    """
    others = {pair.route: pair.others for pair in pair_counts(sums)}
    pairs = [
        attrs.evolve(pair, others=others[pair.route])
        for pair in pair_counts(subtract_sums(sums, latest))
    ]
    for group in _list_groups(pairs):
        if sum(_count_bad_elsewhere(group, upstream_count)) >= SUDDEN_MIN_BAD_ELSEWHERE:
            fault = _find_failures(group, upstream_count, is_moving=True)
            if fault:
                return fault
    return ''


def is_good(sums: Mapping[Key, Counts], before: Mapping[Key, Counts], upstream_count: int) -> bool:
    """Return whether enough answers of several upstreams show no sign of a fault."""
    target = sum_counts(pair.target for pair in pair_counts(sums))
    needed = GOOD_SHARE * sum(counts.answers for counts in sums.values())
    if target.answers < max(MIN_GOOD_ANSWERS, min(needed, MAX_GOOD_ANSWERS)):
        return False
    if not upstream_count or len(target.timed_by_upstream) < min(upstream_count, 2):
        return False
    recent = subtract_sums(sums, before)
    if not pair_counts(recent):
        return False
    has_few = target.answers < MAX_GOOD_ANSWERS
    if _is_suspect(sums, upstream_count, counts_worst=has_few):
        return False
    return not _is_suspect(recent, upstream_count, counts_worst=False)


def _is_suspect(sums: Mapping[Key, Counts], upstream_count: int, *, counts_worst: bool) -> bool:
    """Return whether a fault of the target version is likely, but not certain.

    With `counts_worst`, the worst upstream counts with as many bad answers as the next one: with
    few answers in all, one bad answer at each of two upstreams would not show otherwise.
    """
    min_bad = SUSPECT_BAD_ELSEWHERE if upstream_count > 1 else SUSPECT_BAD_ALONE
    if counts_worst and _is_often_bad(pair_counts(sums), upstream_count):
        return True
    for group in _list_groups(pair_counts(sums)):
        if sum(_count_bad_elsewhere(group, upstream_count)) >= min_bad:
            limit = _count_second(group) if counts_worst else 0
            if score_failures(group, upstream_count, worst_limit=limit) >= SUSPECT_SCORE:
                return True
        if _score_slowness(group, upstream_count, SUSPECT_LEVELS, SUSPECT_SCORE) >= SUSPECT_SCORE:
            return True
    return False


def _is_often_bad(group: list[Comparison], upstream_count: int) -> bool:
    """Return whether a version with few answers fails more often than one may expect."""
    answers = sum(pair.target.answers for pair in group)
    bad = sum(_count_bad_elsewhere(group, upstream_count, _count_second(group)))
    max_share = max(SUSPECT_SHARE, SUSPECT_FACTOR * _get_usual_share(group))
    return bad >= SUSPECT_BAD_ALONE and bad >= max_share * answers


def _get_usual_share(group: list[Comparison]) -> float:
    """Return the share of bad answers of the other versions, with half an answer as a prior."""
    answers = sum(pair.others.answers for pair in group)
    bad = sum(pair.others.bad for pair in group)
    return (bad + CONTINUITY) / (answers + 1)


def _count_second(group: list[Comparison]) -> int:
    """Return the bad answers of the upstream with the second most."""
    bad = collections.Counter[str]()
    for pair in group:
        bad.update(pair.target.bad_by_upstream)
    return sorted((0, 0, *bad.values()))[-2]


def _list_groups(pairs: list[Comparison]) -> list[list[Comparison]]:
    """Return all routes together, and each alone: a fault on one is diluted by the others."""
    if len(pairs) < 2:
        return [pairs] if pairs else []
    return [pairs, *([pair] for pair in pairs)]


def _find_failures(group: list[Comparison], upstream_count: int, *, is_moving: bool) -> str:
    answers = sum(pair.target.answers for pair in group)
    bad = sum(pair.target.bad for pair in group)
    if bad < MIN_BAD_ANSWERS:
        return ''
    bad_elsewhere = sum(_count_bad_elsewhere(group, upstream_count))
    min_elsewhere: float = MIN_BAD_ELSEWHERE
    if is_moving:
        min_elsewhere = max(
            MOVING_MIN_BAD_ELSEWHERE,
            MOVING_BAD_SHARE * answers,
            MOVING_BAD_FACTOR * _get_usual_share(group) * answers,
        )
    if bad_elsewhere < min_elsewhere:
        return ''
    if not is_moving and score_failures(group, upstream_count) < BAD_SCORE:
        return ''
    others = sum(pair.others.answers for pair in group)
    others_bad = sum(pair.others.bad for pair in group)
    return f'{bad} of {answers} answers were bad, {others_bad} of {others} at other versions' + (
        _name_route(group)
    )


def _name_route(group: list[Comparison]) -> str:
    return f', route {group[0].route}' if len(group) == 1 else ''


def _find_worst(group: Iterable[Comparison]) -> str:
    """Return the upstream of the target version with the most bad answers."""
    bad = collections.Counter[str]()
    for pair in group:
        bad.update(pair.target.bad_by_upstream)
    return max(bad, key=lambda name: bad[name], default='')


def _count_bad_elsewhere(
    group: list[Comparison], upstream_count: int, worst_limit: int = 0
) -> list[int]:
    """Return the bad answers by route; of the worst of several upstreams only `worst_limit`."""
    worst = _find_worst(group) if upstream_count > 1 else ''
    counts = []
    for pair in group:
        of_worst = pair.target.bad_by_upstream[worst]
        counts.append(pair.target.bad - max(of_worst - worst_limit, 0))
    return counts


def score_failures(group: list[Comparison], upstream_count: int, *, worst_limit: int = 0) -> float:
    """Return by how many standard errors the bad answers exceed those of the other versions.

    Compares two proportions within each route and adds the routes up (the test of Mantel and
    Haenszel), so that versions with another mix of routes are compared fairly. The bad answers of
    the worst of several upstreams are left out, but for `worst_limit` of them on each route: one
    crashed or faulty machine proves nothing.
    """
    excess: float = 0
    variance: float = 0
    bad_counts = _count_bad_elsewhere(group, upstream_count, worst_limit)
    for pair, bad in zip(group, bad_counts, strict=True):
        answers = pair.target.answers - (pair.target.bad - bad)
        total = answers + pair.others.answers
        total_bad = bad + pair.others.bad
        if not answers or not pair.others.answers:
            continue
        excess += bad - answers * total_bad / total
        spread = answers * pair.others.answers * total_bad * (total - total_bad)
        variance += spread / (total**SQUARE * (total - 1))
    return (excess - CONTINUITY) / math.sqrt(variance) if variance > 0 else 0


def _find_slowness(group: list[Comparison], upstream_count: int, *, is_moving: bool) -> str:
    min_levels = MOVING_SLOW_LEVELS if is_moving else SLOW_LEVELS
    if _score_slowness(group, upstream_count, min_levels, REST_SCORE) < SLOW_SCORE:
        return ''
    target = measure_latency(pair.target for pair in group)
    others = measure_latency(pair.others for pair in group)
    return (
        f'the mean latency level is {target.mean:.1f} at {target.upstream_count} upstreams, '
        f'{others.mean:.1f} at other versions'
    ) + _name_route(group)


def _score_slowness(
    group: list[Comparison], upstream_count: int, min_levels: float, rest_score: float
) -> float:
    """Return the standard errors between the mean levels.

    It is 0 unless the score without the slowest upstream reaches `rest_score`.
    """
    timed_count = sum(sum(pair.target.timed_by_upstream.values()) for pair in group)
    if timed_count < MIN_TIMED_ANSWERS:
        return 0
    target = measure_latency(pair.target for pair in group)
    # There may be a thousand other upstreams, and no mean is below 0.
    if target.mean < min_levels:
        return 0
    others = measure_latency(pair.others for pair in group)
    if not others.upstream_count:
        return 0
    if target.mean < others.mean + min_levels:
        return 0
    # One slow machine of several proves nothing.
    rest = measure_latency((pair.target for pair in group), leaves_out_slowest=upstream_count > 1)
    if _compare_latency(rest, others) < rest_score:
        return 0
    return _compare_latency(target, others)


def _compare_latency(target: Latency, others: Latency) -> float:
    return (target.mean - others.mean) / math.sqrt(target.variance + others.variance)


def measure_latency(group: Iterable[Counts], *, leaves_out_slowest: bool = False) -> Latency:
    """Return the mean latency level of a version and its variance.

    Each upstream is one sample: engines differ more than the answers of one engine.
    """
    parts = [counts for counts in group if counts.timed_by_upstream]
    total = parts[0] if len(parts) == 1 else sum_counts(parts)
    slow = total.slow_by_upstream
    samples = [
        (slow[upstream_id] / answers, answers)
        for upstream_id, answers in total.timed_by_upstream.items()
        if answers > 0
    ]
    if leaves_out_slowest and samples:
        samples.remove(max(samples))
    weighted: float = 0
    weights: float = 0
    for mean, answers in samples:
        weight = 1 / (ENGINE_DEVIATION**SQUARE + ANSWER_DEVIATION**SQUARE / answers)
        weighted += weight * mean
        weights += weight
    if not samples:
        return Latency(0, math.inf, 0)
    return Latency(weighted / weights, 1 / weights, len(samples))
