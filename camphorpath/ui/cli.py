"""Parses the command line, runs the command and prints user errors."""

import argparse
import importlib
import sys
from collections.abc import Iterable, Sequence

from .. import __version__
from ..errors import UserError

# The module of each command defines `add_parser(subparsers)`, which sets `func` to a function that
# takes the parsed options and returns the exit code.
COMMANDS = ('serve', 'edge', 'check', 'manifest', 'defaults', 'config', 'status', 'timeline')


def run_command(argv: Sequence[str] | None = None) -> int:
    """Run a command and return the exit code: 0 success, 1 command failed, 2 invalid input."""
    arguments = sys.argv[1:] if argv is None else argv
    try:
        options = build_parser(_select_commands(arguments)).parse_args(arguments)
    except SystemExit as stop:
        # argparse has already printed the help, the version or an error.
        return int(stop.code or 0)
    try:
        return options.func(options)
    except UserError as error:
        sys.stderr.write(f'{error}\n')
        return error.exit_code


def build_parser(commands: Iterable[str] = COMMANDS) -> argparse.ArgumentParser:
    """Return a parser for these commands; only their modules are imported."""
    parser = argparse.ArgumentParser(
        prog='camphorpath', description='Request scheduler for heterogeneous engines.'
    )
    parser.add_argument('--version', action='version', version=f'%(prog)s {__version__}')
    subparsers = parser.add_subparsers(required=True, metavar='COMMAND')
    for command in commands:
        module = importlib.import_module(f'.{command}', __package__)
        module.add_parser(subparsers)
    return parser


def _select_commands(arguments: Sequence[str]) -> Sequence[str]:
    """Return the command to run, or all commands for the help and for unknown arguments.

    Importing the modules of all other commands takes longer than the start of an edge daemon.
    """
    named = arguments[:1]
    return named if set(named) & set(COMMANDS) else COMMANDS
