"""Deterministic splits: sequences of picks that follow given weights."""

from collections import OrderedDict
from collections.abc import Mapping

import attrs

_MAX_OWNERS = 50_000


@attrs.define
class WeightedSplit:
    """Smooth weighted round robin, with one sequence per owner.

    With constant weights and two names, each name's count is always within one
    pick of its share; with random picks the deviation would grow with the
    square root of the number of picks.

    Parameters
    ----------
    max_owners : int
        Owners kept; the one used longest ago is dropped first.
    """

    max_owners: int = _MAX_OWNERS
    _credits: OrderedDict[str, dict[str, float]] = attrs.field(
        factory=OrderedDict,
    )

    def pick(self, owner: str, weights: Mapping[str, float]) -> str:
        """Return the next name of an owner's sequence.

        Parameters
        ----------
        owner : str
            Owner of the sequence, such as a team.
        weights : Mapping of str to float
            Weights by name; at least one is above zero.

        Returns
        -------
        str
            A name with a weight above zero.
        """
        previous = self._credits.pop(owner, {})
        updated = {
            name: previous.get(name, 0) + weight
            for name, weight in weights.items()
            if weight > 0
        }
        picked = max(updated, key=updated.__getitem__)
        updated[picked] -= sum(weights[name] for name in updated)
        self._credits[owner] = updated
        if len(self._credits) > self.max_owners:
            self._credits.popitem(last=False)
        return picked
