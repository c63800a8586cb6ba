"""The load report of an upstream."""

import attrs


@attrs.frozen
class LoadReport:
    """What an upstream said about itself at `as_of`, in seconds since 1970."""

    incarnation: str
    draining: bool
    running: int
    waiting: int
    tokens: int
    as_of: float
