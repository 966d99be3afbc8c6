"""Chooses the target that likely holds the prompt's prefix in its cache."""

from collections import OrderedDict
from collections.abc import Iterator

import attrs
import xxhash

from balsamreach.routing.choice import Choice, Chooser, TwoChoices
from balsamreach.routing.pools import Group
from balsamreach.routing.want import Want

#: Bytes of prompt that one block of an engine's cache holds.
BLOCK_BYTES = 64
#: Blocks hashed at most; deeper ones tell targets apart no better.
_DEEPEST = 64
#: Blocks that decide a prompt's place on the ring.
_ROOT = 4
#: A member may carry this much more than the mean before others are asked.
_BOUND = 1.0
_SLACK = 0.5
_MOST_STEPS = 4
_MOST_HINTS = 20_000


def hash_blocks(prefix: bytes) -> list[int]:
    """Return the hash of each full block together with all before it."""
    digest = xxhash.xxh3_64()
    hashes = []
    full = min(len(prefix) // BLOCK_BYTES, _DEEPEST)
    for number in range(full):
        start = number * BLOCK_BYTES
        digest.update(prefix[start : start + BLOCK_BYTES])
        hashes.append(digest.intdigest())
    return hashes


@attrs.define
class Hints:
    """Which target was last seen to hold a block; bounded, may be wrong.

    Own requests and targets' cache events both feed it. A gap in the
    events leaves hints that are no longer true: they cost a cache miss,
    and the next request through the target puts them right.
    """

    most: int = _MOST_HINTS
    _holders: OrderedDict[int, str] = attrs.field(factory=OrderedDict)

    def holder(self, block: int) -> str:
        """Return the name of a block's likely holder, empty if unknown."""
        return self._holders.get(block, '')

    def stored(self, block: int, target: str) -> None:
        """Take note that a target holds a block."""
        self._holders[block] = target
        self._holders.move_to_end(block)
        if len(self._holders) > self.most:
            self._holders.popitem(last=False)

    def evicted(self, block: int, target: str) -> None:
        """Take note that a target let a block go."""
        if self._holders.get(block) == target:
            self._holders.pop(block)

    def forget(self, target: str) -> None:
        """Forget all of a target, such as after its restart."""
        lost = [
            block for block, holder in self._holders.items() if holder == target
        ]
        for block in lost:
            self._holders.pop(block)


@attrs.define
class Affinity(Chooser):
    """Goes to the likely holder of the prefix unless it is overloaded."""

    hints: Hints = attrs.field(factory=Hints)
    _spread: TwoChoices = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._spread = TwoChoices(self.rng)

    def choose(self, want: Want, group: Group, now: float) -> Choice:
        """Return the holder, its next on the ring, or the less loaded."""
        blocks = hash_blocks(want.prefix)
        if not blocks:
            return self._spread.choose(want, group, now)
        bound = _BOUND * group.mean_load(self.rng, now) + _SLACK
        for index in self._candidates(blocks, group):
            open_now = group.is_open(index, now, want)
            if open_now and group.load(index, now) <= bound:
                self._remember(blocks, group, index)
                return index
        return self._spread.choose(want, group, now)

    def _candidates(self, blocks: list[int], group: Group) -> Iterator[int]:
        holder = self.hints.holder(blocks[-1])
        if holder:
            found = group.find(holder)
            if found is not None:
                yield found
        root = blocks[min(_ROOT, len(blocks)) - 1]
        for step, index in enumerate(group.ring.walk(root)):
            if step >= _MOST_STEPS:
                return
            yield index

    def _remember(self, blocks: list[int], group: Group, index: int) -> None:
        self.hints.stored(blocks[-1], group.members[index].name)
