"""Sizes what a router holds where dead routers' tokens come back in part.

Load pattern: the store is away for all routers for some seconds, twice a
day, without a word before; and the power of all hosts may fail at any moment.
What is held bridges the first, and the part of it that had opened is lost with
the second. While plenty of a budget is left, the first costs more: requests of
a team that is new to a router find nothing there. Towards its end the second
does: what is lost is what the last requests lack.
"""

import math
from collections.abc import Callable

import attrs

from balsamreach.budget.ledger import Ledger
from balsamreach.budget.moves import Move
from balsamreach.budget.sizing import Sizing

#: Standard deviations of demand beyond its mean that a cover holds. Loans from
#: peers even out the rest. Source: measured; 1.3 left too little in accounts.
_BURST_DEVIATIONS = 0.5


#: Share of a budget that must be free for the whole cover. Below it the cover
#: shrinks with what is free. Source: measured on played days together with
#: the reports of use, not by itself.
_FULL_COVER_SHARE = 0.12
#: Shares of a budget that the account has free, below which nothing counts as
#: plenty and above which all does. Between them a router's boldness grows in
#: proportion. Source: measured on played days; a team that lasts through its
#: day has less than the lower share free in its last third.
_SCARCE_SHARE = 0.35
_PLENTY_SHARE = 0.65
#: Share of what is free that all routers together hold of a team at least
#: while there is plenty, also those that it has hardly used yet.
_IDLE_SHARE = 0.3


@attrs.frozen
class Covering(Sizing):
    """Holds seconds of demand, less as the budget runs out.

    Parameters
    ----------
    prepaid : callable
        Returns a team's prepaid tokens, None where it is not metered.
    routers : callable
        Returns how many routers hold a team's tokens.
    holds : callable
        Tells whether this router is to hold a team's tokens at all.
    """

    prepaid: Callable[[str], int | None] = attrs.field(kw_only=True)
    routers: Callable[[], int] = attrs.field(kw_only=True)
    holds: Callable[[str], bool] = attrs.field(kw_only=True)

    def target(self, ledger: Ledger) -> int:
        """Return the tokens that this router wants to hold unspent."""
        wanted = int(super().target(ledger) + self._burst(ledger))
        prepaid = self.prepaid(ledger.team)
        if ledger.free is None or not prepaid:
            return wanted
        wanted = max(wanted, self._idle(ledger))
        # Were the last tokens of a budget shared out, all would be lost with
        # the hosts' power; it would show as ``budget_exhausted`` of all teams
        # after the hosts are back.
        left = ledger.free / (prepaid * _FULL_COVER_SHARE)
        most = ledger.free * self.cfg.largest_share
        return int(min(wanted * min(1, left), most))

    def first(self, ledger: Ledger) -> Move:
        """Return the draw for a team that has sent no request here yet."""
        return self._move(ledger, most=self.cfg.least_draw)

    def plenty(self, ledger: Ledger) -> float:
        """Return from 0 to 1 how far there is plenty of a budget left."""
        prepaid = self.prepaid(ledger.team)
        if ledger.free is None or not prepaid:
            return 0
        beyond = ledger.free / prepaid - _SCARCE_SHARE
        return min(1, max(0, beyond / (_PLENTY_SHARE - _SCARCE_SHARE)))

    def _is_recalled(self, ledger: Ledger) -> bool:
        # Where a home holds a team's tokens for the zone, what others drew
        # while they did not know it, or while it was silent, goes back. Kept
        # by each of hundreds of routers, the smallest draws would be more
        # than a budget.
        return super()._is_recalled(ledger) or not self.holds(ledger.team)

    def _idle(self, ledger: Ledger) -> int:
        # A team's callers reach a router that they have not used before just
        # as the store goes away. With nothing held there, all of them are
        # refused while most of the budget lies in the account.
        share = self.plenty(ledger) * _IDLE_SHARE / max(1, self.routers())
        return int(ledger.free * share)

    def _burst(self, ledger: Ledger) -> float:
        # Few requests of very uneven sizes come in one cover: their sum has
        # the standard deviation of a compound Poisson process. A cover of
        # the mean alone is too little in every second one; it would show as
        # ``no_allotment`` of small teams while the store is away.
        if ledger.squares is None:
            return 0
        cover = self.cfg.draw_ahead + self.cfg.partition_cover
        variance = ledger.squares.per_second(self.clock.now()) * cover
        return _BURST_DEVIATIONS * math.sqrt(variance)
