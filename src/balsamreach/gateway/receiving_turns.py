"""Lets other work go on beside answers that come in many small pieces."""

import asyncio
from collections import deque
from collections.abc import Callable

import attrs

#: Pieces of fewer bytes count. Larger ones take less time for their bytes.
SMALL_PIECE_BYTES = 1024
#: Small pieces that all answers together may bring before other work goes on.
#: A target that writes chunks of a few bytes as fast as it can would otherwise
#: hold up all requests for seconds: curl passes on each chunk, and all that has
#: arrived, before it returns.
_MAX_PIECES = 1024


@attrs.define(eq=False)
class ReceivingTurns:
    """Counts small pieces, and interrupts answers that bring too many.

    An answer that was interrupted goes on in one of the next turns of the
    event loop, after those that were interrupted before it.
    """

    _left: int = _MAX_PIECES
    _waiting: deque[Callable[[], None]] = attrs.field(factory=deque)
    _is_renewing: bool = False

    def take(self) -> bool:
        """Return whether an answer may bring its next small piece now."""
        self._left -= 1
        if self._left >= 0:
            return True
        self._schedule_renewal()
        return False

    def wait(self, resume: Callable[[], None]) -> None:
        """Have an answer resumed when it is its turn.

        Parameters
        ----------
        resume : callable
            Resumes it; does nothing if it has ended.
        """
        self._waiting.append(resume)

    def _schedule_renewal(self) -> None:
        if not self._is_renewing:
            self._is_renewing = True
            asyncio.get_running_loop().call_soon(self._renew)

    def _renew(self) -> None:
        self._is_renewing = False
        self._left = _MAX_PIECES
        while self._waiting and self._left > 0:
            self._waiting.popleft()()
        if self._waiting:
            self._schedule_renewal()
