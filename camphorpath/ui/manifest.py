"""The `manifest` command: review a manifest of the platform before it is sent."""

import argparse
import pathlib
import sys

import anyio

from ..errors import CommandError, PlatformError, UserError
from ..platform.manifest import decode_manifest, list_manifest_faults
from ..platform.store import MetadataStore
from ..platform.wire import MANIFEST_KEY, MANIFEST_TABLE
from ..routing import RoutingTable
from ..routing.review import Severity, compare_tables, review_table


def add_parser(subparsers: argparse._SubParsersAction) -> None:
    """Register the command."""
    parser = subparsers.add_parser(
        'manifest',
        help='review a manifest of the platform before it is sent',
        description='Print errors, entries without effect, contradicting limits and the changes '
        'against the manifest in force. Nothing is changed. Exit 2 if there are errors.',
    )
    parser.add_argument('file', metavar='FILE', help='JSON file with the whole manifest')
    source = parser.add_mutually_exclusive_group()
    source.add_argument('--against', metavar='FILE', help='file with the manifest in force')
    source.add_argument(
        '--store', metavar='HOST:PORT', help='read the manifest in force from this metadata store'
    )
    parser.set_defaults(func=review_manifest)


def review_manifest(args: argparse.Namespace) -> int:
    """Print the findings and changes; raise UserError if the manifest has errors."""
    text = _read_file(args.file)
    faults = list_manifest_faults(text)
    if faults:
        lines = ''.join(f'\n  error: {fault}' for fault in faults)
        raise UserError(f'{args.file}: the manifest cannot be used{lines}')
    table = decode_manifest(text)
    findings = review_table(table)
    for finding in findings:
        sys.stdout.write(f'{finding}\n')
    error_count = sum(finding.severity is Severity.ERROR for finding in findings)
    in_force = _read_in_force(args)
    if in_force is not None:
        error_count += _print_changes(in_force, table)
    if error_count:
        raise UserError(f'{args.file}: {error_count} errors')
    sys.stdout.write(f'{args.file}: version {table.version} can be sent\n')
    return 0


def _print_changes(in_force: RoutingTable, table: RoutingTable) -> int:
    """Print the changes against the manifest in force; return the number of errors."""
    for line in compare_tables(in_force, table):
        sys.stdout.write(f'change: {line}\n')
    if table.version > in_force.version:
        return 0
    sys.stdout.write(
        f'error: version {table.version} is not above version {in_force.version}, which is in '
        'force: daemons ignore it\n'
    )
    return 1


def _read_in_force(args: argparse.Namespace) -> RoutingTable | None:
    """Return the manifest in force, or None if none was asked for."""
    if args.against:
        text, source = _read_file(args.against), args.against
    elif args.store:
        text, source = anyio.run(_read_from_store, args.store), args.store
    else:
        return None
    try:
        return decode_manifest(text)
    except PlatformError as error:
        raise CommandError(f'{source}: the manifest in force is invalid: {error}') from error


def _read_file(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise UserError(f'{path}: cannot read the file: {error}') from error


async def _read_from_store(address: str) -> bytes:
    store = MetadataStore(f'http://{address}')
    try:
        rows = await store.read_table(MANIFEST_TABLE)
    except PlatformError as error:
        raise CommandError(f'cannot read the manifest in force: {error}') from error
    finally:
        await store.close()
    for row in rows.rows:
        if row.key == MANIFEST_KEY and row.value is not None:
            return row.value
    raise CommandError(f'{address}: the store holds no manifest')
