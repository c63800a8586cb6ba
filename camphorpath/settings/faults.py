"""The faults of a settings file, and the error that reports them all."""

from collections.abc import Sequence

from attrs import frozen

from ..errors import UserError

# Longer values are truncated so that each fault fits on a line.
MAX_TEXT_CHARACTERS = 60


@frozen
class Fault:
    """A fault; `line` counts from 1 and is 0 if the fault concerns the whole file."""

    file: str
    line: int
    key: str
    value: str
    problem: str

    def __str__(self) -> str:
        """Return `file:line: key: value: problem`, without empty parts."""
        location = f'{self.file}:{self.line}' if self.line else self.file
        return ': '.join(part for part in (location, self.key, self.value, self.problem) if part)


class SettingsError(UserError):
    """The settings are invalid; `faults` lists every fault by line."""

    def __init__(self, faults: Sequence[Fault]) -> None:
        """Store the faults; the message has one line for each."""
        self.faults = sorted(faults, key=lambda fault: fault.line)
        super().__init__('\n'.join(str(fault) for fault in self.faults))


def escape_text(text: str) -> str:
    """Return the text truncated and without line ends and terminal control characters."""
    escaped = text[:MAX_TEXT_CHARACTERS]
    if not escaped.isprintable():
        escaped = repr(escaped)[1:-1]
    return escaped if len(text) <= MAX_TEXT_CHARACTERS else f'{escaped}...'
