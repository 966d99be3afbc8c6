"""Hashes of prompt blocks and the targets that likely cache them."""

from collections import OrderedDict

import attrs
import xxhash

from balsamreach.targets.cache_feed import CacheChanges

#: Prompt bytes per block of an engine's cache.
BLOCK_BYTES = 64
#: Largest number of blocks hashed; deeper ones distinguish targets no better.
_MAX_HASHED_BLOCKS = 64
_MAX_HINTS = 20_000
#: Holders kept per block.
_MAX_HOLDERS = 4
_HEX_BASE = 16
_HASH_LIMIT = 2**64


def hash_blocks(prefix: bytes) -> list[int]:
    """Return a hash for each full block, covering all blocks up to it."""
    digest = xxhash.xxh3_64()
    update, current_hash = digest.update, digest.intdigest
    full = min(len(prefix) // BLOCK_BYTES, _MAX_HASHED_BLOCKS)
    hashes = []
    for start in range(0, full * BLOCK_BYTES, BLOCK_BYTES):
        update(prefix[start : start + BLOCK_BYTES])
        hashes.append(current_hash())
    return hashes


def parse_block_hash(block: str) -> int | None:
    """Parse the name that an engine gives a block.

    Returns
    -------
    int or None
        The block's hash; None for a name in another format, as from an
        engine that hashes token ids. Its cache events can't be used.
    """
    try:
        name = int(block, _HEX_BASE)
    except ValueError:
        return None
    return name if 0 <= name < _HASH_LIMIT else None


@attrs.define
class CacheHints:
    """Bounded record of the targets that were last seen to hold a block.

    Updated by own requests and by targets' cache events. After a gap in the
    events some hints are wrong: each costs a cache miss, and the next request
    to the target corrects it.

    Parameters
    ----------
    max_blocks : int
        Blocks kept; the one stored longest ago is dropped first.
    """

    max_blocks: int = _MAX_HINTS
    _holders: OrderedDict[int, tuple[str, ...]] = attrs.field(
        factory=OrderedDict,
    )

    def holders(self, block: int) -> tuple[str, ...]:
        """Return the names of a block's likely holders, newest first."""
        return self._holders.get(block, ())

    def deepest_holders(self, blocks: list[int]) -> tuple[str, ...]:
        """Return the holders of the longest cached prefix of a prompt."""
        for block in reversed(blocks):
            names = self._holders.get(block)
            if names is not None:
                return names
        return ()

    def add(self, block: int, target: str) -> None:
        """Record that a target holds a block."""
        others = self._without(block, target)
        self._holders[block] = (target, *others)[:_MAX_HOLDERS]
        self._holders.move_to_end(block)
        if len(self._holders) > self.max_blocks:
            self._holders.popitem(last=False)

    def remove(self, block: int, target: str) -> None:
        """Record that a target no longer holds a block."""
        others = self._without(block, target)
        if others:
            self._holders[block] = others
        else:
            self._holders.pop(block, None)

    def forget_target(self, target: str, count: int | None = None) -> None:
        """Drop a target's oldest hints, or all of them if no count is given."""
        lost = [
            block for block, names in self._holders.items() if target in names
        ]
        for block in lost[:count]:
            self.remove(block, target)

    def apply(self, target: str, news: CacheChanges) -> None:
        """Apply a target's cache events."""
        if news.reset:
            self.forget_target(target)
        if news.missing:
            # The missing events may include evictions. Stale hints would send
            # requests to an engine that no longer has their prefix and lower
            # the hit rate, so as many of the oldest hints, the most likely to
            # be evicted, are dropped.
            self.forget_target(target, news.missing)
        for event in news.events:
            block = parse_block_hash(event.block)
            if block is None:
                continue
            if event.stored:
                self.add(block, target)
            else:
                self.remove(block, target)

    def _without(self, block: int, target: str) -> tuple[str, ...]:
        names = self._holders.get(block, ())
        return tuple(name for name in names if name != target)
