"""The generations that a stand-in engine still holds."""

import asyncio
import collections
import itertools

import attrs

from balsamreach.clock import Clock
from balsamreach.standins.engine_streams import Generation

_KEPT = 256


@attrs.define(eq=False)
class Generations:
    """Generations by name, each kept for a grace once nobody reads it.

    Parameters
    ----------
    clock : Clock
        Source of the time that a grace takes.
    counters : collections.Counter
        Where cancelled generations are counted.
    """

    clock: Clock
    counters: collections.Counter[str]
    _held: dict[str, Generation] = attrs.Factory(dict)
    _graces: set[asyncio.Task[None]] = attrs.Factory(set)
    _serials: itertools.count = attrs.Factory(lambda: itertools.count(1))

    def next_serial(self) -> int:
        """Return a number that no other generation here has."""
        return next(self._serials)

    def add(self, generation: Generation) -> None:
        """Hold one more and forget the oldest that have ended."""
        self._held[generation.ident] = generation
        ended = [held.ident for held in self._held.values() if held.ended]
        excess = max(0, len(self._held) - _KEPT)
        for ident in ended[:excess]:
            self._held.pop(ident)

    def find(self, ident: str) -> Generation | None:
        """Return a generation that is still held."""
        return self._held.get(ident)

    def cancel(self, ident: str) -> bool:
        """Cancel and forget a generation; say whether it was held."""
        generation = self._held.pop(ident, None)
        if generation is None:
            return False
        if not generation.ended:
            self.counters['cancelled'] += 1
        generation.cancel()
        return True

    def clear(self) -> None:
        """Cancel and forget all of them."""
        for grace in tuple(self._graces):
            grace.cancel()
        for ident in tuple(self._held):
            self.cancel(ident)

    def left(self, generation: Generation) -> None:
        """Note that a reader went away; the last one starts the grace."""
        generation.readers -= 1
        if generation.readers or generation.ended:
            return
        grace = asyncio.create_task(self._grace(generation))
        self._graces.add(grace)
        grace.add_done_callback(self._graces.discard)

    async def _grace(self, generation: Generation) -> None:
        await self.clock.sleep(generation.keep_s)
        if not generation.readers:
            self.cancel(generation.ident)
