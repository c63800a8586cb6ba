"""Estimates which prompt prefixes an upstream has in its cache."""

import collections
from collections.abc import Sequence

import attrs

# With 16 to 64 tokens per block this exceeds the cache of one engine.
MAX_BLOCK_COUNT = 20000


@attrs.define
class PrefixTracker:
    """Hashed prompt blocks sent to one upstream, with LRU eviction."""

    capacity: int = MAX_BLOCK_COUNT
    _blocks: collections.OrderedDict[int, None] = attrs.field(factory=collections.OrderedDict)

    def record(self, blocks: Sequence[int]) -> None:
        """Record that a prompt with these blocks was sent."""
        known = self._blocks
        # In reverse, so that a prefix is evicted from its end.
        for block in reversed(blocks):
            known[block] = None
            known.move_to_end(block)
        while len(known) > self.capacity:
            known.popitem(last=False)

    def count_leading(self, blocks: Sequence[int]) -> int:
        """Return how many leading blocks are probably cached.

        Each hash covers the prompt up to the end of its block, so a block is known only together
        with those before it. This permits a binary search, which is cheap for long prompts.
        """
        known = self._blocks
        low, high = 0, len(blocks)
        while low < high:
            middle = (low + high) // 2
            if blocks[middle] in known:
                low = middle + 1
            else:
                high = middle
        return low

    def clear(self) -> None:
        """Remove all blocks, after a restart of the upstream."""
        self._blocks.clear()
