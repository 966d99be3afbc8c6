"""Asks that wait for their answers on one connection."""

import asyncio

import attrs

from balsamreach.peers.faults import NO_ANSWER, PEER_REFUSED, PeerFault
from balsamreach.wire.base import Message
from balsamreach.wire.replies import Refused

_MOST_NUMBERS = 2**32 - 1


@attrs.frozen(eq=False)
class _Waiting:
    fut: asyncio.Future[Message | PeerFault]
    deadline: float


@attrs.define(eq=False)
class Asks:
    """Pairs answers with asks by number.

    A late answer finds its number gone and is dropped, so it can never be
    taken for the answer to another ask.
    """

    _last: int = 0
    _waiting: dict[int, _Waiting] = attrs.field(factory=dict)

    @property
    def are_open(self) -> bool:
        """Whether an answer is awaited."""
        return bool(self._waiting)

    def open(
        self,
        deadline: float,
    ) -> tuple[int, asyncio.Future[Message | PeerFault]]:
        """Return a new number and the future of its answer."""
        self._last = self._last % _MOST_NUMBERS + 1
        fut = asyncio.get_running_loop().create_future()
        self._waiting[self._last] = _Waiting(fut, deadline)
        return self._last, fut

    def close(self, number: int) -> None:
        """Await an answer no longer."""
        self._waiting.pop(number, None)

    def answer(self, number: int, message: Message) -> bool:
        """Hand an answer to who awaits it; False if nobody does."""
        waiting = self._waiting.pop(number, None)
        if waiting is None or waiting.fut.done():
            return False
        if isinstance(message, Refused):
            waiting.fut.set_result(PEER_REFUSED.because(message.reason))
        else:
            waiting.fut.set_result(message)
        return True

    def expire(self, now: float) -> None:
        """Give up the asks whose time is over."""
        for number, waiting in tuple(self._waiting.items()):
            if waiting.deadline <= now:
                self.close(number)
                _give_up(waiting, 'no answer in time')

    def fail(self, reason: str) -> None:
        """Give up all asks."""
        for waiting in self._waiting.values():
            _give_up(waiting, reason)
        self._waiting.clear()


def _give_up(waiting: _Waiting, reason: str) -> None:
    if not waiting.fut.done():
        waiting.fut.set_result(NO_ANSWER.because(reason))
