"""Tests of the single file that ``make binary`` builds."""

import json
import os
import subprocess
import tempfile
import unittest
from pathlib import Path

from balsamreach import __version__

_BINARY = Path(__file__).resolve().parents[2] / 'dist' / 'balsamreach'
_SECONDS = 120


class BinaryTest(unittest.TestCase):
    """The file runs by itself, away from the checkout."""

    def setUp(self):
        self.place = self.enterContext(tempfile.TemporaryDirectory())

    def start(self, *args):
        env = {
            'PATH': os.defpath,
            'SHIV_ROOT': f'{self.place}/root',
            'HOME': self.place,
        }
        # The interpreter named in the file may lie outside the default path.
        env['PATH'] = os.environ.get('PATH', os.defpath)
        return subprocess.run(
            [str(_BINARY), *args],
            cwd=self.place,
            env=env,
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=_SECONDS,
            check=False,
        )

    def test_version(self):
        ran = self.start('version', '--json')
        self.assertEqual(ran.returncode, 0, ran.stderr)
        self.assertEqual(json.loads(ran.stdout), {'version': __version__})

    def test_packaged_defaults_are_read(self):
        Path(self.place, 'a.ini').write_text('[host]\nzone=a\n')
        ran = self.start('check-config', 'a.ini')
        self.assertEqual(ran.returncode, 0, ran.stderr)
