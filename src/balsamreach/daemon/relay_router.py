"""The life of a router that passes requests through: start, serve, leave."""

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable

import attrs

from balsamreach.daemon.listeners import OpenListener, open_listener
from balsamreach.daemon.relay_parts import RelayParts
from balsamreach.gateway.probes import Probes
from balsamreach.gateway.relay_server import RelayServer
from balsamreach.relay import faults
from balsamreach.relay.call import RelayCall
from balsamreach.relay.caller_response import CallerResponse
from balsamreach.relay.codec import CallerRequest
from balsamreach.relay.faults import RelayFault
from balsamreach.relay.rotation import Rotation
from balsamreach.relay.run import RelayRun
from balsamreach.telemetry.logs import log_event

_logger = logging.getLogger(__name__)
_STARTING = 'starting'
_READY = 'ready'
_LEAVING = 'leaving'
_CROWDED = 'crowded'
#: Seconds for which a leaving router takes new connections, so that the
#: balancer has looked twice and sends none when the listener closes.
_LEAVE_DELAY_S = 2.5
#: Part of the grace after which requests in progress are no longer waited
#: for; the rest is for handing tokens back.
_DRAIN_SHARE = 0.85
_TICK_S = 0.1
_MS = 1000
#: Refusals that a newer configuration may lift.
_UNKNOWN = (faults.NO_ROUTE, faults.UNKNOWN_KEY)

Runner = Callable[[], Awaitable[None]]


@attrs.define(eq=False)
class RelayRouter:
    """One router daemon.

    Parameters
    ----------
    parts : RelayParts
        What it consists of.
    ready_path : str
        Path under which the balancer asks whether it is ready.
    feeds : tuple of callable
        What follows the outside world, each run in a task of its own.
    ticks : tuple of callable
        Called every tenth of a second.
    """

    parts: RelayParts
    ready_path: str
    feeds: tuple[Runner, ...]
    ticks: tuple[Callable[[], object], ...]
    state: str = _STARTING
    server: RelayServer = attrs.field(init=False)
    callers: OpenListener = attrs.field(init=False)
    probes: OpenListener = attrs.field(init=False)
    _tasks: list[asyncio.Task] = attrs.field(factory=list)
    _rotation: Rotation = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin in rotation."""
        self._rotation = Rotation(self.parts.run.link, self.parts.clock)

    async def start(self) -> None:
        """Open the listeners and begin to follow configuration and targets."""
        self._listen()
        fault = await self.parts.net.start()
        # Nothing but a TLS file can fail there, and those were read before.
        assert fault is None, fault
        holdings = self.parts.holdings
        runners = (
            *self.feeds,
            holdings.run,
            holdings.run_reports,
            holdings.parts.home_client.run,
            self.parts.sharing.run,
            self._tick,
        )
        self._tasks = [asyncio.ensure_future(run()) for run in runners]
        log_event(
            _logger,
            logging.INFO,
            'router_started',
            reason=f'callers on {self.callers.address}',
        )

    async def leave(self) -> None:
        """Finish the requests in progress, hand tokens back and stop."""
        self.state = _LEAVING
        log_event(_logger, logging.INFO, 'router_leaving')
        began = self.parts.clock.now()
        await self._turn_away()
        until = began + self.parts.cfg.relay.grace * _DRAIN_SHARE
        await self._drain(until)
        await self.parts.holdings.leave(until)
        await self._stop()
        log_event(_logger, logging.INFO, 'router_left')

    def _listen(self) -> None:
        cfg = self.parts.cfg
        self.server = RelayServer(
            self._answer,
            self.parts.clock,
            self._body_limit,
        )
        self.callers = open_listener(cfg, cfg.callers, self.server)
        probes = Probes(
            self.ready_path,
            lambda: self.state,
            self.parts.metrics,
        )
        self.probes = open_listener(cfg, cfg.probes, probes)

    async def _turn_away(self) -> None:
        self.server.leaving = True
        await self.parts.net.leave()
        await self.parts.clock.sleep(_LEAVE_DELAY_S)
        self.callers.stop()
        self.server.leave()

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.parts.net.stop()
        self.probes.stop()
        self.parts.exchange.close()

    async def _drain(self, until: float) -> None:
        try:
            async with asyncio.timeout(until - self.parts.clock.now()):
                await self.server.drain()
        except TimeoutError:
            log_event(
                _logger,
                logging.ERROR,
                'requests_cut_off',
                reason='the grace is over',
                requests=len(self.server.running),
            )

    async def _answer(
        self, request: CallerRequest, caller_response: CallerResponse
    ) -> None:
        call = await self._read(request)
        if isinstance(call, RelayFault):
            self._refuse(call, caller_response)
            return
        await RelayRun(self.parts.run, call, caller_response).run()

    async def _read(self, request: CallerRequest) -> RelayCall | RelayFault:
        parts = self.parts
        if parts.view.current is None:
            return faults.NOT_READY.because('no configuration')
        codec = parts.run.codec
        call = codec.read_request(request, parts.view.current)
        if call not in _UNKNOWN:
            return call
        # A route or key that this router doesn't know may be in a version
        # that it lacks. Told that there is none, a caller would not come back.
        if not await parts.freshness_check.confirm():
            return faults.NOT_READY.because('a newer configuration may exist')
        return codec.read_request(request, parts.view.current)

    def _refuse(
        self, fault: RelayFault, caller_response: CallerResponse
    ) -> None:
        log_event(
            _logger,
            logging.WARNING,
            'request_refused',
            reason=fault.reason,
            outcome=fault.code,
            configuration=self.parts.view.version,
            heard=self.parts.view.newest_known,
            confirmed_ms=_as_ms(self.parts.freshness_check.age()),
        )
        run = self.parts.run
        answer = run.codec.refuse(run.retry_jitter.add_jitter(fault))
        caller_response.start(answer.status, answer.headers)
        caller_response.write(answer.body)
        caller_response.finish()

    def _body_limit(self) -> int:
        catalogue = self.parts.view.current
        if catalogue is None:
            return self.parts.cfg.callers.body_limit
        return catalogue.limits.body_bytes

    async def _tick(self) -> None:
        while True:
            await self.parts.clock.sleep(_TICK_S)
            for tick in self.ticks:
                tick()
            if self.state == _STARTING and _knows_enough(self.parts):
                self.state = _READY
                log_event(_logger, logging.INFO, 'router_ready')
            self._turn_in_or_out()

    def _turn_in_or_out(self) -> None:
        if self.state not in {_READY, _CROWDED}:
            return
        is_out = self._rotation.is_out()
        if is_out == self.server.crowded:
            return
        self.server.crowded = is_out
        self.state = _CROWDED if is_out else _READY
        wait_ms = round(self.parts.run.link.backlog_seconds() * _MS)
        log_event(
            _logger,
            logging.INFO,
            f'router_{self.state}',
            reason=f'the link is {wait_ms} ms behind',
        )


def _as_ms(seconds: float) -> int | None:
    return None if math.isinf(seconds) else round(seconds * _MS)


def _knows_enough(parts: RelayParts) -> bool:
    return parts.view.current is not None and len(parts.places) > 0
