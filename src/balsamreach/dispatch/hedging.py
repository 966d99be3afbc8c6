"""Two attempts of one request, of which only one may answer."""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from balsamreach.clock import Clock
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.dispatch.placing import Placer
from balsamreach.dispatch.replies import Reply
from balsamreach.routing.slot import Slot, Verdict
from balsamreach.telemetry.metrics import Metrics

HEDGES = 'balsamreach_hedges_total'

Contender = asyncio.Task[DispatchFault | None]


@attrs.define(eq=False, kw_only=True)
class Race:
    """Tries at a second target where the first one is slow.

    The first attempt that has a byte for the caller goes on alone; the
    other one's connection is closed.

    Parameters
    ----------
    call : Call
        An idempotent request.
    attempt : callable
        Makes an attempt with a slot, which it gives back, and ``enter``s.
    winner : Reply or None
        The answer that goes to the caller.
    """

    placer: Placer
    clock: Clock
    metrics: Metrics
    call: Call
    attempt: Callable[[Slot], Coroutine[Any, Any, DispatchFault | None]]
    winner: Reply | None = None
    _entered: dict[Contender, Reply] = attrs.field(factory=dict)
    _slots: dict[Contender, Slot] = attrs.field(factory=dict)

    async def run(
        self,
        slot: Slot,
        delay: float,
        tried: set[str],
    ) -> DispatchFault | None:
        """Return how the winner ended, or without one the last that did."""
        try:
            return await self._run(slot, delay, tried)
        finally:
            await self._end()

    def enter(self, reply: Reply, on_win: Callable[[], None]) -> None:
        """Take in the attempt that the present task makes."""
        task = asyncio.current_task()
        assert task is not None
        self._entered[task] = reply
        reply.on_first.append(functools.partial(self.claim, reply, on_win))

    def claim(self, reply: Reply, on_win: Callable[[], None]) -> None:
        """Let a reply win unless another one has; the other ends."""
        if self.winner is not None:
            return
        self.winner = reply
        on_win()
        for task, other in self._entered.items():
            if other is reply:
                continue
            # The task ends only at its next turn. Bytes that came meanwhile
            # would be joined to the winner's answer, so it is closed first.
            other.close()
            task.cancel()
            self._note_outrun(task)

    def lost(self, reply: Reply) -> bool:
        """Return whether a reply may not add to the answer."""
        return self.winner is not reply

    async def _run(
        self,
        slot: Slot,
        delay: float,
        tried: set[str],
    ) -> DispatchFault | None:
        first = self._begin(slot)
        await self._pause(first, delay)
        if self.winner is None and not first.done():
            self._hedge(tried)
        await asyncio.wait(self._slots)
        return self._outcome()

    def _begin(self, slot: Slot) -> Contender:
        task = asyncio.create_task(self.attempt(slot))
        self._slots[task] = slot
        return task

    def _hedge(self, tried: set[str]) -> None:
        slot = self.placer.hedge(self.call, tried)
        if isinstance(slot, Slot):
            self._begin(slot)
        else:
            self.metrics.count(HEDGES, outcome='not_sent')

    async def _pause(self, first: Contender, delay: float) -> None:
        pausing = asyncio.create_task(self.clock.sleep(delay))
        try:
            await asyncio.wait(
                (first, pausing),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            pausing.cancel()

    def _note_outrun(self, loser: Contender) -> None:
        first = next(iter(self._slots))
        slot = self._slots[loser]
        # The second attempt began later; that it lost says nothing. One that
        # is not sent yet keeps its verdict.
        if loser is first and slot.verdict == Verdict.ABANDONED:
            slot.verdict = Verdict.OUTRUN

    def _outcome(self) -> DispatchFault | None:
        first, *others = self._slots
        ended = others[0] if others else first
        for task, reply in self._entered.items():
            if reply is self.winner:
                ended = task
        if others:
            won = 'second' if ended is not first else 'first'
            fault = ended.result()
            self.metrics.count(HEDGES, outcome='failed' if fault else won)
        return ended.result()

    async def _end(self) -> None:
        for task in self._slots:
            task.cancel()
        await asyncio.wait(self._slots)
        for task, slot in self._slots.items():
            # A task that is cancelled before its first turn runs no code,
            # and its slot would be held for ever.
            if task not in self._entered:
                self.placer.leave(slot)
