"""The routing decisions of one router, one method per step of a request."""

import random

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.peers.base import PeerNet
from balsamreach.routing import faults
from balsamreach.routing.admission import Admission
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
from balsamreach.routing.slot_request import SlotRequest
from balsamreach.routing.state import TargetState
from balsamreach.routing.suspects import Suspects
from balsamreach.targets.cache_feed import CacheChanges
from balsamreach.targets.registry import Targets
from balsamreach.telemetry.metrics import Metrics

_TICK_INTERVAL = 0.25
_RETRIES = 'balsamreach_retries_total'
_RETRIES_REFUSED = 'balsamreach_retries_refused_total'


@attrs.define(eq=False, kw_only=True)
class Routing:
    """Team limits, queues, target choice, retries and quarantine of one router.

    Parameters
    ----------
    limits : TeamLimits
        Concurrency and rate limits of teams.
    admission : Admission
        Queues and target choice.
    quarantine : Quarantine
        Keeps out requests that crash targets.
    feedback : Feedback
        Updates target health and quarantine when an exchange ends.
    retries : RetryBudget
        Bounds the number of retries and hedges.
    hedges : HedgeDelays
        Delay after which a second attempt is worth its load.
    clock : Clock
        Clock of the router.
    rng : random.Random
        Source of the jitter of retries.
    metrics : Metrics
        Metrics of the router.
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

    def check_back_off(self, key: PoolKey) -> RoutingFault | None:
        """Return a refusal if every target of a pool backs off, else None."""
        pool = self.admission.picker.pools.find(key)
        return None if pool is None else pool.check_back_off(self.clock.now())

    async def acquire_slot(self, ask: SlotRequest) -> Slot | RoutingFault:
        """Return a slot for a request's first attempt, or a refusal."""
        refusal = self.quarantine.check(ask.fingerprint)
        refusal = refusal or self.check_back_off(ask.pool)
        if refusal is not None:
            return refusal
        if self.quarantine.must_run_alone(ask.fingerprint):
            state = await self._run_alone(ask, frozenset())
        else:
            state = await self.admission.enter(ask)
        if isinstance(state, TargetState):
            self.retries.deposit()
        return self._make_slot(state, ask)

    async def retry(
        self,
        ask: SlotRequest,
        tried: frozenset[str],
    ) -> Slot | RoutingFault:
        """Return a slot at an untried target, within the retry budget."""
        refusal = self.quarantine.check(ask.fingerprint)
        refusal = refusal or self.check_back_off(ask.pool)
        if refusal is not None:
            return refusal
        if not self.retries.withdraw():
            self.metrics.count(_RETRIES_REFUSED)
            return faults.ALL_TARGETS_BUSY.because(
                'the retry budget is used up'
            )
        if self.quarantine.must_run_alone(ask.fingerprint):
            state = await self._run_alone(ask, tried)
        else:
            state = self._pick_untried(ask, tried)
        if isinstance(state, TargetState):
            self.metrics.count(_RETRIES)
        else:
            self.retries.tokens += 1
        return self._make_slot(state, ask)

    def acquire_hedge_slot(
        self,
        ask: SlotRequest,
        tried: frozenset[str],
    ) -> Slot | RoutingFault:
        """Return a slot for a hedge request, within the retry budget.

        A suspect is never hedged: it could crash both targets before either
        crash is known.
        """
        if self.quarantine.check(ask.fingerprint) is not None:
            return faults.ALL_TARGETS_BUSY.because(
                'the request is held back as a suspect or quarantined'
            )
        if self.quarantine.must_run_alone(ask.fingerprint):
            return faults.ALL_TARGETS_BUSY.because(
                'the request runs alone, so it is not hedged'
            )
        if not self.retries.withdraw():
            self.metrics.count(_RETRIES_REFUSED)
            return faults.ALL_TARGETS_BUSY.because(
                'the retry budget is used up'
            )
        state = self._pick_untried(ask, tried)
        if not isinstance(state, TargetState):
            self.retries.tokens += 1
        return self._make_slot(state, ask)

    def waiting_count(self, service: str) -> int:
        """Return the number of queued requests that a service could serve."""
        pools = self.admission.picker.pools
        return sum(
            pool_queue.queue.waiting
            for pool_queue in self.admission.pool_queues.values()
            if pool_queue.queue.waiting
            and pools.serves(service, pool_queue.key)
        )

    def apply_cache_events(self, target: str, news: CacheChanges) -> None:
        """Apply a target's prefix cache events to the choice of targets."""
        self.admission.picker.chooser.apply_cache_events(target, news)

    def release_slot(self, slot: Slot) -> None:
        """Release a slot and record how its exchange ended."""
        self.feedback.ended(slot)
        held_for = self.clock.now() - slot.taken_at
        self.admission.release(slot.state, slot.ask, held_for)

    async def run(self) -> None:
        """Call the periodic work until cancelled."""
        while True:
            await self.clock.sleep(_TICK_INTERVAL)
            self.tick()
            self.limits.tick()

    def tick(self) -> None:
        """Expire breaks, check pending crashes and serve the queues.

        Called several times a second: targets that recover, return or are
        added free capacity without any request ending.
        """
        states = self.admission.picker.pools.states
        self.quarantine.crash_detector.expire(self.clock.now())
        for name in self.quarantine.crash_detector.unexplained_targets():
            state = states.get(name)
            if state is not None:
                incarnation = state.target.report.incarnation
                self.quarantine.handle_report(name, incarnation)
        self.admission.serve_all_queues()

    def _pick_untried(
        self,
        ask: SlotRequest,
        tried: frozenset[str],
    ) -> TargetState | RoutingFault:
        # A retry does not queue: it would take the place of a request that has
        # not run yet.
        picker = self.admission.picker
        pool = picker.pools.find(ask.pool)
        state = None if pool is None else picker.pick(ask, pool, tried)
        if state is None:
            return faults.ALL_TARGETS_BUSY.because('no other target has room')
        return state

    async def _run_alone(
        self,
        ask: SlotRequest,
        tried: frozenset[str],
    ) -> TargetState | RoutingFault:
        pool = self.admission.picker.pools.find(ask.pool)
        if pool is None:
            return faults.NO_TARGET.because(f'no target serves {ask.pool[1]}')
        probation = self.admission.probation
        return await probation.enter(ask, pool.full_group, tried)

    def _make_slot(
        self,
        state: TargetState | RoutingFault,
        ask: SlotRequest,
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
    """Create the routing of one router.

    Parameters
    ----------
    cfg : Settings
        The router's settings.
    targets : Targets
        Registry of targets.
    clock : Clock
        Clock of the router.
    rng : random.Random
        Source of all randomness.
    metrics : Metrics
        Metrics of the router.
    net : PeerNet, optional
        Connections to other routers.
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
