"""Calls that wait for a slot, and the decisions on them."""

import math
import types
from collections.abc import Callable, Mapping

import attrs

from ..routing import Upstream
from .customers import Account
from .pace import PaceStatement
from .rate_limits import RateStatement


@attrs.frozen
class Placed:
    """The call got a slot at an upstream."""

    upstream: Upstream


@attrs.frozen
class Refused:
    """The call is not run; the caller may retry after `retry_after_s` seconds."""

    reason: str
    retry_after_s: float
    # Expected wait for a slot and number of waiting calls at the time of the decision.
    expected_wait_s: float
    waiting: int


Decision = Placed | Refused


@attrs.frozen
class Load:
    """Load of one upstream as a daemon reports it to the others."""

    in_flight: int
    # Slots that the owner lends.
    lent: int = 0
    # The only daemon that may use the lent slots; empty for all.
    borrower: str = ''
    # Time to the first byte relative to the default, as measured by the owner.
    factor: float = 1.0
    # What the upstream said about its rate; None if the daemon has nothing to report.
    rate_statement: RateStatement | None = None
    # Requests that the owner lends while a rate limit holds, by name of the daemon.
    lent_requests: Mapping[str, int] = types.MappingProxyType({})
    # The last pace that the upstream stated to its owner; None if it states none.
    pace: PaceStatement | None = None
    # Tokens of the calls of the daemon; 0 if the memory of the upstream is not known.
    held_tokens: float = 0
    # The memory that the upstream reported, in tokens; 0 if it is not known.
    memory_tokens: float = 0


@attrs.define(kw_only=True, eq=False)
class WaitingCall:
    """A call without a slot; instants are in seconds on the lease clock."""

    call_id: str
    service: str
    # Priority of the customer and priority of the route; lower is more urgent.
    rank: tuple[int, int]
    arrived_at: float
    # Latency objective: the first byte is due at this instant.
    objective_at: float
    # After this instant the first byte would be late even with a free slot; set on submission.
    latest_start_at: float = math.inf
    # Ranks by which it is ordered later (negative: earlier) because it is larger than the average
    # call of its class; set on submission.
    size_shift: float = 0
    # A call that still waits at this instant is refused.
    wait_until: float
    deadline: float
    prompt_tokens: float
    output_tokens: float
    # Prompt and largest output; 0 if they are not stated.
    max_tokens: float = 0
    # Ids and tokens of the parts of its prompt that other calls may share, in order.
    prompt_parts: tuple[tuple[bytes, float], ...] = ()
    # Size of the body of its request.
    body_bytes: int = attrs.field(default=0, kw_only=True)
    on_decision: Callable[[Decision], None]
    # A longer gap between events of its stream makes its answer late.
    max_event_gap_s: float = math.inf
    # Name of its customer; empty if it has none.
    customer: str = ''
    # What its customer was served; set on submission.
    account: Account = attrs.field(factory=Account)
    # Ids of upstreams to which the call was sent before.
    excluded: set[str] = attrs.field(factory=set)
    # The software version that began the stream that the call continues, empty if it is unknown;
    # None if the call begins its answer.
    required_version: str | None = None
    # The call runs at a silent upstream and asks for another one, again and again: it does not
    # count as an arrival or a refused call.
    is_replacement: bool = False

    @property
    def is_bound(self) -> bool:
        """Whether it continues a stream, and so can run only at one software version."""
        return self.required_version is not None

    def may_run_at(self, upstream: Upstream) -> bool:
        """Return whether the call may be sent to an upstream of its service."""
        if upstream.upstream_id in self.excluded:
            return False
        if self.required_version is None:
            return True
        # Two unknown versions may differ.
        return bool(self.required_version) and upstream.software_version == self.required_version
