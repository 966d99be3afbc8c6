"""Command ``serve``."""

import asyncio
import json
from functools import partial

import click

from balsamreach.config.reader import (
    check_certificates,
    check_ports,
)
from balsamreach.daemon.router import Router
from balsamreach.daemon.run import Role, run_until_stopped
from balsamreach.peers.faults import PeerFault
from balsamreach.peers.tls import load_tls
from balsamreach.telemetry.logs import set_up_logging
from balsamreach.ui import exit_codes
from balsamreach.ui.errors import CommandError, settings_error
from balsamreach.ui.settings_file import load_settings, settings_options


@click.command('serve')
@settings_options('Settings file; without one the defaults are used.')
def command(path: str | None, overrides: tuple[str, ...]) -> None:
    """Run a router daemon until SIGTERM or SIGINT."""
    cfg = load_settings(path, overrides)
    for fault in (check_certificates(cfg), check_ports(cfg)):
        if fault is not None:
            raise settings_error(fault.in_file(path))
    tls = load_tls(cfg.peers)
    if isinstance(tls, PeerFault):
        raise CommandError('read the TLS files', tls, exit_codes.USAGE)
    set_up_logging(cfg)
    router = Router(cfg)
    role = Role(partial(_start, router), router.leave, router.reload_tls)
    asyncio.run(run_until_stopped(role))


async def _start(router: Router) -> None:
    await router.start()
    # With port 0 in the settings only this line shows the actual ports.
    started = {
        'callers': router.callers.address,
        'operators': router.operators.address,
        'peers': router.parts.net.me.address,
    }
    click.echo(json.dumps(started))
