"""Command ``relay``."""

import asyncio

import click

from balsamreach.config.faults import ConfigFault
from balsamreach.config.reader import check_ports
from balsamreach.daemon.run import Role, run_until_stopped
from balsamreach.platform.platform_settings import read_platform_settings
from balsamreach.platform.router import make_router
from balsamreach.telemetry.log_queue import queue_logging
from balsamreach.ui.errors import settings_error
from balsamreach.ui.settings_file import load_settings, settings_options

#: Sections of the listeners that this daemon opens.
LISTENERS = ('callers', 'probes')


@click.command('relay')
@settings_options("Settings file; the platform's own file overrides it.")
def command(path: str | None, overrides: tuple[str, ...]) -> None:
    """Run a router on the users' platform until SIGTERM or SIGINT.

    The environment names the platform's settings file; see
    docs/operators/platform.md.
    """
    platform_overrides = read_platform_settings()
    if isinstance(platform_overrides, ConfigFault):
        raise settings_error(platform_overrides)
    cfg = load_settings(path, (*platform_overrides, *overrides))
    fault = check_ports(cfg, LISTENERS)
    if fault is not None:
        raise settings_error(fault.in_file(path))
    writer = queue_logging(cfg)
    router = make_router(cfg)
    try:
        asyncio.run(run_until_stopped(Role(router.start, router.leave)))
    finally:
        writer.close()
