"""Revisions of the metadata store, ordered across restores.

A store that comes back from a copy gives out versions anew and starts another era. A revision has
the era in the upper 16 bits and the version in the lower 48 bits.
"""

# The era of a store that was never restored, and of one that states none. Its revisions equal the
# versions, as daemons take them that know no eras.
FIRST_ERA = 1
ERA_LIMIT = 65536
VERSION_BITS = 48
VERSION_LIMIT = 1 << VERSION_BITS


def make_revision(era: int, version: int) -> int:
    """Return the revision of a version in an era; raise ValueError if either is out of range."""
    if not (0 <= era < ERA_LIMIT and 0 <= version < VERSION_LIMIT):
        raise ValueError(f'era {era} or version {version} is out of range')
    return max(era - FIRST_ERA, 0) * VERSION_LIMIT + version


def get_era(revision: int) -> int:
    """Return the era of a revision."""
    return FIRST_ERA + (revision >> VERSION_BITS)


def get_version(revision: int) -> int:
    """Return the version that the store gave to a revision."""
    return revision % VERSION_LIMIT


def is_restored_between(before: int, after: int) -> bool:
    """Return whether the store was restored after the first of two revisions; 0 is none."""
    return bool(before) and get_era(after) > get_era(before)
