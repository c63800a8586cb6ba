"""Faults of a stand-in, set by command-line options or at run time through POST /faults."""

import argparse
import asyncio
import random
from collections.abc import Callable
from typing import Any

import attrs


@attrs.define
class Faults:
    """The faults in force; `share` and `times` limit those that affect single calls.

    `share` is the share of calls affected, `times` how many more calls are (-1: no limit).
    `slow` multiplies the duration of the work. `late_s` delays a call, at an engine before the work
    and at a service after it. `truncate_after` ends a stream after this many events (-1: never).
    `cut_after_effect` cuts the connection after the effect of a call. `load_stale`: the load report
    does not change. `ignore_fences`: orders with an outdated fence are applied.
    `hang`: '' | 'before' | 'after' the work | 'all' (also /load). `crash_marker`: a call whose body
    contains it ends the process. `truncate`: 'cut' (close the connection) | 'clean' (end the body
    properly but without the final event). `refuse`: answer 503. `orders_stale`: the report on
    artifacts does not change. `lose_orders`: '' | 'before' | 'after': the connection of an order is
    cut before or after its effect.
    """

    slow: float = 1
    hang: str = ''
    crash_marker: str = ''
    truncate_after: int = -1
    truncate: str = 'cut'
    cut_after_effect: bool = False
    refuse: bool = False
    late_s: float = 0
    draining: bool = False
    load_stale: bool = False
    ignore_fences: bool = False
    orders_stale: bool = False
    lose_orders: str = ''
    share: float = 1
    times: int = -1
    _random: random.Random = attrs.field(factory=random.Random, repr=False)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event, repr=False)

    def draw_hit(self) -> bool:
        """Return whether single-call faults affect the next call; decrement `times` if so."""
        if self.times == 0 or self._random.random() >= self.share:
            return False
        self.times = max(self.times - 1, -1)
        return True

    def set_all(self, settings: dict[str, Any]) -> None:
        """Set the faults in `settings`; raise ValueError for an unknown name or a wrong type."""
        types = {field.name: field.type for field in list_fields()}
        for name, setting in settings.items():
            if name not in types:
                raise ValueError(f'{name} is not a fault')
            if not _has_type(setting, types[name]):
                raise ValueError(f'{name} is not of type {types[name].__name__}')
        for name, setting in settings.items():
            setattr(self, name, setting)
        self._changed.set()
        self._changed = asyncio.Event()

    def read_all(self) -> dict[str, Any]:
        """Return the faults in force."""
        return {field.name: getattr(self, field.name) for field in list_fields()}

    async def wait_until(self, check: Callable[['Faults'], bool]) -> None:
        """Return when `check` is true of the faults."""
        while not check(self):
            await self._changed.wait()


def list_fields() -> list[attrs.Attribute]:
    """Return the fields of the faults that can be set."""
    return [field for field in attrs.fields(Faults) if not field.name.startswith('_')]


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add a command-line option for each fault."""
    for field in list_fields():
        option = f'--{field.name.replace("_", "-")}'
        if field.type is bool:
            parser.add_argument(option, action='store_true')
        else:
            parser.add_argument(option, type=field.type, default=field.default)


def read_options(options: argparse.Namespace) -> Faults:
    """Return the faults that the options set."""
    faults = Faults(random=random.Random(options.seed))
    for field in list_fields():
        setattr(faults, field.name, getattr(options, field.name))
    return faults


def _has_type(setting: Any, expected: type) -> bool:
    if isinstance(setting, bool):
        return expected is bool
    return isinstance(setting, (int, float) if expected is float else expected)
