"""Chooses the target that likely holds the prompt's prefix in its cache."""

import itertools
from collections.abc import Iterator

import attrs

from balsamreach.routing.choice import Choice, Chooser, TwoChoices
from balsamreach.routing.hints import Hints, hash_blocks
from balsamreach.routing.pools import Group
from balsamreach.routing.want import Want
from balsamreach.targets.cache_feed import CacheNews

#: Blocks that decide a prompt's place on the ring.
_ROOT = 4
#: A member may carry this much more than the mean before others are asked.
_BOUND = 1.0
_SLACK = 0.5
_MOST_STEPS = 4


@attrs.define
class Affinity(Chooser):
    """Goes to the likely holder of the prefix unless it is overloaded."""

    hints: Hints = attrs.field(factory=Hints)
    _spread: TwoChoices = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._spread = TwoChoices(self.rng)

    def choose(self, want: Want, group: Group, now: float) -> Choice:
        """Return a holder, the next on the ring, or the less loaded."""
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

    def learn(self, target: str, news: CacheNews) -> None:
        """Take in what a target's cache stored and evicted."""
        self.hints.take(target, news)

    def _candidates(self, blocks: list[int], group: Group) -> Iterator[int]:
        root = blocks[min(_ROOT, len(blocks)) - 1]
        ring = list(itertools.islice(group.ring.walk(root), _MOST_STEPS))
        found = map(group.find, self.hints.deepest(blocks))
        holders = [index for index in found if index is not None]
        if not holders:
            return iter(ring)
        # Among holders those on the ring go first: the other routers, which
        # may know of other holders, would choose them as well.
        return itertools.chain(
            [index for index in ring if index in holders],
            [index for index in holders if index not in ring],
            [index for index in ring if index not in holders],
        )

    def _remember(self, blocks: list[int], group: Group, index: int) -> None:
        self.hints.stored(blocks[-1], group.members[index].name)
