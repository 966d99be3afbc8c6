"""Generations that a simulated engine keeps, by id."""

import asyncio
import collections
import itertools

import attrs

from balsamreach.clock import Clock
from balsamreach.standins.engine_streams import Generation

_MAX_GENERATIONS = 256


@attrs.define(eq=False)
class Generations:
    """Generations by id; one without readers expires after a while.

    Parameters
    ----------
    clock : Clock
        Clock for the expiry delay.
    counters : collections.Counter
        Counters; the key ``cancelled`` counts cancelled generations.
    """

    clock: Clock
    counters: collections.Counter[str]
    _held: dict[str, Generation] = attrs.Factory(dict)
    _expiry_tasks: set[asyncio.Task[None]] = attrs.Factory(set)
    _serials: itertools.count = attrs.Factory(lambda: itertools.count(1))

    def next_serial(self) -> int:
        """Return a number that no other generation of this engine has."""
        return next(self._serials)

    def add(self, generation: Generation) -> None:
        """Add a generation and remove the oldest ended ones over the limit."""
        self._held[generation.ident] = generation
        ended = [held.ident for held in self._held.values() if held.ended]
        excess = max(0, len(self._held) - _MAX_GENERATIONS)
        for ident in ended[:excess]:
            self._held.pop(ident)

    def find(self, ident: str) -> Generation | None:
        """Return a generation, or None if it is not kept any more."""
        return self._held.get(ident)

    def cancel(self, ident: str) -> bool:
        """Cancel and remove a generation; return whether it was kept."""
        generation = self._held.pop(ident, None)
        if generation is None:
            return False
        if not generation.ended:
            self.counters['cancelled'] += 1
        generation.cancel()
        return True

    def clear(self) -> None:
        """Cancel and remove all generations."""
        for task in tuple(self._expiry_tasks):
            task.cancel()
        for ident in tuple(self._held):
            self.cancel(ident)

    def remove_reader(self, generation: Generation) -> None:
        """Remove a reader; after the last one the expiry delay begins."""
        generation.readers -= 1
        if generation.readers or generation.ended:
            return
        task = asyncio.create_task(self._expire(generation))
        self._expiry_tasks.add(task)
        task.add_done_callback(self._expiry_tasks.discard)

    async def _expire(self, generation: Generation) -> None:
        await self.clock.sleep(generation.keep_s)
        if not generation.readers:
            self.cancel(generation.ident)
