"""Names of a prompt's blocks, and which target likely caches them."""

from collections import OrderedDict

import attrs
import xxhash

from balsamreach.targets.cache_feed import CacheNews

#: Bytes of prompt that one block of an engine's cache holds.
BLOCK_BYTES = 64
#: Blocks hashed at most; deeper ones tell targets apart no better.
_DEEPEST = 64
_MOST_HINTS = 20_000
#: Holders remembered of a block.
_MOST_HOLDERS = 4
_HEX = 16
_LARGEST = 2**64


def hash_blocks(prefix: bytes) -> list[int]:
    """Return the hash of each full block together with all before it."""
    digest = xxhash.xxh3_64()
    update, read = digest.update, digest.intdigest
    full = min(len(prefix) // BLOCK_BYTES, _DEEPEST)
    hashes = []
    for start in range(0, full * BLOCK_BYTES, BLOCK_BYTES):
        update(prefix[start : start + BLOCK_BYTES])
        hashes.append(read())
    return hashes


def read_name(block: str) -> int | None:
    """Return the hash that an engine names a block by.

    None for a name of another form: the engine names blocks in its own way,
    such as over token ids, and its events then say nothing here.
    """
    try:
        name = int(block, _HEX)
    except ValueError:
        return None
    return name if 0 <= name < _LARGEST else None


@attrs.define
class Hints:
    """Which targets were last seen to hold a block; bounded, may be wrong.

    Own requests and targets' cache events both feed it. A gap in the
    events leaves hints that are no longer true: they cost a cache miss,
    and the next request through the target puts them right.

    Parameters
    ----------
    most : int
        Blocks remembered; the one stored longest ago goes first.
    """

    most: int = _MOST_HINTS
    _holders: OrderedDict[int, tuple[str, ...]] = attrs.field(
        factory=OrderedDict,
    )

    def holders(self, block: int) -> tuple[str, ...]:
        """Return the names of a block's likely holders, newest first."""
        return self._holders.get(block, ())

    def deepest(self, blocks: list[int]) -> tuple[str, ...]:
        """Return the holders of the longest part of a prompt held at all."""
        for block in reversed(blocks):
            names = self._holders.get(block)
            if names is not None:
                return names
        return ()

    def stored(self, block: int, target: str) -> None:
        """Take note that a target holds a block."""
        others = self._without(block, target)
        self._holders[block] = (target, *others)[:_MOST_HOLDERS]
        self._holders.move_to_end(block)
        if len(self._holders) > self.most:
            self._holders.popitem(last=False)

    def evicted(self, block: int, target: str) -> None:
        """Take note that a target let a block go."""
        others = self._without(block, target)
        if others:
            self._holders[block] = others
        else:
            self._holders.pop(block, None)

    def forget(self, target: str, most: int | None = None) -> None:
        """Forget a target's oldest hints, or all, as after its restart."""
        lost = [
            block for block, names in self._holders.items() if target in names
        ]
        for block in lost[:most]:
            self.evicted(block, target)

    def take(self, target: str, news: CacheNews) -> None:
        """Take in what a target's cache stored and evicted."""
        if news.anew:
            self.forget(target)
        if news.missing:
            # Evictions may be among what is missing. Hints that stayed would
            # lead requests to an engine that let their prefix go, seen as a
            # falling hit rate; as many of the oldest are the likeliest gone.
            self.forget(target, news.missing)
        for event in news.events:
            block = read_name(event.block)
            if block is None:
                continue
            if event.stored:
                self.stored(block, target)
            else:
                self.evicted(block, target)

    def _without(self, block: int, target: str) -> tuple[str, ...]:
        names = self._holders.get(block, ())
        return tuple(name for name in names if name != target)
