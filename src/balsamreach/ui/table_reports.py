"""Commands ``table history`` and ``table status``."""

import json
from datetime import UTC, datetime
from typing import Any

import click

from balsamreach.client.operators import OperatorsClient
from balsamreach.ui.operator_options import (
    operator_command,
    print_json,
    unwrap,
)


@click.command('history')
@click.argument('key', metavar='team/NAME|target/NAME')
@click.option('--limit', default=20, show_default=True)
@click.option('--after', default='', help='Where the page before ended.')
@operator_command
def history(
    client: OperatorsClient,
    key: str,
    limit: int,
    after: str,
    as_json: bool,
) -> None:
    """Show the changes of a row and their authors, newest first."""
    page = unwrap(
        f'read the history of {key}',
        client.read('/history', key=key, limit=limit, after=after),
    )
    if as_json:
        print_json(page)
        return
    for entry in page['entries']:
        click.echo(_format_entry(entry))
    if page['after']:
        click.echo(f'for older changes: --after {page["after"]}')


@click.command('status')
@operator_command
def status(client: OperatorsClient, as_json: bool) -> None:
    """Show the table version of each router, and which ones are behind."""
    answer = unwrap('ask for the status', client.read('/status'))
    if as_json:
        print_json(answer)
        return
    click.echo(f'version {answer["version"]} in force at the router asked')
    for router in answer['routers']:
        since = router['behind_since']
        behind = f' since {_format_time(since)}' if since else ''
        version = '-' if router['version'] is None else router['version']
        click.echo(
            f'{router["host"]}  {router["zone"]}  {router["address"]}  '
            f'{version}  {router["state"]}{behind}',
        )


def _format_entry(entry: dict[str, Any]) -> str:
    before = entry['before'] or {}
    after = entry['after'] or {}
    names = before | after
    changes = [
        f'{name}: {_dump(before.get(name))} -> {_dump(after.get(name))}'
        for name in names
        if before.get(name) != after.get(name)
    ]
    listed = ', '.join(changes)
    return f'{_format_time(entry["at"])}  {entry["author"]}  {listed}'


def _format_time(seconds: float) -> str:
    moment = datetime.fromtimestamp(seconds, UTC)
    return moment.isoformat(timespec='seconds')


def _dump(shown: Any) -> str:
    return json.dumps(shown, ensure_ascii=False)
