"""Policy that prefers targets with the prompt's prefix in their cache."""

import itertools
from collections.abc import Iterator

import attrs

from balsamreach.routing.choice import Choice, Chooser, TwoChoices
from balsamreach.routing.criteria import Criteria
from balsamreach.routing.hints import CacheHints, hash_blocks
from balsamreach.routing.pools import Group
from balsamreach.targets.cache_feed import CacheChanges

#: Number of leading blocks that determine a prompt's position on the ring.
_RING_BLOCKS = 4
#: A member is skipped if its load exceeds this multiple of the mean, plus the
#: slack.
_LOAD_BOUND = 1.0
_LOAD_SLACK = 0.5
_MAX_RING_STEPS = 4


@attrs.define
class Affinity(Chooser):
    """Chooses a likely holder of the prefix unless it is overloaded.

    Parameters
    ----------
    hints : CacheHints
        Likely holders of prompt blocks.
    """

    hints: CacheHints = attrs.field(factory=CacheHints)
    _fallback: TwoChoices = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._fallback = TwoChoices(self.rng)

    def choose(self, criteria: Criteria, group: Group, now: float) -> Choice:
        """Return a holder, else a ring member, else a less loaded member."""
        blocks = hash_blocks(criteria.prefix)
        if not blocks:
            return self._fallback.choose(criteria, group, now)
        bound = _LOAD_BOUND * group.mean_load(self.rng, now) + _LOAD_SLACK
        for index in self._candidates(blocks, group):
            available = group.is_available(index, now, criteria)
            if available and group.load(index, now) <= bound:
                self._remember(blocks, group, index)
                return index
        return self._fallback.choose(criteria, group, now)

    def apply_cache_events(self, target: str, news: CacheChanges) -> None:
        """Apply a target's prefix cache events to the hints."""
        self.hints.apply(target, news)

    def _candidates(self, blocks: list[int], group: Group) -> Iterator[int]:
        ring_key = blocks[min(_RING_BLOCKS, len(blocks)) - 1]
        ring = list(
            itertools.islice(group.ring.walk(ring_key), _MAX_RING_STEPS)
        )
        found = map(group.find, self.hints.deepest_holders(blocks))
        holders = [index for index in found if index is not None]
        if not holders:
            return iter(ring)
        # Holders on the ring go first, as other routers would choose them too,
        # even if they know of other holders.
        return itertools.chain(
            [index for index in ring if index in holders],
            [index for index in holders if index not in ring],
            [index for index in ring if index not in holders],
        )

    def _remember(self, blocks: list[int], group: Group, index: int) -> None:
        self.hints.add(blocks[-1], group.members[index].name)
