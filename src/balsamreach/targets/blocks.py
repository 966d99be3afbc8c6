"""Blocks that a target's prefix cache probably holds."""

from collections import OrderedDict

import attrs

from balsamreach.targets.client import CacheEvent, CacheEvents

_MOST_BLOCKS = 4096


@attrs.define
class BlockSet:
    """Bounded set of blocks, fed by late events with gaps.

    It is a hint: a wrong entry costs a cache miss, never a wrong answer.

    Parameters
    ----------
    most : int
        Blocks remembered; the one stored longest ago goes first.
    next_seq : int
        Where the next question starts.
    gaps : int
        How often events were missing.
    """

    most: int = _MOST_BLOCKS
    next_seq: int = 0
    gaps: int = 0
    _blocks: OrderedDict[str, None] = attrs.field(factory=OrderedDict)

    def __contains__(self, block: str) -> bool:
        """Return whether the target probably holds a block."""
        return block in self._blocks

    def __len__(self) -> int:
        """Return how many blocks are remembered."""
        return len(self._blocks)

    def clear(self) -> None:
        """Forget all, such as after the target's restart."""
        self._blocks.clear()
        self.next_seq = 0

    def take(self, news: CacheEvents) -> bool:
        """Apply events; True if some before them were missing."""
        if news.next_seq < self.next_seq:
            # The numbers began anew, so the cache did as well.
            self.clear()
        fresh = [event for event in news.events if event.seq >= self.next_seq]
        gap = self._misses(news, fresh)
        for event in fresh:
            self._apply(event)
        self.next_seq = news.next_seq
        return gap

    def _misses(self, news: CacheEvents, fresh: list[CacheEvent]) -> bool:
        if not self.next_seq:
            return False
        missing = news.next_seq - self.next_seq - len(fresh)
        if missing <= 0:
            return False
        self.gaps += 1
        # Evictions may be among what is missing. As many of the oldest
        # blocks as events are missing are the likeliest to be gone.
        for _ in range(min(missing, len(self._blocks))):
            self._blocks.popitem(last=False)
        return True

    def _apply(self, event: CacheEvent) -> None:
        if not event.stored:
            self._blocks.pop(event.block, None)
            return
        self._blocks[event.block] = None
        self._blocks.move_to_end(event.block)
        if len(self._blocks) > self.most:
            self._blocks.popitem(last=False)
