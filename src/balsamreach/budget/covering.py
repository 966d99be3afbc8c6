"""Sizes what a router holds where dead routers' tokens come back in part.

Load pattern: the store is away for all routers for some seconds, twice a
day, without a word before; and the power of all hosts may fail at any moment.
What is held bridges the first, and the part of it that had opened is lost with
the second. Towards the end of a budget even that part counts.
"""

import math
from collections.abc import Callable

import attrs

from balsamreach.budget.ledger import Ledger
from balsamreach.budget.sizing import Sizing

#: Standard deviations of demand beyond its mean that a cover holds. Loans from
#: peers even out the rest. Source: measured; 1.3 left too little in accounts.
_BURST_DEVIATIONS = 0.5


#: Share of a budget that must be free for the whole cover. Below it the cover
#: shrinks with what is free. Source: measured on played days together with
#: the reports of use, not by itself.
_FULL_COVER_SHARE = 0.12


@attrs.frozen
class Covering(Sizing):
    """Holds seconds of demand, less as the budget runs out.

    Parameters
    ----------
    prepaid : callable
        Returns a team's prepaid tokens, None where it is not metered.
    """

    prepaid: Callable[[str], int | None] = attrs.field(kw_only=True)

    def target(self, ledger: Ledger) -> int:
        """Return the tokens that this router wants to hold unspent."""
        wanted = int(super().target(ledger) + self._burst(ledger))
        prepaid = self.prepaid(ledger.team)
        if ledger.free is None or not prepaid:
            return wanted
        # Were the last tokens of a budget shared out, all would be lost with
        # the hosts' power; it would show as ``budget_exhausted`` of all teams
        # after the hosts are back.
        left = ledger.free / (prepaid * _FULL_COVER_SHARE)
        most = ledger.free * self.cfg.largest_share
        return int(min(wanted * min(1, left), most))

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
