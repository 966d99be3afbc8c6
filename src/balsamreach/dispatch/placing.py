"""Finds slots at targets for a call, in the terms of the dispatch layer."""

import attrs

from balsamreach.dispatch import faults
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.routing import faults as routing_faults
from balsamreach.routing.ask import Ask
from balsamreach.routing.faults import RoutingFault
from balsamreach.routing.pools import PoolKey
from balsamreach.routing.retries import backoff
from balsamreach.routing.routing import Routing
from balsamreach.routing.slot import Slot
from balsamreach.table.rows import ENGINE
from balsamreach.telemetry import hops

#: A team of weight 0 gets what the others leave.
_LEAST_WEIGHT = 0.01

_TURNED = {
    routing_faults.NO_TARGET: faults.NO_TARGET,
    routing_faults.ALL_BUSY: faults.OVERLOADED,
    routing_faults.TARGETS_BACK_OFF: faults.TARGETS_BACK_OFF,
    routing_faults.RATE_LIMITED: faults.RATE_LIMITED,
    routing_faults.TEAM_CONCURRENCY: faults.TEAM_CONCURRENCY,
    routing_faults.QUEUE_FULL: faults.QUEUE_FULL,
    routing_faults.DEADLINE_UNMEETABLE: faults.DEADLINE_UNMEETABLE,
    routing_faults.QUARANTINED: faults.QUARANTINED,
    routing_faults.SUSPECTED: faults.REQUEST_SUSPECTED,
}


@attrs.define
class Placer:
    """Counts calls in and out of their teams' limits and places them."""

    routing: Routing

    def enter(self, call: Call) -> DispatchFault | None:
        """Count a call in, or return why its team must wait.

        A call that was counted in must ``close`` once it has ended.
        """
        refusal = self.routing.limits.enter(call.team, call.most_tokens)
        return None if refusal is None else _turn(refusal)

    def close(self, call: Call, used_tokens: int) -> None:
        """Count a call out; the tokens it did not use count no more."""
        self.routing.limits.leave(call.team, call.most_tokens, used_tokens)

    def refuse(self, call: Call) -> DispatchFault | None:
        """Return why no target takes the call now, None if one may."""
        refusal = self.routing.refuse(_pool_of(call))
        return None if refusal is None else _turn(refusal)

    async def place(self, call: Call) -> Slot | DispatchFault:
        """Return a slot for the first attempt, waiting in fair turn."""
        with hops.hop('queue'):
            slot = await self.routing.enter(_ask(call))
        return _turn(slot) if isinstance(slot, RoutingFault) else slot

    async def place_again(
        self,
        call: Call,
        tried: set[str],
    ) -> Slot | DispatchFault:
        """Return a slot at another target after a jittered pause.

        Parameters
        ----------
        call : Call
            A request that may run again.
        tried : set of str
            Names of targets that earlier attempts went to.
        """
        pause = backoff(len(tried), self.routing.rng)
        await self.routing.clock.sleep(pause)
        slot = await self.routing.again(_ask(call), frozenset(tried))
        return _turn(slot) if isinstance(slot, RoutingFault) else slot

    def hedge_delay(self, call: Call) -> float:
        """Return after how many seconds to try twice; 0 for never."""
        if not call.idempotent:
            return 0
        return self.routing.hedges.delay((call.kind, call.name))

    def hedge(self, call: Call, tried: set[str]) -> Slot | DispatchFault:
        """Return a slot for a second attempt beside the first."""
        slot = self.routing.hedge(_ask(call), frozenset(tried))
        return _turn(slot) if isinstance(slot, RoutingFault) else slot

    def leave(self, slot: Slot) -> None:
        """Give a slot back."""
        self.routing.leave(slot)


def _ask(call: Call) -> Ask:
    req = call.req
    team = call.team
    # Priority scales the weight rather than going before it, so that a team
    # of high priority cannot starve the others for good.
    weight = max(team.weight, _LEAST_WEIGHT) * (1 + team.priority)
    return Ask(
        team=team.name,
        pool=_pool_of(call),
        fingerprint=f'{team.name}-{req.fingerprint}',
        deadline=call.deadline,
        prefix=call.prefix if call.kind == ENGINE else b'',
        weight=weight,
        cost=max(1, call.most_tokens),
        idempotent=call.idempotent,
    )


def _pool_of(call: Call) -> PoolKey:
    return call.kind, call.name


def _turn(fault: RoutingFault) -> DispatchFault:
    return attrs.evolve(
        _TURNED[fault],
        reason=fault.reason,
        retry_after=fault.retry_after,
    )
