"""Queue of requests that wait for tokens, the most urgent ones first."""

import asyncio
import bisect

import attrs


@attrs.frozen
class TokensNeed:
    """What a request needs.

    Parameters
    ----------
    team : str
        Team that pays.
    tokens : int
        Most tokens that the request may use.
    urgency : int
        Requests with a higher number are served first.
    """

    team: str
    tokens: int
    urgency: int = 0


@attrs.frozen(eq=False)
class Waiter:
    """A request that waits for tokens.

    Parameters
    ----------
    tokens : int
        Most tokens that the request may use.
    outcome : Future
        A ``Reservation``, or the ``BudgetFault`` that refuses the request.
    urgency : int
        Requests with a higher number are served first.
    """

    tokens: int
    outcome: asyncio.Future
    urgency: int = 0


@attrs.define
class WaitQueue:
    """The requests of one team that wait at this router."""

    waiters: list[Waiter] = attrs.field(factory=list)

    def __bool__(self) -> bool:
        """Return whether any request waits."""
        return bool(self.waiters)

    def __contains__(self, waiter: Waiter) -> bool:
        """Return whether a request still waits."""
        return waiter in self.waiters

    @property
    def tokens(self) -> int:
        """Tokens of all waiting requests."""
        return sum(waiter.tokens for waiter in self.waiters)

    @property
    def smallest(self) -> int:
        """Tokens of the smallest waiting request, 0 if none waits."""
        return min((waiter.tokens for waiter in self.waiters), default=0)

    def add(self, tokens: int, urgency: int = 0) -> Waiter:
        """Add a request behind those that are at least as urgent."""
        waiter = Waiter(
            tokens,
            asyncio.get_running_loop().create_future(),
            urgency,
        )
        bisect.insort_right(self.waiters, waiter, key=_rank)
        return waiter

    def resolve(self, waiter: Waiter, outcome: object) -> None:
        """Remove a request and give it a reservation or a fault."""
        self.waiters.remove(waiter)
        waiter.outcome.set_result(outcome)


def _rank(waiter: Waiter) -> int:
    return -waiter.urgency
