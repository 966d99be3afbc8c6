"""Tests of the command ``check-config``."""

import json
import socket
import unittest
from pathlib import Path

from click.testing import CliRunner
from parameterized import parameterized

from balsamreach.ui import exit_codes
from balsamreach.ui.main import main

_BASE = '[host]\nzone = a\n[operators]\nport = 0\n'


class CheckConfigTest(unittest.TestCase):
    """Every problem is reported, and the exit code shows the result."""

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

    @parameterized.expand(
        (
            ('port', '[callers]\nport = {port}\n', '[callers] port: '),
            (
                'address',
                '[callers]\naddress = 192.0.2.1\n',
                '[callers] address: ',
            ),
            ('file', '[peers]\ntls_certificate = /no\n', '[peers] tls_key: '),
        )
    )
    def test_problem_with_the_host_names_file_and_key(self, _, text, message):
        with socket.create_server(('127.0.0.1', 0)) as sock:
            port = sock.getsockname()[1]
            content = _BASE + text.format(port=port)
            Path('host.ini').write_text(content, 'utf-8')
            checked = self.run_main('--ports', 'host.ini')
            served = self.runner.invoke(main, ['serve', '-c', 'host.ini'])
        for ran in (checked, served):
            self.assertEqual(ran.exit_code, exit_codes.USAGE, ran.output)
            self.assertIn(f'host.ini: {message}', ran.stderr)

    def test_no_file(self):
        self.assertEqual(self.run_main().exit_code, exit_codes.USAGE)
