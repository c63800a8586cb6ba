"""What a daemon has learned of the speed of one upstream.

Answers engines of one service that differ by a factor of four, for good or for a while.
"""

import attrs

# Weight of a new sample: about the last five count, as some upstreams turn slow within seconds.
EWMA_WEIGHT = 0.2
FIRST_WEIGHT = 0.5
# Assumed until something was measured: the usual figures of the engines in use.
USUAL_FIRST_S = 0.06
USUAL_PREFILL_S = 0.00002
USUAL_TOKEN_S = 0.006
# Half of what is known is forgotten after this time without a sample, in seconds, so that an
# upstream that was slow is tried again.
HALF_LIFE_S = 10.0


@attrs.define
class Speed:
    """Times of an upstream, as moving averages."""

    # How many times the usual time to the first byte it takes.
    factor: float = 1.0
    # Seconds for each token of the answer.
    token_s: float = USUAL_TOKEN_S
    samples: int = 0

    def learn_first(self, seconds: float, prompt_tokens: float) -> None:
        """Take in the time to the first byte, with the tokens that were read until then."""
        measured = seconds / _usual_first(prompt_tokens)
        self.factor += self._weight() * (measured - self.factor)
        self.samples += 1

    def learn_answer(self, seconds: float, tokens: float) -> None:
        """Take in the time from the first byte to the end of an answer."""
        if tokens > 0:
            self.token_s += EWMA_WEIGHT * (seconds / tokens - self.token_s)

    def relax(self, seconds: float) -> None:
        """Forget a part of what was learned; called every so many seconds."""
        self.factor = 1 + (self.factor - 1) * 0.5 ** (seconds / HALF_LIFE_S)

    def estimate_first(self, prompt_tokens: float) -> float:
        """Return the expected seconds from the send to the first byte of an answer."""
        return self.factor * _usual_first(prompt_tokens)

    def estimate_stall(self, prompt_tokens: float) -> float:
        """Return for how many seconds reading a prompt stalls the streams beside it."""
        return self.factor * prompt_tokens * USUAL_PREFILL_S

    def estimate(self, prompt_tokens: float, output_tokens: float) -> float:
        """Return the expected seconds from the send to the end of an answer."""
        return self.estimate_first(prompt_tokens) + max(output_tokens, 1) * self.token_s

    def _weight(self) -> float:
        return EWMA_WEIGHT if self.samples else FIRST_WEIGHT


def _usual_first(prompt_tokens: float) -> float:
    return USUAL_FIRST_S + prompt_tokens * USUAL_PREFILL_S
