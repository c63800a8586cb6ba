"""In-memory state of the claims of this daemon whose rows do not have their final content."""

import enum

import anyio
from attrs import Factory, define

from .records import ClaimRow, RecordedAnswer


@enum.unique
class ClaimStage(enum.Enum):
    """The stage of a claim in its life cycle at this daemon."""

    CLAIMING = 'claiming'
    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'
    RELEASED = 'released'


@define(eq=False)
class ClaimEntry:
    """One claim of this daemon, from its first attempt until its row has its final content.

    `unresolved_attempts` counts the writes whose outcome is not known; such a write may still
    take effect. `has_row` is set when a write is known to have taken effect.
    `acquisition_ended` is set once the claim is acquired or ended, `row_finalized` once the row
    has its final content.
    """

    row_key: str
    row: ClaimRow
    stage: ClaimStage = ClaimStage.CLAIMING
    answer: RecordedAnswer | None = None
    final_row: ClaimRow | None = None
    has_row: bool = False
    unresolved_attempts: int = 0
    acquisition_ended: anyio.Event = Factory(anyio.Event)
    row_finalized: anyio.Event = Factory(anyio.Event)

    @property
    def may_have_row(self) -> bool:
        """Whether the table may hold the row of this claim, now or later."""
        return self.has_row or self.unresolved_attempts > 0

    def begin_attempt(self) -> None:
        """Count a write of the row that is about to be sent."""
        self.unresolved_attempts += 1

    def resolve_attempt(self, has_effect: bool) -> None:
        """Record the outcome of a write; a write without this call stays unresolved."""
        self.unresolved_attempts -= 1
        self.has_row = self.has_row or has_effect

    def mark_acquired(self) -> None:
        """Mark that the caller may send the call; this happens at most once per token."""
        assert self.stage is ClaimStage.CLAIMING, f'claim {self.row.token} was acquired before'
        self.has_row = True
        self.stage = ClaimStage.RUNNING
        self.acquisition_ended.set()

    def end(self, stage: ClaimStage) -> None:
        """End the claim: the call may not be sent any more."""
        assert self.stage in {ClaimStage.CLAIMING, ClaimStage.RUNNING}, (
            f'claim {self.row.token} has ended before'
        )
        assert self.stage is ClaimStage.RUNNING or stage is ClaimStage.RELEASED, (
            'the claim was not acquired'
        )
        self.stage = stage
        self.acquisition_ended.set()
