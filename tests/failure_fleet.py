"""Routers that share failures of engines, without sockets."""

import random

import attrs

from balsamreach.dispatch.upstream import NOT_SENT, ConnectFailure
from balsamreach.placement.engines import EngineChooser
from balsamreach.placement.failure_sharing import FailureSharing
from balsamreach.placement.prompts import Prompt
from balsamreach.placement.relay_targets import RelayTargets
from balsamreach.placement.target_failures import FailureTracker
from balsamreach.relay.try_limit import TryLimit
from balsamreach.telemetry.metrics import Metrics
from tests.fake_net import FakeNet
from tests.relay_samples import ENGINES, entry
from tests.support import FakeClock

ZONES = ('zone-a', 'zone-b', 'zone-c')
_PROMPT = Prompt(model='m', tokens=2000, max_output_tokens=50, parts=())
_REFUSED = NOT_SENT.because_of(ConnectFailure.REFUSED, 'refused')
_TIMED_OUT = NOT_SENT.because_of(ConnectFailure.TIMED_OUT, 'timed out')


@attrs.define(eq=False)
class FleetRouter:
    """What one router knows of targets and their failures."""

    places: RelayTargets
    tracker: FailureTracker
    sharing: FailureSharing

    def place(self, name):
        return self.places.find(name)

    def allows(self, name):
        """Return whether a request may be sent to a target."""
        place, now = self.place(name), self.tracker.clock.now()
        return place.breaker.allows_request(now) and self.tracker.allows(place)

    def fail(self, name, failure=ConnectFailure.REFUSED):
        """See a connection to a target fail."""
        place, now = self.place(name), self.tracker.clock.now()
        place.breaker.record_start()
        exchange = self.tracker.begin(place, is_plain=False)
        self.tracker.exchanges.end(exchange)
        place.breaker.record_failure(now, self.tracker.rng, certain=True)
        self.tracker.record_not_connected(place, failure)

    def answer(self, name):
        """See a target respond."""
        place = self.place(name)
        place.breaker.record_start()
        exchange = self.tracker.begin(place, is_plain=False)
        self.tracker.record_response(exchange)
        self.tracker.exchanges.end(exchange)
        place.breaker.record_success()


def join(net, clock, name, zone, entries, seed=1):
    """Return a router that has joined the fleet."""
    rng = random.Random(f'{seed} {name}')
    places = RelayTargets(rng)
    for one in entries:
        places.put(one)
    peers = net.join(name, zone)
    tracker = FailureTracker(name, places, clock, rng, Metrics())
    sharing = FailureSharing(peers, tracker, clock)
    sharing.start()
    return FleetRouter(places, tracker, sharing)


def engines(count):
    """Return entries of engines, spread over the zones."""
    return [
        entry(f'e{number}', ENGINES, zone=ZONES[number % len(ZONES)])
        for number in range(count)
    ]


@attrs.define(eq=False)
class _Request:
    """A request that has no response yet."""

    router: FleetRouter
    limit: TryLimit
    tried: set[str] = attrs.field(factory=set)
    connected_at: float = 0


@attrs.define(eq=False)
class Replay:
    """Load of many routers on engines, of which some stop to respond.

    A step takes 5 ms: a refused connection takes one, a message between two
    routers too. ``retried`` and ``rejected`` count requests.
    """

    step_s = 0.005
    answer_s = 0.3

    hubs: int
    seed: int
    down: dict[str, ConnectFailure] = attrs.field(factory=dict)
    retried: int = 0
    rejected: int = 0
    attempts: int = 0
    served: int = 0
    clock: FakeClock = attrs.field(factory=FakeClock)
    net: FakeNet = attrs.field(init=False)
    rng: random.Random = attrs.field(init=False)
    routers: list[FleetRouter] = attrs.field(init=False)
    _pending: list[_Request] = attrs.field(factory=list)
    _running: list = attrs.field(factory=list)
    _waiting: list = attrs.field(factory=list)

    def __attrs_post_init__(self):
        self.net = FakeNet(hubs_per_zone=self.hubs)
        self.rng = random.Random(self.seed)
        self.routers = [
            join(
                self.net,
                self.clock,
                f'r{number}',
                ZONES[number % len(ZONES)],
                engines(45),
                self.seed,
            )
            for number in range(86)
        ]

    async def run(self, seconds, per_second=600):
        """Run for some seconds of the fleet's load."""
        for step in range(round(seconds / self.step_s)):
            self._add_requests(per_second * self.step_s)
            self._end_requests()
            self._try_requests()
            await self.net.settle()
            if not step % 4:
                self._run_rounds()
            self.clock.advance(self.step_s)

    def _add_requests(self, mean):
        count = int(mean + self.rng.random())
        for router in self.rng.choices(self.routers, k=count):
            limit = TryLimit(self.clock.now(), 0.545)
            self._pending.append(_Request(router, limit))

    def _run_rounds(self):
        for router in self.routers:
            router.sharing.run_round()
        for number in range(45):
            places = [one.place(f'e{number}') for one in self.routers]
            total = sum(place.running for place in places)
            for place in places:
                place.others_running = total - place.running

    def _end_requests(self):
        now = self.clock.now()
        for ends_at, router, place, exchange in list(self._running):
            if ends_at <= now:
                self._running.remove((ends_at, router, place, exchange))
                place.running -= 1
                router.tracker.exchanges.end(exchange)
                place.breaker.record_success()

    def _try_requests(self):
        now = self.clock.now()
        pending = self._pending
        self._pending = []
        for request in pending:
            if request.connected_at > now:
                self._pending.append(request)
            else:
                self._try(request, now)

    def _try(self, request, now):
        router = request.router
        eligible = [
            one for one in router.places if one.incarnation not in request.tried
        ]
        is_retry = bool(request.tried)
        usable = router.tracker.usable(eligible, is_retry=is_retry)
        self.rng.shuffle(usable)
        chooser = EngineChooser(router.sharing.net.me.zone)
        place = chooser.choose(_PROMPT, usable, 1)
        self.attempts += 1
        failure = self.down.get(place.incarnation)
        if failure is None:
            place.breaker.record_start()
            exchange = router.tracker.begin(place, is_plain=False)
            router.tracker.record_response(exchange)
            place.running += 1
            ends_at = now + self.answer_s
            self._running.append((ends_at, router, place, exchange))
            self.served += 1
            return
        router.fail(place.incarnation, failure)
        self._record_failure(request, place, failure)

    def _record_failure(self, request, place, failure):
        self.retried += not request.tried
        request.tried.add(place.incarnation)
        is_refused = failure is ConnectFailure.REFUSED
        request.limit.record(_REFUSED if is_refused else _TIMED_OUT)
        # A time-out takes 200 ms.
        pause = 0 if is_refused else 0.2
        request.connected_at = self.clock.now() + pause
        if request.limit.allows(request.connected_at):
            self._pending.append(request)
        else:
            self.rejected += 1
