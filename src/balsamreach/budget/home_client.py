"""Reserves tokens at a team's home, one request at a time.

The load is hundreds of routers and dozens of teams, with a request of a team
at a router every few seconds. If each router drew for itself, a request would
cost calls to the table service, and the tokens that each holds for its next
request would tie up a good part of the budget. A hub of the zone holds tokens
for all its routers, whose total demand is steady.
"""

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

import attrs

from balsamreach.budget.faults import (
    CONTENDED,
    EXHAUSTED,
    NO_ALLOTMENT,
    BudgetFault,
)
from balsamreach.budget.homes import homes_of
from balsamreach.budget.ledger import Reservation
from balsamreach.budget.waiters import TokensNeed
from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.membership import Member
from balsamreach.wire.replies import Done
from balsamreach.wire.tokens import TokensAsk, TokensGrant, TokensUsed

HOME_ASKS = 'balsamreach_budget_home_asks_total'

#: Seconds for which a home that did not answer is not asked again. A router
#: that died is removed from the membership within two seconds; one that only
#: paused for a moment is soon back.
_NO_ANSWER_BACKOFF_S = 1.0
#: Seconds for which the zone's other hub is asked first after a hub had no
#: tokens for a team: the time in which a hub doesn't ask a table service that
#: failed.
_NO_TOKENS_BACKOFF_S = 0.5
#: Seconds between two reports of actual use to homes. Until then a home
#: counts the whole reservations as used, which is little compared with what
#: it holds.
_SETTLE_INTERVAL_S = 0.25
#: Most unsettled requests kept for one home; beyond it the oldest are
#: dropped, and their whole reservations count as used.
_MAX_UNSETTLED = 10_000
#: Most requests settled in one message.
_MAX_PER_MESSAGE = 1000
_FAULTS = {fault.code: fault for fault in (EXHAUSTED, NO_ALLOTMENT, CONTENDED)}


@attrs.define(eq=False)
class HomeReservation(Reservation):
    """Tokens that a team's home has reserved.

    Parameters
    ----------
    home : str
        Incarnation of the home.
    ask_number : int
        Number of the ask that reserved them.
    """

    home: str = ''
    ask_number: int = 0


@attrs.define(eq=False)
class HomeClient:
    """Reserves tokens at homes, and tells them what was used.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    clock : Clock
        Time.
    metrics : Metrics
        Counts asks by outcome.
    timeout : float
        Seconds within which a home must answer.
    extra_seconds : callable
        Returns the seconds that this host's own link adds to that.
    """

    net: PeerNet
    clock: Clock
    metrics: Metrics
    timeout: float
    extra_seconds: Callable[[], float] = float
    _ask_numbers: Any = attrs.field(factory=lambda: itertools.count(1))
    _backoff_until: dict[str, float] = attrs.field(factory=dict)
    _no_tokens_until: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _unsettled: dict[str, dict[int, int]] = attrs.field(factory=dict)
    _spent: dict[str, int] = attrs.field(factory=dict)

    def hubs_to_ask(self, team: str) -> tuple[Member, ...]:
        """Return the hubs that may reserve a team's tokens, in order.

        Returns
        -------
        tuple of Member
            The home and the zone's other hub, which may be this router; the
            one that had no tokens last comes second. Empty where this router
            holds the tokens itself: it is the home, the fleet has no hubs, or
            the home doesn't answer.
        """
        homes = homes_of(team, self.net)
        if not homes or homes[0].incarnation == self.net.me.incarnation:
            return ()
        now = self.clock.now()
        if now < self._backoff_until.get(homes[0].incarnation, 0):
            return ()
        answering = [
            home
            for home in homes
            if now >= self._backoff_until.get(home.incarnation, 0)
        ]
        answering.sort(key=lambda home: self._refused_until(home, team))
        return tuple(answering)

    def spent(self, team: str) -> int:
        """Return a lower bound of the tokens used by a team, told by homes."""
        return self._spent.get(team, 0)

    async def reserve(
        self,
        home: Member,
        need: TokensNeed,
        max_wait: float,
    ) -> HomeReservation | BudgetFault | None:
        """Ask a home to reserve a request's tokens.

        Parameters
        ----------
        home : Member
            The team's home, or the zone's other hub.
        need : TokensNeed
            What the request needs.
        max_wait : float
            Seconds within which the home must answer, beyond the delay of
            this host's link.

        Returns
        -------
        HomeReservation or BudgetFault or None
            None if the home gave no answer.
        """
        number = next(self._ask_numbers)
        ask = TokensAsk(number, need.team, need.tokens, need.urgency)
        task = asyncio.ensure_future(self.net.ask(home.incarnation, ask))
        try:
            await asyncio.wait({task}, timeout=max_wait + self.extra_seconds())
        except asyncio.CancelledError:
            self._add_unsettled(home.incarnation, number, 0)
            raise
        answer = task.result() if task.done() else None
        if not isinstance(answer, TokensGrant):
            # The ask may have arrived. Told that nothing was used, the home
            # frees the reservation, or refuses an ask that arrives later.
            self._add_unsettled(home.incarnation, number, 0)
            # A home that waits for tokens itself needs all of its time; given
            # less, it isn't known to be down.
            if task.done() or max_wait >= self.timeout:
                self._backoff_until[home.incarnation] = (
                    self.clock.now() + _NO_ANSWER_BACKOFF_S
                )
            self.metrics.count(HOME_ASKS, outcome='silent')
            return None
        return self._handle_answer(home, ask, answer)

    def charge(self, reservation: HomeReservation, tokens: int) -> None:
        """Tell the home what a request used; a second call does nothing."""
        if reservation.open:
            reservation.open = False
            self._add_unsettled(
                reservation.home,
                reservation.ask_number,
                tokens,
            )

    async def run(self) -> None:
        """Settle periodically, until cancelled."""
        while True:
            await self.clock.sleep(_SETTLE_INTERVAL_S)
            await self.settle()

    async def settle(self) -> None:
        """Tell homes what requests used; drop back-offs that have ended."""
        for home in tuple(self._unsettled):
            await self._settle_with(home)
        now = self.clock.now()
        for home, until in tuple(self._backoff_until.items()):
            if until <= now:
                self._backoff_until.pop(home)
        for key, refused_until in tuple(self._no_tokens_until.items()):
            if refused_until <= now:
                self._no_tokens_until.pop(key)

    def _refused_until(self, home: Member, team: str) -> float:
        until = self._no_tokens_until.get((home.incarnation, team), 0)
        return until if self.clock.now() < until else 0

    def _handle_answer(
        self,
        home: Member,
        ask: TokensAsk,
        answer: TokensGrant,
    ) -> HomeReservation | BudgetFault:
        self._spent[ask.team] = max(self.spent(ask.team), answer.spent)
        if answer.granted:
            self.metrics.count(HOME_ASKS, outcome='granted')
            return HomeReservation(
                ask.team,
                ask.tokens,
                home=home.incarnation,
                ask_number=ask.number,
            )
        self.metrics.count(HOME_ASKS, outcome=answer.code)
        fault = _FAULTS.get(answer.code, NO_ALLOTMENT)
        if fault == NO_ALLOTMENT:
            self._no_tokens_until[home.incarnation, ask.team] = (
                self.clock.now() + _NO_TOKENS_BACKOFF_S
            )
        return attrs.evolve(
            fault,
            reason=answer.reason,
            tokens_wait=answer.retry_after,
        )

    def _add_unsettled(self, home: str, number: int, tokens: int) -> None:
        unsettled = self._unsettled.setdefault(home, {})
        unsettled[number] = tokens
        if len(unsettled) > _MAX_UNSETTLED:
            unsettled.pop(next(iter(unsettled)))

    async def _settle_with(self, home: str) -> None:
        unsettled = self._unsettled[home]
        batch = dict(itertools.islice(unsettled.items(), _MAX_PER_MESSAGE))
        message = TokensUsed(tuple(batch), tuple(batch.values()))
        answer = await self.net.ask(home, message)
        alive = {member.incarnation for member in self.net.members()}
        if isinstance(answer, Done) or home not in alive:
            for number in batch:
                unsettled.pop(number, None)
            if not unsettled:
                self._unsettled.pop(home, None)
