"""Command ``budget``."""

import asyncio
import json

import attrs
import click

from balsamreach.budget.claim_settling import ClaimSettler
from balsamreach.budget.faults import (
    NO_ALLOTMENT,
    STILL_LISTED,
    BudgetFault,
)
from balsamreach.budget.releasing import Released, Releaser
from balsamreach.clock import SystemClock
from balsamreach.config.settings import Settings
from balsamreach.daemon.clients import platform_client
from balsamreach.services.hosts_http import HttpHostList
from balsamreach.services.table_http import HttpTableService
from balsamreach.ui import exit_codes
from balsamreach.ui.errors import CommandError
from balsamreach.ui.settings_file import load_settings, settings_options

_WARNING = (
    'Router {incarnation} must be dead: if it still serves, what it has not '
    'recorded may go unbilled. Release what it holds?'
)


@click.group('budget')
def command() -> None:
    """Look after budgets that routers hold."""


@command.command('release')
@click.argument('incarnation')
@click.option('--by', required=True, help='Who says that it is dead.')
@click.option('-y', '--yes', is_flag=True, help='Do not ask.')
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
@settings_options('Settings file that names the platform.')
def release(
    incarnation: str,
    by: str,
    path: str | None,
    overrides: tuple[str, ...],
    *,
    yes: bool,
    as_json: bool,
) -> None:
    """Give back what a dead router holds whose address is not used again."""
    cfg = load_settings(path, overrides)
    if not yes:
        click.confirm(_WARNING.format(incarnation=incarnation), abort=True)
    outcome = asyncio.run(_release(cfg, incarnation, by))
    if isinstance(outcome, BudgetFault):
        listed = outcome == STILL_LISTED
        code = exit_codes.CONFLICT if listed else exit_codes.UNREACHABLE
        raise CommandError('release the allotments', outcome, code)
    if as_json:
        click.echo(json.dumps(attrs.asdict(outcome), indent=2))
        return
    for team, tokens in sorted(outcome.returned.items()):
        click.echo(f'{team}: {tokens} tokens returned')
    if outcome.kept:
        click.echo(f'{outcome.kept} tokens stay: borrowers may hold them')


@command.command('settle')
@click.argument('request_name', metavar='TEAM/KEY')
@click.option(
    '--tokens',
    type=click.IntRange(min=0),
    required=True,
    help='Tokens to bill; 0 closes the claim without a charge.',
)
@click.option('--by', required=True, help='Who says how it ended.')
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
@settings_options('Settings file that names the platform.')
def settle(
    request_name: str,
    tokens: int,
    by: str,
    path: str | None,
    overrides: tuple[str, ...],
    *,
    as_json: bool,
) -> None:
    """End a claim of which no router knows how its run ended.

    Ask the service first whether it ran. The claim stays: the request is
    never run again under its key.
    """
    cfg = load_settings(path, overrides)
    team, _slash, key = request_name.partition('/')
    table = HttpTableService(platform_client(cfg, cfg.platform.table))
    fault = asyncio.run(ClaimSettler(table, by).end(team, key, tokens))
    if fault is not None:
        away = fault == NO_ALLOTMENT
        code = exit_codes.UNREACHABLE if away else exit_codes.CONFLICT
        raise CommandError('settle the claim', fault, code)
    if as_json:
        click.echo(json.dumps({'team': team, 'key': key, 'billed': tokens}))
    else:
        click.echo(f'{request_name}: billed with {tokens} tokens')


async def _release(
    cfg: Settings,
    incarnation: str,
    by: str,
) -> Released | BudgetFault:
    table = HttpTableService(platform_client(cfg, cfg.platform.table))
    hosts = HttpHostList(platform_client(cfg, cfg.platform.hosts))
    return await Releaser(table, hosts, SystemClock()).release(incarnation, by)
