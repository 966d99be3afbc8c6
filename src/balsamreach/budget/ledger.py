"""What one router may still spend for one team, kept in memory."""

import attrs

from balsamreach.budget.account import Allotment, Bill, Loan
from balsamreach.budget.rate import Rate
from balsamreach.budget.usage import Usage
from balsamreach.budget.waiters import Queue


@attrs.define(eq=False)
class Reservation:
    """Tokens set aside for one request until it is billed or released.

    Parameters
    ----------
    team : str
        Team that pays.
    tokens : int
        Worst case the request may use.
    """

    team: str
    tokens: int
    open: bool = True


@attrs.define
class Ledger:
    """One team's tokens at this router.

    Parameters
    ----------
    rate : Rate
        Rate of spending here.
    squares : Rate or None
        Rate of the squares of what requests reserve; None where the size of
        bursts isn't followed.
    free : int or None
        Tokens that the account had free at the last move.
    usage : Usage or None
        Bounds what may be in use by what was reported; None where routers
        don't report.
    granted : int
        Tokens the durable allotment has granted.
    seq : int
        Number of the draw or return that ``granted`` stems from.
    billed : int
        Tokens of all bills made here, recorded or waiting.
    reserved : int
        Tokens set aside for requests in progress.
    returning : int
        Tokens of returns whose outcome is not known yet.
    lent : int
        Tokens lent, recorded or not, over all time.
    lendable : int
        Most that ``lent`` may become, as the durable allotment says.
    empty_until : float
        Time until which the account is taken to have nothing free.
    recalled_until : float
        Time until which no more is drawn than requests need, and what is
        idle goes back.
    asked : int
        Tokens that peers ask for and that are not lendable yet.
    loans : dict of str to int
        Loans made and not known to be recorded, by loan id.
    borrowed : dict of str to Loan
        Loans taken and not recorded yet.
    waiting : list of Bill
        Bills that are not recorded yet.
    queue : Queue
        Requests that wait for tokens.
    spends_loans : bool
        Whether loans may be spent before they are recorded.
    """

    team: str
    rate: Rate
    granted: int = 0
    seq: int = 0
    billed: int = 0
    reserved: int = 0
    returning: int = 0
    lent: int = 0
    lendable: int = 0
    empty_until: float = 0
    recalled_until: float = 0
    asked: int = 0
    loans: dict[str, int] = attrs.field(factory=dict)
    borrowed: dict[str, Loan] = attrs.field(factory=dict)
    waiting: list[Bill] = attrs.field(factory=list)
    queue: Queue = attrs.field(factory=Queue)
    spends_loans: bool = True
    squares: Rate | None = None
    free: int | None = None
    usage: Usage | None = None
    _lendable_before: int = 0

    @property
    def available(self) -> int:
        """Tokens that a new request may reserve."""
        if self.spends_loans:
            return self.own + self.unrecorded
        return self.own

    @property
    def own(self) -> int:
        """Tokens that the durable allotment still covers."""
        gone = self.billed + self.reserved + self.returning + self.lent
        return self.granted - gone

    @property
    def unrecorded(self) -> int:
        """Tokens of loans taken and not recorded yet."""
        return sum(loan.tokens for loan in self.borrowed.values())

    @property
    def missing(self) -> int:
        """Tokens that the requests which wait need beyond what there is."""
        return self.queue.tokens - self.available

    def reserve(self, tokens: int) -> Reservation | None:
        """Set tokens aside, or return None where too few are available."""
        if tokens > self.available:
            return None
        if self.usage is not None and tokens > self.usage.room(self):
            return None
        self.reserved += tokens
        return Reservation(self.team, tokens)

    def hand_out(self) -> None:
        """Reserve what is available for the requests that wait, in order."""
        # Whoever brings tokens calls this in the same turn of the event loop.
        # A request that had to wake up first would find that others, which
        # came later, had taken what was drawn for it: it would be refused,
        # and show as ``no_allotment`` while the budget has room.
        for waiter in tuple(self.queue.waiters):
            reservation = self.reserve(waiter.tokens)
            if reservation is not None:
                self.queue.answer(waiter, reservation)

    def release(self, reservation: Reservation, used: int = 0) -> None:
        """Give a reservation back; a second call does nothing.

        Parameters
        ----------
        reservation : Reservation
            What was set aside.
        used : int
            Tokens of it that count as spent where no bill is made.
        """
        if reservation.open:
            reservation.open = False
            self.reserved -= reservation.tokens
            self.billed += used
            self.hand_out()

    def bill(self, reservation: Reservation, bill: Bill) -> None:
        """Turn a reservation into a bill of at most its tokens.

        Parameters
        ----------
        reservation : Reservation
            What was set aside; closed by the call.
        bill : Bill
            The bill. It waits here until it is recorded.
        """
        reservation.open = False
        self.reserved -= reservation.tokens
        self.billed += bill.tokens
        self.waiting.append(bill)
        self.hand_out()

    def adopt(self, allotment: Allotment) -> None:
        """Take over what the durable allotment says.

        Parameters
        ----------
        allotment : Allotment
            The allotment as read or written; an older one changes nothing.
        """
        if allotment.seq < self.seq:
            return
        if allotment.seq > self.seq:
            # A later commit of ours stands in the row, so a return that is
            # still on its way fails its version check: it either is part
            # of ``granted`` already or will never be.
            self.returning = 0
        self.seq = allotment.seq
        self.granted = allotment.granted
        self.lendable = allotment.lendable

    def hold_back(self, tokens: int) -> None:
        """Set tokens aside that are on their way back to the account.

        Parameters
        ----------
        tokens : int
            Neither spent nor lent from now on, whether the answer to the
            return arrives or not.
        """
        if not self.returning:
            self._lendable_before = self.lendable
        self.returning += tokens
        self.lendable = self.lent

    def undo_return(self) -> None:
        """Free what was set aside by a return that never took effect."""
        if self.returning:
            self.returning = 0
            self.lendable = self._lendable_before

    def lend(self, loan_id: str, tokens: int) -> int:
        """Take a loan off and return how many tokens it has.

        Parameters
        ----------
        loan_id : str
            Identity of the loan; asked for again, the same loan is told.
        tokens : int
            Tokens asked for.
        """
        if loan_id not in self.loans:
            # Tokens that this router borrowed itself are not lent on: until
            # both loans are recorded, the row would show too few tokens for
            # the second one, and its borrower's bills could not be settled.
            most = min(tokens, self.own, self.lendable - self.lent)
            if self.usage is not None:
                most = min(most, self.usage.own_room(self))
            self.loans[loan_id] = max(0, most)
            self.lent += self.loans[loan_id]
        return self.loans[loan_id]

    def call_off(self, loan_id: str) -> None:
        """Take back a loan that its borrower says it never received."""
        self.lent -= self.loans.pop(loan_id, 0)
        self.hand_out()
