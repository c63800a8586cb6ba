"""The `defaults` command: print the reference of all settings with their defaults."""

import argparse
import sys

from ..settings import read_defaults


def add_parser(subparsers: 'argparse._SubParsersAction') -> None:
    """Register the command."""
    parser = subparsers.add_parser('defaults', help='print all settings with their defaults')
    parser.set_defaults(func=print_defaults)


def print_defaults(options: argparse.Namespace) -> int:
    """Print the packaged defaults.yaml."""
    sys.stdout.write(read_defaults())
    return 0
