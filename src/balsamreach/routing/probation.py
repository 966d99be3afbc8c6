"""Runs suspects one by one, each at a target that runs nothing else."""

import asyncio
from collections import deque

import attrs
import xxhash

from balsamreach.clock import Clock
from balsamreach.config.settings import RoutingSettings
from balsamreach.routing import faults
from balsamreach.routing.ask import Ask
from balsamreach.routing.faults import RoutingFault
from balsamreach.routing.pools import Group
from balsamreach.routing.state import TargetState

_MOST_STEPS = 16
#: Suspects that may wait for a target of their own.
_MOST_WAITING = 256
#: Part of a group's targets that suspects may take up at a time.
_PART = 4


@attrs.define(eq=False)
class Probation:
    """Keeps a target free for a suspect until it has run there.

    Parameters
    ----------
    cfg : RoutingSettings
        Longest wait.
    clock : Clock
        Time.
    """

    cfg: RoutingSettings
    clock: Clock
    _empty: dict[TargetState, asyncio.Event] = attrs.field(factory=dict)
    _turns: deque[asyncio.Future[None]] = attrs.field(factory=deque)

    async def enter(
        self,
        ask: Ask,
        group: Group,
        tried: frozenset[str],
    ) -> TargetState | RoutingFault:
        """Return a target that runs nothing else, its slot taken."""
        until = min(
            self.clock.now() + self.cfg.deadline,
            ask.deadline,
        )
        waits = _is_crowded(group)
        while waits:
            waits = await self._wait_turn(until) and _is_crowded(group)
        state = self._reserve(ask, group, tried)
        if state is None:
            self._next_turn()
            return faults.ALL_BUSY.because(
                'the request may have crashed a target, so it has to run '
                'alone, and no target can be kept free for it now',
            )
        emptied = await self._wait_empty(state, until - self.clock.now())
        if not emptied:
            state.reserved_for = ''
            self._next_turn()
            return faults.DEADLINE_UNMEETABLE.after(
                1,
                'no target came free for the request to run alone',
            )
        state.take_slot(self.clock.now())
        return state

    def freed(self, state: TargetState) -> None:
        """Take note that a target gave a slot back."""
        event = self._empty.get(state)
        if event is not None and not state.held:
            event.set()
        if not state.reserved_for:
            self._next_turn()

    async def _wait_turn(self, until: float) -> bool:
        """Wait until a target may have come free; False if none will.

        All neighbours of a crash are suspects at once, many more than may
        take up targets at a time. Refused there and then, most of them would
        be broken off though each could run a moment later.
        """
        left = until - self.clock.now()
        kept_waiting = len(self._turns) >= _MOST_WAITING
        if left <= 0 or kept_waiting:
            return False
        turn = asyncio.get_running_loop().create_future()
        self._turns.append(turn)
        try:
            await asyncio.wait((turn,), timeout=left)
        except asyncio.CancelledError:
            if turn.done():
                self._next_turn()
            raise
        finally:
            if not turn.done():
                self._turns.remove(turn)
        return turn.done()

    def _next_turn(self) -> None:
        if self._turns:
            self._turns.popleft().set_result(None)

    async def _wait_empty(self, state: TargetState, left: float) -> bool:
        if not state.held:
            return True
        event = asyncio.Event()
        self._empty[state] = event
        waiting = asyncio.ensure_future(event.wait())
        try:
            await asyncio.wait((waiting,), timeout=left)
        except asyncio.CancelledError:
            # The caller went away. The target would otherwise stay closed
            # to everyone, which shows as a target without requests.
            state.reserved_for = ''
            self._next_turn()
            raise
        finally:
            self._empty.pop(state, None)
            waiting.cancel()
        return event.is_set()

    def _reserve(
        self,
        ask: Ask,
        group: Group,
        tried: frozenset[str],
    ) -> TargetState | None:
        """Choose a target by the request's own place on the ring.

        Two suspects of one crash, at whatever routers, hardly meet again
        then. If they did, they could crash a second target between them
        without showing which of them it was.
        """
        if _is_crowded(group):
            return None
        now = self.clock.now()
        key = xxhash.xxh3_64_intdigest(ask.fingerprint.encode())
        for step, index in enumerate(group.ring.walk(key)):
            state = group.members[index]
            usable = state.accepts_requests(now) and state.name not in tried
            if usable:
                state.reserved_for = ask.fingerprint
                return state
            if step >= _MOST_STEPS:
                break
        return None


def _is_crowded(group: Group) -> bool:
    kept = sum(bool(state.reserved_for) for state in group.members)
    return kept * _PART >= len(group.members)
