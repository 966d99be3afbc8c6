"""Smoke runs of the measurements of slopes; only counts are checked."""

import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized

_ROOT = Path(__file__).resolve().parent.parent
#: Counts, which are the same in every run, unlike times.
_EXPECTED_COUNTS = (
    ('spread', 'use_copies_each_at_8', 7 / 8),
    ('spread', 'edit_reached_share_at_8', 1),
    ('messages', 'heartbeat_bytes', 25),
    ('contention', 'commits_per_draw_at_1', 1),
)
_NAMES = (
    'memory_table',
    'memory_peers',
    'memory_budgets',
    'memory_answers',
    'memory_base',
    'messages',
    'edits',
    'bills',
    'placing',
    'spread',
    'platform',
    'sparse',
    'contention',
    'one_account',
    'rounds',
    'takeover',
    'standin',
    'requests',
)


class SlopesTest(unittest.TestCase):
    """One small run of all measurements except those of links and streams."""

    @classmethod
    def setUpClass(cls) -> None:
        directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        paths = os.pathsep.join((str(_ROOT / 'src'), str(_ROOT)))
        command = (sys.executable, '-m', 'bench.slopes', *_NAMES)
        cls.completed = subprocess.run(
            (*command, '--smoke', '--runs', '1'),
            cwd=directory.name,
            env=os.environ | {'PYTHONPATH': paths},
            capture_output=True,
            text=True,
            timeout=200,
            check=False,
        )
        output = Path(directory.name) / 'build' / 'bench' / 'slopes.json'
        cls.slopes = json.loads(output.read_text())['slopes']

    @parameterized.expand([(name,) for name in _NAMES])
    def test_every_measurement_has_figures(self, name: str) -> None:
        self.assertEqual(self.completed.returncode, 0, self.completed.stderr)
        figures = self.slopes[name]
        self.assertTrue(figures)
        self.assertEqual({one['runs'] for one in figures.values()}, {1})

    @parameterized.expand(_EXPECTED_COUNTS)
    def test_expected_counts(
        self, name: str, figure: str, expected: float
    ) -> None:
        self.assertEqual(self.slopes[name][figure]['median'], expected)

    def test_counts_conflicts(self) -> None:
        """Many drawers on one account cause conflicts, which are counted."""
        contention = self.slopes['contention']
        self.assertGreater(contention['commits_per_draw_at_64']['median'], 1)
