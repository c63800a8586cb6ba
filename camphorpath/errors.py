"""The exception hierarchy; each error carries the step and the peer at which it arose."""

import enum
from typing import ClassVar


class CamphorpathError(Exception):
    """Base class of all errors of the program."""

    def __init__(self, message: str, *, step: str = '', peer: str = '') -> None:
        """Store the message with the step and the peer at which the error arose."""
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the message with its step and peer."""
        context = ' '.join(
            f'{label}={text}' for label, text in (('step', self.step), ('peer', self.peer)) if text
        )
        return f'{self.message} ({context})' if context else self.message


class UserError(CamphorpathError):
    """Invalid user input; printed without a traceback."""

    exit_code: ClassVar[int] = 2


class CommandError(UserError):
    """A command failed; printed without a traceback."""

    exit_code: ClassVar[int] = 1


class PlatformError(CamphorpathError):
    """A request to the platform failed."""


class TableUnavailable(PlatformError):
    """The table is unavailable and the operation certainly had no effect."""


class HistoryCompacted(TableUnavailable):
    """The table no longer holds the changes after a revision; it must be read in full."""


class RowsChanged(PlatformError):
    """A row of a conditional transaction has another revision; nothing was written."""


class TableOutcomeUnknown(PlatformError):
    """The answer of the table was lost; the write may have taken effect."""


class PeerError(CamphorpathError):
    """Another daemon did not answer, or not correctly."""


class UpstreamError(CamphorpathError):
    """An upstream did not answer, or not correctly.

    The names of the subclasses are label values of a metric.
    """


class NotSent(UpstreamError):
    """No byte of the request reached the upstream."""


class ProcessUnconfirmed(NotSent):
    """A call was not sent, as its upstream may not be the registered process or not allowed now."""


@enum.unique
class LossCause(enum.Enum):
    """Why the outcome of a request that may have been sent is unknown."""

    LOST = 'lost'
    TIMED_OUT = 'timed_out'


class SentUnknown(UpstreamError):
    """The request may have reached the upstream and its outcome is unknown."""

    def __init__(
        self,
        message: str,
        *,
        cause: LossCause = LossCause.LOST,
        step: str = '',
        peer: str = '',
    ) -> None:
        """Store whether the connection was lost or the wait timed out."""
        super().__init__(message, step=step, peer=peer)
        self.cause = cause


class HeadTimeout(SentUnknown):
    """No byte of the answer arrived before the time at which another upstream should be tried."""


class Truncated(UpstreamError):
    """The answer of the upstream began and broke off."""


class EndedEarly(Truncated):
    """The answer ended with its connection where it cannot be complete."""


class EndUnclear(Truncated):
    """The answer ended with its connection where nothing shows whether it is complete."""


class NotExecuted(UpstreamError):
    """The upstream reported that it did not run the request."""


class CallerDisconnected(CamphorpathError):
    """The caller closed its connection."""


class AnswerTooLarge(UpstreamError):
    """The answer of the upstream exceeds the limit of `read_whole`."""


@enum.unique
class Outcome(enum.Enum):
    """Whether a refused request was run."""

    NOT_RUN = 'not_run'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    FAILED_AFTER_START = 'failed_after_start'


class Refusal(CamphorpathError):
    """The final answer to a request that was not served.

    `reason` is a stable code in lower case, `status` the HTTP status, `retry_after_s` the base of
    the Retry-After header in seconds, or None if a retry does not help.
    """

    def __init__(
        self,
        reason: str,
        message: str,
        *,
        outcome: Outcome = Outcome.NOT_RUN,
        status: int = 503,
        retry_after_s: float | None = None,
        step: str = '',
        peer: str = '',
    ) -> None:
        """Store the fields of the answer to the caller."""
        super().__init__(message, step=step, peer=peer)
        self.reason = reason
        self.outcome = outcome
        self.status = status
        self.retry_after_s = retry_after_s
