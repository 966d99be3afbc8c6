"""Asks a team's home for tokens, one request at a time.

Load pattern: hundreds of routers, scores of teams, a request of a team at a
router every few seconds. Did each router draw for itself, a request would
cost calls to the table service, and what each holds for its next one would
strand a good part of the budget. A hub of the zone holds for all its routers;
what they need together is even.
"""

import asyncio
import itertools
from typing import Any

import attrs

from balsamreach.budget.faults import (
    CONTENDED,
    EXHAUSTED,
    NO_ALLOTMENT,
    BudgetFault,
)
from balsamreach.budget.homes import home_of
from balsamreach.budget.ledger import Reservation
from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.membership import Member
from balsamreach.wire.replies import Done
from balsamreach.wire.tokens import TokensAsk, TokensGrant, TokensUsed

ASKED = 'balsamreach_budget_home_asks_total'

#: Seconds for which a home that did not answer is not asked again. Source: a
#: router that died is struck from the list within two seconds; one that only
#: stood still for a moment is soon back.
_AWAY_S = 1.0
#: Seconds between two words of what requests used. Until then the home counts
#: their worst case as used, which is little beside what it holds.
_SETTLE_EVERY_S = 0.25
#: Most words that wait for one home; beyond it the oldest are dropped, and
#: count as used to the full.
_MOST_UNSETTLED = 10_000
#: Most of them in one message.
_MOST_AT_ONCE = 1000
_FAULTS = {fault.code: fault for fault in (EXHAUSTED, NO_ALLOTMENT, CONTENDED)}


@attrs.define(eq=False)
class HomeReservation(Reservation):
    """Tokens that a team's home has set aside.

    Parameters
    ----------
    home : str
        Incarnation of the home.
    number : int
        Number of the ask.
    """

    home: str = ''
    number: int = 0


@attrs.define(eq=False)
class Homing:
    """Asks homes, and tells them what was used.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    clock : Clock
        Time.
    metrics : Metrics
        Counts asks by outcome.
    patience : float
        Seconds within which a home must answer.
    """

    net: PeerNet
    clock: Clock
    metrics: Metrics
    patience: float
    _numbers: Any = attrs.field(factory=lambda: itertools.count(1))
    _away: dict[str, float] = attrs.field(factory=dict)
    _unsettled: dict[str, dict[int, int]] = attrs.field(factory=dict)
    _spent: dict[str, int] = attrs.field(factory=dict)

    def find(self, team: str) -> Member | None:
        """Return the router that holds a team's tokens for this one.

        Returns
        -------
        Member or None
            None where this router holds them itself: it is the home, the
            fleet has none, or the home doesn't answer.
        """
        home = home_of(team, self.net, self.net.me.zone)
        if home is None or home.incarnation == self.net.me.incarnation:
            return None
        away_until = self._away.get(home.incarnation, 0)
        return None if self.clock.now() < away_until else home

    def spent(self, team: str) -> int:
        """Return the tokens that homes have seen a team use, at least."""
        return self._spent.get(team, 0)

    async def reserve(
        self,
        home: Member,
        team: str,
        tokens: int,
    ) -> HomeReservation | BudgetFault | None:
        """Let a home set a request's worst case aside.

        Returns
        -------
        HomeReservation or BudgetFault or None
            None if the home gave no answer.
        """
        number = next(self._numbers)
        ask = TokensAsk(number, team, tokens)
        work = asyncio.ensure_future(self.net.ask(home.incarnation, ask))
        try:
            await asyncio.wait({work}, timeout=self.patience)
        except asyncio.CancelledError:
            self._settle(home.incarnation, number, 0)
            raise
        answer = work.result() if work.done() else None
        if not isinstance(answer, TokensGrant):
            # The ask may have arrived. Told that nothing was used, the home
            # frees what it set aside, or will not set anything aside.
            self._settle(home.incarnation, number, 0)
            self._away[home.incarnation] = self.clock.now() + _AWAY_S
            self.metrics.count(ASKED, outcome='silent')
            return None
        return self._take(home, ask, answer)

    def charge(self, reservation: HomeReservation, tokens: int) -> None:
        """Tell the home what a request used; a second call does nothing."""
        if reservation.open:
            reservation.open = False
            self._settle(reservation.home, reservation.number, tokens)

    async def run(self) -> None:
        """Settle in rounds, until cancelled."""
        while True:
            await self.clock.sleep(_SETTLE_EVERY_S)
            await self.settle()

    async def settle(self) -> None:
        """Tell homes what requests used, and forget homes that are gone."""
        for home in tuple(self._unsettled):
            await self._settle_with(home)
        now = self.clock.now()
        for home, until in tuple(self._away.items()):
            if until <= now:
                self._away.pop(home)

    def _take(
        self,
        home: Member,
        ask: TokensAsk,
        answer: TokensGrant,
    ) -> HomeReservation | BudgetFault:
        self._spent[ask.team] = max(self.spent(ask.team), answer.spent)
        if answer.granted:
            self.metrics.count(ASKED, outcome='granted')
            return HomeReservation(
                ask.team,
                ask.tokens,
                home=home.incarnation,
                number=ask.number,
            )
        self.metrics.count(ASKED, outcome=answer.code)
        fault = _FAULTS.get(answer.code, NO_ALLOTMENT)
        return fault.because(answer.reason)

    def _settle(self, home: str, number: int, tokens: int) -> None:
        waiting = self._unsettled.setdefault(home, {})
        waiting[number] = tokens
        if len(waiting) > _MOST_UNSETTLED:
            waiting.pop(next(iter(waiting)))

    async def _settle_with(self, home: str) -> None:
        waiting = self._unsettled[home]
        some = dict(itertools.islice(waiting.items(), _MOST_AT_ONCE))
        told = TokensUsed(tuple(some), tuple(some.values()))
        answer = await self.net.ask(home, told)
        alive = {member.incarnation for member in self.net.members()}
        if isinstance(answer, Done) or home not in alive:
            for number in some:
                waiting.pop(number, None)
            if not waiting:
                self._unsettled.pop(home, None)
