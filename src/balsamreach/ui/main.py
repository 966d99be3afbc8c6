"""Entry point of the command line."""

from importlib import import_module

import click

#: Module of each command; its attribute ``command`` is the click command.
COMMANDS = {
    'audit': 'balsamreach.ui.audit',
    'budget': 'balsamreach.ui.budget',
    'check-config': 'balsamreach.ui.check_config',
    'explain': 'balsamreach.ui.explain',
    'relay': 'balsamreach.ui.relay',
    'serve': 'balsamreach.ui.serve',
    'standin': 'balsamreach.ui.standin',
    'table': 'balsamreach.ui.table',
    'team': 'balsamreach.ui.team',
    'trial': 'balsamreach.ui.trial',
    'version': 'balsamreach.ui.version',
}


class LazyGroup(click.Group):
    """Group that imports a command's module when the command is used.

    This keeps ``version`` and shell completion fast, because ``serve``
    imports the whole router.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted(COMMANDS)

    def get_command(
        self,
        ctx: click.Context,
        cmd_name: str,
    ) -> click.Command | None:
        """Return a command by its name, None if it does not exist."""
        if cmd_name not in COMMANDS:
            return None
        return import_module(COMMANDS[cmd_name]).command


@click.group(
    cls=LazyGroup,
    context_settings={'help_option_names': ['-h', '--help']},
)
def main() -> None:
    """Route requests to language models on prepaid capacity.

    Exit codes: 0 success, 1 failed, 2 invalid usage or settings, 3 conflict,
    4 unreachable, 5 an invariant is broken.
    """
