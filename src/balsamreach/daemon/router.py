"""The router daemon's life: start, serve, leave."""

import asyncio
import gc
import logging

import attrs
from tornado.web import Application

from balsamreach.config.settings import Settings
from balsamreach.daemon.listeners import OpenListener, open_listener
from balsamreach.daemon.parts import Parts, make_parts
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
_LAST_FLUSHES = 20
_FLUSH_PAUSE_S = 1
#: Handshakes under way on a shared port end in this time; a caller's machine
#: tries again after a second, so the port must be closed by then.
_HANDSHAKES_S = 0.5


@attrs.define(eq=False)
class Router:
    """One router daemon.

    Parameters
    ----------
    cfg : Settings
        Its settings.
    ready : asyncio.Event
        Set once the table is in force here.
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
        # The command has read the TLS files before; nothing else can fail.
        fault = await self.parts.net.start()
        assert fault is None, fault
        callers, metrics = self.cfg.callers, self.parts.metrics
        self.guard = Guard(self._callers_app(), callers, metrics)
        self.callers = open_listener(self.cfg, callers, self.guard)
        self.operators = open_listener(
            self.cfg,
            self.cfg.operators,
            Guard(self._operators_app(), callers, metrics),
        )
        self._tasks = [
            asyncio.create_task(self._follow_table()),
            asyncio.create_task(self.parts.budgets.run()),
            asyncio.create_task(self.parts.dispatcher.run()),
            asyncio.create_task(self.parts.routing.run()),
            asyncio.create_task(self.parts.watch.run()),
        ]
        log_event(
            _logger,
            logging.INFO,
            'router_started',
            reason=f'callers on {self.callers.address}',
        )

    def reload_tls(self) -> None:
        """Load the PEM files of the listeners again."""
        for listener in (self.callers, self.operators):
            _log_reload(listener.address, listener.reload_tls())
        net = self.parts.net
        _log_reload(net.me.address, net.reload_tls())

    async def leave(self) -> None:
        """Finish the requests in progress, record their bills and stop."""
        self.state = LEAVING
        log_event(_logger, logging.INFO, 'router_leaving')
        await self.parts.net.leave()
        await self._stop_accepting()
        await self._drain()
        await self._leave_budgets()
        await self.parts.net.stop()
        await self._close()
        log_event(_logger, logging.INFO, 'router_left')

    async def _stop_accepting(self) -> None:
        # A balancer that has not looked at /readyz yet goes on sending. If
        # the listener closed at once, those callers would see a refused
        # connection; so it is kept open until the balancer must know.
        await self.parts.clock.sleep(self.cfg.callers.leave_delay)
        is_shared = self.callers.turn_away()
        if is_shared:
            await self.parts.clock.sleep(_HANDSHAKES_S)
        self.callers.stop()
        self.guard.leave()
        if is_shared:
            # Whoever was let in last has yet to send its request, and this
            # process, if it stood still meanwhile, to read it. Closed before,
            # such a connection would be reset.
            await self.parts.clock.sleep(_HANDSHAKES_S)

    async def _drain(self) -> None:
        try:
            async with asyncio.timeout(self.cfg.callers.leave_timeout):
                await self.parts.dispatcher.drain()
        except TimeoutError:
            log_event(
                _logger,
                logging.ERROR,
                'requests_cut_off',
                reason='leave_timeout passed',
                requests=len(self.parts.dispatcher.running),
            )

    async def _close(self) -> None:
        await self.callers.server.close_all_connections()
        self.operators.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.parts.upstream.close()
        # The collector may be slow; a second signal must be taken meanwhile.
        await asyncio.to_thread(self.parts.net.tracing.close)

    async def _leave_budgets(self) -> None:
        for _ in range(_LAST_FLUSHES):
            if await self.parts.budgets.flush() is None:
                break
            await self.parts.clock.sleep(_FLUSH_PAUSE_S)
        await self.parts.budgets.leave()

    async def _follow_table(self) -> None:
        table = self.parts.table
        table.view.watchers.append(self._take_rows)
        table.status.start()
        table.follower.start()
        while True:
            await table.follower.step()
            if self.state == STARTING and table.view.complete:
                self.state = READY
                # The table lives as long as the process. Each full run of
                # the garbage collector would go through it, 14 ms at 36,000
                # teams, while every open stream stands still.
                gc.collect()
                gc.freeze()
                self.ready.set()
            await table.follower.pause()

    def _take_rows(self, fresh: tuple[Row, ...]) -> None:
        # Only what changed: at 10,000 targets a look through all of them for
        # each edit would hold up every open stream for milliseconds.
        targets = self.parts.table.view.targets
        names = (
            row.key.removeprefix(TARGET_PREFIX)
            for row in fresh
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
        self._add_health(app)
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
        self._add_health(app)
        return app

    def _add_health(self, app: Application) -> None:
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
