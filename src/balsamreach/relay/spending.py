"""Reserves tokens of a prepaid budget for a request, and charges them."""

import abc

import attrs

from balsamreach.relay.call import RelayCall
from balsamreach.relay.faults import RelayFault


@attrs.define(eq=False)
class Reservation:
    """The tokens that one request has reserved and used so far.

    Parameters
    ----------
    tokens : int
        Reserved tokens.
    prompt_tokens : int
        Tokens of the prompt, once a target may have processed it; 0 before.
    output_tokens : int
        Tokens that were sent to the caller.
    hold : object
        The budget's record of the reservation; None if nothing is charged.
    """

    tokens: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    hold: object = None

    @property
    def used(self) -> int:
        """Tokens to charge, at most the reserved ones."""
        return min(self.tokens, self.prompt_tokens + self.output_tokens)


class Spending(abc.ABC):
    """Reserves and charges tokens of the budgets of all teams."""

    @abc.abstractmethod
    async def reserve(self, call: RelayCall) -> Reservation | RelayFault:
        """Reserve the maximum number of tokens that the request may use."""

    @abc.abstractmethod
    def charge(self, call: RelayCall, reservation: Reservation) -> None:
        """Charge the tokens used and release the rest."""


class UnmeteredSpending(Spending):
    """Charges nobody."""

    async def reserve(self, call: RelayCall) -> Reservation | RelayFault:
        """Reserve nothing."""
        return Reservation()

    def charge(self, call: RelayCall, reservation: Reservation) -> None:
        """Charge nothing."""
