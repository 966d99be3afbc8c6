"""Admission: a request gets a target, a place in a queue or a refusal."""

import asyncio
from collections import OrderedDict

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import RoutingSettings
from balsamreach.routing import faults
from balsamreach.routing.fair_queue import FairQueue, Waiter
from balsamreach.routing.faults import RoutingFault
from balsamreach.routing.hold_times import HoldTimes
from balsamreach.routing.picking import Picker
from balsamreach.routing.pools import Pool, PoolKey
from balsamreach.routing.probation import Probation
from balsamreach.routing.slot_request import SlotRequest
from balsamreach.routing.state import TargetState
from balsamreach.telemetry.metrics import Metrics

_WAITING = 'balsamreach_queue_waiting'
_WAITED = 'balsamreach_queue_wait_seconds'
_REFUSALS = 'balsamreach_admission_refusals_total'

#: Part of a new request's remaining time that its expected wait may take.
_MAX_WAIT_SHARE = 0.5

Outcome = TargetState | RoutingFault


@attrs.define(eq=False)
class PoolQueue:
    """The queue of one pool, with estimates of how fast it moves.

    Parameters
    ----------
    key : tuple of str
        Key of the pool.
    queue : FairQueue
        Waiting requests.
    hold_times : HoldTimes
        How long requests of the pool hold their slots.
    grants : dict of Waiter to asyncio.Future
        Futures that receive the outcome of waiting requests.
    """

    key: PoolKey
    queue: FairQueue = attrs.field(factory=FairQueue)
    hold_times: HoldTimes = attrs.field(factory=HoldTimes)
    grants: dict[Waiter, asyncio.Future] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Admission:
    """Grants slots at targets, through fair queues if there are too few.

    Parameters
    ----------
    cfg : RoutingSettings
        Limits of the queues.
    picker : Picker
        Picks targets with a free slot.
    probation : Probation
        Runs suspects alone.
    clock : Clock
        Clock of the router.
    metrics : Metrics
        Metrics of the router.
    pool_queues : dict of tuple to PoolQueue
        Queues by the key of their pool.
    """

    cfg: RoutingSettings
    picker: Picker
    probation: Probation
    clock: Clock
    metrics: Metrics
    pool_queues: OrderedDict[PoolKey, PoolQueue] = attrs.field(
        factory=OrderedDict
    )

    async def enter(self, ask: SlotRequest) -> Outcome:
        """Return a target with a slot taken, after queueing if necessary.

        Parameters
        ----------
        ask : SlotRequest
            The request.

        Returns
        -------
        TargetState or RoutingFault
            The target, whose slot must be released, or a refusal, which is
            returned as soon as it is certain.
        """
        pool = self.picker.pools.find(ask.pool)
        if pool is None:
            return faults.NO_TARGET.because(f'no target serves {ask.pool[1]}')
        pool_queue = self._queue_of(ask.pool)
        if not pool_queue.queue.waiting:
            state = self.picker.pick(ask, pool)
            if state is not None:
                return state
        refusal = self._refuse_early(ask, pool_queue, pool)
        if refusal is None:
            return await self._wait(ask, pool_queue)
        self.metrics.count(_REFUSALS, why=refusal.code)
        return refusal

    def release(
        self, state: TargetState, ask: SlotRequest, seconds: float
    ) -> None:
        """Release a slot and serve the queues that wait for it.

        Parameters
        ----------
        state : TargetState
            Target at which the slot was held.
        ask : SlotRequest
            Request that held the slot.
        seconds : float
            How long the slot was held.
        """
        now = self.clock.now()
        self.picker.release(state, ask, now)
        self._queue_of(ask.pool).hold_times.add(seconds)
        self.serve_queues_of(state)

    def serve_queues_of(self, state: TargetState) -> None:
        """Serve the queues of all pools that a target belongs to."""
        self.probation.slot_released(state)
        for key in self.picker.pools.keys_of(state.target.row):
            pool_queue = self.pool_queues.get(key)
            if pool_queue is not None and pool_queue.queue.waiting:
                self._serve_queue(pool_queue)

    def serve_all_queues(self) -> None:
        """Serve all queues, for slots freed other than by a request's end."""
        for pool_queue in tuple(self.pool_queues.values()):
            if pool_queue.queue.waiting:
                self._serve_queue(pool_queue)

    def _serve_queue(self, pool_queue: PoolQueue) -> None:
        pool = self.picker.pools.find(pool_queue.key)
        waiter = pool_queue.queue.peek()
        while waiter is not None and pool is not None:
            if self._refuse_if_late(waiter, pool_queue):
                waiter = pool_queue.queue.peek()
                continue
            state = self.picker.pick(waiter.ask, pool)
            if state is None:
                self._refuse_all_if_backing_off(pool_queue, pool)
                return
            pool_queue.queue.remove(waiter, served=True)
            pool_queue.grants[waiter].set_result(state)
            waiter = pool_queue.queue.peek()

    def _refuse_all_if_backing_off(
        self, pool_queue: PoolQueue, pool: Pool
    ) -> None:
        """Refuse all waiting requests if every target backs off."""
        refusal = pool.check_back_off(self.clock.now())
        waiter = pool_queue.queue.peek() if refusal is not None else None
        while waiter is not None:
            pool_queue.queue.remove(waiter)
            pool_queue.grants[waiter].set_result(refusal)
            waiter = pool_queue.queue.peek()

    def _refuse_if_late(self, waiter: Waiter, pool_queue: PoolQueue) -> bool:
        """Refuse a request that could not end in time if it started now."""
        time_left = waiter.ask.deadline - self.clock.now()
        if time_left >= pool_queue.hold_times.mean:
            return False
        pool_queue.queue.remove(waiter)
        pool_queue.grants[waiter].set_result(
            faults.DEADLINE_UNMEETABLE.with_retry_after(
                max(
                    1, self._estimate_wait(pool_queue, pool_queue.queue.waiting)
                ),
                'too little time is left to answer the request',
            ),
        )
        return True

    def _refuse_early(
        self,
        ask: SlotRequest,
        pool_queue: PoolQueue,
        pool: Pool,
    ) -> RoutingFault | None:
        now = self.clock.now()
        wait = self._estimate_wait(
            pool_queue, pool_queue.queue.estimate_ahead(ask)
        )
        time_left = ask.deadline - now - pool_queue.hold_times.likely_max()
        # The estimate is inexact, and a refusal after a long wait is worse
        # than an immediate one, so only part of the remaining time may be
        # spent waiting.
        if wait > _MAX_WAIT_SHARE * min(time_left, self.cfg.deadline):
            return faults.DEADLINE_UNMEETABLE.with_retry_after(
                self._estimate_wait(pool_queue, pool_queue.queue.waiting),
                'the queue is too long for the deadline',
            )
        max_waiting = self.cfg.queue_limit * len(pool)
        if pool_queue.queue.waiting < max_waiting:
            return None
        return self._evict_waiter(ask, pool_queue)

    def _evict_waiter(
        self, ask: SlotRequest, pool_queue: PoolQueue
    ) -> RoutingFault | None:
        """Evict the newest request of the team with the longest backlog."""
        wait = self._estimate_wait(pool_queue, pool_queue.queue.waiting)
        refusal = faults.QUEUE_FULL.with_retry_after(
            max(wait, 1), 'the queue is full'
        )
        victim = pool_queue.queue.newest_of_longest()
        own_backlog = pool_queue.queue.backlog(ask.team) / ask.weight
        # Otherwise one team could keep the queue full, and all other teams
        # would get queue_full refusals with almost nothing waiting.
        if victim is None or victim.ask.team == ask.team:
            return refusal
        victim_backlog = (
            pool_queue.queue.backlog(victim.ask.team) / victim.ask.weight
        )
        if victim_backlog <= own_backlog + 1 / ask.weight:
            return refusal
        pool_queue.queue.remove(victim)
        pool_queue.grants[victim].set_result(refusal)
        return None

    async def _wait(self, ask: SlotRequest, pool_queue: PoolQueue) -> Outcome:
        started_at = self.clock.now()
        time_left = min(self.cfg.deadline, ask.deadline - started_at)
        waiter = Waiter(ask)
        grant = asyncio.get_running_loop().create_future()
        pool_queue.grants[waiter] = grant
        pool_queue.queue.push(waiter)
        self.metrics.gauge(
            _WAITING, pool_queue.queue.waiting, pool=pool_queue.key[1]
        )
        try:
            outcome = await self._await_grant(grant, time_left, pool_queue)
        finally:
            pool_queue.queue.remove(waiter)
            pool_queue.grants.pop(waiter)
        wait_time = self.clock.now() - started_at
        self.metrics.observe(_WAITED, wait_time, pool=pool_queue.key[1])
        if isinstance(outcome, RoutingFault):
            self.metrics.count(_REFUSALS, why=outcome.code)
        return outcome

    async def _await_grant(
        self,
        grant: asyncio.Future,
        time_left: float,
        pool_queue: PoolQueue,
    ) -> Outcome:
        try:
            await asyncio.wait((grant,), timeout=time_left)
        except asyncio.CancelledError:
            # A caller can be cancelled between the grant and the next run of
            # this task. If the slot were not released, it would stay taken,
            # and the target would look ever fuller until it got no requests.
            if grant.done() and isinstance(grant.result(), TargetState):
                self.picker.release(grant.result(), None, self.clock.now())
                self.serve_queues_of(grant.result())
            raise
        if grant.done():
            return grant.result()
        wait = self._estimate_wait(pool_queue, pool_queue.queue.waiting)
        return faults.DEADLINE_UNMEETABLE.with_retry_after(
            max(wait, 1),
            'no target had room in time',
        )

    def _estimate_wait(self, pool_queue: PoolQueue, ahead: int) -> float:
        held = self.picker.pools.slots_held(pool_queue.key)
        return pool_queue.hold_times.estimate_wait(ahead, held)

    def _queue_of(self, key: PoolKey) -> PoolQueue:
        pool_queue = self.pool_queues.get(key)
        if pool_queue is None:
            pool_queue = PoolQueue(key)
            self.pool_queues[key] = pool_queue
        return pool_queue
