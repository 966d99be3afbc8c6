"""Options ``--config`` and ``--set``, and reading of the settings."""

from collections.abc import Callable

import click

from balsamreach.config.faults import ConfigFault
from balsamreach.config.reader import read_settings
from balsamreach.config.settings import Settings
from balsamreach.ui.errors import settings_error

Command = Callable[..., None]


def settings_options(help_text: str) -> Callable[[Command], Command]:
    """Return a decorator that adds ``--config`` and ``--set``.

    Parameters
    ----------
    help_text : str
        Help text of ``--config``.
    """
    config = click.option(
        '-c',
        '--config',
        'path',
        type=click.Path(),
        help=help_text,
    )
    overrides = click.option(
        '--set',
        'overrides',
        multiple=True,
        metavar='SECTION.KEY=TEXT',
        help='Override one key; may be repeated.',
    )
    return lambda function: config(overrides(function))


def load_settings(path: str | None, overrides: tuple[str, ...]) -> Settings:
    """Read the settings of a command.

    Raises
    ------
    CommandError
        If they are invalid; the command ends with exit code 2.
    """
    cfg = read_settings(path, overrides)
    if isinstance(cfg, ConfigFault):
        raise settings_error(cfg)
    return cfg
