"""All routing decisions of one router, behind a few calls for a request."""

import random

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.peers.base import PeerNet
from balsamreach.routing import faults
from balsamreach.routing.admission import Admission
from balsamreach.routing.ask import Ask
from balsamreach.routing.faults import RoutingFault
from balsamreach.routing.feedback import Feedback
from balsamreach.routing.hedges import HedgeDelays
from balsamreach.routing.limits import TeamLimits
from balsamreach.routing.picking import Picker
from balsamreach.routing.policies import make_chooser
from balsamreach.routing.pools import PoolKey, Pools
from balsamreach.routing.probation import Probation
from balsamreach.routing.quarantine import Quarantine
from balsamreach.routing.retries import RetryBudget
from balsamreach.routing.slot import Slot
from balsamreach.routing.state import TargetState
from balsamreach.routing.suspects import Suspects
from balsamreach.targets.cache_feed import CacheNews
from balsamreach.targets.registry import Targets
from balsamreach.telemetry.metrics import Metrics

_TICK = 0.25
_RETRIES = 'balsamreach_retries_total'
_RETRIES_REFUSED = 'balsamreach_retries_refused_total'


@attrs.define(eq=False, kw_only=True)
class Routing:
    """Limits, queues, choice, retries and quarantine of one router.

    Parameters
    ----------
    limits : TeamLimits
        Limits of teams' rows.
    admission : Admission
        Queues and choice.
    quarantine : Quarantine
        Requests that crash targets.
    feedback : Feedback
        Learns from the end of each exchange.
    retries : RetryBudget
        How many retries there may be.
    hedges : HedgeDelays
        When a second attempt is worth its load.
    clock : Clock
        Time.
    rng : random.Random
        Jitter of retries.
    metrics : Metrics
        Counters.
    """

    limits: TeamLimits
    admission: Admission
    quarantine: Quarantine
    feedback: Feedback
    retries: RetryBudget
    hedges: HedgeDelays
    clock: Clock
    rng: random.Random
    metrics: Metrics

    def refuse(self, key: PoolKey) -> RoutingFault | None:
        """Return a refusal if no target of a pool takes requests now."""
        pool = self.admission.picker.pools.find(key)
        return None if pool is None else pool.refuse(self.clock.now())

    async def enter(self, ask: Ask) -> Slot | RoutingFault:
        """Return a slot for a request's first attempt, or a refusal."""
        refusal = self.quarantine.check(ask.fingerprint)
        refusal = refusal or self.refuse(ask.pool)
        if refusal is not None:
            return refusal
        if self.quarantine.must_run_alone(ask.fingerprint):
            state = await self._run_alone(ask, frozenset())
        else:
            state = await self.admission.enter(ask)
        if isinstance(state, TargetState):
            self.retries.deposit()
        return self._slot(state, ask)

    async def again(
        self,
        ask: Ask,
        tried: frozenset[str],
    ) -> Slot | RoutingFault:
        """Return a slot at another target, within the retry budget."""
        refusal = self.quarantine.check(ask.fingerprint)
        refusal = refusal or self.refuse(ask.pool)
        if refusal is not None:
            return refusal
        if not self.retries.withdraw():
            self.metrics.count(_RETRIES_REFUSED)
            return faults.ALL_BUSY.because('the retry budget is used up')
        if self.quarantine.must_run_alone(ask.fingerprint):
            state = await self._run_alone(ask, tried)
        else:
            state = self._pick_other(ask, tried)
        if isinstance(state, TargetState):
            self.metrics.count(_RETRIES)
        else:
            self.retries.tokens += 1
        return self._slot(state, ask)

    def hedge(
        self,
        ask: Ask,
        tried: frozenset[str],
    ) -> Slot | RoutingFault:
        """Return a slot beside a slow attempt, within the retry budget.

        A request that is suspected of crashing targets is never at two at
        once: both could be lost before either is known to be.
        """
        if self.quarantine.check(ask.fingerprint) is not None:
            return faults.ALL_BUSY.because('the request is held back')
        if self.quarantine.must_run_alone(ask.fingerprint):
            return faults.ALL_BUSY.because('the request runs alone')
        if not self.retries.withdraw():
            self.metrics.count(_RETRIES_REFUSED)
            return faults.ALL_BUSY.because('the retry budget is used up')
        state = self._pick_other(ask, tried)
        if not isinstance(state, TargetState):
            self.retries.tokens += 1
        return self._slot(state, ask)

    def waiting(self, service: str) -> int:
        """Return how many requests wait here that a service could serve."""
        pools = self.admission.picker.pools
        return sum(
            line.queue.waiting
            for line in self.admission.lines.values()
            if line.queue.waiting and pools.serves(service, line.key)
        )

    def learn_cache(self, target: str, news: CacheNews) -> None:
        """Take in what a target's prefix cache stored and evicted."""
        self.admission.picker.chooser.learn(target, news)

    def leave(self, slot: Slot) -> None:
        """Give a slot back and learn from how its exchange ended."""
        self.feedback.ended(slot)
        held = self.clock.now() - slot.taken_at
        self.admission.leave(slot.state, slot.ask, held)

    async def run(self) -> None:
        """Follow time until cancelled."""
        while True:
            await self.clock.sleep(_TICK)
            self.tick()
            self.limits.tick()

    def tick(self) -> None:
        """Do what time alone brings about; called several times a second.

        Targets that recover, come back or are added make room that no
        request's end announces.
        """
        states = self.admission.picker.pools.states
        self.quarantine.crashes.expire(self.clock.now())
        for name in self.quarantine.crashes.pending():
            state = states.get(name)
            if state is not None:
                incarnation = state.target.report.incarnation
                self.quarantine.reported(name, incarnation)
        self.admission.pump_all()

    def _pick_other(
        self,
        ask: Ask,
        tried: frozenset[str],
    ) -> TargetState | RoutingFault:
        # A retry does not queue: while others wait, it would only take the
        # place of a request that has not run at all.
        picker = self.admission.picker
        pool = picker.pools.find(ask.pool)
        state = None if pool is None else picker.pick(ask, pool, tried)
        if state is None:
            return faults.ALL_BUSY.because('no other target has room')
        return state

    async def _run_alone(
        self,
        ask: Ask,
        tried: frozenset[str],
    ) -> TargetState | RoutingFault:
        pool = self.admission.picker.pools.find(ask.pool)
        if pool is None:
            return faults.NO_TARGET.because(f'no target serves {ask.pool[1]}')
        probation = self.admission.probation
        return await probation.enter(ask, pool.everyone, tried)

    def _slot(
        self,
        state: TargetState | RoutingFault,
        ask: Ask,
    ) -> Slot | RoutingFault:
        if isinstance(state, RoutingFault):
            return state
        return Slot(state, ask, self.clock, self.clock.now())


def make_routing(
    cfg: Settings,
    targets: Targets,
    clock: Clock,
    rng: random.Random,
    metrics: Metrics,
    net: PeerNet | None = None,
) -> Routing:
    """Put the routing of one router together.

    Parameters
    ----------
    cfg : Settings
        The router's settings.
    targets : Targets
        The registry.
    clock : Clock
        Time.
    rng : random.Random
        Source of all draws.
    metrics : Metrics
        Counters.
    net : PeerNet, optional
        Other routers.
    """
    pools = Pools(cfg.routing, targets, cfg.host.zone)
    chooser = make_chooser(cfg.routing.policy, rng)
    suspects = Suspects(cfg.routing.crash_targets)
    quarantine = Quarantine(suspects, clock, metrics, net)
    hedges = HedgeDelays(cfg.routing.hedge)
    admission = Admission(
        cfg.routing,
        Picker(pools, chooser, clock, rng),
        Probation(cfg.routing, clock),
        clock,
        metrics,
    )
    return Routing(
        limits=TeamLimits(clock, net, metrics),
        admission=admission,
        quarantine=quarantine,
        feedback=Feedback(quarantine, clock, rng, metrics, hedges),
        retries=RetryBudget(cfg.routing.retry_share),
        hedges=hedges,
        clock=clock,
        rng=rng,
        metrics=metrics,
    )
