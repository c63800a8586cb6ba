"""The prompt prefixes that an upstream probably has in its cache."""

import collections
from collections.abc import Sequence

import attrs

# At 16 to 64 tokens a block this is more than the cache of one engine holds.
MAX_BLOCKS = 20000


@attrs.define
class PrefixMemory:
    """Hashed prompt blocks sent to one upstream, the least recently used ones dropped."""

    capacity: int = MAX_BLOCKS
    _blocks: collections.OrderedDict[int, None] = attrs.field(factory=collections.OrderedDict)

    def remember(self, blocks: Sequence[int]) -> None:
        """Take note that the prompt with these blocks was sent."""
        # In reverse, so that a prefix is dropped from its end.
        for block in reversed(blocks):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.capacity:
            self._blocks.popitem(last=False)

    def count_leading(self, blocks: Sequence[int]) -> int:
        """Return how many blocks from the start are probably cached."""
        known = self._blocks
        for index, block in enumerate(blocks):
            if block not in known:
                return index
        return len(blocks)

    def clear(self) -> None:
        """Forget everything; the upstream was restarted."""
        self._blocks.clear()
