"""The `config` command: show, propose and list versions of the fleet-wide configuration."""

import argparse
import datetime
import getpass
import pathlib
import sys

from ..errors import CommandError, UserError
from ..schema import camphorpath_pb2 as pb
from ..settings import parse_fleet
from .operator import add_daemon_arguments, run_call
from .status import format_table


def add_parser(subparsers: argparse._SubParsersAction) -> None:
    """Register the command and its actions."""
    parser = subparsers.add_parser(
        'config',
        help='show, propose and list versions of the fleet-wide configuration',
        description='Show or change the fleet-wide configuration through any daemon.',
    )
    actions = parser.add_subparsers(dest='action', required=True, metavar='ACTION')
    show = actions.add_parser('show', help='print a version, by default the one in force')
    add_daemon_arguments(show)
    show.add_argument('--version', dest='number', type=int, default=0, metavar='N')
    show.set_defaults(func=show_config)
    propose = actions.add_parser('propose', help='propose a change; exit 0 when it is in force')
    add_daemon_arguments(propose)
    propose.add_argument('file', metavar='FILE', help='YAML file with the complete `fleet` section')
    propose.add_argument(
        '--base',
        type=int,
        required=True,
        metavar='N',
        help='the version that the change is based on',
    )
    propose.add_argument(
        '--reason', required=True, help='reason for the change; kept in the history'
    )
    propose.add_argument(
        '--author', default='', help='author of the change (default: the login name)'
    )
    propose.set_defaults(func=propose_config)
    listing = actions.add_parser('list', help='list the versions, newest first')
    add_daemon_arguments(listing)
    listing.set_defaults(func=list_versions)


def show_config(args: argparse.Namespace) -> int:
    """Print the text of a version to standard output and its number to standard error."""
    request = pb.ShowConfigRequest(version=args.number)
    reply = run_call(args, lambda stub, metadata: stub.ShowConfig(request, metadata=metadata))
    sys.stderr.write(f'version {reply.version}\n')
    sys.stdout.write(reply.text)
    return 0


def propose_config(args: argparse.Namespace) -> int:
    """Validate a file and propose it as the next version; raises CommandError unless accepted."""
    try:
        text = pathlib.Path(args.file).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise UserError(f'{args.file}: cannot read the file: {error}') from error
    parse_fleet(text, args.file)
    request = pb.ProposeRequest(
        base_version=args.base,
        text=text,
        reason=args.reason,
        author=args.author or getpass.getuser(),
    )
    reply = run_call(args, lambda stub, metadata: stub.Propose(request, metadata=metadata))
    for name in reply.fenced:
        sys.stderr.write(f'fenced: {name}\n')
    if not reply.accepted:
        raise CommandError(reply.problem)
    sys.stdout.write(f'accepted as version {reply.version}\n')
    return 0


def list_versions(args: argparse.Namespace) -> int:
    """Print the versions in the history, newest first."""
    reply = run_call(
        args, lambda stub, metadata: stub.ListVersions(pb.ListVersionsRequest(), metadata=metadata)
    )
    rows = [
        (
            str(version.version),
            datetime.datetime.fromtimestamp(version.time, datetime.UTC).isoformat(
                timespec='seconds'
            ),
            version.author,
            version.reason,
        )
        for version in reply.versions
    ]
    sys.stdout.write(format_table(('VERSION', 'TIME', 'AUTHOR', 'REASON'), rows))
    return 0
