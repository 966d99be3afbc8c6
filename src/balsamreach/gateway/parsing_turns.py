"""Limits how many bodies in chunks are parsed at the same time.

Load pattern: many clients send bodies in chunks of one byte. Each of their
connections occupies the event loop for some ten milliseconds before it yields,
and all of them together for longer than the timeouts of connections to targets.
"""

import asyncio
from collections.abc import Hashable

import attrs

#: Bodies that are parsed between two yields to all other connections.
_MAX_TURNS = 2


@attrs.define(eq=False)
class ParsingTurns:
    """Hands out turns to parse what was read of a body in chunks."""

    _holders: set[Hashable] = attrs.field(factory=set)
    _waiting: dict[Hashable, asyncio.Future[None]] = attrs.field(factory=dict)

    def try_take(self, holder: Hashable) -> bool:
        """Take a turn unless others have all of them, or wait for one."""
        if self._waiting or len(self._holders) >= _MAX_TURNS:
            return False
        self._holders.add(holder)
        return True

    def wait(self, holder: Hashable) -> asyncio.Future[None] | None:
        """Take a turn; return a future if it has to be waited for."""
        if self.try_take(holder):
            return None
        fut = asyncio.get_running_loop().create_future()
        self._waiting[holder] = fut
        return fut

    def release(self, holder: Hashable) -> None:
        """Give a turn back, or stop waiting for it; may be repeated."""
        fut = self._waiting.pop(holder, None)
        if fut is not None:
            fut.set_result(None)
        if holder not in self._holders:
            return
        self._holders.discard(holder)
        if self._waiting:
            following = next(iter(self._waiting))
            self._holders.add(following)
            self._waiting.pop(following).set_result(None)


@attrs.define(eq=False)
class Turn:
    """The turns of one body.

    Parameters
    ----------
    turns : ParsingTurns
        Hands them out.
    """

    turns: ParsingTurns

    def wait(self) -> asyncio.Future[None] | None:
        """Take the first turn; return a future if it has to be waited for."""
        return self.turns.wait(self)

    def take(self) -> bool:
        """Take the next turn, as what was read before has been parsed."""
        self.turns.release(self)
        return self.turns.try_take(self)

    def release(self) -> None:
        """Give the turn back; may be repeated."""
        self.turns.release(self)
