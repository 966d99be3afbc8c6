"""Runs suspects one at a time, each alone at a target."""

import asyncio
from collections import deque

import attrs
import xxhash

from balsamreach.clock import Clock
from balsamreach.config.settings import RoutingSettings
from balsamreach.routing import faults
from balsamreach.routing.faults import RoutingFault
from balsamreach.routing.pools import Group
from balsamreach.routing.slot_request import SlotRequest
from balsamreach.routing.state import TargetState

_MAX_RING_STEPS = 16
#: Largest number of suspects that wait for a target.
_MAX_WAITING = 256
#: One suspect at a time may reserve a target per this many in the group.
_TARGETS_PER_SUSPECT = 4


@attrs.define(eq=False)
class Probation:
    """Reserves a target for a suspect until it has run there.

    Parameters
    ----------
    cfg : RoutingSettings
        Longest wait.
    clock : Clock
        Clock of the router.
    """

    cfg: RoutingSettings
    clock: Clock
    _empty_events: dict[TargetState, asyncio.Event] = attrs.field(factory=dict)
    _waiting_turns: deque[asyncio.Future[None]] = attrs.field(factory=deque)

    async def enter(
        self,
        ask: SlotRequest,
        group: Group,
        tried: frozenset[str],
    ) -> TargetState | RoutingFault:
        """Return an otherwise idle target with a slot taken, or a refusal."""
        wait_until = min(
            self.clock.now() + self.cfg.deadline,
            ask.deadline,
        )
        must_wait = _is_at_capacity(group)
        while must_wait:
            must_wait = await self._wait_turn(wait_until) and _is_at_capacity(
                group
            )
        state = self._reserve(ask, group, tried)
        if state is None:
            self._grant_next_turn()
            return faults.ALL_TARGETS_BUSY.because(
                'the request may have crashed a target, so it has to run '
                'alone, and no target can be kept free for it now',
            )
        is_empty = await self._wait_empty(state, wait_until - self.clock.now())
        if not is_empty:
            state.reserved_for = ''
            self._grant_next_turn()
            return faults.DEADLINE_UNMEETABLE.with_retry_after(
                1,
                'no target came free for the request to run alone',
            )
        state.take_slot(self.clock.now())
        return state

    def slot_released(self, state: TargetState) -> None:
        """Record that a target's slot was released."""
        event = self._empty_events.get(state)
        if event is not None and not state.slots_held:
            event.set()
        if not state.reserved_for:
            self._grant_next_turn()

    async def _wait_turn(self, wait_until: float) -> bool:
        """Wait until a target may be available; False if none will be.

        All requests at a crashed target become suspects at once, many more
        than may reserve targets at a time. Without a queue most of them would
        fail, although each could run a moment later.
        """
        time_left = wait_until - self.clock.now()
        is_queue_full = len(self._waiting_turns) >= _MAX_WAITING
        if time_left <= 0 or is_queue_full:
            return False
        turn = asyncio.get_running_loop().create_future()
        self._waiting_turns.append(turn)
        try:
            await asyncio.wait((turn,), timeout=time_left)
        except asyncio.CancelledError:
            if turn.done():
                self._grant_next_turn()
            raise
        finally:
            if not turn.done():
                self._waiting_turns.remove(turn)
        return turn.done()

    def _grant_next_turn(self) -> None:
        if self._waiting_turns:
            self._waiting_turns.popleft().set_result(None)

    async def _wait_empty(self, state: TargetState, time_left: float) -> bool:
        if not state.slots_held:
            return True
        event = asyncio.Event()
        self._empty_events[state] = event
        wait_task = asyncio.ensure_future(event.wait())
        try:
            await asyncio.wait((wait_task,), timeout=time_left)
        except asyncio.CancelledError:
            # The caller was cancelled. Without this the target would stay
            # reserved and get no requests.
            state.reserved_for = ''
            self._grant_next_turn()
            raise
        finally:
            self._empty_events.pop(state, None)
            wait_task.cancel()
        return event.is_set()

    def _reserve(
        self,
        ask: SlotRequest,
        group: Group,
        tried: frozenset[str],
    ) -> TargetState | None:
        """Choose a target by the fingerprint's position on the ring.

        This makes it unlikely that two suspects of one crash, at any routers,
        get the same target again. If they crashed a second target together, it
        would not show which of them was the cause.
        """
        if _is_at_capacity(group):
            return None
        now = self.clock.now()
        key = xxhash.xxh3_64_intdigest(ask.fingerprint.encode())
        for step, index in enumerate(group.ring.walk(key)):
            state = group.members[index]
            is_usable = state.accepts_requests(now) and state.name not in tried
            if is_usable:
                state.reserved_for = ask.fingerprint
                return state
            if step >= _MAX_RING_STEPS:
                break
        return None


def _is_at_capacity(group: Group) -> bool:
    reserved = sum(bool(state.reserved_for) for state in group.members)
    return reserved * _TARGETS_PER_SUSPECT >= len(group.members)
