"""Encodes the loads of upstreams in heartbeats."""

import math

from ..placement.rate_limits import MIN_RATE_PER_S, RateStatement
from ..placement.records import Load
from ..schema import camphorpath_pb2 as pb


def encode_load(upstream_id: str, load: Load, now: float) -> pb.UpstreamLoad:
    """Return the load for a heartbeat that is sent at `now`."""
    message = pb.UpstreamLoad(
        upstream=upstream_id,
        in_flight=load.in_flight,
        lent=load.lent,
        borrower=load.borrower,
        factor=load.factor,
        lent_requests=load.lent_requests,
    )
    if load.rate is not None:
        is_limited = math.isfinite(load.rate.rate)
        message.rate.per_s = max(load.rate.rate, MIN_RATE_PER_S) if is_limited else 0
        message.rate.age = now - load.rate.stated_at
    return message


def decode_load(message: pb.UpstreamLoad, now: float) -> Load:
    """Return the load in a heartbeat that arrived at `now`.

    The time on the way is not known; it makes a statement on the rate look younger.
    """
    rate = None
    if message.HasField('rate'):
        stated_at = now - max(message.rate.age, 0)
        rate = RateStatement(message.rate.per_s or math.inf, stated_at)
    return Load(
        message.in_flight,
        message.lent,
        message.borrower,
        message.factor,
        rate,
        dict(message.lent_requests),
    )
