"""Requests that wait for tokens, first come first."""

import asyncio

import attrs


@attrs.frozen(eq=False)
class Waiter:
    """A request that waits for tokens.

    Parameters
    ----------
    tokens : int
        Worst case the request may use.
    answer : Future
        A ``Reservation``, or the ``BudgetFault`` that refuses the request.
    """

    tokens: int
    answer: asyncio.Future


@attrs.define
class Queue:
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
        """Tokens of all requests that wait."""
        return sum(waiter.tokens for waiter in self.waiters)

    @property
    def smallest(self) -> int:
        """Tokens of the smallest request that waits, 0 if none does."""
        return min((waiter.tokens for waiter in self.waiters), default=0)

    def join(self, tokens: int) -> Waiter:
        """Let a request wait at the end."""
        waiter = Waiter(tokens, asyncio.get_running_loop().create_future())
        self.waiters.append(waiter)
        return waiter

    def answer(self, waiter: Waiter, outcome: object) -> None:
        """Let a request go on, with a reservation or a fault."""
        self.waiters.remove(waiter)
        waiter.answer.set_result(outcome)
