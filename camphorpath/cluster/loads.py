"""Encodes the loads of upstreams in heartbeats."""

import math

from ..placement.pace import PaceStatement, is_plausible
from ..placement.rate_limits import MIN_RATE_PER_S, RateStatement
from ..placement.records import Load
from ..schema import camphorpath_pb2 as pb

# More tokens than any engine holds; sums of the counts of all daemons stay finite.
MAX_ENGINE_TOKENS = 1e12


def encode_load(upstream_id: str, load: Load, now: float) -> pb.UpstreamLoad:
    """Return the load for a heartbeat that is sent at `now`."""
    message = pb.UpstreamLoad(
        upstream=upstream_id,
        in_flight=load.in_flight,
        lent=load.lent,
        borrower=load.borrower,
        factor=load.factor,
    )
    statement = load.rate_statement
    if statement is not None:
        is_limited = math.isfinite(statement.rate)
        message.rate_statement.per_s = max(statement.rate, MIN_RATE_PER_S) if is_limited else 0
        message.rate_statement.age = now - statement.stated_at
        message.lent_requests.update(load.lent_requests)
    if load.pace is not None:
        message.pace = load.pace.pace
        message.pace_age = max(now - load.pace.stated_at, 0)
    if load.held_tokens:
        message.held_tokens = load.held_tokens
    if load.memory_tokens:
        message.memory_tokens = load.memory_tokens
    return message


def decode_load(message: pb.UpstreamLoad, now: float) -> Load:
    """Return the load in a heartbeat that arrived at `now`.

    The time on the way is not known; it makes a statement on the rate look younger.
    """
    pace = _decode_pace(message, now)
    held, memory = _decode_tokens(message.held_tokens), _decode_tokens(message.memory_tokens)
    if not message.HasField('rate_statement'):
        # Most loads have none, and a daemon reads hundreds in a second.
        return Load(
            message.in_flight,
            message.lent,
            message.borrower,
            message.factor,
            pace=pace,
            held_tokens=held,
            memory_tokens=memory,
        )
    statement = RateStatement(
        message.rate_statement.per_s or math.inf, now - max(message.rate_statement.age, 0)
    )
    return Load(
        message.in_flight,
        message.lent,
        message.borrower,
        message.factor,
        statement,
        dict(message.lent_requests),
        pace,
        held,
        memory,
    )


def _decode_tokens(tokens: float) -> float:
    """Return a number of tokens; 0 if it cannot be one."""
    return tokens if 0 <= tokens <= MAX_ENGINE_TOKENS else 0


def _decode_pace(message: pb.UpstreamLoad, now: float) -> PaceStatement | None:
    """Return the pace in a load; None if there is none or it cannot be one."""
    if not (is_plausible(message.pace) and 0 <= message.pace_age < math.inf):
        return None
    return PaceStatement(message.pace, now - message.pace_age)
