"""What a daemon has learned of the speed of one upstream."""

import attrs

# Weight of a new sample: about the last ten count.
EWMA_WEIGHT = 0.15
# Assumed until something was measured: the usual figures of the engines in use.
USUAL_FIRST_S = 0.08
USUAL_PREFILL_S = 0.00002
USUAL_TOKEN_S = 0.006


@attrs.define
class Speed:
    """Times of an upstream, as moving averages in seconds."""

    # From the send to the first byte, without the prefill.
    first_s: float = USUAL_FIRST_S
    # For each token of the answer.
    token_s: float = USUAL_TOKEN_S
    samples: int = 0

    def learn_first(self, seconds: float, prompt_tokens: float) -> None:
        """Take in the time from the send to the first byte of an answer."""
        rest = max(seconds - prompt_tokens * USUAL_PREFILL_S, 0)
        self.first_s += self._weight() * (rest - self.first_s)

    def learn_answer(self, seconds: float, tokens: float) -> None:
        """Take in the time from the first byte to the end of an answer."""
        if tokens > 0:
            self.token_s += self._weight() * (seconds / tokens - self.token_s)
        self.samples += 1

    def estimate_first(self, prompt_tokens: float) -> float:
        """Return the expected seconds from the send to the first byte of an answer."""
        return self.first_s + prompt_tokens * USUAL_PREFILL_S

    def estimate(self, prompt_tokens: float, output_tokens: float) -> float:
        """Return the expected seconds from the send to the end of an answer."""
        return self.estimate_first(prompt_tokens) + max(output_tokens, 1) * self.token_s

    def _weight(self) -> float:
        return EWMA_WEIGHT if self.samples else 0.5
