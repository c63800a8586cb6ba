"""Calls from the command line to the operator service of a daemon."""

import argparse
import pathlib
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import anyio
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from ..errors import CommandError, UserError
from ..schema.camphorpath_grpc import OperatorStub

CALL_TIMEOUT_S = 30
DEFAULT_DAEMON = '127.0.0.1:9080'

Reply = TypeVar('Reply')


def add_daemon_arguments(parser: argparse.ArgumentParser, *, needs_token: bool = True) -> None:
    """Add the options for the daemon to call and for the operator token."""
    parser.add_argument(
        '--daemon',
        default=DEFAULT_DAEMON,
        metavar='HOST:PORT',
        help='peers address of any daemon (default: %(default)s)',
    )
    parser.add_argument(
        '--token-file',
        required=needs_token,
        metavar='FILE',
        help='file that contains the operator token',
    )


def read_token(args: argparse.Namespace) -> str:
    """Return the operator token; raises UserError if the file cannot be read or is empty."""
    try:
        token = pathlib.Path(args.token_file).read_text(encoding='ascii').strip()
    except (OSError, UnicodeDecodeError) as error:
        raise UserError(f'{args.token_file}: cannot read the operator token: {error}') from error
    if not token:
        raise UserError(f'{args.token_file}: the operator token is empty')
    return token


def run_call(
    args: argparse.Namespace,
    call: Callable[[OperatorStub, dict[str, str]], Awaitable[Reply]],
) -> Reply:
    """Call the daemon that the options name; raises CommandError on failure."""
    token = read_token(args)

    async def run() -> Reply:
        return await call_daemon(args.daemon, token, call)

    return anyio.run(run)


async def call_daemon(
    address: str,
    token: str,
    call: Callable[[OperatorStub, dict[str, str]], Awaitable[Reply]],
) -> Reply:
    """Call the daemon at `address` with the operator token.

    Raises UserError for a malformed address and CommandError if the call fails.
    """
    host, _, port = address.rpartition(':')
    if not host or not port.isdecimal():
        raise UserError(f'"{address}" is not an address of the form HOST:PORT')
    channel = Channel(host, int(port))
    try:
        with anyio.fail_after(CALL_TIMEOUT_S):
            return await call(OperatorStub(channel), {'authorization': f'Bearer {token}'})
    except GRPCError as error:
        raise CommandError(f'{error.status.name}: {error.message}', peer=address) from error
    except (OSError, StreamTerminatedError, TimeoutError) as error:
        raise CommandError(
            f'no answer: {error or "timed out"}', step='call', peer=address
        ) from error
    finally:
        channel.close()


async def call_members(
    addresses: Sequence[str],
    token: str,
    call: Callable[[OperatorStub, dict[str, str]], Awaitable[Reply]],
) -> tuple[list[Reply], list[str]]:
    """Call several daemons; return the replies and one message for each failed call."""
    replies: list[Reply] = []
    problems: list[str] = []

    async def collect(address: str) -> None:
        try:
            replies.append(await call_daemon(address, token, call))
        except CommandError as error:
            problems.append(str(error))

    async with anyio.create_task_group() as group:
        for address in addresses:
            group.start_soon(collect, address)
    return replies, problems
