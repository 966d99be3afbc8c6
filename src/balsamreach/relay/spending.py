"""Sets tokens of a prepaid budget aside for a request, and charges them."""

import abc

import attrs

from balsamreach.relay.call import RelayCall
from balsamreach.relay.faults import RelayFault


@attrs.define(eq=False)
class Tab:
    """What one request has set aside and used so far.

    Parameters
    ----------
    most : int
        Tokens set aside.
    read : int
        Tokens of the prompt, once a target may have begun with it.
    output : int
        Tokens that went to the caller.
    hold : object
        The budget's own record of it; None where nothing is metered.
    """

    most: int = 0
    read: int = 0
    output: int = 0
    hold: object = None

    @property
    def used(self) -> int:
        """Tokens to be charged, never more than were set aside."""
        return min(self.most, self.read + self.output)


class Spending(abc.ABC):
    """The budgets of all teams, as the relay uses them."""

    @abc.abstractmethod
    async def open(self, call: RelayCall) -> Tab | RelayFault:
        """Set the request's worst case aside."""

    @abc.abstractmethod
    def close(self, call: RelayCall, tab: Tab) -> None:
        """Charge what was used; the rest is free again."""


class FreeSpending(Spending):
    """Meters nothing."""

    async def open(self, call: RelayCall) -> Tab | RelayFault:
        """Set nothing aside."""
        return Tab()

    def close(self, call: RelayCall, tab: Tab) -> None:
        """Charge nothing."""
