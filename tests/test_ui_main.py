"""Tests of the command group."""

import socket
import unittest

import click
from click.testing import CliRunner
from parameterized import parameterized

from balsamreach import __version__
from balsamreach.trial.plan import Plan
from balsamreach.ui import exit_codes
from balsamreach.ui.main import COMMANDS, main


class MainTest(unittest.TestCase):
    """Commands are found by name and imported when used."""

    def test_help_names_every_command(self):
        ran = CliRunner().invoke(main, ['--help'])
        self.assertEqual(ran.exit_code, exit_codes.OK)
        for name in COMMANDS:
            self.assertIn(name, ran.output)

    def test_version(self):
        ran = CliRunner().invoke(main, ['version'])
        self.assertEqual(ran.output, f'balsamreach {__version__}\n')

    def test_unknown_command(self):
        ran = CliRunner().invoke(main, ['nothing'])
        self.assertEqual(ran.exit_code, exit_codes.USAGE)

    def test_commands_that_print_have_a_json_option(self):
        """The daemons have none, as they always print one line of JSON."""
        without_json = {
            path
            for path, command in _leaf_commands(main, 'balsamreach')
            if '--json' not in _options(command)
        }
        roles = {'engine', 'platform', 'service'}
        self.assertEqual(
            without_json,
            {f'balsamreach standin {role}' for role in roles}
            | {'balsamreach relay', 'balsamreach serve'},
        )

    @parameterized.expand(
        (
            ('balsamreach ta', 1, 'plain,table\n'),
            ('balsamreach team keys re', 3, 'plain,revoke\n'),
            ('balsamreach table import --dr', 3, 'plain,--dry-run\n'),
        )
    )
    def test_completion(self, words, place, offered):
        environment = {
            '_BALSAMREACH_COMPLETE': 'bash_complete',
            'COMP_WORDS': words,
            'COMP_CWORD': str(place),
        }
        ran = CliRunner().invoke(main, env=environment, prog_name='balsamreach')
        self.assertEqual(ran.output, offered)

    @parameterized.expand(
        (
            ('port', ('standin', 'engine', '--port', 'PORT'), '--port'),
            ('name', ('standin', 'platform', '--ip', 'localhost'), 'IP number'),
            ('range', ('standin', 'service', '--port', '65536'), '65535'),
            ('shift', ('trial', '--shift', '60000'), 'shift'),
            ('below', ('trial', '--shift', '-20000'), 'shift'),
            ('trial', ('trial', '--shift', 'SHIFT'), 'other trial'),
        )
    )
    def test_invalid_address_or_port(self, _, arguments, message):
        """A daemon is started twice, or with an invalid address or port.

        An operating system error that is not converted to a command's error
        would be printed as a traceback.
        """
        with socket.create_server(('127.0.0.1', 0)) as sock:
            port = sock.getsockname()[1]
            places = {'PORT': str(port), 'SHIFT': str(_shift_to(port))}
            words = [places.get(word, word) for word in arguments]
            ran = CliRunner().invoke(main, words)
        self.assertEqual(ran.exit_code, exit_codes.USAGE, ran.output)
        self.assertIn(message, ran.output)


def _shift_to(port: int) -> int:
    """Return the shift with which a trial uses the port."""
    return port - min(Plan().ports().values())


def _leaf_commands(command: click.Command, path: str):
    """Yield the commands that are not groups, with their full names."""
    if not isinstance(command, click.Group):
        yield path, command
        return
    with click.Context(command) as ctx:
        for name in command.list_commands(ctx):
            inner = command.get_command(ctx, name)
            yield from _leaf_commands(inner, f'{path} {name}')


def _options(command: click.Command) -> set[str]:
    """Return the option names of a command."""
    return {word for param in command.params for word in param.opts}
