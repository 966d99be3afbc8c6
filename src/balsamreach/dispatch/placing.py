"""Team limits and target slots for calls, adapted to the dispatch layer."""

import attrs

from balsamreach.dispatch import faults
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.routing import faults as routing_faults
from balsamreach.routing.faults import RoutingFault
from balsamreach.routing.pools import PoolKey
from balsamreach.routing.retries import backoff
from balsamreach.routing.routing import Routing
from balsamreach.routing.slot import Slot
from balsamreach.routing.slot_request import SlotRequest
from balsamreach.table.rows import ENGINE
from balsamreach.telemetry import hops

#: Minimum weight: a team of weight 0 still gets the capacity that others
#: leave.
_MIN_WEIGHT = 0.01

_DISPATCH_FAULTS = {
    routing_faults.NO_TARGET: faults.NO_TARGET,
    routing_faults.ALL_TARGETS_BUSY: faults.OVERLOADED,
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
    """Applies team limits to calls and allocates slots at targets."""

    routing: Routing

    def admit(self, call: Call) -> DispatchFault | None:
        """Count a call against its team's limits, or return why not.

        Each admitted call must be passed to `finish` once it has ended.
        """
        refusal = self.routing.limits.enter(call.team, call.reserved_tokens)
        return None if refusal is None else _translate(refusal)

    def finish(self, call: Call, used_tokens: int) -> None:
        """Stop counting a call; unused reserved tokens are returned."""
        self.routing.limits.release(
            call.team, call.reserved_tokens, used_tokens
        )

    def check_available(self, call: Call) -> DispatchFault | None:
        """Return why no target accepts the call now, None if one may."""
        refusal = self.routing.check_back_off(_pool_of(call))
        return None if refusal is None else _translate(refusal)

    async def acquire_slot(self, call: Call) -> Slot | DispatchFault:
        """Wait in the fair queue and return a slot for the first attempt."""
        with hops.hop('queue'):
            slot = await self.routing.acquire_slot(_make_ask(call))
        return _translate(slot) if isinstance(slot, RoutingFault) else slot

    async def place_retry(
        self,
        call: Call,
        tried: set[str],
    ) -> Slot | DispatchFault:
        """Return a slot at another target after a jittered backoff.

        Parameters
        ----------
        call : Call
            A request that may run again.
        tried : set of str
            Names of the targets of earlier attempts.
        """
        pause = backoff(len(tried), self.routing.rng)
        await self.routing.clock.sleep(pause)
        slot = await self.routing.retry(_make_ask(call), frozenset(tried))
        return _translate(slot) if isinstance(slot, RoutingFault) else slot

    def hedge_delay(self, call: Call) -> float:
        """Return the delay before a hedge in seconds; 0 for no hedge."""
        if not call.idempotent:
            return 0
        return self.routing.hedges.delay((call.kind, call.name))

    def place_hedge(self, call: Call, tried: set[str]) -> Slot | DispatchFault:
        """Return a slot for a hedge that runs beside the first attempt."""
        slot = self.routing.acquire_hedge_slot(
            _make_ask(call), frozenset(tried)
        )
        return _translate(slot) if isinstance(slot, RoutingFault) else slot

    def release(self, slot: Slot) -> None:
        """Release a slot."""
        self.routing.release_slot(slot)


def _make_ask(call: Call) -> SlotRequest:
    req = call.req
    team = call.team
    # Priority scales the weight instead of taking precedence, so that a team
    # with high priority cannot starve the others.
    weight = max(team.weight, _MIN_WEIGHT) * (1 + team.priority)
    return SlotRequest(
        team=team.name,
        pool=_pool_of(call),
        fingerprint=f'{team.name}-{req.fingerprint}',
        deadline=call.deadline,
        prefix=call.prefix if call.kind == ENGINE else b'',
        weight=weight,
        cost=max(1, call.reserved_tokens),
        idempotent=call.idempotent,
    )


def _pool_of(call: Call) -> PoolKey:
    return call.kind, call.name


def _translate(fault: RoutingFault) -> DispatchFault:
    return attrs.evolve(
        _DISPATCH_FAULTS[fault],
        reason=fault.reason,
        retry_after=fault.retry_after,
    )
