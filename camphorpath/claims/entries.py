"""The claims of this daemon that are not settled, kept in memory."""

import enum

import anyio
from attrs import Factory, define

from .records import ClaimRow, RecordedAnswer


@enum.unique
class Stage(enum.Enum):
    """How far a claim of this daemon has come."""

    CLAIMING = 'claiming'
    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'
    RELEASED = 'released'


@define(eq=False)
class Entry:
    """One claim of this daemon, from its first attempt until its row has its final content.

    `unsettled` counts the attempts whose outcome is not known; such an attempt may still take
    effect. `has_row` is set when an attempt is known to have taken effect.
    """

    row_key: str
    row: ClaimRow
    stage: Stage = Stage.CLAIMING
    answer: RecordedAnswer | None = None
    final_row: ClaimRow | None = None
    has_row: bool = False
    unsettled: int = 0
    decided: anyio.Event = Factory(anyio.Event)
    settled: anyio.Event = Factory(anyio.Event)

    @property
    def may_exist(self) -> bool:
        """Whether the table may hold the row of this claim, now or later."""
        return self.has_row or self.unsettled > 0

    def begin_attempt(self) -> None:
        """Take note that a write of the row is about to be sent."""
        self.unsettled += 1

    def end_attempt(self, has_effect: bool) -> None:
        """Take note of the known outcome of an attempt; without a call it stays unsettled."""
        self.unsettled -= 1
        self.has_row = self.has_row or has_effect

    def win(self) -> None:
        """Give the right to send to the caller; this happens at most once per token."""
        assert self.stage is Stage.CLAIMING, f'claim {self.row.token} is won a second time'
        self.has_row = True
        self.stage = Stage.RUNNING
        self.decided.set()

    def end(self, stage: Stage) -> None:
        """Leave the states in which the call may be sent."""
        assert self.stage in {Stage.CLAIMING, Stage.RUNNING}, f'claim {self.row.token} ended twice'
        assert self.stage is Stage.RUNNING or stage is Stage.RELEASED, 'the claim was not won'
        self.stage = stage
        self.decided.set()
