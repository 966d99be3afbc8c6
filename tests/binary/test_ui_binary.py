"""Tests of the executable file that ``make binary`` builds."""

import json
import os
import subprocess
import tempfile
import unittest
from pathlib import Path

from balsamreach import __version__

_BINARY = Path(__file__).resolve().parents[2] / 'dist' / 'balsamreach'
_TIMEOUT_S = 120


class BinaryTest(unittest.TestCase):
    """The file runs on its own, outside of the checkout."""

    def setUp(self):
        self.directory = self.enterContext(tempfile.TemporaryDirectory())

    def environment(self):
        return {
            # The interpreter named in the file may not be in the default PATH.
            'PATH': os.environ.get('PATH', os.defpath),
            'SHIV_ROOT': f'{self.directory}/root',
            'HOME': self.directory,
        }

    def start(self, *args):
        return subprocess.run(
            [str(_BINARY), *args],
            cwd=self.directory,
            env=self.environment(),
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
            check=False,
        )

    def test_version(self):
        ran = self.start('version', '--json')
        self.assertEqual(ran.returncode, 0, ran.stderr)
        self.assertEqual(json.loads(ran.stdout), {'version': __version__})

    def test_packaged_defaults_are_read(self):
        Path(self.directory, 'a.ini').write_text('[host]\nzone=a\n')
        ran = self.start('check-config', 'a.ini')
        self.assertEqual(ran.returncode, 0, ran.stderr)

    def test_serves_until_terminated(self):
        """The file contains everything a router needs, e.g. the schema."""
        free = ('callers.port=0', 'operators.port=0', 'peers.port=0')
        quick = 'callers.leave_delay=0s'
        settings = [
            word
            for text in ('host.zone=a', quick, *free)
            for word in ('--set', text)
        ]
        router = subprocess.Popen(
            [str(_BINARY), 'serve', *settings],
            env=self.environment(),
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(router.kill)
        started = json.loads(router.stdout.readline())
        self.assertEqual(set(started), {'callers', 'operators', 'peers'})
        router.terminate()
        _, logged = router.communicate(timeout=_TIMEOUT_S)
        self.assertEqual(router.returncode, 0, logged)
