"""Shares samples of engines' speeds among the routers of a large fleet.

Load pattern: hundreds of routers with one or two requests a second each, and
scores of engines. A router alone has a sample of an engine every minute;
together they have one or two a second.
"""

import logging
import math
from collections.abc import Iterable, Iterator

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.placement.engine_speeds import (
    IDLE_S,
    PRIOR_TOKENS,
    EngineSpeeds,
    SpeedSample,
)
from balsamreach.placement.relay_targets import RelayTargets
from balsamreach.placement.zone_loads import FLEET, ROUTER, ZONE
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.loads import TargetRates
from balsamreach.wire.membership import Member

_logger = logging.getLogger(__name__)
_INTERVAL_S = 1.0
#: Change of an estimate that a hub sends, as a difference of logarithms.
_MIN_CHANGE = math.log(1.1)
#: Seconds after which a hub sends the estimate of an engine again that has
#: had new samples. Otherwise its zone would take the engine for idle, and
#: forget a speed that doesn't change.
_RESEND_S = IDLE_S / 2
#: Maximum engines of one message: 40 bytes each, once a second, are within
#: what a router may receive.
_MAX_ENGINES = 100
_LOG_INTERVAL_S = 10
_MAX_UINT32 = (1 << 32) - 1
#: Maximum weight of a received sample, in tokens: what ten prompts that wait
#: for each other at a fast engine add up to in a second. With the weight of
#: an absurd one, a sample would determine the estimate for minutes.
_MAX_WEIGHT = 1_000_000
_MS = 1000


@attrs.frozen
class _Sent:
    """An estimate as it was sent last."""

    log_speed: float
    time: float


@attrs.define(eq=False)
class SpeedSharing:
    """Sends and receives speeds of engines through the zone's first hub.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    places : RelayTargets
        The targets.
    speeds : EngineSpeeds
        Speeds of the engines.
    clock : Clock
        Source of the current time.
    metrics : Metrics
        Shows the range of the speeds.
    """

    net: PeerNet
    places: RelayTargets
    speeds: EngineSpeeds
    clock: Clock
    metrics: Metrics
    _sent: dict[str, _Sent] = attrs.field(factory=dict)
    _logged_at: float = float('-inf')

    def start(self) -> None:
        """Begin to receive the messages of other routers."""
        self.net.on(TargetRates, self._receive)

    async def run(self) -> None:
        """Send samples and estimates once a second, until cancelled."""
        while True:
            await self.clock.sleep(_INTERVAL_S)
            self.run_round()

    def run_round(self) -> None:
        """Send what was gathered since the last round, where hubs exist."""
        self.speeds.retain({place.incarnation for place in self.places})
        gathered = self.speeds.take_gathered(_MAX_ENGINES)
        hub = self._hub()
        if hub is None:
            return
        if hub.incarnation == self.net.me.incarnation:
            self._send_to_hubs(gathered)
            self._send_to_zone()
        elif gathered:
            self.net.tell(hub.incarnation, _to_message(ROUTER, gathered))
        self._report()

    def _hub(self) -> Member | None:
        hubs = self.net.hubs.hubs_of(self.net.me.zone)
        return hubs[0] if hubs else None

    def _is_hub(self) -> bool:
        hub = self._hub()
        return hub is not None and hub.incarnation == self.net.me.incarnation

    def _send_to_hubs(self, gathered: list[SpeedSample]) -> None:
        if not gathered:
            return
        message = _to_message(ZONE, gathered)
        for zone in self.net.hubs.zones():
            hubs = self.net.hubs.hubs_of(zone)
            if hubs and zone != self.net.me.zone:
                self.net.tell(hubs[0].incarnation, message)

    def _send_to_zone(self) -> None:
        now = self.clock.now()
        due = [sample for sample in self.speeds.known() if self._is_due(sample)]
        # Those that were sent longest ago first, so that none is left out.
        due.sort(key=self._sent_at)
        due = due[:_MAX_ENGINES]
        if not due:
            return
        for sample in due:
            speed = self.speeds.speed(sample.engine)
            self._sent[sample.engine] = _Sent(math.log(speed), now)
        self.net.tell_zone(_to_message(FLEET, due))
        alive = {place.incarnation for place in self.places}
        for engine in tuple(self._sent):
            if engine not in alive:
                self._sent.pop(engine)

    def _sent_at(self, sample: SpeedSample) -> float:
        sent = self._sent.get(sample.engine)
        return -math.inf if sent is None else sent.time

    def _is_due(self, sample: SpeedSample) -> bool:
        sent = self._sent.get(sample.engine)
        if sent is None:
            return True
        since = self.clock.now() - sent.time
        # An engine without new samples approaches the median at all routers
        # alike.
        if self.speeds.age(sample.engine) >= since:
            return False
        log_speed = math.log(self.speeds.speed(sample.engine))
        has_changed = abs(log_speed - sent.log_speed) > _MIN_CHANGE
        return has_changed or since >= _RESEND_S

    async def _receive(self, _member: Member, message: TargetRates) -> None:
        is_hub = self._is_hub()
        for sample in self._read(message):
            if message.scope == FLEET:
                # Two routers that both take themselves for the hub would
                # replace what they have measured by each other's estimates.
                if not is_hub:
                    self.speeds.replace(sample)
            elif message.scope == ROUTER and is_hub:
                self.speeds.gather(sample)
            else:
                self.speeds.add(sample)

    def _read(self, message: TargetRates) -> Iterator[SpeedSample]:
        columns = zip(
            message.targets,
            message.tokens_per_second,
            message.weights,
            strict=False,
        )
        for engine, rate, weight in columns:
            # Estimates of dead incarnations would never be used.
            is_known = self.places.find_incarnation(engine) is not None
            if is_known and rate > 0 and weight > 0:
                weight = min(weight, _MAX_WEIGHT)
                yield SpeedSample(engine, rate / _MS, weight)

    def _report(self) -> None:
        now = self.clock.now()
        if now - self._logged_at < _LOG_INTERVAL_S:
            return
        engines = [
            sample.engine
            for sample in self.speeds.known()
            if sample.tokens >= PRIOR_TOKENS
        ]
        self.metrics.gauge('balsamreach_engine_speeds_known', len(engines))
        if not engines:
            return
        speeds = [self.speeds.speed(engine) for engine in engines]
        slowest, fastest = round(min(speeds), 1), round(max(speeds), 1)
        median = round(self.speeds.median(), 1)
        for which, speed in (
            ('slowest', slowest),
            ('median', median),
            ('fastest', fastest),
        ):
            self.metrics.gauge(
                'balsamreach_engine_speed_tokens_per_ms', speed, which=which
            )
        self._logged_at = now
        age = max(self.speeds.age(engine) for engine in engines)
        log_event(
            _logger,
            logging.INFO,
            'engine_speeds',
            engines=len(engines),
            slowest=slowest,
            median=median,
            fastest=fastest,
            age_ms=round(age * _MS),
        )


def _to_message(scope: str, samples: Iterable[SpeedSample]) -> TargetRates:
    listed = tuple(samples)
    return TargetRates(
        scope,
        tuple(sample.engine for sample in listed),
        tuple(_to_uint32(sample.speed * _MS) for sample in listed),
        tuple(_to_uint32(sample.tokens) for sample in listed),
    )


def _to_uint32(number: float) -> int:
    # A weight that has decayed to a fraction of a token still counts.
    return min(max(1, round(number)), _MAX_UINT32)
