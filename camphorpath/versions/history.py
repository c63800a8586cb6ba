"""History of the configuration and differences between its versions."""

import difflib

from ..errors import CommandError
from ..platform import Table
from ..schema import camphorpath_pb2 as pb
from .records import (
    CURRENT_KEY,
    VERSIONS_PREFIX,
    CurrentRecord,
    VersionRecord,
    decode_record,
    make_version_key,
)

# One scan reads the versions whose keys differ in the last two digits only.
VERSIONS_PER_BLOCK = 100
MAX_DIFF_LINE_COUNT = 40


async def read_version(table: Table, version: int) -> VersionRecord | None:
    """Return a version, or None if it does not exist; raises TableUnavailable."""
    row = await table.read(make_version_key(version))
    return decode_record(VersionRecord, row) if row else None


async def show_version(table: Table, version: int) -> pb.ConfigVersion:
    """Return a version, the newest for 0.

    Raises CommandError if it does not exist, or TableUnavailable.
    """
    number = version
    if not number:
        number = decode_record(CurrentRecord, await table.read(CURRENT_KEY)).version
    record = await read_version(table, number)
    if record is None:
        raise CommandError(f'there is no version {number}' if number else 'there is no version yet')
    return _make_message(number, record, record.text)


async def list_versions(table: Table) -> pb.VersionList:
    """Return the newest 100 to 200 versions, newest first and without their texts.

    Raises TableUnavailable.
    """
    newest = decode_record(CurrentRecord, await table.read(CURRENT_KEY)).version
    versions: list[pb.ConfigVersion] = []
    for block in range(max(0, newest // VERSIONS_PER_BLOCK - 1), newest // VERSIONS_PER_BLOCK + 1):
        for row in await table.scan(f'{VERSIONS_PREFIX}{block:06d}'):
            number = int(row.key.removeprefix(VERSIONS_PREFIX))
            versions.append(_make_message(number, decode_record(VersionRecord, row), ''))
    versions.sort(key=lambda version: version.version, reverse=True)
    return pb.VersionList(versions=versions)


async def describe_conflict(table: Table, base: int, newest: int) -> str:
    """Return the author and reason of the newest version and its diff to the base version.

    Raises TableUnavailable.
    """
    if base > newest:
        return f'there is no version {base}; the newest is {newest}'
    record = await read_version(table, newest)
    base_record = await read_version(table, base)
    if record is None:
        return f'version {newest} replaced version {base}'
    difference = difflib.unified_diff(
        base_record.text.splitlines() if base_record else [],
        record.text.splitlines(),
        f'version {base}',
        f'version {newest}',
        lineterm='',
        n=1,
    )
    lines = [
        f'version {newest} by {record.author} replaced version {base}: {record.reason}',
        *difference,
    ]
    if len(lines) > MAX_DIFF_LINE_COUNT:
        lines = [*lines[:MAX_DIFF_LINE_COUNT], f'... {len(lines) - MAX_DIFF_LINE_COUNT} more lines']
    return '\n'.join(lines)


def _make_message(version: int, record: VersionRecord, text: str) -> pb.ConfigVersion:
    return pb.ConfigVersion(
        version=version,
        text=text,
        reason=record.reason,
        author=record.author,
        time=record.time,
        token=record.token,
    )
