"""The status of the queues and upstreams of a service, for operators."""

import collections

from ..schema import camphorpath_pb2 as pb
from .service import ServiceState
from .upstream import Upstream

MIN_SPEED_FACTOR = 0.001


def list_queues(state: ServiceState, owner: str) -> list[pb.QueueStatus]:
    """Return the numbers of waiting and running requests of each tier."""
    waiting = collections.Counter(entry.rank for entry in state.queue.entries.values())
    running = collections.Counter(request.rank for request in state.running.values())
    is_confirmed = state.context.is_confirmed(state.name)
    return [
        pb.QueueStatus(
            service=state.name,
            owner=owner,
            tier=tier.name,
            waiting=waiting[tier.rank],
            running=running[tier.rank],
            confirmed=is_confirmed,
        )
        for tier in sorted(state.context.view.fleet.tiers, key=lambda tier: tier.rank)
    ]


def list_upstreams(state: ServiceState) -> list[pb.UpstreamStatus]:
    """Return the status of each upstream of a service."""
    return [_describe(state, upstream) for upstream in state.upstreams.values()]


def _describe(state: ServiceState, upstream: Upstream) -> pb.UpstreamStatus:
    report = upstream.report
    return pb.UpstreamStatus(
        name=upstream.name,
        service=state.name,
        pool=upstream.vm.pool,
        zone=upstream.vm.zone,
        state=upstream.describe(state.context.clock(), state.settings.load_limit),
        running=len(upstream.running),
        reported_running=0 if report is None else report.running,
        report_age=0 if report is None else max(state.context.wall_clock() - report.as_of, 0),
        speed=1 / max(upstream.speed.factor, MIN_SPEED_FACTOR),
    )
