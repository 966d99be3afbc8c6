"""Replays prompts against engines of two speeds, in virtual time.

Two thirds of the engines process 40 prompt tokens in a millisecond and one
third 97. Each step of an engine generates one token of each stream and
processes up to 4,096 prompt tokens; an event holds ten tokens.
"""

import heapq
import random

import attrs

from balsamreach.placement.engine_costs import EngineCosts
from balsamreach.placement.engine_speeds import EngineSpeeds
from balsamreach.placement.engines import EngineChooser
from balsamreach.placement.prompts import CacheEstimate, Part, Prompt
from balsamreach.placement.relay_targets import RelayTargets
from balsamreach.placement.target_failures import FailureTracker
from balsamreach.relay.chooser import InFlight
from balsamreach.telemetry.metrics import Metrics
from tests.relay_samples import ENGINES, entry
from tests.support import FakeClock

_SLOW, _FAST = 40, 97
_STEP_TOKENS = 4096
_STEP_S = 0.0112
_NETWORK_S = 0.03
_EVENT_TOKENS = 10
_CACHE_TOKENS = 600_000
_REPORT_S = 0.05
_REPORT_AGE_S = 0.15
_GAP_S = 0.6
_SHORT = 0.3
_LONG = 0.545
#: Share of responses that are slower on their way, and the factor.
_NOISY_SHARE = 0.15
_NOISE = 2.5


@attrs.define(eq=False)
class _Request:
    prompt: Prompt
    aim: float
    output: int
    in_flight: InFlight = None
    sent_at: float = 0
    unread: int = 0
    late: bool = True
    worst_gap: float = 0
    event_at: float = 0
    tokens: int = 0


@attrs.define(eq=False)
class _Engine:
    speed: float
    cache: CacheEstimate = attrs.field(factory=lambda: CacheEstimate(600_000))
    queue: list[_Request] = attrs.field(factory=list)
    streams: list[_Request] = attrs.field(factory=list)
    stepping: bool = False


@attrs.define(eq=False, slots=False)
class Replay:
    """One run of the load, seen through several routers."""

    seed: int
    with_speeds: bool
    seconds: float = 9
    warm_up: float = 3
    routers: int = 8
    engines: int = 70
    long_rate: float = 68
    short_rate: float = 190
    done: list[_Request] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        # Apart from the noise, both scores get the same requests.
        self.rng = random.Random(self.seed)
        self.noise = random.Random(self.seed)
        self.clock = FakeClock()
        self.began = self.clock.now()
        self.events = []
        self.count = 0
        self.machines = {
            f'e{number}': _Engine(_FAST if number % 3 == 2 else _SLOW)
            for number in range(self.engines)
        }
        # Samples reach all routers at once; sharing has tests of its own.
        self.speeds = EngineSpeeds(self.clock)
        self.tables = [self._table() for _ in range(self.routers)]
        self.choosers = [self._chooser(n) for n in range(self.routers)]
        self.trackers = [self._tracker(table) for table in self.tables]

    def run(self) -> 'Replay':
        """Run to the end of all requests."""
        self._after(0, self._report)
        for rate, make in (
            (self.long_rate, self._long),
            (self.short_rate, self._short),
        ):
            self._after(0, self._arrive, rate, make)
        while self.events:
            at, _, action, args = heapq.heappop(self.events)
            self.clock.seconds = at
            action(*args)
        return self

    def share_on_time(self, *, long: bool) -> float:
        """Return the share of requests whose first event is in time."""
        found = [one for one in self.done if (one.aim is _LONG) == long]
        return sum(not one.late for one in found) / len(found)

    def share_of_smooth_streams(self) -> float:
        """Return the share of streams without a gap of 600 ms."""
        smooth = [one for one in self.done if one.worst_gap < _GAP_S]
        return len(smooth) / len(self.done)

    def _table(self) -> RelayTargets:
        table = RelayTargets(random.Random(1))
        for number, name in enumerate(self.machines):
            table.put(entry(name, ENGINES, zone=f'z{number % 3}'))
        return table

    def _tracker(self, table: RelayTargets) -> FailureTracker:
        rng = random.Random(1)
        return FailureTracker('router', table, self.clock, rng, Metrics())

    def _chooser(self, number: int) -> EngineChooser:
        rng = random.Random(f'{self.seed} {number}')
        costs = EngineCosts(f'z{number % 3}', self.speeds, rng)
        return EngineChooser(costs.zone, costs, lambda: self.with_speeds)

    def _after(self, seconds, action, *args) -> None:
        at = self.clock.now() + seconds
        self.count += 1
        heapq.heappush(self.events, (at, self.count, action, args))

    def _long(self) -> _Request:
        tokens = min(60_000, int(self.rng.lognormvariate(9.14, 0.72)) + 500)
        document = int(400 * self.rng.random() ** 2)
        shared = min(tokens // 2, 1000 + document * 37 % 9000)
        return self._request(f'doc-{document}', shared, tokens, _LONG)

    def _short(self) -> _Request:
        return self._request('system', 200, 250, _SHORT)

    def _request(self, part, shared, tokens, aim) -> _Request:
        parts = (Part(part, shared), Part('own', tokens - shared))
        prompt = Prompt(
            model='m', tokens=tokens, max_output_tokens=300, parts=parts
        )
        return _Request(prompt, aim, int(self.rng.expovariate(1 / 150)) + 10)

    def _arrive(self, rate, make) -> None:
        if self.clock.now() - self.began > self.seconds:
            return
        self._after(self.rng.expovariate(rate), self._arrive, rate, make)
        number = self.rng.randrange(self.routers)
        request, chooser = make(), self.choosers[number]
        places = self.tables[number].of_service(ENGINES)
        place = chooser.choose(request.prompt, places, request.aim)
        unread = chooser.record_sent(request.prompt, place, _CACHE_TOKENS)
        tracker = self.trackers[number]
        exchange = tracker.begin(place, is_plain=False)
        request.in_flight = InFlight(place, tracker, exchange, unread)
        request.sent_at = self.clock.now()
        machine = self.machines[place.entry.target_id]
        shared = request.prompt.shared
        cached = machine.cache.cached_tokens(shared)
        machine.cache.add(shared)
        request.unread = request.prompt.tokens - cached
        machine.queue.append(request)
        if not machine.stepping:
            machine.stepping = True
            self._after(0, self._step, machine)

    def _step(self, machine) -> None:
        room, read = _STEP_TOKENS, []
        while machine.queue and room:
            first = machine.queue[0]
            taken = min(room, first.unread)
            first.unread -= taken
            room -= taken
            if first.unread:
                break
            read.append(machine.queue.pop(0))
        processing = (_STEP_TOKENS - room) / machine.speed / 1000
        self._after(max(_STEP_S, processing), self._end_step, machine, read)

    def _end_step(self, machine, read) -> None:
        now = self.clock.now()
        for request in tuple(machine.streams):
            request.tokens += 1
            if request.tokens % _EVENT_TOKENS == 0:
                gap = now - request.event_at
                request.worst_gap = max(request.worst_gap, gap)
                request.event_at = now
            if request.tokens >= request.output:
                machine.streams.remove(request)
                request.in_flight.end()
                self._finish(request)
        for request in read:
            machine.streams.append(request)
            request.event_at = now
            self._after(_NETWORK_S, self._first_event, request)
        machine.stepping = bool(machine.streams or machine.queue)
        if machine.stepping:
            self._step(machine)

    def _first_event(self, request) -> None:
        taken = self.clock.now() - request.sent_at
        request.late = taken > request.aim
        flight = request.in_flight
        flight.head_received()
        if self.noise.random() < _NOISY_SHARE:
            taken *= _NOISE
        self.choosers[0].record_first_event(
            flight.place, flight.sent_unread, flight.sent_queued, taken
        )

    def _finish(self, request) -> None:
        if request.sent_at - self.began >= self.warm_up:
            self.done.append(request)

    def _report(self) -> None:
        if self.clock.now() - self.began > self.seconds:
            return
        self._after(_REPORT_S, self._report)
        self._after(_REPORT_AGE_S, self._receive, self._others())

    def _receive(self, sums) -> None:
        for table, reported in zip(self.tables, sums, strict=True):
            for place, load in zip(table, reported, strict=True):
                place.others_running = load[0]
                place.others_unread = load[1]

    def _others(self) -> list:
        rows = [[(one.running, one.unread) for one in t] for t in self.tables]
        sums = [
            (sum(one[0] for one in column), sum(one[1] for one in column))
            for column in zip(*rows, strict=True)
        ]
        return [
            [
                (total[0] - own[0], total[1] - own[1])
                for total, own in zip(sums, row, strict=True)
            ]
            for row in rows
        ]
