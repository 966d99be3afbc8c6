"""Errors as people see them, made of a fault and what was being done."""

import click

from balsamreach.config.faults import ConfigFault
from balsamreach.faults import Fault
from balsamreach.ui import exit_codes


class CommandError(click.ClickException):
    """Ends a command with a message and an exit code.

    Parameters
    ----------
    verb : str
        What the command was doing, as in ``read the settings``.
    fault : Fault
        Why that failed.
    exit_code : int
        One of ``exit_codes``.
    """

    def __init__(self, verb: str, fault: Fault, exit_code: int):
        reason = fault.reason or fault.code
        gap = '\n' if '\n' in reason else ' '
        super().__init__(f"can't {verb}:{gap}{reason}")
        self.fault = fault
        self.exit_code = exit_code


def settings_error(fault: ConfigFault) -> CommandError:
    """Return the error for settings that can't be used."""
    return CommandError('use the settings', fault, exit_codes.USAGE)
