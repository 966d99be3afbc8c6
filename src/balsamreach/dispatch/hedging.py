"""Hedged requests: a second attempt if the first one is slow."""

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

AttemptTask = asyncio.Task[DispatchFault | None]


@attrs.define(eq=False, kw_only=True)
class HedgedAttempts:
    """Starts a second attempt at another target if the first one is slow.

    The first attempt that receives a byte for the caller continues; the
    connection of the other one is closed.

    Parameters
    ----------
    placer : Placer
        Allocates the slot of the second attempt.
    clock : Clock
        Clock of the delay.
    metrics : Metrics
        Counts hedges by outcome.
    call : Call
        An idempotent request.
    make_attempt : callable
        Makes an attempt with a slot, which it releases, and calls `register`.
    winner : Reply or None
        The reply that goes to the caller.
    """

    placer: Placer
    clock: Clock
    metrics: Metrics
    call: Call
    make_attempt: Callable[[Slot], Coroutine[Any, Any, DispatchFault | None]]
    winner: Reply | None = None
    _replies: dict[AttemptTask, Reply] = attrs.field(factory=dict)
    _slots: dict[AttemptTask, Slot] = attrs.field(factory=dict)

    async def run(
        self,
        slot: Slot,
        delay: float,
        tried: set[str],
    ) -> DispatchFault | None:
        """Return the fault of the winner, or else of the last attempt."""
        try:
            return await self._run_attempts(slot, delay, tried)
        finally:
            await self._cancel_all()

    def register(self, reply: Reply, on_win: Callable[[], None]) -> None:
        """Register the attempt that the current task makes."""
        task = asyncio.current_task()
        assert task is not None
        self._replies[task] = reply
        reply.on_first_byte.append(
            functools.partial(self.declare_winner, reply, on_win)
        )

    def declare_winner(self, reply: Reply, on_win: Callable[[], None]) -> None:
        """Make a reply the winner, unless there is one, and end the other."""
        if self.winner is not None:
            return
        self.winner = reply
        on_win()
        for task, other in self._replies.items():
            if other is reply:
                continue
            # The task ends only when it is next scheduled. Bytes that arrive
            # before that would be appended to the winner's answer, so its
            # reply is closed first.
            other.close()
            task.cancel()
            self._mark_outrun(task)

    def is_loser(self, reply: Reply) -> bool:
        """Return whether a reply may not add to the answer."""
        return self.winner is not reply

    async def _run_attempts(
        self,
        slot: Slot,
        delay: float,
        tried: set[str],
    ) -> DispatchFault | None:
        first = self._start_attempt(slot)
        await self._wait_for_delay(first, delay)
        if self.winner is None and not first.done():
            self._start_hedge(tried)
        await asyncio.wait(self._slots)
        return self._outcome()

    def _start_attempt(self, slot: Slot) -> AttemptTask:
        task = asyncio.create_task(self.make_attempt(slot))
        self._slots[task] = slot
        return task

    def _start_hedge(self, tried: set[str]) -> None:
        slot = self.placer.place_hedge(self.call, tried)
        if isinstance(slot, Slot):
            self._start_attempt(slot)
        else:
            self.metrics.count(HEDGES, outcome='not_sent')

    async def _wait_for_delay(self, first: AttemptTask, delay: float) -> None:
        pausing = asyncio.create_task(self.clock.sleep(delay))
        try:
            await asyncio.wait(
                (first, pausing),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            pausing.cancel()

    def _mark_outrun(self, loser: AttemptTask) -> None:
        first = next(iter(self._slots))
        slot = self._slots[loser]
        # Only the first attempt counts as outrun: the second one started
        # later, so losing says nothing about its target. An attempt that was
        # not sent yet keeps its verdict.
        if loser is first and slot.verdict == Verdict.ABANDONED:
            slot.verdict = Verdict.OUTRUN

    def _outcome(self) -> DispatchFault | None:
        first, *others = self._slots
        ended = others[0] if others else first
        for task, reply in self._replies.items():
            if reply is self.winner:
                ended = task
        if others:
            won = 'second' if ended is not first else 'first'
            fault = ended.result()
            self.metrics.count(HEDGES, outcome='failed' if fault else won)
        return ended.result()

    async def _cancel_all(self) -> None:
        for task in self._slots:
            task.cancel()
        await asyncio.wait(self._slots)
        for task, slot in self._slots.items():
            # A task that is cancelled before it first runs executes no code,
            # so its slot would never be released.
            if task not in self._replies:
                self.placer.release(slot)
