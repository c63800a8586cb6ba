"""Orders to move a service to another software version, their phases and the evidence."""

import enum
import types
from collections.abc import Mapping

import attrs


@enum.unique
class Phase(enum.Enum):
    """Progress of an order; COMPLETED and REVERTED are final."""

    # The share of the new version is capped.
    CANARY = 'canary'
    # New calls go to the new version only; calls at other versions finish there.
    MOVING = 'moving'
    COMPLETED = 'completed'
    REVERTED = 'reverted'

    @property
    def is_final(self) -> bool:
        """Whether no other phase follows."""
        return self in {Phase.COMPLETED, Phase.REVERTED}


@enum.unique
class Action(enum.Enum):
    """What a daemon advises to do with an order."""

    REVERT = 'revert'
    MOVE = 'move'
    COMPLETE = 'complete'

    @property
    def phase(self) -> Phase:
        """The phase that the action leads to."""
        return _PHASES[self]


_PHASES = types.MappingProxyType(
    {
        Action.REVERT: Phase.REVERTED,
        Action.MOVE: Phase.MOVING,
        Action.COMPLETE: Phase.COMPLETED,
    }
)


@attrs.frozen
class RolloutOrder:
    """An order to move a service to another version; instants are on the lease clock."""

    service: str
    # The target: the software version of the upstreams that are to serve all calls.
    version: str
    # Revision of the order's row; higher ones are newer.
    revision: int
    # Estimated instant at which the row was written.
    written_at: float
    duration_s: float

    @property
    def ends_at(self) -> float:
        """Instant at which the service must be moved or back at the other versions."""
        return self.written_at + self.duration_s


@attrs.frozen
class Bar:
    """Why a version that an earlier order named gets no calls."""

    # Instant on the lease clock from which it may serve again.
    until: float
    # Whether it is known to be bad; otherwise this daemon may have missed that it was completed.
    is_reverted: bool


@attrs.frozen
class RolloutBounds:
    """What a bad version may receive, over all daemons."""

    # Share of the requests to the service since the order.
    canary_share: float
    # Requests beyond that share.
    canary_allowance: int
    # Longest time from the 50th bad answer to the last request.
    rollback_timeout_s: float


@attrs.frozen(kw_only=True)
class Tally:
    """Answers of one version on one route that one daemon got, since its start, for one order."""

    service: str
    version: str
    route: str
    # Revision of the order for which the answers were counted.
    revision: int
    answers: int
    # Server errors and broken answers.
    bad: int
    # Sum of the latency levels of the answers, see `evidence.get_latency_level`.
    slow: int
    # By upstream id; upstreams with a count of 0 are left out.
    bad_by_upstream: Mapping[str, int]
    slow_by_upstream: Mapping[str, int]
    # Answers with a latency level, by upstream id.
    timed_by_upstream: Mapping[str, int]


@attrs.frozen
class Advice:
    """What should be done with an order, and why."""

    action: Action
    order: RolloutOrder
    # For people: the counts or the time limit that led to the advice.
    reason: str
    # Answers of the target version and bad ones among them, over all known daemons.
    answers: int = 0
    bad: int = 0


@attrs.define
class Rollout:
    """An order, its phase and the evidence on it."""

    order: RolloutOrder
    phase: Phase = Phase.CANARY
    # Instant at which this daemon learned of the phase.
    phase_since: float = 0
    # Answers of the target version and bad ones among them, over all known daemons.
    answers: int = 0
    bad: int = 0
