"""The `status` command: show members, upstreams, queues and versions in force."""

import argparse
import sys
from collections.abc import Iterable, Sequence

import anyio
from google.protobuf import json_format

from ..schema import camphorpath_pb2 as pb
from ..schema.camphorpath_grpc import OperatorStub
from .operator import add_daemon_arguments, call_daemon, call_members, read_token


def add_parser(subparsers: argparse._SubParsersAction) -> None:
    """Register the command."""
    parser = subparsers.add_parser(
        'status',
        help='show members, upstreams, queues and versions in force',
        description='Show the view of one daemon. Owners report their queues and upstreams.',
    )
    add_daemon_arguments(parser)
    parser.add_argument('--json', action='store_true', help='print JSON instead of tables')
    parser.set_defaults(func=show_status)


def show_status(args: argparse.Namespace) -> int:
    """Print the status; the exit code is 1 if a member did not answer."""
    reply, problems = anyio.run(collect_status, args.daemon, read_token(args))
    if args.json:
        text = json_format.MessageToJson(
            reply, preserving_proto_field_name=True, always_print_fields_with_no_presence=True
        )
        sys.stdout.write(f'{text}\n')
        return int(bool(problems))
    for title, table in _make_tables(reply):
        sys.stdout.write(f'{title}\n{table}\n')
    for problem in problems:
        sys.stderr.write(f'{problem}\n')
    return int(bool(problems))


async def collect_status(address: str, token: str) -> tuple[pb.StatusReply, list[str]]:
    """Return the status of one daemon with the queues and upstreams of all owners.

    The second value has one message for each member that did not answer.
    """
    own = await call_daemon(address, token, _ask_status)
    addresses = [
        member.peers_address for member in own.members if member.incarnation != own.self.incarnation
    ]
    replies, problems = await call_members(addresses, token, _ask_status)
    for reply in replies:
        own.queues.extend(reply.queues)
        own.upstreams.extend(reply.upstreams)
    return own, problems


async def _ask_status(stub: OperatorStub, metadata: dict[str, str]) -> pb.StatusReply:
    return await stub.Status(pb.StatusRequest(), metadata=metadata)


def _make_tables(reply: pb.StatusReply) -> Iterable[tuple[str, str]]:
    yield (
        'Members',
        format_table(
            ('NAME', 'INCARNATION', 'ZONE', 'ADDRESS', 'VERSION', 'STATE'),
            [
                (
                    member.name,
                    member.incarnation,
                    member.zone,
                    member.callers_address,
                    str(member.version),
                    _describe_member(member),
                )
                for member in reply.members
            ],
        ),
    )
    yield (
        'Upstreams',
        format_table(
            ('NAME', 'SERVICE', 'POOL', 'ZONE', 'STATE', 'RUNNING', 'REPORTED', 'REPORT AGE'),
            [
                (
                    upstream.name,
                    upstream.service,
                    upstream.pool,
                    upstream.zone,
                    upstream.state,
                    str(upstream.running),
                    str(upstream.reported_running),
                    f'{upstream.report_age:.1f} s',
                )
                for upstream in reply.upstreams
            ],
        ),
    )
    yield (
        'Engines',
        format_table(
            ('NAME', 'ROLE', 'ARTIFACTS', 'MISSING', 'ORDER'),
            [
                (
                    upstream.name,
                    upstream.role,
                    ' '.join(upstream.artifacts) or '-',
                    ' '.join(upstream.missing) or '-',
                    upstream.order or '-',
                )
                for upstream in reply.upstreams
                if upstream.role
            ],
        ),
    )
    yield (
        'Queues',
        format_table(
            ('SERVICE', 'OWNER', 'TIER', 'WAITING', 'RUNNING', 'CONFIRMED'),
            [
                (
                    queue.service,
                    queue.owner,
                    queue.tier,
                    str(queue.waiting),
                    str(queue.running),
                    'yes' if queue.confirmed else 'no',
                )
                for queue in reply.queues
            ],
        ),
    )
    yield 'Table', f'{"up" if reply.table_up else "down"}\n'


def _describe_member(member: pb.MemberInfo) -> str:
    if member.stopping:
        return 'stopping'
    return 'serving' if member.serving else 'not serving'


def format_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a text table with a header line and aligned columns."""
    widths = [max(map(len, column)) for column in zip(header, *rows, strict=True)]
    lines = [
        '  '.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in (header, *rows)
    ]
    return '\n'.join((*lines, ''))
