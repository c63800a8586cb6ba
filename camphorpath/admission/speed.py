"""The learned speed of an upstream and the estimated work of a request."""

import attrs

from ..schema import camphorpath_pb2 as pb
from .records import RunningRequest

# Work of a request without tokens, by which calls of plain services can be compared as well.
BASE_WORK_S = 0.01
EWMA_WEIGHT = 0.2
# A slow upstream completes only one probe in 5 s; this weight restores it after three probes.
PROBE_WEIGHT = 0.7


def estimate_work(pool: pb.Pool, prompt_tokens: float, output_tokens: float) -> float:
    """Return the estimated work in seconds at the configured rates of a pool."""
    prefill_s = prompt_tokens / max(pool.prefill_rate, 1)
    return BASE_WORK_S + prefill_s + output_tokens / max(pool.decode_rate, 0.1)


@attrs.define
class Speed:
    """Ratios of measured to estimated time: 1 is as configured, 3 is three times slower."""

    factor: float = 1
    prefill_factor: float = 1
    decode_factor: float = 1
    samples: int = 0

    def record_completion(
        self, pool: pb.Pool, running: RunningRequest, release: pb.Release
    ) -> None:
        """Update the factors with the times of a completed request."""
        if release.duration <= 0:
            return
        prompt_s = estimate_work(pool, running.uncached_tokens, 0)
        output_s = release.output_tokens / max(pool.decode_rate, 0.1)
        weight = PROBE_WEIGHT if running.is_probe else EWMA_WEIGHT
        if not self.samples:
            weight = 1
        self.factor += weight * (release.duration / (prompt_s + output_s) - self.factor)
        self.prefill_factor += weight * (release.first_byte / prompt_s - self.prefill_factor)
        if output_s:
            decode_s = max(release.duration - release.first_byte, 0)
            self.decode_factor += weight * (decode_s / output_s - self.decode_factor)
        self.samples += 1

    def record_lower_bound(self, running: RunningRequest, duration: float) -> None:
        """Update the factor with a request that ended early: `duration` is a lower bound."""
        ratio = duration / running.work_s
        if ratio > self.factor:
            self.factor += EWMA_WEIGHT * (ratio - self.factor)
