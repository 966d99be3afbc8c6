"""Reserves a request's tokens at a home, at another hub, or here."""

from collections.abc import Awaitable, Callable

import attrs

from balsamreach.budget.account_drawer import AccountDrawer
from balsamreach.budget.faults import NO_ALLOTMENT, BudgetFault
from balsamreach.budget.home_client import HomeClient
from balsamreach.budget.ledger import Reservation
from balsamreach.budget.waiters import TokensNeed
from balsamreach.telemetry.metrics import Metrics

FAILOVERS = 'balsamreach_budget_home_failovers_total'

#: Seconds that are left to this router's own draw when two hubs have taken
#: their time; a draw is three calls of at most some 10 ms each.
_OWN_SHARE_S = 0.15

ReserveHere = Callable[
    [TokensNeed, float], Awaitable[Reservation | BudgetFault]
]


@attrs.define(eq=False)
class HomeFailover:
    """Asks the hubs of the zone in turn, then draws for this router.

    Parameters
    ----------
    home_client : HomeClient
        Asks hubs.
    reserve_here : callable
        Reserves out of what this router holds or draws, within the given
        seconds.
    draw_wait : float
        Longest wait of a request for tokens of this router, in seconds. It,
        the timeout of a home and the link's delay at the start together bound
        a reservation.
    account_drawer : AccountDrawer
        Tells whether the table service is known to be away.
    metrics : Metrics
        Counts the steps after a hub's refusal.
    """

    home_client: HomeClient
    reserve_here: ReserveHere
    draw_wait: float
    account_drawer: AccountDrawer
    metrics: Metrics

    async def reserve(self, need: TokensNeed) -> Reservation | BudgetFault:
        """Reserve a request's tokens.

        Returns
        -------
        Reservation or BudgetFault
            EXHAUSTED is final. NO_ALLOTMENT of a hub may be due to its own
            connection to the table service, so others are tried.
        """
        client = self.home_client
        deadline = client.clock.now() + client.timeout + self.draw_wait
        deadline += client.extra_seconds()
        refusal = None
        for hub in client.hubs_to_ask(need.team):
            if hub.incarnation == client.net.me.incarnation:
                return await self._reserve_own(need, deadline, refusal)
            left = deadline - client.clock.now() - _OWN_SHARE_S
            left -= client.extra_seconds()
            if left <= 0:
                break
            outcome = await client.reserve(
                hub,
                need,
                min(client.timeout, left),
            )
            self._count(refusal, 'hub', outcome)
            if outcome is None:
                return await self._reserve_own(need, deadline, refusal)
            if outcome != NO_ALLOTMENT:
                return outcome
            refusal = _latest(outcome, refusal)
        if refusal is not None and self.account_drawer.is_backing_off():
            return refusal
        return await self._reserve_own(need, deadline, refusal)

    async def _reserve_own(
        self,
        need: TokensNeed,
        deadline: float,
        refusal: BudgetFault | None,
    ) -> Reservation | BudgetFault:
        left = deadline - self.home_client.clock.now()
        outcome = await self.reserve_here(need, max(0, left))
        self._count(refusal, 'here', outcome)
        if isinstance(outcome, BudgetFault):
            return _latest(outcome, refusal)
        return outcome

    def _count(
        self,
        refusal: BudgetFault | None,
        source: str,
        outcome: Reservation | BudgetFault | None,
    ) -> None:
        if refusal is not None:
            granted = 'yes' if isinstance(outcome, Reservation) else 'no'
            self.metrics.count(FAILOVERS, source=source, granted=granted)


def _latest(fault: BudgetFault, earlier: BudgetFault | None) -> BudgetFault:
    """Return a fault with the longer one of two retry times."""
    if earlier is None:
        return fault
    wait = max(fault.tokens_wait, earlier.tokens_wait)
    return attrs.evolve(fault, tokens_wait=wait)
