"""The entry point of the command line; handles signals while a daemon is starting."""

import os
import signal
import sys
from collections.abc import Sequence


def main(argv: Sequence[str] | None = None) -> int:
    """Run a command and return its exit code.

    Importing the modules of the commands takes seconds on a busy VM, so signals can arrive before a
    daemon has installed its own handlers.
    """
    arguments = sys.argv[1:] if argv is None else argv
    if tuple(arguments[:1]) == ('edge',):
        # The settings are read later, so a change of them needs no action.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if tuple(arguments[:1]) != ('serve',):
        return _run(arguments)
    previous_handler = signal.signal(signal.SIGTERM, _exit_on_sigterm)
    try:
        return _run(arguments)
    finally:
        signal.signal(signal.SIGTERM, previous_handler)


def _run(arguments: Sequence[str]) -> int:
    # Imported here because the signal handler must be installed first.
    from .cli import run_command

    return run_command(arguments)


def _exit_on_sigterm(_number: int, _frame: object) -> None:
    # No call has been accepted and nothing written yet, so there is nothing to finish.
    os._exit(0)
