"""Measured speed of one upstream.

Engines of one service differ by a factor of four, permanently or for a while.
"""

import attrs

# Weight of a new sample: about the last five count, since upstreams can become slow within seconds.
EWMA_WEIGHT = 0.2
FIRST_SAMPLE_WEIGHT = 0.5
# Assumed until there is a measurement: typical figures of the engines in use.
DEFAULT_FIRST_BYTE_S = 0.06
DEFAULT_PREFILL_TOKEN_S = 0.00002
DEFAULT_OUTPUT_TOKEN_S = 0.006
# Half-life of the measured factor, so that an upstream that was slow is tried again.
HALF_LIFE_S = 10.0


@attrs.define
class Speed:
    """Response times of an upstream, as moving averages."""

    # Time to the first byte relative to the default.
    factor: float = 1.0
    # Seconds per token of the answer.
    output_token_s: float = DEFAULT_OUTPUT_TOKEN_S
    samples: int = 0

    def record_first_byte(self, seconds: float, prompt_tokens: float) -> None:
        """Add the time to the first byte of a call and the prompt tokens prefilled until then."""
        measured = seconds / estimate_default_first_byte(prompt_tokens)
        self.factor += self._weight() * (measured - self.factor)
        self.samples += 1

    def record_answer(self, seconds: float, tokens: float) -> None:
        """Add the time from the first byte to the end of an answer, and its tokens."""
        if tokens > 0:
            self.output_token_s += EWMA_WEIGHT * (seconds / tokens - self.output_token_s)

    def decay(self, seconds: float) -> None:
        """Decay the factor towards 1 by the elapsed seconds."""
        self.factor = 1 + (self.factor - 1) * 0.5 ** (seconds / HALF_LIFE_S)

    def estimate_first_byte(self, prompt_tokens: float) -> float:
        """Return the expected seconds from the send to the first byte of an answer."""
        return self.factor * estimate_default_first_byte(prompt_tokens)

    def estimate_stall(self, prompt_tokens: float) -> float:
        """Return the seconds for which the prefill of a prompt stalls concurrent streams."""
        return self.factor * prompt_tokens * DEFAULT_PREFILL_TOKEN_S

    def estimate_total(self, prompt_tokens: float, output_tokens: float) -> float:
        """Return the expected seconds from the send to the end of an answer."""
        return self.estimate_first_byte(prompt_tokens) + max(output_tokens, 1) * self.output_token_s

    def _weight(self) -> float:
        return EWMA_WEIGHT if self.samples else FIRST_SAMPLE_WEIGHT


def estimate_default_first_byte(prompt_tokens: float) -> float:
    """Return the seconds to the first byte that are assumed without a measurement."""
    return DEFAULT_FIRST_BYTE_S + prompt_tokens * DEFAULT_PREFILL_TOKEN_S
