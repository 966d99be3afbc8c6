"""Startup, serving and shutdown of a router that relays requests."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import attrs

from balsamreach.daemon.forwarding_listener import (
    ForwardingListener,
    open_forwarding_listener,
)
from balsamreach.daemon.listeners import (
    OpenListener,
    open_listener,
    run_checks,
)
from balsamreach.daemon.relay_guards import RelayGuards, make_relay_guards
from balsamreach.daemon.relay_parts import RelayParts
from balsamreach.daemon.relay_requests import RelayRequests
from balsamreach.gateway.probes import Probes
from balsamreach.gateway.relay_server import RelayServer
from balsamreach.relay.connection_shedding import TICK_S, ConnectionShedder
from balsamreach.telemetry.logs import log_event

_logger = logging.getLogger(__name__)
_STARTING = 'starting'
_READY = 'ready'
_LEAVING = 'leaving'
_OUT_OF_ROTATION = 'crowded'
#: Seconds for which a leaving router still accepts connections, so that the
#: load balancer has checked readiness twice and sends no more connections when
#: the listener closes.
_LEAVE_DELAY_S = 2.5
#: Share of the grace period in which requests in progress may finish; the
#: rest is for returning tokens.
_DRAIN_SHARE = 0.85
_MS = 1000

Runner = Callable[[], Awaitable[None]]


@attrs.define(eq=False)
class RelayRouter:
    """A router daemon that relays requests.

    Parameters
    ----------
    parts : RelayParts
        Components of the router.
    ready_path : str
        Path of the load balancer's readiness check.
    feeds : tuple of callable
        Coroutine functions that follow the platform's data, such as the
        configuration; each is run in a task of its own.
    ticks : tuple of callable
        Functions that are called every tenth of a second.
    """

    parts: RelayParts
    ready_path: str
    feeds: tuple[Runner, ...]
    ticks: tuple[Callable[[], object], ...]
    state: str = _STARTING
    server: RelayServer = attrs.field(init=False)
    callers: OpenListener = attrs.field(init=False)
    probes: OpenListener = attrs.field(init=False)
    forwarding: ForwardingListener = attrs.field(init=False)
    shedder: ConnectionShedder = attrs.field(init=False)
    guards: RelayGuards = attrs.field(init=False)
    requests: RelayRequests = attrs.field(init=False)
    _tasks: list[asyncio.Task] = attrs.field(factory=list)

    async def start(self) -> None:
        """Open the listeners and begin to follow configuration and targets."""
        self._listen()
        fault = await self.parts.net.start()
        # Only unreadable TLS files make this fail, and they have been read
        # before.
        assert fault is None, fault
        holdings = self.parts.holdings
        runners = (
            *self.feeds,
            holdings.run,
            holdings.run_reports,
            holdings.parts.home_client.run,
            self.parts.sharing.loads.run,
            self.parts.sharing.failures.run,
            self.parts.sharing.speeds.run,
            self._tick,
            self._check_limits,
        )
        self._tasks = [asyncio.ensure_future(run()) for run in runners]
        log_event(
            _logger,
            logging.INFO,
            'router_started',
            reason=f'listening for callers on {self.callers.address}',
        )

    async def leave(self) -> None:
        """Finish the requests in progress, return tokens and stop."""
        self.state = _LEAVING
        log_event(_logger, logging.INFO, 'router_leaving')
        grace = self.parts.cfg.relay.grace
        deadline = self.parts.clock.now() + grace * _DRAIN_SHARE
        self.requests.admission.ends_at = deadline
        await self._stop_accepting()
        await self._drain(deadline)
        # A body may end while the tokens are returned. Its request would be
        # cancelled at its target when the router stops.
        self.requests.admission.close()
        await self.parts.holdings.leave(deadline)
        await self.stop()
        log_event(_logger, logging.INFO, 'router_left')

    async def stop(self) -> None:
        """Stop at once; requests in progress and held tokens are lost."""
        self._close_listeners()
        for task in (*self._tasks, *self.server.running):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.parts.net.stop()
        self.probes.stop()
        await self.parts.forwarding.stop()
        self.parts.exchange.close()

    def _listen(self) -> None:
        cfg = self.parts.cfg
        self.shedder = ConnectionShedder(self.parts.clock, self.parts.metrics)
        self.guards = make_relay_guards(self.parts)
        self.requests = RelayRequests(self.parts)
        self.server = RelayServer(self.requests.answer, self.parts.clock)
        self.callers = open_listener(
            cfg,
            cfg.callers,
            self.guards.guard_callers(self.server),
            self.shedder.admits,
        )
        probes = Probes(
            self.ready_path,
            lambda: self.state,
            self.parts.metrics,
        )
        self.probes = open_listener(
            cfg, cfg.probes, self.guards.guard_probes(probes)
        )
        self.forwarding = open_forwarding_listener(
            self.parts, self.guards, lambda: self.state == _READY
        )
        self.parts.forwarding.checker.enable()

    async def _stop_accepting(self) -> None:
        self.server.leaving = True
        await self.parts.net.leave()
        await self.parts.clock.sleep(_LEAVE_DELAY_S)
        self._close_listeners()

    def _close_listeners(self) -> None:
        """Accept no connection, and close those that wait for a request."""
        self.callers.stop()
        self.server.leave()
        self.forwarding.leave()

    async def _drain(self, deadline: float) -> None:
        try:
            async with asyncio.timeout(deadline - self.parts.clock.now()):
                # A body may end while other requests are waited for.
                while self.server.running or self.forwarding.server.running:
                    await self.server.drain()
                    await self.forwarding.server.drain()
        except TimeoutError:
            log_event(
                _logger,
                logging.ERROR,
                'requests_cut_off',
                reason='grace period expired',
                requests=len(self.server.running),
            )
            await self.requests.cut_off()

    async def _check_limits(self) -> None:
        listeners = (self.callers, self.probes, self.forwarding.listener)
        await run_checks(listeners, self.parts.clock)

    async def _tick(self) -> None:
        while True:
            await self.parts.clock.sleep(TICK_S)
            self.shedder.record_tick()
            self.parts.run.log.record_tick()
            for tick in self.ticks:
                tick()
            if self.state == _STARTING and _is_ready(self.parts):
                self.state = _READY
                log_event(_logger, logging.INFO, 'router_ready')
            self._update_rotation()

    def _update_rotation(self) -> None:
        if self.state not in {_READY, _OUT_OF_ROTATION}:
            return
        is_out = self.parts.link_parts.update()
        if is_out == self.server.crowded:
            return
        self.server.crowded = is_out
        self.state = _OUT_OF_ROTATION if is_out else _READY
        wait_ms = round(self.parts.run.link.backlog_seconds() * _MS)
        log_event(
            _logger,
            logging.INFO,
            f'router_{self.state}',
            reason=f'the link is {wait_ms} ms behind',
            **self.parts.link_parts.describe_cause(),
        )


def _is_ready(parts: RelayParts) -> bool:
    return parts.view.current is not None and len(parts.places) > 0
