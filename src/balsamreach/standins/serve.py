"""Serves simulated platforms and targets in the running event loop."""

import asyncio
import socket

import attrs
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from balsamreach.clock import Clock, SystemClock
from balsamreach.standins.engine import Engine
from balsamreach.standins.engine_http import make_engine_app
from balsamreach.standins.engine_settings import EngineSettings
from balsamreach.standins.memory import MemoryPlatform
from balsamreach.standins.platform import make_platform_app
from balsamreach.standins.service import (
    PlainService,
    ServiceSettings,
    make_service_app,
)


@attrs.frozen
class PlatformSettings:
    """Listen address and clock of a platform; port 0 selects a free one."""

    ip: str = '127.0.0.1'
    port: int = 0
    clock: Clock = attrs.Factory(SystemClock)


@attrs.define
class Running:
    """A simulated platform or target that is being served.

    Parameters
    ----------
    address : str
        Listen address as ``ip:port``.
    core : MemoryPlatform, Engine or PlainService
        The served object, for tests that inspect it.
    """

    address: str
    core: MemoryPlatform | Engine | PlainService
    _server: HTTPServer

    @property
    def url(self) -> str:
        """Base URL without a trailing slash."""
        return f'http://{self.address}'

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        self._server.stop()
        if isinstance(self.core, Engine):
            self.core.drop_all()
        if not isinstance(self.core, MemoryPlatform):
            # Handlers that wait in a silent target would otherwise never end.
            self.core.set_silent(silent=False)
        await self._server.close_all_connections()
        # Let handlers whose connection was just closed finish.
        await asyncio.sleep(0)


async def start_platform(  # ruff: ignore[unused-async] (it needs the running loop)
    settings: PlatformSettings,
) -> Running:
    """Serve an empty platform."""
    core = MemoryPlatform.start(settings.clock)
    return _serve(core, make_platform_app(core), settings)


async def start_engine(  # ruff: ignore[unused-async] (it needs the running loop)
    settings: EngineSettings,
    clock: Clock | None = None,
) -> Running:
    """Serve a simulated engine; the port is written to its settings."""
    core = Engine(settings, clock or SystemClock())
    return _serve_target(core, make_engine_app(core), settings)


async def start_service(  # ruff: ignore[unused-async] (it needs the running loop)
    settings: ServiceSettings,
    clock: Clock | None = None,
) -> Running:
    """Serve a plain service; the port is written to its settings."""
    core = PlainService(settings, clock or SystemClock())
    return _serve_target(core, make_service_app(core), settings)


def _serve_target(
    core: Engine | PlainService,
    app: Application,
    settings: EngineSettings | ServiceSettings,
) -> Running:
    running = _serve(core, app, settings)
    settings.port = int(running.address.rpartition(':')[2])
    return running


def _serve(
    core: MemoryPlatform | Engine | PlainService,
    app: Application,
    settings: PlatformSettings | EngineSettings | ServiceSettings,
) -> Running:
    sockets = bind_sockets(settings.port, settings.ip, socket.AF_INET)
    server = HTTPServer(app)
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    return Running(f'{settings.ip}:{port}', core, server)
