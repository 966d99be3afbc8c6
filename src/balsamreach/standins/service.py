"""Simulated plain service that echoes its requests."""

import asyncio
import collections
from typing import Any

import attrs
from tornado.web import Application

from balsamreach.clock import Clock
from balsamreach.standins.handlers import StandinHandler, log_nothing

_CHANGEABLE = frozenset(
    (
        'delay_ms',
        'fail',
        'silent',
        'leaving',
        'leaving_header',
        'rejects',
        'retry_after_s',
    ),
)


@attrs.define
class ServiceSettings:
    """Settings of a plain service, including its faults.

    Parameters
    ----------
    ip, port : str, int
        Listen address; port 0 selects a free one.
    delay_ms : float
        Milliseconds that each response takes.
    fail : bool
        Whether every request is answered with 500.
    leaving_header : str
        Value of the response header ``X-Leaving``; no header if empty.
    rejects : bool
        Whether every request is answered with 503 without being run.
    retry_after_s : float
        ``Retry-After`` of a 503 in seconds; 0 for no header.
    """

    ip: str = '127.0.0.1'
    port: int = 0
    zone: str = 'zone-a'
    incarnation: str = 'first'
    slots: int = 64
    delay_ms: float = 0
    fail: bool = False
    silent: bool = False
    leaving: bool = False
    leaving_header: str = ''
    rejects: bool = False
    retry_after_s: float = 0


@attrs.define(eq=False)
class PlainService:
    """State of a plain service, independent of its HTTP interface."""

    cfg: ServiceSettings
    clock: Clock
    running: int = 0
    rejected: int = 0
    runs: collections.Counter[str] = attrs.Factory(collections.Counter)
    responsive: asyncio.Event = attrs.Factory(asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Apply the setting ``silent``."""
        self.set_silent(silent=self.cfg.silent)

    def set_silent(self, *, silent: bool) -> None:
        """Stop or resume answering."""
        self.cfg.silent = silent
        if silent:
            self.responsive.clear()
        else:
            self.responsive.set()

    def load(self) -> dict[str, Any]:
        """Return the load report."""
        return {
            'running': self.running,
            'queued': 0,
            'slots': self.cfg.slots,
            'cached_blocks': 0,
            'incarnation': self.cfg.incarnation,
            'leaving': self.cfg.leaving,
            'models': [],
            'age_s': 0,
        }


class ServiceHandler(StandinHandler):
    """Handler with access to the service."""

    def initialize(self, service: PlainService) -> None:
        """Set the service."""
        self.service = service
        self.announce(service.cfg.leaving_header)


class EchoHandler(ServiceHandler):
    """Any method on any other path."""

    async def prepare(self) -> None:
        """Handle any method."""
        await self.service.responsive.wait()
        cfg = self.service.cfg
        if cfg.leaving or cfg.rejects:
            self.service.rejected += 1
            self.reject(cfg.retry_after_s)
            self.reply(503, {'error': 'takes no more requests'})
            return
        self._count_run()
        self.service.running += 1
        await self.service.clock.sleep(self.service.cfg.delay_ms / 1000)
        self.service.running -= 1
        await self.service.responsive.wait()
        if self.service.cfg.fail:
            self.reply(500, {'error': 'set to fail'})
        else:
            self.reply(200, self._echo())

    def _count_run(self) -> None:
        self.service.runs[self.request.path] += 1
        for name in ('Idempotency-Key', 'X-Attempt-Id'):
            ident = self.request.headers.get(name)
            if ident:
                self.service.runs[ident] += 1

    def _echo(self) -> dict[str, Any]:
        key = self.request.headers.get('Idempotency-Key', '')
        return {
            'method': self.request.method,
            'path': self.request.path,
            'query': self.request.query,
            'body': self.request.body.decode(errors='replace'),
            'headers': dict(self.request.headers),
            'runs': self.service.runs[key or self.request.path],
        }


class ServiceLoadHandler(ServiceHandler):
    """``GET /load``."""

    async def get(self) -> None:
        """Return the load report."""
        await self.service.responsive.wait()
        self.reply(200, self.service.load())


class ServiceControlHandler(ServiceHandler):
    """``/control``: settings and run counters."""

    def get(self) -> None:
        """Return settings and counters."""
        runs = {'runs': self.service.runs}
        self.reply(200, attrs.asdict(self.service.cfg) | runs)

    def post(self) -> None:
        """Change the given settings and leave the others unchanged."""
        body = self.json_body()
        if not body.keys() <= _CHANGEABLE:
            self.reply(400, {'error': 'unknown or fixed setting'})
            return
        for name, setting in body.items():
            setattr(self.service.cfg, name, setting)
        self.service.set_silent(silent=self.service.cfg.silent)
        self.get()


def make_service_app(service: PlainService) -> Application:
    """Return the application that serves a plain service.

    Parameters
    ----------
    service : PlainService
        Service to serve.
    """
    handler_args = {'service': service}
    routes = (
        ('/load', ServiceLoadHandler),
        ('/control', ServiceControlHandler),
        ('/.*', EchoHandler),
    )
    return Application(
        [(path, handler, handler_args) for path, handler in routes],
        log_function=log_nothing,
    )
