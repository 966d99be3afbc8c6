"""What one router may still spend for one team, kept in memory."""

import attrs

from balsamreach.budget.account import Bill


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
    granted : int
        Tokens the durable allotment has granted.
    billed : int
        Tokens of all bills made here, recorded or waiting.
    reserved : int
        Tokens set aside for requests in progress.
    """

    team: str
    granted: int = 0
    billed: int = 0
    reserved: int = 0
    waiting: list[Bill] = attrs.field(factory=list)

    @property
    def available(self) -> int:
        """Tokens that a new request may reserve."""
        return self.granted - self.billed - self.reserved

    def reserve(self, tokens: int) -> Reservation | None:
        """Set tokens aside, or return None where too few are available."""
        if tokens > self.available:
            return None
        self.reserved += tokens
        return Reservation(self.team, tokens)

    def release(self, reservation: Reservation) -> None:
        """Give a reservation back; a second call does nothing."""
        if reservation.open:
            reservation.open = False
            self.reserved -= reservation.tokens

    def bill(self, reservation: Reservation, bill: Bill) -> None:
        """Turn a reservation into a bill of at most its tokens.

        Parameters
        ----------
        reservation : Reservation
            What was set aside; closed by the call.
        bill : Bill
            The bill. It waits here until it is recorded.
        """
        self.release(reservation)
        self.billed += bill.tokens
        self.waiting.append(bill)
