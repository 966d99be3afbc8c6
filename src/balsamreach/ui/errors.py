"""Errors that end a command, made from a fault."""

import click

from balsamreach.config.faults import ConfigFault
from balsamreach.faults import Fault
from balsamreach.ui import exit_codes


class CommandError(click.ClickException):
    """Ends a command with a message and an exit code.

    Parameters
    ----------
    action : str
        The failed action, completing "can't ...": ``read the settings``.
    fault : Fault
        The reason of the failure.
    exit_code : int
        One of ``exit_codes``.
    """

    def __init__(self, action: str, fault: Fault, exit_code: int):
        reason = fault.reason or fault.code
        separator = '\n' if '\n' in reason else ' '
        super().__init__(f"can't {action}:{separator}{reason}")
        self.fault = fault
        self.exit_code = exit_code


def settings_error(fault: ConfigFault) -> CommandError:
    """Return the error for invalid settings."""
    return CommandError('use the settings', fault, exit_codes.USAGE)
