"""Lets requests in: each gets a target, a place in the queue or a refusal."""

import asyncio
from collections import OrderedDict

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import RoutingSettings
from balsamreach.routing import faults
from balsamreach.routing.ask import Ask
from balsamreach.routing.fair_queue import FairQueue, Waiter
from balsamreach.routing.faults import RoutingFault
from balsamreach.routing.pacing import Pacing
from balsamreach.routing.picking import Picker
from balsamreach.routing.pools import Pool, PoolKey
from balsamreach.routing.probation import Probation
from balsamreach.routing.state import TargetState
from balsamreach.telemetry.metrics import Metrics

_WAITING = 'balsamreach_queue_waiting'
_WAITED = 'balsamreach_queue_wait_seconds'
_REFUSALS = 'balsamreach_admission_refusals_total'

#: Part of the time left that a new request may be expected to wait.
_QUEUE_PART = 0.5

Outcome = TargetState | RoutingFault


@attrs.define(eq=False)
class Line:
    """The queue of one pool and how fast it moves.

    Parameters
    ----------
    key : tuple of str
        The pool.
    """

    key: PoolKey
    queue: FairQueue = attrs.field(factory=FairQueue)
    pacing: Pacing = attrs.field(factory=Pacing)
    grants: dict[Waiter, asyncio.Future] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Admission:
    """Grants slots at targets, in fair turns where there are too few.

    Parameters
    ----------
    cfg : RoutingSettings
        Bounds of the queues.
    picker : Picker
        Finds a target with room.
    probation : Probation
        Runs suspects alone.
    clock : Clock
        Time.
    metrics : Metrics
        Counters.
    """

    cfg: RoutingSettings
    picker: Picker
    probation: Probation
    clock: Clock
    metrics: Metrics
    lines: OrderedDict[PoolKey, Line] = attrs.field(factory=OrderedDict)

    async def enter(self, ask: Ask) -> Outcome:
        """Return a target with a slot held, at once or in fair turn.

        Parameters
        ----------
        ask : Ask
            The request.

        Returns
        -------
        TargetState or RoutingFault
            A slot that must be given back, or why the request must not
            run; a refusal comes as soon as it is certain.
        """
        pool = self.picker.pools.find(ask.pool)
        if pool is None:
            return faults.NO_TARGET.because(f'no target serves {ask.pool[1]}')
        line = self._line(ask.pool)
        if not line.queue.waiting:
            state = self.picker.pick(ask, pool)
            if state is not None:
                return state
        refusal = self._refuse_early(ask, line, pool)
        if refusal is None:
            return await self._wait(ask, line)
        self.metrics.count(_REFUSALS, why=refusal.code)
        return refusal

    def leave(self, state: TargetState, ask: Ask, seconds: float) -> None:
        """Give a slot back and let those who wait have it.

        Parameters
        ----------
        state : TargetState
            Where the slot was held.
        ask : Ask
            The request that held it.
        seconds : float
            How long it was held.
        """
        now = self.clock.now()
        self.picker.release(state, ask, now)
        self._line(ask.pool).pacing.left(seconds)
        self.pump(state)

    def pump(self, state: TargetState) -> None:
        """Serve the queues of all pools that a target belongs to."""
        self.probation.freed(state)
        for key in self.picker.pools.keys_of(state.target.row):
            line = self.lines.get(key)
            if line is not None and line.queue.waiting:
                self._serve(line)

    def pump_all(self) -> None:
        """Serve every queue; for room that no request's end has made."""
        for line in tuple(self.lines.values()):
            if line.queue.waiting:
                self._serve(line)

    def _serve(self, line: Line) -> None:
        pool = self.picker.pools.find(line.key)
        waiter = line.queue.peek()
        while waiter is not None and pool is not None:
            if self._is_late(waiter, line):
                waiter = line.queue.peek()
                continue
            state = self.picker.pick(waiter.ask, pool)
            if state is None:
                self._refuse_back_off(line, pool)
                return
            line.queue.remove(waiter, served=True)
            line.grants[waiter].set_result(state)
            waiter = line.queue.peek()

    def _refuse_back_off(self, line: Line, pool: Pool) -> None:
        """Refuse all that wait where no target takes requests."""
        refusal = pool.check_back_off(self.clock.now())
        waiter = line.queue.peek() if refusal is not None else None
        while waiter is not None:
            line.queue.remove(waiter)
            line.grants[waiter].set_result(refusal)
            waiter = line.queue.peek()

    def _is_late(self, waiter: Waiter, line: Line) -> bool:
        """Refuse a request that would not end in time if it began now."""
        left = waiter.ask.deadline - self.clock.now()
        if left >= line.pacing.seconds:
            return False
        line.queue.remove(waiter)
        line.grants[waiter].set_result(
            faults.DEADLINE_UNMEETABLE.after(
                max(1, self._wait_for(line, line.queue.waiting)),
                'too little time is left to answer the request',
            ),
        )
        return True

    def _refuse_early(
        self,
        ask: Ask,
        line: Line,
        pool: Pool,
    ) -> RoutingFault | None:
        now = self.clock.now()
        wait = self._wait_for(line, line.queue.ahead(ask))
        left = ask.deadline - now - line.pacing.needed()
        # The estimate strays, and a request that is refused after a long
        # wait is worse off than one refused at once; so the queue is kept
        # well within what would just do.
        if wait > _QUEUE_PART * min(left, self.cfg.deadline):
            return faults.DEADLINE_UNMEETABLE.after(
                self._wait_for(line, line.queue.waiting),
                'the queue is too long for the deadline',
            )
        most = self.cfg.queue_limit * len(pool)
        if line.queue.waiting < most:
            return None
        return self._make_room(ask, line)

    def _make_room(self, ask: Ask, line: Line) -> RoutingFault | None:
        """Refuse the newest request of the team that waits the most."""
        wait = self._wait_for(line, line.queue.waiting)
        fault = faults.QUEUE_FULL.after(max(wait, 1), 'the queue is full')
        victim = line.queue.longest()
        own = line.queue.backlog(ask.team) / ask.weight
        # A team that floods would otherwise keep the queue full, and every
        # other team would be refused in its place. One would notice by
        # queue_full refusals of teams with next to nothing waiting.
        if victim is None or victim.ask.team == ask.team:
            return fault
        theirs = line.queue.backlog(victim.ask.team) / victim.ask.weight
        if theirs <= own + 1 / ask.weight:
            return fault
        line.queue.remove(victim)
        line.grants[victim].set_result(fault)
        return None

    async def _wait(self, ask: Ask, line: Line) -> Outcome:
        began = self.clock.now()
        left = min(self.cfg.deadline, ask.deadline - began)
        waiter = Waiter(ask)
        grant = asyncio.get_running_loop().create_future()
        line.grants[waiter] = grant
        line.queue.push(waiter)
        self.metrics.gauge(_WAITING, line.queue.waiting, pool=line.key[1])
        try:
            outcome = await self._await_grant(grant, left, line)
        finally:
            line.queue.remove(waiter)
            line.grants.pop(waiter)
        waited = self.clock.now() - began
        self.metrics.observe(_WAITED, waited, pool=line.key[1])
        if isinstance(outcome, RoutingFault):
            self.metrics.count(_REFUSALS, why=outcome.code)
        return outcome

    async def _await_grant(
        self,
        grant: asyncio.Future,
        left: float,
        line: Line,
    ) -> Outcome:
        try:
            await asyncio.wait((grant,), timeout=left)
        except asyncio.CancelledError:
            # A caller can go away in the moment between the grant and this
            # task running. The slot would be held for ever and the target
            # would seem ever fuller, until it got nothing more.
            if grant.done() and isinstance(grant.result(), TargetState):
                self.picker.release(grant.result(), None, self.clock.now())
                self.pump(grant.result())
            raise
        if grant.done():
            return grant.result()
        wait = self._wait_for(line, line.queue.waiting)
        return faults.DEADLINE_UNMEETABLE.after(
            max(wait, 1),
            'no target had room in time',
        )

    def _wait_for(self, line: Line, ahead: int) -> float:
        held = self.picker.pools.held(line.key)
        return line.pacing.wait(ahead, held)

    def _line(self, key: PoolKey) -> Line:
        line = self.lines.get(key)
        if line is None:
            line = Line(key)
            self.lines[key] = line
        return line
