"""Loans between routers when a router can't draw what it needs."""

import asyncio
import logging
import random
from collections import OrderedDict
from typing import Self

import attrs

from balsamreach.budget.account import Loan
from balsamreach.budget.book import Book
from balsamreach.budget.homes import homes_of
from balsamreach.budget.ledger import Ledger
from balsamreach.budget.reporting import Reporter
from balsamreach.budget.sizing import Sizing
from balsamreach.budget.wakeup import Wakeup
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

#: Receipt of a loan whose grant never arrived and never will be taken.
NEVER_CAME = ''

_ID_BITS = 128
#: Seconds in which a lender makes tokens lendable.
_LENDER_PATIENCE_S = 2.0
_MOST_RECEIPTS = 1000
_MOST_CALLED_OFF = 10000


@attrs.frozen
class Elsewhere:
    """What the peers that were asked have of a team's tokens.

    Parameters
    ----------
    left : int
        Tokens for no request, or on their way to one that waits.
    reserved : int
        Tokens set aside for requests in progress.
    more : bool
        Whether to ask again: something came, or peers were not asked.
    """

    left: int = 0
    reserved: int = 0
    more: bool = False

    def add(self, grant: LoanGrant) -> Self:
        """Return the sum with what one more peer says."""
        return attrs.evolve(
            self,
            left=self.left + grant.left,
            reserved=self.reserved + grant.reserved,
            more=self.more or grant.tokens > 0,
        )


@attrs.define
class Loans:
    """Borrows for this router's requests and lends to its peers.

    Parameters
    ----------
    book : Book
        The ledgers.
    sizing : Sizing
        Says how much is worth asking for.
    net : PeerNet
        The other routers.
    rng : Random
        Loan ids and the order of lenders.
    wakeup : Wakeup or None
        Tells whether this process may have been paused and taken over; set
        after the router was put together.
    reporter : Reporter or None
        Reports what is lent; None where nobody reports.
    patience : float
        Seconds after which what is lendable already is lent. A store that
        went silent answers nothing for far longer, and meanwhile the
        borrower's request gives up.
    from_homes : bool
        Whether only homes of teams hold tokens, in a fleet that has hubs.
    """

    book: Book
    sizing: Sizing
    net: PeerNet
    rng: random.Random
    wakeup: Wakeup | None = None
    reporter: Reporter | None = None
    patience: float = _LENDER_PATIENCE_S
    from_homes: bool = False
    _done_with: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    _receipts: list[tuple[str, LoanReceipt]] = attrs.field(factory=list)
    _called_off: OrderedDict[str, None] = attrs.field(factory=OrderedDict)

    def __attrs_post_init__(self) -> None:
        """Take the peers' messages about loans."""
        self.net.on(LoanAsk, self._take_ask)
        self.net.on(LoanReceipt, self._take_receipt)

    async def borrow(self, ledger: Ledger) -> Elsewhere:
        """Ask peers in turn until the requests that wait are covered.

        Parameters
        ----------
        ledger : Ledger
            The team's ledger; loans are entered in it.

        Returns
        -------
        Elsewhere
            What the peers that were asked have beyond what they lent.
        """
        found = Elsewhere()
        for member in self.lenders(ledger.team):
            missing = _missing(ledger)
            if missing <= 0 or not ledger.queue:
                return attrs.evolve(found, more=True)
            wanted = max(missing, self.sizing.expected_use(ledger))
            grant = await self._borrow_from(member, ledger, wanted)
            found = found.add(grant) if grant else found
        return found

    def lenders(self, team: str) -> list[Member]:
        """Return the routers to ask for a team's tokens, in turn.

        In a large fleet the hubs alone hold tokens: of each zone the team's
        home, and the others of the own zone, which may reach the service.
        """
        homes = homes_of(team, self.net) if self.from_homes else ()
        candidates = homes or self.net.neighbours()
        others = [member for member in candidates if not member.leaving]
        self.rng.shuffle(others)
        # The own zone first: its routers are a shorter way off and are
        # likely to stay in reach while zones are cut off from each other.
        others.sort(key=lambda member: member.zone != self.net.me.zone)
        return others

    async def send_receipts(self) -> None:
        """Tell lenders which loans are recorded or never came."""
        for loan in self.book.recorded_loans:
            receipt = LoanReceipt(loan.loan_id, self.net.me.incarnation)
            self._receipts.append((loan.lender, receipt))
        self.book.recorded_loans.clear()
        alive = {member.incarnation for member in self.net.members()}
        unsent = []
        for lender, told in self._receipts[-_MOST_RECEIPTS:]:
            answer = await self.net.ask(lender, told)
            if isinstance(answer, PeerFault) and lender in alive:
                unsent.append((lender, told))
        self._receipts = unsent

    def has_done_with(self, lender: str) -> bool:
        """Take no more loans of a lender; return whether none is here.

        Parameters
        ----------
        lender : str
            A router that is gone. A grant of it may still be on its way.
        """
        self._done_with[lender] = None
        while len(self._done_with) > _MOST_CALLED_OFF:
            self._done_with.popitem(last=False)
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
        # Others were told that nothing of this lender is here.
        if member.incarnation in self._done_with:
            return None
        if isinstance(answer, PeerFault):
            # The lender may have taken the tokens off already. An answer
            # that comes later is never taken, and only this side knows that,
            # so the lender is told; until then the tokens are stranded.
            if answer != NOT_CONNECTED:
                receipt = LoanReceipt(ask.loan_id, NEVER_CAME)
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
            ledger.hand_out()
            self.book.metrics.count(BORROWED, loan.tokens)
        return answer

    async def _take_ask(self, member: Member, ask: LoanAsk) -> LoanGrant:
        ledger = self.book.ledger(ask.team)
        if self.wakeup is not None and self.wakeup.is_due():
            await self.wakeup.check()
        if not self._may_lend(ask):
            return LoanGrant(ask.loan_id, ask.team, 0)
        # Of two routers whose requests wait, both with too little, one has to
        # give way. Did both lend, they would swap their tokens until
        # ``draw_wait``; did neither, both would refuse what one can serve.
        if ledger.queue and member.incarnation > self.net.me.incarnation:
            return self._tell(ledger, ask, 0)
        if ask.loan_id not in ledger.unconfirmed_loans and self._is_short(
            ledger, ask
        ):
            await self._make_lendable(ledger, ask.tokens)
        # During the await the allotment may have been taken over, or the
        # borrower may have called the loan off.
        if not self._may_lend(ask):
            return LoanGrant(ask.loan_id, ask.team, 0)
        return self._lend(ledger, ask)

    def _lend(self, ledger: Ledger, ask: LoanAsk) -> LoanGrant:
        known = ask.loan_id in ledger.unconfirmed_loans
        tokens = ledger.lend(ask.loan_id, ask.tokens)
        if not known:
            self.book.metrics.count(LENT, tokens)
        return self._tell(ledger, ask, tokens)

    def _tell(
        self,
        ledger: Ledger,
        ask: LoanAsk,
        tokens: int,
    ) -> LoanGrant:
        left = min(ledger.own, ledger.lendable - ledger.lent)
        # Who has heard just now that the account is empty can make all that
        # it has lendable. Were tokens told of that can't be lent, since the
        # table service is away from here, borrowers would ask for them again
        # and again until ``draw_wait``.
        if self.sizing.is_account_empty(ledger):
            left = ledger.own + ledger.unrecorded
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
        # With the account empty all that there is to lend is here already.
        if self.sizing.is_account_empty(ledger) and ledger.own <= lendable:
            return False
        return ask.tokens > min(lendable, ledger.own)

    async def _make_lendable(self, ledger: Ledger, tokens: int) -> None:
        # Several asks may wait for the same move. Were it made for one of
        # them, the first to run on would take what was meant for the others,
        # and a lender with plenty would seem to have nothing.
        ledger.requested_by_peers += tokens
        work = asyncio.ensure_future(_bring(self, ledger, tokens))
        try:
            await asyncio.wait({work}, timeout=self.patience)
        finally:
            ledger.requested_by_peers -= tokens

    def _may_lend(self, ask: LoanAsk) -> bool:
        # An ask may arrive after the word that it was called off; lending
        # then would strand the tokens until the allotment is closed.
        # So may one whose tokens were given back while it was paused.
        is_due = self.wakeup is not None and self.wakeup.is_due()
        if self.book.closed is not None or is_due:
            return False
        return ask.loan_id not in self._called_off

    async def _take_receipt(self, member: Member, receipt: LoanReceipt) -> Done:
        for ledger in self.book.ledgers.values():
            if receipt.incarnation == NEVER_CAME:
                ledger.cancel_loan(receipt.loan_id)
            else:
                ledger.unconfirmed_loans.pop(receipt.loan_id, None)
        if receipt.incarnation == NEVER_CAME:
            self.book.metrics.count(CALLED_OFF)
            self._called_off[receipt.loan_id] = None
            while len(self._called_off) > _MOST_CALLED_OFF:
                self._called_off.popitem(last=False)
        return Done()


def _missing(ledger: Ledger) -> int:
    missing = ledger.shortfall
    if not ledger.spends_loans:
        missing -= ledger.unrecorded
    # A router may hold enough and not be allowed to use it yet.
    if ledger.limiter is not None:
        short = ledger.queue.tokens - ledger.limiter.room(ledger)
        missing = max(missing, short)
    return missing


async def _bring(loans: Loans, ledger: Ledger, tokens: int) -> None:
    if tokens > min(ledger.own, ledger.lendable - ledger.lent):
        await loans.book.move(lambda: (loans.sizing.make_lendable(ledger),))
    if loans.reporter is not None and _lacks_room(ledger, tokens):
        await loans.reporter.report()


def _lacks_room(ledger: Ledger, tokens: int) -> bool:
    # A report makes room for what is here alone. Were one made for an ask
    # that finds nothing, each of many lenders in turn would keep the
    # borrower's request for some 10 ms, until ``draw_wait`` is over.
    if ledger.limiter is None:
        return False
    return min(tokens, ledger.own) > ledger.limiter.room_without_loans(ledger)


def new_loan_id(rng: random.Random) -> str:
    """Return an id that no other loan has."""
    return f'{rng.getrandbits(_ID_BITS):032x}'
