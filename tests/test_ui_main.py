"""Tests of the group of commands."""

import unittest

from click.testing import CliRunner

from balsamreach import __version__
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
