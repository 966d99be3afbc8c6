"""Command ``version``."""

import json

import click

from balsamreach import __version__


@click.command('version')
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def command(*, as_json: bool) -> None:
    """Print the version."""
    if as_json:
        click.echo(json.dumps({'version': __version__}))
        return
    click.echo(f'balsamreach {__version__}')
