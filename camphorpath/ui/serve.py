"""The `serve` command: run one daemon."""

import argparse
import sys

import anyio
from loguru import logger

from ..daemon import run_daemon, watch_signals
from ..errors import UserError
from ..events.lines import render_line
from ..schema import camphorpath_pb2 as pb
from ..settings import load_settings


def add_parser(subparsers: argparse._SubParsersAction) -> None:
    """Register the command."""
    parser = subparsers.add_parser(
        'serve',
        help='run one daemon in the foreground',
        description='Run one daemon until SIGTERM; then finish all accepted requests and exit 0.',
    )
    parser.add_argument('settings', metavar='FILE', help='settings file with a `daemon` section')
    parser.set_defaults(func=serve)


def serve(args: argparse.Namespace) -> int:
    """Run a daemon with the settings of a file."""
    settings = load_settings(args.settings)
    if not settings.HasField('daemon'):
        raise UserError(f'{args.settings}: has no `daemon` section')
    set_up_log(settings.daemon)
    try:
        anyio.run(_run, settings.daemon)
    except BaseExceptionGroup as group:
        raise _find_user_error(group) from group
    return 0


def set_up_log(settings: pb.Daemon) -> None:
    """Log to standard error, one JSON object per line."""

    def write(message: object) -> None:
        sys.stderr.write(f'{render_line(message.record, settings.name)}\n')

    logger.remove()
    # The sink formats each record itself, so the format and the tracebacks of loguru are off.
    logger.add(write, level=settings.log_level, format='', backtrace=False, diagnose=False)


def _find_user_error(group: BaseExceptionGroup) -> BaseException:
    """Return the single UserError nested in the group, or the group if there is none."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        if len(error.exceptions) > 1:
            return group
        error = error.exceptions[0]
    return error if isinstance(error, UserError) else group


async def _run(settings: pb.Daemon) -> None:
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(watch_signals, stop)
        await run_daemon(settings, stop)
        group.cancel_scope.cancel()
