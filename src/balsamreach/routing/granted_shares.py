"""Shares of teams' limits granted by a home router, and their expiry."""

from collections.abc import Mapping

import attrs

from balsamreach.routing.demands import MILLION
from balsamreach.wire.rates import RateShares


@attrs.frozen
class DefaultShare:
    """Share of a team that a grant omits, as it is far from its limit.

    Parameters
    ----------
    growth : float
        Multiple of the demand.
    even_part : float
        Part of the even share that is added.
    """

    growth: float
    even: float

    def share(self, wanted: float, even: float) -> float:
        """Return the share for a given demand, both as parts of the limit."""
        return self.growth * wanted + self.even * even


#: Defaults in grants of a home and of a root. The root's are larger because
#: demand in a zone changes between the home's reports; with the same values
#: for both, homes had to list nearly every team in every answer.
HOME_DEFAULT = DefaultShare(1.3, 0.5)
ROOT_DEFAULT = DefaultShare(1.5, 0.6)

#: Intervals for which a share stays in force without a new grant.
_HOLD_INTERVALS = 4
#: Intervals after which the share has decayed to the even share.
_DECAY_END_INTERVALS = 8


@attrs.define
class GrantedShares:
    """Shares granted by one home or root.

    Parameters
    ----------
    default : DefaultShare
        Share of teams that a grant omits.
    window : int
        Window number of the newest demand report sent.
    requested : dict of int to int
        Demand in that report by team, in millionths of the limits.
    granted_at : float
        Monotonic seconds of the newest grant.
    """

    default: DefaultShare
    window: int = 0
    requested: Mapping[int, int] = attrs.field(factory=dict)
    granted_at: float = float('-inf')
    _granted_demand: Mapping[int, int] = attrs.field(factory=dict)
    _shares: dict[int, float] = attrs.field(factory=dict)

    def record_request(self, window: int, parts: Mapping[int, int]) -> None:
        """Record a demand report that is being sent."""
        self.window = window
        self.requested = parts

    def apply_answer(self, shares: RateShares, now: float) -> bool:
        """Apply a grant; False if it answers an earlier report."""
        if shares.window != self.window:
            return False
        self._granted_demand = self.requested
        self._shares = {part.team: part.part / MILLION for part in shares.parts}
        self.granted_at = now
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
            Hash of the team's name.
        even : float
            Share without a grant: an even part for each router or zone.
        now : float
            Monotonic seconds.
        interval : float
            Seconds between two demand reports.
        """
        if team not in self._granted_demand:
            return even
        wanted = self._granted_demand[team] / MILLION
        share = self._shares.get(team, self.default.share(wanted, even))
        # A home that dies or is cut off grants its routers' shares to nobody
        # else for some seconds. If shares were kept longer, old ones and those
        # of the next home would add up to more than the rate; if they ended at
        # once, a team would be refused within its rate until the next home has
        # every router's demand.
        intervals_past_hold = (
            now - self.granted_at
        ) / interval - _HOLD_INTERVALS
        decayed = min(
            1,
            max(
                0,
                intervals_past_hold / (_DECAY_END_INTERVALS - _HOLD_INTERVALS),
            ),
        )
        return share + (even - share) * decayed
