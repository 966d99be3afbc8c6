"""Gives back what a closed allotment may have lent, once nobody has it."""

import asyncio
import logging

import attrs

from balsamreach.budget.copies import Keeper
from balsamreach.budget.incarnations import ROUTER_PREFIX
from balsamreach.budget.leftovers import Leftovers
from balsamreach.budget.loans import Loans
from balsamreach.budget.takeover import RECLAIMED
from balsamreach.peers.base import PeerNet
from balsamreach.peers.homes import heaviest
from balsamreach.services.faults import PlatformFault
from balsamreach.services.scanning import scan_all
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.loans import LenderAsk, LenderGone
from balsamreach.wire.membership import Member

_logger = logging.getLogger(__name__)


@attrs.define
class Reclaimer:
    """Finds out whether anybody still has loans of a router that is gone.

    What a closed allotment may have lent stays in its row for borrowers to
    record. What nobody borrowed, or a borrower died with, would stay there
    for good: each crash would cost a budget what one router held of it. It
    is given back on this proof alone: every router in the rows of addresses
    lives and says that it has no loan of that lender, will take none, and
    keeps no bills of dead ones; and nobody else's allotments wait to be
    closed. So all others that ever borrowed were settled before.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    leftovers : Leftovers
        The rows in question.
    loans : Loans
        Loans taken by this router.
    keeper : Keeper
        Bills of others kept here.
    metrics : Metrics
        Counts what came back.
    """

    net: PeerNet
    leftovers: Leftovers
    loans: Loans
    keeper: Keeper
    metrics: Metrics

    def __attrs_post_init__(self) -> None:
        """Answer the others."""
        self.net.on(LenderAsk, self._take_ask)

    async def reclaim_all(self) -> None:
        """Look after the lenders that are this router's to look after."""
        for lender in await self.leftovers.lenders():
            # One router asks for each lender, not all of them.
            home = heaviest(lender, self.net.members())
            mine = home is None or home.incarnation == self.net.me.incarnation
            if mine and await self._is_proven(lender):
                await self._reclaim(lender)

    async def _reclaim(self, lender: str) -> None:
        for team, tokens in (await self.leftovers.give_back(lender)).items():
            self.metrics.count(RECLAIMED, tokens)
            log_event(
                _logger,
                logging.INFO,
                'allotment_reclaimed',
                team=team,
                incarnation=lender,
                returned=tokens,
            )

    async def _is_proven(self, lender: str) -> bool:
        me = self.net.me
        if not self._is_clear(lender):
            return False
        others = [
            member
            for member in self.net.members()
            if member.incarnation != me.incarnation
        ]
        clear = await asyncio.gather(
            *(self._ask(member, lender) for member in others),
        )
        if not all(clear):
            return False
        answered = {member.incarnation for member in others}
        return await self._nobody_else(lender, {me.incarnation, *answered})

    async def _ask(self, member: Member, lender: str) -> bool:
        answer = await self.net.ask(member.incarnation, LenderAsk(lender))
        return isinstance(answer, LenderGone) and answer.clear

    async def _nobody_else(self, lender: str, answered: set[str]) -> bool:
        seats = await scan_all(self.leftovers.service, ROUTER_PREFIX)
        if isinstance(seats, PlatformFault):
            return False
        for seat in seats:
            # A vacated seat names nobody.
            serving = seat.value['incarnation'] or self.net.me.incarnation
            if serving not in answered:
                return False
            if set(seat.value['before']) - {lender}:
                return False
        return True

    def _is_clear(self, lender: str) -> bool:
        alive = {member.incarnation for member in self.net.members()}
        if lender in alive or not alive.issuperset(self.keeper.copies):
            return False
        return self.loans.has_done_with(lender)

    async def _take_ask(self, _member: Member, ask: LenderAsk) -> LenderGone:
        return LenderGone(self._is_clear(ask.incarnation))
