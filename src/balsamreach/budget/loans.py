"""Loans between routers when a router can't draw what it needs."""

import asyncio
import logging
import random
from collections import OrderedDict
from typing import Self

import attrs

from balsamreach.budget.account import Loan
from balsamreach.budget.book import LedgerBook
from balsamreach.budget.homes import potential_lenders
from balsamreach.budget.ledger import Ledger
from balsamreach.budget.pause_detector import PauseDetector
from balsamreach.budget.reporting import UsageReporter
from balsamreach.budget.sizing import Sizing
from balsamreach.peers.base import PeerNet
from balsamreach.peers.faults import NOT_CONNECTED, PeerFault
from balsamreach.telemetry.logs import log_event
from balsamreach.wire.loans import LoanAsk, LoanGrant, LoanReceipt
from balsamreach.wire.membership import Member
from balsamreach.wire.replies import Done

_logger = logging.getLogger(__name__)

LENT = 'balsamreach_budget_lent_tokens_total'
BORROWED = 'balsamreach_budget_borrowed_tokens_total'
CALLED_OFF = 'balsamreach_budget_loans_called_off_total'

#: Stands for the incarnation in the receipt of a loan whose grant never
#: arrived and will not be accepted any more.
NOT_RECEIVED = ''

_ID_BITS = 128
#: Seconds within which a lender makes tokens lendable.
_LENDER_TIMEOUT_S = 2.0
_MAX_RECEIPTS = 1000
_MAX_REMEMBERED = 10000


@attrs.frozen
class PeerHoldings:
    """What the peers that were asked hold of a team's tokens.

    Parameters
    ----------
    left : int
        Tokens not reserved, or about to reach a waiting request.
    reserved : int
        Tokens reserved for requests in progress.
    ask_again : bool
        Whether to ask again: tokens arrived, or peers were not asked.
    """

    left: int = 0
    reserved: int = 0
    ask_again: bool = False

    def add(self, grant: LoanGrant) -> Self:
        """Return the sum with one more peer's answer."""
        return attrs.evolve(
            self,
            left=self.left + grant.left,
            reserved=self.reserved + grant.reserved,
            ask_again=self.ask_again or grant.tokens > 0,
        )


@attrs.define
class Loans:
    """Borrows for this router's requests and lends to its peers.

    Parameters
    ----------
    book : LedgerBook
        The ledgers.
    sizing : Sizing
        Determines how much to ask for.
    net : PeerNet
        The other routers.
    rng : Random
        Loan ids and the order of lenders.
    pause_detector : PauseDetector or None
        Tells whether this process may have been paused and taken over; set
        after the router is built.
    reporter : UsageReporter or None
        Reports what is lent; None where routers don't report.
    timeout : float
        Seconds to wait for more tokens to become lendable; after that, what
        is lendable already is lent. If the table service has stopped
        answering, waiting for it would take far longer than the borrower's
        request can wait.
    homes_only : bool
        Whether only homes of teams hold tokens, in a fleet that has hubs.
    """

    book: LedgerBook
    sizing: Sizing
    net: PeerNet
    rng: random.Random
    pause_detector: PauseDetector | None = None
    reporter: UsageReporter | None = None
    timeout: float = _LENDER_TIMEOUT_S
    homes_only: bool = False
    _refused_lenders: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    _receipts: list[tuple[str, LoanReceipt]] = attrs.field(factory=list)
    _cancelled: OrderedDict[str, None] = attrs.field(factory=OrderedDict)

    def __attrs_post_init__(self) -> None:
        """Register the message handlers."""
        self.net.on(LoanAsk, self._handle_ask)
        self.net.on(LoanReceipt, self._handle_receipt)

    async def borrow(self, ledger: Ledger) -> PeerHoldings:
        """Ask peers in turn until the waiting requests are covered.

        Parameters
        ----------
        ledger : Ledger
            The team's ledger; loans are added to it.

        Returns
        -------
        PeerHoldings
            What the peers that were asked hold beyond what they lent.
        """
        found = PeerHoldings()
        for member in self.peers_to_ask(ledger.team):
            shortfall = _shortfall(ledger)
            if shortfall <= 0 or not ledger.queue:
                return attrs.evolve(found, ask_again=True)
            wanted = max(shortfall, self.sizing.expected_use(ledger))
            grant = await self._borrow_from(member, ledger, wanted)
            found = found.add(grant) if grant else found
        return found

    def peers_to_ask(self, team: str) -> list[Member]:
        """Return the routers to ask for a team's tokens, in order.

        In a large fleet only the hubs hold tokens: the team's home of each
        zone, and the other hubs of this router's zone, which may reach the
        table service.
        """
        homes = potential_lenders(team, self.net) if self.homes_only else ()
        candidates = homes or self.net.neighbours()
        others = [member for member in candidates if not member.leaving]
        self.rng.shuffle(others)
        # Routers of this zone come first: they are closer, and are likely to
        # stay reachable while zones are cut off from each other.
        others.sort(key=lambda member: member.zone != self.net.me.zone)
        return others

    async def send_receipts(self) -> None:
        """Tell lenders which loans are recorded or were never received."""
        for loan in self.book.recorded_loans:
            receipt = LoanReceipt(loan.loan_id, self.net.me.incarnation)
            self._receipts.append((loan.lender, receipt))
        self.book.recorded_loans.clear()
        alive = {member.incarnation for member in self.net.members()}
        unsent = []
        for lender, pending in self._receipts[-_MAX_RECEIPTS:]:
            answer = await self.net.ask(lender, pending)
            if isinstance(answer, PeerFault) and lender in alive:
                unsent.append((lender, pending))
        self._receipts = unsent

    def refuse_loans_from(self, lender: str) -> bool:
        """Refuse further loans of a lender; return whether none is held here.

        Parameters
        ----------
        lender : str
            A router that is gone. A grant from it may still arrive.
        """
        self._refused_lenders[lender] = None
        while len(self._refused_lenders) > _MAX_REMEMBERED:
            self._refused_lenders.popitem(last=False)
        return not any(
            loan.lender == lender
            for ledger in self.book.ledgers.values()
            for loan in ledger.borrowed.values()
        )

    async def _borrow_from(
        self,
        member: Member,
        ledger: Ledger,
        tokens: int,
    ) -> LoanGrant | None:
        ask = LoanAsk(new_loan_id(self.rng), ledger.team, tokens)
        answer = await self.net.ask(member.incarnation, ask)
        # Other routers were told that no loan of this lender is here.
        if member.incarnation in self._refused_lenders:
            return None
        if isinstance(answer, PeerFault):
            # The lender may have deducted the tokens already. A later answer
            # is never accepted, but the lender can't know that, so it is
            # told; until then the tokens can't be used by anyone.
            if answer != NOT_CONNECTED:
                receipt = LoanReceipt(ask.loan_id, NOT_RECEIVED)
                self._receipts.append((member.incarnation, receipt))
            return None
        if not isinstance(answer, LoanGrant):
            return None
        log_event(
            _logger,
            logging.DEBUG,
            'tokens_borrowed',
            team=ledger.team,
            lender=member.host,
            wanted=tokens,
            tokens=answer.tokens,
            left=answer.left,
            reserved=answer.reserved,
            loan=ask.loan_id,
        )
        if answer.tokens > 0:
            loan = Loan(ask.loan_id, member.incarnation, answer.tokens)
            ledger.borrowed[ask.loan_id] = loan
            ledger.serve_queue()
            self.book.metrics.count(BORROWED, loan.tokens)
        return answer

    async def _handle_ask(self, member: Member, ask: LoanAsk) -> LoanGrant:
        ledger = self.book.ledger(ask.team)
        if (
            self.pause_detector is not None
            and self.pause_detector.needs_check()
        ):
            await self.pause_detector.verify_allotments()
        if not self._may_lend(ask):
            return LoanGrant(ask.loan_id, ask.team, 0)
        # If two routers with waiting requests both hold too little, one must
        # give way. If both lent, they would swap their tokens until
        # ``draw_wait`` is over; if neither did, both would refuse although
        # one of the requests can be served.
        if ledger.queue and member.incarnation > self.net.me.incarnation:
            return self._make_grant(ledger, ask, 0)
        if ask.loan_id not in ledger.unconfirmed_loans and self._is_short(
            ledger, ask
        ):
            await self._make_lendable(ledger, ask.tokens)
        # While this waited, the allotment may have been taken over, or the
        # borrower may have cancelled the loan.
        if not self._may_lend(ask):
            return LoanGrant(ask.loan_id, ask.team, 0)
        return self._lend(ledger, ask)

    def _lend(self, ledger: Ledger, ask: LoanAsk) -> LoanGrant:
        known = ask.loan_id in ledger.unconfirmed_loans
        tokens = ledger.lend(ask.loan_id, ask.tokens)
        if not known:
            self.book.metrics.count(LENT, tokens)
        return self._make_grant(ledger, ask, tokens)

    def _make_grant(
        self,
        ledger: Ledger,
        ask: LoanAsk,
        tokens: int,
    ) -> LoanGrant:
        left = min(ledger.unspent_granted, ledger.lendable - ledger.lent)
        # A router that has just learnt that the account is empty can make
        # all its tokens lendable. In other cases tokens that can't be lent
        # now, since the table service is out of reach, are not counted:
        # borrowers would ask for them again and again until ``draw_wait``.
        if self.sizing.is_account_empty(ledger):
            left = ledger.unspent_granted + ledger.unrecorded_loan_tokens
        return LoanGrant(
            ask.loan_id,
            ask.team,
            tokens,
            left=max(0, left),
            reserved=ledger.reserved,
        )

    def _is_short(self, ledger: Ledger, ask: LoanAsk) -> bool:
        if _lacks_room(ledger, ask.tokens):
            return True
        lendable = ledger.lendable - ledger.lent
        # While the account is empty, a draw would add nothing.
        if (
            self.sizing.is_account_empty(ledger)
            and ledger.unspent_granted <= lendable
        ):
            return False
        return ask.tokens > min(lendable, ledger.unspent_granted)

    async def _make_lendable(self, ledger: Ledger, tokens: int) -> None:
        # Several asks may wait for the same move. If it covered only one of
        # them, the first to continue would take the tokens of the others,
        # and a lender with plenty would appear to have nothing.
        ledger.requested_by_peers += tokens
        task = asyncio.ensure_future(_move_and_report(self, ledger, tokens))
        try:
            await asyncio.wait({task}, timeout=self.timeout)
        finally:
            ledger.requested_by_peers -= tokens

    def _may_lend(self, ask: LoanAsk) -> bool:
        # An ask may arrive after the message that cancels it; its tokens
        # would then be unusable until the allotment is closed. Or this
        # process was paused, and its tokens were returned in the meantime.
        is_due = (
            self.pause_detector is not None
            and self.pause_detector.needs_check()
        )
        if self.book.closing_fault is not None or is_due:
            return False
        return ask.loan_id not in self._cancelled

    async def _handle_receipt(
        self,
        member: Member,
        receipt: LoanReceipt,
    ) -> Done:
        for ledger in self.book.ledgers.values():
            if receipt.incarnation == NOT_RECEIVED:
                ledger.cancel_loan(receipt.loan_id)
            else:
                ledger.unconfirmed_loans.pop(receipt.loan_id, None)
        if receipt.incarnation == NOT_RECEIVED:
            self.book.metrics.count(CALLED_OFF)
            self._cancelled[receipt.loan_id] = None
            while len(self._cancelled) > _MAX_REMEMBERED:
                self._cancelled.popitem(last=False)
        return Done()


def _shortfall(ledger: Ledger) -> int:
    shortfall = ledger.shortfall
    if not ledger.spends_loans:
        shortfall -= ledger.unrecorded_loan_tokens
    # A router may hold enough and not be allowed to use it yet.
    if ledger.limiter is not None:
        short = ledger.queue.tokens - ledger.limiter.room(ledger)
        shortfall = max(shortfall, short)
    return shortfall


async def _move_and_report(loans: Loans, ledger: Ledger, tokens: int) -> None:
    if tokens > min(ledger.unspent_granted, ledger.lendable - ledger.lent):
        await loans.book.apply_moves(
            lambda: (loans.sizing.make_lendable(ledger),), ledger.team
        )
    if loans.reporter is not None and _lacks_room(ledger, tokens):
        await loans.reporter.report()


def _lacks_room(ledger: Ledger, tokens: int) -> bool:
    # A report makes room only for tokens held here. If one were made also
    # for an ask that finds no tokens, each of many lenders in turn would
    # delay the borrower's request by some 10 ms, until ``draw_wait`` is over.
    if ledger.limiter is None:
        return False
    return min(
        tokens, ledger.unspent_granted
    ) > ledger.limiter.room_without_loans(ledger)


def new_loan_id(rng: random.Random) -> str:
    """Return an id that no other loan has."""
    return f'{rng.getrandbits(_ID_BITS):032x}'
