"""The rates of requests that upstreams allow, as they state them in their answers."""

import math
from collections.abc import Mapping

import attrs

# An upstream that states a lower rate still gets calls at this one: only answers tell when the
# limit ends.
MIN_RATE_PER_S = 0.1
# Requests that the owner may send at once after a pause, as seconds of the rate.
BURST_S = 0.5
# Requests that may be kept to lend, as seconds of the rate; heartbeats, which lend them, come each
# second in fleets of 200 daemons.
MAX_LENDABLE_S = 1.0
# Daemons that do not own an upstream report its statement for this time; it exceeds the interval
# of their heartbeats.
REPORT_S = 10.0


@attrs.frozen
class RateStatement:
    """What an upstream said about the rate that it takes from all daemons together."""

    # Requests per second; infinite if the upstream ended its limit.
    rate: float
    # When it said so, on the lease clock.
    stated_at: float


@attrs.define
class RateLimit:
    """The newest statement of an upstream, and the requests that its owner may send or lend.

    Only the owner counts: a token allows one request, by the owner itself or by the daemon to which
    the owner lends it.
    """

    # None before the first limit.
    statement: RateStatement | None = None
    # Whether another daemon reported it.
    is_from_peer: bool = False
    # Share of the new tokens that is lent to daemons with waiting calls.
    lent_share: float = 0
    _tokens: float = 0
    _lendable: float = 0
    # None until a new owner counts its tokens.
    _filled_at: float | None = None

    @property
    def rate(self) -> float:
        """Requests per second; infinite while the upstream states no limit."""
        return self.statement.rate if self.statement else math.inf

    @property
    def is_limited(self) -> bool:
        """Whether the upstream states a limit."""
        return self.statement is not None and math.isfinite(self.statement.rate)

    @property
    def fill_rate(self) -> float:
        """Requests per second that all daemons together send; infinite without a limit."""
        return max(self.rate, MIN_RATE_PER_S)

    @property
    def burst(self) -> float:
        """The most requests that are sent at once."""
        return max(1, self.fill_rate * BURST_S)

    def record(self, statement: RateStatement, *, is_from_peer: bool) -> bool:
        """Apply a statement if it is the newest; return whether the rate changed."""
        if self.statement is None and math.isinf(statement.rate):
            return False
        if self.statement is not None and statement.stated_at < self.statement.stated_at:
            return False
        before = self.rate
        self.statement = statement
        self.is_from_peer = is_from_peer
        if math.isinf(before):
            self.discard_tokens()
            self._filled_at = statement.stated_at
        return self.rate != before

    def should_report(self, now: float) -> bool:
        """Return whether this daemon heard the statement itself, and lately."""
        if self.statement is None or self.is_from_peer:
            return False
        return now < self.statement.stated_at + REPORT_S

    def expire(self, now: float) -> None:
        """Forget a statement that was not repeated for REPORT_S seconds."""
        if self.statement is not None and now >= self.statement.stated_at + REPORT_S:
            self.statement = None

    def discard_tokens(self) -> None:
        """Start without tokens, as it is not known what was sent lately."""
        self._tokens = 0
        self._lendable = 0
        self._filled_at = None

    def count_tokens(self, now: float) -> int:
        """Return how many requests the owner may send now."""
        self._fill(now)
        return math.floor(self._tokens)

    def expects_token(self, at: float) -> bool:
        """Return whether the owner may send a request at a later instant."""
        tokens, _lendable = self._compute_tokens(at)
        return tokens >= 1

    def take_token(self, now: float) -> None:
        """Count a request that the owner sends."""
        self._fill(now)
        self._tokens -= 1

    def lend(self, demand: Mapping[str, float], max_count: int, now: float) -> dict[str, int]:
        """Take up to `max_count` tokens and return them by the name of the daemon that gets them.

        Each daemon gets at most its demand; they are dealt one at a time in the order of `demand`.
        """
        self._fill(now)
        available = min(math.floor(self._lendable), max_count)
        lent: dict[str, int] = {}
        names = list(demand)
        while names and available > 0:
            name = names.pop(0)
            lent[name] = lent.get(name, 0) + 1
            available -= 1
            if lent[name] < demand[name]:
                names.append(name)
        self._lendable -= sum(lent.values())
        return lent

    def _fill(self, now: float) -> None:
        tokens, lendable = self._compute_tokens(now)
        self._tokens = tokens
        self._lendable = lendable
        self._filled_at = now

    def _compute_tokens(self, at: float) -> tuple[float, float]:
        """Return the tokens to send and to lend; the surplus of one goes to the other."""
        elapsed_s = 0 if self._filled_at is None else max(at - self._filled_at, 0)
        added = elapsed_s * self.fill_rate
        tokens = self._tokens + added * (1 - self.lent_share)
        lendable = self._lendable + added * self.lent_share
        surplus = max(tokens - self.burst, 0)
        max_lendable = max(1, self.fill_rate * MAX_LENDABLE_S)
        excess = max(lendable - max_lendable, 0)
        return (
            min(tokens - surplus + excess, self.burst),
            min(lendable - excess + surplus, max_lendable),
        )
