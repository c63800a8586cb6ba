"""The state of one request at its home, with the assertions on what may be said of it."""

import enum

import attrs

from ..clocks import read_lease_clock
from ..errors import Outcome, Refusal
from ..schema import camphorpath_pb2 as pb

STATUS_BAD_GATEWAY = 502
STATUS_GATEWAY_TIMEOUT = 504


@enum.unique
class Phase(enum.Enum):
    """How far a request has come."""

    ACCEPTED = 'accepted'
    SENT = 'sent'
    ANSWERED = 'answered'


@attrs.define(kw_only=True)
class Exchange:
    """One request between its arrival and its final answer."""

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
        """Note the dispatch. It holds that this happens at most once for a request."""
        assert self.phase is Phase.ACCEPTED, f'second dispatch of {self.request_id}'
        self.phase = Phase.SENT

    def time_left(self) -> float:
        """Return the seconds until the deadline; negative when it has passed."""
        return self.deadline - read_lease_clock()

    def refuse_not_run(
        self, reason: str, message: str, retry_after_s: float | None = None, status: int = 503
    ) -> Refusal:
        """Return a refusal that says "not run". It holds that nothing has been sent."""
        assert self.phase is Phase.ACCEPTED, f'{self.request_id} was sent and is not "not run"'
        return Refusal(reason, message, retry_after_s=retry_after_s, status=status, step='refuse')

    def fail_sent(
        self, reason: str, message: str, peer: str = '', retry_after_s: float | None = None
    ) -> Refusal:
        """Return the final answer to a request that was sent and has no whole answer.

        A request that must not run twice is "outcome unknown"; any other one "failed after start".
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
