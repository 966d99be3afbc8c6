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

#: Sections whose listeners this daemon opens.
LISTENERS = ('callers', 'probes')


@click.command('relay')
@settings_options("Settings file; the platform's own file lies over it.")
def command(path: str | None, overrides: tuple[str, ...]) -> None:
    """Run a router on the users' platform until SIGTERM or SIGINT.

    The platform's settings file is named by the environment; see
    docs/operators/platform.md.
    """
    given = read_platform_settings()
    if isinstance(given, ConfigFault):
        raise settings_error(given)
    cfg = load_settings(path, (*given, *overrides))
    fault = check_ports(cfg, LISTENERS)
    if fault is not None:
        raise settings_error(fault.in_file(path))
    writer = queue_logging(cfg)
    router = make_router(cfg)
    try:
        asyncio.run(run_until_stopped(Role(router.start, router.leave)))
    finally:
        writer.close()
