"""One router's in-memory account of the tokens it holds for one team."""

import attrs

from balsamreach.budget.account import Allotment, Bill, Loan
from balsamreach.budget.rate import Rate
from balsamreach.budget.usage import UsageLimiter
from balsamreach.budget.waiters import WaitQueue


@attrs.define(eq=False)
class Reservation:
    """Tokens reserved for one request until it is billed or released.

    Parameters
    ----------
    team : str
        Team that pays.
    tokens : int
        Most tokens that the request may use.
    open : bool
        Whether it is neither billed nor released yet.
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
        Rate at which the team spends tokens at this router.
    squares_rate : Rate or None
        Rate of the squared sizes of reservations; None where the variance of
        demand isn't tracked.
    account_free : int or None
        Tokens that the account had free after the last move.
    limiter : UsageLimiter or None
        Limits the tokens in use to what was reported; None where routers
        don't report their use.
    granted : int
        Tokens granted by the stored allotment.
    seq : int
        Number of the draw or return that ``granted`` results from.
    billed : int
        Tokens of all bills made here, recorded or not.
    reserved : int
        Tokens reserved for requests in progress.
    returning : int
        Tokens of returns whose outcome is not known yet.
    lent : int
        Tokens lent, recorded or not, over all time.
    lendable : int
        Upper limit of ``lent`` according to the stored allotment.
    account_empty_until : float
        Time until which the account is assumed to have no free tokens.
    recalled_until : float
        Time until which only what requests need is drawn and idle tokens are
        returned.
    requested_by_peers : int
        Tokens that peers have requested and that are not lendable yet.
    unconfirmed_loans : dict of str to int
        Tokens by loan id of loans made and not known to be recorded.
    borrowed : dict of str to Loan
        Loans taken and not recorded yet, by loan id.
    waiting : list of Bill
        Bills that are not recorded yet.
    queue : WaitQueue
        Requests that wait for tokens.
    spends_loans : bool
        Whether loans may be spent before they are recorded.
    reserved_ever : int
        Tokens of all reservations made here, over all time.
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
    account_empty_until: float = 0
    recalled_until: float = 0
    requested_by_peers: int = 0
    unconfirmed_loans: dict[str, int] = attrs.field(factory=dict)
    borrowed: dict[str, Loan] = attrs.field(factory=dict)
    unrecorded_bills: list[Bill] = attrs.field(factory=list)
    queue: WaitQueue = attrs.field(factory=WaitQueue)
    spends_loans: bool = True
    squares_rate: Rate | None = None
    account_free: int | None = None
    limiter: UsageLimiter | None = None
    reserved_ever: int = 0
    _lendable_before_return: int = 0

    @property
    def available(self) -> int:
        """Tokens that a new request may reserve."""
        if self.spends_loans:
            return self.unspent_granted + self.unrecorded_loan_tokens
        return self.unspent_granted

    @property
    def unspent_granted(self) -> int:
        """Unspent tokens that the stored allotment covers."""
        gone = self.billed + self.reserved + self.returning + self.lent
        return self.granted - gone

    @property
    def unrecorded_loan_tokens(self) -> int:
        """Tokens of loans taken and not recorded yet."""
        return sum(loan.tokens for loan in self.borrowed.values())

    @property
    def shortfall(self) -> int:
        """Tokens that waiting requests need beyond those available."""
        return self.queue.tokens - self.available

    def reserve(self, tokens: int) -> Reservation | None:
        """Reserve tokens; return None if too few are available."""
        if tokens > self.available:
            return None
        if self.limiter is not None and tokens > self.limiter.room(self):
            return None
        self.reserved += tokens
        self.reserved_ever += tokens
        return Reservation(self.team, tokens)

    def serve_queue(self) -> None:
        """Reserve available tokens for the waiting requests, in order."""
        # Code that adds tokens calls this in the same turn of the event
        # loop. Otherwise later requests could take the tokens before the
        # waiting request is scheduled, and it would be refused with
        # ``no_allotment`` while the budget has room.
        for waiter in tuple(self.queue.waiters):
            reservation = self.reserve(waiter.tokens)
            if reservation is not None:
                self.queue.resolve(waiter, reservation)

    def release(self, reservation: Reservation, used: int = 0) -> None:
        """Release a reservation; a second call does nothing.

        Parameters
        ----------
        reservation : Reservation
            The reservation to release.
        used : int
            Tokens of it that count as spent although no bill is made.
        """
        if reservation.open:
            reservation.open = False
            self.reserved -= reservation.tokens
            self.billed += used
            self.serve_queue()

    def bill(self, reservation: Reservation, bill: Bill) -> None:
        """Turn a reservation into a bill of at most its tokens.

        Parameters
        ----------
        reservation : Reservation
            The reservation; closed by the call.
        bill : Bill
            The bill. It is kept in ``unrecorded_bills`` until it is recorded.
        """
        reservation.open = False
        self.reserved -= reservation.tokens
        self.billed += bill.tokens
        self.unrecorded_bills.append(bill)
        self.serve_queue()

    def apply_allotment(self, allotment: Allotment) -> None:
        """Update the ledger from the stored allotment.

        Parameters
        ----------
        allotment : Allotment
            The allotment as read or written; an older one changes nothing.
        """
        if allotment.seq < self.seq:
            return
        if allotment.seq > self.seq:
            # The row holds a later commit of this router, so a return that
            # is still in flight fails its version check: it either is part
            # of ``granted`` already or will never be.
            self.returning = 0
        self.seq = allotment.seq
        self.granted = allotment.granted
        self.lendable = allotment.lendable

    def begin_return(self, tokens: int) -> None:
        """Set tokens aside that are being returned to the account.

        Parameters
        ----------
        tokens : int
            Neither spent nor lent from now on, whether the outcome of the
            return becomes known or not.
        """
        if not self.returning:
            self._lendable_before_return = self.lendable
        self.returning += tokens
        self.lendable = self.lent

    def cancel_return(self) -> None:
        """Free the tokens of a return that never took effect."""
        if self.returning:
            self.returning = 0
            self.lendable = self._lendable_before_return

    def lend(self, loan_id: str, tokens: int) -> int:
        """Deduct a loan and return its tokens, 0 if nothing can be lent.

        Parameters
        ----------
        loan_id : str
            Identity of the loan; a repeated call returns the same loan.
        tokens : int
            Tokens requested.
        """
        if loan_id not in self.unconfirmed_loans:
            # Borrowed tokens are not lent on: until both loans are recorded,
            # the row would show too few tokens for the second one, and its
            # borrower's bills could not be settled.
            most = min(tokens, self.unspent_granted, self.lendable - self.lent)
            if self.limiter is not None:
                most = min(most, self.limiter.room_without_loans(self))
            self.unconfirmed_loans[loan_id] = max(0, most)
            self.lent += self.unconfirmed_loans[loan_id]
        return self.unconfirmed_loans[loan_id]

    def cancel_loan(self, loan_id: str) -> None:
        """Take back a loan that its borrower reports as never received."""
        self.lent -= self.unconfirmed_loans.pop(loan_id, 0)
        self.serve_queue()
