"""Records of requests and grants in admission."""

import math
from collections.abc import Callable
from typing import Any

import attrs

from ..schema import camphorpath_pb2 as pb


@attrs.define(eq=False)
class Ticket:
    """A request for a slot; `on_preempt` is called when the owner preempts it."""

    enqueue: pb.Enqueue
    on_preempt: Callable[[], None]


@attrs.frozen
class Grant:
    """Permission to send one request to one upstream until `expires_at` on the lease clock."""

    request_id: str
    upstream: str
    upstream_url: str
    zone: str
    expires_at: float


@attrs.define(eq=False)
class WaitingRequest:
    """A request in the queue; times are seconds on the lease clock.

    `work_s` and `prefill_s` are its estimated work and prefill time at the rates of its pool
    without a cached prefix. A first token after `first_token_deadline` is not worth the prefill;
    `is_late` is set once this deadline cannot be met. `claimed_upstream` is the one on which
    requests were preempted for it. `hold_until` is the end of its wait for a full upstream that is
    cheaper than a free one.
    """

    enqueue: pb.Enqueue
    session: Any
    arrived_at: float
    deadline: float
    sequence: int
    work_s: float = 0
    prefill_s: float = 0
    first_token_deadline: float = math.inf
    claimed_upstream: str = ''
    hold_until: float = 0
    has_preempt_timer: bool = False
    is_late: bool = False
    request_id: str = attrs.field(init=False)
    rank: int = attrs.field(init=False)
    prompt_tokens: int = attrs.field(init=False)
    output_tokens: int = attrs.field(init=False)
    tokens: int = attrs.field(init=False)
    zone: str = attrs.field(init=False)
    body_bytes: int = attrs.field(init=False)
    blocks: tuple[int, ...] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Copy the fields that every decision reads, since protobuf access is slower."""
        self.request_id = self.enqueue.request_id
        self.rank = self.enqueue.tier_rank
        self.prompt_tokens = self.enqueue.prompt_tokens
        self.output_tokens = self.enqueue.output_tokens
        self.tokens = self.prompt_tokens + self.output_tokens
        self.zone = self.enqueue.zone
        self.body_bytes = self.enqueue.body_bytes
        self.blocks = tuple(self.enqueue.prefix_blocks)


@attrs.define(eq=False)
class RunningRequest:
    """A request that holds a slot of an upstream.

    `granted_at` and `deadline` are on the lease clock, `granted_wall_at` is in seconds since 1970.
    `session` is None once its home daemon is lost. `is_alone` is set for a crash suspect.
    `is_probe` is set for a request to an upstream that was slow.
    """

    enqueue: pb.Enqueue
    session: Any
    upstream: str
    granted_at: float
    granted_wall_at: float
    deadline: float
    work_s: float
    uncached_tokens: int
    is_alone: bool = False
    is_probe: bool = False
    is_preempted: bool = False
    home: str = attrs.field(init=False)
    request_id: str = attrs.field(init=False)
    rank: int = attrs.field(init=False)
    tokens: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Copy the fields that every decision reads, since protobuf access is slower."""
        self.home = self.session.incarnation
        self.request_id = self.enqueue.request_id
        self.rank = self.enqueue.tier_rank
        self.tokens = self.enqueue.prompt_tokens + self.enqueue.output_tokens

    @property
    def may_be_preempted(self) -> bool:
        """Whether the owner may order this request to stop."""
        return self.enqueue.cancellable and not self.is_preempted and self.session is not None
