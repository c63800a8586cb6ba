"""What the failure of an upstream says about the call that was sent to it."""

from ..errors import EndedEarly, EndUnclear, SentUnknown, Truncated, UpstreamError

# Statuses that tell a caller that its request has not run. An upstream states that by a mark in its
# answer, so that its status alone must not be passed on as such a promise.
NOT_RUN_STATUSES = frozenset((408, 429, 503))


def is_crash(error: UpstreamError, *, has_left: bool) -> bool:
    """Return whether a call may have crashed its upstream: the connection ended with its answer.

    Not if the answer was refused or too late. `has_left` tells that the upstream leaves as planned.
    """
    if isinstance(error, EndUnclear):
        return not has_left
    if isinstance(error, EndedEarly):
        return True
    return isinstance(error, (SentUnknown, Truncated)) and error.__cause__ is not None
