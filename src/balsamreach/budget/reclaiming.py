"""Reclaims tokens of closed allotments once no router can hold them."""

import asyncio
import logging

import attrs

from balsamreach.budget.copies import CopyKeeper
from balsamreach.budget.incarnations import ROUTER_PREFIX
from balsamreach.budget.loans import Loans
from balsamreach.budget.stranded import StrandedAllotments
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
    """Checks that no router has loans of a stopped lender any more.

    Tokens that a closed allotment may have lent stay in its row so that
    borrowers can record their loans. Tokens that nobody borrowed, or whose
    borrower crashed, would stay there forever, so each crash would cost a
    budget the tokens of one router. They are returned only on this proof:
    each router that has an address entry is alive and confirms that it has
    no loan of that lender, will accept none, and keeps no bills of stopped
    routers; and no other incarnation has allotments still to be closed. All
    other routers that ever borrowed were then settled before.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    stranded : StrandedAllotments
        Closed allotments that may have lent tokens.
    loans : Loans
        Loans received by this router.
    keeper : CopyKeeper
        Bill copies that this router keeps for others.
    metrics : Metrics
        Counts reclaimed tokens.
    """

    net: PeerNet
    stranded: StrandedAllotments
    loans: Loans
    keeper: CopyKeeper
    metrics: Metrics

    def __attrs_post_init__(self) -> None:
        """Register the handler for questions from other routers."""
        self.net.on(LenderAsk, self._handle_ask)

    async def reclaim_all(self) -> None:
        """Reclaim tokens of the lenders that this router is responsible for."""
        for lender in await self.stranded.lenders():
            # Only one router, chosen by hash, checks each lender.
            chosen = heaviest(lender, self.net.members())
            is_responsible = (
                chosen is None or chosen.incarnation == self.net.me.incarnation
            )
            if is_responsible and await self._is_unborrowed(lender):
                await self._reclaim(lender)

    async def _reclaim(self, lender: str) -> None:
        for team, tokens in (await self.stranded.return_tokens(lender)).items():
            self.metrics.count(RECLAIMED, tokens)
            log_event(
                _logger,
                logging.INFO,
                'allotment_reclaimed',
                team=team,
                incarnation=lender,
                returned=tokens,
            )

    async def _is_unborrowed(self, lender: str) -> bool:
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
        return await self._no_other_borrowers(
            lender, {me.incarnation, *answered}
        )

    async def _ask(self, member: Member, lender: str) -> bool:
        answer = await self.net.ask(member.incarnation, LenderAsk(lender))
        return isinstance(answer, LenderGone) and answer.clear

    async def _no_other_borrowers(
        self, lender: str, answered: set[str]
    ) -> bool:
        rows = await scan_all(self.stranded.service, ROUTER_PREFIX)
        if isinstance(rows, PlatformFault):
            return False
        for row in rows:
            # After a release the entry names no incarnation.
            serving = row.value['incarnation'] or self.net.me.incarnation
            if serving not in answered:
                return False
            if set(row.value['before']) - {lender}:
                return False
        return True

    def _is_clear(self, lender: str) -> bool:
        alive = {member.incarnation for member in self.net.members()}
        if lender in alive or not alive.issuperset(self.keeper.copies):
            return False
        return self.loans.refuse_loans_from(lender)

    async def _handle_ask(self, _member: Member, ask: LenderAsk) -> LenderGone:
        return LenderGone(self._is_clear(ask.incarnation))
