"""Commands ``standin platform``, ``standin engine``, ``standin service``."""

import asyncio
import json

import attrs
import click

from balsamreach.config.faults import ConfigFault
from balsamreach.config.views import read_address
from balsamreach.daemon.run import Role, run_until_stopped
from balsamreach.faults import Fault
from balsamreach.standins.engine_settings import EngineSettings
from balsamreach.standins.serve import (
    PlatformSettings,
    Running,
    start_engine,
    start_platform,
    start_service,
)
from balsamreach.standins.service import ServiceSettings
from balsamreach.ui import exit_codes
from balsamreach.ui.errors import CommandError

_MAX_PORT = 65535
#: A stand-in can't listen on its address and port.
_CANT_LISTEN = Fault('cant_listen')


def _read_ip(_ctx: click.Context, _param: click.Parameter, text: str) -> str:
    address = read_address(text)
    if isinstance(address, ConfigFault):
        raise click.BadParameter(address.reason)
    return address


_ip = click.option(
    '--ip',
    default='127.0.0.1',
    show_default=True,
    callback=_read_ip,
)
_port = click.option(
    '--port',
    default=0,
    type=click.IntRange(0, _MAX_PORT),
    help='0 chooses a free port.',
)
_zone = click.option('--zone', default='zone-a', show_default=True)


@attrs.define
class _Standin:
    """The stand-in that this process runs."""

    settings: PlatformSettings | EngineSettings | ServiceSettings
    running: Running | None = None

    async def start(self) -> None:
        """Start it and print its address as one JSON line.

        Raises
        ------
        CommandError
            If it can't listen on its address and port.
        """
        place = f'{self.settings.ip} port {self.settings.port}'
        try:
            self.running = await self._open()
        except OSError as exc:
            fault = _CANT_LISTEN.because(
                f'{place}: {exc.strerror}; give another --ip or --port',
            )
            action = 'start the stand-in'
            raise CommandError(action, fault, exit_codes.USAGE) from exc
        click.echo(json.dumps({'address': self.running.address}))

    async def leave(self) -> None:
        """Stop it."""
        if self.running is not None:
            await self.running.stop()

    async def _open(self) -> Running:
        if isinstance(self.settings, EngineSettings):
            return await start_engine(self.settings)
        if isinstance(self.settings, ServiceSettings):
            return await start_service(self.settings)
        return await start_platform(self.settings)


@click.group('standin')
def command() -> None:
    """Run a stand-in for the platform, an engine or a service."""


@command.command('platform')
@_ip
@_port
def platform(ip: str, port: int) -> None:
    """Run stand-ins for the services of the platform.

    These are the table service, object store, host list and weight store.
    """
    _run(PlatformSettings(ip=ip, port=port))


@command.command('engine')
@_ip
@_port
@_zone
@click.option('--model', 'models', multiple=True, default=('model-a',))
@click.option('--first-ms', default=20.0, show_default=True)
@click.option('--pace-ms', default=5.0, show_default=True)
@click.option('--slots', default=8, show_default=True)
@click.option(
    '--crash-mark', default='', help='Text in a prompt that crashes the engine.'
)
@click.option('--exit-on-crash', is_flag=True)
def engine(**options: object) -> None:
    """Run a stand-in for a model engine."""
    options['models'] = list(options['models'])
    _run(EngineSettings(**options))


@command.command('service')
@_ip
@_port
@_zone
@click.option('--delay-ms', default=0.0, show_default=True)
def service(**options: object) -> None:
    """Run a stand-in for a service without a model."""
    _run(ServiceSettings(**options))


def _run(
    settings: PlatformSettings | EngineSettings | ServiceSettings,
) -> None:
    standin = _Standin(settings)
    asyncio.run(run_until_stopped(Role(standin.start, standin.leave)))
