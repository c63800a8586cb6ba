"""Calls that wait for a slot, and what is decided of them."""

import math
from collections.abc import Callable

import attrs

from ..routing import Upstream


@attrs.frozen
class Placed:
    """A slot at an upstream."""

    upstream: Upstream


@attrs.frozen
class TurnedAway:
    """The call is not run; the caller may come back after `retry_after_s` seconds."""

    reason: str
    retry_after_s: float
    # What decided it: the seconds until a slot was expected, and the calls that waited.
    expected_s: float
    waiting: int


Decision = Placed | TurnedAway


@attrs.frozen
class Load:
    """What a daemon tells the others of an upstream."""

    in_flight: int
    # Slots that the owner lends.
    lent: int = 0
    # The only daemon that may use them; empty for all.
    borrower: str = ''
    # How many times the usual time to the first byte it takes, as its owner learned.
    factor: float = 1.0


@attrs.define(kw_only=True, eq=False)
class WaitingCall:
    """A call without a slot; times are instants in seconds on the lease clock."""

    call_id: str
    service: str
    # The lower, the more urgent.
    rank: tuple[int, int]
    arrived_at: float
    # The first byte is due.
    objective_at: float
    # From this instant the first byte comes too late even if a slot is free; set on submission.
    late_from: float = math.inf
    # Ranks that it goes down because it is larger than others of its class; set on submission.
    size_shift: float = 0
    # After this instant the call is not worth a slot.
    wait_until: float
    deadline: float
    prompt_tokens: float
    output_tokens: float
    on_decision: Callable[[Decision], None]
    # A longer pause of its stream makes its answer late; in seconds.
    pause_s: float = math.inf
    # Upstreams that have had this call.
    excluded: set[str] = attrs.field(factory=set)
