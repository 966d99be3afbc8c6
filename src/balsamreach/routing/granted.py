"""Shares of teams' limits that a home has granted, and their age."""

from collections.abc import Mapping

import attrs

from balsamreach.routing.demands import MILLION
from balsamreach.wire.rates import RateShares


@attrs.frozen
class Opening:
    """Share of a team that is far from its limit, and so is not named.

    Parameters
    ----------
    growth : float
        Multiple of what is wanted.
    even : float
        Part of the even share, besides.
    """

    growth: float
    even: float

    def share(self, wanted: float, even: float) -> float:
        """Return the share of one that wants a part of the limit."""
        return self.growth * wanted + self.even * even


#: From a home, and from a root. A root leaves more, since demand in a zone
#: moves between its words; with the same from both, homes named the share of
#: nearly each team in each answer.
FROM_HOME = Opening(1.3, 0.5)
FROM_ROOT = Opening(1.5, 0.6)

#: Intervals for which a share stays in force without a new one.
_HOLD = 4
#: Intervals after which nothing but the even share is left.
_FADED = 8


@attrs.define
class Granted:
    """Shares from one home.

    Parameters
    ----------
    opening : Opening
        Share where the home names none.
    window : int
        Number of the newest word to the home.
    asked : dict of int to int
        What that word wanted, in millionths of the limits.
    """

    opening: Opening
    window: int = 0
    asked: Mapping[int, int] = attrs.field(factory=dict)
    at: float = float('-inf')
    _answered: Mapping[int, int] = attrs.field(factory=dict)
    _shares: dict[int, float] = attrs.field(factory=dict)

    def ask(self, window: int, parts: Mapping[int, int]) -> None:
        """Take note of a word that goes to the home."""
        self.window = window
        self.asked = parts

    def take(self, shares: RateShares, now: float) -> bool:
        """Take the home's answer; False if it answers an earlier word."""
        if shares.window != self.window:
            return False
        self._answered = self.asked
        self._shares = {one.team: one.part / MILLION for one in shares.parts}
        self.at = now
        return True

    def share(
        self,
        team: int,
        even: float,
        now: float,
        interval: float,
    ) -> float:
        """Return the share of a team's limit that is in force.

        Parameters
        ----------
        team : int
            The team.
        even : float
            Share without a grant: that of so many among all routers.
        now : float
            Monotonic seconds.
        interval : float
            Seconds between two words to the home.
        """
        if team not in self._answered:
            return even
        wanted = self._answered[team] / MILLION
        share = self._shares.get(team, self.opening.share(wanted, even))
        # A home that dies or is cut off grants its routers' shares to nobody
        # else for some seconds. Kept for longer, old shares and the new
        # home's would pass the rate; given up at once, a team would be
        # refused within its rate until the next home has heard everyone.
        late = (now - self.at) / interval - _HOLD
        faded = min(1, max(0, late / (_FADED - _HOLD)))
        return share + (even - share) * faded
