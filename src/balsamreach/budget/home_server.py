"""Reserves tokens of teams for requests of other routers of the zone."""

from collections import OrderedDict
from collections.abc import Awaitable, Callable

import attrs

from balsamreach.budget.faults import NO_ALLOTMENT, BudgetFault
from balsamreach.budget.ledger import Reservation
from balsamreach.budget.waiters import TokensNeed
from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.wire.membership import Member
from balsamreach.wire.replies import Done
from balsamreach.wire.tokens import TokensAsk, TokensGrant, TokensUsed

#: Most reservations for other routers at a time.
_MAX_RESERVATIONS = 20_000
#: Most requests remembered that ended before their ask was answered.
_MAX_ENDED_EARLY = 10_000
#: Seconds after which the reservations of a router that is gone are charged
#: in full. No request lasts longer, and no network partition that makes a
#: live router appear dead.
_LOST_AFTER_S = 120

Reserve = Callable[[TokensNeed], Awaitable[Reservation | BudgetFault]]
Charge = Callable[[Reservation, int], None]
#: Incarnation of the asking router and number of its ask.
AskKey = tuple[str, int]


@attrs.define(eq=False)
class HomeServer:
    """Answers other routers that ask this home for tokens.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    clock : Clock
        Time.
    reserve, charge : callable
        Reserve tokens here, and charge what was used of them.
    spent : callable
        Returns the tokens that a team has used of those held here.
    """

    net: PeerNet
    clock: Clock
    reserve: Reserve
    charge: Charge
    spent: Callable[[str], int]
    _reservations: dict[AskKey, Reservation] = attrs.field(factory=dict)
    _ended_early: OrderedDict[AskKey, int] = attrs.field(factory=OrderedDict)
    _gone_since: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Register the message handlers."""
        self.net.on(TokensAsk, self._handle_ask)
        self.net.on(TokensUsed, self._handle_used)

    def has_reservations(self) -> bool:
        """Return whether tokens are reserved here for other routers."""
        return bool(self._reservations)

    def charge_lost(self) -> None:
        """Charge in full the reservations of routers that are gone.

        What their requests used will never be reported. If the tokens were
        freed, they might be spent twice; if they stayed reserved for ever,
        the reservations would fill the memory.
        """
        now = self.clock.now()
        alive = {member.incarnation for member in self.net.members()}
        gone = {router for router, _ in self._reservations} - alive
        self._gone_since = {
            router: self._gone_since.get(router, now) for router in gone
        }
        for key in tuple(self._reservations):
            gone_since = self._gone_since.get(key[0], now)
            if now - gone_since >= _LOST_AFTER_S:
                reservation = self._reservations.pop(key)
                self.charge(reservation, reservation.tokens)

    async def _handle_ask(self, member: Member, ask: TokensAsk) -> TokensGrant:
        key = (member.incarnation, ask.number)
        if len(self._reservations) >= _MAX_RESERVATIONS:
            return self._refuse(ask, NO_ALLOTMENT.because('too many requests'))
        outcome = await self.reserve(
            TokensNeed(ask.team, ask.tokens, ask.urgency),
        )
        if isinstance(outcome, BudgetFault):
            return self._refuse(ask, outcome)
        if key in self._ended_early:
            # The asking router has given up in the meantime and would never
            # free the reservation.
            self.charge(outcome, self._ended_early.pop(key))
            return self._refuse(
                ask, NO_ALLOTMENT.because('the tokens came too late')
            )
        if key in self._reservations:
            # The same ask has arrived twice; its tokens are reserved once.
            self.charge(outcome, 0)
        else:
            self._reservations[key] = outcome
        return TokensGrant(granted=True, spent=self.spent(ask.team))

    def _refuse(self, ask: TokensAsk, fault: BudgetFault) -> TokensGrant:
        return TokensGrant(
            granted=False,
            code=fault.code,
            reason=fault.reason,
            spent=self.spent(ask.team),
            retry_after=fault.tokens_wait,
        )

    async def _handle_used(self, member: Member, message: TokensUsed) -> Done:
        columns = zip(message.numbers, message.used, strict=False)
        for number, used in columns:
            self._settle((member.incarnation, number), used)
        return Done()

    def _settle(self, key: AskKey, used: int) -> None:
        reservation = self._reservations.pop(key, None)
        if reservation is not None:
            self.charge(reservation, min(used, reservation.tokens))
            return
        self._ended_early[key] = used
        while len(self._ended_early) > _MAX_ENDED_EARLY:
            self._ended_early.popitem(last=False)
