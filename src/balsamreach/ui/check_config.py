"""Command ``check-config``."""

import json

import click

from balsamreach.config.faults import ConfigFault
from balsamreach.config.reader import (
    check_certificates,
    check_ports,
    read_settings,
)
from balsamreach.ui import exit_codes


@click.command('check-config')
@click.argument('files', nargs=-1, required=True, type=click.Path())
@click.option(
    '--set',
    'overrides',
    multiple=True,
    metavar='SECTION.KEY=TEXT',
    help='Override one key; may be repeated.',
)
@click.option(
    '--ports/--no-ports',
    default=False,
    help='Also load the certificates and try to bind the listeners.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def command(
    files: tuple[str, ...],
    overrides: tuple[str, ...],
    *,
    ports: bool,
    as_json: bool,
) -> None:
    """Check settings files and list all problems in them."""
    checked = {}
    for path in files:
        checked[path] = _check(path, overrides, ports)
    if as_json:
        click.echo(json.dumps(_as_rows(checked), indent=2))
    else:
        _print_report(checked)
    if any(checked.values()):
        click.get_current_context().exit(exit_codes.USAGE)


def _check(
    path: str,
    overrides: tuple[str, ...],
    ports: bool,
) -> tuple[str, ...]:
    settings = read_settings(path, overrides)
    if isinstance(settings, ConfigFault):
        return settings.problems
    if not ports:
        return ()
    problems: list[str] = []
    for fault in (check_certificates(settings), check_ports(settings)):
        if fault is not None:
            problems.extend(fault.in_file(path).problems)
    return tuple(problems)


def _as_rows(checked: dict[str, tuple[str, ...]]) -> list[dict[str, object]]:
    rows = []
    for path, problems in checked.items():
        row = {'file': path, 'ok': not problems, 'problems': problems}
        rows.append(row)
    return rows


def _print_report(checked: dict[str, tuple[str, ...]]) -> None:
    for path, problems in checked.items():
        if not problems:
            click.echo(f'{path}: ok')
        for problem in problems:
            click.echo(problem, err=True)
