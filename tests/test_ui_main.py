"""Tests of the group of commands."""

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
    """Commands are found by name and loaded when used."""

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

    def test_whatever_prints_takes_json(self):
        """The long-lived roles print JSON anyway, in one line."""
        lacking = {
            path
            for path, command in _leaves(main, 'balsamreach')
            if '--json' not in _options(command)
        }
        roles = {'engine', 'platform', 'service'}
        self.assertEqual(
            lacking,
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
    def test_place_that_can_not_be_taken(self, _, arguments, told):
        """Symptom: a traceback instead of a sentence.

        Events: a newcomer starts something twice, or mistypes a place.
        Cause: what the machine says was not turned into an error.
        """
        with socket.create_server(('127.0.0.1', 0)) as sock:
            port = sock.getsockname()[1]
            places = {'PORT': str(port), 'SHIFT': str(_shift_to(port))}
            words = [places.get(word, word) for word in arguments]
            ran = CliRunner().invoke(main, words)
        self.assertEqual(ran.exit_code, exit_codes.USAGE, ran.output)
        self.assertIn(told, ran.output)


def _shift_to(port: int) -> int:
    """Return the shift with which a trial needs the port."""
    return port - min(Plan().ports().values())


def _leaves(command: click.Command, path: str):
    """Yield the commands that do something, by the words that call them."""
    if not isinstance(command, click.Group):
        yield path, command
        return
    with click.Context(command) as ctx:
        for name in command.list_commands(ctx):
            inner = command.get_command(ctx, name)
            yield from _leaves(inner, f'{path} {name}')


def _options(command: click.Command) -> set[str]:
    """Return the options that a command takes."""
    return {word for param in command.params for word in param.opts}
