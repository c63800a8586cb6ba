"""State of one request at its home daemon.

The home daemon is the one that accepted the request; only it may dispatch the request. The
assertions here guard the "not run" promise and the single dispatch.
"""

import enum

import attrs

from ..clocks import read_lease_clock
from ..errors import Outcome, Refusal
from ..schema import camphorpath_pb2 as pb

STATUS_BAD_GATEWAY = 502
STATUS_GATEWAY_TIMEOUT = 504


@enum.unique
class Phase(enum.Enum):
    """Progress of a request."""

    ACCEPTED = 'accepted'
    SENT = 'sent'
    ANSWERED = 'answered'


@attrs.define(kw_only=True)
class Exchange:
    """One request from its acceptance to its final answer."""

    request_id: str
    service: pb.Service
    customer: str
    tier: pb.Tier
    pool: str
    # Instant on the lease clock, in seconds.
    deadline: float
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    idempotent: bool
    idempotency_key: str = ''
    streamed: bool = False
    digest: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix_blocks: list[int] = attrs.Factory(list)
    phase: Phase = Phase.ACCEPTED

    def mark_sent(self) -> None:
        """Mark the request as sent; asserts that this happens at most once."""
        assert self.phase is Phase.ACCEPTED, f'second dispatch of {self.request_id}'
        self.phase = Phase.SENT

    def time_left(self) -> float:
        """Return the seconds until the deadline; negative after it."""
        return self.deadline - read_lease_clock()

    def refuse_not_run(
        self, reason: str, message: str, retry_after_s: float | None = None, status: int = 503
    ) -> Refusal:
        """Return a refusal with the outcome "not run"; asserts that the request was not sent."""
        assert self.phase is Phase.ACCEPTED, f'{self.request_id} was sent, so it is not "not run"'
        return Refusal(reason, message, retry_after_s=retry_after_s, status=status, step='refuse')

    def fail_sent(
        self, reason: str, message: str, peer: str = '', retry_after_s: float | None = None
    ) -> Refusal:
        """Return the refusal of a request that was sent and got no complete answer.

        The outcome is "failed after start" for an idempotent request, else "outcome unknown".
        """
        outcome = Outcome.FAILED_AFTER_START if self.idempotent else Outcome.OUTCOME_UNKNOWN
        status = STATUS_GATEWAY_TIMEOUT if reason == 'deadline_exceeded' else STATUS_BAD_GATEWAY
        return Refusal(
            reason,
            message,
            outcome=outcome,
            status=status,
            retry_after_s=retry_after_s if self.idempotent else None,
            step='answer',
            peer=peer,
        )
