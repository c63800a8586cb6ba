"""The context that all services of one admission owner share."""

import time
from collections.abc import Callable

import attrs

from ..clocks import read_lease_clock
from ..events import EventLog
from .fleet import FleetView
from .suspects import Suspects


@attrs.frozen
class Clocks:
    """The lease clock and the wall clock, in seconds since 1970."""

    lease: Callable[[], float] = read_lease_clock
    wall: Callable[[], float] = time.time


SYSTEM_CLOCKS = Clocks()


@attrs.define(eq=False)
class Context:
    """Clocks, events, configuration and callbacks of the owner.

    `clock` is the lease clock and `wall_clock` gives seconds since 1970; tests replace both.
    `add_timer(due_at, service, request_id)` has the service or request checked at that time.
    `is_confirmed(service)` tells whether every live member has registered its requests.
    """

    events: EventLog
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    suspects: Suspects
    add_timer: Callable[[float, str, str], None]
    is_confirmed: Callable[[str], bool]
    view: FleetView
