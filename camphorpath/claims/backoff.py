"""Pauses between retries."""

import random
from collections.abc import Iterator

FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 5.0


def iterate_pauses(rng: random.Random) -> Iterator[float]:
    """Yield 0, then pauses in seconds that double up to a limit, each with jitter.

    The first retry is immediate, since a single lost answer is the most frequent failure.
    """
    yield 0
    longest_s = FIRST_PAUSE_S
    while True:
        yield rng.uniform(longest_s / 2, longest_s)
        longest_s = min(longest_s * 2, LONGEST_PAUSE_S)
