"""Delays between retries: exponential backoff with jitter."""

import random
from collections.abc import Iterator

FIRST_DELAY_S = 0.05
MAX_DELAY_S = 5.0


def iterate_retry_delays(rng: random.Random) -> Iterator[float]:
    """Yield 0, then delays in seconds that double up to MAX_DELAY_S, each with jitter.

    The first retry is immediate, since a single lost answer is the most frequent failure.
    """
    yield 0
    upper_limit_s = FIRST_DELAY_S
    while True:
        yield rng.uniform(upper_limit_s / 2, upper_limit_s)
        upper_limit_s = min(upper_limit_s * 2, MAX_DELAY_S)
