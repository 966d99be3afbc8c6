"""Command ``audit``."""

import asyncio
import json
import time

import attrs
import click

from balsamreach.budget.audit_report import AuditReport
from balsamreach.budget.auditor import Auditor
from balsamreach.budget.faults import BudgetFault
from balsamreach.config.settings import Settings
from balsamreach.daemon.clients import platform_client
from balsamreach.services.table_http import HttpTableService
from balsamreach.ui import exit_codes
from balsamreach.ui.errors import CommandError
from balsamreach.ui.settings_file import load_settings, settings_options


@click.command('audit')
@settings_options('Settings file that names the platform.')
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def command(
    path: str | None,
    overrides: tuple[str, ...],
    *,
    as_json: bool,
) -> None:
    """Check all budgets' records; exit 5 if an invariant is broken."""
    cfg = load_settings(path, overrides)
    report = asyncio.run(_audit(cfg))
    if isinstance(report, BudgetFault):
        raise CommandError('read the records', report, exit_codes.UNREACHABLE)
    if as_json:
        click.echo(json.dumps(_as_mapping(report), indent=2))
    else:
        _print_report(report)
    if report.breaches:
        click.get_current_context().exit(exit_codes.BROKEN)


async def _audit(cfg: Settings) -> AuditReport | BudgetFault:
    client = platform_client(cfg, cfg.platform.table)
    return await Auditor(HttpTableService(client)).audit()


def _as_mapping(report: AuditReport) -> dict[str, object]:
    fields = attrs.asdict(report)
    fields['ok'] = not report.breaches
    for team, sums in report.teams.items():
        fields['teams'][team]['recorded'] = sums.recorded
        fields['teams'][team]['held'] = sums.held
    return fields


def _print_report(report: AuditReport) -> None:
    for team, sums in sorted(report.teams.items()):
        prepaid = 0 if sums.account is None else sums.account.prepaid
        click.echo(
            f'{team}: prepaid {prepaid}, recorded {sums.recorded}, '
            f'held {sums.held}, bills {sums.bills}',
        )
    now = time.time()
    for lost in report.stranded:
        hours = (now - lost.since) / 3600
        why = 'may be lent' if lost.closed else 'holder serves no address'
        click.echo(
            f'stranded: {lost.team} {lost.tokens} tokens of '
            f'{lost.incarnation} ({why}), {hours:.1f} h',
        )
    click.echo(f'claims: {report.claims}, without a bill {report.claims_open}')
    for claim in report.open_claims:
        click.echo(
            f'open claim: {claim.team}/{claim.key}, made by {claim.holder} '
            f'{claim.commits} commits ago',
        )
    for team in report.unjudged:
        click.echo(f'{team}: changed while read, audit again', err=True)
    for breach in report.breaches:
        click.echo(
            f'BROKEN {breach.invariant}: {breach.team}: {breach.detail}',
            err=True,
        )
