"""HTTP interface of the simulated platform."""

from typing import Any

import attrs
from tornado.web import Application

from balsamreach.services.base import HostEntry
from balsamreach.services.faults import PlatformFault
from balsamreach.standins.handlers import log_nothing
from balsamreach.standins.memory import MemoryPlatform
from balsamreach.standins.platform_handler import PlatformHandler
from balsamreach.standins.platform_table import (
    CommitHandler,
    ReadHandler,
    ScanHandler,
)

_SETTINGS = (
    'down',
    'delay_s',
    'writes_per_s',
    'reads_per_s',
    'hosts_lag_s',
    'lose_answers',
    'refuse_old_fences',
)
_COUNTERS = ('reads', 'writes', 'rows_written', 'bytes_moved')


class ObjectsHandler(PlatformHandler):
    """``GET /objects``."""

    async def get(self) -> None:
        """List the names that start with a prefix."""
        prefix = self.get_query_argument('prefix', '', strip=False)
        names = await self.platform.objects.names(prefix)
        if isinstance(names, PlatformFault):
            self.reply_fault(names)
        else:
            self.reply(200, {'names': names})


class ObjectHandler(PlatformHandler):
    """``/objects/<name>``."""

    async def get(self, name: str) -> None:
        """Return the content of an object."""
        body = await self.platform.objects.get(name)
        if isinstance(body, PlatformFault):
            self.reply_fault(body)
            return
        self.set_header('Content-Type', 'application/octet-stream')
        self.finish(body)

    async def put(self, name: str) -> None:
        """Store an object."""
        self._reply_result(
            await self.platform.objects.put(name, self.request.body)
        )

    async def delete(self, name: str) -> None:
        """Delete an object."""
        self._reply_result(await self.platform.objects.delete(name))

    def _reply_result(self, fault: PlatformFault | None) -> None:
        if fault is None:
            self.reply(204)
        else:
            self.reply_fault(fault)


class HostsHandler(PlatformHandler):
    """``GET /hosts``, and ``POST /hosts`` to replace the list."""

    async def get(self) -> None:
        """Return the list of hosts, which may lag."""
        hosts = await self.platform.hosts.hosts()
        if isinstance(hosts, PlatformFault):
            self.reply_fault(hosts)
        else:
            hosts_json = [attrs.asdict(host) for host in hosts]
            self.reply(200, {'hosts': hosts_json})

    async def post(self) -> None:
        """Replace the actual list of hosts."""
        hosts_json = self.json_body().get('hosts', [])
        entries = _parse_hosts(hosts_json)
        if entries is None:
            self.reply(400, {'error': 'malformed host'})
            return
        self.platform.hosts.replace(entries)
        self.reply(204)


class PowerHandler(PlatformHandler):
    """``POST /hosts/power``."""

    async def post(self) -> None:
        """Accept a power order."""
        body = self.json_body()
        if not {'address', 'on', 'fence'} <= body.keys():
            self.reply(400, {'error': 'address, on and fence are required'})
            return
        fault = await self.platform.hosts.power(
            body['address'],
            on=body['on'],
            fence=body['fence'],
        )
        if fault is None:
            self.reply(204)
        else:
            self.reply_fault(fault)


class ReserveHandler(PlatformHandler):
    """``POST /weights/reserve``."""

    async def post(self) -> None:
        """Reserve a load and return the wait."""
        model = self.json_body().get('model', '')
        wait_s = await self.platform.weights.reserve(model)
        if isinstance(wait_s, PlatformFault):
            self.set_status(429)
            self.finish()
        else:
            self.reply(200, {'wait_s': wait_s})


class ControlHandler(PlatformHandler):
    """``/control``: settings and counters of the conditions."""

    def get(self) -> None:
        """Return settings and counters."""
        weather = self.platform.weather
        names = _SETTINGS + _COUNTERS
        self.reply(200, {name: getattr(weather, name) for name in names})

    def post(self) -> None:
        """Change the given settings and leave the others unchanged."""
        body = self.json_body()
        if not body.keys() <= set(_SETTINGS):
            self.reply(400, {'error': 'unknown setting'})
            return
        for name, setting in body.items():
            setattr(self.platform.weather, name, setting)
        self.get()


def make_platform_app(platform: MemoryPlatform) -> Application:
    """Return the application that serves the platform's interface.

    Parameters
    ----------
    platform : MemoryPlatform
        Services to serve.
    """
    handler_args = {'platform': platform}
    routes = (
        ('/table/commit', CommitHandler),
        ('/table/read', ReadHandler),
        ('/table/scan', ScanHandler),
        ('/objects', ObjectsHandler),
        ('/objects/(.+)', ObjectHandler),
        ('/hosts', HostsHandler),
        ('/hosts/power', PowerHandler),
        ('/weights/reserve', ReserveHandler),
        ('/control', ControlHandler),
    )
    return Application(
        [(path, handler, handler_args) for path, handler in routes],
        log_function=log_nothing,
    )


def _parse_hosts(hosts_json: Any) -> tuple[HostEntry, ...] | None:
    try:
        entries = [HostEntry(**host) for host in hosts_json]
    except TypeError:
        return None
    return tuple(entries)
