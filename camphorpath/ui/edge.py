"""The `edge` command: run one edge daemon on the platform."""

import argparse

import anyio

from ..edge import run_edge
from ..edge.output import open_output
from ..platform.settings import load_edge_settings


def add_parser(subparsers: argparse._SubParsersAction) -> None:
    """Register the command."""
    parser = subparsers.add_parser(
        'edge',
        help='run one edge daemon on the lending platform',
        description='Run one edge daemon until SIGTERM; then finish its calls and exit 0.',
    )
    parser.add_argument(
        'settings',
        metavar='FILE',
        nargs='?',
        default='',
        help='settings file of the platform (default: the file named by CAMPHORPATH_CONFIG)',
    )
    parser.set_defaults(func=run)


def run(args: argparse.Namespace) -> int:
    """Run an edge daemon with the settings of a file."""
    settings = load_edge_settings(args.settings)
    output = open_output(settings.name, settings.log_level)
    anyio.run(run_edge, settings, output)
    return 0
