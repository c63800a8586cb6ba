"""The `timeline` command: print the events of all processes in one order."""

import argparse
import json
import sys

import anyio

from ..clocks import LOGICAL_BITS, MS_PER_S
from ..errors import UserError
from ..events.files import read_files
from ..schema import camphorpath_pb2 as pb
from .operator import add_daemon_arguments, call_daemon, call_members, read_token

DEFAULT_LIMIT = 1000


def add_parser(subparsers: argparse._SubParsersAction) -> None:
    """Register the command."""
    parser = subparsers.add_parser(
        'timeline',
        help='merge the events of all daemons into one timeline',
        description='Events are ordered by hybrid clocks: an effect never precedes its cause.',
    )
    add_daemon_arguments(parser, needs_token=False)
    parser.add_argument(
        '--files',
        nargs='+',
        default=[],
        metavar='LOG',
        help='read these log files instead of calling daemons; ordered by machine clocks',
    )
    parser.add_argument('--request', default='', metavar='ID', help='only events of this request')
    parser.add_argument(
        '--upstream', default='', metavar='NAME', help='only events of this upstream'
    )
    parser.add_argument(
        '--event', type=int, default=0, metavar='N', help='only events with this number'
    )
    parser.add_argument(
        '--limit',
        type=int,
        default=DEFAULT_LIMIT,
        metavar='N',
        help='the newest N events of each daemon (default: %(default)s)',
    )
    parser.add_argument('--json', action='store_true', help='print one JSON object per line')
    parser.set_defaults(func=show_timeline)


def show_timeline(args: argparse.Namespace) -> int:
    """Print the merged events; the exit code is 1 if a live member did not answer."""
    query = pb.TimelineRequest(
        request_id=args.request, upstream=args.upstream, number=args.event, limit=args.limit
    )
    if args.files:
        records, problems = read_files(args.files, query)
    elif args.token_file:
        records, problems = anyio.run(collect_events, args.daemon, read_token(args), query)
    else:
        raise UserError('timeline: either --token-file or --files is required')
    for record in sorted(records, key=_sort_key):
        sys.stdout.write(f'{_format_record(record, as_json=args.json)}\n')
    for problem in problems:
        sys.stderr.write(f'{problem}\n')
    return int(bool(problems) and not args.files)


async def collect_events(
    address: str, token: str, query: pb.TimelineRequest
) -> tuple[list[pb.EventRecord], list[str]]:
    """Return the events of all live members, and a message for each that did not answer."""
    status = await call_daemon(
        address, token, lambda stub, metadata: stub.Status(pb.StatusRequest(), metadata=metadata)
    )
    addresses = [member.peers_address for member in status.members]
    replies, problems = await call_members(
        addresses, token, lambda stub, metadata: stub.Timeline(query, metadata=metadata)
    )
    return [record for reply in replies for record in reply.events], problems


def _sort_key(record: pb.EventRecord) -> tuple[int, str, int]:
    return record.stamp, record.incarnation, record.sequence


def _format_record(record: pb.EventRecord, *, as_json: bool) -> str:
    seconds = (record.stamp >> LOGICAL_BITS) / MS_PER_S
    if as_json:
        return json.dumps(
            {
                'time_s': seconds,
                'stamp': record.stamp,
                'incarnation': record.incarnation,
                'event': record.number,
                'name': record.name,
                'request_id': record.request_id,
                'upstream': record.upstream,
                **dict(record.fields),
            }
        )
    details = ' '.join(f'{name}={text}' for name, text in sorted(record.fields.items()))
    parts = (
        f'{seconds:.3f}',
        record.incarnation,
        str(record.number),
        record.name,
        record.request_id,
        record.upstream,
        details,
    )
    return ' '.join(part for part in parts if part)
