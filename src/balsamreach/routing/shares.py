"""Deterministic shares: a sequence of picks that follows given weights."""

from collections import OrderedDict
from collections.abc import Mapping

import attrs

_MOST_OWNERS = 50_000


@attrs.define
class Shares:
    """Smooth weighted round robin, one sequence per owner.

    After any number of picks each name's count is within one pick of its
    share when the weights stay the same, for two names; a coin toss strays
    with the square root of the number of picks.
    """

    most_owners: int = _MOST_OWNERS
    _credits: OrderedDict[str, dict[str, float]] = attrs.field(
        factory=OrderedDict,
    )

    def pick(self, owner: str, weights: Mapping[str, float]) -> str:
        """Return the next name of an owner's sequence.

        Parameters
        ----------
        owner : str
            Whose sequence, such as a team.
        weights : Mapping of str to float
            Names with weights; at least one is above zero.

        Returns
        -------
        str
            A name of weight above zero.
        """
        known = self._credits.pop(owner, {})
        kept = {
            name: known.get(name, 0) + weight
            for name, weight in weights.items()
            if weight > 0
        }
        picked = max(kept, key=kept.__getitem__)
        kept[picked] -= sum(weights[name] for name in kept)
        self._credits[owner] = kept
        if len(self._credits) > self.most_owners:
            self._credits.popitem(last=False)
        return picked
