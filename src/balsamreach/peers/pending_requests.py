"""Requests sent over one connection that have no answer yet."""

import asyncio

import attrs

from balsamreach.peers.faults import NO_ANSWER, PEER_REFUSED, PeerFault
from balsamreach.wire.base import Message
from balsamreach.wire.replies import Refused

_MAX_NUMBER = 2**32 - 1


@attrs.frozen(eq=False)
class _PendingRequest:
    fut: asyncio.Future[Message | PeerFault]
    deadline: float


@attrs.define(eq=False)
class PendingRequests:
    """Matches answers to requests by number.

    The number of a request is removed when it times out. A late answer finds no
    request and is dropped, so it is never taken for the answer to another one.
    """

    _last_number: int = 0
    _waiting: dict[int, _PendingRequest] = attrs.field(factory=dict)

    @property
    def any_pending(self) -> bool:
        """Whether a request awaits its answer."""
        return bool(self._waiting)

    def add(
        self,
        deadline: float,
    ) -> tuple[int, asyncio.Future[Message | PeerFault]]:
        """Return a new request number and the future of its answer."""
        self._last_number = self._last_number % _MAX_NUMBER + 1
        fut = asyncio.get_running_loop().create_future()
        self._waiting[self._last_number] = _PendingRequest(fut, deadline)
        return self._last_number, fut

    def discard(self, number: int) -> None:
        """Stop waiting for the answer to a request."""
        self._waiting.pop(number, None)

    def resolve(self, number: int, message: Message) -> bool:
        """Set the answer to a request; False if the request is not pending."""
        waiting = self._waiting.pop(number, None)
        if waiting is None or waiting.fut.done():
            return False
        if isinstance(message, Refused):
            waiting.fut.set_result(PEER_REFUSED.because(message.reason))
        else:
            waiting.fut.set_result(message)
        return True

    def expire(self, now: float) -> None:
        """Fail the requests whose deadline has passed."""
        for number, waiting in tuple(self._waiting.items()):
            if waiting.deadline <= now:
                self.discard(number)
                _fail(waiting, 'no answer in time')

    def fail_all(self, reason: str) -> None:
        """Fail all pending requests."""
        for waiting in self._waiting.values():
            _fail(waiting, reason)
        self._waiting.clear()


def _fail(waiting: _PendingRequest, reason: str) -> None:
    if not waiting.fut.done():
        waiting.fut.set_result(NO_ANSWER.because(reason))
