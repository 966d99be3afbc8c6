"""Tests of the command ``check-config``."""

import json
import unittest
from pathlib import Path

from click.testing import CliRunner

from balsamreach.ui import exit_codes
from balsamreach.ui.main import main


class CheckConfigTest(unittest.TestCase):
    """Every problem is named, and the exit code says it."""

    def setUp(self):
        self.runner = CliRunner()
        self.enterContext(self.runner.isolated_filesystem())
        Path('good.ini').write_text('[host]\nzone = a\n', encoding='utf-8')
        Path('bad.ini').write_text('[hst]\n', encoding='utf-8')

    def run_main(self, *args):
        return self.runner.invoke(main, ['check-config', *args])

    def test_good_file(self):
        ran = self.run_main('good.ini')
        self.assertEqual(ran.exit_code, exit_codes.OK)
        self.assertEqual(ran.output, 'good.ini: ok\n')

    def test_bad_file(self):
        ran = self.run_main('good.ini', 'bad.ini')
        self.assertEqual(ran.exit_code, exit_codes.USAGE)
        self.assertIn('bad.ini: [hst]: unknown section', ran.stderr)

    def test_json(self):
        ran = self.run_main('--json', 'good.ini', 'bad.ini')
        self.assertEqual(ran.exit_code, exit_codes.USAGE)
        rows = json.loads(ran.stdout)
        self.assertEqual([row['ok'] for row in rows], [True, False])

    def test_override(self):
        ran = self.run_main('good.ini', '--set', 'callers.port=x')
        self.assertEqual(ran.exit_code, exit_codes.USAGE)

    def test_no_file(self):
        self.assertEqual(self.run_main().exit_code, exit_codes.USAGE)
