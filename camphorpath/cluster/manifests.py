"""Encoding of manifests for transfer between daemons: compressed, or as a delta."""

import collections
import re
import zlib
from collections.abc import Iterator

import attrs
from google.protobuf.message import DecodeError

from ..errors import PeerError
from ..schema import camphorpath_pb2 as pb

# The fastest level; it compresses the manifest of a large deployment to an eighth.
DEFLATE_LEVEL = 1
# Longer than any manifest; bounds the memory that data from a peer can take.
MAX_MANIFEST_BYTES = 67108864
# Previous manifests are kept for deltas up to this total size; the last one is always kept.
MAX_PREVIOUS_BYTES = 4194304
# Splits a JSON document at its commas into the parts that a delta compares.
_PART_PATTERN = re.compile(rb'[^,]*,|[^,]+')


def make_delta(base: bytes, content: bytes) -> pb.ManifestDelta:
    """Return the delta from the manifest `base` to `content`.

    Equal runs are found from parts that occur once in `base`, as in a patience diff, so the time is
    linear in the length.
    """
    delta = pb.ManifestDelta()
    parts = _PART_PATTERN.findall(content)
    old_parts = _PART_PATTERN.findall(base)
    offsets = _list_offsets(old_parts)
    index = 0
    for start, first, count in _find_common(old_parts, parts):
        _add_new(delta, parts[index:first])
        delta.pieces.add(start=offsets[start], length=offsets[start + count] - offsets[start])
        index = first + count
    _add_new(delta, parts[index:])
    return delta


def apply_delta(base: bytes, delta: pb.ManifestDelta) -> bytes:
    """Return the manifest that results from a delta; raise PeerError if it is too long."""
    content = bytearray()
    for piece in delta.pieces:
        content += base[piece.start : piece.start + piece.length]
        content += piece.added
        if len(content) > MAX_MANIFEST_BYTES:
            raise PeerError(f'the manifest exceeds {MAX_MANIFEST_BYTES} bytes', step='unpack')
    return bytes(content)


def _add_new(delta: pb.ManifestDelta, parts: list[bytes]) -> None:
    if not parts:
        return
    piece = delta.pieces[-1] if delta.pieces else delta.pieces.add()
    piece.added = b''.join(parts)


def _list_offsets(parts: list[bytes]) -> list[int]:
    offsets = [0]
    for part in parts:
        offsets.append(offsets[-1] + len(part))
    return offsets


def _find_common(old: list[bytes], new: list[bytes]) -> Iterator[tuple[int, int, int]]:
    """Yield runs of equal parts: start in the old list, start in the new list, and length."""
    counts = collections.Counter(old)
    unique = {part: index for index, part in enumerate(old) if counts[part] == 1}
    # The first new part after the last run.
    unmatched = 0
    index = 0
    while index < len(new):
        start = unique.get(new[index])
        if start is None:
            index += 1
            continue
        first = index
        while first > unmatched and start and old[start - 1] == new[first - 1]:
            first -= 1
            start -= 1
        count = index - first
        while _is_same(old, start + count, new, first + count):
            count += 1
        yield start, first, count
        unmatched = first + count
        index = unmatched


def _is_same(old: list[bytes], old_index: int, new: list[bytes], new_index: int) -> bool:
    if old_index >= len(old) or new_index >= len(new):
        return False
    return old[old_index] == new[new_index]


@attrs.define
class ManifestHistory:
    """The newest manifest, and previous ones that peers may still hold."""

    revision: int = 0
    content: bytes = b''
    # The version in the manifest; 0 if it cannot be read.
    version: int = 0
    # By revision, oldest first.
    _previous: dict[int, bytes] = attrs.field(factory=dict)
    # Packed forms of the newest manifest by the revision of the base; 0 for the whole manifest.
    _packed: dict[int, pb.PackedManifest] = attrs.field(factory=dict)

    def update(self, content: bytes, revision: int, version: int = 0) -> None:
        """Make a newer manifest the current one, and keep the one before for deltas."""
        if self.revision:
            self._previous[self.revision] = self.content
        while (
            len(self._previous) > 1 and sum(map(len, self._previous.values())) > MAX_PREVIOUS_BYTES
        ):
            self._previous.pop(next(iter(self._previous)))
        self._packed.clear()
        self.content = content
        self.revision = revision
        self.version = version

    def pack(self, held_revision: int) -> pb.PackedManifest:
        """Return the newest manifest packed for a peer that holds an older revision.

        It is a delta if that revision is still kept here, else the whole manifest.
        """
        base = held_revision if held_revision in self._previous else 0
        packed = self._packed.get(base)
        if packed is None:
            packed = self._pack(base)
            self._packed[base] = packed
        return packed

    def can_unpack(self, packed: pb.PackedManifest) -> bool:
        """Return whether the base of a packed manifest is held."""
        return self._get_content(packed.base) is not None

    def unpack(self, packed: pb.PackedManifest) -> bytes:
        """Return the manifest that a peer sent; raise PeerError if it cannot be decoded."""
        base = self._get_content(packed.base)
        if base is None:
            raise PeerError(f'the base revision {packed.base} is not held', step='unpack')
        try:
            content = zlib.decompressobj().decompress(packed.packed, MAX_MANIFEST_BYTES)
            if packed.base:
                content = apply_delta(base, pb.ManifestDelta.FromString(content))
        except (zlib.error, DecodeError) as error:
            raise PeerError(f'unreadable manifest: {error!r}', step='unpack') from error
        if zlib.crc32(content) != packed.checksum:
            raise PeerError('checksum mismatch of the manifest', step='unpack')
        return content

    def _get_content(self, revision: int) -> bytes | None:
        """Return the manifest of a revision, empty for 0, or None if it is not held."""
        if revision == self.revision:
            return self.content
        return self._previous.get(revision) if revision else b''

    def _pack(self, base: int) -> pb.PackedManifest:
        content = self.content
        if base:
            content = make_delta(self._previous[base], content).SerializeToString()
        return pb.PackedManifest(
            revision=self.revision,
            version=self.version,
            base=base,
            packed=zlib.compress(content, DEFLATE_LEVEL),
            checksum=zlib.crc32(self.content),
        )
