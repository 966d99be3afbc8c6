"""Commands ``team add|top-up|show|keys``."""

import uuid
from typing import Any

import click

from balsamreach.client.operators import OperatorsClient
from balsamreach.client.team_keys import add_key, new_key, revoke_key
from balsamreach.table.view import hash_key
from balsamreach.ui.operator_options import (
    operator_command,
    print_json,
    unwrap,
)
from balsamreach.ui.table import read_fields

_SHOWN_DIGITS = 12


@click.group('team')
def command() -> None:
    """Add teams, top up their budgets and manage their keys."""


@command.command('add')
@click.argument('name')
@click.argument('fields', nargs=-1, metavar='FIELD=TEXT...')
@click.option('--prepaid', default=0, help='Number of prepaid tokens.')
@operator_command
def add(
    client: OperatorsClient,
    name: str,
    fields: tuple[str, ...],
    prepaid: int,
    as_json: bool,
) -> None:
    """Add a team and print its first key, which is never shown again."""
    secret = new_key()
    row = {'prepaid': prepaid, 'key_hashes': [hash_key(secret)]}
    edited = unwrap(
        f'add {name}',
        client.edit(
            f'team/{name}',
            version=0,
            fields=row | read_fields(fields),
        ),
    )
    _print_key(edited, secret, as_json=as_json)


@command.command('top-up')
@click.argument('name')
@click.argument('tokens', type=click.IntRange(min=1))
@click.option(
    '--edit-id',
    help='Repeat the top-up with this id, whose outcome is unknown.',
)
@operator_command
def top_up(
    client: OperatorsClient,
    name: str,
    tokens: int,
    edit_id: str | None,
    as_json: bool,
) -> None:
    """Add tokens to a team's prepaid budget.

    The tokens are added once per edit id. If the outcome is unknown, repeat
    the command with the printed edit id.
    """
    edit_id = edit_id or uuid.uuid4().hex
    # The id is printed first: if no answer arrives, the operator needs it to
    # repeat the top-up without adding the tokens twice.
    click.echo(f'edit id {edit_id}', err=True)
    edited = unwrap(
        f'top up {name}',
        client.edit(f'team/{name}', top_up=tokens, edit_id=edit_id),
    )
    if as_json:
        print_json(edited)
        return
    click.echo(f'{name} has {edited["row"]["prepaid"]} tokens prepaid')


@command.command('show')
@click.argument('name')
@operator_command
def show(client: OperatorsClient, name: str, as_json: bool) -> None:
    """Show a team's row and budget."""
    row = unwrap(f'read {name}', client.read(f'/table/team/{name}'))
    budget = unwrap('read the budget', client.read(f'/budgets/{name}'))
    if as_json:
        print_json({'row': row, 'budget': budget})
        return
    for field, shown in (row['value'] | {'free': budget['free']}).items():
        click.echo(f'{field}: {shown}')


@command.group('keys')
def keys() -> None:
    """List, add and revoke a team's keys."""


@keys.command('list')
@click.argument('name')
@operator_command
def list_keys(client: OperatorsClient, name: str, as_json: bool) -> None:
    """List the digests of a team's keys."""
    row = unwrap(f'read {name}', client.read(f'/table/team/{name}'))
    digests = row['value']['key_hashes']
    if as_json:
        print_json(digests)
        return
    for digest in digests:
        click.echo(digest[:_SHOWN_DIGITS])


@keys.command('add')
@click.argument('name')
@operator_command
def add_team_key(client: OperatorsClient, name: str, as_json: bool) -> None:
    """Add a key to a team and print it; it is never shown again."""
    secret = new_key()
    edited = unwrap(f'add a key to {name}', add_key(client, name, secret))
    _print_key(edited, secret, as_json=as_json)


@keys.command('revoke')
@click.argument('name')
@click.argument('digest')
@operator_command
def revoke(
    client: OperatorsClient,
    name: str,
    digest: str,
    as_json: bool,
) -> None:
    """Revoke the key whose digest begins with DIGEST, see keys list."""
    edited = unwrap(f'revoke {digest}', revoke_key(client, name, digest))
    if as_json:
        print_json(edited)
        return
    left = len(edited['row']['key_hashes'])
    click.echo(f'revoked; {left} keys left')


def _print_key(edited: dict[str, Any], secret: str, *, as_json: bool) -> None:
    if as_json:
        print_json({**edited, 'secret': secret})
        return
    click.echo(f'key {secret}')
    click.echo(
        'Save the key now: only its digest is kept, it is not shown again.',
        err=True,
    )
