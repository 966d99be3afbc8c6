"""Startup, serving and shutdown of the router daemon."""

import asyncio
import gc
import logging

import attrs
from tornado.web import Application

from balsamreach.config.settings import Settings
from balsamreach.daemon.listeners import (
    OpenListener,
    open_listener,
    run_checks,
)
from balsamreach.daemon.parts import Parts, make_parts
from balsamreach.daemon.serve_guards import make_serve_guards
from balsamreach.faults import Fault
from balsamreach.gateway.base import CallerContext
from balsamreach.gateway.callers import make_callers_app
from balsamreach.gateway.guard import Guard
from balsamreach.gateway.health import (
    HealthHandler,
    MetricsHandler,
    ReadyHandler,
)
from balsamreach.gateway.operators import OperatorContext, make_operators_app
from balsamreach.gateway.operators_peers import peers_handlers
from balsamreach.gateway.operators_quarantine import quarantine_handlers
from balsamreach.gateway.operators_targets import (
    TargetsContext,
    TargetsHandler,
)
from balsamreach.routing.weighted_split import WeightedSplit
from balsamreach.services.base import Row
from balsamreach.table.rows import TARGET_PREFIX
from balsamreach.telemetry.logs import log_event

STARTING = 'starting'
READY = 'ready'
LEAVING = 'leaving'

_logger = logging.getLogger(__name__)
_MAX_FLUSHES = 20
_FLUSH_PAUSE_S = 1
#: Seconds in which handshakes in progress on a shared port complete. A
#: caller's machine sends a dropped SYN again after a second; the port must be
#: closed by then.
_HANDSHAKE_WAIT_S = 0.5


@attrs.define(eq=False)
class Router:
    """A router daemon.

    Parameters
    ----------
    cfg : Settings
        The router's settings.
    state : str
        ``STARTING``, ``READY`` or ``LEAVING``.
    ready : asyncio.Event
        Set when this router has the complete table.
    """

    cfg: Settings
    state: str = STARTING
    ready: asyncio.Event = attrs.field(factory=asyncio.Event)
    parts: Parts = attrs.field(init=False)
    guard: Guard = attrs.field(init=False)
    callers: OpenListener = attrs.field(init=False)
    operators: OpenListener = attrs.field(init=False)
    _tasks: list[asyncio.Task] = attrs.field(factory=list)

    async def start(self) -> None:
        """Open the listeners and begin to follow the table."""
        self.parts = make_parts(self.cfg)
        # Only unreadable TLS files make this fail, and the command has read
        # them before.
        fault = await self.parts.net.start()
        assert fault is None, fault
        guards = make_serve_guards(
            self.parts, self._callers_app(), self._operators_app()
        )
        self.guard = guards.callers
        self.callers = open_listener(self.cfg, self.cfg.callers, self.guard)
        self.operators = open_listener(
            self.cfg, self.cfg.operators, guards.operators
        )
        listeners = (self.callers, self.operators)
        self._tasks = [
            asyncio.create_task(self._follow_table()),
            asyncio.create_task(self.parts.budgets.run()),
            asyncio.create_task(self.parts.dispatcher.run()),
            asyncio.create_task(self.parts.routing.run()),
            asyncio.create_task(self.parts.watch.run()),
            asyncio.create_task(run_checks(listeners, self.parts.clock)),
        ]
        log_event(
            _logger,
            logging.INFO,
            'router_started',
            reason=f'listening for callers on {self.callers.address}',
        )

    def reload_tls(self) -> None:
        """Reload the PEM files of all listeners."""
        for listener in (self.callers, self.operators):
            _log_reload(listener.address, listener.reload_tls())
        net = self.parts.net
        _log_reload(net.me.address, net.reload_tls())

    async def leave(self) -> None:
        """Finish the requests in progress, record their bills and stop."""
        self._begin_to_leave()
        await self.parts.net.leave()
        await self._stop_accepting()
        await self._drain()
        await self._close_budgets()
        await self.parts.net.stop()
        await self._close()
        log_event(_logger, logging.INFO, 'router_left')

    def _begin_to_leave(self) -> None:
        self.state = LEAVING
        log_event(_logger, logging.INFO, 'router_leaving')
        grace = self.cfg.callers.leave_delay + self.cfg.callers.leave_timeout
        ends_at = self.parts.clock.now() + grace
        self.parts.dispatcher.admission.ends_at = ends_at

    async def _stop_accepting(self) -> None:
        # A load balancer that has not checked /readyz again still sends
        # connections. If the listener closed at once, they would be refused,
        # so it stays open until the balancer has noticed.
        await self.parts.clock.sleep(self.cfg.callers.leave_delay)
        is_shared = self.callers.drop_new_connections()
        if is_shared:
            await self.parts.clock.sleep(_HANDSHAKE_WAIT_S)
        self.callers.stop()
        self.guard.leave()
        if is_shared:
            # The connections accepted last may not have sent a request yet,
            # or this process may not have read it if it was paused. Closing
            # them now would reset them.
            await self.parts.clock.sleep(_HANDSHAKE_WAIT_S)

    async def _drain(self) -> None:
        try:
            async with asyncio.timeout(self.cfg.callers.leave_timeout):
                await self.parts.dispatcher.drain()
        except TimeoutError:
            log_event(
                _logger,
                logging.ERROR,
                'requests_cut_off',
                reason='leave_timeout exceeded',
                requests=len(self.parts.dispatcher.running),
            )
        # A body may end while the bills are recorded. Its request would be cut
        # off when the connections close.
        self.parts.dispatcher.admission.close()

    async def _close(self) -> None:
        await self.callers.server.close_all_connections()
        self.operators.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.parts.upstream.close()
        # Sending the last spans to a slow collector must not block the event
        # loop, which handles a second signal.
        await asyncio.to_thread(self.parts.net.tracing.close)

    async def _close_budgets(self) -> None:
        for _ in range(_MAX_FLUSHES):
            if await self.parts.budgets.flush() is None:
                break
            await self.parts.clock.sleep(_FLUSH_PAUSE_S)
        await self.parts.budgets.leave()

    async def _follow_table(self) -> None:
        table = self.parts.table
        table.view.watchers.append(self._update_targets)
        table.status.start()
        table.follower.start()
        while True:
            await table.follower.step()
            if self.state == STARTING and table.view.complete:
                self.state = READY
                # The table is never freed. Without freeze, each full garbage
                # collection would traverse it and block all open streams: 14
                # ms at 36,000 teams.
                gc.collect()
                gc.freeze()
                self.ready.set()
            await table.follower.pause()

    def _update_targets(self, changed_rows: tuple[Row, ...]) -> None:
        # Only changed rows: at 10,000 targets, processing all of them after
        # each edit would block all open streams for milliseconds.
        targets = self.parts.table.view.targets
        names = (
            row.key.removeprefix(TARGET_PREFIX)
            for row in changed_rows
            if row.key.startswith(TARGET_PREFIX)
        )
        self.parts.targets.put({name: targets.get(name) for name in names})

    def _callers_app(self) -> Application:
        parts = self.parts
        app = make_callers_app(
            CallerContext(
                cfg=self.cfg,
                view=parts.table.view,
                is_confirmed=parts.table.follower.is_confirmed,
                dispatcher=parts.dispatcher,
                clock=parts.clock,
                shares=WeightedSplit(),
                metrics=parts.metrics,
                tracing=parts.net.tracing,
            ),
        )
        self._add_health_handlers(app)
        return app

    def _operators_app(self) -> Application:
        parts = self.parts
        context = OperatorContext(
            cfg=self.cfg,
            view=parts.table.view,
            service=parts.service,
            editor=parts.table.editor,
            budgets=parts.budgets,
            status=parts.table.status,
        )
        app = make_operators_app(context)
        watched = TargetsContext(parts.targets, parts.clock)
        arguments = {'context': context, 'watched': watched}
        app.add_handlers('.*', [('/targets', TargetsHandler, arguments)])
        app.add_handlers(
            '.*',
            quarantine_handlers(context, parts.routing.quarantine),
        )
        app.add_handlers('.*', peers_handlers(context, parts.net))
        self._add_health_handlers(app)
        return app

    def _add_health_handlers(self, app: Application) -> None:
        app.add_handlers(
            '.*',
            [
                ('/healthz', HealthHandler),
                ('/readyz', ReadyHandler, {'state': lambda: self.state}),
                ('/metrics', MetricsHandler, {'metrics': self.parts.metrics}),
            ],
        )


def _log_reload(address: str, fault: Fault | None) -> None:
    event = 'tls_reloaded' if fault is None else 'tls_not_reloaded'
    log_event(
        _logger,
        logging.INFO if fault is None else logging.ERROR,
        event,
        reason=None if fault is None else fault.reason,
        address=address,
    )
