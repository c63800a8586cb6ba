"""The `check` command: validate a settings file and report every fault."""

import argparse
import sys

from ..schema import camphorpath_pb2 as pb
from ..settings import load_settings


def add_parser(subparsers: 'argparse._SubParsersAction') -> None:
    """Register the command."""
    parser = subparsers.add_parser('check', help='validate a settings file and print every fault')
    parser.add_argument('file', metavar='FILE', help='YAML file with a `daemon` or `fleet` section')
    parser.set_defaults(func=check_file)


def check_file(options: argparse.Namespace) -> int:
    """Print a summary of the file; raises SettingsError with every fault."""
    settings = load_settings(options.file)
    sys.stdout.write(f'{options.file}: correct: {", ".join(_describe(settings))}\n')
    return 0


def _describe(settings: pb.Settings) -> list[str]:
    parts = []
    if settings.HasField('daemon'):
        parts.append(f'daemon {settings.daemon.name}')
    if settings.HasField('fleet'):
        parts.append(f'fleet {settings.fleet.deployment}')
        for field in ('regions', 'tiers', 'customers', 'services', 'rollouts', 'exceptions'):
            parts.append(f'{field} {len(getattr(settings.fleet, field))}')
    return parts
