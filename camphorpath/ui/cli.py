"""The parser of the command line and the single place where user errors are printed."""

import argparse
import sys
from collections.abc import Sequence

from .. import __version__
from ..errors import UserError
from . import check, config, defaults, edge, serve, status, timeline

# Each module has `add_parser(subparsers)`, which sets `func`: a function from the parsed
# options to the exit code.
COMMANDS = (serve, edge, check, defaults, config, status, timeline)


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return the exit code: 0 done, 1 command failed, 2 bad input."""
    try:
        options = build_parser().parse_args(argv)
    except SystemExit as stop:
        # argparse has printed the help, the version or its message.
        return int(stop.code or 0)
    try:
        return options.func(options)
    except UserError as error:
        sys.stderr.write(f'{error}\n')
        return error.exit_code


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with all commands."""
    parser = argparse.ArgumentParser(
        prog='camphorpath', description='Request scheduler for heterogeneous engines.'
    )
    parser.add_argument('--version', action='version', version=f'%(prog)s {__version__}')
    subparsers = parser.add_subparsers(required=True, metavar='COMMAND')
    for command in COMMANDS:
        command.add_parser(subparsers)
    return parser
