"""Commands ``table show|get|set|export``, and the group ``table``."""

import json
from typing import Any

import click

from balsamreach.client.csv_table import write_table
from balsamreach.client.faults import ClientFault
from balsamreach.client.operators import OperatorsClient
from balsamreach.ui.operator_options import (
    operator_command,
    operator_error,
    print_json,
    unwrap,
)
from balsamreach.ui.table_import import import_command
from balsamreach.ui.table_reports import history, status


@click.group('table')
def command() -> None:
    """Read and edit the table of teams and targets."""


command.add_command(import_command)
command.add_command(history)
command.add_command(status)


@command.command('show')
@click.option('--kind', type=click.Choice(['team', 'target']))
@operator_command
def show(client: OperatorsClient, kind: str | None, as_json: bool) -> None:
    """List all committed rows; with --json, one row per line."""
    for row in _rows(client, kind):
        click.echo(_dump(row) if as_json else _as_line(row))


@command.command('get')
@click.argument('key', metavar='team/NAME|target/NAME')
@operator_command
def get(client: OperatorsClient, key: str, as_json: bool) -> None:
    """Show one row and its version."""
    row = unwrap(f'read {key}', client.read(f'/table/{key}'))
    if as_json:
        print_json(row)
        return
    click.echo(f'version: {row["version"]}')
    for name, field in row['value'].items():
        click.echo(f'{name}: {_dump(field)}')


@command.command('set')
@click.argument('key', metavar='team/NAME|target/NAME')
@click.argument('fields', nargs=-1, metavar='FIELD=TEXT...')
@click.option(
    '--version', type=int, help='Version that you read; 0 for a new row.'
)
@click.option('--delete', is_flag=True, help='Delete the row.')
@operator_command
def set_fields(
    client: OperatorsClient,
    key: str,
    fields: tuple[str, ...],
    **options: Any,
) -> None:
    """Create a row, change fields of it, or delete it.

    Write numbers, true, false, lists and mappings as JSON; anything else is
    text. Without --version this command reads the row first, and fails with
    a conflict if the row changes between its read and its write.
    """
    change: dict[str, Any] = {'fields': read_fields(fields)}
    if options['delete']:
        change = {'delete': True}
    change['version'] = options['version']
    if change['version'] is None:
        change['version'] = _current_version(client, key)
    edited = unwrap(f'edit {key}', client.edit(key, **change))
    if options['as_json']:
        print_json(edited)
        return
    click.echo(f'{key} is at version {edited["version"]}')


@command.command('export')
@click.argument('file', type=click.File('w', encoding='utf-8-sig'))
@click.option('--kind', type=click.Choice(['team', 'target']))
@operator_command
def export(
    client: OperatorsClient,
    file: Any,
    kind: str | None,
    as_json: bool,
) -> None:
    """Write the table to a CSV file (- for standard output)."""
    written = write_table(_rows(client, kind), file)
    if as_json:
        click.echo(_dump({'rows': written}), err=True)
        return
    click.echo(f'{written} rows', err=True)


def read_fields(fields: tuple[str, ...]) -> dict[str, Any]:
    """Parse ``field=text`` arguments; valid JSON is decoded."""
    read: dict[str, Any] = {}
    for field in fields:
        name, equals, text = field.partition('=')
        if not equals:
            raise click.BadParameter(f'{field}: write FIELD=TEXT')
        try:
            read[name] = json.loads(text)
        except ValueError:
            read[name] = text
    return read


def _current_version(client: OperatorsClient, key: str) -> int:
    answer = unwrap(f'read {key}', client.read_rows([key]))
    row = answer['rows'][0]
    return row['version'] if row['value'] is not None else 0


def _rows(client: OperatorsClient, kind: str | None) -> Any:
    for row in client.rows(f'{kind}/' if kind else ''):
        if isinstance(row, ClientFault):
            raise operator_error('read the table', row)
        yield row


def _as_line(row: dict[str, Any]) -> str:
    fields = row['value']
    summary = f'{row["key"]}  version {row["version"]}  {fields["state"]}'
    amount = 'prepaid' if 'prepaid' in fields else 'address'
    return f'{summary}  weight {fields["weight"]}  {amount} {fields[amount]}'


def _dump(shown: Any) -> str:
    return json.dumps(shown, ensure_ascii=False)
