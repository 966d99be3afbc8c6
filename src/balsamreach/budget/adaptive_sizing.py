"""Sizes holdings by demand and by how much of the budget is left.

The sizes balance two events: the table service is away for all routers for
some seconds, twice a day and without warning; and all hosts may lose power at
any moment. Tokens held here cover the first. The second loses the part of
them that had become usable. While plenty of a budget is left, refusals during
an outage cost more: a team that is new to a router finds no tokens there.
Towards the end of a budget the losses cost more: what is lost is missing for
the last requests.
"""

import math
from collections.abc import Callable

import attrs

from balsamreach.budget.ledger import Ledger
from balsamreach.budget.moves import Move
from balsamreach.budget.sizing import Sizing

#: Standard deviations of demand that are held on top of its mean. Loans from
#: peers even out the rest; 1.3 left too few tokens in accounts.
_BURST_DEVIATIONS = 0.5


#: Free share of a budget below which the desired tokens shrink in proportion
#: to what is free. The value suits routers that report their use.
_FULL_COVER_SHARE = 0.12
#: Free shares of a budget at which abundance is 0 and 1, with a linear rise
#: in between. A team whose budget lasts through its day has less than the
#: lower share free in its last third.
_SCARCE_SHARE = 0.35
_PLENTY_SHARE = 0.65
#: Share of the free tokens that all routers together hold of a team at least
#: while abundance is 1, even if the team has hardly used them yet.
_MIN_HOLDING_SHARE = 0.3


@attrs.frozen
class AdaptiveSizing(Sizing):
    """Holds tokens for some seconds of demand, fewer as the budget runs out.

    Parameters
    ----------
    prepaid : callable
        Returns a team's prepaid tokens, None where it is not metered.
    count_holders : callable
        Returns how many routers hold a team's tokens.
    is_holder : callable
        Returns whether this router is to hold a team's tokens.
    """

    prepaid: Callable[[str], int | None] = attrs.field(kw_only=True)
    count_holders: Callable[[], int] = attrs.field(kw_only=True)
    is_holder: Callable[[str], bool] = attrs.field(kw_only=True)

    def desired_tokens(self, ledger: Ledger) -> int:
        """Return the tokens that this router wants to hold unspent."""
        wanted = int(super().desired_tokens(ledger) + self._burst(ledger))
        prepaid = self.prepaid(ledger.team)
        if ledger.account_free is None or not prepaid:
            return wanted
        wanted = max(wanted, self._min_holding(ledger))
        # If routers held the last tokens of a budget, a power loss of all
        # hosts would lose them, and all teams would be refused with
        # ``budget_exhausted`` after the hosts are back.
        left = ledger.account_free / (prepaid * _FULL_COVER_SHARE)
        most = ledger.account_free * self.cfg.largest_share
        return int(min(wanted * min(1, left), most))

    def initial_draw(self, ledger: Ledger) -> Move:
        """Return the draw for a team that has sent no request here yet."""
        return self._make_move(ledger, max_draw=self.cfg.least_draw)

    def abundance(self, ledger: Ledger) -> float:
        """Return how plentiful the rest of a budget is, from 0 to 1."""
        prepaid = self.prepaid(ledger.team)
        if ledger.account_free is None or not prepaid:
            return 0
        beyond = ledger.account_free / prepaid - _SCARCE_SHARE
        return min(1, max(0, beyond / (_PLENTY_SHARE - _SCARCE_SHARE)))

    def _is_recalled(self, ledger: Ledger) -> bool:
        # Where a home holds a team's tokens for the zone, other routers
        # return what they drew while they did not know the home or it did
        # not answer. If each of hundreds of routers kept its draw, even the
        # smallest draws would add up to more than a budget.
        return super()._is_recalled(ledger) or not self.is_holder(ledger.team)

    def _min_holding(self, ledger: Ledger) -> int:
        # A team's callers may come to a router that they have not used
        # before just when the table service goes away. If it held no tokens,
        # all of them would be refused while most of the budget is free in
        # the account.
        share = (
            self.abundance(ledger)
            * _MIN_HOLDING_SHARE
            / max(1, self.count_holders())
        )
        return int(ledger.account_free * share)

    def _burst(self, ledger: Ledger) -> float:
        # Only few requests, of very uneven sizes, arrive in the covered
        # time; the standard deviation of their sum is that of a compound
        # Poisson process. The mean alone is too little half of the time, and
        # small teams would be refused with ``no_allotment`` while the table
        # service is away.
        if ledger.squares_rate is None:
            return 0
        cover_s = self.cfg.draw_ahead + self.cfg.partition_cover
        variance = ledger.squares_rate.per_second(self.clock.now()) * cover_s
        return _BURST_DEVIATIONS * math.sqrt(variance)
